package route

import "math"

// prefixHome returns the index of the upstream whose cache should hold prefix, the
// prefix's home. It is the first upstream in rendezvous order, among the eligible ones
// in this daemon's region (or among all, if there are none), whose load including the
// new call is within the bound. Daemons with similar views compute the same home
// without communicating, and no prefixes are stored. It returns -1 if prefix is 0 or no
// upstream qualifies.
//
// The bound is the larger of loadFactor times the mean load, rounded up, and minLoad
// times the pool's concurrency.
func prefixHome(v *View, eligible []int, prefix uint64, loadFactor, minLoad float64) int {
	if prefix == 0 || len(eligible) == 0 {
		return -1
	}
	var total float64
	anyInRegion := false
	for _, i := range eligible {
		c := &v.Candidates[i]
		total += c.Load() * v.slowdownOf(c)
		anyInRegion = anyInRegion || v.sameRegion(&v.Candidates[i])
	}
	bound := max(math.Ceil(loadFactor*(total+1)/float64(len(eligible))), minLoad*v.Concurrency)
	home := -1
	var best uint64
	var lowest float64
	exponent := homeExponent(v.Query)
	for _, i := range eligible {
		c := &v.Candidates[i]
		if !v.mayBeHome(i) || anyInRegion && !v.sameRegion(c) || (c.Load()+1)*v.slowdownOf(c) > bound {
			continue
		}
		hash := mix64(prefix ^ c.Hash)
		if v.HasSlowdowns {
			if rank := weightedRank(hash, c.HomeSlowdown, exponent); home < 0 || rank < lowest {
				home, lowest = i, rank
			}
		} else if home < 0 || hash > best {
			home, best = i, hash
		}
	}
	return home
}

// mix64 is the finalizer of splitmix64. It ranks the upstreams for a key. The
// rendezvous hashing library in use returns only the first node for a key, but the load
// bound needs the following ones too.
func mix64(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
