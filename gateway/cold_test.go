package gateway_test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// newColdSite returns a site whose replicas of the service "plain" take two requests per second
// while they are cold, with one gateway.
func newColdSite(t *testing.T, change func(*fixture)) (*fixture, *gatewayProcess) {
	f := newFixtureOf(t)
	f.coldRate = 2
	f.configure()
	change(f)
	return f, f.start().ready()
}

// coldLimitPerSecond is how many requests per second hosts divide among themselves at a
// cold replica of newColdSite.
const coldLimitPerSecond = 2

// sendSafeRequests sends safe requests for a while and counts those that each replica ran.
func sendSafeRequests(f *fixture, g *gatewayProcess, during time.Duration) (ran map[string]int, refused int) {
	ran = map[string]int{}
	for began := time.Now(); time.Since(began) < during; time.Sleep(10 * time.Millisecond) {
		a, id := g.send(http.MethodPost, safePath, "", nil)
		f.Expect(a.err).NotTo(HaveOccurred())
		if a.status != http.StatusOK {
			f.Expect(a.status).To(Equal(http.StatusServiceUnavailable))
			f.Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
			f.Expect(f.ledger.Runs(id)).To(BeEmpty())
			refused++
		}
		for _, run := range f.ledger.Runs(id) {
			ran[run.Replica]++
		}
	}
	return ran, refused
}

func TestColdReplicaGetsFewRequests(t *testing.T) {
	f, g := newColdSite(t, func(f *fixture) { f.registerCold("p1", time.Minute) })
	ran, refused := sendSafeRequests(f, g, 2*time.Second)
	f.Expect(refused).To(BeZero())
	f.Expect(ran["p1"]).To(And(BeNumerically(">", 0), BeNumerically("<=", 2*coldLimitPerSecond)))
	f.Expect(ran["p2"]).To(BeNumerically(">", 4*coldLimitPerSecond))
	f.register(f.replicas["p1"], "ready")
	f.Eventually(func() int { ran, _ := sendSafeRequests(f, g, 500*time.Millisecond); return ran["p1"] }, "4s").Should(BeNumerically(">", 2*coldLimitPerSecond))
}

// Guards against a replica that counts as warm while the store says that it is cold: the age of
// the view was that of its last change, so that a view without changes was taken for stale.
func TestReplicaIsColdAsLongAsTheStoreSaysSo(t *testing.T) {
	t.Parallel()
	f, g := newColdSite(t, func(f *fixture) { f.registerCold("p1", time.Minute) })
	time.Sleep(4 * time.Second) // longer than the warm-up and than the age of a stale view
	ran, _ := sendSafeRequests(f, g, 900*time.Millisecond)
	f.Expect(ran["p1"]).To(And(BeNumerically(">", 0), BeNumerically("<=", coldLimitPerSecond)))
}

func TestRequestsOverColdReplicaLimitsAreRefusedAtOnce(t *testing.T) {
	f, g := newColdSite(t, func(f *fixture) { f.registerCold("p1", time.Minute); f.registerCold("p2", time.Minute) })
	ran, refused := sendSafeRequests(f, g, 2*time.Second)
	f.Expect(refused).To(BeNumerically(">", 0))
	for _, id := range []string{"p1", "p2"} {
		f.Expect(ran[id]).To(And(BeNumerically(">", 0), BeNumerically("<=", 2*coldLimitPerSecond)), id)
	}
}

// A failure domain is restored while its replicas have become cold, which the store does
// not report yet.
func TestReplicasOfRestoredDomainAreColdDuringWarmup(t *testing.T) {
	f, g := newColdSite(t, func(f *fixture) { f.setDomain("y", "p2"); f.store.Evacuate("x") })
	g.awaitEvacuatedDomains(1)
	ran, _ := sendSafeRequests(f, g, 100*time.Millisecond)
	f.Expect(ran["p1"]).To(BeZero())
	f.store.CancelEvacuation("x")
	f.Eventually(func() int { ran, _ := sendSafeRequests(f, g, 100*time.Millisecond); return ran["p1"] }, "3s").Should(BeNumerically(">", 0))
	ran, _ = sendSafeRequests(f, g, time.Second)
	f.Expect(ran["p1"]).To(BeNumerically("<=", 2*coldLimitPerSecond))
	f.Eventually(func() int { ran, _ := sendSafeRequests(f, g, 500*time.Millisecond); return ran["p1"] }, "6s").Should(BeNumerically(">", 2*coldLimitPerSecond))
}

// Guards against more calls for pieces than a cold stage replica can serve: the planner has
// most of the calls that all hosts may send to it, and the other replica produces the
// remaining pieces.
func TestColdStageReplicaGetsFewCalls(t *testing.T) {
	t.Parallel()
	const perSecond, maxCalls = 4, 7
	f := newFixtureOf(t)
	f.coldCallRate = perSecond
	f.configure()
	f.registerCold("s1", time.Minute)
	first := f.start().ready()
	hosts := []*gatewayProcess{first, f.start(first.peers).ready(), f.start(first.peers).ready()}
	for _, g := range hosts {
		f.Eventually(g.metricLines, "5s").WithArguments("wheatseam_hosts ").Should(ConsistOf("wheatseam_hosts 3"))
		f.Eventually(g.metricLines, "5s").WithArguments("wheatseam_replicas_cold ").Should(ConsistOf("wheatseam_replicas_cold 1"))
	}
	began := time.Now()
	sendLoad(hosts, 60*time.Millisecond, 4*time.Second, resumePath, withStagePieces)
	arrived := f.replicas["s1"].ArrivalTimes()
	f.Expect(maxInWindow(arrived, began, time.Second)).To(BeNumerically("<=", maxCalls))
	f.Expect(len(arrived)).To(BeNumerically(">=", 2*perSecond), "the planner's share, for four seconds")
}
