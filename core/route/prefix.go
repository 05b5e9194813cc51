package route

import "math"

// prefixHome returns the index of the upstream whose cache should hold prefix:
// the first in rendezvous order, among the eligible of this daemon's region
// (of all, when it has none), whose load is within the bound. All daemons with
// like views agree on it without telling each other, and no prefix is
// remembered. It returns -1 when prefix is 0 or nothing is eligible.
//
// The bound is factor times the mean load, rounded up, or room times what an
// upstream runs well, whichever is more.
func prefixHome(v *View, eligible []int, prefix uint64, factor, room float64) int {
	if prefix == 0 || len(eligible) == 0 {
		return -1
	}
	var total float64
	regional := false
	for _, i := range eligible {
		total += v.Candidates[i].Load()
		regional = regional || v.sameRegion(&v.Candidates[i])
	}
	bound := max(math.Ceil(factor*(total+1)/float64(len(eligible))), room*v.Concurrency)
	home := -1
	var best uint64
	for _, i := range eligible {
		c := &v.Candidates[i]
		if regional && !v.sameRegion(c) || c.Load()+1 > bound {
			continue
		}
		if rank := mix64(prefix ^ c.Hash); home < 0 || rank > best {
			home, best = i, rank
		}
	}
	return home
}

// mix is the finaliser of splitmix64: it ranks a key's upstreams. The pinned
// rendezvous library returns a key's first node only; the bound needs the next
// ones too.
func mix64(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
