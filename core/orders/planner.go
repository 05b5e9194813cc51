package orders

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
	"golang.org/x/time/rate"

	"github.com/wheatseam/wheatseam/bundle"
)

// Planner says which engines a daemon asks and orders. Its caller holds a lock.
type Planner struct {
	host    string
	bundle  *bundle.Bundle
	limiter *rate.Limiter
	asked   map[string]time.Time
}

// Intervals between two questions to one engine.
const (
	// askEvery is the usual interval.
	askEvery = 10 * time.Second
	// askSoon is the interval while an engine has not all that it needs.
	askSoon = 500 * time.Millisecond
)

// NewPlanner returns the planner of a host.
func NewPlanner(host string) *Planner {
	return &Planner{host: host, asked: make(map[string]time.Time)}
}

// Apply puts a bundle into force: every engine is asked anew. The hosts divide
// the loads a minute evenly, so that together they keep the limit whoever can
// hear whom.
func (p *Planner) Apply(b *bundle.Bundle) {
	p.bundle = b
	clear(p.asked)
	p.limiter = nil
	if b.Orders.LoadsPerMinute > 0 {
		share := b.Orders.LoadsPerMinute / float64(len(b.Hosts))
		p.limiter = rate.NewLimiter(rate.Limit(share/time.Minute.Seconds()), 1)
	}
}

// Target is an engine to be asked for its state.
type Target struct {
	Pool     bundle.Pool
	Upstream bundle.Upstream
}

// Due returns the engines that this host is to ask now. alive says which hosts
// are believed to live.
func (p *Planner) Due(now time.Time, alive func(host string) bool) []Target {
	if p.bundle == nil {
		return nil
	}
	orderers := p.livingHosts(alive)
	if len(orderers) == 0 {
		return nil
	}
	table := rendezvous.New(orderers, xxhash.Sum64String)
	var due []Target
	for _, pool := range p.bundle.Pools {
		if pool.Kind != bundle.PoolEngine {
			continue
		}
		for _, u := range pool.Upstreams {
			if next, ok := p.asked[u.Name]; ok && now.Before(next) {
				continue
			}
			if table.Lookup(u.Name) == p.host {
				due = append(due, Target{Pool: pool, Upstream: u})
				p.asked[u.Name] = now.Add(askSoon)
			}
		}
	}
	return due
}

// livingHosts always counts this host: a daemon that hears nobody orders for
// all, which is harmless since its orders are those of everybody else.
func (p *Planner) livingHosts(alive func(string) bool) []string {
	var hosts []string
	for _, h := range p.bundle.Hosts {
		if h.Name == p.host || alive(h.Name) {
			hosts = append(hosts, h.Name)
		}
	}
	return hosts
}

// Decide returns the order to send to an engine that has answered with s, and
// false when there is none or the pace of loads does not allow it yet.
func (p *Planner) Decide(now time.Time, t Target, s State) (Order, bool) {
	o, ok := Next(p.bundle.Version, t.Pool, t.Upstream.Name, s)
	if !ok {
		if len(s.Orders) == 0 || s.Orders[len(s.Orders)-1].State != ProgressRunning {
			p.asked[t.Upstream.Name] = now.Add(askEvery)
		}
		return Order{}, false
	}
	if o.Fetches() && p.limiter != nil && !p.limiter.AllowN(now, 1) {
		return Order{}, false
	}
	return o, true
}
