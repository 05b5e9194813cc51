package member

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// selectNeighbours returns the hosts that self probes: its successor on each of
// rings hash rings over all hosts. Every host therefore has at most rings
// probers and rings targets, the graph is a random expander, and adding or
// removing a host affects only the adjacent hosts on each ring. With rings+1
// hosts or fewer, all others are neighbours. The result is sorted.
func selectNeighbours(self string, hosts []string, rings int) []string {
	others := slices.DeleteFunc(slices.Clone(hosts), func(h string) bool { return h == self })
	if len(others) > rings {
		others = successors(self, others, rings)
	}
	slices.Sort(others)
	return slices.Compact(others)
}

// successors returns self's successor on each ring; it may contain duplicates.
func successors(self string, others []string, rings int) []string {
	out := make([]string, 0, rings)
	for ring := range rings {
		selfPosition := ringPosition(ring, self)
		best, bestGap := "", uint64(0)
		for _, h := range others {
			gap := ringPosition(ring, h) - selfPosition // unsigned arithmetic wraps around the ring
			if best == "" || gap < bestGap || gap == bestGap && h < best {
				best, bestGap = h, gap
			}
		}
		out = append(out, best)
	}
	return out
}

// ringPosition returns the position of a host on a ring.
func ringPosition(ring int, host string) uint64 {
	var d xxhash.Digest
	d.Reset()
	var prefix [4]byte
	binary.LittleEndian.PutUint32(prefix[:], uint32(ring))
	_, _ = d.Write(prefix[:])
	_, _ = d.WriteString(host)
	return d.Sum64()
}
