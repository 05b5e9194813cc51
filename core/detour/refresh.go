package detour

import (
	"maps"
	"slices"
	"time"
)

// Due is what a host is to try in the background.
type Due struct {
	// Probes are addresses to connect to directly.
	Probes []string
	// Ask is an address to connect to through peers; "" for none.
	Ask string
}

// Refresh drops old failures, updates whether this host is stranded, and returns what is to
// be tried now. It is to be called every few hundred milliseconds. listed is the number of
// addresses of replicas, isListed tells whether an address is one, and sample returns some
// of them at random.
func (t *Table) Refresh(now time.Time, listed int, isListed func(addr string) bool, sample func(n int) []string) Due {
	t.listed = max(1, listed)
	var due Due
	var failing []string
	for _, addr := range slices.Sorted(maps.Keys(t.addresses)) {
		a := t.addresses[addr]
		if !isListed(addr) || !a.detour && now.Sub(a.failedAt) > retention && now.Sub(a.returnedAt) > flapPeriod {
			delete(t.addresses, addr)
			continue
		}
		if a.failedAt.After(t.directAt) {
			failing = append(failing, addr)
		}
		if a.detour && !now.Before(a.nextProbe) && len(due.Probes) < probesPerRefresh {
			a.nextProbe = now.Add(t.jitter(a.interval))
			due.Probes = append(due.Probes, addr)
		}
	}
	t.updateCutOff(now)
	// A host that has reached nothing lately and fails learns soon whether it reaches others. One
	// that is cut off also does if the replicas that it failed at are no longer listed.
	if (len(failing) >= cutOffEvidence || t.CutOff()) && len(due.Probes) < probesPerRefresh {
		due.Probes = append(due.Probes, sample(probesPerRefresh-len(due.Probes))...)
	}
	if len(failing) < min(cutOffFailures, t.listed) {
		t.strandedAt = time.Time{} // the replicas that failed are no longer listed
		return due
	}
	// Ask brings the list of peers up to date.
	if !t.Stranded() && !t.PeersExpired(now) && t.failedPeers() >= min(strandedPeers, len(t.order)) {
		t.strandedAt = now
	}
	if t.Stranded() || len(t.Hints(now)) == 0 {
		due.Ask = failing[t.rng.IntN(len(failing))]
	}
	return due
}

// failedPeers returns the number of peers that were asked in vain after the last connection
// of any kind.
func (t *Table) failedPeers() int {
	n := 0
	for _, p := range t.peers {
		if p.failedAt.After(t.reachedAt) {
			n++
		}
	}
	return n
}
