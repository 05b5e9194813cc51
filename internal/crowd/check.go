package crowd

import (
	"testing"
	"time"
)

// Bound is what a process may use beside a crowd.
type Bound struct {
	// MemoryMB is in units of 2^20 bytes; 0 for no bound. So is Descriptors.
	MemoryMB, Descriptors int
}

// observation is how long a crowd is played before the ordinary requests beside it.
const observation = 2 * time.Second

// Target is a process under attack.
type Target interface {
	Watch() *Monitor
	Alive() error
	Answers() error
}

// Check plays a crowd of n connections against an address of a process, and expects that the
// process lives, stays under the bound, and answers ordinary requests beside the crowd and after it.
func Check(t *testing.T, p Target, address string, n int, k Kind, b Bound) {
	t.Helper()
	monitor := p.Watch()
	c := Start(address, n, k)
	time.Sleep(observation)
	beside := p.Answers()
	c.Stop()
	peak, descriptors, err := monitor.Stop()
	after := p.Answers()
	t.Logf("%s: %d connections, opened %d times; peak: resident %d MB, unread %d MB; descriptors %d",
		k.Name, n, c.Opened(), peak.ResidentBytes>>20, peak.UnreadBytes>>20, descriptors)
	if err := p.Alive(); err != nil {
		t.Errorf("%s: %v", k.Name, err)
	}
	if beside != nil {
		t.Errorf("%s: beside the crowd: %v", k.Name, beside)
	}
	if after != nil {
		t.Errorf("%s: after the crowd: %v", k.Name, after)
	}
	if err != nil {
		t.Errorf("measuring the process: %v", err)
	}
	if mb := peak.Memory() >> 20; b.MemoryMB > 0 && mb >= int64(b.MemoryMB) {
		t.Errorf("%s: the process used %d MB, want less than %d", k.Name, mb, b.MemoryMB)
	}
	if b.Descriptors > 0 && descriptors >= b.Descriptors {
		t.Errorf("%s: the process had %d descriptors open, want less than %d", k.Name, descriptors, b.Descriptors)
	}
}
