package gateway_test

import (
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/internal/standin/site"
)

// The users' requirement while most new connections go to one host: from skewContactTime on,
// requests are served at the first attempt at least skewServedShare times as often as before.
const (
	skewContactTime = 3 * time.Second
	skewServedShare = 0.75
	// skewedOf: of so many connections, all but one go to the host.
	skewedOf = 11
)

// skewCase is load on a fleet of six hosts.
type skewCase struct {
	path     string
	change   func(*http.Request)
	interval time.Duration
	prepare  func(*fixture)
}

// Guards against hosts that serve less when most new connections come to them.
func TestHostWithMostConnectionsServesAsOften(t *testing.T) {
	for name, c := range map[string]skewCase{
		"plain":   {path: safePath, interval: 15 * time.Millisecond},
		"streams": {path: streamPath, interval: 25 * time.Millisecond},
		"stages":  {path: resumePath, change: withStages, interval: 50 * time.Millisecond},
		"brittle replicas": {path: safePath, interval: 25 * time.Millisecond, prepare: func(f *fixture) {
			f.announce(func(r *site.Replica) { r.AnnounceRefusalLimit("2"); r.SetRoom(4) })
		}},
	} {
		t.Run(name, func(t *testing.T) { skewConnections(t, c) })
	}
}

// Guards against a host that has most of the connections and an equal share of the rates that
// replicas announce: it refuses what the limits allow.
func TestHostWithMostConnectionsServesAsOftenUnderLimits(t *testing.T) {
	const (
		perSecond = 15
		// window is that of the hosts' shares, and learned the time in which all know the limits.
		window  = 4 * time.Second
		learned = 2 * time.Second
	)
	began := time.Now()
	f := skewConnections(t, skewCase{path: safePath, interval: 25 * time.Millisecond, prepare: func(f *fixture) {
		f.announce(func(r *site.Replica) { r.AnnounceRateLimit(strconv.Itoa(perSecond)) })
		began = time.Now()
	}})
	for id, r := range f.replicas {
		if r.Service != "plain" {
			continue
		}
		arrivals := r.ArrivalTimes()
		arrivals = slices.DeleteFunc(arrivals, func(at time.Time) bool { return at.Before(began.Add(learned)) })
		for i, at := range arrivals {
			n := 0
			for _, later := range arrivals[i:] {
				if later.Sub(at) < window {
					n++
				}
			}
			f.Expect(n).To(BeNumerically("<=", perSecond*int(window.Seconds())), "%s in a window", id)
		}
	}
}

// Guards against a host that has most of the connections and an equal share of what cold replicas
// take: after a loss of all replicas, all of them are cold.
func TestHostWithMostConnectionsServesAsOftenWithColdReplicas(t *testing.T) {
	const (
		perSecond = 10
		// maxPerSecond is the users' bound: perSecond times the overage, and the slack.
		maxPerSecond = 16
	)
	began := time.Now()
	f := skewConnections(t, skewCase{path: safePath, interval: 40 * time.Millisecond, prepare: func(f *fixture) {
		f.coldRate = perSecond
		f.configure()
		f.announce(func(r *site.Replica) { f.registerCold(r.ID, time.Minute) })
	}})
	for id, r := range f.replicas {
		f.Expect(maxInWindow(r.ArrivalTimes(), began, time.Second)).To(BeNumerically("<=", maxPerSecond), id)
	}
}

// announce adds two plain replicas and changes all of them.
func (f *fixture) announce(change func(*site.Replica)) {
	f.add("p3", "plain", site.Plain)
	f.add("p4", "plain", site.Plain)
	for _, r := range f.replicas {
		if r.Service == "plain" {
			change(r)
		}
	}
}

// skewConnections sends requests to the hosts in turn, and then most of them to one.
func skewConnections(t *testing.T, c skewCase) *fixture {
	t.Parallel()
	f := newFixtureOf(t)
	if c.prepare != nil {
		c.prepare(f)
	}
	f.behave("plain", site.Behaviour{ServiceTime: 30 * time.Millisecond})
	fleet, _ := f.startFleet(6)
	var mu sync.Mutex
	n := 0
	// load sends requests to the hosts that next draws for the given time, and returns the share
	// that is served.
	load := func(d time.Duration, next func(n int) *gatewayProcess) float64 {
		var sent, served int
		var wg sync.WaitGroup
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(c.interval) {
			n++
			sent++
			g := next(n)
			wg.Go(func() {
				a, _ := g.send(http.MethodPost, c.path, "x", c.change)
				if a.status == http.StatusOK && a.err == nil {
					mu.Lock()
					defer mu.Unlock()
					served++
				}
			})
		}
		wg.Wait()
		return float64(served) / float64(sent)
	}
	even := func(n int) *gatewayProcess { return fleet[n%len(fleet)] }
	skewed := func(n int) *gatewayProcess {
		if n%skewedOf != 0 {
			return fleet[4]
		}
		return even(n)
	}
	load(2*time.Second, even)
	before := load(3*time.Second, even)
	load(skewContactTime, skewed)
	during := load(3*time.Second, skewed)
	t.Logf("served %.2f before and %.2f while most connections go to one host", before, during)
	f.Expect(during).To(BeNumerically(">=", skewServedShare*before))
	f.Expect(f.ledger.Violations()).To(BeEmpty())
	return f
}
