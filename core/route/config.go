package route

import (
	"time"

	"github.com/wheatseam/wheatseam/core/intake"
)

// Config parametrises a Router. The zero value of a field takes its default.
type Config struct {
	// FailureDomain is the failure domain of this daemon.
	FailureDomain string
	// Seed seeds the generators of the shards.
	Seed uint64
	// Choices is the number of random candidates of a pick, one of them of the
	// own failure domain where there is one. Default 2.
	RandomChoices int
	// SaturationFactor times the pool's concurrency is the number of calls at
	// an upstream from which it gets no more. Default 2.
	SaturationFactor float64
	// ReportHalfLife is the age at which a load report counts half and the
	// pool's mean the other half; the pool's usual latency where that is
	// shorter. Default 1 s.
	ReportHalfLife time.Duration
	// CrossDomain and CrossRegion are the round trips that leaving the own
	// failure domain or region adds. Defaults 1 ms and 20 ms.
	CrossDomainRTT time.Duration
	CrossRegionRTT time.Duration
	// PrefixBonus is the cost that a cached prompt prefix saves. Default 0.1.
	PrefixBonus float64
	// PrefixBound is how far over the mean load the home of a prefix may
	// be. Default 1.25.
	PrefixLoadFactor float64
	// PrefixRoom is the share of an upstream's concurrency up to which it keeps
	// its prefixes whatever the mean load. Default 0: only the mean counts.
	PrefixRoom float64
	// BacklogWeight is the cost of each second that a prompt waits for others to
	// be read. Default 0: only PrefixBonus counts for prompts.
	BacklogWeight float64
	// LatencyWeight is the cost of each multiple of the usual latency.
	// Default 0.5.
	LatencyWeight float64
	Ejection      EjectionConfig
	// Window is the length of the two windows of the latency histograms.
	// Default 15 s.
	HistogramWindow time.Duration
	// Gates bound the calls at upstreams; others that call the same upstreams share
	// them. Default: gates of the router's own.
	Gates *intake.Gates
	// Ejected hears of every ejection of an upstream of a pool, with its reason
	// and end. It is called under a lock and must not block; nil for none.
	Ejected func(pool, upstream, reason string, until time.Time)
}

// EjectionConfig parametrises the ejection of failing and straggling upstreams.
type EjectionConfig struct {
	// ConsecutiveFailures eject an upstream, unless over half the calls at the
	// rest of the pool fail too. Default 3.
	ConsecutiveFailures int
	// FailureRate ejects an upstream, when at least MinCalls recent calls were
	// counted and the rest of the pool is at under half that rate.
	// Defaults 0.5 and 8.
	FailureRate float64
	MinCalls    float64
	// SlowRatio is the smoothed multiple of the pool's median latency that
	// ejects an upstream. Default 4.
	SlowRatio float64
	// Base is the first ejection time; it doubles up to Max with each that
	// follows. Defaults 2 s and 60 s.
	BaseDuration time.Duration
	MaxDuration  time.Duration
	// Ramp is the time in which a readmitted upstream returns to its full
	// share. Default 10 s.
	RampDuration time.Duration
	// MaxShare caps the share of a pool ejected for slowness or failure rate,
	// MaxFailingShare that ejected for any reason. One upstream may always be
	// ejected from a pool of two or more, never all. Defaults 0.3 and 0.6.
	MaxEjectedShare        float64
	MaxFailingEjectedShare float64
}

func setDefault[T int | float64 | time.Duration](v *T, d T) {
	if *v == 0 {
		*v = d
	}
}

func (c Config) withDefaults() Config {
	if c.Gates == nil {
		c.Gates = intake.NewGates()
	}
	setDefault(&c.RandomChoices, 2)
	setDefault(&c.SaturationFactor, 2)
	setDefault(&c.ReportHalfLife, time.Second)
	setDefault(&c.CrossDomainRTT, time.Millisecond)
	setDefault(&c.CrossRegionRTT, 20*time.Millisecond)
	setDefault(&c.PrefixBonus, 0.1)
	setDefault(&c.PrefixLoadFactor, 1.25)
	setDefault(&c.LatencyWeight, 0.5)
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
