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

// loadExchangeInterval is the interval at which the load digest on the heartbeats is
// updated and the received digests are merged: twice per probe interval.
const loadExchangeInterval = 500 * time.Millisecond

// loadHeartbeatSlot reserves space for load digests on the heartbeats.
func loadHeartbeatSlot() member.SlotConfig {
	return member.SlotConfig{ID: member.SlotLoad, MaxBytes: maxLoadDigestBytes}
}

// exchangeLoads puts load digests on the heartbeats and merges the digests of peer
// daemons until ctx ends.
func (d *Daemon) exchangeLoads(ctx context.Context) {
	lastReceived := map[string]time.Time{}
	periodic.Every(ctx, loadExchangeInterval, func() {
		d.loads.SetLiveHosts(liveMembers(d.cluster.Members(), d.settings.Host, d.settings.FailureDomain))
		d.cluster.SetSlot(member.SlotLoad, d.loads.Digest(), false)
		d.mergeLoadDigests(lastReceived)
	})
}

// mergeLoadDigests merges the digests that have arrived since the last call.
func (d *Daemon) mergeLoadDigests(lastReceived map[string]time.Time) {
	for _, s := range newerSlotValues(d.cluster.Slots(member.SlotLoad), lastReceived) {
		if err := d.loads.MergeDigest(s.Value); err != nil {
			d.log.Warn("rejected the load digest of a peer", zap.String("peer", s.Host), zap.Error(err))
		}
	}
}

// newerSlotValues returns the values that arrived after the times in lastReceived and
// updates lastReceived. It also removes the hosts from it that no longer have a
// value.
func newerSlotValues(slots []cluster.SlotValue, lastReceived map[string]time.Time) []cluster.SlotValue {
	var newer []cluster.SlotValue
	present := make(map[string]bool, len(slots))
	for _, s := range slots {
		present[s.Host] = true
		if s.ReceivedAt.After(lastReceived[s.Host]) {
			lastReceived[s.Host] = s.ReceivedAt
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

// liveMembers returns the live members and this host. Suspected members count as live,
// since most of them are only slow.
func liveMembers(members []member.Member, self, domain string) []load.Host {
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
