package claim

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Group returns the names of the n holders of key among hosts: rendezvous
// hashing, spread over failure domains. No domain gets a second holder while
// another has none. It returns all hosts if there are no more than n.
//
// A host joining or leaving changes only the groups that it is or was in.
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
		all[i] = weighted{h, mix(xxhash.Sum64String(h.Name) ^ keyHash)}
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

// mix is the finaliser of splitmix64: it spreads the bits of a combined hash.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// majority returns the smallest number of n that any two sets of it share.
func majority(n int) int { return n/2 + 1 }
