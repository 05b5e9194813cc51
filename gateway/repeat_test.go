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

// A repeat is allowed when an attempt ends; the deadline may pass before it
// begins. The request then needs the attempt's error for its answer.
func TestDeadlineBetweenAttempts(t *testing.T) {
	RegisterTestingT(t)
	fellows, err := fleet.New(fleet.Config{Self: fleet.Host{Host: member.Host{Name: "d0"}}, Mux: peer.NewMux(), Logger: zap.NewNop()})
	Expect(err).NotTo(HaveOccurred())
	g := &Gateway{fleet: fellows}
	g.budgets.Store("reports", retry.NewSharedBudget(1, 10, time.Second, 1))
	ctx, cancel := context.WithCancel(context.Background())
	answer := httptest.NewRecorder()
	x := &exchange{
		g: g, w: answer, r: httptest.NewRequest(http.MethodGet, "/", nil), ctx: ctx, service: "reports", runs: 1,
		route: &catalog.Route{RepeatPolicy: catalog.Idempotent, Attempts: 2},
	}
	resp := &http.Response{StatusCode: http.StatusInternalServerError, Body: io.NopCloser(strings.NewReader("broken"))}
	end, perr := (&try{x: x, ctx: ctx}).whole(resp, platform.ResponseHead{})
	Expect(end).To(Equal(repeatNow))
	cancel()
	Expect(x.repeatDenied(end)).To(Equal(deniedOver))
	x.giveUp(perr)
	Expect(answer.Code).To(Equal(http.StatusBadGateway))
}

// A host that stood still between two steps of a request finds its deadline passed before
// anything tells it so. No replica is sent what nobody waits for, nor more time than is left.
func TestNothingIsSentAfterTheDeadline(t *testing.T) {
	RegisterTestingT(t)
	fellows, err := fleet.New(fleet.Config{Self: fleet.Host{Host: member.Host{Name: "d0"}}, Mux: peer.NewMux(), Logger: zap.NewNop()})
	Expect(err).NotTo(HaveOccurred())
	g := &Gateway{fleet: fellows, router: route.New(route.Config{})}
	g.budgets.Store("reports", retry.NewSharedBudget(1, 10, time.Second, 1))
	answer := httptest.NewRecorder()
	x := &exchange{
		g: g, w: answer, r: httptest.NewRequest(http.MethodGet, "/", nil), ctx: context.Background(), service: "reports",
		route: &catalog.Route{RepeatPolicy: catalog.Idempotent, Attempts: 2}, deadline: clock.Now().Add(-time.Second),
	}
	x.relay()
	Expect(x.tried).To(BeEmpty())
	Expect(answer.Code).To(Equal(http.StatusGatewayTimeout))
	call := (&try{x: x}).outgoing()
	Expect(call.Header.Get("Deadline-Ms")).To(Equal("1"))
}
