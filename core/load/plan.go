package load

import "github.com/cespare/xxhash/v2"

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

// rankedHost is a host with its name hashed and its failure domain numbered.
type rankedHost struct {
	name   string
	hash   uint64
	domain int
	rank   uint64
}

// above says whether h comes before o in an upstream's rendezvous order.
func (h *rankedHost) above(o *rankedHost) bool {
	return h.rank > o.rank || h.rank == o.rank && h.name < o.name
}

// planner chooses the pollers of upstreams among hosts.
type planner struct {
	hosts []rankedHost
	self  int // place in hosts, -1 when it is not there
	// first is the place of each failure domain's first host, for one upstream.
	first []int
}

func newPlanner(self string, hosts []Host) *planner {
	p := &planner{self: -1, hosts: make([]rankedHost, len(hosts))}
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
	p.first = make([]int, len(domains))
	return p
}

// planFor returns the upstreams that self polls. All daemons with the same
// lists agree on who polls what; a host that comes or goes moves the upstreams
// of that host only.
func planFor(self string, hosts []Host, upstreams []string, pollers int) []string {
	p := newPlanner(self, hosts)
	if p.self < 0 {
		return nil
	}
	var mine []string
	for _, u := range upstreams {
		if p.chosen(u, pollers) {
			mine = append(mine, u)
		}
	}
	return mine
}

// chosen says whether self is among the pollers of upstream: the first host, in
// rendezvous order, of each failure domain, as many domains as there are
// pollers; and with more pollers than domains the first of the other hosts.
func (p *planner) chosen(upstream string, pollers int) bool {
	p.rank(upstream)
	self := &p.hosts[p.self]
	if p.first[self.domain] == p.self {
		return p.domainsAbove(self) < pollers
	}
	if pollers <= len(p.first) {
		return false
	}
	others := 0
	for i := range p.hosts {
		if h := &p.hosts[i]; p.first[h.domain] != i && h.above(self) {
			others++
		}
	}
	return others < pollers-len(p.first)
}

// rank ranks the hosts for upstream and finds each domain's first.
func (p *planner) rank(upstream string) {
	key := xxhash.Sum64String(upstream)
	for d := range p.first {
		p.first[d] = -1
	}
	for i := range p.hosts {
		h := &p.hosts[i]
		h.rank = mix(key ^ h.hash)
		if f := p.first[h.domain]; f < 0 || h.above(&p.hosts[f]) {
			p.first[h.domain] = i
		}
	}
}

// domainsAbove returns how many domains' first hosts come before h.
func (p *planner) domainsAbove(h *rankedHost) int {
	n := 0
	for _, f := range p.first {
		if p.hosts[f].above(h) {
			n++
		}
	}
	return n
}

// mix is the finaliser of splitmix64, over xxhash values.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
