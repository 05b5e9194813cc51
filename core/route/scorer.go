package route

import (
	"time"

	"github.com/wheatseam/wheatseam/bundle"
)

const (
	// slownessFree is the multiple of the usual latency that costs nothing.
	freeSlowness = 2.0
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
	return (float64(c.OwnCalls) + c.SampledOtherCalls + 1) / v.Concurrency
}

// latencyScorer costs slowness beyond what is usual in the pool.
type latencyScorer struct{ weight float64 }

func (latencyScorer) Name() string { return "latency" }
func (s latencyScorer) Cost(_ *View, c *Candidate) float64 {
	return s.weight * max(0, c.Slowness-freeSlowness)
}

// localityScorer costs the round trip of leaving the failure domain or region
// relative to the latency of the stage.
type localityScorer struct{ crossDomainRTT, crossRegionRTT time.Duration }

func (localityScorer) Name() string { return "locality" }
func (s localityScorer) Cost(v *View, c *Candidate) float64 {
	var trip time.Duration
	switch {
	case c.Domain == v.Domain:
		return 0
	case v.sameRegion(c):
		trip = s.crossDomainRTT
	default:
		trip = s.crossRegionRTT
	}
	typical := v.MedianLatency
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
	if v.PrefixHome >= 0 && &v.Candidates[v.PrefixHome] == c {
		return -s.bonus
	}
	return 0
}

// backlogScorer costs the time for which the engine reads other prompts first.
type backlogScorer struct{ weight float64 }

func (backlogScorer) Name() string { return "backlog" }

func (s backlogScorer) Cost(_ *View, c *Candidate) float64 { return s.weight * c.Backlog.Seconds() }

const (
	// packBound is the share of an engine's concurrency up to which calls are
	// packed; beyond it they spread.
	maxPackedLoad = 0.8
	// packSlack is the multiple of the usual latency that a generation must
	// have time for to be packed: in a full batch it takes up to twice as long.
	minPackBudgetFactor = 3
)

// packs says whether the call may be packed: a generation with time to spare.
func canPack(v *View) bool {
	return v.Query.Kind == bundle.StageGenerate && v.MedianLatency > 0 && v.Query.Budget >= minPackBudgetFactor*v.MedianLatency
}

// packScorer makes engines cheaper the fuller they are, up to packBound. A step
// of an engine costs much the same whatever its batch, so that a token of a
// full batch costs least and comes later. It is in force only where cost weighs
// more than attainment.
type packScorer struct {
	// weight is the weight of cost in the objective, 0 to 1.
	weight float64
}

func (packScorer) Name() string { return "pack" }
func (s packScorer) Cost(v *View, c *Candidate) float64 {
	load := (float64(c.OwnCalls) + c.SampledOtherCalls + 1) / v.Concurrency
	if !canPack(v) || load > maxPackedLoad {
		return 0
	}
	return -2 * s.weight * load
}

// packWeight returns the weight of cost if it prevails, else 0.
func packWeight(o bundle.Objective) float64 {
	if o.CostByStage <= o.Attainment {
		return 0
	}
	return o.CostByStage / (o.Attainment + o.CostByStage)
}

// adaptiveScorers are the scorers of the adaptive policy.
func adaptiveScorers(c Config) []Scorer {
	return []Scorer{
		loadScorer{},
		latencyScorer{c.LatencyWeight},
		localityScorer{c.CrossDomainRTT, c.CrossRegionRTT},
		prefixScorer{c.PrefixBonus},
		backlogScorer{c.BacklogWeight},
	}
}

// scoreOf adds up the costs of c.
func totalCost(v *View, ss []Scorer, c *Candidate) float64 {
	var sum float64
	for _, s := range ss {
		sum += s.Cost(v, c)
	}
	return sum
}
