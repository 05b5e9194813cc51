package discovery

import (
	"maps"
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
	// checkedAt is when the newest revision of checked was added, or the one that it replaced.
	checkedAt time.Time
	entries   map[string]listedEntry
	// faults describes the faults of entries that are not valid replicas, by key.
	faults map[string]string
	// removed has the store's revision at which entries were last removed, by key, as long as
	// changes from before may be read again.
	removed map[string]uint64
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
	return &listing{entries: map[string]listedEntry{}, faults: map[string]string{}, removed: map[string]uint64{}}
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
	// departed are the versions of which a replica was removed or started anew, also of
	// replicas that were written and removed within the changes.
	departed map[serviceVersion]bool
	// rewritten counts the entries that were written again with the same content.
	rewritten int
}

// mostlyRewritten reports whether nearly all of many writes were heartbeats, which repeat
// the whole content of an entry.
func (c *listingChanges) mostlyRewritten() bool {
	return c.rewritten > largeChange && c.rewritten > 2*len(c.written)
}

// apply records entries that were listed, written or removed, in this order, and returns
// their net effect. Reports that are not newer than an entry are ignored.
func (l *listing) apply(items []platform.Item) listingChanges {
	c := listingChanges{written: map[string]*catalog.Replica{}, gone: map[string]bool{}, departed: map[serviceVersion]bool{}}
	for _, item := range items {
		old, known := l.entries[item.Key]
		if known && item.Revision <= old.revision || !known && item.Revision <= l.removed[item.Key] {
			continue
		}
		delete(l.faults, item.Key)
		next := listedEntry{revision: item.Revision}
		if !item.Removed {
			r, err := platform.DecodeReplica(item)
			switch {
			case err != nil:
				l.faults[item.Key] = err.Error()
			case old.replica != nil && *old.replica == r:
				next.replica = old.replica
				c.rewritten++
			default:
				next.replica = &r
			}
		}
		if next.replica != old.replica {
			c.replace(old.replica, next.replica)
		}
		if item.Removed {
			delete(l.entries, item.Key)
			l.removed[item.Key] = item.Revision
		} else {
			l.entries[item.Key] = next
		}
	}
	return c
}

// replace records that an entry names another replica than before; nil stands for none.
func (c *listingChanges) replace(old, next *catalog.Replica) {
	if old != nil && (next == nil || next.ID != old.ID || versionOf(next) != versionOf(old)) {
		c.departed[versionOf(old)] = true
	}
	if old != nil {
		delete(c.written, old.ID)
		c.gone[old.ID] = true
	}
	if next != nil {
		delete(c.gone, next.ID)
		c.written[next.ID] = next
	}
}

// noteRead records that the changes up to a revision have been read. Reads less than interval
// apart count as one, so that the next one covers as much time again however often the store is
// read.
func (l *listing) noteRead(revision uint64, started time.Time, interval time.Duration) {
	l.readAt = started
	if len(l.checked) > 1 && started.Sub(l.checkedAt) < interval {
		l.checked = l.checked[:len(l.checked)-1].add(revision)
		return
	}
	l.checked, l.checkedAt = l.checked.add(revision), started
}

// forgetRemoved forgets removals from before the changes that are read next.
func (l *listing) forgetRemoved() {
	maps.DeleteFunc(l.removed, func(_ string, revision uint64) bool { return revision <= l.checked.oldest() })
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
