package gateway_test

import (
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/internal/standin/site"
)

// streamEvents is the text of the events from one number to another of the stream that
// answers a request.
func streamEvents(id string, from, to int) string {
	var b strings.Builder
	for n := from; n <= to; n++ {
		b.WriteString(site.EventText(id, n))
	}
	return b.String()
}

func withStages(r *http.Request) {
	r.Header.Set("Piece-Count", "2,3")
	r.Header.Set("Piece-Key", "pk")
}

var _ = Describe("streams", func() {
	It("are relayed completely", func() {
		f := newFixture()
		a, id := f.start().ready().send(http.MethodPost, streamPath, "prompt", nil)
		Expect(a.err).NotTo(HaveOccurred())
		Expect(a.body).To(Equal(streamEvents(id, 1, 5)))
		Expect(a.header.Get("Content-Type")).To(Equal("text/event-stream"))
	})

	It("resume after the event that the caller names", func() {
		f := newFixture()
		g := f.start().ready()
		f.behave("llm", site.Behaviour{AbortAfterEvents: 1})
		first, began := g.send(http.MethodPost, resumePath, "prompt", nil)
		Expect(first.err).To(HaveOccurred())
		got := strings.Count(first.body, "id: ")
		Expect(got).To(BeNumerically("<", 5))
		f.behave("llm", site.Behaviour{})
		a, id := g.send(http.MethodPost, resumePath, "prompt", takeUp(began, first.body))
		Expect(a.body).To(Equal(streamEvents(id, got+1, 5)))
	})

	// The host has just started: another version may have begun the stream and left since.
	It("are refused where nothing shows which software version began them", func() {
		f := newFixture()
		a, id := f.start().ready().send(http.MethodPost, resumePath, "prompt", func(r *http.Request) { r.Header.Set("Last-Event-Id", "2") })
		Expect(a.status).To(Equal(http.StatusServiceUnavailable))
		Expect(f.ledger.Runs(id)).To(BeEmpty())
	})

	It("do not look complete when they are interrupted and may not resume elsewhere", func() {
		f := newFixture()
		f.behave("llm", site.Behaviour{AbortAfterEvents: 2})
		a, id := f.start().ready().send(http.MethodPost, streamPath, "prompt", nil)
		Expect(a.err).To(HaveOccurred())
		Expect(a.body).To(Equal(streamEvents(id, 1, 2)), "no partial event")
		Expect(f.ledger.Runs(id)).To(HaveLen(1))
	})

	It("resume at another replica without gaps or duplicates where the route allows it", func() {
		f := newFixture()
		f.replicas["e1"].SetBehaviour(site.Behaviour{AbortAfterEvents: 2})
		g := f.start().ready()
		// Engines are chosen at random: of 64 test runs with six requests, one never
		// reaches e1.
		const minRequests, maxRequests = 6, 40
		resumed := 0
		for n := 0; n < minRequests || resumed == 0 && n < maxRequests; n++ {
			a, id := g.send(http.MethodPost, resumePath, "prompt", nil)
			Expect(a.err).NotTo(HaveOccurred())
			Expect(a.body).To(Equal(streamEvents(id, 1, 5)))
			if runs := f.ledger.Runs(id); len(runs) == 2 {
				resumed++
				Expect(runs[1].LastEventID).To(Equal("2"))
			}
		}
		Expect(resumed).To(BeNumerically(">", 0))
	})

	It("are answered with an error when the engine fails before the first event", func() {
		f := newFixture()
		f.behave("llm", site.Behaviour{AbortBeforeResponse: true})
		a, _ := f.start().ready().send(http.MethodPost, streamPath, "prompt", nil)
		Expect(a.status).To(Equal(http.StatusBadGateway))
	})
})

var _ = Describe("requests with stages", func() {
	It("run the stages first, pass the results to the engine and release them", func() {
		f := newFixture()
		g := f.start().ready()
		for range 5 {
			a, id := g.send(http.MethodPost, resumePath, "prompt", withStages)
			Expect(a.status).To(Equal(http.StatusOK))
			Expect(a.body).To(Equal(streamEvents(id, 1, 5)))
		}
		Expect(f.ledger.Violations()).To(BeEmpty())
		produced, _, _ := f.ledger.Results()
		Expect(produced).To(Equal(25))
		Eventually(func() int { _, _, held := f.ledger.Results(); return held }, "1s").Should(BeZero())
	})

	It("are refused at once, without a run, when no replica can run the stages", func() {
		f := newFixture()
		f.store.Delete("servers/s1")
		f.store.Delete("servers/s2")
		a, id := f.start().ready().send(http.MethodPost, resumePath, "prompt", withStages)
		Expect(a.status).To(Equal(http.StatusServiceUnavailable))
		Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(f.ledger.Runs(id)).To(BeEmpty())
	})

	It("survive a stage replica that closes the connection during its work", func() {
		f := newFixture()
		f.replicas["s1"].SetBehaviour(site.Behaviour{AbortBeforeResponse: true})
		g := f.start().ready()
		for range 3 {
			a, _ := g.send(http.MethodPost, resumePath, "prompt", withStages)
			Expect(a.status).To(Equal(http.StatusOK))
		}
		Expect(f.ledger.Violations()).To(BeEmpty())
	})

	It("resume at another engine with the stages run again", func() {
		f := newFixture()
		f.replicas["e1"].SetBehaviour(site.Behaviour{AbortAfterEvents: 2})
		g := f.start().ready()
		for range 6 {
			a, id := g.send(http.MethodPost, resumePath, "prompt", withStages)
			Expect(a.err).NotTo(HaveOccurred())
			Expect(a.body).To(Equal(streamEvents(id, 1, 5)))
		}
		Expect(f.ledger.Violations()).To(BeEmpty())
		Eventually(func() int { _, _, held := f.ledger.Results(); return held }, "1s").Should(BeZero())
	})
})
