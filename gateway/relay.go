package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/core/intake"
	"github.com/wheatseam/wheatseam/core/load"
	"github.com/wheatseam/wheatseam/core/refusal"
	"github.com/wheatseam/wheatseam/core/request"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/internal/httpbody"
	"github.com/wheatseam/wheatseam/logging"
	"github.com/wheatseam/wheatseam/platform"
	"github.com/wheatseam/wheatseam/problem"
	"github.com/wheatseam/wheatseam/quarantine"
	"github.com/wheatseam/wheatseam/replica"
)

const (
	// maxFreeRepeats bounds the attempts of one request that did not run.
	maxFreeRepeats = 3
	// maxAnswerBytes bounds answers that are held until they are complete.
	maxAnswerBytes = 8 << 20
	// leastLeft is told to a replica whose request's time ends as it is sent: without
	// a time it would work on.
	leastLeft = time.Millisecond
	// refusedRetry is told to callers whose request every replica tried refused.
	refusedRetry = 500 * time.Millisecond
)

// relay sends the request to replicas until one answers or no further attempt
// is allowed.
func (x *exchange) relay() {
	x.g.budget(x.service).Deposit(clock.Now())
	for {
		if clock.Until(x.deadline) <= 0 {
			// The end of the context comes late to a host that stood still.
			x.giveUp(problem.New(problem.DeadlineExceeded, "no time is left for an attempt"))
			return
		}
		choice, hold, perr := x.nextReplica()
		if perr != nil {
			x.giveUp(perr)
			return
		}
		x.tried = append(x.tried, choice.Upstream)
		end, perr := x.attempt(choice, hold)
		if end == answered {
			return
		}
		if x.noRepeat = x.repeatDenied(end); x.noRepeat != "" {
			x.g.countDenied(x.service, x.noRepeat)
			x.giveUp(perr)
			return
		}
		if end == inputsGone && x.next == nil {
			x.releaseInputs()
		}
	}
}

// nextReplica returns the replica of the next attempt and the place that is held
// there; "" for none. What was secured when the last attempt was ended needs no
// further condition.
func (x *exchange) nextReplica() (c request.Choice, hold string, perr *problem.Error) {
	if x.next != nil {
		c, hold = x.takeNext()
		return c, hold, nil
	}
	if perr = x.quarantined(); perr != nil {
		return c, "", perr
	}
	if perr = x.holdInputs(); perr != nil {
		return c, "", perr
	}
	c, perr = x.g.router.Pick(clock.Now(), x.query(), nil)
	return c, "", perr
}

// engineSent notes that an engine is being sent the prompt, and returns from
// whom it can copy what it lacks; "" for other services.
func (x *exchange) engineSent(c request.Choice) (copyFrom string) {
	if s := x.config.Services[x.service]; s == nil || !s.Engine {
		return ""
	}
	leading := x.leadingHashes()
	copyFrom = x.g.source(c, leading)
	x.promptSent(c, leading)
	return copyFrom
}

// query asks the router for a replica.
func (x *exchange) query() request.Query {
	q := request.Query{
		Request: x.req.ID, Pool: x.service, Stage: x.route.Name, Kind: bundle.StageCall,
		Attempt: len(x.tried) + 1, TriedUpstreams: x.tried, InputFailureDomain: x.domain, Budget: clock.Until(x.deadline),
	}
	if s := x.config.Services[x.service]; s != nil && s.Engine {
		q.Kind = bundle.StageGenerate
		q.Prefix, _ = x.prefix()
		q.PrefillTime, q.ExpectedFirstByte = x.g.streams.reading(x.service, x.ownTokens())
	}
	return q
}

// giveUp ends a request without a replica's answer.
func (x *exchange) giveUp(e *problem.Error) {
	if x.committed {
		// The answer must not look complete.
		x.outcome, x.detail = "broken_off", e.Detail
		panic(http.ErrAbortHandler)
	}
	if x.r.Context().Err() != nil {
		e = problem.New(problem.CallerGone, "the caller left")
	} else if x.runs > 0 && promises(e.Kind) {
		e = problem.New(problem.UpstreamFailed, "no replica answered")
	}
	x.refuse(e)
}

// promises says whether the status of an error promises that nothing has run.
func promises(k problem.Kind) bool { return promisesStatus(problem.Lookup(k).Status) }

// attempt sends the request to one replica. The error says what to answer if
// it is the last attempt.
func (x *exchange) attempt(choice request.Choice, hold string) (attemptEnd, *problem.Error) {
	ctx, cancel := context.WithCancelCause(x.ctx)
	defer cancel(nil)
	t := &try{x: x, executions: x.runs + 1, ctx: ctx, choice: choice, hold: hold, copyFrom: x.engineSent(choice), began: clock.Now(), asleep: clock.Asleep(), cancel: cancel}
	end, err := t.run()
	t.report(end)
	t.log(end, err)
	return end, err
}

// try is one attempt under way.
type try struct {
	x *exchange
	// executions is the number of executions with this one.
	executions int
	// ctx ends with the exchange's, or by cancel.
	ctx    context.Context
	choice request.Choice
	// copyFrom is the engine from which the chosen one copies leading parts of
	// the prompt; "" for none.
	copyFrom string
	// hold is the place held for the request; "" for none.
	hold  string
	began time.Time
	// asleep is for how long this host had slept when the attempt began.
	asleep time.Duration
	first  time.Time
	// events counts those that the replica has sent.
	events int
	// refused says why the replica refused; "" if it did not.
	refused refusal.Reason
	// notice is what the replica says of itself in its answer.
	notice intake.Notice
	// cancel ends the attempt by this host's own decision, for a reason.
	cancel context.CancelCauseFunc
	// endedHere is that reason, once the attempt has ended by it; nil else.
	endedHere *leftError
	// stopRelease keeps the inputs from being given up by time.
	stopRelease func() bool
	// watch is the watch over its silences; nil where no stream is expected.
	watch *watch
}

// run makes the call, passes the answer on, and watches for silences of streams.
func (t *try) run() (attemptEnd, *problem.Error) {
	t.stopRelease = t.x.releaseWhenRead()
	defer t.stopRelease()
	if !t.x.route.Streaming {
		return t.call()
	}
	t.watch = t.startWatch()
	end, perr := t.call()
	t.x.next = t.watch.stop(end.wantsAnother())
	t.x.leftOne = t.x.leftOne || t.endedHere != nil
	return end, perr
}

// call makes the call and passes the answer on.
func (t *try) call() (attemptEnd, *problem.Error) {
	x := t.x
	resp, err := x.g.client.Do(t.ctx, t.outgoing())
	if err != nil {
		if httpbody.NotSent(err) {
			return notSent, retryable(problem.New(problem.NoUpstream, "no connection to a replica"), refusedRetry)
		}
		x.runs++
		return t.broken(err)
	}
	defer resp.Body.Close()
	head := resp.Head
	t.observe(head.Load)
	t.notice = head.Notice
	if head.NotExecuted {
		t.refused = reasonOf(resp.StatusCode, head)
	}
	switch {
	case head.NotExecuted && resp.StatusCode == http.StatusConflict:
		x.inputsGone()
		return inputsGone, retryable(problem.New(problem.Overloaded, "inputs gone"), refusedRetry)
	case head.NotExecuted:
		return notExecuted, retryable(problem.New(problem.Overloaded, "replicas refuse"), refusedRetry)
	}
	x.runs++
	if head.RequestID != "" && head.RequestID != x.req.ID {
		return failed, problem.New(problem.UpstreamFailed, "the answer is another request's")
	}
	if t.watch != nil && resp.StatusCode == http.StatusOK && head.Signed {
		return t.passEvents(resp.Response)
	}
	return t.whole(resp.Response, head)
}

// outgoing is the request as it goes to the replica.
func (t *try) outgoing() replica.Call {
	x := t.x
	a := platform.Attempt{
		Replica: t.choice.Upstream, TimeLeft: max(clock.Until(x.deadline), leastLeft), Priority: -1,
		Inputs: x.inputs, LastEventID: x.lastEvent, CacheSource: t.copyFrom, ReservationID: t.hold,
	}
	a.Tenant = x.customer()
	if x.route.Streaming {
		a.Priority = x.rank().Level()
	}
	return replica.Call{
		Replica: t.choice.Upstream, RequestID: x.req.ID, ExecutesRequest: true,
		Method: x.r.Method, Address: t.choice.Address, Target: x.r.RequestURI, Host: x.r.Host,
		Header: platform.EncodeAttempt(x.r.Header, a), Body: x.body,
	}
}

// broken says what a call that failed on the way means.
func (t *try) broken(err error) (attemptEnd, *problem.Error) {
	if t.x.ctx.Err() != nil {
		return abandoned, problem.New(problem.DeadlineExceeded, "no answer in time")
	}
	if errors.As(context.Cause(t.ctx), &t.endedHere) {
		return left, problem.New(problem.UpstreamFailed, "this host ended the attempt: %v", t.endedHere)
	}
	if httpbody.BrokenOff(err) {
		t.brokeOff()
	}
	return failed, problem.New(problem.UpstreamFailed, "the replica broke off: %v", err)
}

// brokeOff has it looked into whether the replica ended under the request. One that
// drains, or is listed no more, ends when its time has come, and while this host slept
// it may have ended for anything.
func (t *try) brokeOff() {
	x := t.x
	r, listed := x.g.found.View().Replicas[t.choice.Upstream]
	if !listed || r.Draining || clock.Asleep() > t.asleep {
		return
	}
	x.g.quarantine.AttemptInterrupted(quarantine.InterruptedAttempt{
		Service: x.service, Replica: t.choice.Upstream, Address: t.choice.Address, Request: x.content, Began: t.began,
	})
}

// whole passes an answer on once it is complete.
func (t *try) whole(resp *http.Response, head platform.ResponseHead) (attemptEnd, *problem.Error) {
	x := t.x
	body, err := httpbody.Read(resp.Body, maxAnswerBytes)
	switch {
	case errors.Is(err, httpbody.ErrTooLarge):
		return failed, problem.New(problem.UpstreamFailed, "the answer is over %d bytes", maxAnswerBytes)
	case err != nil:
		return t.broken(err)
	case resp.StatusCode < http.StatusMultipleChoices && !head.Signed:
		return failed, problem.New(problem.UpstreamFailed, "the answer has no signature")
	case promisesStatus(resp.StatusCode):
		// The replica does not say that it has not run, so that its status
		// would promise too much.
		return failed, problem.New(problem.UpstreamFailed, "status %d without a word on execution", resp.StatusCode)
	case resp.StatusCode >= http.StatusInternalServerError && t.repeatedNow():
		return repeatNow, problem.New(problem.UpstreamFailed, "status %d", resp.StatusCode)
	}
	if x.committed {
		return abandoned, problem.New(problem.UpstreamFailed, "a stream cannot go on with status %d", resp.StatusCode)
	}
	t.first = clock.Now()
	h := x.w.Header()
	platform.CopyResponseHeaders(h, resp.Header)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(resp.StatusCode)
	_, _ = x.w.Write(body) // a caller that is gone needs no answer
	x.status, x.outcome = resp.StatusCode, "answered"
	return answered, nil
}

// repeatedNow says whether another run follows an answer that tells of a failure: the
// one that was secured, or one for a repeat of the budget.
func (t *try) repeatedNow() bool {
	if t.watch != nil && t.watch.stop(true) != nil {
		return true
	}
	return t.x.repeatDenied(failed) == ""
}

// promisesStatus says whether a status promises that nothing has run.
func promisesStatus(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// log writes the attempt's line: what decided on the replica, and how it ended.
func (t *try) log(end attemptEnd, err *problem.Error) {
	x := t.x
	fields := []zap.Field{
		logging.Request(x.req.ID), zap.Int("attempt", len(x.tried)), zap.String("service", x.service),
		zap.String("replica", t.choice.Upstream), zap.String("failure_domain", t.choice.FailureDomain), zap.Stringer("content", x.content),
		zap.String("inputs_in", x.domain), zap.Duration("view_age", t.began.Sub(x.viewAsOf)),
		zap.Uint64("version", x.config.Version), zap.Duration("left", x.deadline.Sub(t.began)),
		zap.Stringer("end", end), zap.Duration("took", clock.Since(t.began)),
	}
	if hash, tokens := x.prefix(); tokens > 0 {
		if t.copyFrom != "" {
			fields = append(fields, zap.String("copy_from", t.copyFrom))
		}
		fields = append(fields, zap.String("prefix", strconv.FormatUint(hash, 16)), zap.Int("shared_tokens", tokens))
	}
	if !t.first.IsZero() {
		fields = append(fields, zap.Duration("first", t.first.Sub(t.began)))
	}
	if t.refused != "" {
		fields = append(fields, zap.String("refused_for", string(t.refused)))
	}
	if t.notice.Limit.Announced {
		fields = append(fields, zap.Float64("limit", t.notice.Limit.PerSecond))
	}
	if t.notice.Backoff > 0 {
		fields = append(fields, zap.Duration("rest", t.notice.Backoff))
	}
	if t.notice.Leaving {
		fields = append(fields, zap.Bool("leaving", true))
	}
	if err != nil {
		fields = append(fields, zap.String("why", err.Detail))
	}
	x.g.log.Info("attempt", fields...)
}

// observe passes a replica's account of its load to the router.
func (t *try) observe(l *platform.Load) {
	if l != nil {
		t.x.g.router.Observe(load.Report{Upstream: t.choice.Upstream, AsOf: clock.Now(), Running: l.Running, Queued: l.Waiting})
	}
}

// work is the time that a stream was expected to take, in milliseconds: streams
// of a route differ by a hundred times. It is 0 when that is not known.
func (t *try) work(o request.Outcome) int {
	if t.events == 0 {
		return 0
	}
	expected := t.x.g.streams.observeWhole(t.x.service, t.x.ownTokens(), t.events, o.FirstByte, o.Latency)
	return int(expected.Milliseconds())
}

// report tells the router how the attempt ended.
func (t *try) report(end attemptEnd) {
	now := clock.Now()
	o := request.Outcome{Choice: t.choice, Stage: t.x.route.Name, Latency: now.Sub(t.began)}
	if !t.first.IsZero() {
		o.FirstByte = t.first.Sub(t.began)
	}
	t.x.g.countAttempt(t.x.service, end, o.Latency)
	if t.endedHere != nil {
		t.x.g.countEndedHere(t.x.service, t.endedHere.account)
	}
	t.x.g.noteRefusals(t.x.service, t.choice.Upstream, t.refused)
	if end == answered || end == repeatNow {
		t.x.g.quarantine.RunSucceeded(t.x.content)
	}
	switch end {
	case answered:
		o.Result = request.CallOK
		o.Work = t.work(o)
	case notExecuted, inputsGone:
		o.Result = request.CallRefused
	case notSent, failed, repeatNow:
		o.Result = request.CallFailed
	case left:
		o.Result = request.CallCancelled
		if t.endedHere != nil && t.endedHere.blamed() {
			o.Result = request.CallFailed
		}
	case abandoned:
		o.Result = request.CallCancelled
	}
	t.x.g.router.Done(now, o)
}
