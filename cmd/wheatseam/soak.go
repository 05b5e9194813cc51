package main

import (
	"context"
	"errors"
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
	sessions    int
	losses      bool
	// lossInterval is the least time between losses of all daemons; 0 for none.
	lossInterval time.Duration
}

// errLossIntervalAlone is returned for an interval between losses in a run without losses.
var errLossIntervalAlone = errors.New("--loss-interval needs --losses")

// sessionsOfSeed is the value of --sessions by which each seed chooses the number.
const sessionsOfSeed = -1

func newSoakCommand() *cobra.Command {
	var o soakOptions
	c := &cobra.Command{
		Use:   "soak",
		Short: "Run gateway daemons on this machine under random faults and check their guarantees",
		Long: "Run gateway daemons as processes on the loopback network, with stand-ins for the\n" +
			"store and the replicas, inject faults by a seeded schedule, and check the\n" +
			"guarantees as observed by callers and replicas. A total over all seeds comes last.\n" +
			"With --losses, a seed in which too few streams were taken up after losses of all\n" +
			"daemons to check the guarantees for them (lost, order) has \"checked none\" and does\n" +
			"not count as passed.\n\n" +
			"Exit codes: 0 all seeds passed; 1 a guarantee was violated, and the logs of that\n" +
			"seed are not deleted; 2 failure; 3 inconclusive: none was violated, but a seed\n" +
			"checked none.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return o.run(cmd) },
	}
	f := c.Flags()
	f.StringVar(&o.binary, "daemon", "bin/wheatseamd", "path of the daemon's binary")
	f.StringVar(&o.dir, "dir", "", "directory for settings and logs (default: a new temporary directory)")
	f.Uint64Var(&o.seed, "seed", uint64(time.Now().UnixNano()%1_000_000), "first seed")
	f.IntVar(&o.seeds, "seeds", 1, "number of seeds to run, one after the other")
	f.DurationVar(&o.duration, "duration", 20*time.Second, "duration of fault injection for each seed")
	f.IntVar(&o.daemons, "daemons", 4, "number of daemons")
	f.IntVar(&o.callers, "callers", 12, "number of callers")
	f.IntVar(&o.sessions, "sessions", sessionsOfSeed, "number of sessions to which the last parts of prompts belong; 0 for a part of its own in each request, -1 for as many as the seed chooses")
	f.BoolVar(&o.losses, "losses", false, "also kill all or several daemons at once, during releases, while callers keep their streams")
	f.DurationVar(&o.lossInterval, "loss-interval", 0, "least time between two losses of all daemons, each beside a release, with few other faults; needs --losses; 0 for several kinds of losses, one after the other")
	return c
}

func (o soakOptions) run(cmd *cobra.Command) error {
	if o.lossInterval > 0 && !o.losses {
		return errLossIntervalAlone
	}
	dir := o.dir
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "wheatseam-soak-"); err != nil {
			return err
		}
	}
	total := soak.NewTotal()
	for i := range o.seeds {
		seed := o.seed + uint64(i)
		report, err := o.runSeed(cmd.Context(), cmd, seed, filepath.Join(dir, fmt.Sprint(seed)))
		if err != nil {
			return fmt.Errorf("seed %d: %w", seed, err)
		}
		total.Add(report)
	}
	total.Print(cmd.OutOrStdout())
	return verdictError(total.Verdict())
}

// verdictError returns the error by which the command exits with the code of a verdict.
func verdictError(v soak.Verdict) error {
	switch v {
	case soak.Violated:
		return errNegativeResult
	case soak.CheckedNone:
		return errInconclusive
	}
	return nil
}

// runSeed runs one seed and prints its report. Without violations it deletes dir.
func (o soakOptions) runSeed(ctx context.Context, cmd *cobra.Command, seed uint64, dir string) (soak.Report, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return soak.Report{}, err
	}
	sessions := o.sessions
	if sessions == sessionsOfSeed {
		sessions = soak.SessionsOfSeed(seed, o.callers)
	}
	report, err := soak.Execute(ctx, soak.Config{
		Binary: o.binary, Dir: dir, Seed: seed, Duration: o.duration, Daemons: o.daemons, Callers: o.callers, Sessions: sessions, Losses: o.losses, LossInterval: o.lossInterval, MaxMemoryMB: soak.MaxMemoryMB,
	})
	if err != nil {
		return report, err
	}
	report.Print(cmd.OutOrStdout())
	if report.Verdict() == soak.Violated {
		return report, nil
	}
	return report, os.RemoveAll(dir)
}
