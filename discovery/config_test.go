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

// simulated runs a test of a fleet by a simulated clock, from a configuration
// of two routes and ten replicas that are known everywhere.
func runSimulation(t *testing.T, f func(g Gomega, f *simulatedFleet), wide, narrow int, before func(f *simulatedFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		fleet := newSimulatedFleet(wide, narrow)
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
	const blocksThere = 2
	var fromReader, fromOther atomic.Int32
	runSimulation(t, func(g Gomega, f *simulatedFleet) {
		before := f.machines["host-002"].down.bytes.Load()
		f.store.writeConfig(2, 3*routesAdded)
		g.Expect(f.awaitVersion(2, propagationBound)).To(BeNumerically("<", propagationBound))
		g.Expect(fromReader.Load()).To(BeNumerically(">", blocksThere), "refused from then on")
		g.Expect(fromOther.Load()).To(BeNumerically(">", 0))
		step := 71 << 10
		g.Expect(f.machines["host-002"].down.bytes.Load()-before).To(BeNumerically("<", step+step/4), "no block came twice")
	}, 0, 3, func(f *simulatedFleet) {
		f.injectError = func(from, to, method string) error {
			switch {
			case from != "host-002" || method != "discovery.config":
			case to == "host-000":
				fromOther.Add(1)
			case fromReader.Add(1) > blocksThere:
				time.Sleep(100 * time.Millisecond) // the other host has the step by then
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

// What was seen: of eighty hosts a third were cut off from the store and from
// each other, and still answered those that asked them for news. A host beside
// them asked one after the other, each took 1.2 s to say that it knew nothing
// new, and for 3.7 s the host did not ask the store for a newer configuration,
// though it read the replicas there.
func TestHostWithDisconnectedSourcesFollowsStore(t *testing.T) {
	// The sources of host-074, one above the other.
	sources := map[string]bool{"host-009": true, "host-000": true, "host-001": true}
	var cut atomic.Bool
	runSimulation(t, func(g Gomega, f *simulatedFleet) {
		cut.Store(true)
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
			if cut.Load() && sources[from] {
				return errRefused
			}
			return nil
		}
	})
}

func TestFullConfigReadOnlyWithoutHistory(t *testing.T) {
	runSimulation(t, func(g Gomega, f *simulatedFleet) {
		var whole int
		f.store.update(func(s *simulatedStore) { whole = s.fullConfigReads })
		for version := 2; version < 5; version++ {
			f.store.writeConfig(version, version*100)
			g.Expect(f.awaitVersion(version, propagationBound)).To(BeNumerically("<", propagationBound))
		}
		f.store.update(func(s *simulatedStore) { g.Expect(s.fullConfigReads).To(Equal(whole)) })
		f.store.update(func(s *simulatedStore) { s.revision += 10; s.compactedRevision = s.revision })
		f.store.writeConfig(5, 500)
		g.Expect(f.awaitVersion(5, propagationBound)).To(BeNumerically("<", propagationBound))
		f.store.update(func(s *simulatedStore) { g.Expect(s.fullConfigReads).To(Equal(whole + 1)) })
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
		var whole int
		f.store.update(func(s *simulatedStore) { whole = s.fullConfigReads })
		f.store.put(platform.ConfigKey, `{"version":2,"routes":[{"name":"r","prefix":"no slash"}]}`)
		time.Sleep(2 * propagationBound)
		g.Expect(f.hostsBelowVersion(1)).To(BeEmpty())
		g.Expect(f.hostsBelowVersion(2)).To(HaveLen(len(f.names)))
		f.store.writeConfig(3, 20)
		g.Expect(f.awaitVersion(3, propagationBound)).To(BeNumerically("<", propagationBound))
		f.store.update(func(s *simulatedStore) { g.Expect(s.fullConfigReads).To(Equal(whole)) })
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
		known := func(host string) int { return len(f.discoveries[host].View().Replicas) }
		for began := time.Now(); known("host-009") < replicas && time.Since(began) < propagationBound; {
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
	for _, of := range []struct {
		name string
		// from and to are numbers of routes.
		from, to int
		// most is the largest size of the step, in bytes.
		most int
	}{
		{"the whole", 0, 3 * routesAdded, 90 << 10},
		{"a third more", 2 * routesAdded, 3 * routesAdded, 30 << 10},
		{"a third less", 3 * routesAdded, 2 * routesAdded, 2 << 10},
		{"one more", 3*routesAdded - 1, 3 * routesAdded, 2 << 10},
	} {
		size, err := discovery.DeltaRoundTrip(text(of.from), text(of.to))
		g.Expect(err).NotTo(HaveOccurred(), of.name)
		g.Expect(size).To(BeNumerically("<", of.most), of.name)
	}
}
