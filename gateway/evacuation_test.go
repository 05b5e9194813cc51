package gateway_test

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/internal/standin/site"
)

// setDomain registers replicas in a failure domain.
func (f *fixture) setDomain(domain string, ids ...string) {
	for _, id := range ids {
		f.replicas[id].FailureDomain = domain
		f.register(f.replicas[id], "ready")
	}
}

// newTwoDomainSite returns a site with one replica of each service in each of two failure
// domains.
func newTwoDomainSite(t *testing.T) (*fixture, *gatewayProcess) {
	f := newFixtureOf(t)
	f.setDomain("x", "p1", "e1", "s1")
	f.setDomain("y", "p2", "e2", "s2")
	return f, f.startLogged(zap.NewNop()).ready()
}

// awaitEvacuatedDomains waits until that many failure domains are evacuated.
func (r *gatewayProcess) awaitEvacuatedDomains(domains int) {
	const gauge = "wheatseam_domains_evacuated"
	r.Eventually(r.metricLines, "4s").WithArguments(gauge).Should(ConsistOf(fmt.Sprint(gauge, " ", domains)))
}

// withStagePieces requests a stream with stages.
func withStagePieces(r *http.Request) {
	r.Header.Set("Piece-Count", "2,1")
	r.Header.Set("Piece-Key", "k")
}

// runsByReplica counts, by replica, the runs of several requests of one kind.
func runsByReplica(f *fixture, g *gatewayProcess, path string, change func(*http.Request)) map[string]int {
	const times = 12
	ran := map[string]int{}
	for range times {
		a, id := g.send(http.MethodPost, path, "", change)
		f.Expect(a.err).NotTo(HaveOccurred())
		f.Expect(a.status).To(Equal(http.StatusOK))
		for _, run := range f.ledger.Runs(id) {
			ran[run.Replica]++
		}
	}
	return ran
}

func TestEvacuatedDomainGetsNoRequestsStreamsOrPieces(t *testing.T) {
	f, g := newTwoDomainSite(t)
	f.store.Evacuate("x")
	g.awaitEvacuatedDomains(1)
	f.Expect(runsByReplica(f, g, safePath, nil)).To(And(HaveLen(1), HaveKey("p2")))
	executed := f.replicas["s1"].PiecesExecuted()
	f.Expect(runsByReplica(f, g, sealPath, nil)).To(And(HaveLen(1), HaveKey("p2")))
	f.Expect(runsByReplica(f, g, resumePath, withStagePieces)).To(And(HaveLen(1), HaveKey("e2")))
	f.Expect(f.replicas["s1"].PiecesExecuted()).To(Equal(executed), "pieces produced in the evacuated domain")
	f.Expect(f.replicas["s2"].PiecesExecuted()).To(BeNumerically(">", 0))

	f.store.CancelEvacuation("x")
	f.Eventually(func() map[string]int { return runsByReplica(f, g, safePath, nil) }, "4s").Should(HaveKey("p1"))
	f.Eventually(func() map[string]int { return runsByReplica(f, g, resumePath, withStagePieces) }, "4s").Should(HaveKey("e1"))
}

func TestRunInEvacuatedDomainCompletes(t *testing.T) {
	f, g := newTwoDomainSite(t)
	f.replicas["p2"].SetBehaviour(site.Behaviour{Shed: true})
	f.replicas["p1"].SetBehaviour(site.Behaviour{ServiceTime: 1500 * time.Millisecond})
	answers := make(chan answer, 1)
	go func() {
		a, _ := g.send(http.MethodPost, safePath, "", nil)
		answers <- a
	}()
	time.Sleep(200 * time.Millisecond)
	f.store.Evacuate("x")
	g.awaitEvacuatedDomains(1)
	f.Expect(answers).To(BeEmpty(), "the run is still in progress")
	var a answer
	f.Eventually(answers, "3s").Should(Receive(&a))
	f.Expect(a.status).To(Equal(http.StatusOK))
}

func TestRequestIsRefusedAtOnceWhenAllDomainsAreEvacuated(t *testing.T) {
	f, g := newTwoDomainSite(t)
	f.store.Evacuate("x")
	f.store.Evacuate("y")
	f.store.Evacuate("nobody-knows")
	for _, path := range []string{safePath, sealPath, resumePath} {
		var a answer
		var id string
		f.Eventually(func() int {
			a, id = g.send(http.MethodPost, path, "", withStagePieces)
			return a.status
		}, "4s").Should(Equal(http.StatusServiceUnavailable))
		began := time.Now()
		a, id = g.send(http.MethodPost, path, "", withStagePieces)
		f.Expect(time.Since(began)).To(BeNumerically("<", 300*time.Millisecond))
		f.Expect(a.status).To(Equal(http.StatusServiceUnavailable))
		f.Expect(a.body).To(ContainSubstring("no_upstream"))
		wait, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
		f.Expect(err).NotTo(HaveOccurred())
		f.Expect(wait).To(BeNumerically(">", 0))
		f.Expect(f.ledger.Runs(id)).To(BeEmpty())
	}
	f.store.CancelEvacuation("y")
	f.Eventually(func() int {
		a, _ := g.send(http.MethodPost, safePath, "", nil)
		return a.status
	}, "4s").Should(Equal(http.StatusOK))
	f.Expect(runsByReplica(f, g, safePath, nil)).To(And(HaveLen(1), HaveKey("p2")))
}
