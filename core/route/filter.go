package route

import "slices"

// Relaxation says when the refusals of a filter are lifted because no
// candidate is left: Never, or in rising order.
type RelaxLevel uint8

// The relaxations.
const (
	Never RelaxLevel = iota
	RelaxFirst
	RelaxSecond
	RelaxThird
	RelaxLast
)

// Filter refuses candidates. Refuse returns the reason, or "" to let c pass.
// Implementations have no state and may be used concurrently.
type Filter interface {
	Name() string
	Relax() RelaxLevel
	Refuse(v *View, c *Candidate) string
}

// leavingFilter refuses upstreams that are leaving: they get no new work.
type leavingFilter struct{}

func (leavingFilter) Name() string      { return "leaving" }
func (leavingFilter) Relax() RelaxLevel { return Never }
func (leavingFilter) Refuse(_ *View, c *Candidate) string {
	if c.Leaving {
		return "leaving"
	}
	return ""
}

// saturatedFilter refuses upstreams with as many calls as they may have.
type saturatedFilter struct{}

func (saturatedFilter) Name() string      { return "saturated" }
func (saturatedFilter) Relax() RelaxLevel { return Never }
func (saturatedFilter) Refuse(v *View, c *Candidate) string {
	if c.Load() >= v.SaturationLimit {
		return "saturated"
	}
	return ""
}

// ejectedFilter refuses upstreams ejected for failures or slowness.
type ejectedFilter struct{}

func (ejectedFilter) Name() string                        { return "ejected" }
func (ejectedFilter) Relax() RelaxLevel                   { return RelaxThird }
func (ejectedFilter) Refuse(_ *View, c *Candidate) string { return c.Ejected }

// stalledFilter refuses upstreams where calls hang.
type stalledFilter struct{}

func (stalledFilter) Name() string      { return "stalled" }
func (stalledFilter) Relax() RelaxLevel { return RelaxSecond }
func (stalledFilter) Refuse(_ *View, c *Candidate) string {
	if c.Stalled {
		return "stalled"
	}
	return ""
}

// busyFilter refuses upstreams that refused calls a moment ago.
type busyFilter struct{}

func (busyFilter) Name() string      { return "busy" }
func (busyFilter) Relax() RelaxLevel { return RelaxSecond }
func (busyFilter) Refuse(_ *View, c *Candidate) string {
	if c.Busy {
		return "busy"
	}
	return ""
}

// readmittingFilter lets a readmitted upstream pass at its growing share.
type readmittingFilter struct{}

func (readmittingFilter) Name() string      { return "readmitting" }
func (readmittingFilter) Relax() RelaxLevel { return RelaxSecond }
func (readmittingFilter) Refuse(_ *View, c *Candidate) string {
	if c.RampDraw >= c.RampShare {
		return "readmitting"
	}
	return ""
}

// triedFilter refuses the upstreams of the request's earlier attempts.
type triedFilter struct{}

func (triedFilter) Name() string      { return "tried" }
func (triedFilter) Relax() RelaxLevel { return RelaxLast }
func (triedFilter) Refuse(v *View, c *Candidate) string {
	if slices.Contains(v.Query.Tried, c.Name) {
		return "tried"
	}
	return ""
}

// triedDomainFilter refuses the failure domains of earlier attempts.
type triedDomainFilter struct{}

func (triedDomainFilter) Name() string      { return "tried_domain" }
func (triedDomainFilter) Relax() RelaxLevel { return RelaxFirst }
func (triedDomainFilter) Refuse(v *View, c *Candidate) string {
	if slices.Contains(v.Query.TriedDomains, c.Domain) {
		return "tried_domain"
	}
	return ""
}

// domainFilter refuses failure domains other than the one in which the inputs
// lie.
type inputDomainFilter struct{}

func (inputDomainFilter) Name() string      { return "domain" }
func (inputDomainFilter) Relax() RelaxLevel { return RelaxFirst }
func (inputDomainFilter) Refuse(v *View, c *Candidate) string {
	if v.Query.Domain != "" && v.Query.Domain != c.Domain {
		return "other_domain"
	}
	return ""
}

// adaptiveFilters are the filters of the adaptive policy, in order.
func adaptiveFilters() []Filter {
	return []Filter{
		leavingFilter{}, intakeFilter{}, ejectedFilter{}, stalledFilter{}, busyFilter{},
		readmittingFilter{}, saturatedFilter{}, triedFilter{}, triedDomainFilter{}, inputDomainFilter{},
	}
}

// baselineFilters are the filters of the two baselines: no limits.
func baselineFilters() []Filter {
	return []Filter{leavingFilter{}, intakeFilter{}, triedFilter{}}
}

// filterResult holds, for each candidate, the set of filters that refuse it
// (bit i for filter i), and which candidates are eligible.
type filterResult struct {
	refusals []uint16
	eligible []int
	// relaxed is the highest relaxation that was needed; Never for none.
	relaxed RelaxLevel
}

// runFilters fills r with the verdicts of fs over v. Refusals are lifted, in
// the order of Relax, only as far as needed to leave one candidate.
func runFilters(v *View, fs []Filter, r *filterResult) {
	r.refusals = r.refusals[:0]
	for i := range v.Candidates {
		r.refusals = append(r.refusals, refusalsOf(v, fs, &v.Candidates[i]))
	}
	for r.relaxed = Never; r.relaxed <= RelaxLast; r.relaxed++ {
		lifted := relaxedFilters(fs, r.relaxed)
		r.eligible = r.eligible[:0]
		for i, set := range r.refusals {
			if set&^lifted == 0 {
				r.eligible = append(r.eligible, i)
			}
		}
		if len(r.eligible) > 0 {
			return
		}
	}
	r.relaxed = RelaxLast
}

func refusalsOf(v *View, fs []Filter, c *Candidate) uint16 {
	var set uint16
	for i, f := range fs {
		if f.Refuse(v, c) != "" {
			set |= 1 << i
		}
	}
	return set
}

// liftedAt returns the filters that are lifted at relaxation level.
func relaxedFilters(fs []Filter, level RelaxLevel) uint16 {
	var set uint16
	for i, f := range fs {
		if f.Relax() != Never && f.Relax() <= level {
			set |= 1 << i
		}
	}
	return set
}

// reasonOf returns the reason of the first filter that refused c.
func refusalReason(v *View, fs []Filter, c *Candidate) string {
	for _, f := range fs {
		if reason := f.Refuse(v, c); reason != "" {
			return f.Name() + ": " + reason
		}
	}
	return ""
}
