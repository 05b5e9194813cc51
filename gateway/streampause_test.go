package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/wheatseam/wheatseam/core/catalog"
	"github.com/wheatseam/wheatseam/core/request"
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

// Guards against late streams that cannot be explained from the log, and against new fields
// in deployments whose replicas report no slowdowns.
func TestAttemptLineShowsThePrediction(t *testing.T) {
	g := NewWithT(t)
	fields := func(c request.Choice) map[string]any {
		logged, logs := observer.New(zap.InfoLevel)
		x := &exchange{g: &Gateway{log: zap.New(logged)}, config: &catalog.Config{}}
		(&attempt{x: x, choice: c}).logAttempt(answered, nil)
		return logs.All()[0].ContextMap()
	}
	predicted := fields(request.Choice{Slowdown: 1.6, ExpectedPause: 512345 * time.Microsecond})
	g.Expect(predicted).To(HaveKeyWithValue("slowdown", 1.6))
	g.Expect(predicted).To(HaveKeyWithValue("expected_pause", 512*time.Millisecond))
	g.Expect(fields(request.Choice{})).NotTo(Or(HaveKey("slowdown"), HaveKey("expected_pause")))
}
