package daemon

import (
	"context"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/core/request"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/logging"
	"github.com/wheatseam/wheatseam/problem"
)

const (
	// settleTimeout bounds the time that a refusal waits for its claim to be
	// settled.
	settleTimeout = 250 * time.Millisecond
	// detachedTimeout is how long a sent non-repeatable call is seen through
	// after the deadline of its request.
	detachedTimeout = 30 * time.Second
	// recordTimeout bounds the wait for the holders to record a result.
	recordTimeout = time.Second
)

// deliver passes an event to the request's machine and carries out its
// actions.
func (d *Daemon) deliver(s *session, ev request.Event) {
	actions, _ := d.table.Deliver(d.Now(), s.id, ev)
	d.performAll(s, actions)
}

func (d *Daemon) performAll(s *session, actions []request.Action) {
	for _, a := range actions {
		d.perform(s, a)
	}
}

// notify carries a grant to the request that waits for it. A slot granted to a
// request that is gone is returned, which may grant it to the next one.
func (d *Daemon) notify(g request.Grant) {
	if s := d.sessions.get(g.Ticket.Request); s != nil {
		actions, ok := d.table.Deliver(d.Now(), s.id, request.SlotGranted{Grant: g})
		if ok {
			d.performAll(s, actions)
			return
		}
	}
	if g.Err != nil {
		return
	}
	for _, next := range d.deps.Admitter.Release(d.Now(), g.Ticket, request.CallCancelled, 0) {
		go d.notify(next)
	}
}

func (d *Daemon) perform(s *session, action request.Action) {
	switch a := action.(type) {
	case request.Call:
		ctx := d.callContext(s, a)
		go d.call(ctx, s, a)
	case request.Cancel:
		s.cancel(a.Attempt)
	case request.AcquireClaim:
		go d.claim(s, a)
	case request.ReleaseClaim:
		go d.release(s, a.Key)
	case request.RecordResult:
		go d.record(s, a)
	case request.LookUpStatus:
		go d.lookUp(s, a)
	case request.StoreResult:
		go d.keep(s, a)
	case request.Forward:
		s.forward.Store(int64(a.Attempt))
	case request.ResetStream:
		s.forward.Store(0)
		s.pass(context.Background(), outputPart{reset: true})
	case request.SetTimer:
		d.setTimer(s, a)
	case request.DeliverGrant:
		go d.notify(a.Grant)
	case request.Finish:
		d.finish(s, a)
	default:
		d.log.Error("unknown action", logging.Request(s.id))
	}
}

func (d *Daemon) setTimer(s *session, a request.SetTimer) {
	s.addTimer(clock.AfterFunc(a.At.Sub(d.Now()), func() {
		d.deliver(s, request.TimerFired{Timer: a.Timer, Attempt: a.Attempt})
	}))
}

// callContext makes the context of a call before the call starts, so that a
// Cancel that follows at once finds it.
func (d *Daemon) callContext(s *session, c request.Call) context.Context {
	end := c.NotAfter
	if c.Stage.NonRepeatable {
		end = end.Add(detachedTimeout)
	}
	ctx, cancel := clock.WithDeadline(context.Background(), end)
	s.addCancel(c.Attempt, cancel)
	return ctx
}

func (d *Daemon) claim(s *session, a request.AcquireClaim) {
	ctx, cancel := clock.WithDeadline(context.Background(), s.sub.Deadline)
	defer cancel()
	d.deliver(s, d.claims.Acquire(ctx, a.Key, s.id, s.sub.Arrived, s.digest))
}

func (d *Daemon) release(s *session, key request.ClaimKey) {
	ctx, cancel := clock.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	if err := d.claims.Release(ctx, key, s.id); err != nil {
		d.log.Warn("claim not released", logging.Request(s.id), zap.Error(err))
	}
}

func (d *Daemon) record(s *session, a request.RecordResult) {
	ctx, cancel := clock.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	err := d.claims.Record(ctx, a.Key, s.id, a.Result)
	if err != nil {
		d.log.Warn("result not recorded", logging.Request(s.id), zap.Error(err))
	}
	d.deliver(s, request.Recorded{Err: err})
}

// finish answers the caller, once what makes the answer true is done.
func (d *Daemon) finish(s *session, f request.Finish) {
	if f.ClaimCleanup == request.ClaimCleanupNone {
		s.final <- finalAnswer{answer: f.Answer, err: f.Err}
		return
	}
	go func() {
		if !d.settle(s, f) {
			f.Err.Execution = problem.MayHaveRun
		}
		s.final <- finalAnswer{err: f.Err}
	}()
}

// settle reports whether a refusal may say that the request has not run.
func (d *Daemon) settle(s *session, f request.Finish) bool {
	ctx, cancel := clock.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	if f.ClaimCleanup == request.ClaimCleanupRelease {
		return d.claims.Release(ctx, f.Key, s.id) == nil
	}
	notRun, err := d.claims.Void(ctx, f.Key)
	return err == nil && notRun
}

// textOf returns the text of a JSON string or of a "text" field, or the JSON
// itself.
func textOf(raw json.RawMessage) string {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text
	}
	var object struct {
		Text *string `json:"text"`
	}
	if json.Unmarshal(raw, &object) == nil && object.Text != nil {
		return *object.Text
	}
	return string(raw)
}
