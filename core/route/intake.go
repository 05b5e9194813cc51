package route

import (
	"time"

	"github.com/wheatseam/wheatseam/core/intake"
)

// coldWindow is the time in which a cold upstream gets no more calls than this
// daemon's part: a second, and by how much the times of sending may differ from
// those of picking.
const coldWindow = 1100 * time.Millisecond

// SetCold says which upstreams, by name, are cold, and how many calls this daemon may
// begin at each in any second; it replaces what was said before.
func (r *Router) SetCold(most map[string]int) {
	parts := make(map[string]intake.Part, len(most))
	for name, calls := range most {
		parts[name] = intake.Part{Calls: calls, Window: coldWindow}
	}
	r.config.Gates.SetParts(intake.Cold, parts)
}

// intakeFilter refuses upstreams that have had this daemon's part of the calls that
// they take. It is never lifted: a cold upstream that gets more may end, with all that
// runs there.
type intakeFilter struct{}

func (intakeFilter) Name() string      { return "intake" }
func (intakeFilter) Relax() RelaxLevel { return Never }
func (intakeFilter) Refuse(_ *View, c *Candidate) string {
	if c.IntakeLimited {
		return c.IntakeLimitSource.String()
	}
	return ""
}
