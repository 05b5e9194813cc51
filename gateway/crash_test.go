package gateway_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/internal/standin/site"
)

// Guards against a request that crashes one replica after another. Callers sent requests
// under which engines crashed about 50 ms after they had started, and retried them under
// new IDs at any host; 14 to 16 engines crashed under each. The attempts were limited by
// request ID only, and what one daemon had seen was unknown to the others. The log
// lines about the crashes showed the same content under different IDs and from different
// hosts.
var _ = Describe("a request that crashes its replicas", func() {
	const (
		// propagationTime is how long after the third crash a daemon may still be unaware
		// of the request.
		propagationTime = 3 * time.Second
		// crashesToQuarantine are the crashes after which a request is quarantined, and
		// maxSendsAfter the sends that the users allow after that.
		crashesToQuarantine = 3
		maxSendsAfter       = 3
		culprit             = "culprit"
		harmless            = "harmless"
	)

	// crashUnderCulprit makes all replicas of a service crash under the culprit. They
	// restart under the same ID with a new start time.
	crashUnderCulprit := func(f *fixture, service string) {
		for _, r := range f.replicas {
			if r.Service != service {
				continue
			}
			r.StartUnixMS = time.Now().UnixMilli()
			r.OnRestart = func(r *site.Replica) { f.register(r, "ready") }
			f.register(r, "ready")
			r.SetBehaviour(site.Behaviour{ServiceTime: 30 * time.Millisecond})
			r.SetPoisonRequest(site.PoisonRequest{Body: culprit, CrashDelay: 20 * time.Millisecond, Downtime: 700 * time.Millisecond})
		}
	}
	crashes := func(f *fixture) int {
		n := 0
		for _, r := range f.replicas {
			n += r.Crashes()
		}
		return n
	}

	DescribeTable("is sent to replicas only a few more times after it has crashed three, whichever daemons saw the crashes",
		func(path, service string, kind site.Kind, change func(*http.Request)) {
			f := newFixture()
			for _, id := range []string{"x1", "x2", "x3"} {
				f.add(id, service, kind)
			}
			crashUnderCulprit(f, service)
			first := f.start()
			gateways := []*gatewayProcess{first, f.start(first.peers), f.start(first.peers)}
			for _, g := range gateways {
				g.ready()
				Eventually(func() []string { return g.metricLines("wheatseam_hosts") }, "5s").Should(ConsistOf(HaveSuffix(" 3")))
			}
			By("retrying under new IDs, at each daemon in turn")
			sent := 0
			for deadline := time.Now().Add(20 * time.Second); crashes(f) < crashesToQuarantine; sent++ {
				Expect(time.Now()).To(BeTemporally("<", deadline))
				gateways[sent%len(gateways)].send(http.MethodPost, path, culprit, change)
				time.Sleep(50 * time.Millisecond)
			}
			thirdCrashAt := time.Now()
			By("retrying when every daemon must know")
			time.Sleep(time.Until(thirdCrashAt.Add(propagationTime)))
			before := len(f.ledger.RunsWithBody(culprit))
			for i := range 4 * maxSendsAfter {
				a, _ := gateways[i%len(gateways)].send(http.MethodPost, path, culprit, change)
				Expect(a.status).NotTo(Equal(http.StatusOK))
				time.Sleep(100 * time.Millisecond)
			}
			Expect(len(f.ledger.RunsWithBody(culprit))-before).To(BeNumerically("<=", maxSendsAfter), "sent to replicas after %d crashes", crashes(f))
			By("serving a harmless request")
			for _, g := range gateways {
				Eventually(func() int {
					a, _ := g.send(http.MethodPost, path, harmless, change)
					return a.status
				}, "5s").Should(Equal(http.StatusOK))
			}
			Expect(f.ledger.Violations()).To(BeEmpty())
		},
		Entry("idempotent", safePath, "plain", site.Plain, nil),
		Entry("at most once", sealPath, "plain", site.Plain, nil),
		Entry("a stream", streamPath, "llm", site.Engine, nil),
		Entry("a stream that may resume elsewhere", resumePath, "llm", site.Engine, nil),
		Entry("a stream with stages", resumePath, "llm", site.Engine, func(r *http.Request) {
			r.Header.Set("Piece-Count", "1,2")
			r.Header.Set("Piece-Key", "k")
		}),
	)
})
