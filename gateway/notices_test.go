package gateway_test

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/wheatseam/wheatseam/gateway"
	"github.com/wheatseam/wheatseam/internal/standin/site"
)

// logged counts the lines of a message.
func loggedCount(logs *observer.ObservedLogs, message string) int {
	return logs.FilterMessage(message).Len()
}

func TestReplicaLimitIsLoggedAndExported(t *testing.T) {
	t.Parallel()
	const gauge = "wheatseam_replicas_limited"
	f := newFixtureOf(t)
	core, logs := observer.New(zapcore.InfoLevel)
	g := f.startLogged(zap.New(core)).ready()
	f.replicas["p1"].NameLimit("2.5")
	f.Eventually(func() int {
		g.send(http.MethodPost, safePath, "", nil)
		return loggedCount(logs, "replica announced a rate limit")
	}, "4s").Should(Equal(1))
	f.Expect(logs.FilterMessage("replica announced a rate limit").All()[0].ContextMap()).To(And(
		HaveKeyWithValue("replica", "p1"), HaveKeyWithValue("service", "plain"), HaveKeyWithValue("per_second", 2.5)))
	f.Expect(g.metricLines(gauge)).To(ConsistOf(gauge + " 1"))
	f.replicas["p1"].NameLimit("")
	f.Eventually(func() int {
		g.send(http.MethodPost, safePath, "", nil)
		return loggedCount(logs, "replica lifted its rate limit")
	}, "8s").Should(Equal(1))
	f.Expect(g.metricLines(gauge)).To(ConsistOf(gauge + " 0"))
}

// most is the largest number of times within a span, from a moment on.
func maxInWindow(times []time.Time, from time.Time, span time.Duration) int {
	times = slices.DeleteFunc(slices.Clone(times), func(t time.Time) bool { return t.Before(from) })
	largest, first := 0, 0
	for i := range times {
		for times[i].Sub(times[first]) >= span {
			first++
		}
		largest = max(largest, i-first+1)
	}
	return largest
}

// pressed is what became of the requests that pressAll sent.
type loadResult struct {
	// unserved counts what those that were not served ended with.
	unserved map[string]int
	// late is by how much a sender woke late at most: this process had no processor.
	maxSendDelay time.Duration
}

// pressAll sends requests at all hosts, each so often, for a while.
func sendLoad(hosts []*gatewayProcess, every, during time.Duration, path string, change func(*http.Request)) loadResult {
	var senders sync.WaitGroup
	var mu sync.Mutex
	p := loadResult{unserved: map[string]int{}}
	for _, g := range hosts {
		for began, n := time.Now(), 0; n < int(during/every); n++ {
			senders.Go(func() {
				due := began.Add(time.Duration(n) * every)
				time.Sleep(time.Until(due))
				late := time.Since(due)
				a, _ := g.send(http.MethodPost, path, "", change)
				mu.Lock()
				defer mu.Unlock()
				p.maxSendDelay = max(p.maxSendDelay, late)
				if a.status != http.StatusOK {
					p.unserved[fmt.Sprintf("%d %s%v", a.status, a.body, a.err)]++
				}
			})
		}
	}
	senders.Wait()
	return p
}

// starved is the lateness from which a machine does not serve in time what it has room for:
// requests then end at their deadlines, or are refused since their stages would.
const maxSendDelayAllowed = 50 * time.Millisecond

// allServed checks that all were, unless the machine was starved meanwhile.
func (f *fixture) expectAllServed(p loadResult) {
	f.test.Helper()
	if p.maxSendDelay < maxSendDelayAllowed {
		f.Expect(p.unserved).To(BeEmpty(), "the other replica has room for all")
	}
}

// threeHosts starts three hosts that know each other.
func (f *fixture) startThreeHosts() []*gatewayProcess {
	first := f.start().ready()
	hosts := []*gatewayProcess{first, f.start(first.peers).ready(), f.start(first.peers).ready()}
	for _, g := range hosts {
		f.Eventually(g.metricLines, "5s").WithArguments("wheatseam_hosts ").Should(ConsistOf("wheatseam_hosts 3"))
	}
	return hosts
}

// Guards against a replica that names a limit and goes on getting its usual part of the
// requests, streams or calls for pieces: the sum over all hosts counts.
func TestReplicaLimitHoldsAcrossHosts(t *testing.T) {
	t.Parallel()
	const (
		perSecond = 1
		window    = 4 * time.Second
		// allowed is one and a half times what the limit allows in the window, and five.
		allowed = 11
		// learning is how long hosts have until the limit binds.
		settleTime = 3 * time.Second
	)
	for _, load := range []struct {
		name, replica, path string
		change              func(*http.Request)
	}{
		{"requests", "p1", safePath, nil},
		{"streams", "e1", resumePath, nil},
		{"pieces", "s1", resumePath, withStagePieces},
	} {
		t.Run(load.name, func(t *testing.T) {
			t.Parallel()
			f := newFixtureOf(t)
			hosts := f.startThreeHosts()
			f.replicas[load.replica].NameLimit(strconv.Itoa(perSecond))
			named := time.Now()
			p := sendLoad(hosts, 150*time.Millisecond, settleTime+2*window, load.path, load.change)
			f.expectAllServed(p)
			arrived := f.replicas[load.replica].Arrived()
			f.Expect(maxInWindow(arrived, named.Add(settleTime), window)).To(And(BeNumerically("<=", allowed), BeNumerically(">", 0)))
		})
	}
}

// Guards against callers that wait for what no replica takes: they are refused at once,
// unrun, with the time until a replica may be asked again.
func TestRequestIsRefusedAtOnceWhenAllReplicasAreAtTheirLimits(t *testing.T) {
	t.Parallel()
	f := newFixtureOf(t)
	g := f.start().ready()
	for _, r := range f.replicas {
		if r.Kind != site.Stage {
			r.NameLimit("0.5")
		}
	}
	for _, path := range []string{safePath, sealPath, resumePath} {
		var refused answer
		var id string
		f.Eventually(func() int {
			refused, id = g.send(http.MethodPost, path, "", withStagePieces)
			return refused.status
		}, "4s").Should(Equal(http.StatusServiceUnavailable))
		f.Expect(f.ledger.Runs(id)).To(BeEmpty())
		wait, err := strconv.ParseFloat(refused.header.Get("Retry-After"), 64)
		f.Expect(err).NotTo(HaveOccurred())
		f.Expect(wait).To(And(BeNumerically(">", 0), BeNumerically("<=", 4)))
		began := time.Now()
		g.send(http.MethodPost, path, "", withStagePieces)
		f.Expect(time.Since(began)).To(BeNumerically("<", 300*time.Millisecond))
		time.Sleep(time.Duration(wait * float64(time.Second)))
		a, _ := g.send(http.MethodPost, path, "", withStagePieces)
		f.Expect(a.status).To(Equal(http.StatusOK), "after the wait that was told")
	}
}

// Guards against a limit that outlives its replica's need: one that ends is taken back by
// the first answer without it, and requests come back.
func TestReplicaGetsRequestsAgainWhenLimitIsLifted(t *testing.T) {
	t.Parallel()
	f := newFixtureOf(t)
	g := f.start().ready()
	f.replicas["p1"].NameLimit("1")
	f.Eventually(func() int {
		ran, _ := sendSafeRequests(f, g, 100*time.Millisecond)
		return ran["p1"]
	}, "8s").Should(BeZero())
	f.replicas["p1"].NameLimit("")
	f.Eventually(func() int {
		ran, _ := sendSafeRequests(f, g, 300*time.Millisecond)
		return ran["p1"]
	}, "6s").Should(BeNumerically(">", 3))
}

// Guards against hosts that learn of a limit, or of its end, only by requests of their own:
// in a large fleet each would send one that the replica can't take, and hosts without a part
// would not come back for long.
func TestReplicaLimitSpreadsToOtherHosts(t *testing.T) {
	t.Parallel()
	const gauge = "wheatseam_replicas_limited"
	f := newFixtureOf(t)
	hosts := f.startThreeHosts()
	f.replicas["p1"].NameLimit("0.5")
	known := func() []string {
		return slices.Concat(hosts[0].metricLines(gauge), hosts[1].metricLines(gauge), hosts[2].metricLines(gauge))
	}
	f.Eventually(func() []time.Time {
		hosts[0].send(http.MethodPost, safePath, "", nil)
		return f.replicas["p1"].Arrived()
	}, "4s").Should(HaveLen(1))
	f.Eventually(known, "3s").Should(HaveEach(gauge + " 1"))
	f.replicas["p1"].NameLimit("")
	began := len(f.replicas["p1"].Arrived())
	f.Eventually(func() int {
		for _, g := range hosts {
			g.send(http.MethodPost, safePath, "", nil)
		}
		return len(f.replicas["p1"].Arrived())
	}, "6s").Should(BeNumerically(">", began))
	f.Eventually(known, "3s").Should(HaveEach(gauge + " 0"))
}

func TestLeavingReplicaIsLoggedAndExported(t *testing.T) {
	t.Parallel()
	const gauge = "wheatseam_replicas_said_leaving "
	f := newFixtureOf(t)
	core, logs := observer.New(zapcore.InfoLevel)
	g := f.startLogged(zap.New(core)).ready()
	f.replicas["p1"].SayLeaving()
	f.Eventually(func() int {
		g.send(http.MethodPost, safePath, "", nil)
		return loggedCount(logs, "replica announced that it is leaving")
	}, "4s").Should(Equal(1))
	f.Expect(logs.FilterMessage("replica announced that it is leaving").All()[0].ContextMap()).To(And(
		HaveKeyWithValue("replica", "p1"), HaveKeyWithValue("service", "plain"), HaveKeyWithValue("peer", g.peers)))
	f.Expect(g.metricLines(gauge)).To(ConsistOf(gauge + "1"))
}

// Guards against requests, streams and calls for pieces that reach a replica which has told
// in an answer that it leaves, while the store still says that it is ready.
func TestLeavingReplicaGetsNoMoreCalls(t *testing.T) {
	t.Parallel()
	// bound is how long a host may still send what it was asked for before it was told.
	const bound = 2 * time.Second
	for _, load := range []struct {
		name, replica, path string
		change              func(*http.Request)
	}{
		{"requests", "p1", safePath, nil},
		{"streams", "e1", resumePath, nil},
		{"pieces", "s1", resumePath, withStagePieces},
	} {
		t.Run(load.name, func(t *testing.T) {
			t.Parallel()
			f := newFixtureOf(t)
			hosts := f.startThreeHosts()
			leaving := f.replicas[load.replica]
			leaving.SayLeaving()
			began := time.Now()
			p := sendLoad(hosts, 150*time.Millisecond, bound+3*time.Second, load.path, load.change)
			f.expectAllServed(p)
			arrived := leaving.Arrived()
			f.Expect(arrived).NotTo(BeEmpty())
			f.Expect(maxInWindow(arrived, began.Add(bound), time.Hour)).To(BeZero())
		})
	}
}

// Guards against a service that is emptied for good by what its replicas say: it is the
// starts that leave, and what is registered anew is used.
func TestRequestIsRefusedAtOnceWhenAllReplicasAreLeaving(t *testing.T) {
	t.Parallel()
	f := newFixtureOf(t)
	g := f.start().ready()
	f.replicas["p1"].SayLeaving()
	f.replicas["p2"].SayLeaving()
	var refused answer
	var id string
	f.Eventually(func() int {
		refused, id = g.send(http.MethodPost, sealPath, "", nil)
		return refused.status
	}, "4s").Should(Equal(http.StatusServiceUnavailable))
	f.Expect(f.ledger.Runs(id)).To(BeEmpty())
	f.Expect(strconv.ParseFloat(refused.header.Get("Retry-After"), 64)).To(BeNumerically(">", 0))
	f.add("p3", "plain", site.Plain)
	f.Eventually(func() int {
		a, _ := g.send(http.MethodPost, sealPath, "", nil)
		return a.status
	}, "4s").Should(Equal(http.StatusOK))
}

// Guards against hosts that learn that a replica leaves by requests of their own only, each
// of which it serves while it is about to go.
func TestLeavingNoticeSpreadsToOtherHosts(t *testing.T) {
	t.Parallel()
	const gauge = "wheatseam_replicas_said_leaving "
	f := newFixtureOf(t)
	hosts := f.startThreeHosts()
	f.replicas["p1"].SayLeaving()
	f.Eventually(func() []time.Time {
		hosts[0].send(http.MethodPost, safePath, "", nil)
		return f.replicas["p1"].Arrived()
	}, "4s").Should(HaveLen(1))
	f.Eventually(func() []string {
		return slices.Concat(hosts[1].metricLines(gauge), hosts[2].metricLines(gauge))
	}, "3s").Should(HaveEach(gauge + "1"))
	sendLoad(hosts, 50*time.Millisecond, time.Second, safePath, nil)
	f.Expect(f.replicas["p1"].Arrived()).To(HaveLen(1))
}

func TestReplicaBackoffIsLoggedAndExported(t *testing.T) {
	t.Parallel()
	const gauge = "wheatseam_replicas_resting "
	f := newFixtureOf(t)
	core, logs := observer.New(zapcore.InfoLevel)
	g := f.startWith(zap.New(core), func(s *gateway.Settings) { s.Backoff.Max = 2 * time.Second }).ready()
	f.replicas["p1"].Behave(site.Behaviour{Shed: true, RetryAfter: "1000000"})
	f.Eventually(func() int {
		g.send(http.MethodPost, safePath, "", nil)
		return loggedCount(logs, "replica asked for back-off")
	}, "4s").Should(Equal(1))
	f.Expect(logs.FilterMessage("replica asked for back-off").All()[0].ContextMap()).To(And(
		HaveKeyWithValue("replica", "p1"), HaveKeyWithValue("service", "plain"), HaveKeyWithValue("for", 2*time.Second)))
	f.Expect(g.metricLines(gauge)).To(ConsistOf(gauge + "1"))
	f.replicas["p1"].Behave(site.Behaviour{Shed: true, RetryAfter: "soon"})
	f.Eventually(func() []string {
		g.send(http.MethodPost, safePath, "", nil)
		return g.metricLines(gauge)
	}, "4s").Should(ConsistOf(gauge + "0"))
	f.Eventually(func() int {
		g.send(http.MethodPost, safePath, "", nil)
		return loggedCount(logs, "replica sent an invalid back-off time")
	}, "4s").Should(Equal(1))
}

// Guards against requests, streams and calls for pieces that reach a replica which has turned
// this host away and asked for rest.
func TestReplicaGetsNoCallsDuringBackoff(t *testing.T) {
	t.Parallel()
	const (
		backoff = 3 * time.Second
		// passing is how long what was on its way may still arrive, and allowed how many
		// requests may after it.
		inFlightTime = 500 * time.Millisecond
		allowed      = 2
	)
	for _, load := range []struct {
		name, replica, path string
		change              func(*http.Request)
	}{
		{"requests", "p1", safePath, nil},
		{"streams", "e1", resumePath, nil},
		{"pieces", "s1", resumePath, withStagePieces},
	} {
		t.Run(load.name, func(t *testing.T) {
			t.Parallel()
			f := newFixtureOf(t)
			g := f.start().ready()
			refusing := f.replicas[load.replica]
			refusing.Behave(site.Behaviour{Shed: true, RetryAfter: "3"})
			p := sendLoad([]*gatewayProcess{g}, 100*time.Millisecond, 3*backoff, load.path, load.change)
			f.expectAllServed(p)
			arrived := refusing.Arrived()
			f.Expect(len(arrived)).To(BeNumerically(">", 1), "it is asked again after its rest")
			for _, asked := range arrived {
				during := slices.DeleteFunc(slices.Clone(arrived), func(at time.Time) bool {
					return at.Before(asked.Add(inFlightTime)) || !at.Before(asked.Add(backoff))
				})
				f.Expect(len(during)).To(BeNumerically("<=", allowed))
			}
		})
	}
}

func TestRequestIsRefusedAtOnceWhenAllReplicasAreBackedOff(t *testing.T) {
	t.Parallel()
	f := newFixtureOf(t)
	g := f.start().ready()
	f.behave("plain", site.Behaviour{Shed: true, RetryAfter: "1.5"})
	f.Eventually(func() []string {
		g.send(http.MethodPost, sealPath, "", nil)
		return g.metricLines("wheatseam_replicas_resting ")
	}, "4s").Should(ConsistOf("wheatseam_replicas_resting 2"))
	refused, id := g.send(http.MethodPost, sealPath, "", nil)
	f.Expect(refused.status).To(Equal(http.StatusServiceUnavailable))
	f.Expect(f.ledger.Runs(id)).To(BeEmpty())
	f.Expect(strconv.ParseFloat(refused.header.Get("Retry-After"), 64)).To(And(BeNumerically(">", 0), BeNumerically("<=", 1.5)))
	before := len(f.replicas["p1"].Arrived()) + len(f.replicas["p2"].Arrived())
	g.send(http.MethodPost, sealPath, "", nil)
	f.Expect(len(f.replicas["p1"].Arrived()) + len(f.replicas["p2"].Arrived())).To(Equal(before))
	f.behave("plain", site.Behaviour{})
	f.Eventually(func() int {
		a, _ := g.send(http.MethodPost, sealPath, "", nil)
		return a.status
	}, "4s").Should(Equal(http.StatusOK))
}

// Guards against a rest that is forgotten as the list tells of the start that asked for it: it
// had come up at its address while the store was away.
func TestBackoffHoldsForReplicaListedLater(t *testing.T) {
	t.Parallel()
	f := newFixtureOf(t)
	g := f.start().ready()
	refusing := f.replicas["p1"]
	refusing.RefuseForRest("30")
	f.Eventually(func() []string {
		g.send(http.MethodPost, safePath, "", nil)
		return g.metricLines("wheatseam_replicas_resting ")
	}, "4s").Should(ConsistOf("wheatseam_replicas_resting 1"))
	refusing.Born = time.Now().UnixMilli()
	f.register(refusing, "ready")
	before := len(refusing.Arrived())
	sendLoad([]*gatewayProcess{g}, 50*time.Millisecond, 3*time.Second, safePath, nil)
	f.Expect(len(refusing.Arrived())).To(Equal(before))
}
