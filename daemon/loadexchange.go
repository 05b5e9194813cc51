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
const loadExchangeInterval = 500 * time.Millisecond

// loadExtension is the place of load digests on the heartbeats.
func loadExtension() member.Extension {
	return member.Extension{ID: member.SlotLoad, MaxBytes: maxLoadDigestBytes}
}

// exchangeLoads puts load digests on the heartbeats and takes those of fellow
// daemons, until ctx ends.
func (d *Daemon) exchangeLoads(ctx context.Context) {
	lastReceived := map[string]time.Time{}
	periodic.Do(ctx, loadExchangeInterval, func() {
		d.loads.SetLiveHosts(liveMembers(d.cluster.Members(), d.settings.Host, d.settings.FailureDomain))
		d.cluster.SetSlot(member.SlotLoad, d.loads.Digest(), false)
		d.mergeLoadDigests(lastReceived)
	})
}

// takeLoads merges the digests that arrived since the last call.
func (d *Daemon) mergeLoadDigests(lastReceived map[string]time.Time) {
	for _, s := range newerSlotValues(d.cluster.Slots(member.SlotLoad), lastReceived) {
		if err := d.loads.MergeDigest(s.Value); err != nil {
			d.log.Warn("load digest refused", zap.String("peer", s.Host), zap.Error(err))
		}
	}
}

// newSlots returns the values that arrived since those in heard, and notes them
// there; it forgets hosts that have no value any more.
func newerSlotValues(slots []cluster.SlotValue, lastReceived map[string]time.Time) []cluster.SlotValue {
	var newer []cluster.SlotValue
	present := make(map[string]bool, len(slots))
	for _, s := range slots {
		present[s.Host] = true
		if s.At.After(lastReceived[s.Host]) {
			lastReceived[s.Host] = s.At
			newer = append(newer, s)
		}
	}
	for host := range lastReceived {
		if !present[host] {
			delete(lastReceived, host)
		}
	}
	return newer
}

// liveHosts returns the living members and this host, by name. Suspects count:
// most of them are only slow.
func liveMembers(members []member.Member, self, domain string) []load.Host {
	hosts := make([]load.Host, 0, len(members)+1)
	found := false
	for _, m := range members {
		if m.Host.Name != self && !m.Living() {
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
