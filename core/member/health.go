package member

import "time"

// maxHealthScore bounds the local health score. Timeouts are multiplied by one
// plus the score.
const maxHealthScore = 3

// healthWindow is the number of recent probes used to distinguish a slow local process
// from slow targets.
const healthWindow = 8

// localHealth estimates whether this process itself is slow (Lifeguard's local
// health multiplier). A slow process waits longer before it suspects others.
type localHealth struct {
	score       int
	failureBits uint32 // one bit per recent probe; set if it failed
	probeCount  int
}

// recordProbe records the outcome of one probe.
func (h *localHealth) recordProbe(failed bool) {
	h.failureBits = h.failureBits << 1 & (1<<healthWindow - 1)
	h.probeCount = min(h.probeCount+1, healthWindow)
	if !failed {
		h.score = max(h.score-1, 0)
		return
	}
	h.failureBits |= 1
	if h.mostProbesFailed() {
		h.increaseScore()
	}
}

// mostProbesFailed reports whether more than half of the recent probes failed,
// which indicates that this process is slow rather than its targets.
func (h *localHealth) mostProbesFailed() bool {
	failed := 0
	for bits := h.failureBits; bits != 0; bits &= bits - 1 {
		failed++
	}
	return 2*failed > h.probeCount && h.probeCount > 2
}

// increaseScore records a sign that this process is slow.
func (h *localHealth) increaseScore() { h.score = min(h.score+1, maxHealthScore) }

// scaleTimeout multiplies a timeout by one plus the score.
func (h *localHealth) scaleTimeout(d time.Duration) time.Duration {
	return d * time.Duration(1+h.score)
}

// freshness tracks whether the membership view has been refreshed since the last
// start or pause.
type freshness struct {
	fresh      bool
	staleSince time.Time       // start of the current stale period
	acked      map[string]bool // hosts that acked a ping since staleSince
}

// markStale starts a stale period.
func (f *freshness) markStale(now time.Time) {
	f.fresh = false
	f.staleSince = now
	f.acked = map[string]bool{}
}
