// Package membership runs the state machine of core/member in a daemon. One goroutine
// steps the machine with the real clock, sends its messages to the peers and publishes
// its state as immutable snapshots.
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

// The RPC methods of the membership protocol.
const (
	methodPing        = "member.ping"
	methodPingRequest = "member.ping_request"
	methodRelayAck    = "member.relay_ack"
	methodSync        = "member.sync"
	methodPush        = "member.push"
)

// callTimeout bounds one membership call. The machine has decided the outcome of a
// probe well before that.
const callTimeout = 2 * time.Second

// Hooks are callbacks of the loop. They are called in the loop's goroutine and must not
// block. Each may be nil.
type Hooks struct {
	// SlotReceived is called with each slot value that arrives.
	SlotReceived func(member.SlotReceived)
	// MemberChanged is called with each change of a member's state.
	MemberChanged func(member.Member)
	// FreshnessChanged is called when the views become stale, and when they have been
	// renewed after the start or a pause of the process.
	FreshnessChanged func(bool)
	// ViewChanged is called with each new snapshot and the one before it.
	ViewChanged func(next, old *View)
}

// View is an immutable snapshot of membership.
type View struct {
	// Members lists all hosts including this one, sorted by name.
	Members    []member.Member
	Neighbours []string
	LiveCount  int
	// Leaving lists the names of the upstreams that are leaving, sorted.
	Leaving    []string
	Fresh      bool
	Skewed     bool
	Superseded bool
}

// Loop runs the membership state machine.
type Loop struct {
	calls   *CallPool
	hooks   Hooks
	log     *zap.Logger
	machine *member.Machine
	queue   *workqueue.Queue
	view    atomic.Pointer[View]
	// lastPublished is the time of the last snapshot.
	lastPublished time.Time
	// viewChanged reports that the content of the snapshot may have changed since it
	// was published.
	viewChanged bool
}

const (
	// publishInterval is how often the snapshot is republished without a change, to update
	// the times it contains.
	publishInterval = time.Second
	// minPublishInterval is the shortest time between two snapshots. Each lists all hosts,
	// and when many hosts start or fail at once their changes follow each other closely.
	minPublishInterval = member.TickInterval / 2
)

// New returns a loop that has not started, and registers its methods in mux. The error
// names an invalid slot of cfg.
func New(cfg member.Config, seed uint64, mux *peer.Mux, calls *CallPool, hooks Hooks, log *zap.Logger) (*Loop, error) {
	m, err := member.New(cfg, clock.Now(), rand.New(rand.NewPCG(seed, 1)))
	if err != nil {
		return nil, err
	}
	l := &Loop{calls: calls, hooks: hooks, log: log, machine: m, queue: workqueue.New()}
	l.view.Store(&View{})
	l.handle(mux)
	return l, nil
}

// View returns the latest snapshot.
func (l *Loop) View() *View { return l.view.Load() }

// Run runs the state machine until ctx ends.
func (l *Loop) Run(ctx context.Context) {
	l.queue.Run(ctx, member.TickInterval, func() { l.step(member.Tick{}) })
}

// Post queues an event.
func (l *Loop) Post(e member.Event) { l.queue.Add(func() { l.step(e) }) }

// PostIf queues an event that is dropped unless cond holds when it is taken from the
// queue.
func (l *Loop) PostIf(cond func() bool, e member.Event) {
	l.queue.Add(func() {
		if cond() {
			l.step(e)
		}
	})
}

// Inspect runs f with the machine in the loop's goroutine. It waits until f has run or
// ctx ends.
func (l *Loop) Inspect(ctx context.Context, f func(*member.Machine)) {
	l.queue.RunAndWait(ctx, func() { f(l.machine) })
}

// step passes an event to the state machine and executes the resulting actions.
func (l *Loop) step(e member.Event) {
	for _, a := range l.machine.Step(clock.Now(), e) {
		l.execute(a)
	}
	if _, ok := e.(member.Configured); ok {
		l.viewChanged = true
	}
	l.publish()
}

// request passes a peer's message to the state machine and returns its answer.
func (l *Loop) request(ctx context.Context, from string, msg proto.Message, isAnswer func(proto.Message) bool) (proto.Message, error) {
	answers := make(chan proto.Message, 1)
	l.queue.Add(func() {
		for _, a := range l.machine.Step(clock.Now(), member.MessageReceived{From: from, Msg: msg}) {
			if s, ok := a.(member.Send); ok && s.To == from && isAnswer(s.Msg) {
				answers <- s.Msg
				continue
			}
			l.execute(a)
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

func (l *Loop) execute(action member.Action) {
	log := l.log
	l.viewChanged = l.viewChanged || affectsView(action)
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
		log.Info("upstream leaving state changed", zap.String("upstream", a.Name), zap.Bool("leaving", a.Leaving))
	case member.FreshnessChanged:
		log.Info("freshness of the membership views changed", zap.Bool("fresh", a.Fresh))
		if l.hooks.FreshnessChanged != nil {
			l.hooks.FreshnessChanged(a.Fresh)
		}
	case member.SkewChanged:
		log.Warn("clock skew against the peers' median changed", zap.Bool("skewed", a.Skewed), zap.Duration("offset", a.Offset))
	case member.Superseded:
		log.Error("a later process of this host is running", zap.Uint64("incarnation", a.Incarnation))
	case member.Rejected:
		log.Warn("membership message rejected", zap.String("peer", a.From), zap.String("reason", a.Reason))
	}
}

// affectsView reports whether an action may change the snapshot.
func affectsView(a member.Action) bool {
	switch a.(type) {
	case member.Send, member.SlotReceived, member.Rejected:
		return false
	}
	return true
}

// publish publishes a new snapshot if something changed or publishInterval has passed, and
// minPublishInterval has. The next tick publishes a change that came earlier.
func (l *Loop) publish() {
	age := clock.Since(l.lastPublished)
	if age < minPublishInterval || !l.viewChanged && age < publishInterval {
		return
	}
	l.viewChanged, l.lastPublished = false, clock.Now()
	old := l.view.Load()
	next := &View{
		Members: l.machine.Members(), Neighbours: l.machine.Neighbours(), LiveCount: l.machine.LiveHosts(), Leaving: l.machine.LeavingUpstreams(),
		Fresh: l.machine.Fresh(), Skewed: l.machine.Skewed(), Superseded: l.machine.Superseded(),
	}
	l.view.Store(next)
	if l.hooks.ViewChanged != nil {
		l.hooks.ViewChanged(next, old)
	}
}

// send calls a peer and posts the answer or the failure to the machine.
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

// methodOf returns the method that carries a message, and an empty message to decode
// the answer into.
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

// handle registers the methods of the membership protocol in mux.
func (l *Loop) handle(mux *peer.Mux) {
	peer.Handle(mux, methodPing, func(ctx context.Context, from peer.Sender, req *wire.MemberPing) (*wire.MemberAck, error) {
		return requestAnswer[*wire.MemberAck](ctx, l, from, req)
	})
	peer.Handle(mux, methodSync, func(ctx context.Context, from peer.Sender, req *wire.MemberSync) (*wire.MemberSyncReply, error) {
		return requestAnswer[*wire.MemberSyncReply](ctx, l, from, req)
	})
	handleOneWay[*wire.MemberPingRequest](l, mux, methodPingRequest)
	handleOneWay[*wire.MemberRelayAck](l, mux, methodRelayAck)
	handleOneWay[*wire.MemberPush](l, mux, methodPush)
}

// requestAnswer passes a peer's message to the loop and returns the answer, of type A.
func requestAnswer[A proto.Message](ctx context.Context, l *Loop, from peer.Sender, req proto.Message) (A, error) {
	isAnswer := func(m proto.Message) bool { _, ok := m.(A); return ok }
	answer, err := l.request(ctx, from.Host, req, isAnswer)
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
