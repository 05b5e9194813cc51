package discovery_test

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/platform"
)

var evacuateLarge = flag.Bool("evacuate.large", false, "measure a fleet of 3,020 hosts as well")

// evacuatedIn is the time within which an order must be in force at every host.
const evacuationBound = 5 * time.Second

func (s *simulatedStore) evacuate(domain string) { s.put(platform.EvacuationPrefix+domain, "{}") }
func (s *simulatedStore) withdraw(domain string) { s.remove(platform.EvacuationPrefix + domain) }

// unlike lists the hosts at which other domains are evacuated than these.
func (f *simulatedFleet) hostsWithOtherEvacuations(domains ...string) []string {
	return slices.DeleteFunc(slices.Clone(f.names), func(name string) bool {
		return slices.Equal(f.discoveries[name].View().Evacuations.Domains, domains)
	})
}

// awaitEvacuated waits until just these domains are evacuated at all hosts and
// returns the time that took, at most limit.
func (f *simulatedFleet) awaitEvacuations(limit time.Duration, domains ...string) time.Duration {
	const step = 5 * time.Millisecond
	began := time.Now()
	for len(f.hostsWithOtherEvacuations(domains...)) > 0 && time.Since(began) < limit {
		time.Sleep(step)
	}
	return time.Since(began)
}

// startEvacuated starts a fleet in which nothing is evacuated.
func startFleet(t *testing.T, f *simulatedFleet) {
	f.store.writeConfig(1, 2)
	for id := range 12 {
		f.store.writeReplica(id, "ready")
	}
	t.Cleanup(f.run())
	NewWithT(t).Expect(f.awaitVersion(1, propagationBound)).To(BeNumerically("<", propagationBound))
	time.Sleep(2 * propagationBound)
}

func (s *simulatedStore) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// TestSpreadOfEvacuations measures, by hosts, how long an order and its withdrawal
// take until they are in force at all hosts, what they cost the store in calls beside
// those of a time in which nothing changes, and the bytes that the busiest host sends.
func TestEvacuationPropagation(t *testing.T) {
	fleets := []fleetLinks{{1, 5}, {8, 52}, {8, 292}}
	if *evacuateLarge {
		fleets = append(fleets, fleetLinks{16, 3004})
	}
	for _, of := range fleets {
		synctest.Test(t, func(t *testing.T) { measureEvacuation(t, of) })
	}
}

func measureEvacuation(t *testing.T, of fleetLinks) {
	g := NewWithT(t)
	f := newSimulatedFleet(of.fast, of.slow)
	startFleet(t, f)
	calls := f.store.callCount()
	time.Sleep(2 * evacuationBound)
	idle := f.store.callCount() - calls
	received, sent := f.transferredBytes()
	calls = f.store.callCount()
	f.store.evacuate("surco")
	ordered := f.awaitEvacuations(evacuationBound, "surco")
	_, bytes := busiestSince(f, received, sent)
	time.Sleep(evacuationBound - ordered)
	f.store.withdraw("surco")
	back := f.awaitEvacuations(evacuationBound)
	time.Sleep(evacuationBound - back)
	extra := f.store.callCount() - calls - idle
	t.Logf("%d hosts: %.2f s to evacuate, %.2f s to take back, %d calls to the store more than the usual %d, %d kB sent by one host",
		of.fast+of.slow, ordered.Seconds(), back.Seconds(), extra, idle, bytes/1000)
	g.Expect(max(ordered, back)).To(BeNumerically("<", propagationBound))
	// Two changes cut two waits for changes short.
	g.Expect(extra).To(BeNumerically("<=", 4))
}

func TestNewHostLearnsEvacuations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newSimulatedFleet(1, 5)
		f.store.evacuate("surco")
		f.store.writeConfig(1, 2)
		f.store.writeReplica(1, "ready")
		t.Cleanup(f.run())
		g.Expect(f.awaitVersion(1, propagationBound)).To(BeNumerically("<", propagationBound))
		g.Expect(f.awaitEvacuations(propagationBound, "surco")).To(BeNumerically("<", propagationBound))
	})
}

func TestEvacuationSurvivesHistoryLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newSimulatedFleet(1, 5)
		startFleet(t, f)
		f.store.update(func(s *simulatedStore) { s.watchesSilent = true })
		f.store.evacuate("surco")
		f.store.evacuate("callao")
		f.store.withdraw("callao")
		time.Sleep(time.Second)
		f.store.update(func(s *simulatedStore) { s.watchesSilent, s.compactedRevision = false, s.revision })
		g.Expect(f.awaitEvacuations(evacuationBound-time.Second, "surco")).To(BeNumerically("<", evacuationBound-time.Second))
		f.store.update(func(s *simulatedStore) { s.watchesSilent = true })
		f.store.withdraw("surco")
		time.Sleep(time.Second)
		f.store.update(func(s *simulatedStore) { s.watchesSilent, s.compactedRevision = false, s.revision })
		g.Expect(f.awaitEvacuations(evacuationBound - time.Second)).To(BeNumerically("<", evacuationBound-time.Second))
	})
}

func TestInvalidEvacuationKeyIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newSimulatedFleet(1, 2)
		startFleet(t, f)
		f.store.evacuate("")
		f.store.evacuate("a b")
		f.store.evacuate("nobody-knows")
		f.store.evacuate("surco")
		g.Expect(f.awaitEvacuations(propagationBound, "nobody-knows", "surco")).To(BeNumerically("<", propagationBound))
	})
}

// TestEvacuationsUnderTrouble plays random schedules: orders and withdrawals, beside
// hosts that are cut off or that the store turns away, a store that forgets its
// history, and new configurations. A host that has had a path to the store, or to a
// fellow that has, for a while must be as the store says.
func TestEvacuationsWithRandomFaults(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runEvacuationFaults(t, seed) })
		})
	}
}

func runEvacuationFaults(t *testing.T, seed uint64) {
	g, rng := NewWithT(t), rand.New(rand.NewPCG(seed, 7))
	f := newSimulatedFleet(2, 10)
	// cut are hosts that reach neither the store nor fellows, away ones that the store
	// turns away.
	cut, away := map[string]bool{}, map[string]bool{}
	f.injectError = func(from, to, _ string) error {
		var err error
		f.store.update(func(*simulatedStore) {
			if cut[from] || cut[to] || to == storeName && away[from] {
				err = errDisconnected
			}
		})
		return err
	}
	startFleet(t, f)
	inForce, version := map[string]bool{}, 1
	for range 25 {
		domain := string(rune('a' + rng.IntN(3)))
		host := f.names[rng.IntN(len(f.names))]
		switch rng.IntN(6) {
		case 0, 1:
			inForce[domain] = true
			f.store.evacuate(domain)
		case 2:
			delete(inForce, domain)
			f.store.withdraw(domain)
		case 3:
			f.store.update(func(*simulatedStore) { cut[host] = !cut[host] })
		case 4:
			f.store.update(func(s *simulatedStore) { away[host] = !away[host]; s.compactedRevision = s.revision })
		case 5:
			version++
			f.store.writeConfig(version, 2+version)
		}
		time.Sleep(time.Duration(rng.IntN(700)) * time.Millisecond)
		if rng.IntN(4) != 0 {
			continue
		}
		// The last trouble may have come within the time that is allowed.
		time.Sleep(evacuationBound)
		want := slices.Sorted(maps.Keys(inForce))
		wrong := slices.DeleteFunc(f.hostsWithOtherEvacuations(want...), func(name string) bool { return cut[name] })
		g.Expect(wrong).To(BeEmpty(), "want %v in force", want)
	}
}
