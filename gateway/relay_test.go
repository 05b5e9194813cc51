package gateway_test

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/internal/standin/site"
)

var _ = Describe("requests", func() {
	It("go to a replica unchanged, and its answer comes back unchanged", func() {
		f := newFixture()
		g := f.start().ready()
		a, id := g.send(http.MethodPost, sealPath+"a%2Fb/../c?x=1&y=%20", "the body", func(r *http.Request) {
			r.URL.Opaque, r.URL.RawQuery = sealPath+"a%2Fb/../c?x=1&y=%20", ""
			r.Header.Set("Tenant", "forged")
		})
		Expect(a.err).NotTo(HaveOccurred())
		Expect(a.status).To(Equal(http.StatusOK))
		runs := f.ledger.Runs(id)
		Expect(runs).To(HaveLen(1))
		run := runs[0]
		Expect(run.Method).To(Equal(http.MethodPost))
		Expect(run.Target).To(Equal(sealPath + "a%2Fb/../c?x=1&y=%20"))
		Expect(run.Body).To(Equal("the body"))
		Expect(run.Tenant).To(Equal("firma"))
		Expect(run.HasAPIKey).To(BeFalse(), "the key is not forwarded")
		Expect(a.body).To(Equal(site.PlainBody(run.Replica, id)))
		Expect(a.header.Get("Response-Signature")).To(Equal("signed." + run.Replica + "." + id))
		Expect(f.ledger.Violations()).To(BeEmpty())
	})

	DescribeTable("are refused", func(path string, change func(*http.Request), want int) {
		f := newFixture()
		g := f.start().ready()
		a, id := g.send(http.MethodPost, path, "body", change)
		Expect(a.status).To(Equal(want))
		Expect(a.header).NotTo(HaveKey("Response-Signature"))
		Expect(f.ledger.Runs(id)).To(BeEmpty())
	},
		Entry("without a route", "/nowhere/", nil, http.StatusNotFound),
		Entry("with an unknown key", sealPath, func(r *http.Request) { r.Header.Set("X-Api-Key", "other") }, http.StatusUnauthorized),
		Entry("without an id", sealPath, func(r *http.Request) { r.Header.Del("Attempt-Id") }, http.StatusBadRequest),
		Entry("with too long a body", sealPath, func(r *http.Request) {
			r.Body, r.ContentLength = http.NoBody, 0
			r.Body = readCloser{strings.NewReader(strings.Repeat("x", 2000))}
			r.ContentLength = 2000
		}, http.StatusRequestEntityTooLarge),
	)

	It("need no key on public routes", func() {
		f := newFixture()
		a, id := f.start().ready().send(http.MethodGet, "/open/", "", func(r *http.Request) { r.Header.Del("X-Api-Key") })
		Expect(a.status).To(Equal(http.StatusOK))
		Expect(f.ledger.Runs(id)[0].Tenant).To(BeEmpty())
	})

	It("may have a chunked body", func() {
		f := newFixture()
		a, id := f.start().ready().send(http.MethodPost, sealPath, "", func(r *http.Request) {
			r.Body, r.ContentLength = readCloser{strings.NewReader("in chunks")}, -1
		})
		Expect(a.status).To(Equal(http.StatusOK))
		Expect(f.ledger.Runs(id)[0].Body).To(Equal("in chunks"))
	})

	It("get 503 and a Retry-After before the first configuration, which grows with the time they have", func() {
		f := newFixture()
		f.store.Delete("op/config")
		g := f.start()
		Eventually(g.readinessStatus, "2s").Should(Equal(http.StatusServiceUnavailable))
		a, _ := g.send(http.MethodPost, sealPath, "", nil)
		Expect(a.status).To(Equal(http.StatusServiceUnavailable))
		Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
		after := func(deadline string) float64 {
			GinkgoHelper()
			a, _ := g.send(http.MethodPost, sealPath, "", func(r *http.Request) { r.Header.Set("Deadline-Ms", deadline) })
			Expect(a.status).To(Equal(http.StatusServiceUnavailable))
			seconds, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
			Expect(err).NotTo(HaveOccurred())
			return seconds
		}
		Expect(after("15000")).To(And(BeNumerically(">=", 2.9), BeNumerically("<=", 5)), "callers wait for at most a third of their time")
		Expect(after("300")).To(BeNumerically("~", 0.2, 0.01))
		Expect(after("none")).To(BeNumerically("~", 0.2, 0.01))
	})

	It("follow a new configuration: removed keys are refused", func() {
		f := newFixture()
		g := f.start().ready()
		f.keys = []string{"key-2"}
		f.configure()
		Eventually(func() int {
			a, _ := g.send(http.MethodPost, sealPath, "", nil)
			return a.status
		}, "1s").Should(Equal(http.StatusUnauthorized))
	})

	// Guards against requests that run with any key, or none, once the last customer is removed.
	It("are refused when the last customer was removed, unless the route is public", func() {
		f := newFixture()
		g := f.start().ready()
		f.version++
		c := site.GatewayConfig(f.version, nil)
		c["tenants"] = []any{}
		c["routes"].([]any)[1].(map[string]any)["public"] = true
		f.store.Put("op/config", c)
		for _, key := range []string{"key-1", ""} {
			Eventually(func() int {
				a, _ := g.send(http.MethodPost, sealPath, "", func(r *http.Request) { r.Header.Set("X-Api-Key", key) })
				return a.status
			}, "2s").Should(Equal(http.StatusUnauthorized))
		}
		a, _ := g.send(http.MethodPost, safePath, "", nil)
		Expect(a.status).To(Equal(http.StatusOK))
	})
})

type readCloser struct{ *strings.Reader }

func (readCloser) Close() error { return nil }

var _ = Describe("requests that may run once", func() {
	DescribeTable("are never sent again when they may have run", func(b site.Behaviour, want int) {
		f := newFixture()
		f.behave("plain", b)
		a, id := f.start().ready().send(http.MethodPost, sealPath, "", nil)
		Expect(a.status).To(Equal(want))
		Expect(a.header).NotTo(HaveKey("Response-Signature"))
		Expect(f.ledger.Runs(id)).To(HaveLen(1))
	},
		Entry("cut before the answer", site.Behaviour{AbortBeforeResponse: true}, http.StatusBadGateway),
		Entry("cut inside the answer", site.Behaviour{Truncate: true}, http.StatusBadGateway),
		Entry("503 without Not-Executed", site.Behaviour{UnavailableAfterRun: true}, http.StatusBadGateway),
		Entry("an answer to another request", site.Behaviour{OtherRequest: true}, http.StatusBadGateway),
		Entry("no signature", site.Behaviour{Unsigned: true}, http.StatusBadGateway),
	)

	It("get a replica's own failure unchanged", func() {
		f := newFixture()
		f.behave("plain", site.Behaviour{Status: 500})
		a, id := f.start().ready().send(http.MethodPost, sealPath, "", nil)
		Expect(a.status).To(Equal(500))
		Expect(a.header.Get("Response-Signature")).NotTo(BeEmpty())
		Expect(f.ledger.Runs(id)).To(HaveLen(1))
	})

	It("are retried elsewhere when a replica says that it did not run them, or cannot be reached", func() {
		f := newFixture()
		f.replicas["p1"].SetBehaviour(site.Behaviour{Shed: true})
		g := f.start().ready()
		for range 6 {
			a, id := g.send(http.MethodPost, sealPath, "", nil)
			Expect(a.status).To(Equal(http.StatusOK))
			Expect(f.ledger.Runs(id)).To(HaveLen(1))
		}
		f.replicas["p1"].Close()
		for range 6 {
			a, _ := g.send(http.MethodPost, sealPath, "", nil)
			Expect(a.status).To(Equal(http.StatusOK))
		}
	})

	It("are refused with 503 when no replica ran them", func() {
		f := newFixture()
		f.behave("plain", site.Behaviour{Shed: true})
		a, id := f.start().ready().send(http.MethodPost, sealPath, "", nil)
		Expect(a.status).To(Equal(http.StatusServiceUnavailable))
		Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(f.ledger.Runs(id)).To(BeEmpty())
	})

	It("get 504 in time when a replica does not answer", func() {
		f := newFixture()
		f.behave("plain", site.Behaviour{Hang: true})
		began := time.Now()
		a, _ := f.start().ready().send(http.MethodPost, sealPath, "", func(r *http.Request) { r.Header.Set("Deadline-Ms", "500") })
		Expect(a.status).To(Equal(http.StatusGatewayTimeout))
		Expect(time.Since(began)).To(BeNumerically("<", 3*time.Second))
	})
})

var _ = Describe("idempotent requests", func() {
	DescribeTable("are sent to another replica", func(b site.Behaviour) {
		f := newFixture()
		f.replicas["p1"].SetBehaviour(b)
		g := f.start().ready()
		for range 8 {
			a, id := g.send(http.MethodGet, safePath, "", nil)
			Expect(a.status).To(Equal(http.StatusOK))
			runs := f.ledger.Runs(id)
			Expect(len(runs)).To(BeNumerically("<=", 2))
			Expect(a.body).To(Equal(site.PlainBody("p2", id)))
		}
	},
		Entry("after a cut", site.Behaviour{AbortBeforeResponse: true}), Entry("after a short answer", site.Behaviour{Truncate: true}),
		Entry("after a failure", site.Behaviour{Status: 500}), Entry("after 503 without Not-Executed", site.Behaviour{UnavailableAfterRun: true}),
	)

	It("run at no more replicas than their route allows", func() {
		f := newFixture()
		f.add("p3", "plain", site.Plain)
		f.behave("plain", site.Behaviour{AbortBeforeResponse: true})
		a, id := f.start().ready().send(http.MethodGet, safePath, "", nil)
		Expect(a.status).To(Equal(http.StatusBadGateway))
		Expect(f.ledger.Runs(id)).To(HaveLen(2))
	})
})

var _ = Describe("answers", func() {
	It("without a length, and with a second answer after them, are relayed once and completely", func() {
		for _, b := range []site.Behaviour{{NoContentLength: true}, {ExtraResponse: true}} {
			f := newFixture()
			f.behave("plain", b)
			g := f.start().ready()
			for range 3 {
				a, id := g.send(http.MethodPost, sealPath, "", nil)
				Expect(a.status).To(Equal(http.StatusOK))
				Expect(a.body).To(Equal(site.PlainBody(f.ledger.Runs(id)[0].Replica, id)))
			}
		}
	})
})

var _ = Describe("callers that disconnect", func() {
	It("have their request cancelled at the replica", func() {
		f := newFixture()
		f.behave("plain", site.Behaviour{ServiceTime: 3 * time.Second})
		g := f.start().ready()
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			time.Sleep(100 * time.Millisecond)
			cancel()
		}()
		a, _ := g.send(http.MethodPost, sealPath, "", func(r *http.Request) { *r = *r.WithContext(ctx) })
		Expect(a.err).To(HaveOccurred())
		Eventually(func() int { return f.replicas["p1"].Cancelled() + f.replicas["p2"].Cancelled() }, "500ms").Should(Equal(1))
	})
})
