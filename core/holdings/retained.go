package holdings

import (
	"cmp"
	"maps"
	"slices"
)

// retainedCopy is a body that only a retry would need.
type retainedCopy struct {
	customer string
	bytes    int64
}

// retainedCopies has the retained copies by the caller's ID.
type retainedCopies map[uint64]retainedCopy

// Retain notes that only a retry would need a body that was granted. id is the caller's, and
// unique.
func (a *Account) Retain(id uint64, customer string, bytes int64) {
	a.retained[id] = retainedCopy{customer: customer, bytes: bytes}
}

// Need ends what Retain noted: the body is needed again, or is released.
func (a *Account) Need(id uint64) { delete(a.retained, id) }

// giveUp removes and returns copies whose release makes enough room for a body of the customer:
// those of the customers that hold most first, and of these the largest. It returns none if all of
// them don't suffice.
func (r retainedCopies) giveUp(left room, customer string, held map[string]int64) (ids []uint64) {
	all := slices.Collect(maps.Keys(r))
	slices.SortFunc(all, func(x, y uint64) int {
		p, q := r[x], r[y]
		return cmp.Or(cmp.Compare(held[q.customer], held[p.customer]), cmp.Compare(q.bytes, p.bytes), cmp.Compare(x, y))
	})
	for i := 0; !left.enough(); i++ {
		if i == len(all) {
			return nil
		}
		c := r[all[i]]
		left.free += c.bytes
		if c.customer == customer {
			left.held -= c.bytes
		}
		ids = append(ids, all[i])
	}
	for _, id := range ids {
		delete(r, id)
	}
	return ids
}
