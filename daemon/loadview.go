package daemon

import (
	"context"
	"slices"
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

	// mu guards what the table is configured by, and leaving.
	mu        sync.Mutex
	upstreams []string
	hosts     []load.Host
	// leaving names the upstreams whose last poll said that they leave.
	leaving map[string]bool
	// onLeaving is told when a poll changes that. It is set before Run.
	onLeaving func(name string, leaving bool, asOf time.Time)
}

// newLoadView returns a view that tells router what is news. Until SetLive,
// this host counts as alone and polls all upstreams.
func newLoadView(s *settings.Settings, router *route.Router, log *zap.Logger, now func() time.Time) *loadView {
	v := &loadView{
		table: load.NewTable(load.Config{Self: s.Host}), router: router, now: now,
		hosts:     []load.Host{{Name: s.Host, FailureDomain: s.FailureDomain}},
		leaving:   map[string]bool{},
		onLeaving: func(string, bool, time.Time) {},
	}
	v.poller = upstreamload.NewPoller(v.table, v, log, now)
	return v
}

// Observe implements upstreamload.Observer for this daemon's own polls. An
// upstream's word that it stays is passed on only if it said otherwise before:
// it must not undo what the host list says.
func (v *loadView) Observe(reports ...load.Report) {
	v.router.Observe(reports...)
	for _, r := range reports {
		if v.leavingChanged(r) {
			v.onLeaving(r.Upstream, r.Leaving, r.AsOf)
		}
	}
}

func (v *loadView) leavingChanged(r load.Report) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.leaving[r.Upstream] == r.Leaving {
		return false
	}
	if r.Leaving {
		v.leaving[r.Upstream] = true
	} else {
		delete(v.leaving, r.Upstream)
	}
	return true
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
	for name := range v.leaving {
		if _, known := addresses[name]; !known {
			delete(v.leaving, name)
		}
	}
}

// SetLive says which hosts live and exchange digests, this one among them, in
// order; they share the polls.
func (v *loadView) SetLive(hosts []load.Host) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if slices.Equal(hosts, v.hosts) {
		return
	}
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

// loadDump is the dump's section about load reports.
type loadDump struct {
	// Polling names the upstreams that this daemon polls, each every Interval.
	Polling  []string           `json:"polling"`
	Interval time.Duration      `json:"interval_ns"`
	Polls    upstreamload.Stats `json:"polls"`
	// Reports holds the newest report of each upstream, whoever polled it.
	Reports []load.Report `json:"reports"`
}

func (v *loadView) dump() loadDump {
	polling, interval := v.table.AssignedPolls()
	return loadDump{Polling: polling, Interval: interval, Polls: v.poller.Stats(), Reports: v.table.Reports()}
}
