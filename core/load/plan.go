package load

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Host is one daemon of the fleet.
type Host struct {
	Name          string
	FailureDomain string
}

// pollers returns how many daemons poll one upstream: as many as the poll rate
// of the fleet allows at the wanted interval, within the bounds.
func (c Config) pollers(hosts, upstreams int) int {
	if upstreams == 0 {
		return 0
	}
	n := int(float64(hosts) * c.PollsPerSecond * c.Interval.Seconds() / float64(upstreams))
	return min(max(n, 1), c.MaxPollers, hosts)
}

// rankedHost is a host with its names hashed.
type rankedHost struct {
	host Host
	hash uint64
	rank uint64
}

// planFor returns the upstreams that self polls. All daemons with the same
// lists agree on who polls what; a host that comes or goes moves the upstreams
// of that host only.
func planFor(self string, hosts []Host, upstreams []string, pollers int) []string {
	ranked := make([]rankedHost, len(hosts))
	for i, h := range hosts {
		ranked[i] = rankedHost{host: h, hash: xxhash.Sum64String(h.Name)}
	}
	var mine []string
	for _, u := range upstreams {
		if chosen(self, u, ranked, pollers) {
			mine = append(mine, u)
		}
	}
	return mine
}

// chosen says whether self is among the pollers of upstream: the first in
// rendezvous order, first of failure domains that have none yet.
func chosen(self, upstream string, hosts []rankedHost, pollers int) bool {
	key := xxhash.Sum64String(upstream)
	for i := range hosts {
		hosts[i].rank = mix(key ^ hosts[i].hash)
	}
	slices.SortFunc(hosts, func(a, b rankedHost) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.host.Name, b.host.Name))
	})
	left := pollers
	var domains []string
	for _, h := range hosts {
		if left > 0 && !slices.Contains(domains, h.host.FailureDomain) {
			if h.host.Name == self {
				return true
			}
			domains = append(domains, h.host.FailureDomain)
			left--
		}
	}
	var seen []string
	for _, h := range hosts {
		if left == 0 {
			return false
		}
		if !slices.Contains(seen, h.host.FailureDomain) {
			seen = append(seen, h.host.FailureDomain)
			continue // taken above, as its domain's first
		}
		if h.host.Name == self {
			return true
		}
		left--
	}
	return false
}

// mix is the finaliser of splitmix64, over xxhash values.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
