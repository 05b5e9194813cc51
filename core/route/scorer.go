package route

import (
	"time"

	"github.com/wheatseam/wheatseam/bundle"
)

const (
	// freeSlowness is the multiple of the usual latency up to which slowness costs
	// nothing.
	freeSlowness = 2.0
	// unmeasuredLatency is the assumed latency of a stage until it is measured.
	unmeasuredLatency = 50 * time.Millisecond
	// maxLocalityCost limits the cost of leaving the failure domain, so that load can
	// outweigh it.
	maxLocalityCost = 0.5
)

// Scorer adds to the cost of a candidate. Lower is better; 1 is the cost of a full
// upstream. Implementations are stateless and safe for concurrent use.
type Scorer interface {
	Name() string
	Cost(v *View, c *Candidate) float64
}

// loadScorer charges the utilization of the upstream including this call: the daemon's
// own calls in flight and the assumed number of other daemons' calls, relative to the
// concurrency, times the upstream's slowdown: a slower one completes as many calls later.
type loadScorer struct{}

func (loadScorer) Name() string { return "load" }
func (loadScorer) Cost(v *View, c *Candidate) float64 {
	return (float64(c.OwnCalls) + c.SampledOtherCalls + 1) / v.Concurrency * v.slowdownOf(c)
}

// latencyScorer charges slowness beyond freeSlowness.
type latencyScorer struct{ weight float64 }

func (latencyScorer) Name() string { return "latency" }
func (s latencyScorer) Cost(_ *View, c *Candidate) float64 {
	return s.weight * max(0, c.Slowness-freeSlowness)
}

// localityScorer charges the round-trip time of leaving the failure domain or region,
// relative to the latency of the stage.
type localityScorer struct{ crossDomainRTT, crossRegionRTT time.Duration }

func (localityScorer) Name() string { return "locality" }
func (s localityScorer) Cost(v *View, c *Candidate) float64 {
	var rtt time.Duration
	switch {
	case c.Domain == v.Domain:
		return 0
	case v.sameRegion(c):
		rtt = s.crossDomainRTT
	default:
		rtt = s.crossRegionRTT
	}
	latency := v.MedianLatency
	if latency <= 0 {
		latency = unmeasuredLatency
	}
	return min(maxLocalityCost, float64(rtt)/float64(latency))
}

// prefixScorer rewards the upstream that is likely to have the prompt's prefix in its
// cache.
type prefixScorer struct{ bonus float64 }

func (prefixScorer) Name() string { return "prefix" }
func (s prefixScorer) Cost(v *View, c *Candidate) float64 {
	if v.PrefixHome >= 0 && &v.Candidates[v.PrefixHome] == c {
		return -s.bonus
	}
	return 0
}

// backlogScorer charges the time that the engine needs for the prefill of earlier
// prompts.
type backlogScorer struct{ weight float64 }

func (backlogScorer) Name() string { return "backlog" }

func (s backlogScorer) Cost(_ *View, c *Candidate) float64 { return s.weight * c.Backlog.Seconds() }

const (
	// maxPackedLoad is the utilization of an engine up to which calls are packed onto
	// it. Beyond it, calls are spread.
	maxPackedLoad = 0.8
	// minPackBudgetFactor times the median latency is the time budget that a generation
	// needs in order to be packed: in a full batch it takes up to twice as long.
	minPackBudgetFactor = 3
)

// canPack reports whether the call may be packed: it is a generation with a sufficient
// time budget.
func canPack(v *View) bool {
	return v.Query.Kind == bundle.StageGenerate && v.MedianLatency > 0 && v.Query.Budget >= minPackBudgetFactor*v.MedianLatency
}

// packScorer makes engines cheaper the fuller they are, up to maxPackedLoad. A step of
// an engine costs about the same for any batch size, so a token of a full batch is the
// cheapest but takes longer. The scorer is used only if the objective weighs cost more
// than attainment.
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

// packWeight returns the weight of cost if it exceeds that of attainment, and 0
// otherwise.
func packWeight(o bundle.Objective) float64 {
	if o.CostByStage <= o.Attainment {
		return 0
	}
	return o.CostByStage / (o.Attainment + o.CostByStage)
}

// adaptiveScorers returns the scorers of the adaptive policy.
func adaptiveScorers(c Config) []Scorer {
	return []Scorer{
		loadScorer{},
		latencyScorer{c.LatencyWeight},
		localityScorer{c.CrossDomainRTT, c.CrossRegionRTT},
		prefixScorer{c.PrefixBonus},
		backlogScorer{c.BacklogWeight},
		pauseScorer{c.PauseWeight},
	}
}

// totalCost returns the sum of the costs of c.
func totalCost(v *View, ss []Scorer, c *Candidate) float64 {
	var sum float64
	for _, s := range ss {
		sum += s.Cost(v, c)
	}
	return sum
}
