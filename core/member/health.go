package member

import "time"

// maxHealthScore bounds the local health score; timeouts grow by one plus it.
const maxHealthScore = 3

// recentProbes is the number of probes that tell a slow prober from slow
// targets.
const recentProbes = 8

// health judges this process itself (Lifeguard's local health multiplier): a
// slow prober waits longer before it blames others.
type health struct {
	score  int
	recent uint32 // one bit for each of the last probes; set means failed
	count  int
}

// probe notes the end of one probe.
func (h *health) probe(failed bool) {
	h.recent = h.recent << 1 & (1<<recentProbes - 1)
	h.count = min(h.count+1, recentProbes)
	if !failed {
		h.score = max(h.score-1, 0)
		return
	}
	h.recent |= 1
	if h.mostFail() {
		h.worsen()
	}
}

// mostFail says that more than half of the recent probes failed, which speaks
// against this process rather than against its targets.
func (h *health) mostFail() bool {
	failed := 0
	for bits := h.recent; bits != 0; bits &= bits - 1 {
		failed++
	}
	return 2*failed > h.count && h.count > 2
}

// worsen notes a sign that this process is slow.
func (h *health) worsen() { h.score = min(h.score+1, maxHealthScore) }

// scale stretches a timeout by the health.
func (h *health) scale(d time.Duration) time.Duration { return d * time.Duration(1+h.score) }

// freshness tells whether the views were renewed since a start or a pause.
type freshness struct {
	fresh bool
	since time.Time // start of the present stale time
	acked map[string]bool
}

// lose begins a stale time.
func (f *freshness) lose(now time.Time) {
	f.fresh = false
	f.since = now
	f.acked = map[string]bool{}
}
