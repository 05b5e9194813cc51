package cluster

import (
	"context"
	"crypto/ed25519"
	"errors"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/core/member"
	"github.com/wheatseam/wheatseam/core/rollout"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/internal/workqueue"
	"github.com/wheatseam/wheatseam/peer"
	"github.com/wheatseam/wheatseam/platform"
	"github.com/wheatseam/wheatseam/wire"
)

// rolloutTick is the time between two ticks of the rollout machine.
const rolloutTick = 100 * time.Millisecond

// errNoBundle answers a peer that asks for a manifest too early.
var errNoBundle = errors.New("cluster: no bundle in force")

// NewCodec reads the bundles signed by one of the keys.
func NewCodec(keys []ed25519.PublicKey) rollout.Codec {
	return rollout.Codec{
		Open:           func(signed []byte) (*bundle.Bundle, error) { return bundle.Open(signed, keys) },
		Split:          split,
		CheckSuccessor: bundle.CheckSuccessor,
	}
}

// split returns the contents of a document's parts.
func split(signed []byte) [][]byte {
	var out [][]byte
	for _, p := range bundle.Split(signed) {
		out = append(out, p.Content)
	}
	return out
}

// rolloutLoop steps the rollout machine.
type rolloutLoop struct {
	c *Cluster
	m *rollout.Machine
	q *workqueue.Queue
	// ctx ends with the loop; reads of the platform hang on it.
	ctx context.Context
}

func newRolloutLoop(c *Cluster, m *rollout.Machine) *rolloutLoop {
	return &rolloutLoop{c: c, m: m, q: workqueue.New(), ctx: context.Background()}
}

func (l *rolloutLoop) run(ctx context.Context) {
	l.ctx = ctx
	l.q.Run(ctx, rolloutTick, func() { l.step(rollout.Tick{}) })
}

// post queues an event.
func (l *rolloutLoop) post(e rollout.Event) { l.q.Add(func() { l.step(e) }) }

// inspect runs f on the machine, waiting at most until ctx ends.
func (l *rolloutLoop) inspect(ctx context.Context, f func(*rollout.Machine)) {
	l.q.Inspect(ctx, func() { f(l.m) })
}

// step passes an event and carries out the actions.
func (l *rolloutLoop) step(e rollout.Event) {
	for _, a := range l.m.Step(clock.Now(), e) {
		l.perform(a)
	}
	l.c.ready.Store(l.m.Ready())
}

// perform carries out one action.
func (l *rolloutLoop) perform(action rollout.Action) {
	log := l.c.log
	switch a := action.(type) {
	case rollout.PollService:
		go l.read(a.After)
	case rollout.FetchManifest:
		manifest := &wire.BundleManifest{}
		l.fetch(a.From, methodManifest, &wire.BundleManifestRequest{}, manifest, rollout.ManifestArrived{From: a.From, Manifest: manifest})
	case rollout.FetchParts:
		parts := &wire.BundleParts{}
		l.fetch(a.From, methodParts, a.Request, parts, rollout.PartsArrived{From: a.From, Parts: parts})
	case rollout.Adopt:
		l.adopt(a)
	case rollout.Announce:
		l.announce(a)
	case rollout.Rejected:
		log.Error("bundle rejected", zap.Stringer("source", a.Source), zap.Uint64("version", a.Version), hex("digest", a.Digest), zap.Error(a.Err))
	case rollout.Conflict:
		log.Error("bundle conflict", zap.Stringer("source", a.Source), zap.Uint64("version", a.Version),
			hex("in_force", a.ActiveDigest), hex("other", a.OtherDigest))
	case rollout.ServiceStale:
		log.Warn("configuration service stale", zap.Uint64("served", a.ServedVersion), zap.Uint64("in_force", a.ActiveVersion))
	case rollout.BecameReady:
		log.Info("configuration ready", zap.Bool("alone", a.Unconfirmed))
	}
}

// adopt puts a bundle into force: subscribers first, then whoever asks.
func (l *rolloutLoop) adopt(a rollout.Adopt) {
	b := a.Active.Bundle
	l.c.log.Info("bundle adopted", zap.Uint64("version", b.Version), zap.Stringer("source", a.Source))
	l.c.hosts.bundle(b)
	for _, f := range l.c.onBundle {
		f(b)
	}
	l.c.inForce.Store(a.Active)
	l.c.members.Post(configuredBy(b))
}

// configuredBy tells membership what a bundle names.
func configuredBy(b *bundle.Bundle) member.Configured {
	e := member.Configured{Upstreams: []string{}, MaxClockSkew: b.Claims.MaxClockSkew}
	for _, h := range b.Hosts {
		e.Hosts = append(e.Hosts, member.Host{Name: h.Name, FailureDomain: h.FailureDomain})
	}
	for _, p := range b.Pools {
		for _, u := range p.Upstreams {
			e.Upstreams = append(e.Upstreams, u.Name)
		}
	}
	return e
}

// announce puts the mark on the heartbeats.
func (l *rolloutLoop) announce(a rollout.Announce) {
	raw, err := proto.Marshal(a.Mark)
	if err != nil {
		l.c.log.Error("bundle mark", zap.Error(err))
		return
	}
	l.c.SetSlot(member.SlotBundle, raw, a.Urgent)
}

// read reads the configuration service.
func (l *rolloutLoop) read(after uint64) {
	ctx, cancel := clock.WithTimeout(l.ctx, l.c.cfg.Rollout.PollTimeout)
	defer cancel()
	v, err := l.c.cfg.Platform.ReadBundle(ctx, after)
	switch {
	case err == nil:
		l.post(rollout.ServiceAnswered{Revision: v.Revision, Signed: v.Body})
	case errors.Is(err, platform.ErrUnchanged):
		l.post(rollout.ServiceUnchanged{})
	default:
		l.c.log.Warn("configuration service", zap.Error(err))
		l.post(rollout.ServiceFailed{Err: err})
	}
}

// fetch calls a peer; resp is filled before arrived is posted.
func (l *rolloutLoop) fetch(from, method string, req, resp proto.Message, arrived rollout.Event) {
	l.c.calls.Go(from, method, req, resp, l.c.cfg.Rollout.FetchTimeout, func(err error) {
		if err != nil {
			l.c.log.Info("bundle not fetched", zap.String("peer", from), zap.String("method", method), zap.Error(err))
			l.post(rollout.FetchFailed{From: from, Err: err})
			return
		}
		l.post(arrived)
	})
}

// handle registers the methods; they read the snapshot and need no loop.
func (l *rolloutLoop) handle(mux *peer.Mux) {
	peer.Handle(mux, methodManifest, func(context.Context, peer.Sender, *wire.BundleManifestRequest) (*wire.BundleManifest, error) {
		if f := l.c.inForce.Load(); f != nil {
			return f.Manifest(), nil
		}
		return nil, errNoBundle
	})
	peer.Handle(mux, methodParts, func(_ context.Context, _ peer.Sender, req *wire.BundlePartsRequest) (*wire.BundleParts, error) {
		if f := l.c.inForce.Load(); f != nil {
			return f.Parts(req), nil
		}
		return nil, errNoBundle
	})
}
