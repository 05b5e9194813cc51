package discovery

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/core/origin"
	"github.com/wheatseam/wheatseam/fleet"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/internal/periodic"
	"github.com/wheatseam/wheatseam/wire"
)

// learnHistory has syncHistory extend the history once after it was restarted. Only the host that
// reads the store for the fleet does so; the others learn from it.
func (d *Discovery) learnHistory() {
	select {
	case <-d.cfg.Members.Formed():
	default:
		return // others may read the store for this host
	}
	d.mu.Lock()
	unread := d.historyRestarted && d.listing != nil && d.historyLength() > d.boundFraction(staleFraction)
	if unread {
		d.historyRestarted = false
	}
	d.mu.Unlock()
	if unread {
		select {
		case d.historyWork <- struct{}{}:
		default:
		}
	}
}

// syncHistory extends the history when learnHistory asks for it, until ctx ends. No view waits for
// it.
func (d *Discovery) syncHistory(ctx context.Context) {
	for {
		select {
		case <-d.historyWork:
			d.askPeersForHistory(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// historyLength returns for how long the history is complete.
func (d *Discovery) historyLength() time.Duration {
	d.versionsMu.Lock()
	defer d.versionsMu.Unlock()
	return d.versions.CompleteFor(clock.Now())
}

// maxHistoryPeers is the number of peers that are asked for their history, and maxHistoryRounds
// how often: a peer's history can be joined to this host's once its view is newer than the
// beginning of this one.
const (
	maxHistoryPeers  = 3
	maxHistoryRounds = 3
)

// askPeersForHistory asks some peers for their history, several times until one has more.
func (d *Discovery) askPeersForHistory(ctx context.Context) {
	for range maxHistoryRounds {
		if d.askSomePeersForHistory(ctx) || !periodic.Sleep(ctx, d.interval()) {
			return
		}
	}
}

// askSomePeersForHistory is one round of askPeersForHistory. It reports whether the history is
// as long as any stream lasts that began before this host read the store.
func (d *Discovery) askSomePeersForHistory(ctx context.Context) bool {
	hosts := slices.DeleteFunc(d.cfg.Members.Reachable(), func(h fleet.Host) bool { return h.Name == d.cfg.Self })
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	for _, h := range hosts[:min(maxHistoryPeers, len(hosts))] {
		d.requestHistory(ctx, h.Name)
		if d.historyLength() > maxListingAge {
			return true
		}
	}
	return false
}

// requestHistory adds a peer's history to this host's. The replicas stay as they are: this host
// has read them itself.
func (d *Discovery) requestHistory(ctx context.Context, host string) {
	sentAt := clock.Now()
	reply := &wire.NewsReply{}
	call, cancel := clock.WithTimeout(ctx, replyGrace)
	defer cancel()
	if err := d.cfg.Caller.Call(call, host, methodChanges, d.changesRequest(sentAt, 0), reply); err != nil {
		d.log.Info("request for the version history failed", zap.String("peer", host), zap.Error(err))
		return
	}
	if reply.GetVersions() == nil {
		return
	}
	received := clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	asOf := sentAt.Add(-time.Duration(reply.GetAgeMs()) * time.Millisecond)
	s := summaryOf(reply.GetVersions(), received, asOf, sentAt)
	own := d.registry.Replicas()
	listed := replicasWith(own, reply)
	for _, c := range versionChanges(own, listed) {
		if !c.Removed {
			// The peer has a replica of it that this host has not.
			s.Versions = append(s.Versions, origin.FormerVersion{Service: c.Service, Version: c.Version, LastListed: received, LastRemoved: received})
		}
	}
	complete := listed.Digest().Sum() == reply.GetReplicasHash()
	d.updateVersions(func(h *origin.History) []string {
		before := h.CompleteFor(received)
		grown := h.Merge(received, s, complete)
		d.logHistoryChange(h, received, host, before)
		return grown
	})
}
