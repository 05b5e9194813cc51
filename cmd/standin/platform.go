package main

import (
	"context"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/wheatseam/wheatseam/internal/standin/platform"
)

const bundleKey = "bundle"

func newPlatformCommand() *cobra.Command {
	var cfg platform.Config
	var listen, bundleFile, hostsFile string
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Serve the configuration service and the host list",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			p := platform.New(cfg)
			if err := setInitialState(p, bundleFile, hostsFile); err != nil {
				return err
			}
			// Close ends the waiting watch requests, which would delay the shutdown.
			defer context.AfterFunc(cmd.Context(), p.Close)()
			return serve(cmd, listen, p)
		},
	}
	f := cmd.Flags()
	listenFlag(cmd, &listen)
	f.StringVar(&bundleFile, "bundle", "", "file with the initial value of the key bundle")
	f.StringVar(&hostsFile, "hosts", "", "JSON file with the initial host list")
	f.Float64Var(&cfg.ReadsPerSecond, "reads-per-second", platform.DefaultReadsPerSecond, "limit of reads per second across all clients")
	f.DurationVar(&cfg.HostsLag, "hosts-lag", 0, "delay until a changed host list is published")
	f.Uint64Var(&cfg.FirstRevision, "first-revision", 0, "revision before the initial values (0: 1)")
	return cmd
}

// setInitialState sets the initial bundle and host list of p.
func setInitialState(p *platform.Platform, bundleFile, hostsFile string) error {
	if bundleFile != "" {
		body, err := os.ReadFile(bundleFile)
		if err != nil {
			return fmt.Errorf("read bundle: %w", err)
		}
		p.SetValue(bundleKey, body)
	}
	if hostsFile == "" {
		return nil
	}
	body, err := os.ReadFile(hostsFile)
	if err != nil {
		return fmt.Errorf("read hosts: %w", err)
	}
	hosts, err := platform.ParseHosts(body)
	if err != nil {
		return fmt.Errorf("parse hosts: %w", err)
	}
	p.SetHosts(hosts)
	return nil
}
