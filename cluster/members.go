package cluster

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/wheatseam/wheatseam/core/member"
	"github.com/wheatseam/wheatseam/core/rollout"
	"github.com/wheatseam/wheatseam/peer"
	"github.com/wheatseam/wheatseam/wire"
)

// The methods between daemons.
const (
	methodPing        = "member.ping"
	methodPingRequest = "member.ping_request"
	methodRelayAck    = "member.relay_ack"
	methodSync        = "member.sync"
	methodPush        = "member.push"
	methodManifest    = "rollout.manifest"
	methodParts       = "rollout.parts"
)

// callTimeout bounds one call of membership. A probe is long judged by then.
const callTimeout = 2 * time.Second

// memberLoop steps the membership machine.
type memberLoop struct {
	c *Cluster
	m *member.Machine
	q *queue
	// leaving is what was last passed to the subscribers.
	leaving []string
	// published is when the snapshot was last renewed.
	published time.Time
	// changed says that something in the snapshot may have changed.
	changed bool
}

// publishInterval is how often the snapshot is renewed without a change, for
// the times in it.
const publishInterval = time.Second

func newMemberLoop(c *Cluster, m *member.Machine) *memberLoop {
	return &memberLoop{c: c, m: m, q: newQueue()}
}

func (l *memberLoop) run(ctx context.Context) {
	l.q.run(ctx, member.TickInterval, func() { l.step(member.Tick{}) })
}

// post queues an event.
func (l *memberLoop) post(e member.Event) { l.q.add(func() { l.step(e) }) }

// inspect runs f on the machine, waiting at most until ctx ends.
func (l *memberLoop) inspect(ctx context.Context, f func(*member.Machine)) {
	l.q.inspect(ctx, func() { f(l.m) })
}

// step passes an event and carries out the actions.
func (l *memberLoop) step(e member.Event) {
	for _, a := range l.m.Step(time.Now(), e) {
		l.perform(a)
	}
	if _, ok := e.(member.Configured); ok {
		l.changed = true
	}
	l.publish()
}

// ask passes a peer's message and returns the machine's answer to it.
func (l *memberLoop) ask(ctx context.Context, from string, msg proto.Message, isAnswer func(proto.Message) bool) (proto.Message, error) {
	answers := make(chan proto.Message, 1)
	l.q.add(func() {
		for _, a := range l.m.Step(time.Now(), member.Received{From: from, Msg: msg}) {
			if s, ok := a.(member.Send); ok && s.To == from && isAnswer(s.Msg) {
				answers <- s.Msg
				continue
			}
			l.perform(a)
		}
		l.publish()
	})
	select {
	case answer := <-answers:
		return answer, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// perform carries out one action.
func (l *memberLoop) perform(action member.Action) {
	log := l.c.log
	l.changed = l.changed || changesView(action)
	switch a := action.(type) {
	case member.Send:
		l.send(a)
	case member.SlotHeard:
		l.slotHeard(a)
	case member.Changed:
		log.Info("member changed", zap.String("peer", a.Member.Host.Name), zap.Stringer("state", a.Member.State),
			zap.Uint64("incarnation", a.Member.Incarnation))
		for _, f := range l.c.onMember {
			f(a.Member)
		}
	case member.UpstreamChanged:
		log.Info("upstream leaving", zap.String("upstream", a.Name), zap.Bool("leaving", a.Leaving))
	case member.Freshness:
		log.Info("views renewed", zap.Bool("fresh", a.Fresh))
		if !a.Fresh {
			l.c.rollouts.post(rollout.Woke{})
		}
	case member.SkewChanged:
		log.Warn("clock against the peers' median", zap.Bool("skewed", a.Skewed), zap.Duration("offset", a.Offset))
	case member.Superseded:
		log.Error("a later process of this host lives", zap.Uint64("incarnation", a.By))
	case member.Refused:
		log.Warn("membership message refused", zap.String("peer", a.From), zap.String("reason", a.Reason))
	}
}

// slotHeard keeps an extension's value, or hands the bundle's mark over.
func (l *memberLoop) slotHeard(a member.SlotHeard) {
	if a.ID != member.SlotBundle {
		l.c.slots.put(a, time.Now())
		return
	}
	mark := &wire.BundleMark{}
	if err := proto.Unmarshal(a.Value, mark); err != nil {
		l.c.log.Warn("bundle mark unreadable", zap.String("peer", a.Host), zap.Error(err))
		return
	}
	l.c.rollouts.post(rollout.PeerHeard{Host: a.Host, Mark: mark, Solicited: a.Solicited})
}

// changesView says whether an action may change the snapshot.
func changesView(a member.Action) bool {
	switch a.(type) {
	case member.Send, member.SlotHeard, member.Refused:
		return false
	}
	return true
}

// publish renews the snapshot when something changed.
func (l *memberLoop) publish() {
	if !l.changed && time.Since(l.published) < publishInterval {
		return
	}
	l.changed, l.published = false, time.Now()
	old := l.c.view.Load()
	next := &memberView{
		members: l.m.Members(), neighbours: l.m.Neighbours(), living: l.m.Living(), leaving: l.m.LeavingUpstreams(),
		fresh: l.m.Fresh(), skewed: l.m.Skewed(), superseded: l.m.Superseded(),
	}
	l.c.view.Store(next)
	if next.living != old.living || !slices.Equal(next.neighbours, old.neighbours) {
		l.c.rollouts.post(rollout.PeersChanged{Neighbours: next.neighbours, Living: next.living})
		l.c.slots.retain(next.members)
	}
	if !slices.Equal(next.leaving, l.leaving) {
		l.leaving = next.leaving
		for _, f := range l.c.onLeaving {
			f(next.leaving)
		}
	}
}

// send calls a peer and feeds back the answer or the failure.
func (l *memberLoop) send(s member.Send) {
	method, answer := methodOf(s.Msg)
	l.c.call(s.To, method, s.Msg, answer, callTimeout, func(err error) {
		switch {
		case err != nil:
			l.post(member.Failed(s))
		case proto.Size(answer) > 0:
			l.post(member.Received{From: s.To, Msg: answer})
		}
	})
}

// methodOf returns the method that carries a message and a place for its
// answer.
func methodOf(msg proto.Message) (method string, answer proto.Message) {
	switch msg.(type) {
	case *wire.MemberPing:
		return methodPing, &wire.MemberAck{}
	case *wire.MemberPingRequest:
		return methodPingRequest, &wire.MemberNone{}
	case *wire.MemberRelayAck:
		return methodRelayAck, &wire.MemberNone{}
	case *wire.MemberSync:
		return methodSync, &wire.MemberSyncReply{}
	default:
		return methodPush, &wire.MemberNone{}
	}
}

// errBusy says that there is no place for another call.
var errBusy = errors.New("cluster: too many calls in flight")

// call calls a peer in a goroutine of its own; done is called once.
func (c *Cluster) call(host, method string, req, resp proto.Message, timeout time.Duration, done func(error)) {
	select {
	case c.calls <- struct{}{}:
	default:
		done(errBusy)
		return
	}
	go func() {
		defer func() { <-c.calls }()
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		done(c.caller.Call(ctx, host, method, req, resp))
	}()
}

// handle registers the methods.
func (c *Cluster) handle(mux *peer.Mux) {
	peer.Handle(mux, methodPing, func(ctx context.Context, from peer.Sender, req *wire.MemberPing) (*wire.MemberAck, error) {
		return askFor[*wire.MemberAck](ctx, c.members, from, req)
	})
	peer.Handle(mux, methodSync, func(ctx context.Context, from peer.Sender, req *wire.MemberSync) (*wire.MemberSyncReply, error) {
		return askFor[*wire.MemberSyncReply](ctx, c.members, from, req)
	})
	handleOneWay[*wire.MemberPingRequest](c, mux, methodPingRequest)
	handleOneWay[*wire.MemberRelayAck](c, mux, methodRelayAck)
	handleOneWay[*wire.MemberPush](c, mux, methodPush)
	c.rollouts.handle(mux)
}

// askFor asks the membership loop for the answer of type A.
func askFor[A proto.Message](ctx context.Context, l *memberLoop, from peer.Sender, req proto.Message) (A, error) {
	isAnswer := func(m proto.Message) bool { _, ok := m.(A); return ok }
	answer, err := l.ask(ctx, from.Host, req, isAnswer)
	if err != nil {
		var none A
		return none, err
	}
	return answer.(A), nil
}

// handleOneWay registers a method whose answer is empty.
func handleOneWay[Req proto.Message](c *Cluster, mux *peer.Mux, method string) {
	peer.Handle(mux, method, func(_ context.Context, from peer.Sender, req Req) (*wire.MemberNone, error) {
		c.members.post(member.Received{From: from.Host, Msg: req})
		return &wire.MemberNone{}, nil
	})
}
