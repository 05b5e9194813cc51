package discovery

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wheatseam/wheatseam/core/catalog"
)

// View is what a daemon knows of the store: immutable, replaced as a whole.
type View struct {
	// Config is nil until the first configuration was read.
	Config *catalog.Config
	// Replicas are by id; nil until they were read.
	Replicas map[string]catalog.Replica
	// AsOf is when the store was read for replicas and configuration, whichever
	// was earlier.
	AsOf time.Time
	// Source is "store" or the host that passed the last news on.
	Source string

	// replicasAsOf is when the replicas were read, configAsOf up to when the store
	// had no newer configuration.
	replicasAsOf, configAsOf time.Time
	// raw is the configuration as the store holds it, and revision its own.
	raw      []byte
	revision uint64
	// hash is that of the replicas.
	hash uint64
}

// Ready says whether requests can be decided on.
func (v *View) Ready() bool { return v.Config != nil && v.Replicas != nil }

// hashOf is the same for equal replicas.
func hashOf(replicas map[string]catalog.Replica) uint64 {
	d := xxhash.New()
	for _, id := range slices.Sorted(maps.Keys(replicas)) {
		r := replicas[id]
		draining := byte(0)
		if r.Draining {
			draining = 1
		}
		// Writing to a digest never fails.
		_, _ = d.WriteString(id + "\x00" + r.Service + "\x00" + r.Address + "\x00" + r.FailureDomain + "\x00")
		_, _ = d.Write([]byte{draining, byte(r.Concurrency), byte(r.Concurrency >> 8)})
	}
	return d.Sum64()
}

// sorted returns the replicas by id.
func sorted(replicas map[string]catalog.Replica) []catalog.Replica {
	return slices.SortedFunc(maps.Values(replicas), func(a, b catalog.Replica) int { return cmp.Compare(a.ID, b.ID) })
}

// change is the step from one set of replicas to the next.
type change struct {
	from, to uint64
	// ids names the replicas that are new, changed or gone.
	ids []string
}

// maxChanges bounds the changes that are remembered: some minutes of a large
// deployment's restarts.
const maxChanges = 64

// changes remembers the last steps, oldest first.
type changes []change

// add notes a step.
func (c changes) add(old, next *View) changes {
	step := change{from: old.hash, to: next.hash}
	for id, r := range next.Replicas {
		if before, ok := old.Replicas[id]; !ok || before != r {
			step.ids = append(step.ids, id)
		}
	}
	for id := range old.Replicas {
		if _, ok := next.Replicas[id]; !ok {
			step.ids = append(step.ids, id)
		}
	}
	if len(c) >= maxChanges {
		c = slices.Delete(c, 0, 1)
	}
	return append(c, step)
}

// since returns the replicas that may differ from those of a hash, and false
// when that is not remembered.
func (c changes) since(hash uint64) (ids []string, known bool) {
	for i := len(c) - 1; i >= 0; i-- {
		ids = append(ids, c[i].ids...)
		if c[i].from == hash {
			slices.Sort(ids)
			return slices.Compact(ids), true
		}
	}
	return nil, false
}
