package gateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/core/catalog"
	"github.com/wheatseam/wheatseam/core/member"
	"github.com/wheatseam/wheatseam/core/retry"
	"github.com/wheatseam/wheatseam/core/route"
	"github.com/wheatseam/wheatseam/fleet"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/peer"
	"github.com/wheatseam/wheatseam/platform"
)

// A retry is allowed when an attempt ends, but the deadline may pass before the retry
// begins. The request must then be answered with the attempt's error.
func TestDeadlineBetweenAttempts(t *testing.T) {
	RegisterTestingT(t)
	members, err := fleet.New(fleet.Config{Self: fleet.Host{Host: member.Host{Name: "d0"}}, Mux: peer.NewMux(), Logger: zap.NewNop()})
	Expect(err).NotTo(HaveOccurred())
	g := &Gateway{fleet: members}
	g.retryBudgets.Store("reports", retry.NewSharedBudget(1, 10, time.Second, 1, time.Time{}))
	ctx, cancel := context.WithCancel(context.Background())
	answer := httptest.NewRecorder()
	x := &exchange{
		g: g, w: answer, r: httptest.NewRequest(http.MethodGet, "/", nil), ctx: ctx, service: "reports", runs: 1,
		route: &catalog.Route{RepeatPolicy: catalog.Idempotent, Attempts: 2},
	}
	resp := &http.Response{StatusCode: http.StatusInternalServerError, Body: io.NopCloser(strings.NewReader("broken"))}
	end, perr := (&attempt{x: x, ctx: ctx}).relayWhole(resp, platform.ResponseHead{})
	Expect(end).To(Equal(failedRetrying))
	cancel()
	Expect(x.retryDenied(end)).To(Equal(deniedDeadline))
	x.fail(perr)
	Expect(answer.Code).To(Equal(http.StatusBadGateway))
}

// On a host that was suspended between two steps of a request, the deadline may have passed
// before any timer fires. No replica must be sent a request that no caller waits for, or
// more time than is left.
func TestNothingIsSentAfterTheDeadline(t *testing.T) {
	RegisterTestingT(t)
	members, err := fleet.New(fleet.Config{Self: fleet.Host{Host: member.Host{Name: "d0"}}, Mux: peer.NewMux(), Logger: zap.NewNop()})
	Expect(err).NotTo(HaveOccurred())
	g := &Gateway{fleet: members, router: route.New(route.Config{})}
	g.retryBudgets.Store("reports", retry.NewSharedBudget(1, 10, time.Second, 1, time.Time{}))
	answer := httptest.NewRecorder()
	x := &exchange{
		g: g, w: answer, r: httptest.NewRequest(http.MethodGet, "/", nil), ctx: context.Background(), service: "reports",
		route: &catalog.Route{RepeatPolicy: catalog.Idempotent, Attempts: 2}, deadline: clock.Now().Add(-time.Second),
	}
	x.relay()
	Expect(x.triedReplicas).To(BeEmpty())
	Expect(answer.Code).To(Equal(http.StatusGatewayTimeout))
	call := (&attempt{x: x}).newCall()
	Expect(call.Header.Get("Deadline-Ms")).To(Equal("1"))
}

// A daemon that restarts begins each service's share of the fleet's retries without what an earlier
// process may have sent, unless the deployment starts for the first time.
func TestRetryBudgetAfterARestart(t *testing.T) {
	for _, firstStart := range []bool{false, true} {
		RegisterTestingT(t)
		members, err := fleet.New(fleet.Config{Self: fleet.Host{Host: member.Host{Name: "d0"}}, Mux: peer.NewMux(), Logger: zap.NewNop()})
		Expect(err).NotTo(HaveOccurred())
		g := &Gateway{fleet: members, started: clock.Now()}
		g.settings.Store(&Settings{FirstStart: firstStart, Budget: Budget{Ratio: 0.2, Slack: 54, Window: time.Hour}})
		Expect(g.retryBudget("reports").Withdraw(clock.Now())).To(Equal(firstStart))
	}
}
