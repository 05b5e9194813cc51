package load

import (
	"encoding/binary"
	"errors"
	"time"
)

// A digest is a row of entries of fixed size, big-endian:
//
//	4 bytes  low half of the xxhash of the upstream's name
//	2 bytes  as-of in units of 100 ms, the low 16 bits of the Unix time
//	2 bytes  calls running and queued, cut at 32767; the top bit means leaving
//
// The as-of is the upstream's own, so that a report keeps its identity and its
// order however often it is passed on.
const (
	entryBytes  = 8
	asOfUnit    = 100 * time.Millisecond
	leavingBit  = 1 << 15
	maxLoad     = leavingBit - 1
	asOfModulus = 1 << 16
)

// errDigest is a digest of no whole number of entries.
var errDigest = errors.New("load: digest is cut")

// tick returns the as-of unit that t falls into.
func tick(t time.Time) int64 { return t.UnixMilli() / asOfUnit.Milliseconds() }

// truncate cuts t to the as-of unit, as passing it on would.
func truncate(t time.Time) time.Time { return time.UnixMilli(tick(t) * asOfUnit.Milliseconds()) }

// appendEntry appends the entry of r, whose upstream has the given hash.
func appendEntry(to []byte, hash uint32, r *Report) []byte {
	load := uint16(min(max(r.Running+r.Queued, 0), maxLoad))
	if r.Leaving {
		load |= leavingBit
	}
	to = binary.BigEndian.AppendUint32(to, hash)
	to = binary.BigEndian.AppendUint16(to, uint16(tick(r.AsOf)%asOfModulus))
	return binary.BigEndian.AppendUint16(to, load)
}

// readEntry reads the first entry of from. Of the moments that the cut as-of
// may mean, the one nearest to now is taken.
func readEntry(now time.Time, from []byte) (hash uint32, r Report) {
	hash = binary.BigEndian.Uint32(from)
	near := tick(now)
	ahead := int64(int16(binary.BigEndian.Uint16(from[4:]) - uint16(near%asOfModulus)))
	load := binary.BigEndian.Uint16(from[6:])
	r.AsOf = time.UnixMilli((near + ahead) * asOfUnit.Milliseconds())
	r.Running = int(load & maxLoad)
	r.Leaving = load&leavingBit != 0
	return hash, r
}
