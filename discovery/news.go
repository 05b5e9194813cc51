package discovery

import (
	"context"
	"errors"
	"maps"
	"time"

	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/core/catalog"
	"github.com/wheatseam/wheatseam/peer"
	"github.com/wheatseam/wheatseam/wire"
)

const methodNews = "discovery.changes"

// askFor asks a host for news and says whether its answer was fresh enough.
func (d *Discovery) askFor(ctx context.Context, host string) bool {
	wait := d.share(newsWait)
	asked := time.Now()
	req := d.question(asked, wait)
	reply := &wire.NewsReply{}
	call, cancel := context.WithTimeout(ctx, wait+newsGrace)
	defer cancel()
	if err := d.cfg.Caller.Call(call, host, methodNews, req, reply); err != nil {
		if time.Since(asked) < wait {
			d.avoided.Add(host, avoidStarting)
		} else {
			d.avoided.Add(host, avoidFor)
		}
		d.log.Info("no news", zap.String("peer", host), zap.Error(err))
		return false
	}
	d.news.Add(1)
	received := time.Now()
	// The answer was on its way for no longer than the call took without the
	// wait at the other host.
	transit := max(0, received.Sub(asked)-time.Duration(reply.GetWaitedMs())*time.Millisecond)
	asOf := received.Add(-time.Duration(reply.GetAgeMs())*time.Millisecond - transit)
	d.mu.Lock()
	d.want(reply.GetConfigRevision(), host)
	d.mu.Unlock()
	if age := received.Sub(asOf); age < 0 || age > d.share(staleAfter) {
		d.avoided.Add(host, avoidFor)
		d.log.Info("news too old", zap.String("peer", host), zap.Duration("age", age))
		return false
	}
	d.take(host, reply, asOf)
	return true
}

// question is what this host knows. A configuration that it has heard of and is
// still fetching is no news, and its age is that of the replicas: an answer would
// else come at once, again and again.
func (d *Discovery) question(now time.Time, wait time.Duration) *wire.NewsRequest {
	d.mu.Lock()
	defer d.mu.Unlock()
	v := d.View()
	return &wire.NewsRequest{
		ConfigRevision: max(v.revision, d.wanted.revision), ReplicasHash: v.hash, WaitMs: uint32(wait.Milliseconds()),
		AgeMs: min(now.Sub(v.replicasAsOf), unknownAge).Milliseconds(),
	}
}

// take puts another host's news in force.
func (d *Discovery) take(host string, reply *wire.NewsReply, asOf time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := *d.View()
	next.Source = host
	if asOf.After(next.replicasAsOf) {
		next.replicasAsOf = asOf
	}
	if reply.GetConfigRevision() <= next.revision && asOf.After(next.configAsOf) {
		next.configAsOf = asOf
		if checked := reply.GetCheckedRevision(); checked > d.marks.oldest() {
			d.marks = marks{checked}
		}
	}
	switch {
	case reply.GetReplicasHash() == next.hash:
		d.registry.Adopt(asOf, nil)
	case reply.GetDelta():
		d.registry.Adopt(asOf, patched(next.Replicas, reply))
	default:
		d.registry.Adopt(asOf, replicasOf(reply.GetReplicas()))
	}
	d.publish(&next)
}

// patched returns the replicas with the changes of an answer.
func patched(known map[string]catalog.Replica, reply *wire.NewsReply) []catalog.Replica {
	next := make(map[string]catalog.Replica, len(known))
	maps.Copy(next, known)
	for _, r := range replicasOf(reply.GetReplicas()) {
		next[r.ID] = r
	}
	for _, id := range reply.GetRemoved() {
		delete(next, id)
	}
	return sorted(next)
}

// unknownAge stands for the age of no view at all.
const unknownAge = time.Hour

func replicasOf(in []*wire.NewsReplica) []catalog.Replica {
	out := make([]catalog.Replica, 0, len(in))
	for _, r := range in {
		out = append(out, catalog.Replica{
			ID: r.GetId(), Service: r.GetService(), Address: r.GetAddress(), FailureDomain: r.GetFailureDomain(),
			Concurrency: int(r.GetConcurrency()), Draining: r.GetDraining(),
		})
	}
	return out
}

// handleNews registers the method by which fellows ask for news.
func (d *Discovery) handleNews(mux *peer.Mux) {
	peer.Handle(mux, methodNews, func(ctx context.Context, _ peer.Sender, req *wire.NewsRequest) (*wire.NewsReply, error) {
		return d.tell(ctx, req)
	})
}

// errNoView says that this host has not read anything yet.
var errNoView = errors.New("discovery: no view yet")

// tell answers a host's question for news: at once when there is some, else as
// soon as this host's view is younger than the other's, at the latest after the
// wait.
func (d *Discovery) tell(ctx context.Context, req *wire.NewsRequest) (*wire.NewsReply, error) {
	asked := time.Now()
	theirs := asked.Add(-time.Duration(req.GetAgeMs()) * time.Millisecond)
	timer := time.NewTimer(time.Duration(req.GetWaitMs()) * time.Millisecond)
	defer timer.Stop()
	for waiting := true; waiting; {
		d.mu.Lock()
		changed := d.changed
		d.mu.Unlock()
		v := d.View()
		if !v.Ready() {
			return nil, errNoView
		}
		if v.revision > req.GetConfigRevision() || v.hash != req.GetReplicasHash() || v.AsOf.Sub(theirs) > youngerBy {
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
	return d.answer(req, asked), nil
}

// youngerBy is how much younger a view must be to be worth an answer: less than
// the interval of reads, more than a call takes.
const youngerBy = 100 * time.Millisecond

// answer is what this host knows beyond the other.
func (d *Discovery) answer(req *wire.NewsRequest, asked time.Time) *wire.NewsReply {
	d.mu.Lock()
	defer d.mu.Unlock()
	v := d.View()
	now := time.Now()
	reply := &wire.NewsReply{
		AgeMs: now.Sub(v.AsOf).Milliseconds() + 1, WaitedMs: uint32(now.Sub(asked).Milliseconds()),
		ConfigRevision: v.revision, CheckedRevision: d.marks.oldest(), ReplicasHash: v.hash,
	}
	if d.registry.Uncertain() {
		// The asker may have seen them go while this host was cut off.
		reply.AgeMs = unknownAge.Milliseconds()
	}
	if v.hash == req.GetReplicasHash() {
		return reply
	}
	ids, known := d.steps.since(req.GetReplicasHash())
	if !known {
		for _, r := range sorted(v.Replicas) {
			reply.Replicas = append(reply.Replicas, toWire(r))
		}
		return reply
	}
	reply.Delta = true
	for _, id := range ids {
		if r, ok := v.Replicas[id]; ok {
			reply.Replicas = append(reply.Replicas, toWire(r))
		} else {
			reply.Removed = append(reply.Removed, id)
		}
	}
	return reply
}

func toWire(r catalog.Replica) *wire.NewsReplica {
	return &wire.NewsReplica{
		Id: r.ID, Service: r.Service, Address: r.Address, FailureDomain: r.FailureDomain,
		Concurrency: uint32(r.Concurrency), Draining: r.Draining,
	}
}
