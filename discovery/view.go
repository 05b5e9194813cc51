package discovery

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wheatseam/wheatseam/core/bucket"
	"github.com/wheatseam/wheatseam/core/catalog"
)

// View is what a daemon knows of the store. It is immutable and replaced as a whole.
type View struct {
	// Config is nil until the first configuration has been read.
	Config *catalog.Config
	// Replicas are by ID; nil until they have been read.
	Replicas map[string]catalog.Replica
	// Evacuations are the operator's orders to give failure domains no new work.
	Evacuations catalog.Evacuations
	// AsOf is when the store was read for the replicas or for the configuration, whichever
	// is earlier.
	AsOf time.Time
	// Source is "store" or the name of the host that sent the last changes.
	Source string

	// replicasAsOf is when the replicas were read; configAsOf is the latest time at which
	// the store was known to have no newer configuration.
	replicasAsOf, configAsOf time.Time
	// raw is the configuration as stored, and revision its revision in the store.
	raw      []byte
	revision uint64
	// digest is the digest of the replicas.
	digest bucket.Digest
}

// Ready reports whether requests can be routed with this view.
func (v *View) Ready() bool { return v.Config != nil && v.Replicas != nil }

// RefusesNewWork reports whether a replica takes no new work, because it is draining or its
// failure domain is evacuated.
func (v *View) RefusesNewWork(r catalog.Replica) bool {
	return r.Draining || v.Evacuations.Has(r.FailureDomain)
}

// digestOf returns a digest that is equal for equal replicas.
func digestOf(replicas map[string]catalog.Replica) bucket.Digest {
	var digest bucket.Digest
	d := xxhash.New()
	for id, r := range replicas {
		var state byte
		if r.Draining {
			state |= 1
		}
		if r.Cold {
			state |= 2
		}
		d.Reset()
		// Writing to an xxhash.Digest never fails.
		_, _ = d.WriteString(id + "\x00" + r.Service + "\x00" + r.Address + "\x00" + r.FailureDomain + "\x00")
		_, _ = d.Write([]byte{state, byte(r.Concurrency), byte(r.Concurrency >> 8)})
		digest.Add(id, d.Sum64())
	}
	return digest
}

// sortedReplicas returns the replicas sorted by ID.
func sortedReplicas(replicas map[string]catalog.Replica) []catalog.Replica {
	return slices.SortedFunc(maps.Values(replicas), func(a, b catalog.Replica) int { return cmp.Compare(a.ID, b.ID) })
}
