package claim

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Group returns the names of the n holders of key. It selects them from hosts by
// rendezvous hashing and spreads them over failure domains: no failure domain gets
// a second holder while another has none. It returns all hosts if there are at most
// n.
//
// Adding or removing a host changes only the groups of which it is or was a member.
func Group(hosts []Host, key Key, n int) []string {
	ranked := rank(hosts, key.Hash())
	group := make([]string, 0, n)
	for depth := 0; len(group) < n && depth < len(hosts); depth++ {
		seen := make(map[string]int, len(hosts))
		for _, h := range ranked {
			nth := seen[h.FailureDomain]
			seen[h.FailureDomain]++
			if nth != depth || len(group) == n {
				continue
			}
			group = append(group, h.Name)
		}
	}
	return group
}

// rank orders hosts by their rendezvous weight for a key's hash.
func rank(hosts []Host, keyHash uint64) []Host {
	type weighted struct {
		host   Host
		weight uint64
	}
	all := make([]weighted, len(hosts))
	for i, h := range hosts {
		all[i] = weighted{h, mixBits(xxhash.Sum64String(h.Name) ^ keyHash)}
	}
	slices.SortFunc(all, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.host.Name, b.host.Name))
	})
	ranked := make([]Host, len(all))
	for i, w := range all {
		ranked[i] = w.host
	}
	return ranked
}

// mixBits is the finalizer of splitmix64. It distributes the entropy of a combined
// hash over all bits.
func mixBits(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// majority returns the size of the smallest majority of n: any two subsets of that
// size have a member in common.
func majority(n int) int { return n/2 + 1 }
