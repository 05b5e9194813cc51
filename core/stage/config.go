package stage

import (
	"time"

	"github.com/wheatseam/wheatseam/core/intake"
)

// Config holds the constants of a Machine. The zero value of a field takes its
// default.
type Config struct {
	// CrossingRate is the bytes of results that may cross failure domains to
	// spare a millisecond of waiting. Default 600: results that cross are
	// paid for, and a wait that does not make a job late costs nothing.
	CrossingRate float64
	// SlackShare is the part of a job's slack that may be spent on waiting for
	// its own failure domain. Default 0.8.
	SlackShare float64
	// CustomerStep is how much later a job is made whose customer is the next less
	// urgent. Default 2 s: the more urgent one goes first unless the other has waited
	// for long.
	CustomerStep time.Duration
	// ReservePerRank is the part of a job's slack that is left to each more urgent rank
	// that asks for the same services. Default 0.35.
	ReservePerRank float64
	// OverdueFactor and OverdueSlack say when a running call counts as overdue
	// and its pieces are made elsewhere too. Defaults 1.6 and 120 ms.
	OverdueFactor float64
	OverdueSlack  time.Duration
	// TimeoutFactor and TimeoutSlack say when a call is no longer counted on: its
	// pieces are made anew, and its results are taken if they come all the same.
	// Defaults 4 and 500 ms: a call may wait behind another planner's.
	TimeoutFactor float64
	TimeoutSlack  time.Duration
	// MaxTries bounds the calls for one piece. Default 4.
	MaxTries int
	// SuspectBase and SuspectMax bound the time for which a replica that
	// failed is avoided; it doubles with each failure. Defaults 500 ms and 8 s.
	SuspectBase, SuspectMax time.Duration
	// BusyWait is the wait before a replica that refused a call is tried
	// again. Default 40 ms.
	BusyWait time.Duration
	// SplitShare is the share of a call's fixed time that a call's pieces must
	// take before work is split over idle replicas. Default 0.8: in bursts
	// many small calls leave no replica for the next stage.
	SplitShare float64
	// LateGrace is how long after Latest a job is refused if calls are still to be
	// made for it. Default 3 s: jobs that are late are made last, and in a long burst
	// those were held until their callers left.
	LateGrace time.Duration
	// Gates bound the calls at replicas; others of this host that call the same
	// replicas share them. Default: gates of the Machine's own.
	Gates *intake.Gates
	// MinRetryAfter is the least wait told to a refused job. Default 300 ms.
	MinRetryAfter time.Duration
}

func orDefault[T int | float64 | time.Duration](v *T, d T) {
	if *v == 0 {
		*v = d
	}
}

func (c Config) withDefaults() Config {
	if c.Gates == nil {
		c.Gates = intake.NewGates()
	}
	orDefault(&c.CrossingRate, 600)
	orDefault(&c.SlackShare, 0.8)
	orDefault(&c.CustomerStep, 2*time.Second)
	orDefault(&c.ReservePerRank, 0.35)
	orDefault(&c.OverdueFactor, 1.6)
	orDefault(&c.OverdueSlack, 120*time.Millisecond)
	orDefault(&c.TimeoutFactor, 4)
	orDefault(&c.TimeoutSlack, 500*time.Millisecond)
	orDefault(&c.MaxTries, 4)
	orDefault(&c.SuspectBase, 500*time.Millisecond)
	orDefault(&c.SuspectMax, 8*time.Second)
	orDefault(&c.BusyWait, 40*time.Millisecond)
	orDefault(&c.SplitShare, 0.8)
	orDefault(&c.LateGrace, 3*time.Second)
	orDefault(&c.MinRetryAfter, 300*time.Millisecond)
	return c
}
