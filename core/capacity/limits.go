package capacity

import (
	"cmp"
	"slices"
	"time"
)

// Assumptions state what makes the limits optimistic; every output includes them.
var Assumptions = []string{
	"This is an optimistic upper bound for requests of mean size: no policy can serve more on average, and a real one serves less.",
	"Calls are full batches and results are held no longer than the shortest call and the read time.",
	"No faults, no retries, no queues in front of single replicas, and the best order with all arrivals known beforehand.",
	"All requests of a kind have the mean size: a policy that refuses the large ones first can serve a larger share.",
}

// Limits are upper bounds on what a deployment can serve in time.
type Limits struct {
	Assumptions []string `json:"assumptions"`
	// StepMs is the resolution of the calculation in milliseconds.
	StepMs int64 `json:"step_ms"`
	// Exact is false if the search was ended before it had found the best schedule. The worth
	// and the shares alone of the whole period are upper bounds all the same.
	Exact bool `json:"exact"`
	// PeriodSeconds is the length of the period.
	PeriodSeconds int      `json:"period_seconds"`
	Whole         Span     `json:"whole"`
	Seconds       []Span   `json:"seconds"`
	Worth         Worth    `json:"worth"`
	Densest       []Dense  `json:"densest"`
	Tight         []Tight  `json:"tight"`
	Impossible    []string `json:"impossible"`
}

// Worth is the worth of all requests and of those that can be served in time.
type Worth struct {
	Offered float64 `json:"offered"`
	AtMost  float64 `json:"at_most"`
	Share   float64 `json:"share"`
}

// Span describes a second, or the whole period.
type Span struct {
	// Second counts from 0; it is 0 for the whole period.
	Second int         `json:"second"`
	Usage  []Usage     `json:"usage"`
	Kinds  []KindLimit `json:"kinds"`
	// Binding lists the constraints that limit the served worth at some time of the span, the
	// one that costs most first.
	Binding []Resource `json:"binding"`
}

// Resource names a constraint of a service, such as the calls of a stage service.
type Resource struct {
	Service    string `json:"service"`
	Constraint string `json:"constraint"`
}

// String returns "service/constraint".
func (r Resource) String() string { return r.Service + "/" + r.Constraint }

// Usage is the work of the requests that arrive in a span, as a part of what the service can
// do in it. It exceeds 1 if more is asked than can be done.
type Usage struct {
	Resource
	Share float64 `json:"share"`
}

// KindLimit is what can be served in time of the requests of a kind that arrive in a span.
type KindLimit struct {
	Kind     string  `json:"kind"`
	Priority int     `json:"priority"`
	Requests float64 `json:"requests"`
	// ShareAlone is the share if all other kinds are refused. No policy serves more.
	ShareAlone float64 `json:"share_alone"`
	// ShareInBest is the share if the worth of all kinds together is highest. The parts of the
	// seconds are those of one of several schedules that may be equally good.
	ShareInBest float64 `json:"share_in_best"`
}

// Dense is the interval in which most work of a resource is due, with the work that can
// only be done in it as a part of what can be done. Up to 1, waiting absorbs the load; above
// 1, requests have to be refused or are late.
type Dense struct {
	Resource
	FromMs int64   `json:"from_ms"`
	ToMs   int64   `json:"to_ms"`
	Share  float64 `json:"share"`
}

// Tight is an interval in which a constraint limits the served worth.
type Tight struct {
	Resource
	FromMs int64 `json:"from_ms"`
	ToMs   int64 `json:"to_ms"`
	// WorthPerSecond is what one more second of the service's whole capacity would add.
	WorthPerSecond float64 `json:"worth_per_second"`
}

// calculation holds the parts from which Limits are put together.
type calculation struct {
	deployment *Deployment
	model      *model
	grid       grid
	// arrivals are by kind and step.
	arrivals [][]float64
	best     *schedule
	// alone are the schedules of each kind without the others.
	alone []*schedule
}

// Calculate returns the limits of a deployment that Parse has validated.
func Calculate(d *Deployment) *Limits {
	c := &calculation{deployment: d, model: newModel(d), grid: newGrid(d.Period)}
	worths := make([]float64, len(d.Kinds))
	for i := range d.Kinds {
		c.arrivals = append(c.arrivals, d.arrivals(&d.Kinds[i], c.grid))
		worths[i] = d.Kinds[i].Worth
	}
	c.best = newSchedule(c.model, c.grid, worths, c.arrivals)
	for i := range d.Kinds {
		only := make([]float64, len(d.Kinds))
		only[i] = 1
		c.alone = append(c.alone, newSchedule(c.model, c.grid, only, c.arrivals))
	}
	return c.limits()
}

func (c *calculation) limits() *Limits {
	seconds := int(c.deployment.Period / time.Second)
	l := &Limits{
		Assumptions: Assumptions, StepMs: c.grid.step.Milliseconds(), PeriodSeconds: seconds,
		Whole: c.span(0, c.grid.steps), Densest: c.densest(), Tight: c.tight(), Impossible: c.impossible(),
	}
	perSecond := int(time.Second / c.grid.step)
	for i := range seconds {
		s := c.span(i*perSecond, (i+1)*perSecond)
		s.Second = i
		l.Seconds = append(l.Seconds, s)
	}
	l.Exact = c.best.exact
	for i, k := range c.deployment.Kinds {
		l.Exact = l.Exact && c.alone[i].exact
		requests := l.Whole.Kinds[i].Requests
		l.Worth.Offered += requests * k.Worth
		// The dual bound holds even if the search was ended by its iteration limit.
		l.Whole.Kinds[i].ShareAlone = share(c.alone[i].bound, requests)
	}
	l.Worth.AtMost = min(c.best.bound, l.Worth.Offered)
	l.Worth.Share = share(l.Worth.AtMost, l.Worth.Offered)
	return l
}

// share returns part/whole, at most 1.
func share(part, whole float64) float64 {
	if whole <= 0 {
		return 0
	}
	return min(part/whole, 1)
}

// span describes the steps from first to the one before end.
func (c *calculation) span(first, end int) Span {
	s := Span{Usage: c.usage(first, end), Binding: c.binding(first, end)}
	for i, k := range c.deployment.Kinds {
		requests := sum(c.arrivals[i][first:end])
		s.Kinds = append(s.Kinds, KindLimit{
			Kind: k.Name, Priority: k.Priority, Requests: requests,
			ShareAlone:  share(c.alone[i].servedRequests(i, first, end), requests),
			ShareInBest: share(c.best.servedRequests(i, first, end), requests),
		})
	}
	return s
}

func sum(values []float64) float64 {
	var total float64
	for _, v := range values {
		total += v
	}
	return total
}

// servedRequests returns how many requests of a kind that arrive in the steps are served.
func (s *schedule) servedRequests(kind, first, end int) float64 {
	var n float64
	for j, col := range s.columns {
		if col.kind == kind && col.step >= first && col.step < end {
			n += s.served[j] * col.requests
		}
	}
	return n
}

// usage returns the usage by constraint, and by part where a constraint has several.
func (c *calculation) usage(first, end int) []Usage {
	seconds := float64(end-first) * c.grid.step.Seconds()
	var out []Usage
	for i, r := range c.model.resources {
		var total float64
		for _, part := range r.parts {
			work := c.offered(i, part, first, end) / r.capacity / seconds
			total += work
			out = append(out, Usage{Resource{r.service, part}, work})
		}
		if len(r.parts) > 1 {
			out = append(out, Usage{Resource{r.service, r.constraint}, total})
		}
	}
	return out
}

// offered returns the amount of a part of a resource that all requests of the steps ask for.
func (c *calculation) offered(resource int, part string, first, end int) float64 {
	var amount float64
	for _, v := range c.model.variants {
		for _, d := range v.demands {
			if d.resource == resource && d.part == part {
				amount += d.amount * v.share * sum(c.arrivals[v.kind][first:end])
			}
		}
	}
	return amount
}

// binding returns the constraints that have a price in the steps, highest first.
func (c *calculation) binding(first, end int) []Resource {
	cost := make([]float64, len(c.model.resources))
	for i, v := range c.best.intervals {
		if v.first < end && first < v.end && c.isTight(i) {
			length := float64(v.end - v.first)
			overlap := float64(min(v.end, end) - max(v.first, first))
			cost[v.resource] += c.best.prices[i] * overlap / length
		}
	}
	var order []int
	for r, v := range cost {
		if v > 0 {
			order = append(order, r)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(cost[b], cost[a]) })
	out := []Resource{}
	for _, r := range order {
		out = append(out, c.resource(r, first, end))
	}
	return out
}

// priceTolerance is the part of the offered worth below which the price of an interval counts
// as zero. It lies above the differences by which newProgram separates equal variables.
const priceTolerance = 1e-5

func (c *calculation) isTight(i int) bool {
	var offered float64
	for _, v := range c.best.program.cost {
		offered += v
	}
	return c.best.prices[i] > priceTolerance*offered
}

// resource names a resource by its part for which most is asked in the steps.
func (c *calculation) resource(resource, first, end int) Resource {
	r := c.model.resources[resource]
	best, most := r.parts[0], -1.0
	for _, part := range r.parts {
		if v := c.offered(resource, part, first, end); v > most {
			best, most = part, v
		}
	}
	return Resource{r.service, best}
}

// densest returns the densest interval of each resource.
func (c *calculation) densest() []Dense {
	stepMs := c.grid.step.Milliseconds()
	out := []Dense{}
	for i, r := range c.model.resources {
		v, most := c.best.densest(i)
		out = append(out, Dense{Resource{r.service, r.constraint}, int64(v.first) * stepMs, int64(v.end) * stepMs, most})
	}
	return out
}

// tight returns the intervals that have a price, by their start.
func (c *calculation) tight() []Tight {
	out := []Tight{}
	for i, v := range c.best.intervals {
		if !c.isTight(i) {
			continue
		}
		out = append(out, Tight{
			Resource: c.resource(v.resource, min(v.first, c.grid.steps-1), min(v.end, c.grid.steps)),
			FromMs:   int64(v.first) * c.grid.step.Milliseconds(), ToMs: int64(v.end) * c.grid.step.Milliseconds(),
			WorthPerSecond: c.best.prices[i] / (float64(v.end-v.first) * c.grid.step.Seconds()),
		})
	}
	slices.SortStableFunc(out, func(a, b Tight) int { return cmp.Compare(a.FromMs, b.FromMs) })
	return out
}

// impossible returns the kinds some of whose requests miss their objective even if nothing
// else is asked of the deployment.
func (c *calculation) impossible() []string {
	names := []string{}
	for _, v := range c.model.variants {
		if name := c.deployment.Kinds[v.kind].Name; !v.inTime && !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}
