// Package position orders points in the history of the platform's store. The store may come
// back from a copy; a new era then begins, in which revisions that were given out before are
// given out again. A position is an era and a revision, ordered as a pair, in one number: it
// can be compared, sent and stored like a revision.
package position

// revisionBits is the number of bits of the revision: at 1,000 changes a second they last for
// 34 years. The era has the others.
const revisionBits = 40

const (
	// maxRevision and MaxEra are the largest values that a position can hold.
	maxRevision = 1<<revisionBits - 1
	MaxEra      = 1<<(64-revisionBits) - 1
)

// Of returns the position of a revision in an era. A revision that is too large counts as the
// largest one.
func Of(era, revision uint64) uint64 {
	return era<<revisionBits | min(revision, maxRevision)
}

// Era returns the era of a position.
func Era(p uint64) uint64 { return p >> revisionBits }

// Revision returns the revision of a position within its era.
func Revision(p uint64) uint64 { return p & maxRevision }
