// Command wheatseam is the command-line tool for operators of wheatseam.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"
)

// The exit codes.
const (
	exitOK = 0
	// exitNegative means that the command ran and its result is negative: a
	// rejection, problems or differences.
	exitNegative = 1
	// exitError means that the command failed.
	exitError = 2
	// exitInconclusive means that the command ran, but could not check what it was to check.
	exitInconclusive = 3
)

// errNegativeResult makes the command exit with exitNegative. The result (a
// rejection, problems, unmet outcomes) has already been printed.
var errNegativeResult = errors.New("negative result")

// errInconclusive makes the command exit with exitInconclusive. What it could not check has
// already been printed.
var errInconclusive = errors.New("inconclusive")

func main() { os.Exit(run(newRootCommand(), os.Stderr)) }

// run executes the command and returns its exit code.
func run(root *cobra.Command, stderr io.Writer) int {
	err := root.Execute()
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, errNegativeResult):
		return exitNegative
	case errors.Is(err, errInconclusive):
		return exitInconclusive
	default:
		fmt.Fprintln(stderr, "wheatseam:", err)
		return exitError
	}
}

// must panics on an error in the setup of a command.
func must(err error) {
	if err != nil {
		panic(err)
	}
}

// newRootCommand returns the root command with all subcommands.
func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "wheatseam",
		Short:         "Command-line tool for operators of wheatseam",
		Long:          "Command-line tool for operators of wheatseam.\n\nExit codes: 0 success; 1 negative result (rejected, problems found); 2 failure; 3 inconclusive.",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(
		newBundleCommand(), newCallCommand(), newCertsCommand(), newErrorsCommand(),
		newLimitsCommand(), newReplayCommand(), newSoakCommand(), newTraceCommand(),
	)
	root.AddCommand(newOperatorCommands()...)
	return root
}
