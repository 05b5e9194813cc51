package route

import "github.com/wheatseam/wheatseam/core/intake"

// SetColdLimits sets the cold upstreams by name, each with the number of calls that this
// daemon may begin there in any second. It replaces the previous set.
func (r *Router) SetColdLimits(limits map[string]int) {
	quotas := make(map[string]intake.Quota, len(limits))
	for name, calls := range limits {
		quotas[name] = intake.Quota{Calls: calls, Window: intake.ColdWindow}
	}
	r.config.Limiters.SetQuotas(intake.Cold, quotas)
}

// intakeFilter rejects upstreams whose limiter blocks further calls from this daemon,
// because the daemon's quota is used up, the upstream is leaving, or it requested a
// backoff. The filter is never relaxed: a cold upstream that gets more calls may crash,
// with all calls that run there.
type intakeFilter struct{}

func (intakeFilter) Name() string      { return "intake" }
func (intakeFilter) Relax() RelaxLevel { return Never }
func (intakeFilter) Refuse(_ *View, c *Candidate) string {
	if c.IntakeLimited {
		return c.IntakeLimitSource.String()
	}
	return ""
}
