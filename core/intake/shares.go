package intake

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Shares computes one host's shares of the calls that replicas accept.
type Shares struct {
	self uint64
	// others are the hashes of the names of all other hosts, sorted.
	others []uint64
}

// NewShares returns the shares of self among hosts, which may include self.
func NewShares(self string, hosts []string) *Shares {
	s := &Shares{self: xxhash.Sum64String(self), others: make([]uint64, 0, len(hosts))}
	for _, h := range hosts {
		if h != self {
			s.others = append(s.others, xxhash.Sum64String(h))
		}
	}
	slices.Sort(s.others)
	s.others = slices.Compact(s.others)
	return s
}

// Calls returns how many of the given calls over all hosts this host may begin at a
// replica.
func (s *Shares) Calls(replica string, calls int) int {
	replicaHash := xxhash.Sum64String(replica)
	own, rank := hostWeight(s.self, replicaHash), 0
	for _, o := range s.others {
		if hostWeight(o, replicaHash) < own {
			if rank++; rank >= calls {
				return 0
			}
		}
	}
	hosts := len(s.others) + 1
	return max(0, (calls-rank+hosts-1)/hosts)
}

// firstHosts returns the n hosts that rank first for a replica.
func firstHosts(replica string, n int, hosts []string) map[string]bool {
	replicaHash := xxhash.Sum64String(replica)
	type ranked struct {
		weight uint64
		host   string
	}
	all := make([]ranked, 0, len(hosts))
	for _, h := range hosts {
		all = append(all, ranked{hostWeight(xxhash.Sum64String(h), replicaHash), h})
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Compare(a.weight, b.weight) })
	out := make(map[string]bool, n)
	for _, r := range all[:min(n, len(all))] {
		out[r.host] = true
	}
	return out
}

// hostWeight returns the sort key of a host in the ranking for a replica. It applies the
// finalizer of splitmix64 to both hashes.
func hostWeight(host, replica uint64) uint64 {
	z := host ^ replica
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
