package discovery_test

import (
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/discovery"
	"github.com/wheatseam/wheatseam/platform"
)

// runSimulation runs a test with a fleet on a simulated clock, once a configuration of two
// routes and ten replicas are known on all hosts.
func runSimulation(t *testing.T, f func(g Gomega, f *simulatedFleet), fast, slow int, before func(f *simulatedFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		fleet := newSimulatedFleet(fast, slow)
		fleet.store.writeConfig(1, 2)
		for id := range 10 {
			fleet.store.writeReplica(id, "ready")
		}
		if before != nil {
			before(fleet)
		}
		stop := fleet.run()
		defer stop()
		g.Expect(fleet.awaitVersion(1, 20*time.Second)).To(BeNumerically("<", 20*time.Second))
		time.Sleep(2 * propagationBound)
		f(g, fleet)
	})
}

var errRefused = errors.New("refused")

func TestConfigDeltaIsCompletedFromAnotherHost(t *testing.T) {
	const blocksAvailable = 2
	var requestsToReader, requestsToOther atomic.Int32
	runSimulation(t, func(g Gomega, f *simulatedFleet) {
		before := f.machines["host-002"].down.bytes.Load()
		f.store.writeConfig(2, 3*routesAdded)
		g.Expect(f.awaitVersion(2, propagationBound)).To(BeNumerically("<", propagationBound))
		g.Expect(requestsToReader.Load()).To(BeNumerically(">", blocksAvailable), "later requests are refused")
		g.Expect(requestsToOther.Load()).To(BeNumerically(">", 0))
		deltaBytes := 71 << 10
		g.Expect(f.machines["host-002"].down.bytes.Load()-before).To(BeNumerically("<", deltaBytes+deltaBytes/4), "no block was transferred twice")
	}, 0, 3, func(f *simulatedFleet) {
		f.injectError = func(from, to, method string) error {
			switch {
			case from != "host-002" || method != "discovery.config":
			case to == "host-000":
				requestsToOther.Add(1)
			case requestsToReader.Add(1) > blocksAvailable:
				time.Sleep(100 * time.Millisecond) // the other host has the delta by then
				return errRefused
			}
			return nil
		}
	})
}

func TestHostWithoutBlocksReadsStore(t *testing.T) {
	runSimulation(t, func(g Gomega, f *simulatedFleet) {
		f.store.writeConfig(2, routesAdded)
		g.Expect(f.awaitVersion(2, propagationBound)).To(BeNumerically("<", propagationBound))
	}, 0, 4, func(f *simulatedFleet) {
		f.injectError = func(from, _, method string) error {
			if from == "host-003" && method == "discovery.config" {
				return errRefused
			}
			return nil
		}
	})
}

// Guards against a host relying on peers that cannot reach the store. Of 80 hosts a third
// were disconnected from the store and from each other and still answered requests for
// changes. A connected host asked three of them one after another, and each took 1.2 s to
// reply that it had no changes. For 3.7 s the host did not ask the store for a newer
// configuration, although it read the replicas there.
func TestHostWithDisconnectedSourcesFollowsStore(t *testing.T) {
	// sources are the hosts that host-074 asks: its ancestors in the tree.
	sources := map[string]bool{"host-009": true, "host-000": true, "host-001": true}
	var disconnected atomic.Bool
	runSimulation(t, func(g Gomega, f *simulatedFleet) {
		disconnected.Store(true)
		const step, changes = propagationBound / 6, 40
		for at := range changes + int(propagationBound/step) {
			if at < changes {
				f.store.writeConfig(2+at, 20+at)
			}
			time.Sleep(step)
			if due := at + 1 - int(propagationBound/step); due >= 0 && due < changes {
				g.Expect(f.hostsBelowVersion(2+due)).NotTo(ContainElement("host-074"), "version %d", 2+due)
			}
		}
	}, 0, 75, func(f *simulatedFleet) {
		f.injectError = func(from, _, _ string) error {
			if disconnected.Load() && sources[from] {
				return errRefused
			}
			return nil
		}
	})
}

func TestFullConfigReadOnlyWithoutHistory(t *testing.T) {
	runSimulation(t, func(g Gomega, f *simulatedFleet) {
		var fullReads int
		f.store.update(func(s *simulatedStore) { fullReads = s.fullConfigReads })
		for version := 2; version < 5; version++ {
			f.store.writeConfig(version, version*100)
			g.Expect(f.awaitVersion(version, propagationBound)).To(BeNumerically("<", propagationBound))
		}
		f.store.update(func(s *simulatedStore) { g.Expect(s.fullConfigReads).To(Equal(fullReads)) })
		f.store.update(func(s *simulatedStore) { s.revision += 10; s.compactedRevision = s.revision })
		f.store.writeConfig(5, 500)
		g.Expect(f.awaitVersion(5, propagationBound)).To(BeNumerically("<", propagationBound))
		f.store.update(func(s *simulatedStore) { g.Expect(s.fullConfigReads).To(Equal(fullReads + 1)) })
	}, 1, 5, nil)
}

func TestChangeMissedByWatchIsFoundLater(t *testing.T) {
	runSimulation(t, func(g Gomega, f *simulatedFleet) {
		f.store.update(func(s *simulatedStore) { s.watchesSilent = true })
		f.store.writeConfig(2, 20)
		time.Sleep(time.Second)
		f.store.writeReplica(1, "draining")
		time.Sleep(time.Second)
		f.store.update(func(s *simulatedStore) { s.watchesSilent = false })
		g.Expect(f.awaitVersion(2, propagationBound/2)).To(BeNumerically("<", propagationBound/2))
	}, 1, 3, nil)
}

func TestInvalidConfigIsReadOnceAndDelaysNothing(t *testing.T) {
	runSimulation(t, func(g Gomega, f *simulatedFleet) {
		var fullReads int
		f.store.update(func(s *simulatedStore) { fullReads = s.fullConfigReads })
		f.store.put(platform.ConfigKey, `{"version":2,"routes":[{"name":"r","prefix":"no slash"}]}`)
		time.Sleep(2 * propagationBound)
		g.Expect(f.hostsBelowVersion(1)).To(BeEmpty())
		g.Expect(f.hostsBelowVersion(2)).To(HaveLen(len(f.names)))
		f.store.writeConfig(3, 20)
		g.Expect(f.awaitVersion(3, propagationBound)).To(BeNumerically("<", propagationBound))
		f.store.update(func(s *simulatedStore) { g.Expect(s.fullConfigReads).To(Equal(fullReads)) })
	}, 1, 3, nil)
}

func TestRapidVersionsConvergeToLast(t *testing.T) {
	runSimulation(t, func(g Gomega, f *simulatedFleet) {
		version := 1
		for range 50 {
			version++
			f.store.writeConfig(version, 2*routesAdded+version)
			time.Sleep(80 * time.Millisecond)
		}
		g.Expect(f.awaitVersion(version, propagationBound)).To(BeNumerically("<", propagationBound))
		g.Expect(f.maxMessageSize.Load()).To(BeNumerically("<", maxPeerMessageBytes))
	}, 1, 20, nil)
}

func TestManyReplicasPropagateInBoundedMessages(t *testing.T) {
	const replicas = 3000
	runSimulation(t, func(g Gomega, f *simulatedFleet) {
		for id := range replicas {
			f.store.writeReplica(id, "ready")
		}
		known := func(host string) int { return f.discoveries[host].View().Replicas.Len() }
		for started := time.Now(); known("host-009") < replicas && time.Since(started) < propagationBound; {
			time.Sleep(10 * time.Millisecond)
		}
		for _, name := range f.names {
			g.Expect(known(name)).To(Equal(replicas), name)
		}
		g.Expect(f.maxMessageSize.Load()).To(BeNumerically("<", maxPeerMessageBytes))
		f.store.writeReplica(7, "draining")
		time.Sleep(propagationBound)
		g.Expect(f.hostsSendingTo(7)).To(BeEmpty())
	}, 0, 10, nil)
}

func TestConfigDeltas(t *testing.T) {
	g := NewWithT(t)
	routes := generateRoutes(3 * routesAdded)
	text := func(n int) string { return fmt.Sprintf(`{"version":1,"routes":[%s]}`, strings.Join(routes[:n], ",")) }
	for _, test := range []struct {
		name string
		// from and to are numbers of routes.
		from, to int
		// most is the largest allowed size of the delta in bytes.
		most int
	}{
		{"whole configuration", 0, 3 * routesAdded, 90 << 10},
		{"a third added", 2 * routesAdded, 3 * routesAdded, 30 << 10},
		{"a third removed", 3 * routesAdded, 2 * routesAdded, 2 << 10},
		{"one route added", 3*routesAdded - 1, 3 * routesAdded, 2 << 10},
	} {
		size, err := discovery.DeltaRoundTrip(text(test.from), text(test.to))
		g.Expect(err).NotTo(HaveOccurred(), test.name)
		g.Expect(size).To(BeNumerically("<", test.most), test.name)
	}
}
