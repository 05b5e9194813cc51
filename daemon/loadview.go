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

// maxLoadDigestBytes bounds the load digest on one heartbeat. See
// docs/capacity/routing.md for its cost and the resulting age of load reports.
const maxLoadDigestBytes = 512

// loadView holds the load of the upstreams as known from this daemon's polls and
// from the digests of peer daemons. Its methods may be called concurrently.
type loadView struct {
	table  *load.Table
	poller *upstreamload.Poller
	router *route.Router
	now    func() time.Time

	// mu guards upstreams and hosts, with which the table is configured, and
	// leaving.
	mu        sync.Mutex
	upstreams []string
	hosts     []load.Host
	// leaving holds the upstreams that reported in their last poll that they are
	// leaving.
	leaving map[string]bool
	// reportLeaving is called when a poll changes leaving. It is set before Run.
	reportLeaving func(name string, leaving bool, asOf time.Time)
}

// newLoadView returns a view that passes new reports to router. Until SetLiveHosts
// is called, it treats this host as the only one, which polls all upstreams.
func newLoadView(s *settings.Settings, router *route.Router, log *zap.Logger, now func() time.Time) *loadView {
	v := &loadView{
		table: load.NewTable(load.Config{Self: s.Host}), router: router, now: now,
		hosts:         []load.Host{{Name: s.Host, FailureDomain: s.FailureDomain}},
		leaving:       map[string]bool{},
		reportLeaving: func(string, bool, time.Time) {},
	}
	v.poller = upstreamload.NewPoller(v.table, v, log, now)
	return v
}

// Observe implements upstreamload.Observer for this daemon's own polls. A report
// that an upstream is not leaving is passed on only if the upstream reported before
// that it was leaving, since it must not override the host list.
func (v *loadView) Observe(reports ...load.Report) {
	v.router.Observe(reports...)
	for _, r := range reports {
		if v.updateLeaving(r) {
			v.reportLeaving(r.Upstream, r.Leaving, r.AsOf)
		}
	}
}

// updateLeaving records whether an upstream is leaving and reports whether that has
// changed.
func (v *loadView) updateLeaving(r load.Report) bool {
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

// Apply implements bundleApplier.
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

// SetLiveHosts sets the live hosts, including this one, in a fixed order. They
// exchange digests and divide the polls of upstreams among them.
func (v *loadView) SetLiveHosts(hosts []load.Host) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if slices.Equal(hosts, v.hosts) {
		return
	}
	v.hosts = hosts
	v.table.Configure(v.now(), v.upstreams, v.hosts)
}

// Digest returns the load digest for the next heartbeat. It should be called for
// each heartbeat, about twice a second.
func (v *loadView) Digest() []byte { return v.table.Digest(v.now(), maxLoadDigestBytes) }

// MergeDigest merges the digest from a peer daemon's heartbeat.
func (v *loadView) MergeDigest(digest []byte) error {
	updated, err := v.table.Merge(v.now(), digest)
	if err != nil {
		return err
	}
	v.router.Observe(updated...)
	return nil
}

// Run polls until ctx ends.
func (v *loadView) Run(ctx context.Context) { v.poller.Run(ctx) }

// loadDump is the section of the dump for load reports.
type loadDump struct {
	// Polling holds the upstreams that this daemon polls, each once per Interval.
	Polling  []string           `json:"polling"`
	Interval time.Duration      `json:"interval_ns"`
	Polls    upstreamload.Stats `json:"polls"`
	// Reports holds the newest report of each upstream from any daemon.
	Reports []load.Report `json:"reports"`
}

func (v *loadView) dump() loadDump {
	polling, interval := v.table.AssignedPolls()
	return loadDump{Polling: polling, Interval: interval, Polls: v.poller.Stats(), Reports: v.table.Reports()}
}
