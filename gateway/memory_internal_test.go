package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/core/catalog"
	"github.com/wheatseam/wheatseam/core/holdings"
	"github.com/wheatseam/wheatseam/internal/clock"
)

const testBodyBytes = 1 << 20

// exchangeWithBody returns a request whose body has been read, on a host with memory for one such
// body.
func exchangeWithBody(m *memory) *exchange {
	x := &exchange{
		g: &Gateway{log: zap.NewNop(), memory: m}, r: httptest.NewRequest(http.MethodPost, "/", nil), memory: m,
		route: &catalog.Route{RepeatPolicy: catalog.Idempotent, Attempts: 2}, arrived: clock.Now(), deadline: clock.Now().Add(time.Minute),
	}
	x.bodyMemory = x.newBuffer(holdings.Body)
	Expect(x.bodyMemory.Take(testBodyBytes)).To(Succeed())
	x.body = make([]byte, testBodyBytes)
	return x
}

// takeBody asks for memory for the body of another request.
func takeBody(m *memory) error {
	_, err := m.take(context.Background(), holdings.Ask{Kind: holdings.Body, Customer: "other", Bytes: testBodyBytes, WaitUntil: clock.Now().Add(100 * time.Millisecond)})
	return err
}

// Guards against attempts that are sent an empty body after their request's was given up, and
// bodies that are given up while an attempt is being sent them.
func TestBodyIsGivenUpOnlyIfNoAttemptNeedsIt(t *testing.T) {
	RegisterTestingT(t)
	for name, c := range map[string]struct {
		before  func(x *exchange, written func())
		givenUp bool
	}{
		"being sent":               {func(*exchange, func()) {}, false},
		"sent":                     {func(_ *exchange, written func()) { written() }, true},
		"sent, and pinned":         {func(x *exchange, written func()) { written(); x.pinBody() }, false},
		"pinned before it is sent": {func(x *exchange, written func()) { x.pinBody(); written() }, false},
		"sent again": {func(x *exchange, written func()) {
			written()
			x.pinBody()
			_, again := x.bodyForAttempt()
			again()
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			RegisterTestingT(t)
			m := newMemory(2*testBodyBytes, metrics.NewSet())
			x := exchangeWithBody(m)
			body, written := x.bodyForAttempt()
			Expect(body).To(HaveLen(testBodyBytes))
			c.before(x, written)
			err := takeBody(m)
			if !c.givenUp {
				Expect(err).To(HaveOccurred())
				Expect(x.routeRetryDenied(1)).To(BeEmpty())
				body, _ := x.bodyForAttempt()
				Expect(body).To(HaveLen(testBodyBytes))
			} else {
				Expect(err).NotTo(HaveOccurred())
				Expect(x.routeRetryDenied(1)).To(Equal(deniedBody))
				Expect(x.freeRetryDenied(notExecuted)).To(Equal(deniedBody))
				m.release(holdings.Body, "other", testBodyBytes)
			}
			x.releaseBody()
			Expect(m.state().Total).To(BeZero())
			Expect(m.state().Retained).To(BeZero())
		})
	}
}

// Guards against an answer that is not read, and a request that may have run and fails, while other
// answers release memory in time.
func TestAnswersWaitForMemory(t *testing.T) {
	RegisterTestingT(t)
	m := newMemory(4*testBodyBytes, metrics.NewSet())
	x := &exchange{g: &Gateway{log: zap.NewNop()}, memory: m, ctx: context.Background(), route: &catalog.Route{}, deadline: clock.Now().Add(10 * time.Second)}
	first, second := x.newBuffer(holdings.Answer), x.newBuffer(holdings.Answer)
	Expect(first.Take(2 * testBodyBytes)).To(Succeed())
	time.AfterFunc(100*time.Millisecond, first.releaseAll)
	Expect(second.Take(2 * testBodyBytes)).To(Succeed())
	Expect(second.waited).To(BeNumerically(">", 0))
	late := x.newBuffer(holdings.Answer)
	late.until = clock.Now().Add(50 * time.Millisecond)
	Expect(late.Take(2 * testBodyBytes)).To(MatchError(ContainSubstring("no memory is left")))
	second.releaseAll()
	Expect(m.state().Total).To(BeZero())
}
