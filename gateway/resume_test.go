package gateway_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/internal/standin/site"
)

// Guards against streams with stages that cannot resume at another engine once their
// objective for the first event has passed. Of 61 streams whose connections were cut, the
// twelve without stages resumed; the 49 with stages were refused by the stage planner a few
// milliseconds later, and ended incomplete. The stage results for the next run were due
// within the objective of the first event. That objective has passed when a stream has been
// running for long, and the planner refuses a job that is already due, whatever its
// capacity: its log lines show "overload" with 0.3 s predicted and nine seconds left.
func TestStreamsWithStagesResumeAfterTheirObjective(t *testing.T) {
	for _, after := range []int{3, 4} {
		t.Run(fmt.Sprintf("after %d events", after), func(t *testing.T) {
			t.Parallel()
			f := newFixtureOf(t)
			const objective = time.Second // of longPath
			f.replicas["e1"].SetBehaviour(site.Behaviour{AbortAfterEvents: after, EventInterval: 400 * time.Millisecond})
			a, id, took := f.sendUntilFirstEngine(f.start().ready(), withLongDeadlineAndStage)
			f.Expect(a.err).NotTo(HaveOccurred())
			f.Expect(a.body).To(Equal(streamEvents(id, 1, 5)))
			f.Expect(took).To(BeNumerically(">", objective), "the stream did not break off after its objective")
			f.Expect(f.ledger.Runs(id)).To(HaveLen(2))
			f.Expect(f.ledger.Violations()).To(BeEmpty())
		})
	}
}
