package gateway_test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/internal/standin/site"
)

// Guards against a stream being cancelled at a healthy engine and restarted at another one
// after the host resumes. The time for which the host was suspended counted as silence of
// the engine, whose events were waiting to be read.
func TestStreamsContinueAfterHostSuspend(t *testing.T) {
	f := newFixtureOf(t)
	f.behave("llm", site.Behaviour{PauseAfterEvents: 2, Pause: 600 * time.Millisecond})
	g := f.start().ready()
	const suspendTime = 5 * time.Second // within the route's timeout
	withMinuteDeadline := func(r *http.Request) { r.Header.Set("Deadline-Ms", "60000") }
	suspended := make(chan struct{})
	a, id := g.sendLong(withMinuteDeadline, func() {
		go func() {
			defer close(suspended)
			time.Sleep(100 * time.Millisecond) // during the pause
			clock.SimulateSuspension(suspendTime)
		}()
	})
	<-suspended
	f.Expect(a.err).NotTo(HaveOccurred())
	f.Expect(a.body).To(Equal(streamEvents(id, 1, 5)))
	f.Expect(f.ledger.Runs(id)).To(HaveLen(1))
}
