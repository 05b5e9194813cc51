package discovery

import "github.com/wheatseam/wheatseam/core/catalog"

// Limits of a replicaHistory. Sets share what they have in common, so that their size grows
// with the changes between them.
const (
	maxHistorySets    = 16
	maxHistoryChanges = 8192
)

// replicaHistory holds the last sets of replicas of this host. A peer whose replicas in a
// bucket equal those of a former set is sent only what changed there since.
type replicaHistory struct {
	// sets are ordered from the oldest to the newest.
	sets []historySet
	// changes is the sum of the changes of all sets.
	changes int
}

type historySet struct {
	replicas *catalog.ReplicaSet
	// changes is the number of changes since the previous set.
	changes int
}

// add adds the newest set.
func (h *replicaHistory) add(replicas *catalog.ReplicaSet) {
	added := historySet{replicas: replicas}
	if n := len(h.sets); n > 0 {
		added.changes = len(h.sets[n-1].replicas.Diff(replicas))
	}
	h.sets, h.changes = append(h.sets, added), h.changes+added.changes
	for len(h.sets) > 1 && (len(h.sets) > maxHistorySets || h.changes > maxHistoryChanges) {
		// The first set is the base of the others; its own changes lead from a set that is
		// no longer kept.
		h.changes -= h.sets[0].changes
		h.sets[0] = historySet{}
		h.sets = h.sets[1:]
	}
}

// find returns the newest set whose replicas in a bucket have the digest that a peer sent,
// or nil.
func (h *replicaHistory) find(index int, peerDigest []uint64) *catalog.ReplicaSet {
	if index >= len(peerDigest) {
		return nil
	}
	for i := len(h.sets) - 1; i >= 0; i-- {
		if h.sets[i].replicas.Digest()[index] == peerDigest[index] {
			return h.sets[i].replicas
		}
	}
	return nil
}
