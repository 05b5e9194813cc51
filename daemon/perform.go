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
	// confirmNotRunTimeout bounds the time for which a refusal waits for the
	// confirmation that the request has not run.
	confirmNotRunTimeout = 250 * time.Millisecond
	// nonRepeatableGrace is the time after the deadline of its request for which
	// a sent non-repeatable call may go on.
	nonRepeatableGrace = 30 * time.Second
	// recordResultTimeout bounds the wait for the claim holders to record a result.
	recordResultTimeout = time.Second
)

// deliver passes an event to the request's state machine and performs the actions
// that the machine returns.
func (d *Daemon) deliver(s *session, ev request.Event) {
	actions, _ := d.requestTable.Deliver(d.Now(), s.id, ev)
	d.performActions(s, actions)
}

func (d *Daemon) performActions(s *session, actions []request.Action) {
	for _, a := range actions {
		d.performAction(s, a)
	}
}

// deliverGrant delivers a grant to the request that waits for it. If that request has
// ended, deliverGrant releases the slot, which may grant it to the next request.
func (d *Daemon) deliverGrant(g request.Grant) {
	if s := d.sessions.get(g.Ticket.Request); s != nil {
		actions, ok := d.requestTable.Deliver(d.Now(), s.id, request.SlotGranted{Grant: g})
		if ok {
			d.performActions(s, actions)
			return
		}
	}
	if g.Err != nil {
		return
	}
	for _, next := range d.decisionDeps.Admitter.Release(d.Now(), g.Ticket, request.CallCancelled, 0) {
		go d.deliverGrant(next)
	}
}

func (d *Daemon) performAction(s *session, action request.Action) {
	switch a := action.(type) {
	case request.Call:
		ctx := d.callContext(s, a)
		go d.runCall(ctx, s, a)
	case request.Cancel:
		s.cancel(a.Attempt)
	case request.AcquireClaim:
		go d.acquireClaim(s, a)
	case request.ReleaseClaim:
		go d.releaseClaim(s, a.Key)
	case request.RecordResult:
		go d.recordResult(s, a)
	case request.LookUpStatus:
		go d.pollCallStatus(s, a)
	case request.StoreResult:
		go d.storeResult(s, a)
	case request.Forward:
		s.forwardedAttempt.Store(int64(a.Attempt))
	case request.ResetStream:
		s.forwardedAttempt.Store(0)
		s.sendOutput(context.Background(), outputPart{reset: true})
	case request.SetTimer:
		d.setTimer(s, a)
	case request.DeliverGrant:
		go d.deliverGrant(a.Grant)
	case request.Finish:
		d.finish(s, a)
	default:
		d.log.Error("request returned an unknown action", logging.Request(s.id))
	}
}

func (d *Daemon) setTimer(s *session, a request.SetTimer) {
	s.addTimer(clock.AfterFunc(a.At.Sub(d.Now()), func() {
		d.deliver(s, request.TimerFired{Timer: a.Timer, Attempt: a.Attempt})
	}))
}

// callContext creates the context of a call before the call's goroutine starts, so
// that a Cancel action that follows immediately finds it.
func (d *Daemon) callContext(s *session, c request.Call) context.Context {
	end := c.NotAfter
	if c.Stage.NonRepeatable {
		end = end.Add(nonRepeatableGrace)
	}
	ctx, cancel := clock.WithDeadline(context.Background(), end)
	s.addCancel(c.Attempt, cancel)
	return ctx
}

func (d *Daemon) acquireClaim(s *session, a request.AcquireClaim) {
	ctx, cancel := clock.WithDeadline(context.Background(), s.sub.Deadline)
	defer cancel()
	d.deliver(s, d.claims.Acquire(ctx, a.Key, s.id, s.sub.Arrived, s.digest))
}

func (d *Daemon) releaseClaim(s *session, key request.ClaimKey) {
	ctx, cancel := clock.WithTimeout(context.Background(), confirmNotRunTimeout)
	defer cancel()
	if err := d.claims.Release(ctx, key, s.id); err != nil {
		d.log.Warn("failed to release the claim", logging.Request(s.id), zap.Error(err))
	}
}

func (d *Daemon) recordResult(s *session, a request.RecordResult) {
	ctx, cancel := clock.WithTimeout(context.Background(), recordResultTimeout)
	defer cancel()
	err := d.claims.Record(ctx, a.Key, s.id, a.Result)
	if err != nil {
		d.log.Warn("failed to record the result", logging.Request(s.id), zap.Error(err))
	}
	d.deliver(s, request.Recorded{Err: err})
}

// finish sends the final answer to the caller. A refusal that reports not_run waits
// until the claim holders have confirmed it, and reports may_have_run if they do not.
func (d *Daemon) finish(s *session, f request.Finish) {
	if f.ClaimCleanup == request.ClaimCleanupNone {
		s.finalAnswers <- finalAnswer{answer: f.Answer, err: f.Err}
		return
	}
	go func() {
		if !d.confirmNotRun(s, f) {
			f.Err.Execution = problem.MayHaveRun
		}
		s.finalAnswers <- finalAnswer{err: f.Err}
	}()
}

// confirmNotRun releases or voids the request's claim and reports whether the refusal
// may report not_run.
func (d *Daemon) confirmNotRun(s *session, f request.Finish) bool {
	ctx, cancel := clock.WithTimeout(context.Background(), confirmNotRunTimeout)
	defer cancel()
	if f.ClaimCleanup == request.ClaimCleanupRelease {
		return d.claims.Release(ctx, f.Key, s.id) == nil
	}
	notRun, err := d.claims.Void(ctx, f.Key)
	return err == nil && notRun
}

// textOf returns the value of a JSON string or of the "text" field of a JSON object,
// or else the JSON itself.
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
