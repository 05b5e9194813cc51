package daemon

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/cluster"
	"github.com/wheatseam/wheatseam/core/load"
	"github.com/wheatseam/wheatseam/core/member"
	"github.com/wheatseam/wheatseam/internal/periodic"
)

// loadExchangeEvery is how often the load digest of the heartbeats is renewed
// and those of fellow daemons are taken: twice for each probe.
const loadExchangeEvery = 500 * time.Millisecond

// loadExtension is the place of load digests on the heartbeats.
func loadExtension() member.SlotConfig {
	return member.SlotConfig{ID: member.SlotLoad, MaxBytes: loadDigestBytes}
}

// exchangeLoads puts load digests on the heartbeats and takes those of fellow
// daemons, until ctx ends.
func (d *Daemon) exchangeLoads(ctx context.Context) {
	heard := map[string]time.Time{}
	periodic.Do(ctx, loadExchangeEvery, func() {
		d.loads.SetLive(liveHosts(d.cluster.Members(), d.settings.Host, d.settings.FailureDomain))
		d.cluster.SetSlot(member.SlotLoad, d.loads.Digest(), false)
		d.takeLoads(heard)
	})
}

// takeLoads merges the digests that arrived since the last call.
func (d *Daemon) takeLoads(heard map[string]time.Time) {
	for _, s := range newSlots(d.cluster.Slots(member.SlotLoad), heard) {
		if err := d.loads.Heard(s.Value); err != nil {
			d.log.Warn("load digest refused", zap.String("peer", s.Host), zap.Error(err))
		}
	}
}

// newSlots returns the values that arrived since those in heard, and notes them
// there; it forgets hosts that have no value any more.
func newSlots(slots []cluster.SlotValue, heard map[string]time.Time) []cluster.SlotValue {
	var news []cluster.SlotValue
	known := make(map[string]bool, len(slots))
	for _, s := range slots {
		known[s.Host] = true
		if s.ReceivedAt.After(heard[s.Host]) {
			heard[s.Host] = s.ReceivedAt
			news = append(news, s)
		}
	}
	for host := range heard {
		if !known[host] {
			delete(heard, host)
		}
	}
	return news
}

// liveHosts returns the living members and this host, by name. Suspects count:
// most of them are only slow.
func liveHosts(members []member.Member, self, domain string) []load.Host {
	hosts := make([]load.Host, 0, len(members)+1)
	found := false
	for _, m := range members {
		if m.Host.Name != self && !m.Live() {
			continue
		}
		found = found || m.Host.Name == self
		hosts = append(hosts, load.Host{Name: m.Host.Name, FailureDomain: m.Host.FailureDomain})
	}
	if !found {
		hosts = append(hosts, load.Host{Name: self, FailureDomain: domain})
	}
	return hosts
}
