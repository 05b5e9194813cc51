// Command standin serves stand-ins that simulate the external systems of wheatseam
// in tests and demos: the platform, model engines and plain HTTP/JSON services. Each
// subcommand prints "listening address=ip:port" to standard output when it is
// listening, and stops on SIGTERM or SIGINT.
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
		Short:         "Simulate the external systems of wheatseam",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newPlatformCommand(), newEngineCommand(), newServiceCommand(), newFleetCommand())
	return root
}

// handler is the HTTP handler of a stand-in. Close releases its resources.
type handler interface {
	http.Handler
	Close()
}

// serve listens on address and serves h until the command's context ends.
func serve(cmd *cobra.Command, address string, h handler) error {
	defer h.Close()
	l, err := standin.Listen(address, cmd.OutOrStdout())
	if err != nil {
		return err
	}
	return standin.Serve(cmd.Context(), l, h)
}

func listenFlag(cmd *cobra.Command, address *string) {
	cmd.Flags().StringVar(address, "listen", "127.0.0.1:0", "ip:port to listen on; port 0 selects a free port")
}
