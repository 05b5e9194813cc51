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

// View is what a daemon knows of the store: immutable, replaced as a whole.
type View struct {
	// Config is nil until the first configuration was read.
	Config *catalog.Config
	// Replicas are by id; nil until they were read.
	Replicas map[string]catalog.Replica
	// Evacuations are the operator's orders to give failure domains no new work.
	Evacuations catalog.Evacuations
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
	// digest is that of the replicas.
	digest bucket.Digest
}

// Ready says whether requests can be decided on.
func (v *View) Ready() bool { return v.Config != nil && v.Replicas != nil }

// Closed says whether a replica takes no new work: it drains, or its failure domain is
// evacuated.
func (v *View) RefusesNewWork(r catalog.Replica) bool {
	return r.Draining || v.Evacuations.Has(r.FailureDomain)
}

// digestOf is the same for equal replicas.
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
		// Writing to a digest never fails.
		_, _ = d.WriteString(id + "\x00" + r.Service + "\x00" + r.Address + "\x00" + r.FailureDomain + "\x00")
		_, _ = d.Write([]byte{state, byte(r.Concurrency), byte(r.Concurrency >> 8)})
		digest.Add(id, d.Sum64())
	}
	return digest
}

// sorted returns the replicas by id.
func sorted(replicas map[string]catalog.Replica) []catalog.Replica {
	return slices.SortedFunc(maps.Values(replicas), func(a, b catalog.Replica) int { return cmp.Compare(a.ID, b.ID) })
}
