package discovery

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/core/catalog"
	"github.com/wheatseam/wheatseam/peer"
	"github.com/wheatseam/wheatseam/wire"
)

const methodNews = "discovery.news"

// askFor asks a host for news and says whether its answer was fresh enough.
func (d *Discovery) askFor(ctx context.Context, host string) bool {
	v := d.View()
	wait := d.share(newsWait)
	req := &wire.NewsRequest{ConfigRevision: v.revision, ReplicasHash: v.hash, WaitMs: uint32(wait.Milliseconds())}
	reply := &wire.NewsReply{}
	asked := time.Now()
	call, cancel := context.WithTimeout(ctx, wait+newsGrace)
	defer cancel()
	if err := d.cfg.Caller.Call(call, host, methodNews, req, reply); err != nil {
		if time.Since(asked) < wait {
			d.avoid(host, avoidStarting)
		} else {
			d.avoid(host, avoidFor)
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
	if age := received.Sub(asOf); age < 0 || age > d.share(staleAfter) {
		d.avoid(host, avoidFor)
		d.log.Info("news too old", zap.String("peer", host), zap.Duration("age", age))
		return false
	}
	d.take(host, reply, asOf)
	return true
}

// take puts another host's news in force.
func (d *Discovery) take(host string, reply *wire.NewsReply, asOf time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := *d.View()
	next.Source = host
	if asOf.After(next.AsOf) {
		next.AsOf = asOf
	}
	if len(reply.GetConfig()) > 0 {
		d.takeConfig(&next, reply.GetConfig(), reply.GetConfigRevision())
	}
	if reply.GetReplicasHash() != next.hash {
		d.registry.Adopt(asOf, replicasOf(reply.GetReplicas()))
	} else {
		d.registry.Adopt(asOf, nil)
	}
	d.publish(&next)
}

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

// handle registers the method.
func (d *Discovery) handle(mux *peer.Mux) {
	peer.Handle(mux, methodNews, func(ctx context.Context, _ peer.Sender, req *wire.NewsRequest) (*wire.NewsReply, error) {
		return d.tell(ctx, req)
	})
}

// errNoView says that this host has not read anything yet.
var errNoView = errors.New("discovery: no view yet")

// tell answers a host's question for news: at once when there is some, else
// after the wait.
func (d *Discovery) tell(ctx context.Context, req *wire.NewsRequest) (*wire.NewsReply, error) {
	asked := time.Now()
	d.mu.Lock()
	changed := d.changed
	d.mu.Unlock()
	v := d.View()
	if !v.Ready() {
		return nil, errNoView
	}
	if v.revision == req.GetConfigRevision() && v.hash == req.GetReplicasHash() {
		timer := time.NewTimer(time.Duration(req.GetWaitMs()) * time.Millisecond)
		defer timer.Stop()
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		v = d.View()
	}
	now := time.Now()
	reply := &wire.NewsReply{
		AgeMs: now.Sub(v.AsOf).Milliseconds() + 1, WaitedMs: uint32(now.Sub(asked).Milliseconds()),
		ConfigRevision: v.revision, ReplicasHash: v.hash,
	}
	if v.revision != req.GetConfigRevision() {
		reply.Config = v.raw
	}
	if v.hash != req.GetReplicasHash() {
		for _, r := range sorted(v.Replicas) {
			reply.Replicas = append(reply.Replicas, &wire.NewsReplica{
				Id: r.ID, Service: r.Service, Address: r.Address, FailureDomain: r.FailureDomain,
				Concurrency: uint32(r.Concurrency), Draining: r.Draining,
			})
		}
	}
	return reply, nil
}
