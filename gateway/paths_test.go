package gateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/wheatseam/wheatseam/internal/standin/site"
)

// cutModes are the ways in which a host loses the path to all replicas.
var cutModes = map[string]bool{"refused": false, "silent": true}

// startFleet starts gateways that know each other, and returns the log of the last one.
func (f *fixture) startFleet(n int) ([]*gatewayProcess, *observer.ObservedLogs) {
	core, logs := observer.New(zapcore.InfoLevel)
	fleet := []*gatewayProcess{f.start().ready()}
	for len(fleet) < n-1 {
		fleet = append(fleet, f.start(fleet[0].peers).ready())
	}
	fleet = append(fleet, f.startLogged(zap.New(core), fleet[0].peers).ready())
	for _, g := range fleet {
		f.Eventually(g.metricLines, "5s").WithArguments("wheatseam_hosts ").Should(ConsistOf(fmt.Sprint("wheatseam_hosts ", n)))
	}
	return fleet, logs
}

// sendEach sends one request of each kind, and expects each to be answered at the first try.
func (r *gatewayProcess) sendEach() {
	r.test.Helper()
	for _, path := range []string{sealPath, safePath, streamPath, resumePath} {
		var change func(*http.Request)
		if path == resumePath {
			change = withStages
		}
		a, id := r.send(http.MethodPost, path, "x", change)
		r.Expect(a.err).NotTo(HaveOccurred(), path)
		r.Expect(a.status).To(Equal(http.StatusOK), "%s: %s %v", path, a.body, r.metricLines("wheatseam_tunnels_"))
		if path == streamPath || path == resumePath {
			r.Expect(a.body).To(Equal(streamEvents(id, 1, 5)), path)
		}
	}
}

// Guards against hosts that lost the path to all replicas and refuse or lose requests,
// although another host reaches the replicas. Of the hosts that are cut off, one plans the
// stages in at least one of the cases.
func TestHostsWithoutReplicasServeThroughPeers(t *testing.T) {
	for mode, silent := range cutModes {
		t.Run("1 of 4 hosts, "+mode, func(t *testing.T) { serveWhileCutOff(t, 1, silent) })
	}
	t.Run("3 of 4 hosts, refused", func(t *testing.T) { serveWhileCutOff(t, 3, false) })
}

// The same for most hosts, which are not answered: each has to find the one that connects.
func TestMostHostsWithoutReplicasServeThroughPeers(t *testing.T) { serveWhileCutOff(t, 3, true) }

// serveWhileCutOff sends requests to four hosts of which some reach no replica.
func serveWhileCutOff(t *testing.T, cutOff int, silent bool) {
	t.Parallel()
	f := newFixtureOf(t)
	fleet, _ := f.startFleet(4)
	for _, g := range fleet[:cutOff] {
		g.gateway.SimulateCut(time.Minute, silent)
	}
	for range 8 {
		for _, g := range fleet {
			g.sendEach()
		}
	}
	f.Expect(f.ledger.Violations()).To(BeEmpty())
}

// Guards against hosts in two failure domains that reach no replica and make the others
// avoid replicas that these reach.
func TestHostsWithoutReplicasReportNone(t *testing.T) {
	t.Parallel()
	f := newFixtureOf(t)
	for _, id := range []string{"p3", "p4", "p5", "p6"} {
		f.add(id, "plain", site.Plain)
	}
	fleet, logs := f.startFleet(4)
	fleet[1].gateway.SimulateCut(time.Minute, false)
	fleet[2].gateway.SimulateCut(time.Minute, false)
	for range 10 {
		for _, g := range fleet[1:3] {
			g.send(http.MethodPost, safePath, "x", nil)
		}
	}
	f.Consistently(func() int { return logs.FilterMessage("replica unreachable").Len() }, "300ms").Should(BeZero())
}

// Guards against requests that wait, or are tried at replica after replica, although no host
// reaches any, and against a host that does not serve once the path is back.
func TestRequestsAreRefusedAtOnceWhileNoHostReachesReplicas(t *testing.T) {
	t.Parallel()
	f := newFixtureOf(t)
	fleet, logs := f.startFleet(3)
	for _, g := range fleet {
		g.gateway.SimulateCut(4*time.Second, true)
	}
	last := fleet[2]
	f.Eventually(func() bool {
		began := time.Now()
		a, _ := last.send(http.MethodPost, safePath, "x", nil)
		f.Expect(a.status).To(Equal(http.StatusServiceUnavailable))
		return a.header.Get("Retry-After") != "" && time.Since(began) < 50*time.Millisecond
	}, "3s").Should(BeTrue())
	f.Expect(logs.FilterMessage("no path to any replica; refusing requests").Len()).To(Equal(1))
	for _, a := range logs.FilterMessage("attempt").All() {
		f.Expect(a.ContextMap()).To(HaveKeyWithValue("error", ContainSubstring("peers asked: ")))
	}
	f.Eventually(func() int {
		a, _ := last.send(http.MethodPost, safePath, "x", nil)
		return a.status
	}, "8s", "50ms").Should(Equal(http.StatusOK))
	f.Expect(f.ledger.Violations()).To(BeEmpty())
}
