package gateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/gateway"
	"github.com/wheatseam/wheatseam/internal/standin/site"
)

// Seen: callers waited until their deadline for streams that had not begun.
//
// How it came about: an engine that took the connection and then answered nothing was
// watched from the head of its answer on only.
//
// enoughRepeats allows a repeat for each request.
func enoughRepeats(s *gateway.Settings) { s.Budget.Ratio, s.Budget.Slack = 1, 500 }

// An engine that never answers is left like one that falls silent, and for no longer than
// callers wait.
func TestStreamsThatNeverBeginGoOnElsewhere(t *testing.T) {
	for kind, change := range map[string]func(*http.Request){"": patient, " with stages": patientWithStage} {
		t.Run("an engine that hangs"+kind, func(t *testing.T) {
			t.Parallel()
			f := newFixtureOf(t)
			f.replicas["e1"].Behave(site.Behaviour{Hang: true})
			g := f.startWith(zap.NewNop(), enoughRepeats).ready()
			const streams = 12 // engines are drawn
			began := time.Now()
			answers := make(chan string, streams)
			for range streams {
				go func() {
					a, id := g.sendWatched(change, func() {})
					if a.err != nil || a.body != whole(id, 1, 5) {
						answers <- fmt.Sprintf("status %d, error %v, body %q", a.status, a.err, a.body)
						return
					}
					answers <- ""
				}()
			}
			for range streams {
				f.Expect(<-answers).To(BeEmpty())
			}
			took := time.Since(began)
			t.Logf("all whole after %s", took.Round(time.Millisecond))
			f.Expect(took).To(BeNumerically("<", goesOnWithin))
			f.Expect(f.ledger.Faults()).To(BeEmpty())
		})
	}
}

// An engine that takes its time for the head of an answer, and says that it is at work, is
// left alone.
func TestStreamsThatBeginLateArriveWhole(t *testing.T) {
	f := newFixtureOf(t)
	f.behave("llm", site.Behaviour{Work: pauseOfEngine})
	a, id := f.start().ready().sendWatched(patient, func() {})
	f.Expect(a.err).NotTo(HaveOccurred())
	f.Expect(a.body).To(Equal(whole(id, 1, 5)))
	f.Expect(f.ledger.Runs(id)).To(HaveLen(1))
}
