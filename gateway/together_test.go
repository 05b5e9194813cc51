package gateway_test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/gateway"
	"github.com/wheatseam/wheatseam/internal/standin/site"
)

// Seen: a caller got the failure of a silent engine, with the host's repeat unused and
// another engine idle.
//
// How it came about: the failure came while another run was being secured. That holds the
// repeat, so that the failed run was denied one; the repeat was given back afterwards.
//
// A failure while another run is being secured is repeated, also with one repeat.
func TestStreamsThatFailDuringReservationAreRetried(t *testing.T) {
	f := newFixtureOf(t)
	const (
		failsAfter = 2200 * time.Millisecond // the run is left from 2 s on
		stageTime  = 500 * time.Millisecond  // securing another run takes as long
		slack      = 18                      // of which the host's part is one repeat
	)
	f.replicas["e1"].Behave(site.Behaviour{Work: failsAfter, Status: http.StatusInternalServerError})
	f.behave("encode", site.Behaviour{Work: stageTime})
	g := f.startWith(zap.NewNop(), func(s *gateway.Settings) { s.Budget.Ratio, s.Budget.Slack = 0, slack }).ready()
	a, id, _ := f.sendUntilFirstEngine(g, withLongDeadlineAndStage)
	f.Expect(a.status).To(Equal(http.StatusOK))
	f.Expect(a.body).To(Equal(streamEvents(id, 1, 5)))
	f.Expect(f.ledger.Runs(id)).To(HaveLen(2))
	f.Expect(f.ledger.Faults()).To(BeEmpty())
	f.expectNoReservations()
}
