package gateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/catalog"
	"github.com/wheatseam/wheatseam/core/stall"
	"github.com/wheatseam/wheatseam/internal/clock"
)

// What arrives of a run after it was ended for another one is not passed on: the next
// run goes on where the caller's answer stood then. An event without an id would come
// twice.
func TestNothingOfAnEndedRunIsPassedOn(t *testing.T) {
	RegisterTestingT(t)
	ctx, cancel := context.WithCancelCause(context.Background())
	answer := httptest.NewRecorder()
	x := &exchange{w: answer, ctx: context.Background(), route: &catalog.Route{Streaming: true, Resumable: true, Attempts: 2}}
	run := &try{x: x, ctx: ctx, cancel: cancel, first: clock.Now()}
	w := &watch{t: run, m: stall.New(clock.Now(), stall.Config{})}
	run.watch = w
	now := clock.Now()
	Expect([]stall.Action{w.m.Tick(now), w.m.Tick(now)}).To(Equal([]stall.Action{stall.Query, stall.Reserve}))
	Expect(w.m.Reserved(now)).To(Equal(stall.Abandon))
	cancel(&leftError{account: stall.NoAnswer})
	resp := &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader("data: late\n\n"))}
	end, _ := run.passEvents(resp)
	Expect(end).To(Equal(left))
	Expect(answer.Body.String()).To(BeEmpty())
	Expect(x.committed).To(BeFalse())
}
