package gateway_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/internal/standin/site"
)

// Seen: of 61 streams that were cut, the twelve without stages went on elsewhere; the 49
// with stages were refused by the stages' planner a few milliseconds later, and broken off.
//
// How it came about: the results that the next run reads were asked for by what was left
// of the objective of the first event. That is over when a stream has been under way for
// long, and a job that is due already is refused whatever room there is.
//
// Proved by the planner's lines: overload, with 0.3 s predicted and nine seconds left.
//
// Streams behind stages that break off later than their objective go on elsewhere.
func TestStreamsWithStagesResumeAfterTheirObjective(t *testing.T) {
	for _, after := range []int{3, 4} {
		t.Run(fmt.Sprintf("after %d events", after), func(t *testing.T) {
			t.Parallel()
			f := newFixtureOf(t)
			const objective = time.Second // of longPath
			f.replicas["e1"].Behave(site.Behaviour{CutAfterEvents: after, EventEvery: 400 * time.Millisecond})
			a, id, took := f.sendUntilFirstEngine(f.start().ready(), withLongDeadlineAndStage)
			f.Expect(a.err).NotTo(HaveOccurred())
			f.Expect(a.body).To(Equal(streamEvents(id, 1, 5)))
			f.Expect(took).To(BeNumerically(">", objective), "the case is another")
			f.Expect(f.ledger.Runs(id)).To(HaveLen(2))
			f.Expect(f.ledger.Faults()).To(BeEmpty())
		})
	}
}
