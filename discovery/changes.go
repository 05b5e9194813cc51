package discovery

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/wheatseam/wheatseam/core/bucket"
	"github.com/wheatseam/wheatseam/core/catalog"
	"github.com/wheatseam/wheatseam/core/position"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/internal/periodic"
	"github.com/wheatseam/wheatseam/peer"
	"github.com/wheatseam/wheatseam/wire"
)

const methodChanges = "discovery.changes"

// requestChanges asks a host for changes, which that host may wait for, applies its reply,
// and reports whether the reply was recent enough.
func (d *Discovery) requestChanges(ctx context.Context, host string, wait time.Duration) bool {
	sentAt := clock.Now()
	req := d.changesRequest(sentAt, wait)
	reply := &wire.NewsReply{}
	call, cancel := clock.WithTimeout(ctx, wait+replyGrace)
	defer cancel()
	if err := d.cfg.Caller.Call(call, host, methodChanges, req, reply); err != nil {
		if ctx.Err() != nil {
			return false
		}
		if clock.Since(sentAt) < d.boundFraction(changesWaitFraction) {
			d.hostBackoff.Add(host, startupAvoidTime)
		} else {
			d.hostBackoff.Add(host, failureAvoidTime)
		}
		d.log.Info("request for changes failed", zap.String("peer", host), zap.Error(err))
		return false
	}
	return d.receiveChanges(ctx, host, reply, sentAt, false)
}

// receiveChanges applies a reply to a request that was sent at a time, and reports whether it was
// recent enough. refreshed says that the replicas were read after the request came.
func (d *Discovery) receiveChanges(ctx context.Context, host string, reply *wire.NewsReply, sentAt time.Time, refreshed bool) bool {
	d.peerReplies.Add(1)
	received := clock.Now()
	// The reply was in transit for at most the duration of the call less the time that the
	// other host waited.
	transit := max(0, received.Sub(sentAt)-time.Duration(reply.GetWaitedMs())*time.Millisecond)
	asOf := received.Add(-time.Duration(reply.GetAgeMs())*time.Millisecond - transit)
	replicasAsOf := asOf
	if age := reply.GetReplicasAgeMs(); age > 0 {
		replicasAsOf = received.Add(-time.Duration(age)*time.Millisecond - transit)
	}
	if refreshed && replicasAsOf.Before(sentAt) {
		replicasAsOf = sentAt
	}
	d.mu.Lock()
	d.noteAdvertisedConfig(reply.GetConfigRevision(), reply.GetConfigVersion(), host)
	d.receiveEvacuations(reply.GetEvacuations())
	d.mu.Unlock()
	if age := received.Sub(asOf); age < 0 || age > d.boundFraction(staleFraction) {
		d.hostBackoff.Add(host, failureAvoidTime)
		d.log.Info("peer's view is too old", zap.String("peer", host), zap.Duration("age", age))
		return false
	}
	if !d.applyChanges(host, reply, asOf, replicasAsOf, received.Add(-transit)) {
		periodic.Sleep(ctx, minAgeGain) // or the peer would send the same again
	}
	return true
}

// changesRequest describes what this host knows. A configuration that it knows of but is
// still fetching does not count as a change, and the age sent is that of the replicas:
// otherwise replies would come at once, again and again.
func (d *Discovery) changesRequest(now time.Time, wait time.Duration) *wire.NewsRequest {
	d.mu.Lock()
	defer d.mu.Unlock()
	v := d.View()
	return &wire.NewsRequest{
		ConfigRevision: max(v.revision, d.advertised.revision, d.rejectedRevision, d.ignoredRevision), ConfigVersion: max(v.version(), d.advertised.version), ReplicaBuckets: v.Replicas.Digest()[:], WaitMs: uint32(wait.Milliseconds()),
		AgeMs: min(now.Sub(v.replicasAsOf), unknownAge).Milliseconds(), EvacuationsRevision: v.Evacuations.Revision, AcceptsChanges: true,
		HistoryMs: d.knownHistory(v),
	}
}

// applyChanges applies another host's reply, sent at a time or later, whose replicas and whose
// configuration are as of the given times. It returns false if it did not apply the replicas, or not
// all of them, since this host knows more.
func (d *Discovery) applyChanges(host string, reply *wire.NewsReply, asOf, replicasAsOf, sentAt time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := *d.View()
	// The checked revision set below may lie after changes that the peer has missed.
	d.evacuationsIncomplete = !reply.GetEvacuations().GetComplete()
	if next.hasConfigOf(reply) && asOf.After(next.configAsOf) {
		next.configAsOf = asOf
		if checked := reply.GetCheckedRevision(); checked > d.checkedRevisions.oldest() {
			d.checkedRevisions = checkedRevisions{checked}
		}
	}
	if replicasAsOf.Before(next.replicasAsOf) {
		d.publish(&next)
		return false
	}
	next.Source = host
	known := d.knownPosition()
	newEra := known > 0 && position.Era(reply.GetReplicasRevision()) > position.Era(known)
	if newEra {
		d.registry.StoreRestored(clock.Now()) // for lists of the copy by this host
	}
	d.listing = nil
	replicas := replicasWith(d.registry.Replicas(), reply)
	keptKnown := d.registry.ReplaceFromPeer(replicasAsOf, replicas)
	complete := replicas.Digest().Sum() == reply.GetReplicasHash()
	d.versionsReceived(host, reply, replicasAsOf, sentAt, complete, newEra)
	if complete && replicasAsOf.After(next.replicasAsOf) {
		// All changes have been received.
		next.replicasAsOf, next.replicasRevision = replicasAsOf, reply.GetReplicasRevision()
	}
	d.publish(&next)
	return !keptKnown
}

// hasConfigOf reports whether a view's configuration is at least as new as that of the peer
// that sent a reply.
func (v *View) hasConfigOf(reply *wire.NewsReply) bool {
	version := reply.GetConfigVersion()
	return reply.GetConfigRevision() <= v.revision && version <= v.version() || version > 0 && version < v.version()
}

// replicasWith returns the known replicas with the changes of a reply.
func replicasWith(known *catalog.ReplicaSet, reply *wire.NewsReply) *catalog.ReplicaSet {
	put, removed := replicasOf(reply.GetChanged()), reply.GetRemoved()
	for _, b := range reply.GetBuckets() {
		listed := map[string]bool{}
		for _, r := range b.GetReplicas() {
			listed[r.GetId()] = true
		}
		for r := range known.Bucket(int(b.GetIndex() % bucket.Count)) {
			if !listed[r.ID] {
				removed = append(removed, r.ID)
			}
		}
		put = append(put, replicasOf(b.GetReplicas())...)
	}
	next, _ := known.With(put, removed)
	return next
}

// unknownAge is the age that stands for no view, or for a view that must not be relied on.
const unknownAge = time.Hour

func replicasOf(in []*wire.NewsReplica) []catalog.Replica {
	out := make([]catalog.Replica, 0, len(in))
	for _, r := range in {
		out = append(out, catalog.Replica{
			ID: r.GetId(), Service: r.GetService(), Address: r.GetAddress(), FailureDomain: r.GetFailureDomain(),
			Concurrency: int(r.GetConcurrency()), Draining: r.GetDraining(), Cold: r.GetCold(), Version: r.GetVersion(),
		})
	}
	return out
}

// registerChanges registers the method by which peers request changes.
func (d *Discovery) registerChanges(mux *peer.Mux) {
	peer.Handle(mux, methodChanges, func(ctx context.Context, _ peer.Sender, req *wire.NewsRequest) (*wire.NewsReply, error) {
		return d.serveChanges(ctx, req)
	})
}

// errNoView is returned while this host has no complete view.
var errNoView = errors.New("discovery: no view yet")

// serveChanges answers a peer's request for changes: at once if there are any, otherwise
// as soon as this host's view is more recent than the peer's, and at the latest after the
// requested wait.
func (d *Discovery) serveChanges(ctx context.Context, req *wire.NewsRequest) (*wire.NewsReply, error) {
	receivedAt := clock.Now()
	d.lastPeerRequest.Store(clock.Nanos())
	requesterAsOf := receivedAt.Add(-time.Duration(req.GetAgeMs()) * time.Millisecond)
	timer := clock.NewTimer(time.Duration(req.GetWaitMs()) * time.Millisecond)
	defer timer.Stop()
	for waiting := true; waiting; {
		d.mu.Lock()
		changed := d.viewChanged
		d.mu.Unlock()
		v := d.View()
		if !v.complete() && !d.configMissing.Load() && req.GetAgeMs() < unknownAge.Milliseconds() {
			return nil, errNoView // the requester has a view, and better peers
		}
		if v.complete() && (d.cannotRefresh(v) || d.hasChangesFor(v, req, requesterAsOf)) {
			break
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-ctx.Done():
			waiting = false
		}
	}
	if !d.View().complete() {
		return nil, errNoView
	}
	return d.changesReply(req, receivedAt), nil
}

// hasChangesFor reports whether a view contains anything that the requester's view, as of
// requesterAsOf, does not.
func (d *Discovery) hasChangesFor(v *View, req *wire.NewsRequest, requesterAsOf time.Time) bool {
	// Daemons that do not send a version know a configuration by its position only.
	newerVersion := v.version() > req.GetConfigVersion() && (req.GetConfigVersion() > 0 || req.GetConfigRevision() == 0)
	return d.advertisableRevision(v) > req.GetConfigRevision() || newerVersion || v.Evacuations.Revision > req.GetEvacuationsRevision() ||
		!v.Replicas.Digest().Equal(req.GetReplicaBuckets()) || v.AsOf.Sub(requesterAsOf) > minAgeGain
}

// cannotRefresh reports whether this host has lost the store and its view is too old for
// peers or depends on them. There will be no more recent view soon, so a requester is
// answered at once and loses no time.
func (d *Discovery) cannotRefresh(v *View) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.replicaReadFailed && clock.Since(v.AsOf) > d.boundFraction(staleFraction) || d.dependsOnPeers()
}

// dependsOnPeers reports whether this host should read the store for others, cannot, and
// has its view from peers. If those peers relied on it in turn, no host would read the
// store. The caller holds d.mu.
func (d *Discovery) dependsOnPeers() bool {
	return d.replicaReadFailed && d.source == d.cfg.Self && d.View().Source != sourceStore
}

// advertisableRevision returns the newest configuration that peers may fetch here.
func (d *Discovery) advertisableRevision(v *View) uint64 {
	return max(v.revision, d.relayedRevision.Load())
}

// minAgeGain is how much more recent a view must be to be worth a reply: less than the
// interval of reads, but longer than a call takes.
const minAgeGain = 100 * time.Millisecond

// changesReply returns what this host knows and the requester does not.
func (d *Discovery) changesReply(req *wire.NewsRequest, receivedAt time.Time) *wire.NewsReply {
	d.mu.Lock()
	defer d.mu.Unlock()
	v := d.View()
	now := clock.Now()
	reply := &wire.NewsReply{
		AgeMs: now.Sub(v.AsOf).Milliseconds() + 1, WaitedMs: uint32(now.Sub(receivedAt).Milliseconds()),
		ConfigRevision: d.advertisableRevision(v), ConfigVersion: v.version(), CheckedRevision: d.checkedRevisions.oldest(), ReplicasHash: v.Replicas.Digest().Sum(), ReplicasRevision: v.replicasRevision,
		ReplicasAgeMs: uint32(min(now.Sub(v.replicasAsOf), unknownAge).Milliseconds()) + 1, Evacuations: d.evacuationsReply(req.GetEvacuationsRevision()),
		Versions: d.versionsReply(v, now, receivedAt.Add(-time.Duration(req.GetAgeMs())*time.Millisecond), req.GetHistoryMs()),
	}
	if d.registry.RetainsLapsed() || d.dependsOnPeers() {
		// The requester may have seen replicas removed while this host was disconnected.
		reply.AgeMs, reply.ReplicasAgeMs = unknownAge.Milliseconds(), uint32(unknownAge.Milliseconds())
	}
	d.addReplicaChanges(reply, v, req)
	return reply
}

// maxReplyBytes limits the replicas in one reply to some 350, or to one bucket if that has
// more. Eight hosts that are answered at once over a link of 10 Mbit/s then wait 0.2 s. The
// next reply contains the rest.
const maxReplyBytes = 32 << 10

// addReplicaChanges adds to a reply the replicas that differ from the requester's, up to
// maxReplyBytes: the changes in a bucket if the requester has a state of it that this host
// had recently, otherwise all replicas of the bucket. The caller holds d.mu.
func (d *Discovery) addReplicaChanges(reply *wire.NewsReply, v *View, req *wire.NewsRequest) {
	requesterDigest, size := req.GetReplicaBuckets(), 0
	for _, i := range v.Replicas.Digest().Differing(requesterDigest, 0) {
		if req.GetAcceptsChanges() {
			if old := d.history.find(i, requesterDigest); old != nil {
				if size += addBucketChanges(reply, old.DiffBucket(v.Replicas, i)); size > maxReplyBytes {
					return
				}
				continue
			}
		}
		b := &wire.NewsBucket{Index: uint32(i)}
		for r := range v.Replicas.Bucket(i) {
			b.Replicas = append(b.Replicas, toWire(r))
		}
		if size += proto.Size(b); size > maxReplyBytes && size > proto.Size(b) {
			return
		}
		reply.Buckets = append(reply.Buckets, b)
	}
}

// addBucketChanges adds changed and removed replicas to a reply and returns their size in
// bytes.
func addBucketChanges(reply *wire.NewsReply, changes []catalog.ReplicaChange) (size int) {
	for _, c := range changes {
		if c.New == nil {
			reply.Removed = append(reply.Removed, c.Old.ID)
			size += len(c.Old.ID)
			continue
		}
		changed := toWire(c.New)
		reply.Changed = append(reply.Changed, changed)
		size += proto.Size(changed)
	}
	return size
}

func toWire(r *catalog.Replica) *wire.NewsReplica {
	return &wire.NewsReplica{
		Id: r.ID, Service: r.Service, Address: r.Address, FailureDomain: r.FailureDomain,
		Concurrency: uint32(r.Concurrency), Draining: r.Draining, Cold: r.Cold, Version: r.Version,
	}
}
