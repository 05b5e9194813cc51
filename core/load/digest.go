package load

import (
	"encoding/binary"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"
)

// A digest is the 4-byte hash of the sorted list of upstreams, followed by entries of 4
// bytes each, big-endian:
//
//	2 bytes  index of the upstream in the list
//	1 byte   AsOf in units of 100 ms, the low 8 bits of the Unix time
//	1 byte   number of running and queued calls, see encodeLoad; the top bit means leaving
//
// Daemons with different lists cannot read each other's digests. This happens while a
// bundle with other upstreams is rolled out, until it is active at both daemons. AsOf
// is set by the upstream, so that a report keeps its identity and its order however
// often it is forwarded.
const (
	listHashBytes  = 4
	entryBytes     = 4
	asOfResolution = 100 * time.Millisecond
	asOfModulus    = 1 << 8
	leavingBit     = 1 << 7
	// maxUpstreams is the number of upstreams that a 2-byte index can address.
	maxUpstreams = 1 << 16
	// maxForwardAge bounds the age of the reports in digests. Together with
	// maxClockSkew and an allowance for transit time it must stay below asOfModulus
	// units, or AsOf becomes ambiguous.
	maxForwardAge = 23 * time.Second
)

// Loads up to maxExactLoad are encoded exactly, higher ones in steps of loadStep.
const (
	maxExactLoad         = 64
	loadStep             = 16
	maxEncodedLoad       = leavingBit - 1
	maxRepresentableLoad = maxExactLoad + (maxEncodedLoad-maxExactLoad)*loadStep
)

// errDigestLength is returned for a digest that does not hold a whole number of
// entries.
var errDigestLength = errors.New("load: digest length is not a whole number of entries")

// listHash returns the hash of a sorted list of names.
func listHash(names []string) uint32 {
	var d xxhash.Digest
	d.Reset()
	for _, n := range names {
		_, _ = d.WriteString(n)
		_, _ = d.Write([]byte{0})
	}
	return uint32(d.Sum64())
}

// asOfTick returns the time t in units of asOfResolution, rounded down.
func asOfTick(t time.Time) int64 { return t.UnixMilli() / asOfResolution.Milliseconds() }

// truncateAsOf rounds t down to asOfResolution, as encoding it in a digest does.
func truncateAsOf(t time.Time) time.Time {
	return time.UnixMilli(asOfTick(t) * asOfResolution.Milliseconds())
}

// encodeLoad encodes a number of calls in 7 bits, rounded down.
func encodeLoad(n int) byte {
	if n <= maxExactLoad {
		return byte(max(n, 0))
	}
	return byte(maxExactLoad + (min(n, maxRepresentableLoad)-maxExactLoad)/loadStep)
}

// decodeLoad returns the number of calls that encodeLoad encoded.
func decodeLoad(b byte) int {
	n := int(b)
	if n <= maxExactLoad {
		return n
	}
	return maxExactLoad + (n-maxExactLoad)*loadStep
}

// appendEntry appends the entry of r, whose upstream has the given index in the list.
func appendEntry(to []byte, index uint16, r *Report) []byte {
	load := encodeLoad(r.Running + r.Queued)
	if r.Leaving {
		load |= leavingBit
	}
	to = binary.BigEndian.AppendUint16(to, index)
	return append(to, byte(asOfTick(r.AsOf)%asOfModulus), load)
}

// readEntry reads the first entry of from. The encoded AsOf is ambiguous by multiples
// of asOfModulus units. The latest time that is at most maxClockSkew after now is
// taken.
func readEntry(now time.Time, from []byte) (index uint16, r Report) {
	index = binary.BigEndian.Uint16(from)
	latest := asOfTick(now.Add(maxClockSkew))
	ticksBack := int64(byte(latest) - from[2])
	r.AsOf = time.UnixMilli((latest - ticksBack) * asOfResolution.Milliseconds())
	r.Running = decodeLoad(from[3] &^ leavingBit)
	r.Leaving = from[3]&leavingBit != 0
	return index, r
}
