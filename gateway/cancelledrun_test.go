package gateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/attempts"
	"github.com/wheatseam/wheatseam/core/catalog"
	"github.com/wheatseam/wheatseam/core/stall"
	"github.com/wheatseam/wheatseam/internal/clock"
)

// Events that arrive after a run was cancelled in favour of another one must not be
// relayed: the next run resumes at the last event that the caller had then, so that an
// event without an ID would be sent twice.
func TestEventsOfCancelledRunAreNotRelayed(t *testing.T) {
	RegisterTestingT(t)
	ctx, cancel := context.WithCancelCause(context.Background())
	answer := httptest.NewRecorder()
	x := &exchange{w: answer, ctx: context.Background(), route: &catalog.Route{Streaming: true, Resumable: true, Attempts: 2}}
	current := &attempt{x: x, ctx: ctx, cancel: cancel, firstAt: clock.Now()}
	w := &stallWatch{attempt: current, run: attempts.New(attempts.Config{}), monitor: stall.New(clock.Now(), stall.Config{})}
	current.watch = w
	now := clock.Now()
	Expect([]stall.Action{w.monitor.Tick(now), w.monitor.Tick(now)}).To(Equal([]stall.Action{stall.Query, stall.Reserve}))
	Expect(w.monitor.Reserved(now)).To(Equal(stall.Abandon))
	cancel(&stallError{status: stall.NoAnswer})
	resp := &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader("data: late\n\n"))}
	end, _ := current.relayEvents(resp)
	Expect(end).To(Equal(stalled))
	Expect(answer.Body.String()).To(BeEmpty())
	Expect(x.committed).To(BeFalse())
}
