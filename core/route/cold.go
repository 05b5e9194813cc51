package route

import "time"

const (
	// coldWindow is the time in which a cold upstream gets no more calls than this
	// daemon's part: a second, and by how much the times of sending may differ from
	// those of picking.
	coldWindow = 1100 * time.Millisecond
	// maxColdCalls bounds the part that is kept count of.
	maxColdCalls = 16
)

// warming limits the calls that are begun at an upstream while it is cold.
type warming struct {
	cold bool
	// most is the number of calls that may begin in any coldWindow while it is.
	most int
	// begun are the last calls, newest at newest, also those of before it was cold.
	begun  [maxColdCalls]time.Time
	newest int
}

// begin notes a call.
func (w *warming) begin(now time.Time) {
	w.newest = (w.newest + 1) % maxColdCalls
	w.begun[w.newest] = now
}

// refuses says whether a call may not begin.
func (w *warming) refuses(now time.Time) bool {
	if !w.cold {
		return false
	}
	if w.most < 1 {
		return true
	}
	oldest := w.begun[(w.newest+1+maxColdCalls-min(w.most, maxColdCalls))%maxColdCalls]
	return !oldest.IsZero() && now.Sub(oldest) < coldWindow
}

// SetCold says which upstreams, by name, are cold, and how many calls this daemon may
// begin at each in any second; it replaces what was said before.
func (r *Router) SetCold(most map[string]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cold = most
	for name, places := range r.current.Load().byUpstream {
		for _, pl := range places {
			pl.pool.shard.mu.Lock()
			pl.state.warming.set(r.cold, name)
			pl.pool.shard.mu.Unlock()
		}
	}
}

func (w *warming) set(most map[string]int, name string) {
	w.most, w.cold = most[name]
}

// coldFilter refuses cold upstreams that have had this daemon's part of their calls.
// It is never lifted: an upstream that gets more may end, with all that runs there.
type coldFilter struct{}

func (coldFilter) Name() string      { return "cold" }
func (coldFilter) Relax() Relaxation { return Never }
func (coldFilter) Refuse(_ *View, c *Candidate) string {
	if c.Cold {
		return "cold"
	}
	return ""
}
