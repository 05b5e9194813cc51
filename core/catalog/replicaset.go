package catalog

import (
	"cmp"
	"iter"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/wheatseam/wheatseam/core/bucket"
)

// ReplicaSet is an immutable set of replicas with distinct IDs. With returns a changed
// copy that shares all unchanged parts, so that its cost grows with the changes and not
// with the set. The zero value is the empty set.
type ReplicaSet struct {
	// pages holds the replicas by the hash of their ID: the replica is in the slot
	// hash % setSlots of the page given by slot % setPages. Replicas in a slot are sorted
	// by ID.
	pages  [setPages]*setPage
	len    int
	digest bucket.Digest
}

const (
	// setPages is the number of pages, and pageSlots the number of slots of each. setPages
	// equals bucket.Count, so that a bucket of the digest is one page.
	setPages  = bucket.Count
	pageSlots = 16
)

type setPage [pageSlots][]*Replica

// ReplicaChange is the difference between two sets for one ID. Old is nil for an added
// replica, and New for a removed one.
type ReplicaChange struct{ Old, New *Replica }

// ID returns the ID of the replica that changed.
func (c ReplicaChange) ID() string {
	if c.New != nil {
		return c.New.ID
	}
	return c.Old.ID
}

// slotOf returns the page and the slot of an ID.
func slotOf(id string) (page, slot int) {
	h := xxhash.Sum64String(id)
	return int(h % setPages), int(h / setPages % pageSlots)
}

// NewReplicaSet returns the set of the given replicas. Of several with the same ID, the
// last one is in the set.
func NewReplicaSet(replicas []Replica) *ReplicaSet {
	edit := (&ReplicaSet{}).edit()
	for i := range replicas {
		edit.put(&replicas[i])
	}
	return edit.set
}

// Len returns the number of replicas.
func (s *ReplicaSet) Len() int {
	if s == nil {
		return 0
	}
	return s.len
}

// Find returns the replica with an ID, or nil. The replica must not be modified.
func (s *ReplicaSet) Find(id string) *Replica {
	if s == nil {
		return nil
	}
	page, slot := slotOf(id)
	if s.pages[page] == nil {
		return nil
	}
	replicas := s.pages[page][slot]
	if i, found := searchID(replicas, id); found {
		return replicas[i]
	}
	return nil
}

// Get returns a copy of the replica with an ID, or the zero Replica if there is none.
func (s *ReplicaSet) Get(id string) Replica {
	if r := s.Find(id); r != nil {
		return *r
	}
	return Replica{}
}

// Has reports whether the set contains an ID.
func (s *ReplicaSet) Has(id string) bool { return s.Find(id) != nil }

// All iterates over the replicas in an order that depends only on their IDs. They must
// not be modified.
func (s *ReplicaSet) All() iter.Seq[*Replica] {
	return func(yield func(*Replica) bool) {
		for b := range setPages {
			for r := range s.Bucket(b) {
				if !yield(r) {
					return
				}
			}
		}
	}
}

// Bucket iterates over the replicas in one bucket of the digest.
func (s *ReplicaSet) Bucket(index int) iter.Seq[*Replica] {
	return func(yield func(*Replica) bool) {
		for _, slot := range s.page(index) {
			for _, r := range slot {
				if !yield(r) {
					return
				}
			}
		}
	}
}

// Sorted returns copies of the replicas, sorted by ID.
func (s *ReplicaSet) Sorted() []Replica {
	out := make([]Replica, 0, s.Len())
	for r := range s.All() {
		out = append(out, *r)
	}
	slices.SortFunc(out, func(a, b Replica) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// Digest returns a digest that is equal for equal sets.
func (s *ReplicaSet) Digest() *bucket.Digest {
	if s == nil {
		return &bucket.Digest{}
	}
	return &s.digest
}

// With returns the set with replicas put in place of those with the same IDs and with the
// given IDs removed, and the changes that this made, ordered by ID. It returns the set
// itself if nothing changed.
func (s *ReplicaSet) With(put []Replica, removed []string) (*ReplicaSet, []ReplicaChange) {
	edit := s.edit()
	for _, id := range removed {
		edit.remove(id)
	}
	for i := range put {
		edit.put(&put[i])
	}
	changes := edit.changes()
	if len(changes) == 0 && s != nil {
		return s, nil
	}
	return edit.set, changes
}

// Diff returns the changes that lead from s to next, ordered by ID. Its cost grows with the
// slots that differ, since copies share equal ones.
func (s *ReplicaSet) Diff(next *ReplicaSet) []ReplicaChange {
	var changes []ReplicaChange
	for b := range setPages {
		changes = append(changes, s.DiffBucket(next, b)...)
	}
	sortChanges(changes)
	return changes
}

// DiffBucket returns the changes that lead from s to next in one bucket of the digest, in an
// order that depends only on the IDs.
func (s *ReplicaSet) DiffBucket(next *ReplicaSet, index int) []ReplicaChange {
	old, now := s.page(index), next.page(index)
	if old == now {
		return nil
	}
	var changes []ReplicaChange
	for i := range pageSlots {
		if !sameSlot(old[i], now[i]) {
			changes = appendDiff(changes, old[i], now[i])
		}
	}
	return changes
}

// page returns a page, which is empty but not nil if the set has no replicas there.
func (s *ReplicaSet) page(index int) *setPage {
	if s == nil || s.pages[index] == nil {
		return &emptyPage
	}
	return s.pages[index]
}

var emptyPage setPage

// sameSlot reports whether two slots share their replicas.
func sameSlot(a, b []*Replica) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// appendDiff appends the changes between two slots, which are sorted by ID.
func appendDiff(changes []ReplicaChange, old, now []*Replica) []ReplicaChange {
	for len(old) > 0 || len(now) > 0 {
		switch {
		case len(now) == 0 || len(old) > 0 && old[0].ID < now[0].ID:
			changes = append(changes, ReplicaChange{Old: old[0]})
			old = old[1:]
		case len(old) == 0 || now[0].ID < old[0].ID:
			changes = append(changes, ReplicaChange{New: now[0]})
			now = now[1:]
		default:
			if *old[0] != *now[0] {
				changes = append(changes, ReplicaChange{Old: old[0], New: now[0]})
			}
			old, now = old[1:], now[1:]
		}
	}
	return changes
}

func sortChanges(changes []ReplicaChange) {
	slices.SortFunc(changes, func(a, b ReplicaChange) int { return strings.Compare(a.ID(), b.ID()) })
}

func searchID(replicas []*Replica, id string) (int, bool) {
	return slices.BinarySearchFunc(replicas, id, func(r *Replica, id string) int { return cmp.Compare(r.ID, id) })
}

// setEdit is a set that is being changed. It copies each page and slot before the first
// change to it.
type setEdit struct {
	set *ReplicaSet
	// owned are the pages that set does not share with the original, with a bit for each
	// slot that it does not share.
	owned [setPages]uint16
	// before holds, for each ID that was put or removed, the replica in the original set.
	before map[string]*Replica
}

func (s *ReplicaSet) edit() *setEdit {
	next := &ReplicaSet{}
	if s != nil {
		*next = *s
	}
	return &setEdit{set: next, before: map[string]*Replica{}}
}

// slot returns a slot that may be modified.
func (e *setEdit) slot(page, slot int) *[]*Replica {
	p := e.set.pages[page]
	if e.owned[page] == 0 {
		copied := &setPage{}
		if p != nil {
			*copied = *p
		}
		e.set.pages[page], p = copied, copied
	}
	if bit := uint16(1) << slot; e.owned[page]&bit == 0 {
		e.owned[page] |= bit
		p[slot] = slices.Clone(p[slot])
	}
	return &p[slot]
}

func (e *setEdit) remember(id string, old *Replica) {
	if _, known := e.before[id]; !known {
		e.before[id] = old
	}
}

// put adds a copy of a replica, unless the set contains an equal one.
func (e *setEdit) put(r *Replica) {
	old := e.set.Find(r.ID)
	if old != nil && *old == *r {
		return
	}
	e.remember(r.ID, old)
	added := *r
	page, index := slotOf(r.ID)
	slot := e.slot(page, index)
	i, found := searchID(*slot, r.ID)
	if found {
		(*slot)[i] = &added
		e.set.digest[page] -= hashOf(old)
	} else {
		*slot = slices.Insert(*slot, i, &added)
		e.set.len++
	}
	e.set.digest[page] += hashOf(&added)
}

func (e *setEdit) remove(id string) {
	old := e.set.Find(id)
	if old == nil {
		return
	}
	e.remember(id, old)
	page, index := slotOf(id)
	slot := e.slot(page, index)
	i, _ := searchID(*slot, id)
	*slot = slices.Delete(*slot, i, i+1)
	e.set.len--
	e.set.digest[page] -= hashOf(old)
}

// changes returns the differences from the original set, ordered by ID.
func (e *setEdit) changes() []ReplicaChange {
	var changes []ReplicaChange
	for id, old := range e.before {
		now := e.set.Find(id)
		if old == nil && now == nil || old != nil && now != nil && *old == *now {
			continue
		}
		changes = append(changes, ReplicaChange{Old: old, New: now})
	}
	sortChanges(changes)
	return changes
}

// hashOf returns the hash of all fields of a replica.
func hashOf(r *Replica) uint64 {
	var state byte
	if r.Draining {
		state |= 1
	}
	if r.Cold {
		state |= 2
	}
	var d xxhash.Digest
	d.Reset()
	// Writing to an xxhash.Digest never fails.
	for _, field := range [...]string{r.ID, r.Service, r.Address, r.FailureDomain} {
		_, _ = d.WriteString(field)
		_, _ = d.Write([]byte{0})
	}
	if r.Version != "" {
		// Hosts that do not know versions have the same hash for replicas without one.
		_, _ = d.WriteString(r.Version)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write([]byte{state, byte(r.Concurrency), byte(r.Concurrency >> 8)})
	return d.Sum64()
}
