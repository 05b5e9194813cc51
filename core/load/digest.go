package load

import (
	"encoding/binary"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"
)

// A digest is the hash of the sorted list of upstreams, in 4 bytes, and then
// entries of 4 bytes each, big-endian:
//
//	2 bytes  place of the upstream in the list
//	1 byte   as-of in units of 100 ms, the low 8 bits of the Unix time
//	1 byte   calls running and queued, see packLoad; the top bit means leaving
//
// Daemons whose lists differ, as while a bundle with other upstreams rolls
// out, do not understand each other's digests until it is in force at both.
// The as-of is the upstream's own, so that a report keeps its identity and its
// order however often it is passed on.
const (
	listBytes   = 4
	entryBytes  = 4
	asOfUnit    = 100 * time.Millisecond
	asOfModulus = 1 << 8
	leavingBit  = 1 << 7
	// maxUpstreams is the number of upstreams that places can tell apart.
	maxUpstreams = 1 << 16
	// maxPassedAge bounds the age of reports in digests: with maxAhead and a
	// little for the way it must stay below asOfModulus units.
	maxPassedAge = 23 * time.Second
)

// Loads up to exactLoad are told exactly, higher ones in steps of loadStep.
const (
	exactLoad = 64
	loadStep  = 16
	maxPacked = leavingBit - 1
	maxLoad   = exactLoad + (maxPacked-exactLoad)*loadStep
)

// errDigest is a digest of no whole number of entries.
var errDigest = errors.New("load: digest is cut")

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

// tick returns the as-of unit that t falls into.
func tick(t time.Time) int64 { return t.UnixMilli() / asOfUnit.Milliseconds() }

// truncate cuts t to the as-of unit, as passing it on would.
func truncate(t time.Time) time.Time { return time.UnixMilli(tick(t) * asOfUnit.Milliseconds()) }

// packLoad packs a number of calls into 7 bits, rounded down; unpackLoad gives
// the number back.
func packLoad(n int) byte {
	if n <= exactLoad {
		return byte(max(n, 0))
	}
	return byte(exactLoad + (min(n, maxLoad)-exactLoad)/loadStep)
}

func unpackLoad(b byte) int {
	n := int(b)
	if n <= exactLoad {
		return n
	}
	return exactLoad + (n-exactLoad)*loadStep
}

// appendEntry appends the entry of r, whose upstream is at place.
func appendEntry(to []byte, place uint16, r *Report) []byte {
	load := packLoad(r.Running + r.Queued)
	if r.Leaving {
		load |= leavingBit
	}
	to = binary.BigEndian.AppendUint16(to, place)
	return append(to, byte(tick(r.AsOf)%asOfModulus), load)
}

// readEntry reads the first entry of from. Of the moments that the cut as-of
// may mean, the latest one that is not too far ahead of now is taken.
func readEntry(now time.Time, from []byte) (place uint16, r Report) {
	place = binary.BigEndian.Uint16(from)
	latest := tick(now.Add(maxAhead))
	back := int64(byte(latest) - from[2])
	r.AsOf = time.UnixMilli((latest - back) * asOfUnit.Milliseconds())
	r.Running = unpackLoad(from[3] &^ leavingBit)
	r.Leaving = from[3]&leavingBit != 0
	return place, r
}
