package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/gateway"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/logging"
)

// newGateway is the command that serves on the users' platform.
func newGateway() *cobra.Command {
	var path string
	var simulated time.Duration
	settingsPath := func() (string, error) {
		if path == "" {
			path = os.Getenv(gateway.SettingsEnv)
		}
		if path == "" {
			return "", fmt.Errorf("no settings: give --settings or set %s", gateway.SettingsEnv)
		}
		return path, nil
	}
	cmd := &cobra.Command{
		Use:   "gateway",
		Short: "Serve on the platform: routes and replicas from its store",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			path, err := settingsPath()
			if err != nil {
				return err
			}
			return runGateway(path, simulated)
		},
	}
	cmd.PersistentFlags().StringVar(&path, "settings", "", "settings file (default $"+gateway.SettingsEnv+")")
	const sleepFlag = "simulated-sleep"
	cmd.Flags().DurationVar(&simulated, sleepFlag, 0, "for tests: at SIGUSR1 take the host to have slept for so long; 0 never")
	cmd.Flags().Lookup(sleepFlag).Hidden = true
	cmd.AddCommand(&cobra.Command{
		Use:   "check",
		Short: "Check the settings and exit",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			path, err := settingsPath()
			if err != nil {
				return err
			}
			if _, err := gateway.LoadSettings(path); err != nil {
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

func runGateway(path string, simulated time.Duration) error {
	s, err := gateway.LoadSettings(path)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(s.Limits.Processors)
	debug.SetMemoryLimit(int64(memoryShare * float64(s.Limits.MemoryMB<<20)))
	log, err := logging.NewBoundedLog(os.Stdout, s.Log.Level)
	if err != nil {
		return err
	}
	defer log.Close()
	g, err := gateway.New(s, log.Logger.With(zap.String("host", s.Name)))
	if err != nil {
		return err
	}
	ctx, _ := notifyContexts()
	if simulated > 0 {
		go simulateSleeps(ctx, simulated)
	}
	go reloadSettings(ctx, path, g, log)
	return g.Run(ctx)
}

// simulateSleeps has this process believe at each SIGUSR1 that its host has slept,
// until ctx ends.
func simulateSleeps(ctx context.Context, d time.Duration) {
	usr1 := make(chan os.Signal, 1)
	signal.Notify(usr1, syscall.SIGUSR1)
	for {
		select {
		case <-ctx.Done():
			return
		case <-usr1:
			clock.SimulateSuspension(d)
		}
	}
}

// settingsEvery is how often the settings file is looked at: it may change
// without a signal, and nothing in it is more urgent than that.
const settingsEvery = 5 * time.Second

// reloadSettings takes the settings anew at SIGHUP and when the file changes,
// until ctx ends. A file that is faulty changes nothing.
func reloadSettings(ctx context.Context, path string, g *gateway.Gateway, log *logging.BoundedLog) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	tick := time.NewTicker(settingsEvery)
	defer tick.Stop()
	var seen []byte
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
			log.Logger.Info("asked to reload the settings", zap.String("path", path))
		case <-tick.C:
		}
		raw, err := os.ReadFile(path)
		if err == nil && bytes.Equal(raw, seen) {
			continue
		}
		seen = raw
		s, err := gateway.LoadSettings(path)
		if err != nil {
			log.Logger.Error("settings refused, the old ones stay", zap.Error(err))
			continue
		}
		if err := log.Level.UnmarshalText([]byte(s.Log.Level)); err != nil {
			log.Logger.Error("log level refused", zap.Error(err))
		}
		g.Reload(s)
	}
}
