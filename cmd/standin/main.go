// Command standin serves stand-ins for the outside systems that wheatseam talks
// to: the platform, model engines and plain services. It is for tests and
// demos. Each subcommand prints "listening address=ip:port" on its standard
// output once it listens, and stops on SIGTERM or SIGINT.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/wheatseam/wheatseam/internal/standin"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := newCommand().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func newCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "standin",
		Short:         "Stand-ins for the systems outside wheatseam",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newPlatformCommand(), newEngineCommand(), newServiceCommand(), newFleetCommand())
	return root
}

// handler is a stand-in that can be closed.
type handler interface {
	http.Handler
	Close()
}

// serve listens on address and serves h until the command is stopped.
func serve(cmd *cobra.Command, address string, h handler) error {
	defer h.Close()
	l, err := standin.Listen(address, cmd.OutOrStdout())
	if err != nil {
		return err
	}
	return standin.Serve(cmd.Context(), l, h)
}

func listenFlag(cmd *cobra.Command, address *string) {
	cmd.Flags().StringVar(address, "listen", "127.0.0.1:0", "ip:port to listen on; port 0 picks a free one")
}
