package discovery_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/platform"
)

// Guards against large configurations delaying other changes on slow links. On 80 hosts,
// most of them with links of 10 Mbit/s, 1,400 routes were added to 2,800 while the
// replicas of a service were replaced. Six seconds later a quarter of the hosts had the
// new routes. Requests were routed by the version before last and reached replicas that
// had announced 3.8 s before that they were leaving.
//
// For each change, a host sent the whole configuration, 0.7 MB, to eight others, in the
// message that also carried the drains of replicas. Calls had fixed timeouts regardless of
// their size: hosts abandoned a call to a peer after 1.45 s, then one to the store after
// 1 s, and then asked the next peer, while nearly all links were full. The part of a reply
// that had arrived was discarded, so that every attempt began at the first byte.
//
// The links were the limit: those of two hosts of three were full from the change on, no
// processor was above 14 %, and the store rejected no request. The same hosts and links
// fail here on a simulated clock, without processor time and with a store that accepts
// every request.

// propagationBound is the time within which a change that the store acknowledged must be
// active on all hosts.
const propagationBound = 3 * time.Second

// routesAdded is the number of routes that one change adds.
const routesAdded = 1400

// randomWord returns a word of n letters and digits.
func randomWord(r *rand.Rand, n int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	word := make([]byte, n)
	for i := range word {
		word[i] = letters[r.IntN(len(letters))]
	}
	return string(word)
}

// generateRoutes returns n routes in the operator's format; the first ones are the same
// for every n.
func generateRoutes(n int) []string {
	r := rand.New(rand.NewPCG(1, 2))
	routes := make([]string, n)
	for i := range routes {
		routes[i] = fmt.Sprintf(`{"name":"r-%s","hostname":"%s.example","prefix":"/%s/","route_type":"safe",`+
			`"timeout_ms":800,"goal_ms":120,"priority":2,"service":"s","attempts":2,"public":false}`,
			randomWord(r, 7), randomWord(r, 6), randomWord(r, 8))
	}
	return routes
}

// writeConfig writes a version with the first n routes.
func (s *simulatedStore) writeConfig(version, n int) {
	s.put(platform.ConfigKey, fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"s"}]}`, version, strings.Join(generateRoutes(n), ",")))
}

func (s *simulatedStore) writeReplica(id int, phase string) {
	s.put(fmt.Sprintf("%sr-%04d", platform.ReplicaPrefix, id),
		fmt.Sprintf(`{"service":"s","address":"10.0.0.1:%d","zone":"z","version":"v1","concurrency":64,"phase":%q,"seq":1}`, 1000+id, phase))
}

// hostsBelowVersion lists the hosts on which a version is not active.
func (f *simulatedFleet) hostsBelowVersion(version int) []string {
	var names []string
	for _, name := range f.names {
		if c := f.discoveries[name].View().Config; c == nil || c.Version < uint64(version) {
			names = append(names, name)
		}
	}
	return names
}

// hostsSendingTo lists the hosts that consider a replica ready.
func (f *simulatedFleet) hostsSendingTo(replica int) []string {
	var names []string
	for _, name := range f.names {
		if r := f.discoveries[name].View().Replicas.Find(fmt.Sprintf("r-%04d", replica)); r != nil && !r.Draining {
			names = append(names, name)
		}
	}
	return names
}

// awaitVersion waits until a version is active on all hosts and returns how long that
// took, at most limit.
func (f *simulatedFleet) awaitVersion(version int, limit time.Duration) time.Duration {
	const step = 5 * time.Millisecond
	started := time.Now()
	for len(f.hostsBelowVersion(version)) > 0 && time.Since(started) < limit {
		time.Sleep(step)
	}
	return time.Since(started)
}

// fleetLinks is the number of hosts with fast and with slow links.
type fleetLinks struct{ fast, slow int }

func TestLargeConfigsAndDrainsPropagateOverSlowLinks(t *testing.T) {
	for name, links := range map[string]fleetLinks{"few fast links": {8, 72}, "no fast link": {0, 40}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runChangeSeries(t, newSimulatedFleet(links.fast, links.slow)) })
		})
	}
}

// runChangeSeries simulates half a minute: twice a second one replica starts to drain and
// another becomes ready; every 4 s routes are added, or only the version changes.
func runChangeSeries(t *testing.T, f *simulatedFleet) {
	const replicas, steps, step = 120, 60, 500 * time.Millisecond
	g := NewWithT(t)
	f.store.writeConfig(1, 2)
	for id := range replicas {
		f.store.writeReplica(id, "ready")
	}
	stop := f.run()
	defer stop()
	g.Expect(f.awaitVersion(1, 20*time.Second)).To(BeNumerically("<", 20*time.Second))
	versions := map[int]int{}
	var late []string
	for tick := range steps + int(propagationBound/step) {
		if tick < steps {
			f.store.writeReplica(tick, "draining")
			f.store.writeReplica(replicas+tick, "ready")
		}
		if tick < steps && tick%8 == 0 {
			versions[tick] = 2 + tick/8
			f.store.writeConfig(versions[tick], 2+min(3, 1+tick/16)*routesAdded)
		}
		time.Sleep(step)
		due := tick + 1 - int(propagationBound/step)
		if due < 0 {
			continue
		}
		if hosts := f.hostsSendingTo(due); due < steps && len(hosts) > 0 {
			late = append(late, fmt.Sprintf("replica %d has been leaving for %s: %d hosts still send to it", due, propagationBound, len(hosts)))
		}
		if version, written := versions[due]; written {
			if hosts := f.hostsBelowVersion(version); len(hosts) > 0 {
				late = append(late, fmt.Sprintf("version %d was written %s ago: %d hosts have an older one", version, propagationBound, len(hosts)))
			}
		}
	}
	g.Expect(late).To(BeEmpty())
	g.Expect(f.maxMessageSize.Load()).To(BeNumerically("<=", maxPeerMessageBytes), "bytes of the largest message between hosts")
}

// maxPeerMessageBytes limits the messages between hosts. A link of 10 Mbit/s carries one
// in 33 ms, and eight in less than the silence timeout after which a session is closed.
const maxPeerMessageBytes = 40 << 10
