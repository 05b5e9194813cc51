package discovery_test

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/position"
	"github.com/wheatseam/wheatseam/platform"
)

var evacuateLarge = flag.Bool("evacuate.large", false, "measure a fleet of 3,020 hosts as well")

// evacuationBound is the time within which an order must be active on all hosts.
const evacuationBound = 5 * time.Second

func (s *simulatedStore) evacuate(domain string) { s.put(platform.EvacuationPrefix+domain, "{}") }
func (s *simulatedStore) withdraw(domain string) { s.remove(platform.EvacuationPrefix + domain) }

// hostsWithOtherEvacuations lists the hosts whose evacuated domains differ from the given
// ones.
func (f *simulatedFleet) hostsWithOtherEvacuations(domains ...string) []string {
	return slices.DeleteFunc(slices.Clone(f.names), func(name string) bool {
		return slices.Equal(f.discoveries[name].View().Evacuations.Domains, domains)
	})
}

// awaitEvacuations waits until exactly these domains are evacuated on all hosts and
// returns how long that took, at most limit.
func (f *simulatedFleet) awaitEvacuations(limit time.Duration, domains ...string) time.Duration {
	const step = 5 * time.Millisecond
	started := time.Now()
	for len(f.hostsWithOtherEvacuations(domains...)) > 0 && time.Since(started) < limit {
		time.Sleep(step)
	}
	return time.Since(started)
}

// startFleet starts a fleet without evacuations and waits until it is idle.
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

// TestEvacuationPropagation measures, for several fleet sizes, how long an order and its
// withdrawal take until they are active on all hosts, how many calls to the store they
// cost beyond those of an idle period, and the bytes that the busiest host sends.
func TestEvacuationPropagation(t *testing.T) {
	fleets := []fleetLinks{{1, 5}, {8, 52}, {8, 292}}
	if *evacuateLarge {
		fleets = append(fleets, fleetLinks{16, 3004})
	}
	for _, links := range fleets {
		synctest.Test(t, func(t *testing.T) { measureEvacuation(t, links) })
	}
}

func measureEvacuation(t *testing.T, links fleetLinks) {
	g := NewWithT(t)
	f := newSimulatedFleet(links.fast, links.slow)
	startFleet(t, f)
	calls := f.store.callCount()
	time.Sleep(2 * evacuationBound)
	idle := f.store.callCount() - calls
	received, sent := f.transferredBytes()
	calls = f.store.callCount()
	f.store.evacuate("surco")
	evacuated := f.awaitEvacuations(evacuationBound, "surco")
	_, bytes := busiestSince(f, received, sent)
	time.Sleep(evacuationBound - evacuated)
	f.store.withdraw("surco")
	withdrawn := f.awaitEvacuations(evacuationBound)
	time.Sleep(evacuationBound - withdrawn)
	extra := f.store.callCount() - calls - idle
	t.Logf("%d hosts: %.2f s to evacuate, %.2f s to withdraw, %d calls to the store beyond the %d of an idle period, %d kB sent by the busiest host",
		links.fast+links.slow, evacuated.Seconds(), withdrawn.Seconds(), extra, idle, bytes/1000)
	g.Expect(max(evacuated, withdrawn)).To(BeNumerically("<", propagationBound))
	// Each of the two changes ends one watch early.
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

// restoreWithout brings the store back from a copy that lacks the order for a domain.
func (s *simulatedStore) restoreWithout(domain string) {
	s.update(func(s *simulatedStore) {
		delete(s.items, platform.EvacuationPrefix+domain)
		s.revision = position.Of(position.Era(s.revision)+1, 1)
		s.compactedRevision = s.revision
	})
}

// Guards against a host that is cut off while the store comes back from a copy, hears of it
// seconds later, and keeps an evacuation in force longer than the other hosts do.
func TestHostThatHearsLateOfARestore(t *testing.T) {
	const late = "host-004"
	// play cuts one host off, restores the store without an order, and reconnects the host after
	// 3 s; meanwhile is called after 1 s.
	play := func(t *testing.T, meanwhile func(*simulatedStore)) (*WithT, *simulatedFleet) {
		g, f := NewWithT(t), newSimulatedFleet(2, 4)
		var cut atomic.Bool
		f.injectError = func(from, to, _ string) error {
			if cut.Load() && (from == late || to == late) {
				return errDisconnected
			}
			return nil
		}
		startFleet(t, f)
		f.store.evacuate("surco")
		g.Expect(f.awaitEvacuations(evacuationBound, "surco")).To(BeNumerically("<", evacuationBound))
		cut.Store(true)
		f.store.restoreWithout("surco")
		time.Sleep(time.Second)
		meanwhile(f.store)
		time.Sleep(2 * time.Second)
		cut.Store(false)
		return g, f
	}
	evacuated := func(f *simulatedFleet) bool { return f.discoveries[late].View().Evacuations.Has("surco") }

	t.Run("drops what was withdrawn meanwhile", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			g, f := play(t, func(s *simulatedStore) { s.withdraw("surco") })
			time.Sleep(propagationBound)
			g.Expect(evacuated(f)).To(BeFalse())
		})
	})
	t.Run("keeps what the store lacks no longer than the others", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			g, f := play(t, func(*simulatedStore) {})
			for f.discoveries["host-000"].View().Evacuations.Has("surco") {
				g.Expect(evacuated(f)).To(BeTrue())
				time.Sleep(100 * time.Millisecond)
			}
			time.Sleep(500 * time.Millisecond)
			g.Expect(f.hostsWithOtherEvacuations()).To(BeEmpty())
		})
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

// TestEvacuationsWithRandomFaults runs random schedules of orders and withdrawals, mixed
// with hosts that are disconnected or that the store rejects, a store that drops its
// history, and new configurations. A host that has been able to reach the store, or a peer
// that can, for evacuationBound must have the same evacuations as the store.
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
	// disconnected hosts reach neither the store nor their peers; the store rejects only
	// the hosts in rejected.
	disconnected, rejected := map[string]bool{}, map[string]bool{}
	f.injectError = func(from, to, _ string) error {
		var err error
		f.store.update(func(*simulatedStore) {
			if disconnected[from] || disconnected[to] || to == storeName && rejected[from] {
				err = errDisconnected
			}
		})
		return err
	}
	startFleet(t, f)
	evacuated, version := map[string]bool{}, 1
	for range 25 {
		domain := string(rune('a' + rng.IntN(3)))
		host := f.names[rng.IntN(len(f.names))]
		switch rng.IntN(6) {
		case 0, 1:
			evacuated[domain] = true
			f.store.evacuate(domain)
		case 2:
			delete(evacuated, domain)
			f.store.withdraw(domain)
		case 3:
			f.store.update(func(*simulatedStore) { disconnected[host] = !disconnected[host] })
		case 4:
			f.store.update(func(s *simulatedStore) { rejected[host] = !rejected[host]; s.compactedRevision = s.revision })
		case 5:
			version++
			f.store.writeConfig(version, 2+version)
		}
		time.Sleep(time.Duration(rng.IntN(700)) * time.Millisecond)
		if rng.IntN(4) != 0 {
			continue
		}
		// The last fault may be more recent than evacuationBound.
		time.Sleep(evacuationBound)
		want := slices.Sorted(maps.Keys(evacuated))
		wrong := slices.DeleteFunc(f.hostsWithOtherEvacuations(want...), func(name string) bool { return disconnected[name] })
		g.Expect(wrong).To(BeEmpty(), "want %v evacuated", want)
	}
}

// Guards against requests at replicas of evacuated failure domains by a host that has just
// started: it knew configuration and replicas before it had read the evacuations.
func TestNoHostServesBeforeItKnowsTheEvacuations(t *testing.T) {
	for _, replicas := range []int{1, 300} { // each host lists the replicas, or one does for all
		t.Run(fmt.Sprint(replicas, " replicas"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { startWithEvacuations(t, replicas) })
		})
	}
}

func startWithEvacuations(t *testing.T, replicas int) {
	g := NewWithT(t)
	f := newSimulatedFleet(1, 5)
	f.store.evacuate("surco")
	f.store.writeConfig(1, 2)
	for id := range replicas {
		f.store.writeReplica(id, "ready")
	}
	t.Cleanup(f.run())
	const step = time.Millisecond
	ready := map[string]bool{}
	for began := time.Now(); time.Since(began) < propagationBound; time.Sleep(step) {
		for _, name := range f.names {
			if v := f.discoveries[name].View(); v.Ready() {
				ready[name] = true
				g.Expect(v.Evacuations.Domains).To(Equal([]string{"surco"}), "%s after %s", name, time.Since(began))
			}
		}
	}
	t.Logf("%d calls to the store", f.store.callCount())
	g.Expect(ready).To(HaveLen(len(f.names)))
}
