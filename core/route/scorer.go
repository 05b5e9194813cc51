package route

import "time"

const (
	// slownessFree is the multiple of the usual latency that costs nothing.
	slownessFree = 2.0
	// unmeasuredLatency stands in for a stage's latency until it is measured.
	unmeasuredLatency = 50 * time.Millisecond
	// maxLocalityCost bounds the cost of leaving the failure domain, so that
	// it yields to load.
	maxLocalityCost = 0.5
)

// Scorer adds to the cost of a candidate; lower is better, 1 is a full
// upstream. Implementations have no state and may be used concurrently.
type Scorer interface {
	Name() string
	Cost(v *View, c *Candidate) float64
}

// loadScorer costs the share of the upstream that is in use, this call
// included: own calls in flight and what is believed of others'.
type loadScorer struct{}

func (loadScorer) Name() string { return "load" }
func (loadScorer) Cost(v *View, c *Candidate) float64 {
	return (float64(c.Own) + c.Believed + 1) / v.Concurrency
}

// latencyScorer costs slowness beyond what is usual in the pool.
type latencyScorer struct{ weight float64 }

func (latencyScorer) Name() string { return "latency" }
func (s latencyScorer) Cost(_ *View, c *Candidate) float64 {
	return s.weight * max(0, c.Slowness-slownessFree)
}

// localityScorer costs the round trip of leaving the failure domain or region
// relative to the latency of the stage.
type localityScorer struct{ crossDomain, crossRegion time.Duration }

func (localityScorer) Name() string { return "locality" }
func (s localityScorer) Cost(v *View, c *Candidate) float64 {
	var trip time.Duration
	switch {
	case c.Domain == v.Domain:
		return 0
	case v.sameRegion(c):
		trip = s.crossDomain
	default:
		trip = s.crossRegion
	}
	typical := v.Typical
	if typical <= 0 {
		typical = unmeasuredLatency
	}
	return min(maxLocalityCost, float64(trip)/float64(typical))
}

// prefixScorer rewards the upstream that is likely to hold the prompt's prefix
// in its cache.
type prefixScorer struct{ bonus float64 }

func (prefixScorer) Name() string { return "prefix" }
func (s prefixScorer) Cost(v *View, c *Candidate) float64 {
	if v.Home >= 0 && &v.Candidates[v.Home] == c {
		return -s.bonus
	}
	return 0
}

// adaptiveScorers are the scorers of the adaptive policy.
func adaptiveScorers(c Config) []Scorer {
	return []Scorer{
		loadScorer{},
		latencyScorer{c.LatencyWeight},
		localityScorer{c.CrossDomain, c.CrossRegion},
		prefixScorer{c.PrefixBonus},
	}
}

// scoreOf adds up the costs of c.
func scoreOf(v *View, ss []Scorer, c *Candidate) float64 {
	var sum float64
	for _, s := range ss {
		sum += s.Cost(v, c)
	}
	return sum
}
