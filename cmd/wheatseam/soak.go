package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"github.com/wheatseam/wheatseam/soak"
)

// soakOptions are the flags of `wheatseam soak`.
type soakOptions struct {
	binary, dir string
	seed        uint64
	seeds       int
	duration    time.Duration
	daemons     int
	callers     int
}

func newSoakCommand() *cobra.Command {
	var o soakOptions
	c := &cobra.Command{
		Use:   "soak",
		Short: "Run gateway daemons on this machine under random faults and check their promises",
		Long: "Run gateway daemons as processes on the loopback network, with stand-ins for\n" +
			"store and replicas, inject faults by a seeded schedule and check the promises\n" +
			"from what callers and replicas see. Exits with 1 when one is broken; logs are\n" +
			"kept then.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return o.run(cmd) },
	}
	f := c.Flags()
	f.StringVar(&o.binary, "daemon", "bin/wheatseamd", "the daemon's program")
	f.StringVar(&o.dir, "dir", "", "folder for settings and logs (default: a new one)")
	f.Uint64Var(&o.seed, "seed", uint64(time.Now().UnixNano()%1_000_000), "the first seed")
	f.IntVar(&o.seeds, "seeds", 1, "how many seeds to play, one after the other")
	f.DurationVar(&o.duration, "duration", 20*time.Second, "how long faults are injected for each seed")
	f.IntVar(&o.daemons, "daemons", 4, "daemons")
	f.IntVar(&o.callers, "callers", 12, "callers")
	return c
}

func (o soakOptions) run(cmd *cobra.Command) error {
	dir := o.dir
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "wheatseam-soak-"); err != nil {
			return err
		}
	}
	broken := 0
	for i := range o.seeds {
		seed := o.seed + uint64(i)
		ok, err := o.play(cmd.Context(), cmd, seed, filepath.Join(dir, fmt.Sprint(seed)))
		if err != nil {
			return fmt.Errorf("seed %d: %w", seed, err)
		}
		if !ok {
			broken++
		}
	}
	fmt.Fprintf(cmd.OutOrStdout(), "%d of %d seeds kept every promise\n", o.seeds-broken, o.seeds)
	if broken > 0 {
		return errFound
	}
	return nil
}

// play plays one seed and says whether every promise was kept.
func (o soakOptions) play(ctx context.Context, cmd *cobra.Command, seed uint64, dir string) (bool, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return false, err
	}
	report, err := soak.Execute(ctx, soak.Config{
		Binary: o.binary, Dir: dir, Seed: seed, Duration: o.duration, Daemons: o.daemons, Callers: o.callers,
	})
	if err != nil {
		return false, err
	}
	report.Print(cmd.OutOrStdout())
	if len(report.Violations) > 0 {
		return false, nil
	}
	return true, os.RemoveAll(dir)
}
