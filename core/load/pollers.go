package load

import "github.com/cespare/xxhash/v2"

// Host is one daemon of the fleet.
type Host struct {
	Name          string
	FailureDomain string
}

// pollersPerUpstream returns how many daemons poll each upstream: as many as the hosts
// can at PollsPerSecond with the configured interval, but at least 1, and at most
// MaxPollers or the number of hosts.
func (c Config) pollersPerUpstream(hosts, upstreams int) int {
	if upstreams == 0 {
		return 0
	}
	n := int(float64(hosts) * c.PollsPerSecond * c.Interval.Seconds() / float64(upstreams))
	return min(max(n, 1), c.MaxPollers, hosts)
}

// rankedHost is a host with the hash of its name, the number of its failure domain, and
// its rank for one upstream.
type rankedHost struct {
	name   string
	hash   uint64
	domain int
	rank   uint64
}

// ranksBefore reports whether h comes before o in an upstream's rendezvous order.
func (h *rankedHost) ranksBefore(o *rankedHost) bool {
	return h.rank > o.rank || h.rank == o.rank && h.name < o.name
}

// pollerSelector decides which hosts poll an upstream.
type pollerSelector struct {
	hosts []rankedHost
	self  int // index in hosts, or -1 if absent
	// firstInDomain holds the index of the first host of each failure domain, for the
	// upstream of the latest call of rank.
	firstInDomain []int
}

func newPollerSelector(self string, hosts []Host) *pollerSelector {
	p := &pollerSelector{self: -1, hosts: make([]rankedHost, len(hosts))}
	domains := map[string]int{}
	for i, h := range hosts {
		n, known := domains[h.FailureDomain]
		if !known {
			n = len(domains)
			domains[h.FailureDomain] = n
		}
		p.hosts[i] = rankedHost{name: h.Name, hash: xxhash.Sum64String(h.Name), domain: n}
		if h.Name == self {
			p.self = i
		}
	}
	p.firstInDomain = make([]int, len(domains))
	return p
}

// assignedUpstreams returns the upstreams that self polls. All daemons with the same
// lists compute the same assignment. As long as the number of pollers stays the same, a
// host that joins or leaves moves only the upstreams that it polls.
func assignedUpstreams(self string, hosts []Host, upstreams []string, pollers int) []string {
	p := newPollerSelector(self, hosts)
	if p.self < 0 {
		return nil
	}
	var mine []string
	for _, u := range upstreams {
		if p.isPoller(u, pollers) {
			mine = append(mine, u)
		}
	}
	return mine
}

// isPoller reports whether self polls upstream. The pollers are the first hosts, in
// rendezvous order, of as many failure domains as there are pollers. If there are more
// pollers than failure domains, the first of the remaining hosts are added.
func (p *pollerSelector) isPoller(upstream string, pollers int) bool {
	p.rank(upstream)
	self := &p.hosts[p.self]
	if p.firstInDomain[self.domain] == p.self {
		return p.domainsRankedBefore(self) < pollers
	}
	if pollers <= len(p.firstInDomain) {
		return false
	}
	others := 0
	for i := range p.hosts {
		if h := &p.hosts[i]; p.firstInDomain[h.domain] != i && h.ranksBefore(self) {
			others++
		}
	}
	return others < pollers-len(p.firstInDomain)
}

// rank computes the hosts' ranks for upstream and the first host of each failure
// domain.
func (p *pollerSelector) rank(upstream string) {
	key := xxhash.Sum64String(upstream)
	for d := range p.firstInDomain {
		p.firstInDomain[d] = -1
	}
	for i := range p.hosts {
		h := &p.hosts[i]
		h.rank = mix64(key ^ h.hash)
		if f := p.firstInDomain[h.domain]; f < 0 || h.ranksBefore(&p.hosts[f]) {
			p.firstInDomain[h.domain] = i
		}
	}
}

// domainsRankedBefore returns the number of failure domains whose first host comes
// before h.
func (p *pollerSelector) domainsRankedBefore(h *rankedHost) int {
	n := 0
	for _, f := range p.firstInDomain {
		if p.hosts[f].ranksBefore(h) {
			n++
		}
	}
	return n
}

// mix64 is the finalizer of splitmix64. It is applied to xxhash values.
func mix64(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
