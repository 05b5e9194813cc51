// Command wheatseam is the operators' tool.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	err := newRoot().Execute()
	if err == nil {
		return
	}
	if !errors.Is(err, errRefused) && !errors.Is(err, errNotMet) {
		fmt.Fprintln(os.Stderr, "wheatseam:", err)
	}
	os.Exit(1)
}

// newRoot returns the command with all its subcommands, one file per group.
func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "wheatseam",
		Short:         "Operators' tool of wheatseam",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newCallCommand(), newReplayCommand(), newTraceCommand())
	return root
}
