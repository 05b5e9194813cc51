package gateway_test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/internal/standin/site"
)

// Guards against requests that go on crashing replicas because no host but one reaches them:
// the hosts whose connections broke could not confirm the crashes, and dropped the evidence.
func TestCrashesBehindCutsCount(t *testing.T) {
	for mode, silent := range cutModes {
		t.Run(mode, func(t *testing.T) { crashBehindCut(t, silent) })
	}
}

// crashBehindCut sends a request that crashes its replicas through hosts that reach replicas
// only through the last one.
func crashBehindCut(t *testing.T, silent bool) {
	const (
		// The users' bounds: quarantined contactTime after the third crash, and at most
		// maxLateRuns runs after that.
		contactTime = 3 * time.Second
		maxLateRuns = 3
		culprit     = "culprit"
	)
	t.Parallel()
	f := newFixtureOf(t)
	for _, id := range []string{"x1", "x2", "x3", "x4", "x5", "x6"} {
		f.add(id, "plain", site.Plain)
	}
	for _, r := range f.replicas {
		if r.Service != "plain" {
			continue
		}
		r.StartUnixMS = time.Now().UnixMilli()
		r.OnRestart = func(r *site.Replica) { f.register(r, "ready") }
		f.register(r, "ready")
		r.SetPoisonRequest(site.PoisonRequest{Body: culprit, CrashDelay: 20 * time.Millisecond, Downtime: 1500 * time.Millisecond})
	}
	crashes := func() int {
		n := 0
		for _, r := range f.replicas {
			n += r.Crashes()
		}
		return n
	}
	fleet, _ := f.startFleet(4)
	cut := fleet[:3]
	for _, g := range cut {
		g.gateway.SimulateCut(time.Minute, silent)
	}
	for _, g := range cut {
		f.Eventually(func() int {
			a, _ := g.send(http.MethodPost, safePath, "harmless", nil)
			return a.status
		}, "5s").Should(Equal(http.StatusOK))
	}
	for sent, deadline := 0, time.Now().Add(20*time.Second); crashes() < 3; sent++ {
		f.Expect(time.Now()).To(BeTemporally("<", deadline), "%d crashes", crashes())
		cut[sent%len(cut)].send(http.MethodPost, safePath, culprit, nil)
		time.Sleep(150 * time.Millisecond)
	}
	time.Sleep(contactTime)
	before := len(f.ledger.RunsWithBody(culprit))
	for i := range 4 * maxLateRuns {
		cut[i%len(cut)].send(http.MethodPost, safePath, culprit, nil)
		time.Sleep(100 * time.Millisecond)
	}
	f.Expect(len(f.ledger.RunsWithBody(culprit))-before).To(BeNumerically("<=", maxLateRuns), "sent to replicas after %d crashes", crashes())
	f.Expect(f.ledger.Violations()).To(BeEmpty())
}
