// Command wheatseam is the operators' tool.
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
	// exitFound says that the command ran and its answer is "no": a refusal,
	// problems, differences.
	exitFound = 1
	// exitFailed says that the command could not do its work.
	exitFailed = 2
)

// errFound makes the command exit with exitFound after what was found (a
// refusal, problems, outcomes not met) has been printed.
var errFound = errors.New("the answer is no")

func main() { os.Exit(run(newRoot(), os.Stderr)) }

// run executes the command and returns its exit code.
func run(root *cobra.Command, stderr io.Writer) int {
	err := root.Execute()
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, errFound):
		return exitFound
	default:
		fmt.Fprintln(stderr, "wheatseam:", err)
		return exitFailed
	}
}

// must stops on a mistake in the set-up of a command.
func must(err error) {
	if err != nil {
		panic(err)
	}
}

// newRoot returns the command with all its subcommands, one file per group.
func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "wheatseam",
		Short:         "Operators' tool of wheatseam",
		Long:          "Operators' tool of wheatseam.\n\nExit codes: 0 done; 1 the answer is no (refused, problems found); 2 failed.",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(
		newBundleCommand(), newCallCommand(), newCertsCommand(), newErrorsCommand(),
		newReplayCommand(), newSoakCommand(), newTraceCommand(),
	)
	root.AddCommand(newOperatorCommands()...)
	return root
}
