package gateway_test

import (
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/internal/standin/site"
)

// whole is the complete stream that answers a request.
func streamEvents(id string, from, to int) string {
	var b strings.Builder
	for n := from; n <= to; n++ {
		b.WriteString(site.Event(id, n))
	}
	return b.String()
}

func withStages(r *http.Request) {
	r.Header.Set("Piece-Count", "2,3")
	r.Header.Set("Piece-Key", "pk")
}

var _ = Describe("streams", func() {
	It("are passed on whole", func() {
		f := newFixture()
		a, id := f.start().ready().send(http.MethodPost, streamPath, "prompt", nil)
		Expect(a.err).NotTo(HaveOccurred())
		Expect(a.body).To(Equal(streamEvents(id, 1, 5)))
		Expect(a.header.Get("Content-Type")).To(Equal("text/event-stream"))
	})

	It("begin after the event that the caller names", func() {
		f := newFixture()
		a, id := f.start().ready().send(http.MethodPost, resumePath, "prompt", func(r *http.Request) { r.Header.Set("Last-Event-Id", "2") })
		Expect(a.body).To(Equal(streamEvents(id, 3, 5)))
	})

	It("do not look complete when they broke off and may not go on elsewhere", func() {
		f := newFixture()
		f.behave("llm", site.Behaviour{CutAfterEvents: 2})
		a, id := f.start().ready().send(http.MethodPost, streamPath, "prompt", nil)
		Expect(a.err).To(HaveOccurred())
		Expect(a.body).To(Equal(streamEvents(id, 1, 2)), "no part of an event")
		Expect(f.ledger.Runs(id)).To(HaveLen(1))
	})

	It("go on at another replica without gap or repetition where they may be resumed", func() {
		f := newFixture()
		f.replicas["e1"].Behave(site.Behaviour{CutAfterEvents: 2})
		g := f.start().ready()
		// Engines are drawn: with six requests one of 64 runs never sees e1.
		const minRequests, maxRequests = 6, 40
		resumed := 0
		for n := 0; n < minRequests || resumed == 0 && n < maxRequests; n++ {
			a, id := g.send(http.MethodPost, resumePath, "prompt", nil)
			Expect(a.err).NotTo(HaveOccurred())
			Expect(a.body).To(Equal(streamEvents(id, 1, 5)))
			if runs := f.ledger.Runs(id); len(runs) == 2 {
				resumed++
				Expect(runs[1].After).To(Equal("2"))
			}
		}
		Expect(resumed).To(BeNumerically(">", 0))
	})

	It("get the failure of an engine before the first event as an answer", func() {
		f := newFixture()
		f.behave("llm", site.Behaviour{CutBefore: true})
		a, _ := f.start().ready().send(http.MethodPost, streamPath, "prompt", nil)
		Expect(a.status).To(Equal(http.StatusBadGateway))
	})
})

var _ = Describe("requests with stages", func() {
	It("have them made first, hand the results to the engine and give them up", func() {
		f := newFixture()
		g := f.start().ready()
		for range 5 {
			a, id := g.send(http.MethodPost, resumePath, "prompt", withStages)
			Expect(a.status).To(Equal(http.StatusOK))
			Expect(a.body).To(Equal(streamEvents(id, 1, 5)))
		}
		Expect(f.ledger.Faults()).To(BeEmpty())
		made, _, _ := f.ledger.Results()
		Expect(made).To(Equal(25))
		Eventually(func() int { _, _, held := f.ledger.Results(); return held }, "1s").Should(BeZero())
	})

	It("are refused at once, truly not run, when no replica makes them", func() {
		f := newFixture()
		f.store.Delete("servers/s1")
		f.store.Delete("servers/s2")
		a, id := f.start().ready().send(http.MethodPost, resumePath, "prompt", withStages)
		Expect(a.status).To(Equal(http.StatusServiceUnavailable))
		Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(f.ledger.Runs(id)).To(BeEmpty())
	})

	It("survive a replica that breaks off while it makes them", func() {
		f := newFixture()
		f.replicas["s1"].Behave(site.Behaviour{CutBefore: true})
		g := f.start().ready()
		for range 3 {
			a, _ := g.send(http.MethodPost, resumePath, "prompt", withStages)
			Expect(a.status).To(Equal(http.StatusOK))
		}
		Expect(f.ledger.Faults()).To(BeEmpty())
	})

	It("go on at another engine with the stages made again", func() {
		f := newFixture()
		f.replicas["e1"].Behave(site.Behaviour{CutAfterEvents: 2})
		g := f.start().ready()
		for range 6 {
			a, id := g.send(http.MethodPost, resumePath, "prompt", withStages)
			Expect(a.err).NotTo(HaveOccurred())
			Expect(a.body).To(Equal(streamEvents(id, 1, 5)))
		}
		Expect(f.ledger.Faults()).To(BeEmpty())
		Eventually(func() int { _, _, held := f.ledger.Results(); return held }, "1s").Should(BeZero())
	})
})
