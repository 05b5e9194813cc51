// Command wheatseamd is the daemon of an entry host. It accepts requests from callers
// and routes them to upstreams.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/daemon"
	"github.com/wheatseam/wheatseam/logging"
	"github.com/wheatseam/wheatseam/settings"
)

func main() {
	if err := newRootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "wheatseamd:", err)
		os.Exit(1)
	}
}

func newRootCommand() *cobra.Command {
	var flags settings.Flags
	root := &cobra.Command{
		Use:           "wheatseamd",
		Short:         "Run the entry daemon of wheatseam",
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(*cobra.Command, []string) error {
			return run(&flags)
		},
	}
	flags.Register(root.PersistentFlags())
	root.AddCommand(&cobra.Command{
		Use:   "check",
		Short: "Check the settings and exit",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if _, err := flags.Load(); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), "ok")
			return nil
		},
	})
	root.AddCommand(newGatewayCommand())
	return root
}

func run(flags *settings.Flags) error {
	s, err := flags.Load()
	if err != nil {
		return err
	}
	log, err := logging.New(os.Stderr, s.Log.Level)
	if err != nil {
		return err
	}
	ctx, cutCtx := notifyContexts()
	d, err := daemon.New(s, log.With(zap.String("host", s.Host)))
	if err != nil {
		return err
	}
	return d.Run(ctx, cutCtx)
}

// notifyContexts returns two contexts. SIGTERM or SIGINT cancels the first, which
// starts a graceful shutdown; a second signal cancels the second context, which ends
// the shutdown at once.
func notifyContexts() (first, second context.Context) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	first, stopFirst := context.WithCancel(context.Background())
	second, stopSecond := context.WithCancel(context.Background())
	go func() {
		<-signals
		stopFirst()
		<-signals
		stopSecond()
	}()
	return first, second
}
