package discovery

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/fleet"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/internal/periodic"
	"github.com/wheatseam/wheatseam/peer"
	"github.com/wheatseam/wheatseam/wire"
)

// A refresh brings replicas that were read from the store after it was demanded, without waiting
// for the next interval. Demands go up the tree of hosts and are merged at each one, so that one host
// reads the store for all: a host has one request to its source in progress, and the host that
// reads the store begins no two reads within minRefreshInterval.

// methodRefresh takes a request for changes, and is answered once the replicas were read after it
// came, or with an error if that does not happen within the requested wait.
const methodRefresh = "discovery.refresh"

const (
	// refreshCallTimeout limits one request to a host, which may have to end a read that began before
	// the request came.
	refreshCallTimeout = 140 * time.Millisecond
	// refreshReplyMargin is by how much earlier the other host gives up, so that its answer
	// arrives in time.
	refreshReplyMargin = 5 * time.Millisecond
	// refreshLinger is for how long after a refresh no request for changes is begun, which the next
	// demand would end.
	refreshLinger = 50 * time.Millisecond
)

// errNotRefreshed is returned to a peer whose demand is not met in time.
var errNotRefreshed = errors.New("discovery: replicas were not read in time")

// RefreshReplicas demands replicas that were read at or after a time and waits until the view has
// them, at most for wait. It reports whether it has; if it does not, the store may be away, or this
// host cut off. It returns before wait ends if the replicas are older than the time within which
// changes must be active and a refresh has failed meanwhile.
func (d *Discovery) RefreshReplicas(ctx context.Context, asOf time.Time, wait time.Duration) bool {
	ctx, cancel := clock.WithTimeout(ctx, wait)
	defer cancel()
	began := clock.Now()
	d.demandRefresh(asOf, began.Add(wait))
	for {
		d.mu.Lock()
		changed, failed := d.viewChanged, d.refreshes.failedSince(began)
		d.mu.Unlock()
		at := d.View().replicasAsOf
		switch {
		case !at.Before(asOf):
			return true
		case failed && clock.Since(at) > d.cfg.PropagationBound():
			return false
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return !d.View().replicasAsOf.Before(asOf)
		}
	}
}

// demandRefresh adds a demand and wakes syncReplicas.
func (d *Discovery) demandRefresh(asOf, until time.Time) {
	d.mu.Lock()
	d.refreshes.add(asOf, until)
	d.mu.Unlock()
	select {
	case d.refreshWork <- struct{}{}:
	default:
	}
}

// refreshDue returns how long from now the next refresh may begin, and whether one is wanted.
func (d *Discovery) refreshDue(interval time.Duration) (wait time.Duration, wanted bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.refreshes.due(clock.Now(), d.View().replicasAsOf, interval)
}

func (d *Discovery) refreshWanted() bool {
	_, wanted := d.refreshDue(0)
	return wanted
}

// awaitRead waits until the store is to be read again: at an interval after the last read, or
// sooner if a refresh is wanted.
func (d *Discovery) awaitRead(ctx context.Context, lastRead time.Time, interval time.Duration) {
	refreshInterval := storeRefreshInterval(len(d.cfg.Members.Reachable()), !d.noRecentPeerRequests())
	for ctx.Err() == nil {
		wait := interval - clock.Since(lastRead)
		if refreshWait, wanted := d.refreshDue(refreshInterval); wanted {
			wait = min(wait, refreshWait)
		}
		if wait <= 0 {
			return
		}
		periodic.WaitForSignal(ctx, d.refreshWork, wait)
	}
}

// untilRefreshWanted returns a context that is canceled as soon as a refresh is wanted.
func (d *Discovery) untilRefreshWanted(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for !d.refreshWanted() {
			select {
			case <-d.refreshWork:
			case <-ctx.Done():
				return
			}
		}
		cancel()
	}()
	return ctx, func() {
		cancel()
		<-done // or it would take the signal that wakes syncReplicas
	}
}

// awaitFurtherRefresh waits for a moment after a refresh for a further one to be wanted.
func (d *Discovery) awaitFurtherRefresh(ctx context.Context) {
	d.mu.Lock()
	left := clock.Until(d.refreshes.begunAt.Add(refreshLinger))
	d.mu.Unlock()
	if left > 0 && !d.refreshWanted() {
		periodic.WaitForSignal(ctx, d.refreshWork, left)
	}
}

// beginRefresh waits until the next refresh from a peer may begin, and reports whether one is wanted.
func (d *Discovery) beginRefresh(ctx context.Context) bool {
	wait, wanted := d.refreshDue(minRefreshInterval)
	if !wanted || wait > 0 && !periodic.Sleep(ctx, wait) {
		return false
	}
	d.noteRefreshBegun(clock.Now())
	return true
}

func (d *Discovery) noteRefreshBegun(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refreshes.begin(now)
}

// noteRefreshFailed wakes those that need not wait any longer.
func (d *Discovery) noteRefreshFailed() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refreshes.fail()
	d.notifyWaiters()
}

// refreshFromSource demands replicas of the source, and reports whether peers can be relied on
// further. If the source did not answer at once, there is no time for another one, which may be
// waiting for the same host: this host reads the store then, unless it has just done so.
func (d *Discovery) refreshFromSource(ctx context.Context, source string) bool {
	if !d.beginRefresh(ctx) {
		return true
	}
	asked := clock.Now()
	if d.refreshFrom(ctx, source) {
		return true
	}
	mayRead := clock.Since(d.readAt) >= storeRefreshInterval(len(d.cfg.Members.Reachable()), false)
	return d.peerTime() > 0 && (clock.Since(asked) < refreshCallTimeout-refreshReplyMargin || !mayRead)
}

// refreshFrom demands replicas of a host that are read after the request came, applies its reply, and
// reports whether it came. A host that can't answer is not asked again for a moment, so that
// the next one in the tree is.
func (d *Discovery) refreshFrom(ctx context.Context, host string) bool {
	sentAt := clock.Now()
	call, cancel := clock.WithTimeout(ctx, refreshCallTimeout)
	defer cancel()
	reply := &wire.NewsReply{}
	err := d.cfg.Caller.Call(call, host, methodRefresh, d.changesRequest(sentAt, refreshCallTimeout-refreshReplyMargin), reply)
	if err == nil && d.receiveChanges(ctx, host, reply, sentAt, true) {
		return true
	}
	if ctx.Err() != nil {
		return false
	}
	if err != nil {
		d.log.Info("refresh of the replicas failed", zap.String("peer", host), zap.Bool("unsupported", errors.Is(err, peer.ErrUnknownMethod)), zap.Error(err))
		d.hostBackoff.Add(host, startupAvoidTime)
	}
	d.noteRefreshFailed()
	return false
}

// awaitRetry waits before the store is read again, which has just failed. Peers are asked for
// what is demanded meanwhile.
func (d *Discovery) awaitRetry(ctx context.Context, wait time.Duration) {
	until := clock.Now().Add(wait)
	for left := wait; left > 0 && ctx.Err() == nil; left = clock.Until(until) {
		if d.refreshWanted() && d.refreshFromRandomPeer(ctx) {
			continue
		}
		periodic.WaitForSignal(ctx, d.refreshWork, left)
	}
}

// refreshFromRandomPeer demands replicas of a random peer: the store may reject this host and serve
// that one.
func (d *Discovery) refreshFromRandomPeer(ctx context.Context) bool {
	now := clock.Now()
	hosts := slices.DeleteFunc(d.cfg.Members.Reachable(), func(h fleet.Host) bool {
		return h.Name == d.cfg.Self || d.hostBackoff.Excludes(h.Name, now)
	})
	return len(hosts) > 0 && d.beginRefresh(ctx) && d.refreshFrom(ctx, hosts[rand.IntN(len(hosts))].Name)
}

// registerRefresh registers the method by which peers demand a refresh.
func (d *Discovery) registerRefresh(mux *peer.Mux) {
	peer.Handle(mux, methodRefresh, func(ctx context.Context, _ peer.Sender, req *wire.NewsRequest) (*wire.NewsReply, error) {
		return d.serveRefresh(ctx, req)
	})
}

// serveRefresh answers a peer's demand once this host's replicas were read after it came.
func (d *Discovery) serveRefresh(ctx context.Context, req *wire.NewsRequest) (*wire.NewsReply, error) {
	receivedAt := clock.Now()
	d.lastPeerRequest.Store(clock.Nanos())
	wait := min(time.Duration(req.GetWaitMs())*time.Millisecond, refreshCallTimeout)
	if !d.servesRefreshes() || !d.RefreshReplicas(ctx, receivedAt, wait) || !d.servesRefreshes() {
		return nil, errNotRefreshed
	}
	return d.changesReply(req, receivedAt), nil
}

// servesRefreshes reports whether peers may rely on this host's replicas.
func (d *Discovery) servesRefreshes() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.View().complete() && !d.registry.RetainsLapsed() && !d.dependsOnPeers()
}
