package gateway_test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/internal/standin/site"
)

// Guards against answers with neither a length nor chunks that are lost or cut short: plain ones,
// streams, and the answers to calls that run stages and release results, on direct connections and
// through a peer.
func TestUnframedAnswersAreWhole(t *testing.T) {
	for name, cut := range map[string]bool{"direct": false, "through a peer": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixtureOf(t)
			for _, r := range f.replicas {
				r.SetBehaviour(site.Behaviour{Unframed: true})
			}
			fleet, _ := f.startFleet(2)
			if cut {
				fleet[1].gateway.SimulateCut(time.Minute, false)
				f.Eventually(func() int {
					a, _ := fleet[1].send(http.MethodPost, safePath, "x", nil)
					return a.status
				}, "5s").Should(Equal(http.StatusOK))
			}
			for range 10 {
				fleet[1].sendEach()
			}
			created, _, _ := f.ledger.Results()
			f.Expect(created).To(BeNumerically(">", 0))
			f.Eventually(func() int { _, _, live := f.ledger.Results(); return live }, "5s").Should(BeZero())
			f.Expect(f.ledger.Violations()).To(BeEmpty())
		})
	}
}

// Guards against an unframed stream that ends inside an event and is taken for complete.
func TestUnframedStreamThatEndsInsideAnEventIsResumed(t *testing.T) {
	t.Parallel()
	f := newFixtureOf(t)
	f.replicas["e1"].SetBehaviour(site.Behaviour{Unframed: true, AbortAfterEvents: 2})
	f.replicas["e2"].SetBehaviour(site.Behaviour{Unframed: true})
	g := f.start().ready()
	for range 20 {
		a, id := g.send(http.MethodPost, resumePath, "x", withStages)
		f.Expect(a.err).NotTo(HaveOccurred())
		f.Expect(a.status).To(Equal(http.StatusOK))
		f.Expect(a.body).To(Equal(streamEvents(id, 1, 5)))
	}
	f.Expect(f.ledger.Violations()).To(BeEmpty())
}
