package route

import "slices"

// RelaxLevel is the level from which a filter is ignored because no candidate is left.
// The levels are tried in increasing order. Filters of level Never are not ignored.
type RelaxLevel uint8

// The relaxation levels.
const (
	Never RelaxLevel = iota
	RelaxFirst
	RelaxSecond
	RelaxThird
	RelaxLast
)

// Filter rejects candidates. Refuse returns the reason, or "" to accept c.
// Implementations are stateless and safe for concurrent use.
type Filter interface {
	Name() string
	Relax() RelaxLevel
	Refuse(v *View, c *Candidate) string
}

// leavingFilter rejects upstreams that are leaving, since they accept no new work.
type leavingFilter struct{}

func (leavingFilter) Name() string      { return "leaving" }
func (leavingFilter) Relax() RelaxLevel { return Never }
func (leavingFilter) Refuse(_ *View, c *Candidate) string {
	if c.Leaving {
		return "leaving"
	}
	return ""
}

// versionFilter rejects upstreams that cannot continue a stream, since another version of the
// software began it.
type versionFilter struct{}

func (versionFilter) Name() string      { return "version" }
func (versionFilter) Relax() RelaxLevel { return Never }
func (versionFilter) Refuse(v *View, c *Candidate) string {
	if v.Query.FixedVersion && v.Query.Version != c.Version {
		return "other_version"
	}
	return ""
}

// saturatedFilter rejects upstreams that have reached the saturation limit.
type saturatedFilter struct{}

func (saturatedFilter) Name() string      { return "saturated" }
func (saturatedFilter) Relax() RelaxLevel { return Never }
func (saturatedFilter) Refuse(v *View, c *Candidate) string {
	if c.Load() >= v.SaturationLimit {
		return "saturated"
	}
	return ""
}

// ejectedFilter rejects upstreams that are ejected.
type ejectedFilter struct{}

func (ejectedFilter) Name() string                        { return "ejected" }
func (ejectedFilter) Relax() RelaxLevel                   { return RelaxThird }
func (ejectedFilter) Refuse(_ *View, c *Candidate) string { return c.Ejected }

// stalledFilter rejects upstreams whose calls hang.
type stalledFilter struct{}

func (stalledFilter) Name() string      { return "stalled" }
func (stalledFilter) Relax() RelaxLevel { return RelaxSecond }
func (stalledFilter) Refuse(_ *View, c *Candidate) string {
	if c.Stalled {
		return "stalled"
	}
	return ""
}

// busyFilter rejects upstreams that refused calls a short time ago.
type busyFilter struct{}

func (busyFilter) Name() string      { return "busy" }
func (busyFilter) Relax() RelaxLevel { return RelaxSecond }
func (busyFilter) Refuse(_ *View, c *Candidate) string {
	if c.Busy {
		return "busy"
	}
	return ""
}

// readmittingFilter accepts a readmitted upstream with a probability that grows to 1.
type readmittingFilter struct{}

func (readmittingFilter) Name() string      { return "readmitting" }
func (readmittingFilter) Relax() RelaxLevel { return RelaxSecond }
func (readmittingFilter) Refuse(_ *View, c *Candidate) string {
	if c.RampDraw >= c.RampShare {
		return "readmitting"
	}
	return ""
}

// triedFilter rejects the upstreams of the request's earlier attempts.
type triedFilter struct{}

func (triedFilter) Name() string      { return "tried" }
func (triedFilter) Relax() RelaxLevel { return RelaxLast }
func (triedFilter) Refuse(v *View, c *Candidate) string {
	if slices.Contains(v.Query.TriedUpstreams, c.Name) {
		return "tried"
	}
	return ""
}

// triedDomainFilter rejects the failure domains of the request's earlier attempts.
type triedDomainFilter struct{}

func (triedDomainFilter) Name() string      { return "tried_domain" }
func (triedDomainFilter) Relax() RelaxLevel { return RelaxFirst }
func (triedDomainFilter) Refuse(v *View, c *Candidate) string {
	if slices.Contains(v.Query.TriedFailureDomains, c.Domain) {
		return "tried_domain"
	}
	return ""
}

// inputDomainFilter rejects failure domains other than the one that stores the inputs.
type inputDomainFilter struct{}

func (inputDomainFilter) Name() string      { return "domain" }
func (inputDomainFilter) Relax() RelaxLevel { return RelaxFirst }
func (inputDomainFilter) Refuse(v *View, c *Candidate) string {
	if v.Query.InputFailureDomain != "" && v.Query.InputFailureDomain != c.Domain {
		return "other_domain"
	}
	return ""
}

// adaptiveFilters returns the filters of the adaptive policy, in order.
func adaptiveFilters() []Filter {
	return []Filter{
		leavingFilter{}, versionFilter{}, intakeFilter{}, ejectedFilter{}, stalledFilter{}, unreachableFilter{}, busyFilter{},
		readmittingFilter{}, saturatedFilter{}, triedFilter{}, triedDomainFilter{}, inputDomainFilter{},
	}
}

// baselineFilters returns the filters of the two baseline policies, which set no limits
// on load or failures.
func baselineFilters() []Filter {
	return []Filter{leavingFilter{}, versionFilter{}, intakeFilter{}, triedFilter{}}
}

// filterResult holds, for each candidate, the set of filters that reject it (bit i for
// filter i), and the indexes of the eligible candidates.
type filterResult struct {
	refusals []uint16
	eligible []int
	// relaxed is the highest relaxation level that was needed, or Never.
	relaxed RelaxLevel
}

// runFilters applies fs to the candidates of v and stores the result in r. It relaxes
// filters, level by level, only as far as needed to leave one candidate.
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

// relaxedFilters returns the set of filters that are ignored at a relaxation level.
func relaxedFilters(fs []Filter, level RelaxLevel) uint16 {
	var set uint16
	for i, f := range fs {
		if f.Relax() != Never && f.Relax() <= level {
			set |= 1 << i
		}
	}
	return set
}

// refusalReason returns the name and the reason of the first filter that rejects c.
func refusalReason(v *View, fs []Filter, c *Candidate) string {
	for _, f := range fs {
		if reason := f.Refuse(v, c); reason != "" {
			return f.Name() + ": " + reason
		}
	}
	return ""
}
