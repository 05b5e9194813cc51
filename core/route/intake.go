package route

import (
	"time"

	"github.com/wheatseam/wheatseam/core/intake"
)

// coldWindow is the time over which the calls that begin at a cold upstream are
// limited: one second, plus an allowance for the variable delay between picking and
// sending.
const coldWindow = 1100 * time.Millisecond

// SetColdLimits sets the cold upstreams by name, each with the number of calls that this
// daemon may begin there in any second. It replaces the previous set.
func (r *Router) SetColdLimits(limits map[string]int) {
	parts := make(map[string]intake.Quota, len(limits))
	for name, calls := range limits {
		parts[name] = intake.Quota{Calls: calls, Window: coldWindow}
	}
	r.config.Gates.SetQuotas(intake.Cold, parts)
}

// intakeFilter rejects upstreams whose gate refuses further calls from this daemon,
// because its quota there is used up or because the upstream is leaving or resting. It
// is never relaxed: a cold upstream that gets more calls may crash, with all calls that
// run there.
type intakeFilter struct{}

func (intakeFilter) Name() string      { return "intake" }
func (intakeFilter) Relax() RelaxLevel { return Never }
func (intakeFilter) Refuse(_ *View, c *Candidate) string {
	if c.IntakeLimited {
		return c.IntakeLimitSource.String()
	}
	return ""
}
