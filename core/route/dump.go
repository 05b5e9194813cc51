package route

import (
	"slices"
	"strings"
	"time"
)

// PoolState is the state of a pool in the state dump.
type PoolState struct {
	Pool      string          `json:"pool"`
	Policy    string          `json:"policy"`
	Limit     int             `json:"limit"`
	Upstreams []UpstreamState `json:"upstreams"`
	Stages    []StageState    `json:"stages"`
}

// UpstreamState is the state of one upstream in the state dump.
type UpstreamState struct {
	Upstream      string `json:"upstream"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	// InFlight counts the calls of this daemon. Reported counts the calls of all
	// daemons according to the latest load report, which is ReportAge old.
	InFlight  int            `json:"in_flight"`
	Reported  *int           `json:"reported,omitempty"`
	ReportAge *time.Duration `json:"report_age_ns,omitempty"`
	// Slowness is the smoothed latency as a multiple of the usual latency.
	Slowness float64 `json:"slowness"`
	// Slowdown is the predicted slowdown of the upstream's machine, and BaselineSlowdown the
	// lowest that any host has observed lately; 0 in a pool without slowdowns, or if there is
	// no baseline.
	Slowdown         float64 `json:"slowdown,omitempty"`
	BaselineSlowdown float64 `json:"baseline_slowdown,omitempty"`
	Leaving          bool    `json:"leaving,omitempty"`
	// Ejected is the reason why the upstream is ejected until EjectedUntil.
	Ejected      string     `json:"ejected,omitempty"`
	EjectedUntil *time.Time `json:"ejected_until,omitempty"`
	// UnreachableUntil is set if there is evidence that the upstream can't be reached. It is
	// avoided until this time, and gets one call at a time from then on.
	UnreachableUntil *time.Time `json:"unreachable_until,omitempty"`
	// Share is the share of its traffic that the upstream gets. It is below 1 while the
	// upstream is ejected or being readmitted.
	Share float64 `json:"share"`
}

// StageState holds the measured latencies of one stage; 0 means not measured yet.
type StageState struct {
	Stage        string        `json:"stage"`
	Median       time.Duration `json:"median_ns"`
	P95          time.Duration `json:"p95_ns"`
	FirstByteP95 time.Duration `json:"first_byte_p95_ns"`
	// PauseP90 is the 90th percentile of the longest pauses of streams at an upstream of the
	// usual speed.
	PauseP90 time.Duration `json:"pause_p90_ns,omitempty"`
}

// Dump returns the state of all pools, sorted by name.
func (r *Router) Dump(now time.Time) []PoolState {
	var pools []PoolState
	for _, p := range r.current.Load().pools {
		pools = append(pools, p.dump(now, &r.config))
	}
	slices.SortFunc(pools, func(a, b PoolState) int { return strings.Compare(a.Pool, b.Pool) })
	return pools
}

func (p *poolView) dump(now time.Time, c *Config) PoolState {
	p.shard.mu.Lock()
	defer p.shard.mu.Unlock()
	d := PoolState{Pool: p.name, Policy: string(p.steps.policy), Limit: int(p.saturationLimit)}
	for _, m := range p.members.all {
		d.Upstreams = append(d.Upstreams, p.dumpMember(now, m, c))
	}
	slices.SortFunc(d.Upstreams, func(a, b UpstreamState) int { return strings.Compare(a.Upstream, b.Upstream) })
	for name, l := range p.shard.stages {
		st := StageState{Stage: name, Median: l.total.median}
		st.P95, _ = l.total.quantile(0.95)
		st.FirstByteP95, _ = l.firstByte.quantile(0.95)
		st.PauseP90 = l.usualPause(0)
		d.Stages = append(d.Stages, st)
	}
	slices.SortFunc(d.Stages, func(a, b StageState) int { return strings.Compare(a.Stage, b.Stage) })
	return d
}

func (p *poolView) dumpMember(now time.Time, m *member, c *Config) UpstreamState {
	s, limiter := m.stateAndLimiter(c)
	u := UpstreamState{
		Upstream: m.name, Address: m.address, FailureDomain: m.domain,
		InFlight: s.ownCalls, Slowness: s.decayedSlowness(now), Leaving: p.isLeaving(m, s, limiter),
		Share: s.ejection.share(now, c.Ejection.RampDuration),
	}
	if p.shard.hasSlowdowns {
		u.Slowdown, u.BaselineSlowdown = predictSlowdown(now, m, &s.reportedSlowdown), m.baselineSlowdown
	}
	if s.hasReport {
		calls, age := s.report.Running+s.report.Queued, now.Sub(s.report.AsOf)
		u.Reported, u.ReportAge = &calls, &age
	}
	if s.ejection.active(now) {
		until := s.ejection.until
		u.Ejected, u.EjectedUntil = s.ejection.reason, &until
	}
	u.UnreachableUntil = s.unreachable.untilOrNil()
	return u
}
