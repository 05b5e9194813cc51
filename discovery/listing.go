package discovery

import (
	"time"

	"github.com/wheatseam/wheatseam/core/catalog"
	"github.com/wheatseam/wheatseam/platform"
)

// listing maps the entries under the store's replica prefix to replicas, so that changes
// of entries can be applied. It does no I/O and is not safe for concurrent use.
type listing struct {
	// checked are the store's revisions up to which the changes are included.
	checked checkedRevisions
	readAt  time.Time
	entries map[string]listedEntry
	// faults describes the faults of entries that are not valid replicas, by key.
	faults map[string]string
	// listedAt is when the entries were last listed, or received from a peer.
	listedAt time.Time
}

// listedEntry is one entry of the store.
type listedEntry struct {
	// replica is nil for an entry that is not a valid replica.
	replica *catalog.Replica
	// revision is that of the entry's last change; 0 if it is not known.
	revision uint64
}

const (
	// maxListingAge is the age at which the store may no longer have the changes since a
	// listing was read.
	maxListingAge = 15 * time.Second
	// relistInterval is the interval between two full lists of a host that reads the store.
	// They repair a view from which the store withheld a change.
	relistInterval = time.Minute
)

func newListing() *listing {
	return &listing{entries: map[string]listedEntry{}, faults: map[string]string{}}
}

// listingOf returns the listing of replicas that a peer sent, which include all changes up
// to a revision of the store.
func listingOf(replicas *catalog.ReplicaSet, revision uint64, asOf time.Time) *listing {
	l := newListing()
	l.checked, l.readAt, l.listedAt = checkedRevisions{revision}, asOf, asOf
	for r := range replicas.All() {
		l.entries[platform.ReplicaKey(r.ID)] = listedEntry{replica: r}
	}
	return l
}

// listingChanges is the net effect of changed entries: the replicas that were written, by
// ID, and the IDs of those that are gone.
type listingChanges struct {
	written map[string]*catalog.Replica
	gone    map[string]bool
}

// apply records entries that were listed, written or removed, in this order, and returns
// their net effect. Reports that are not newer than an entry are ignored.
func (l *listing) apply(items []platform.Item) listingChanges {
	c := listingChanges{written: map[string]*catalog.Replica{}, gone: map[string]bool{}}
	for _, item := range items {
		old, known := l.entries[item.Key]
		if known && item.Revision <= old.revision {
			continue
		}
		if old.replica != nil {
			delete(c.written, old.replica.ID)
			c.gone[old.replica.ID] = true
		}
		delete(l.faults, item.Key)
		if item.Removed {
			delete(l.entries, item.Key)
			continue
		}
		next := listedEntry{revision: item.Revision}
		if r, err := platform.DecodeReplica(item); err != nil {
			l.faults[item.Key] = err.Error()
		} else {
			next.replica = &r
			delete(c.gone, r.ID)
			c.written[r.ID] = &r
		}
		l.entries[item.Key] = next
	}
	return c
}

// usable reports whether it suffices to read the changes since the listing was read.
func (l *listing) usable(now time.Time) bool {
	return now.Sub(l.readAt) < maxListingAge && now.Sub(l.listedAt) < relistInterval
}

// replicas returns copies of all valid replicas.
func (l *listing) replicas() []catalog.Replica {
	out := make([]catalog.Replica, 0, len(l.entries))
	for _, e := range l.entries {
		if e.replica != nil {
			out = append(out, *e.replica)
		}
	}
	return out
}
