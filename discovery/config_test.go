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
func simulated(t *testing.T, f func(g Gomega, f *linkedFleet), wide, narrow int, before func(f *linkedFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		fleet := newLinkedFleet(wide, narrow)
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
		time.Sleep(2 * dueIn)
		f(g, fleet)
	})
}

var errRefused = errors.New("refused")

func TestAStepIsCompletedFromAnotherHost(t *testing.T) {
	const blocksThere = 2
	var fromReader, fromOther atomic.Int32
	simulated(t, func(g Gomega, f *linkedFleet) {
		before := f.machines["host-002"].down.bytes.Load()
		f.store.writeConfig(2, 3*routesAdded)
		g.Expect(f.awaitVersion(2, dueIn)).To(BeNumerically("<", dueIn))
		g.Expect(fromReader.Load()).To(BeNumerically(">", blocksThere), "refused from then on")
		g.Expect(fromOther.Load()).To(BeNumerically(">", 0))
		step := 71 << 10
		g.Expect(f.machines["host-002"].down.bytes.Load()-before).To(BeNumerically("<", step+step/4), "no block came twice")
	}, 0, 3, func(f *linkedFleet) {
		f.refuse = func(from, to, method string) error {
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

func TestAHostThatGetsNoBlocksReadsTheStore(t *testing.T) {
	simulated(t, func(g Gomega, f *linkedFleet) {
		f.store.writeConfig(2, routesAdded)
		g.Expect(f.awaitVersion(2, dueIn)).To(BeNumerically("<", dueIn))
	}, 0, 4, func(f *linkedFleet) {
		f.refuse = func(from, _, method string) error {
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
func TestAHostWhoseSourcesAreAllCutOffKeepsUpWithTheStore(t *testing.T) {
	// The sources of host-074, one above the other.
	sources := map[string]bool{"host-009": true, "host-000": true, "host-001": true}
	var cut atomic.Bool
	simulated(t, func(g Gomega, f *linkedFleet) {
		cut.Store(true)
		const step, changes = dueIn / 6, 40
		for at := range changes + int(dueIn/step) {
			if at < changes {
				f.store.writeConfig(2+at, 20+at)
			}
			time.Sleep(step)
			if due := at + 1 - int(dueIn/step); due >= 0 && due < changes {
				g.Expect(f.outdated(2+due)).NotTo(ContainElement("host-074"), "version %d", 2+due)
			}
		}
	}, 0, 75, func(f *linkedFleet) {
		f.refuse = func(from, _, _ string) error {
			if cut.Load() && sources[from] {
				return errRefused
			}
			return nil
		}
	})
}

func TestConfigurationsAreReadWholeOnlyWhenTheHistoryIsGone(t *testing.T) {
	simulated(t, func(g Gomega, f *linkedFleet) {
		var whole int
		f.store.with(func(s *linkedStore) { whole = s.whole })
		for version := 2; version < 5; version++ {
			f.store.writeConfig(version, version*100)
			g.Expect(f.awaitVersion(version, dueIn)).To(BeNumerically("<", dueIn))
		}
		f.store.with(func(s *linkedStore) { g.Expect(s.whole).To(Equal(whole)) })
		f.store.with(func(s *linkedStore) { s.revision += 10; s.forgotten = s.revision })
		f.store.writeConfig(5, 500)
		g.Expect(f.awaitVersion(5, dueIn)).To(BeNumerically("<", dueIn))
		f.store.with(func(s *linkedStore) { g.Expect(s.whole).To(Equal(whole + 1)) })
	}, 1, 5, nil)
}

func TestAChangeThatWatchesDidNotHearIsFoundLater(t *testing.T) {
	simulated(t, func(g Gomega, f *linkedFleet) {
		f.store.with(func(s *linkedStore) { s.blind = true })
		f.store.writeConfig(2, 20)
		time.Sleep(time.Second)
		f.store.writeReplica(1, "draining")
		time.Sleep(time.Second)
		f.store.with(func(s *linkedStore) { s.blind = false })
		g.Expect(f.awaitVersion(2, dueIn/2)).To(BeNumerically("<", dueIn/2))
	}, 1, 3, nil)
}

func TestAFaultyConfigurationIsReadOnceAndHoldsNothingUp(t *testing.T) {
	simulated(t, func(g Gomega, f *linkedFleet) {
		var whole int
		f.store.with(func(s *linkedStore) { whole = s.whole })
		f.store.put(platform.ConfigKey, `{"version":2,"routes":[{"name":"r","prefix":"no slash"}]}`)
		time.Sleep(2 * dueIn)
		g.Expect(f.outdated(1)).To(BeEmpty())
		g.Expect(f.outdated(2)).To(HaveLen(len(f.names)))
		f.store.writeConfig(3, 20)
		g.Expect(f.awaitVersion(3, dueIn)).To(BeNumerically("<", dueIn))
		f.store.with(func(s *linkedStore) { g.Expect(s.whole).To(Equal(whole)) })
	}, 1, 3, nil)
}

func TestAStormOfVersionsEndsWithTheLastOneEverywhere(t *testing.T) {
	simulated(t, func(g Gomega, f *linkedFleet) {
		version := 1
		for range 50 {
			version++
			f.store.writeConfig(version, 2*routesAdded+version)
			time.Sleep(80 * time.Millisecond)
		}
		g.Expect(f.awaitVersion(version, dueIn)).To(BeNumerically("<", dueIn))
		g.Expect(f.largest.Load()).To(BeNumerically("<", largestMessage))
	}, 1, 20, nil)
}

func TestManyReplicasArePassedOnInParts(t *testing.T) {
	const replicas = 3000
	simulated(t, func(g Gomega, f *linkedFleet) {
		for id := range replicas {
			f.store.writeReplica(id, "ready")
		}
		known := func(host string) int { return len(f.found[host].View().Replicas) }
		for began := time.Now(); known("host-009") < replicas && time.Since(began) < dueIn; {
			time.Sleep(10 * time.Millisecond)
		}
		for _, name := range f.names {
			g.Expect(known(name)).To(Equal(replicas), name)
		}
		g.Expect(f.largest.Load()).To(BeNumerically("<", largestMessage))
		f.store.writeReplica(7, "draining")
		time.Sleep(dueIn)
		g.Expect(f.sending(7)).To(BeEmpty())
	}, 0, 10, nil)
}

func TestStepsOfConfigurations(t *testing.T) {
	g := NewWithT(t)
	routes := routesOf(3 * routesAdded)
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
		size, err := discovery.StepRoundTrip(text(of.from), text(of.to))
		g.Expect(err).NotTo(HaveOccurred(), of.name)
		g.Expect(size).To(BeNumerically("<", of.most), of.name)
	}
}
