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

// rolloutTick is the interval between two ticks of the rollout machine.
const rolloutTick = 100 * time.Millisecond

// errNoBundle is returned to a peer that requests a manifest or parts before this
// daemon has a bundle.
var errNoBundle = errors.New("cluster: no bundle in force")

// NewCodec returns a codec for bundles that are signed by one of the keys.
func NewCodec(keys []ed25519.PublicKey) rollout.Codec {
	return rollout.Codec{
		Open:           func(signed []byte) (*bundle.Bundle, error) { return bundle.VerifyAndParse(signed, keys) },
		Split:          splitParts,
		CheckSuccessor: bundle.CheckSuccessor,
	}
}

// splitParts returns the contents of the parts of a signed document.
func splitParts(signed []byte) [][]byte {
	var out [][]byte
	for _, p := range bundle.Split(signed) {
		out = append(out, p.Content)
	}
	return out
}

// rolloutLoop runs the rollout state machine.
type rolloutLoop struct {
	cluster *Cluster
	machine *rollout.Machine
	queue   *workqueue.Queue
	// ctx ends with the loop. Reads of the configuration service are bound to it.
	ctx context.Context
}

func newRolloutLoop(c *Cluster, m *rollout.Machine) *rolloutLoop {
	return &rolloutLoop{cluster: c, machine: m, queue: workqueue.New(), ctx: context.Background()}
}

func (l *rolloutLoop) run(ctx context.Context) {
	l.ctx = ctx
	l.queue.Run(ctx, rolloutTick, func() { l.step(rollout.Tick{}) })
}

// post queues an event.
func (l *rolloutLoop) post(e rollout.Event) { l.queue.Add(func() { l.step(e) }) }

// inspect runs f with the machine in the loop's goroutine. It waits until f has run or
// ctx ends.
func (l *rolloutLoop) inspect(ctx context.Context, f func(*rollout.Machine)) {
	l.queue.RunAndWait(ctx, func() { f(l.machine) })
}

// step passes an event to the machine and executes the resulting actions.
func (l *rolloutLoop) step(e rollout.Event) {
	for _, a := range l.machine.Step(clock.Now(), e) {
		l.execute(a)
	}
	l.cluster.ready.Store(l.machine.Ready())
}

func (l *rolloutLoop) execute(action rollout.Action) {
	log := l.cluster.log
	switch a := action.(type) {
	case rollout.PollService:
		go l.readConfigService(a.After)
	case rollout.FetchManifest:
		manifest := &wire.BundleManifest{}
		l.fetchFromPeer(a.From, methodManifest, &wire.BundleManifestRequest{}, manifest, rollout.ManifestArrived{From: a.From, Manifest: manifest})
	case rollout.FetchParts:
		parts := &wire.BundleParts{}
		l.fetchFromPeer(a.From, methodParts, a.Request, parts, rollout.PartsArrived{From: a.From, Parts: parts})
	case rollout.Adopt:
		l.adopt(a)
	case rollout.Announce:
		l.announce(a)
	case rollout.Rejected:
		log.Error("bundle rejected", zap.Stringer("source", a.Source), zap.Uint64("version", a.Version), digestField("digest", a.Digest), zap.Error(a.Err))
	case rollout.Conflict:
		log.Error("bundle conflict", zap.Stringer("source", a.Source), zap.Uint64("version", a.Version),
			digestField("in_force", a.ActiveDigest), digestField("other", a.OtherDigest))
	case rollout.ServiceStale:
		log.Warn("configuration service serves an older version than the active one", zap.Uint64("served", a.ServedVersion), zap.Uint64("in_force", a.ActiveVersion))
	case rollout.BecameReady:
		log.Info("configuration ready", zap.Bool("alone", a.Unconfirmed))
	}
}

// adopt makes a bundle the active one. The OnBundle callbacks are called before Bundle
// returns it.
func (l *rolloutLoop) adopt(a rollout.Adopt) {
	b := a.Active.Bundle
	l.cluster.log.Info("bundle adopted", zap.Uint64("version", b.Version), zap.Stringer("source", a.Source))
	l.cluster.hosts.setBundle(b)
	for _, f := range l.cluster.onBundle {
		f(b)
	}
	l.cluster.activeBundle.Store(a.Active)
	l.cluster.members.Post(membershipConfig(b))
}

// membershipConfig returns the membership settings that follow from a bundle.
func membershipConfig(b *bundle.Bundle) member.Configured {
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

// announce puts the bundle mark into the heartbeats.
func (l *rolloutLoop) announce(a rollout.Announce) {
	raw, err := proto.Marshal(a.Mark)
	if err != nil {
		l.cluster.log.Error("cannot encode the bundle mark", zap.Error(err))
		return
	}
	l.cluster.SetSlot(member.SlotBundle, raw, a.Urgent)
}

// readConfigService reads the configuration service and posts the result.
func (l *rolloutLoop) readConfigService(after uint64) {
	ctx, cancel := clock.WithTimeout(l.ctx, l.cluster.cfg.Rollout.PollTimeout)
	defer cancel()
	v, err := l.cluster.cfg.Platform.ReadBundle(ctx, after)
	switch {
	case err == nil:
		l.post(rollout.ServiceAnswered{Revision: v.Revision, Signed: v.Body})
	case errors.Is(err, platform.ErrUnchanged):
		l.post(rollout.ServiceUnchanged{})
	default:
		l.cluster.log.Warn("reading the configuration service failed", zap.Error(err))
		l.post(rollout.ServiceFailed{Err: err})
	}
}

// fetchFromPeer calls a peer, decodes the answer into resp and posts arrived, or
// FetchFailed on an error.
func (l *rolloutLoop) fetchFromPeer(from, method string, req, resp proto.Message, arrived rollout.Event) {
	l.cluster.calls.Go(from, method, req, resp, l.cluster.cfg.Rollout.FetchTimeout, func(err error) {
		if err != nil {
			l.cluster.log.Info("fetching the bundle from a peer failed", zap.String("peer", from), zap.String("method", method), zap.Error(err))
			l.post(rollout.FetchFailed{From: from, Err: err})
			return
		}
		l.post(arrived)
	})
}

// handle registers the bundle methods. They read the snapshot of the active bundle and
// do not go through the loop.
func (l *rolloutLoop) handle(mux *peer.Mux) {
	peer.Handle(mux, methodManifest, func(context.Context, peer.Sender, *wire.BundleManifestRequest) (*wire.BundleManifest, error) {
		if f := l.cluster.activeBundle.Load(); f != nil {
			return f.Manifest(), nil
		}
		return nil, errNoBundle
	})
	peer.Handle(mux, methodParts, func(_ context.Context, _ peer.Sender, req *wire.BundlePartsRequest) (*wire.BundleParts, error) {
		if f := l.cluster.activeBundle.Load(); f != nil {
			return f.Parts(req), nil
		}
		return nil, errNoBundle
	})
}
