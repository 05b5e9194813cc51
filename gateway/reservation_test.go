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

// Guards against a caller getting the failure of a silent engine although the host has a
// retry left and another engine is idle. The failure arrived while a replacement was being
// reserved, which takes the retry from the budget: the failed run was denied one, and the
// retry was returned to the budget afterwards. A failure during a reservation must be
// retried, even with a single retry.
func TestStreamsThatFailDuringReservationAreRetried(t *testing.T) {
	f := newFixtureOf(t)
	const (
		failsAfter = 2200 * time.Millisecond // the run may be replaced from 2 s on
		stageTime  = 500 * time.Millisecond  // reserving a replacement takes as long
		slack      = 18                      // of which the host's share is one retry
	)
	f.replicas["e1"].SetBehaviour(site.Behaviour{ServiceTime: failsAfter, Status: http.StatusInternalServerError})
	f.behave("encode", site.Behaviour{ServiceTime: stageTime})
	g := f.startWith(zap.NewNop(), func(s *gateway.Settings) { s.Budget.Ratio, s.Budget.Slack = 0, slack }).ready()
	a, id, _ := f.sendUntilFirstEngine(g, withLongDeadlineAndStage)
	f.Expect(a.status).To(Equal(http.StatusOK))
	f.Expect(a.body).To(Equal(streamEvents(id, 1, 5)))
	f.Expect(f.ledger.Runs(id)).To(HaveLen(2))
	f.Expect(f.ledger.Violations()).To(BeEmpty())
	f.expectNoReservations()
}
