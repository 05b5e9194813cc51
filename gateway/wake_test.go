package gateway_test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/internal/standin/site"
)

// Seen: a stream was ended at a sound engine, and begun again at another one, as the host
// woke.
//
// How it came about: the time in which the host slept counted as silence of the engine's,
// whose events waited to be read.
//
// A host that wakes takes no stream for silent.
func TestStreamsContinueAfterHostSuspend(t *testing.T) {
	f := newFixtureOf(t)
	f.behave("llm", site.Behaviour{PauseAfterEvents: 2, Pause: 600 * time.Millisecond})
	g := f.start().ready()
	const sleep = 5 * time.Second // within the route's timeout
	withMinuteDeadline := func(r *http.Request) { r.Header.Set("Deadline-Ms", "60000") }
	slept := make(chan struct{})
	a, id := g.sendLong(withMinuteDeadline, func() {
		go func() {
			defer close(slept)
			time.Sleep(100 * time.Millisecond) // into the pause
			clock.Simulate(sleep)
		}()
	})
	<-slept
	f.Expect(a.err).NotTo(HaveOccurred())
	f.Expect(a.body).To(Equal(streamEvents(id, 1, 5)))
	f.Expect(f.ledger.Runs(id)).To(HaveLen(1))
}
