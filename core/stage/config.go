package stage

import (
	"time"

	"github.com/wheatseam/wheatseam/core/intake"
)

// Config holds the parameters of a Machine. A field that is zero takes its default.
type Config struct {
	// CrossDomainBytesPerMs is the number of result bytes that may cross failure domains to
	// save one millisecond of waiting. Default 600: traffic across failure domains is paid
	// for, and a wait that does not make a job late costs nothing.
	CrossDomainBytesPerMs float64
	// DomainWaitSlackShare is the share of a job's slack that may be spent on waiting for a
	// replica in the preferred failure domain. Default 0.8.
	DomainWaitSlackShare float64
	// CustomerPriorityDelay is added to a job's effective due time for each step by which
	// its customer's priority is lower. Default 2 s: the more urgent customer goes first
	// unless the other job has waited long.
	CustomerPriorityDelay time.Duration
	// ReservedSharePerRank is the share of a job's slack that is reserved for each rank of
	// higher priority that uses the same services. Default 0.35.
	ReservedSharePerRank float64
	// A running call is overdue, and its pieces are queued for another replica too, after
	// OverdueFactor times its expected time plus OverdueSlack. Defaults 1.6 and 120 ms.
	OverdueFactor float64
	OverdueSlack  time.Duration
	// A call times out after TimeoutFactor times its expected time plus TimeoutSlack. Its
	// pieces are queued again, and its results are still accepted if they arrive. Defaults
	// 4 and 500 ms: a call may queue at the replica behind another planner's.
	TimeoutFactor float64
	TimeoutSlack  time.Duration
	// MaxAttempts bounds the calls for one piece. Default 4.
	MaxAttempts int
	// SuspectBase and SuspectMax bound the time for which a failed replica is avoided; the
	// time doubles with each consecutive failure. Defaults 500 ms and 8 s.
	SuspectBase, SuspectMax time.Duration
	// RefusalBackoff is the wait before the next call to a replica that refused one.
	// Default 40 ms.
	RefusalBackoff time.Duration
	// MinSplitShare is the smallest share of a call's fixed time that its pieces must take
	// before work is split over several available replicas. Default 0.8: in bursts, many
	// small calls would leave no replica for the next stage.
	MinSplitShare float64
	// LateGrace is the time after Latest at which a job is refused if it still needs calls.
	// Default 3 s: late jobs are executed last, and in a long burst they stayed queued
	// until their callers left.
	LateGrace time.Duration
	// Limiters limit the calls to replicas, together with the calls of other components of
	// this host. Default: limiters that only this Machine uses.
	Limiters *intake.Limiters
	// MaxScannedReplicas is the number of replicas of a service up to which a decision looks
	// at all of them; of more, it looks at a sample. Default 64.
	MaxScannedReplicas int
	// FairShares refuses jobs of customers that have had their fair share of a service while
	// that service is short of capacity. Default false.
	FairShares bool
	// MaxPieces bounds the pieces of all planned jobs, which take about PieceBytes each. Jobs that
	// were planned elsewhere before are taken over regardless. Default 1<<17.
	MaxPieces int
	// MinRetryAfter is the shortest retry delay returned to a refused job. Default 300 ms.
	MinRetryAfter time.Duration
}

func orDefault[T int | float64 | time.Duration](v *T, d T) {
	if *v == 0 {
		*v = d
	}
}

func (c Config) withDefaults() Config {
	if c.Limiters == nil {
		c.Limiters = intake.NewLimiters(time.Time{})
	}
	orDefault(&c.CrossDomainBytesPerMs, 600)
	orDefault(&c.DomainWaitSlackShare, 0.8)
	orDefault(&c.CustomerPriorityDelay, 2*time.Second)
	orDefault(&c.ReservedSharePerRank, 0.35)
	orDefault(&c.OverdueFactor, 1.6)
	orDefault(&c.OverdueSlack, 120*time.Millisecond)
	orDefault(&c.TimeoutFactor, 4)
	orDefault(&c.TimeoutSlack, 500*time.Millisecond)
	orDefault(&c.MaxAttempts, 4)
	orDefault(&c.SuspectBase, 500*time.Millisecond)
	orDefault(&c.SuspectMax, 8*time.Second)
	orDefault(&c.RefusalBackoff, 40*time.Millisecond)
	orDefault(&c.MinSplitShare, 0.8)
	orDefault(&c.LateGrace, 3*time.Second)
	orDefault(&c.MaxScannedReplicas, 64)
	orDefault(&c.MaxPieces, 1<<17)
	orDefault(&c.MinRetryAfter, 300*time.Millisecond)
	return c
}
