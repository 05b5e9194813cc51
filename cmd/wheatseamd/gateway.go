package main

import (
	"fmt"
	"os"
	"runtime"
	"runtime/debug"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/gateway"
	"github.com/wheatseam/wheatseam/logging"
)

// newGateway is the command that serves on the users' platform.
func newGateway() *cobra.Command {
	var path string
	load := func() (*gateway.Settings, error) {
		if path == "" {
			path = os.Getenv(gateway.SettingsEnv)
		}
		if path == "" {
			return nil, fmt.Errorf("no settings: give --settings or set %s", gateway.SettingsEnv)
		}
		return gateway.LoadSettings(path)
	}
	cmd := &cobra.Command{
		Use:   "gateway",
		Short: "Serve on the platform: routes and replicas from its store",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			s, err := load()
			if err != nil {
				return err
			}
			return runGateway(s)
		},
	}
	cmd.PersistentFlags().StringVar(&path, "settings", "", "settings file (default $"+gateway.SettingsEnv+")")
	cmd.AddCommand(&cobra.Command{
		Use:   "check",
		Short: "Check the settings and exit",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if _, err := load(); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), "ok")
			return nil
		},
	})
	return cmd
}

// memoryShare is the part of the machine's memory from which the collector
// works harder: a process over the limit is ended.
const memoryShare = 0.6

func runGateway(s *gateway.Settings) error {
	runtime.GOMAXPROCS(s.Limits.Processors)
	debug.SetMemoryLimit(int64(memoryShare * float64(s.Limits.MemoryMB<<20)))
	log, err := logging.New(os.Stdout, s.Log.Level)
	if err != nil {
		return err
	}
	ctx, _ := notifyContexts()
	g, err := gateway.New(s, log.With(zap.String("host", s.Name)))
	if err != nil {
		return err
	}
	return g.Run(ctx)
}
