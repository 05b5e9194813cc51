package discovery

import (
	"time"

	"github.com/wheatseam/wheatseam/core/catalog"
)

// View is what a daemon knows of the store. It is immutable and replaced as a whole.
type View struct {
	// Config is nil until the first configuration has been read.
	Config *catalog.Config
	// Replicas is nil until they have been read.
	Replicas *catalog.ReplicaSet
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
	// replicasRevision is a revision of the store up to which the replicas include all
	// changes; 0 if none is known.
	replicasRevision uint64
	// raw is the configuration as stored, and revision its position in the store. Revisions
	// here are positions: see core/position.
	raw      []byte
	revision uint64
}

// version returns the version of the configuration; 0 if there is none.
func (v *View) version() uint64 {
	if v.Config == nil {
		return 0
	}
	return v.Config.Version
}

// Ready reports whether requests can be routed with this view.
func (v *View) Ready() bool { return v.Config != nil && v.Replicas != nil }

// complete reports whether the view is known to have contained everything at some time.
func (v *View) complete() bool { return v.Ready() && !v.AsOf.IsZero() }

// RefusesNewWork reports whether a replica takes no new work, because it is draining or its
// failure domain is evacuated.
func (v *View) RefusesNewWork(r *catalog.Replica) bool {
	return r.Draining || v.Evacuations.Has(r.FailureDomain)
}
