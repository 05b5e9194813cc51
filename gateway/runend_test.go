package gateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/internal/standin/site"
)

// silentConnections is a case of connections that go silent while their runs go on.
type silentConnections struct {
	name string
	// noMoves makes engines answer 404 to calls that stop a run, noRoom makes them stop it without a
	// copy.
	noMoves, noRoom bool
	// end is how the first run ends.
	end    site.End
	change func(*http.Request)
}

const (
	// silentInterval is the time between two events of a run whose connection becomes silent, and
	// silentEvents the number of those that it generates then: for longer than a silent run is left
	// alone.
	silentInterval = 350 * time.Millisecond
	silentEvents   = 10
)

// silenceConnections makes the connections to the first engine go silent after a number of events.
// Their runs generate more events.
func (f *fixture) silenceConnections(afterEvents, more int, noMoves, noRoom bool) (events int) {
	events = afterEvents + more
	f.replicas["e1"].EventsPerStream, f.replicas["e2"].EventsPerStream = events, events
	f.replicas["e1"].SetBehaviour(site.Behaviour{PauseAfterEvents: afterEvents, Stall: site.ConnectionSilent, NoMoves: noMoves, NoRoomForMoves: noRoom, EventInterval: silentInterval})
	return events
}

// withLongestDeadline gives a request the longest deadline that its route allows.
func withLongestDeadline(r *http.Request) { r.Header.Set("Deadline-Ms", "8000") }

func withLongestDeadlineAndStage(r *http.Request) {
	withLongDeadlineAndStage(r)
	withLongestDeadline(r)
}

// Guards against a stream that goes on at another replica while the replica before, which the
// host reaches on new connections, works on it: its connection had become silent, so that closing
// it did not end the run.
func TestStreamsGoOnElsewhereOnlyAfterTheirRunHasEnded(t *testing.T) {
	t.Parallel()
	for _, c := range []silentConnections{
		{name: "engines stop runs", end: site.Stopped, change: withLongestDeadline},
		{name: "engines stop runs, with stages", end: site.Stopped, change: withLongestDeadlineAndStage},
		{name: "engines stop runs and have no room for copies", noRoom: true, end: site.Stopped, change: withLongestDeadline},
		{name: "engines do not stop runs", noMoves: true, end: site.Completed, change: withLongestDeadline},
		{name: "engines do not stop runs, with stages", noMoves: true, end: site.Completed, change: withLongestDeadlineAndStage},
	} {
		for _, afterEvents := range []int{0, 2} {
			t.Run(fmt.Sprintf("%s, after %d events", c.name, afterEvents), func(t *testing.T) {
				t.Parallel()
				f := newFixtureOf(t)
				events := f.silenceConnections(afterEvents, silentEvents, c.noMoves, c.noRoom)
				f.replicas["e1"].ReportLag = staleReportAge / 2
				a, id, _ := f.sendUntilFirstEngine(f.start().ready(), c.change)
				f.Expect(a.err).NotTo(HaveOccurred())
				f.Expect(a.body).To(Equal(streamEvents(id, 1, events)))
				runs := f.ledger.Runs(id)
				f.Expect(runs).To(HaveLen(2))
				f.Expect(runs[0].End).To(Equal(c.end))
				f.Expect(runs[0].EndedAt).To(And(Not(BeZero()), BeTemporally("<", runs[1].StartedAt)))
				f.Expect(f.ledger.Violations()).To(BeEmpty())
				f.Eventually(f.ledger.RunCopies, "1s").Should(BeZero(), "copies that were neither used nor released")
				f.expectNoReservations()
			})
		}
	}
}

// Guards against a stream whose run can't be shown to have ended being executed twice: it waits
// for its deadline.
func TestStreamsWhoseRunGoesOnWaitForTheirDeadline(t *testing.T) {
	t.Parallel()
	f := newFixtureOf(t)
	f.silenceConnections(2, 2*silentEvents, true, false)
	a, id, took := f.sendUntilFirstEngine(f.start().ready(), withLongDeadline)
	f.Expect(a.err).To(HaveOccurred(), "the answer must not look complete")
	f.Expect(took).To(BeNumerically(">", longDeadline-longDeadline/10), "the deadline")
	f.Expect(f.ledger.Runs(id)).To(HaveLen(1))
	f.expectNoReservations()
}
