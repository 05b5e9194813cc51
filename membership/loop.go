// Package membership drives core/member in a daemon: one goroutine steps the
// machine with the real clock, carries its messages to fellow daemons and
// publishes what it believes as immutable snapshots.
package membership

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/wheatseam/wheatseam/core/member"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/internal/workqueue"
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
)

// callTimeout bounds one call of membership. A probe is long judged by then.
const callTimeout = 2 * time.Second

// Hooks are called in the loop's goroutine and must not block. Each may be nil.
type Hooks struct {
	// Slot hears the extensions' values.
	SlotReceived func(member.SlotReceived)
	// Changed hears every change of the belief about a host.
	MemberChanged func(member.Member)
	// Fresh hears whether the views are renewed since the start or last pause.
	FreshnessChanged func(bool)
	// View hears every new snapshot and the one before.
	ViewChanged func(next, old *View)
}

// View is an immutable snapshot of membership.
type View struct {
	// Members are all hosts sorted by name, this one included.
	Members    []member.Member
	Neighbours []string
	LiveCount  int
	// Leaving names the upstreams that leave, sorted.
	Leaving    []string
	Fresh      bool
	Skewed     bool
	Superseded bool
}

// Loop steps the membership machine.
type Loop struct {
	calls *CallPool
	hooks Hooks
	log   *zap.Logger
	m     *member.Machine
	q     *workqueue.Queue
	view  atomic.Pointer[View]
	// published is when the snapshot was last renewed.
	published time.Time
	// changed says that something in the snapshot may have changed.
	changed bool
}

// publishInterval is how often the snapshot is renewed without a change, for
// the times in it.
const publishInterval = time.Second

// New returns a loop that has not started and registers its methods in mux.
// The error names an extension that breaks the bounds.
func New(cfg member.Config, seed uint64, mux *peer.Mux, calls *CallPool, hooks Hooks, log *zap.Logger) (*Loop, error) {
	m, err := member.New(cfg, clock.Now(), rand.New(rand.NewPCG(seed, 1)))
	if err != nil {
		return nil, err
	}
	l := &Loop{calls: calls, hooks: hooks, log: log, m: m, q: workqueue.New()}
	l.view.Store(&View{})
	l.handle(mux)
	return l, nil
}

// View returns the newest snapshot.
func (l *Loop) View() *View { return l.view.Load() }

// Run steps the machine until ctx ends.
func (l *Loop) Run(ctx context.Context) {
	l.q.Run(ctx, member.TickInterval, func() { l.step(member.Tick{}) })
}

// Post queues an event.
func (l *Loop) Post(e member.Event) { l.q.Add(func() { l.step(e) }) }

// PostIf queues an event that counts only if cond holds when its turn comes.
func (l *Loop) PostIf(cond func() bool, e member.Event) {
	l.q.Add(func() {
		if cond() {
			l.step(e)
		}
	})
}

// Inspect runs f on the machine, waiting at most until ctx ends.
func (l *Loop) Inspect(ctx context.Context, f func(*member.Machine)) {
	l.q.Inspect(ctx, func() { f(l.m) })
}

// step passes an event and carries out the actions.
func (l *Loop) step(e member.Event) {
	for _, a := range l.m.Step(clock.Now(), e) {
		l.perform(a)
	}
	if _, ok := e.(member.Configured); ok {
		l.changed = true
	}
	l.publish()
}

// ask passes a peer's message and returns the machine's answer to it.
func (l *Loop) ask(ctx context.Context, from string, msg proto.Message, isAnswer func(proto.Message) bool) (proto.Message, error) {
	answers := make(chan proto.Message, 1)
	l.q.Add(func() {
		for _, a := range l.m.Step(clock.Now(), member.MessageReceived{From: from, Msg: msg}) {
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
func (l *Loop) perform(action member.Action) {
	log := l.log
	l.changed = l.changed || changesView(action)
	switch a := action.(type) {
	case member.Send:
		l.send(a)
	case member.SlotReceived:
		if l.hooks.SlotReceived != nil {
			l.hooks.SlotReceived(a)
		}
	case member.MemberChanged:
		log.Info("member changed", zap.String("peer", a.Member.Host.Name), zap.Stringer("state", a.Member.State),
			zap.Uint64("incarnation", a.Member.Incarnation))
		if l.hooks.MemberChanged != nil {
			l.hooks.MemberChanged(a.Member)
		}
	case member.UpstreamChanged:
		log.Info("upstream leaving", zap.String("upstream", a.Name), zap.Bool("leaving", a.Leaving))
	case member.FreshnessChanged:
		log.Info("views renewed", zap.Bool("fresh", a.Fresh))
		if l.hooks.FreshnessChanged != nil {
			l.hooks.FreshnessChanged(a.Fresh)
		}
	case member.SkewChanged:
		log.Warn("clock against the peers' median", zap.Bool("skewed", a.Skewed), zap.Duration("offset", a.Offset))
	case member.Superseded:
		log.Error("a later process of this host lives", zap.Uint64("incarnation", a.Incarnation))
	case member.Rejected:
		log.Warn("membership message refused", zap.String("peer", a.From), zap.String("reason", a.Reason))
	}
}

// changesView says whether an action may change the snapshot.
func changesView(a member.Action) bool {
	switch a.(type) {
	case member.Send, member.SlotReceived, member.Rejected:
		return false
	}
	return true
}

// publish renews the snapshot when something changed.
func (l *Loop) publish() {
	if !l.changed && clock.Since(l.published) < publishInterval {
		return
	}
	l.changed, l.published = false, clock.Now()
	old := l.view.Load()
	next := &View{
		Members: l.m.Members(), Neighbours: l.m.Neighbours(), LiveCount: l.m.LiveHosts(), Leaving: l.m.LeavingUpstreams(),
		Fresh: l.m.Fresh(), Skewed: l.m.Skewed(), Superseded: l.m.Superseded(),
	}
	l.view.Store(next)
	if l.hooks.ViewChanged != nil {
		l.hooks.ViewChanged(next, old)
	}
}

// send calls a peer and feeds back the answer or the failure.
func (l *Loop) send(s member.Send) {
	method, answer := methodOf(s.Msg)
	l.calls.Go(s.To, method, s.Msg, answer, callTimeout, func(err error) {
		switch {
		case err != nil:
			l.Post(member.SendFailed(s))
		case proto.Size(answer) > 0:
			l.Post(member.MessageReceived{From: s.To, Msg: answer})
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

// handle registers the methods.
func (l *Loop) handle(mux *peer.Mux) {
	peer.Handle(mux, methodPing, func(ctx context.Context, from peer.Sender, req *wire.MemberPing) (*wire.MemberAck, error) {
		return askFor[*wire.MemberAck](ctx, l, from, req)
	})
	peer.Handle(mux, methodSync, func(ctx context.Context, from peer.Sender, req *wire.MemberSync) (*wire.MemberSyncReply, error) {
		return askFor[*wire.MemberSyncReply](ctx, l, from, req)
	})
	handleOneWay[*wire.MemberPingRequest](l, mux, methodPingRequest)
	handleOneWay[*wire.MemberRelayAck](l, mux, methodRelayAck)
	handleOneWay[*wire.MemberPush](l, mux, methodPush)
}

// askFor asks the membership loop for the answer of type A.
func askFor[A proto.Message](ctx context.Context, l *Loop, from peer.Sender, req proto.Message) (A, error) {
	isAnswer := func(m proto.Message) bool { _, ok := m.(A); return ok }
	answer, err := l.ask(ctx, from.Host, req, isAnswer)
	if err != nil {
		var none A
		return none, err
	}
	return answer.(A), nil
}

// handleOneWay registers a method whose answer is empty.
func handleOneWay[Req proto.Message](l *Loop, mux *peer.Mux, method string) {
	peer.Handle(mux, method, func(_ context.Context, from peer.Sender, req Req) (*wire.MemberNone, error) {
		l.Post(member.MessageReceived{From: from.Host, Msg: req})
		return &wire.MemberNone{}, nil
	})
}
