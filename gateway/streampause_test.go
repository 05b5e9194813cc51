package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/internal/clock"
)

// Guards against pauses that are not the replica's: a caller that reads slowly, and a host
// that was suspended. Either would make the router avoid replicas that are on time.
func TestPauseMeterCountsOnlyPausesOfTheReplica(t *testing.T) {
	g := NewWithT(t)
	var m pauseMeter
	m.arrived()
	time.Sleep(60 * time.Millisecond) // the caller reads
	m.relayed()
	m.arrived()
	g.Expect(m.longest).To(BeNumerically("<", 50*time.Millisecond))
	clock.SimulateSuspension(time.Second)
	m.arrived()
	g.Expect(m.longest).To(BeNumerically("<", 50*time.Millisecond))
	m.relayed()
	time.Sleep(60 * time.Millisecond)
	m.arrived()
	g.Expect(m.longest).To(BeNumerically(">=", 60*time.Millisecond))
}

// Guards against long streams that are routed as short ones, or the other way round.
func TestExpectedEvents(t *testing.T) {
	g := NewWithT(t)
	e := newEventCountEstimator()
	g.Expect(e.expect("chat", 200)).To(BeZero(), "no stream has ended")
	for range 50 {
		e.observe("chat", 200, 50)
		e.observe("chat", 400, 90)
		e.observe("note", 0, 4)
	}
	g.Expect(e.expect("chat", 300)).To(BeNumerically("~", 70, 2), "in proportion to the maximum")
	g.Expect(e.expect("chat", 0)).To(BeNumerically("~", 70, 2), "the mean without a maximum")
	g.Expect(e.expect("note", 100)).To(Equal(4), "no stream of the route stated a maximum")
	g.Expect(e.expect("other", 100)).To(BeZero())
}
