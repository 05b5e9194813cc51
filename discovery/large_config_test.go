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

// What was seen: on 80 hosts, most of them behind links of 10 Mbit/s, 1,400
// routes were added to 2,800 while the replicas of a service were replaced. Six
// seconds later a quarter of the hosts had the new routes. Requests were decided
// by the version before last, and reached replicas that had said 3.8 s before
// that they leave.
//
// How it came about: hosts asked a fellow for news and gave up after 1.45 s, then
// read the store and gave up after 1 s, then asked the next fellow; nearly all
// links were full meanwhile.
//
// The cause: each change of the configuration was passed on whole, 0.7 MB, in
// the message that also carries the drains of replicas, and by a host to eight
// others. Calls had fixed times whatever they carried, and what had come of an
// answer by then was dropped, so that every try began at the first byte.
//
// What proved it: the links of two hosts of three were full from the change on,
// no processor was over 14 %, and the store turned nobody away. The same hosts
// and links fail here by a simulated clock, without processor time and with a
// store that refuses nothing.

// dueIn is the time within which what the store acknowledged must be in force
// on all hosts.
const propagationBound = 3 * time.Second

// routesAdded is the number of routes of one change.
const routesAdded = 1400

// random returns a word of n letters and digits.
func randomWord(r *rand.Rand, n int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	word := make([]byte, n)
	for i := range word {
		word[i] = letters[r.IntN(len(letters))]
	}
	return string(word)
}

// routesOf returns n routes as the operator writes them; the first ones are the
// same for every n.
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

// outdated lists the hosts on which a version is not in force.
func (f *simulatedFleet) hostsBelowVersion(version int) []string {
	var names []string
	for _, name := range f.names {
		if c := f.discoveries[name].View().Config; c == nil || c.Version < uint64(version) {
			names = append(names, name)
		}
	}
	return names
}

// sending lists the hosts that take a replica for ready.
func (f *simulatedFleet) hostsSendingTo(replica int) []string {
	var names []string
	for _, name := range f.names {
		if r, known := f.discoveries[name].View().Replicas[fmt.Sprintf("r-%04d", replica)]; known && !r.Draining {
			names = append(names, name)
		}
	}
	return names
}

// awaitVersion waits until a version is in force on all hosts and returns the
// time that took, at most limit.
func (f *simulatedFleet) awaitVersion(version int, limit time.Duration) time.Duration {
	const step = 5 * time.Millisecond
	began := time.Now()
	for len(f.hostsBelowVersion(version)) > 0 && time.Since(began) < limit {
		time.Sleep(step)
	}
	return time.Since(began)
}

// fleetOf is a fleet by its links.
type fleetLinks struct{ fast, slow int }

func TestLargeConfigsAndDrainsPropagateOverSlowLinks(t *testing.T) {
	for name, of := range map[string]fleetLinks{"few wide links": {8, 72}, "no wide link": {0, 40}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runChangeSeries(t, newSimulatedFleet(of.fast, of.slow)) })
		})
	}
}

// changeInSeries plays half a minute: twice a second a replica says that it
// leaves and another one starts; every 4 s the routes grow, or only the version.
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
	versionAt := map[int]int{}
	var late []string
	for at := range steps + int(propagationBound/step) {
		if at < steps {
			f.store.writeReplica(at, "draining")
			f.store.writeReplica(replicas+at, "ready")
		}
		if at < steps && at%8 == 0 {
			versionAt[at] = 2 + at/8
			f.store.writeConfig(versionAt[at], 2+min(3, 1+at/16)*routesAdded)
		}
		time.Sleep(step)
		due := at + 1 - int(propagationBound/step)
		if due < 0 {
			continue
		}
		if hosts := f.hostsSendingTo(due); due < steps && len(hosts) > 0 {
			late = append(late, fmt.Sprintf("replica %d has been leaving for %s: %d hosts send to it", due, propagationBound, len(hosts)))
		}
		if version, written := versionAt[due]; written {
			if hosts := f.hostsBelowVersion(version); len(hosts) > 0 {
				late = append(late, fmt.Sprintf("version %d was written %s ago: %d hosts have an older one", version, propagationBound, len(hosts)))
			}
		}
	}
	g.Expect(late).To(BeEmpty())
	g.Expect(f.maxMessageSize.Load()).To(BeNumerically("<=", maxPeerMessageBytes), "bytes of the largest message between hosts")
}

// largestMessage bounds the messages between hosts, in bytes: a link of 10 Mbit/s
// carries one in 33 ms, and eight in less than the silence after which a session
// is ended.
const maxPeerMessageBytes = 40 << 10
