package route

import (
	"time"

	"github.com/wheatseam/wheatseam/core/intake"
)

// Config configures a Router. A zero field takes its default value.
type Config struct {
	// FailureDomain is the failure domain of this daemon.
	FailureDomain string
	// Seed seeds the random number generators of the shards.
	Seed uint64
	// RandomChoices is the number of candidates that a pick samples at random. One of
	// them is in the daemon's own failure domain if any is. Default 2.
	RandomChoices int
	// An upstream is saturated and gets no further calls when the number of its calls
	// reaches SaturationFactor times the pool's concurrency. Default 2.
	SaturationFactor float64
	// ReportHalfLife is the age at which a load report and the pool's mean each
	// contribute half of the load estimate. In a pool whose usual latency is shorter,
	// that latency is used instead. Default 1 s.
	ReportHalfLife time.Duration
	// CrossDomainRTT and CrossRegionRTT are the round-trip times that a call to another
	// failure domain or region adds. Defaults 1 ms and 20 ms.
	CrossDomainRTT time.Duration
	CrossRegionRTT time.Duration
	// PrefixBonus is the cost that a cached prompt prefix saves. Default 0.1.
	PrefixBonus float64
	// PrefixLoadFactor is the highest load that the home of a prefix may have, as a
	// multiple of the mean load. Default 1.25.
	PrefixLoadFactor float64
	// PrefixMinLoad is the share of an upstream's concurrency below which it remains the
	// home of its prefixes regardless of the mean load. Default 0: only the mean load
	// counts.
	PrefixMinLoad float64
	// BacklogWeight is the cost of each second that a prompt waits for the prefill of
	// other prompts. Default 0: for prompts only PrefixBonus counts.
	BacklogWeight float64
	// PauseWeight is the cost of an expected pause of at least twice the gap objective in a
	// stream of very many events, in pools whose upstreams report slowdowns. If it is below
	// PrefixBonus, such a stream does not leave the home of its prefix only because of its
	// pauses. Default 1.
	PauseWeight float64
	// LatencyWeight is the cost of each additional multiple of the usual latency.
	// Default 0.5.
	LatencyWeight float64
	Ejection      EjectionConfig
	// HistogramWindow is the length of each of the two windows of a latency histogram.
	// Default 15 s.
	HistogramWindow time.Duration
	// Limiters limit the calls that begin at the upstreams. They are shared with other
	// components that call the same upstreams. Default: limiters that only this Router
	// uses.
	Limiters *intake.Limiters
	// OnEjected is called for every ejection of an upstream from a pool, with its reason
	// and end. It is called with a lock held and must not block. It may be nil.
	OnEjected func(pool, upstream, reason string, until time.Time)
	// OnSilence is called for every slow call that is not counted because a brief silence of
	// the upstream, which an earlier call has shown, may have delayed it. delayed is the number
	// of such calls in this silence so far. It is called with a lock held and must not block. It
	// may be nil.
	OnSilence func(pool, upstream string, delayed int)
}

// EjectionConfig configures the ejection of failing and slow upstreams.
type EjectionConfig struct {
	// ConsecutiveFailures is the number of failures in a row that ejects an upstream,
	// unless half or more of the recent calls to the rest of the pool fail too. While
	// an upstream is being readmitted, one failure is enough. Default 3.
	ConsecutiveFailures int
	// FailureRate is the failure rate from which an upstream is ejected if at least
	// MinCalls recent calls were counted and the failure rate of the rest of the pool
	// is less than half of the upstream's. Defaults 0.5 and 8.
	FailureRate float64
	MinCalls    float64
	// SlowRatio is the smoothed multiple of the pool's median latency that ejects an
	// upstream. Calls of this multiple or more that one brief silence delayed count as one.
	// Default 4.
	SlowRatio float64
	// BaseDuration is the duration of the first ejection. It doubles with each further
	// ejection up to MaxDuration. Defaults 2 s and 60 s.
	BaseDuration time.Duration
	MaxDuration  time.Duration
	// RampDuration is the time over which the traffic of a readmitted upstream grows to
	// its full share. Default 10 s.
	RampDuration time.Duration
	// MaxEjectedShare limits the share of a pool that is ejected when an upstream is to
	// be ejected for slowness or failure rate, and MaxFailingEjectedShare when it is to
	// be ejected for consecutive failures. In a pool of two or more, one upstream may
	// always be ejected, and never all of them. Defaults 0.3 and 0.6.
	MaxEjectedShare        float64
	MaxFailingEjectedShare float64
}

func setDefault[T int | float64 | time.Duration](v *T, d T) {
	if *v == 0 {
		*v = d
	}
}

func (c Config) withDefaults() Config {
	if c.Limiters == nil {
		c.Limiters = intake.NewLimiters(time.Time{})
	}
	setDefault(&c.RandomChoices, 2)
	setDefault(&c.SaturationFactor, 2)
	setDefault(&c.ReportHalfLife, time.Second)
	setDefault(&c.CrossDomainRTT, time.Millisecond)
	setDefault(&c.CrossRegionRTT, 20*time.Millisecond)
	setDefault(&c.PrefixBonus, 0.1)
	setDefault(&c.PrefixLoadFactor, 1.25)
	setDefault(&c.LatencyWeight, 0.5)
	setDefault(&c.PauseWeight, 1)
	setDefault(&c.HistogramWindow, 15*time.Second)
	e := &c.Ejection
	setDefault(&e.ConsecutiveFailures, 3)
	setDefault(&e.FailureRate, 0.5)
	setDefault(&e.MinCalls, 8)
	setDefault(&e.SlowRatio, 4)
	setDefault(&e.BaseDuration, 2*time.Second)
	setDefault(&e.MaxDuration, time.Minute)
	setDefault(&e.RampDuration, 10*time.Second)
	setDefault(&e.MaxEjectedShare, 0.3)
	setDefault(&e.MaxFailingEjectedShare, 0.6)
	return c
}
