package discovery

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/wheatseam/wheatseam/core/bucket"
	"github.com/wheatseam/wheatseam/core/catalog"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/peer"
	"github.com/wheatseam/wheatseam/wire"
)

const methodNews = "discovery.changes"

// askFor asks a host for news, which it may wait for, and says whether its answer was
// fresh enough.
func (d *Discovery) askFor(ctx context.Context, host string, wait time.Duration) bool {
	asked := clock.Now()
	req := d.question(asked, wait)
	reply := &wire.NewsReply{}
	call, cancel := clock.WithTimeout(ctx, wait+newsGrace)
	defer cancel()
	if err := d.cfg.Caller.Call(call, host, methodNews, req, reply); err != nil {
		if clock.Since(asked) < d.share(newsWait) {
			d.avoided.Add(host, avoidStarting)
		} else {
			d.avoided.Add(host, avoidFor)
		}
		d.log.Info("no news", zap.String("peer", host), zap.Error(err))
		return false
	}
	d.news.Add(1)
	received := clock.Now()
	// The answer was on its way for no longer than the call took without the
	// wait at the other host.
	transit := max(0, received.Sub(asked)-time.Duration(reply.GetWaitedMs())*time.Millisecond)
	asOf := received.Add(-time.Duration(reply.GetAgeMs())*time.Millisecond - transit)
	d.mu.Lock()
	d.want(reply.GetConfigRevision(), host)
	d.hearEvacuations(reply.GetEvacuations())
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
		ConfigRevision: max(v.revision, d.wanted.revision), ReplicaBuckets: v.digest[:], WaitMs: uint32(wait.Milliseconds()),
		AgeMs: min(now.Sub(v.replicasAsOf), unknownAge).Milliseconds(), EvacuationsRevision: v.Evacuations.Revision,
	}
}

// take puts another host's news in force.
func (d *Discovery) take(host string, reply *wire.NewsReply, asOf time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := *d.View()
	next.Source = host
	// The mark below may lie after changes that a fellow has missed.
	d.evacuationsPartial = !reply.GetEvacuations().GetComplete()
	if reply.GetConfigRevision() <= next.revision && asOf.After(next.configAsOf) {
		next.configAsOf = asOf
		if checked := reply.GetCheckedRevision(); checked > d.marks.oldest() {
			d.marks = marks{checked}
		}
	}
	digest := next.digest
	if buckets := reply.GetBuckets(); len(buckets) > 0 {
		replicas := patched(next.Replicas, buckets)
		d.registry.ReplaceFromPeer(asOf, replicas)
		digest = digestOf(d.registry.Replicas())
	} else {
		d.registry.ReplaceFromPeer(asOf, nil)
	}
	if digest.Sum() == reply.GetReplicasHash() && asOf.After(next.replicasAsOf) {
		next.replicasAsOf = asOf // all buckets are there
	}
	d.publish(&next)
}

// patched returns the replicas with some buckets replaced.
func patched(known map[string]catalog.Replica, buckets []*wire.NewsBucket) []catalog.Replica {
	var told [bucket.Count]bool
	next := []catalog.Replica{}
	for _, b := range buckets {
		told[b.GetIndex()%bucket.Count] = true
		next = append(next, replicasOf(b.GetReplicas())...)
	}
	for id, r := range known {
		if !told[bucket.Of(id)] {
			next = append(next, r)
		}
	}
	return next
}

// unknownAge stands for the age of no view at all.
const unknownAge = time.Hour

func replicasOf(in []*wire.NewsReplica) []catalog.Replica {
	out := make([]catalog.Replica, 0, len(in))
	for _, r := range in {
		out = append(out, catalog.Replica{
			ID: r.GetId(), Service: r.GetService(), Address: r.GetAddress(), FailureDomain: r.GetFailureDomain(),
			Concurrency: int(r.GetConcurrency()), Draining: r.GetDraining(), Cold: r.GetCold(),
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
	asked := clock.Now()
	d.askedAt.Store(clock.Nanos())
	theirs := asked.Add(-time.Duration(req.GetAgeMs()) * time.Millisecond)
	timer := clock.NewTimer(time.Duration(req.GetWaitMs()) * time.Millisecond)
	defer timer.Stop()
	for waiting := true; waiting; {
		d.mu.Lock()
		changed := d.changed
		d.mu.Unlock()
		v := d.View()
		if !v.Ready() && !d.unwritten.Load() {
			return nil, errNoView
		}
		if v.Ready() && (d.cutOff(v) || d.hasNews(v, req, theirs)) {
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
	if !d.View().Ready() {
		return nil, errNoView
	}
	return d.answer(req, asked), nil
}

// hasNews says whether a view has anything that the asker's, as of theirs, has not.
func (d *Discovery) hasNews(v *View, req *wire.NewsRequest, theirs time.Time) bool {
	return d.named(v) > req.GetConfigRevision() || v.Evacuations.Revision > req.GetEvacuationsRevision() ||
		!v.digest.Equal(req.GetReplicaBuckets()) || v.AsOf.Sub(theirs) > youngerBy
}

// cutOff says that this host has lost the store, and that its view is too old to
// be of use to fellows. There will be nothing younger soon, and an asker that is
// told so at once loses no time.
func (d *Discovery) cutOff(v *View) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lost && clock.Since(v.AsOf) > d.share(staleAfter) || d.leansOnFellows()
}

// leansOnFellows says that this host should read the store for others, cannot, and
// has what it knows from fellows: if those asked it again, nobody would read. The
// lock is held.
func (d *Discovery) leansOnFellows() bool {
	return d.lost && d.source == d.cfg.Self && d.View().Source != sourceStore
}

// named is the newest configuration that fellows may fetch here.
func (d *Discovery) named(v *View) uint64 { return max(v.revision, d.passing.Load()) }

// youngerBy is how much younger a view must be to be worth an answer: less than
// the interval of reads, more than a call takes.
const youngerBy = 100 * time.Millisecond

// answer is what this host knows beyond the other.
func (d *Discovery) answer(req *wire.NewsRequest, asked time.Time) *wire.NewsReply {
	d.mu.Lock()
	defer d.mu.Unlock()
	v := d.View()
	now := clock.Now()
	reply := &wire.NewsReply{
		AgeMs: now.Sub(v.AsOf).Milliseconds() + 1, WaitedMs: uint32(now.Sub(asked).Milliseconds()),
		ConfigRevision: d.named(v), CheckedRevision: d.marks.oldest(), ReplicasHash: v.digest.Sum(),
		Evacuations: d.tellEvacuations(v, req.GetEvacuationsRevision()),
	}
	if d.registry.RetainsLapsed() || d.leansOnFellows() {
		// The asker may have seen replicas go while this host was cut off.
		reply.AgeMs = unknownAge.Milliseconds()
	}
	reply.Buckets = differing(v, req.GetReplicaBuckets())
	return reply
}

// maxNewsBytes bounds the replicas of one answer, some 350: eight hosts that are
// answered at once behind a link of 10 Mbit/s wait 0.2 s. The rest comes with
// the next answer.
const maxNewsBytes = 32 << 10

// differing returns buckets of a view whose replicas differ from the asker's.
func differing(v *View, theirs []uint64) []*wire.NewsBucket {
	indices := v.digest.Differing(theirs, 0)
	if len(indices) == 0 {
		return nil
	}
	byIndex := make(map[int]*wire.NewsBucket, len(indices))
	for _, i := range indices {
		byIndex[i] = &wire.NewsBucket{Index: uint32(i)}
	}
	for id, r := range v.Replicas {
		if b := byIndex[bucket.Of(id)]; b != nil {
			b.Replicas = append(b.Replicas, toWire(r))
		}
	}
	var buckets []*wire.NewsBucket
	size := 0
	for _, i := range indices {
		if size += proto.Size(byIndex[i]); size > maxNewsBytes && len(buckets) > 0 {
			break
		}
		buckets = append(buckets, byIndex[i])
	}
	return buckets
}

func toWire(r catalog.Replica) *wire.NewsReplica {
	return &wire.NewsReplica{
		Id: r.ID, Service: r.Service, Address: r.Address, FailureDomain: r.FailureDomain,
		Concurrency: uint32(r.Concurrency), Draining: r.Draining, Cold: r.Cold,
	}
}
