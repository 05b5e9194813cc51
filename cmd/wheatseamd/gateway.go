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

// newGatewayCommand returns the command that runs the gateway on the platform.
func newGatewayCommand() *cobra.Command {
	var path string
	var simulatedSuspension, simulatedCut time.Duration
	settingsPath := func() (string, error) {
		if path == "" {
			path = os.Getenv(gateway.SettingsEnv)
		}
		if path == "" {
			return "", fmt.Errorf("no settings file: set --settings or %s", gateway.SettingsEnv)
		}
		return path, nil
	}
	cmd := &cobra.Command{
		Use:   "gateway",
		Short: "Run the gateway with routes and replicas from the platform's store",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			path, err := settingsPath()
			if err != nil {
				return err
			}
			return runGateway(path, simulatedSuspension, simulatedCut)
		},
	}
	cmd.PersistentFlags().StringVar(&path, "settings", "", "settings file (default $"+gateway.SettingsEnv+")")
	const suspensionFlag = "simulated-sleep"
	cmd.Flags().DurationVar(&simulatedSuspension, suspensionFlag, 0, "for tests: simulate a host suspension of this duration at each SIGUSR1; 0 disables it")
	cmd.Flags().Lookup(suspensionFlag).Hidden = true
	const cutFlag = "simulated-cut"
	cmd.Flags().DurationVar(&simulatedCut, cutFlag, 0, "for tests: lose the path to all replicas for this duration at each SIGUSR2; 0 disables it")
	cmd.Flags().Lookup(cutFlag).Hidden = true
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

// memoryLimitRatio is the fraction of limits.memory_mb set as the soft memory limit
// of the Go runtime, above which the garbage collector runs more often. A process
// that exceeds the host's limit is killed.
const memoryLimitRatio = 0.6

func runGateway(path string, simulatedSuspension, simulatedCut time.Duration) error {
	// The signal would end a process that has not asked for it, also while it starts.
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	s, err := gateway.LoadSettings(path)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(s.Limits.Processors)
	debug.SetMemoryLimit(int64(memoryLimitRatio * float64(s.Limits.MemoryMB<<20)))
	log, err := logging.NewBoundedLog(os.Stdout, s.Log.Level)
	if err != nil {
		return err
	}
	defer log.Close()
	logging.RedirectStdLog(log.Logger.With(zap.String("host", s.Name)))
	g, err := gateway.New(s, log.Logger.With(zap.String("host", s.Name)))
	if err != nil {
		return err
	}
	ctx, _ := notifyContexts()
	if simulatedSuspension > 0 {
		go simulateSuspensions(ctx, simulatedSuspension)
	}
	if simulatedCut > 0 {
		go simulateCuts(ctx, g, simulatedCut)
	}
	go reloadSettings(ctx, path, reloadSignals, g, log)
	return g.Run(ctx)
}

// simulateSuspensions simulates a host suspension of duration d at each SIGUSR1 until
// ctx ends.
func simulateSuspensions(ctx context.Context, d time.Duration) {
	suspendSignals := make(chan os.Signal, 1)
	signal.Notify(suspendSignals, syscall.SIGUSR1)
	for {
		select {
		case <-ctx.Done():
			return
		case <-suspendSignals:
			clock.SimulateSuspension(d)
		}
	}
}

// simulateCuts simulates the loss of the path to all replicas for duration d at each SIGUSR2
// until ctx ends, in turn with connections that are refused and not answered.
func simulateCuts(ctx context.Context, g *gateway.Gateway, d time.Duration) {
	cutSignals := make(chan os.Signal, 1)
	signal.Notify(cutSignals, syscall.SIGUSR2)
	for silent := false; ; silent = !silent {
		select {
		case <-ctx.Done():
			return
		case <-cutSignals:
			g.SimulateCut(d, silent)
		}
	}
}

// settingsPollInterval is the interval at which the settings file is checked for
// changes, because it may change without a signal. No setting is urgent enough to
// need a shorter interval.
const settingsPollInterval = 5 * time.Second

// reloadSettings reloads the settings at a signal and when the file changes, until ctx
// ends. If the file is invalid, it logs the error and keeps the current settings.
func reloadSettings(ctx context.Context, path string, reloadSignals <-chan os.Signal, g *gateway.Gateway, log *logging.BoundedLog) {
	pollTicker := time.NewTicker(settingsPollInterval)
	defer pollTicker.Stop()
	var lastRead []byte
	for {
		select {
		case <-ctx.Done():
			return
		case <-reloadSignals:
			log.Logger.Info("received SIGHUP; checking the settings file", zap.String("path", path))
		case <-pollTicker.C:
		}
		raw, err := os.ReadFile(path)
		if err == nil && bytes.Equal(raw, lastRead) {
			continue
		}
		lastRead = raw
		s, err := gateway.LoadSettings(path)
		if err != nil {
			log.Logger.Error("settings refused, the old ones stay", zap.Error(err))
			continue
		}
		if err := log.Level.UnmarshalText([]byte(s.Log.Level)); err != nil {
			log.Logger.Error("failed to set the log level", zap.Error(err))
		}
		g.Reload(s)
	}
}
