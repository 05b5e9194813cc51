package daemon

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/core/load"
	"github.com/wheatseam/wheatseam/core/route"
	"github.com/wheatseam/wheatseam/settings"
	"github.com/wheatseam/wheatseam/upstreamload"
)

// loadDigestBytes bounds the load digest on one heartbeat; docs/capacity/routing.md
// measures what that costs and how old the reports get.
const loadDigestBytes = 512

// loadView is what this daemon knows of the load of upstreams: its own polls
// and the digests of fellow daemons. Its methods may be called concurrently.
type loadView struct {
	table  *load.Table
	poller *upstreamload.Poller
	router *route.Router
	now    func() time.Time

	// mu guards what the table is configured by.
	mu        sync.Mutex
	upstreams []string
	hosts     []load.Host
}

// newLoadView returns a view that tells router what is news. Until SetLive,
// this host counts as alone and polls all upstreams.
func newLoadView(s *settings.Settings, router *route.Router, log *zap.Logger, now func() time.Time) *loadView {
	table := load.NewTable(load.Config{Self: s.Host})
	return &loadView{
		table: table, poller: upstreamload.NewPoller(table, router, log, now), router: router, now: now,
		hosts: []load.Host{{Name: s.Host, FailureDomain: s.FailureDomain}},
	}
}

// Apply implements applier.
func (v *loadView) Apply(b *bundle.Bundle) {
	addresses := map[string]string{}
	var names []string
	for _, p := range b.Pools {
		for _, u := range p.Upstreams {
			addresses[u.Name] = u.Address
			names = append(names, u.Name)
		}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.upstreams = names
	v.poller.SetAddresses(addresses)
	v.table.Configure(v.now(), v.upstreams, v.hosts)
}

// SetLive says which hosts live and exchange digests, this one among them; they
// share the polls.
func (v *loadView) SetLive(hosts []load.Host) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.hosts = hosts
	v.table.Configure(v.now(), v.upstreams, v.hosts)
}

// Digest returns what the next heartbeat carries. It should be renewed for
// each heartbeat, twice a second or so.
func (v *loadView) Digest() []byte { return v.table.Digest(v.now(), loadDigestBytes) }

// Heard takes the digest that a fellow daemon's heartbeat carried.
func (v *loadView) Heard(digest []byte) error {
	news, err := v.table.Merge(v.now(), digest)
	if err != nil {
		return err
	}
	v.router.Observe(news...)
	return nil
}

// Run polls until ctx ends.
func (v *loadView) Run(ctx context.Context) { v.poller.Run(ctx) }
