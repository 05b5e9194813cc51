package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/core/attempts"
	"github.com/wheatseam/wheatseam/core/crash"
	"github.com/wheatseam/wheatseam/core/holdings"
	"github.com/wheatseam/wheatseam/core/intake"
	"github.com/wheatseam/wheatseam/core/poison"
	"github.com/wheatseam/wheatseam/core/refusal"
	"github.com/wheatseam/wheatseam/core/request"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/internal/httpbody"
	"github.com/wheatseam/wheatseam/logging"
	"github.com/wheatseam/wheatseam/platform"
	"github.com/wheatseam/wheatseam/problem"
	"github.com/wheatseam/wheatseam/replica"
)

const (
	// maxFreeRetries limits the retries of one request after attempts that did not run.
	maxFreeRetries = 3
	// maxAnswerBytes limits answers that are buffered until they are complete.
	maxAnswerBytes = 8 << 20
	// minTimeLeft is the time sent to a replica when the request's deadline passes as it is
	// sent: without a limit the replica would keep working.
	minTimeLeft = time.Millisecond
	// refusedRetryAfter is sent to callers whose last attempt did not run, because the
	// replica refused it or could not be reached.
	refusedRetryAfter = 500 * time.Millisecond
	// minSilence is the silence of the replica from which an attempt that was cancelled may have
	// been interrupted by a crash.
	minSilence = 500 * time.Millisecond
)

// relay sends the request to replicas until one answers or no further attempt is allowed.
func (x *exchange) relay() {
	x.g.retryBudget(x.service).Deposit(clock.Now())
	for {
		if clock.Until(x.deadline) <= 0 {
			// On a host that was suspended, ctx ends later than the deadline.
			x.fail(problem.New(problem.DeadlineExceeded, "no time is left for an attempt"))
			return
		}
		if !x.pinBody() {
			x.fail(problem.New(problem.UpstreamFailed, "the body was given up"))
			return
		}
		choice, held, perr := x.nextReplica()
		if perr != nil {
			x.fail(perr)
			return
		}
		x.triedReplicas = append(x.triedReplicas, choice.Upstream)
		end, perr := x.attemptNotingRead(choice, held)
		if end == answered {
			return
		}
		if x.retryDenial = x.retryDenied(end); x.retryDenial != "" {
			x.g.countRetryDenied(x.service, x.retryDenial)
			x.fail(perr)
			return
		}
		if end == stalled && x.replacement != nil {
			if perr := x.awaitRunEnd(x.givenUp); perr != nil {
				x.fail(perr)
				return
			}
		}
		if end == inputsGone && x.replacement == nil {
			x.releaseInputs()
		}
	}
}

// nextReplica returns the replica of the next attempt, which is x.picked too, and what it holds there.
// A replacement that was reserved when the last attempt was cancelled needs no further check of paths
// and inputs.
func (x *exchange) nextReplica() (c request.Choice, held heldCapacity, perr *problem.Error) {
	if perr = x.checkQuarantine(); perr != nil {
		return c, held, perr
	}
	if x.replacement != nil {
		return x.takeReplacement()
	}
	if perr = x.checkPaths(); perr != nil {
		return c, held, perr
	}
	if perr = x.ensureInputs(); perr != nil {
		return c, held, perr
	}
	// The request may have been quarantined while its stages ran.
	if perr = x.checkQuarantine(); perr != nil {
		return c, held, perr
	}
	c, perr = x.pickForSession()
	return c, held, perr
}

// sendingToEngine records that an engine is being sent the prompt, and returns the address
// of the engine from which it can copy the prefix that it lacks; "" for other services, or
// if no engine holds the prefix.
func (x *exchange) sendingToEngine(c request.Choice) (copyFrom string) {
	if s := x.config.Services[x.service]; s == nil || !s.Engine {
		return ""
	}
	hashes := x.prefixHashes()
	copyFrom = x.g.prefixSource(c, hashes)
	x.recordPromptSent(c, hashes)
	return copyFrom
}

// routerQuery is the query for a replica that is put to the router.
func (x *exchange) routerQuery() request.Query {
	q := request.Query{
		Request: x.req.ID, Pool: x.service, Stage: x.route.Name, Kind: bundle.StageCall,
		Attempt: len(x.triedReplicas) + 1, TriedUpstreams: x.triedReplicas, InputFailureDomain: x.inputDomain, Budget: clock.Until(x.deadline),
		GapObjective: x.route.GapObjective, ExpectedEvents: x.expectedEvents(),
	}
	if version := x.origin.Load(); version != nil {
		q.Version, q.FixedVersion = *version, true
	}
	if s := x.config.Services[x.service]; s != nil && s.Engine {
		q.Kind = bundle.StageGenerate
		q.Prefix, _ = x.sharedPrefix()
		q.PrefillTime, q.ExpectedFirstByte = x.g.streamTimes.readTime(x.service, x.unsharedTokens())
	}
	return q
}

// expectedEvents is the expected number of events of the answer; 0 if it is no stream, or the
// number is not known.
func (x *exchange) expectedEvents() int {
	if !x.route.Streaming {
		return 0
	}
	return x.g.eventCounts.expect(x.route.Name, x.req.OutputTokens)
}

// fail ends a request without a replica's answer.
func (x *exchange) fail(e *problem.Error) {
	if x.committed {
		// The answer must not look complete.
		x.outcome, x.detail = "broken_off", e.Detail
		panic(http.ErrAbortHandler)
	}
	if x.r.Context().Err() != nil {
		e = problem.New(problem.CallerGone, "the caller disconnected")
	} else if x.runs > 0 && impliesNotExecuted(e.Kind) {
		e = problem.New(problem.UpstreamFailed, "no replica answered")
	}
	x.respondError(e)
}

// impliesNotExecuted reports whether the status of an error implies that nothing has run.
func impliesNotExecuted(k problem.Kind) bool {
	return statusImpliesNotExecuted(problem.Lookup(k).Status)
}

// attempt sends the request to one replica. The error is the answer if no further attempt
// follows.
func (x *exchange) attempt(choice request.Choice, held heldCapacity) (attemptEnd, *problem.Error) {
	ctx, cancel := context.WithCancelCause(x.ctx)
	defer cancel(nil)
	t := &attempt{x: x, runNumber: x.runs + 1, ctx: ctx, choice: choice, held: held, copyFrom: x.sendingToEngine(choice), began: clock.Now(), suspended: clock.SuspendedTime(), cancel: cancel}
	end, err := t.run()
	t.reportOutcome(end)
	t.logAttempt(end, err)
	return end, err
}

// attempt is one attempt in progress.
type attempt struct {
	x *exchange
	// runNumber is the number of runs of the request, this one included.
	runNumber int
	// ctx ends with the exchange's ctx, or by cancel.
	ctx    context.Context
	choice request.Choice
	// copyFrom is the address of the engine from which the chosen engine copies a prefix
	// of the prompt; "" for none.
	copyFrom string
	// held is what the replica holds for the request.
	held heldCapacity
	// connectError is why no connection was established; nil if one was.
	connectError error
	// via is the host through which the connection goes; "" for a direct one.
	via   string
	began time.Time
	// suspended is for how long this host had been suspended when the attempt began.
	suspended time.Duration
	firstAt   time.Time
	// heardAt is when the replica last sent an event or the head of its answer; zero if
	// never.
	heardAt time.Time
	// insideMessage says that the replica has sent a part of an answer, or of an event.
	insideMessage bool
	// survived says that the run has survived the parts of its prompt.
	survived bool
	// eventsReceived counts the events that the replica has sent.
	eventsReceived int
	pauses         pauseMeter
	// refusalReason says why the replica refused; "" if it did not.
	refusalReason refusal.Reason
	// notice is what the replica announces about itself in its answer.
	notice intake.Notice
	// cancel cancels the attempt by this host's own decision, with a cause.
	cancel context.CancelCauseFunc
	// stallError is the cause of the cancellation, once the attempt has ended by it; nil
	// otherwise.
	stallError   *stallError
	inputRelease inputRelease
	// watch detects stalls of the attempt; nil where no stream is expected.
	watch *stallWatch
}

// run makes the call, relays the answer, and watches streams for stalls.
func (t *attempt) run() (attemptEnd, *problem.Error) {
	defer t.inputRelease.cancel()
	if !t.x.route.Streaming {
		return t.callRecovering()
	}
	t.watch = t.startStallWatch()
	end, perr := t.callRecovering()
	t.x.replacement = t.watch.stop(end.needsRetry() && !t.x.unresumable)
	if t.stallError != nil {
		t.x.cancelledRun, t.x.givenUp = true, t
	}
	return end, perr
}

// callRecovering is call, and turns a panic into the end of an attempt that may have run the request.
func (t *attempt) callRecovering() (end attemptEnd, perr *problem.Error) {
	defer func() {
		if r := recover(); r != nil {
			x := t.x
			x.runs = max(x.runs, t.runNumber)
			x.g.log.Error("attempt panicked", logging.Request(x.req.ID), zap.String("replica", t.choice.Upstream), zap.Any("panic", r), zap.ByteString("stack", debug.Stack()))
			end, perr = panicked, problem.New(problem.UpstreamFailed, "the attempt panicked: %v", r)
		}
	}()
	return t.call()
}

// call makes the call and relays the answer.
func (t *attempt) call() (attemptEnd, *problem.Error) {
	x := t.x
	resp, err := x.g.client.Do(x.g.traceConnect(t.ctx, t.choice.Upstream), t.newCall())
	if err != nil {
		if httpbody.IsNotSent(err) {
			t.reportConnectFailure(err)
			t.connectError = err
			return notSent, withRetryAfter(problem.New(problem.NoUpstream, "no connection to a replica"), refusedRetryAfter)
		}
		x.runs++
		return t.callFailed(err)
	}
	defer resp.Body.Close()
	t.heardAt = clock.Now()
	head := resp.Head
	t.notice = head.Notice
	if head.NotExecuted {
		t.refusalReason = refusalReason(resp.StatusCode, head)
	}
	switch {
	case head.NotExecuted && resp.StatusCode == http.StatusConflict:
		x.extendInputRetention()
		return inputsGone, withRetryAfter(problem.New(problem.Overloaded, "the inputs are no longer held"), refusedRetryAfter)
	case head.NotExecuted:
		return notExecuted, withRetryAfter(problem.New(problem.Overloaded, "replicas refused the request"), refusedRetryAfter)
	}
	x.runs++
	if head.RequestID != "" && head.RequestID != x.req.ID {
		return failed, problem.New(problem.UpstreamFailed, "the answer belongs to another request")
	}
	if t.watch != nil && resp.StatusCode == http.StatusOK && head.Signed {
		return t.relayEvents(resp.Response)
	}
	return t.relayWhole(resp.Response, head)
}

// newCall is the request as it is sent to the replica.
func (t *attempt) newCall() replica.Call {
	x := t.x
	a := platform.Attempt{
		Replica: t.choice.Upstream, TimeLeft: max(clock.Until(x.deadline), minTimeLeft), Priority: -1,
		Inputs: x.inputs, LastEventID: x.lastEvent, CacheSource: t.copyFrom, ReservationID: t.held.reservation, RunCopy: t.held.runCopy,
	}
	if a.RunCopy != "" {
		a.CacheSource = ""
	}
	a.Customer = x.customer()
	body, written := x.bodyForAttempt()
	if x.route.Streaming {
		a.Priority = x.priority().Level()
	}
	call := replica.Call{
		Replica: t.choice.Upstream, RequestID: x.req.ID, ExecutesRequest: true,
		Method: x.r.Method, Address: t.choice.Address, Target: x.r.RequestURI, Host: x.r.Host,
		Header: platform.EncodeAttempt(x.r.Header, a), Body: body,
		OnConnected: func(c net.Conn) {
			t.via = replica.Via(c)
			if t.watch != nil {
				t.watch.withRun(func(r *attempts.Run) { r.Sent(x.deadline) })
			}
			t.inputRelease.start(x)
		},
	}
	if written != nil {
		call.Body, call.Content, call.OnWritten = nil, replica.NewContent(body), written
	}
	return call
}

// callFailed classifies a call that failed in transit.
func (t *attempt) callFailed(err error) (attemptEnd, *problem.Error) {
	if isOversized(err) {
		return oversized, problem.New(problem.UpstreamFailed, "the replica sent more than an answer may have: %v", err)
	}
	if errors.Is(err, httpbody.ErrMalformedHead) {
		return malformed, problem.New(problem.UpstreamFailed, "the replica sent no valid answer: %v", err)
	}
	if errors.Is(err, httpbody.ErrNoMemory) {
		return noMemory, problem.New(problem.UpstreamFailed, "the answer was not read: %v", err)
	}
	if t.unended() {
		t.reportSilence(crash.Unanswered)
		return failed, problem.New(problem.DeadlineExceeded, "the replica did not end its answer before the deadline")
	}
	if t.x.ctx.Err() != nil {
		t.reportSilence(crash.Unanswered)
		return abandoned, problem.New(problem.DeadlineExceeded, "no answer before the deadline")
	}
	if errors.As(context.Cause(t.ctx), &t.stallError) {
		t.reportSilence(crash.Stalled)
		return stalled, problem.New(problem.UpstreamFailed, "this host cancelled the attempt: %v", t.stallError)
	}
	if errors.Is(err, syscall.ECONNRESET) {
		t.x.g.metrics.GetOrCreateCounter(fmt.Sprintf("wheatseam_replica_resets_total{service=%q}", t.x.service)).Inc()
	}
	if httpbody.IsConnectionBroken(err) {
		t.reportInterruption(crash.Broken)
	}
	return failed, problem.New(problem.UpstreamFailed, "the replica broke off: %v", err)
}

// unended reports whether the deadline passed inside an answer, or inside an event of a stream,
// which the replica had begun to send at least minSilence before. A caller that disconnects, or a
// host that was suspended, proves nothing about the replica.
func (t *attempt) unended() bool {
	return t.insideMessage && clock.Until(t.x.deadline) <= 0 && t.x.r.Context().Err() == nil &&
		clock.SuspendedTime() == t.suspended && clock.Since(t.lastHeard()) >= minSilence
}

// isOversized reports whether a replica sent more bytes than an answer may have.
func isOversized(err error) bool {
	return httpbody.IsOversized(err) || errors.Is(err, errEventTooLarge) || errors.Is(err, errStreamTooLarge)
}

// lastHeard is when the replica last sent an event or the head of its answer, or when the
// attempt began.
func (t *attempt) lastHeard() time.Time {
	if t.heardAt.IsZero() {
		return t.began
	}
	return t.heardAt
}

// reportSilence reports an attempt that was cancelled, if its replica was silent for so long that
// it may have crashed.
func (t *attempt) reportSilence(end crash.End) {
	if clock.Since(t.lastHeard()) >= minSilence {
		t.reportInterruption(end)
	}
}

// reportInterruption has the quarantine find out whether the replica crashed while it ran
// the request. A replica that drains, or is no longer listed, is expected to end; while
// this host was suspended, the replica may have ended for any reason.
func (t *attempt) reportInterruption(end crash.End) {
	x := t.x
	r := x.g.discovery.View().Replicas.Find(t.choice.Upstream)
	if r == nil || r.Draining || clock.SuspendedTime() > t.suspended {
		return
	}
	now := clock.Now()
	x.g.quarantine.AttemptInterrupted(crash.Interruption{
		Service: x.service, Replica: t.choice.Upstream, Address: t.choice.Address, End: end, At: now, LastHeard: t.lastHeard(),
		Suspect: poison.Suspect{Subject: x.fingerprint, RunTime: now.Sub(t.began)}, Parts: t.unsurvivedParts(),
	})
}

// relayWhole relays an answer once it is complete.
func (t *attempt) relayWhole(resp *http.Response, head platform.ResponseHead) (attemptEnd, *problem.Error) {
	x := t.x
	length := resp.ContentLength
	if x.r.Method == http.MethodHead {
		length = -1
	}
	memory := x.newBuffer(holdings.Answer)
	defer memory.releaseAll()
	body, _, err := httpbody.ReadHeld(resp.Body, length, maxAnswerBytes, memory)
	x.logMemory(memory, max(length, memory.held), err)
	if err == nil && t.endedByCrash(resp) {
		err = io.ErrUnexpectedEOF
	}
	switch {
	case err != nil:
		t.insideMessage = true
		return t.callFailed(err)
	case resp.StatusCode < http.StatusMultipleChoices && !head.Signed:
		return failed, problem.New(problem.UpstreamFailed, "the answer has no signature")
	case statusImpliesNotExecuted(resp.StatusCode):
		// The replica does not say that it has not run the request, so that its status
		// would wrongly imply it.
		return failed, problem.New(problem.UpstreamFailed, "status %d does not say whether the request was executed", resp.StatusCode)
	case resp.StatusCode >= http.StatusInternalServerError && t.retryFollows():
		return failedRetrying, problem.New(problem.UpstreamFailed, "status %d", resp.StatusCode)
	}
	if x.committed {
		return abandoned, problem.New(problem.UpstreamFailed, "a stream cannot resume with status %d", resp.StatusCode)
	}
	t.firstAt = clock.Now()
	h := x.w.Header()
	platform.CopyResponseHeaders(h, resp.Header)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	// Limits the time for which a caller that does not read takes memory.
	_ = http.NewResponseController(x.w).SetWriteDeadline(clock.ToMonotonic(x.deadline))
	x.committed = true
	x.w.WriteHeader(resp.StatusCode)
	_, _ = x.w.Write(body) // a caller that has disconnected needs no answer
	x.status, x.outcome = resp.StatusCode, "answered"
	return answered, nil
}

// retryFollows reports whether another run follows an answer that reports a failure: the
// one that was reserved, or one that the retry budget allows.
func (t *attempt) retryFollows() bool {
	if t.watch != nil && t.watch.stop(true) != nil {
		return true
	}
	return t.x.retryDenied(failed) == ""
}

// statusImpliesNotExecuted reports whether a status implies that nothing has run.
func statusImpliesNotExecuted(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// maxLoggedParts limits the parts of a prompt in a log line.
const maxLoggedParts = 16

// logAttempt writes the attempt's log line: what the replica was chosen by, and how it
// ended.
func (t *attempt) logAttempt(end attemptEnd, err *problem.Error) {
	x := t.x
	fields := []zap.Field{
		logging.Request(x.req.ID), zap.Int("attempt", len(x.triedReplicas)), zap.String("service", x.service),
		zap.String("replica", t.choice.Upstream), zap.String("failure_domain", t.choice.FailureDomain), zap.String("software", t.choice.Version), zap.Stringer("content", x.fingerprint),
		zap.String("inputs_in", x.inputDomain), zap.Duration("view_age", t.began.Sub(x.viewAsOf)),
		zap.Uint64("version", x.config.Version), zap.Duration("left", x.deadline.Sub(t.began)),
		zap.Stringer("end", end), zap.Duration("took", clock.Since(t.began)),
	}
	if hash, tokens := x.sharedPrefix(); tokens > 0 {
		if t.copyFrom != "" {
			fields = append(fields, zap.String("copy_from", t.copyFrom))
		}
		fields = append(fields, zap.String("prefix", strconv.FormatUint(hash, 16)), zap.Int("shared_tokens", tokens))
	}
	if parts := x.sharedParts(); len(parts) > 0 {
		fields = append(fields, zap.Strings("parts", parts[:min(len(parts), maxLoggedParts)]))
	}
	if !t.firstAt.IsZero() {
		fields = append(fields, zap.Duration("first", t.firstAt.Sub(t.began)))
	}
	if t.choice.Slowdown > 0 {
		fields = append(fields, zap.Float64("slowdown", math.Round(100*t.choice.Slowdown)/100))
	}
	if t.choice.ExpectedPause > 0 {
		fields = append(fields, zap.Duration("expected_pause", t.choice.ExpectedPause.Round(time.Millisecond)))
	}
	if t.pauses.longest > 0 {
		fields = append(fields, zap.Duration("pause", t.pauses.longest))
	}
	if t.refusalReason != "" {
		fields = append(fields, zap.String("refused_for", string(t.refusalReason)))
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
	if t.connectError != nil {
		fields = append(fields, zap.Error(t.connectError))
	}
	if t.via != "" {
		fields = append(fields, zap.String("via", t.via))
	}
	if err != nil {
		fields = append(fields, zap.String("why", err.Detail))
	}
	x.g.log.Info("attempt", fields...)
}

// expectedMillis is the time that a stream was expected to take, in milliseconds: streams
// of one route differ by a factor of a hundred. It is 0 when that is not known.
func (t *attempt) expectedMillis(o request.Outcome) int {
	if t.eventsReceived == 0 {
		return 0
	}
	expected := t.x.g.streamTimes.observeTotal(t.x.service, t.x.unsharedTokens(), t.eventsReceived, o.FirstByte, o.Latency)
	return int(expected.Milliseconds())
}

// countEvents records the number of events of a complete stream. Streams that were resumed
// after an event that the caller already had are incomplete.
func (t *attempt) countEvents() {
	x := t.x
	if t.eventsReceived > 0 && t.runNumber == 1 && x.req.LastEventID == "" {
		x.g.eventCounts.observe(x.route.Name, x.req.OutputTokens, t.eventsReceived)
	}
}

// reportOutcome reports the end of the attempt to the router.
func (t *attempt) reportOutcome(end attemptEnd) {
	now := clock.Now()
	o := request.Outcome{Choice: t.choice, Stage: t.x.route.Name, Latency: now.Sub(t.began), LongestPause: t.pauses.longest}
	if !t.firstAt.IsZero() {
		o.FirstByte = t.firstAt.Sub(t.began)
	}
	t.x.g.countAttempt(t.x.service, end, o.Latency)
	if t.stallError != nil {
		t.x.g.countCancelledStall(t.x.service, t.stallError.status)
	}
	t.x.g.recordRefusal(t.x.service, t.choice.Upstream, t.refusalReason)
	if end == answered || end == failedRetrying {
		t.x.g.quarantine.ReplicaAnswered(t.x.service, t.choice.Upstream, t.choice.Address)
		t.x.g.quarantine.RunSucceeded(t.x.fingerprint)
	}
	if end == answered && t.x.status == http.StatusOK {
		t.partsSurvived(true)
	}
	switch end {
	case answered:
		o.Result = request.CallOK
		o.Work = t.expectedMillis(o)
		t.countEvents()
	case notExecuted, inputsGone:
		o.Result = request.CallRefused
	case notSent, failed, oversized, malformed, failedRetrying:
		o.Result = request.CallFailed
	case stalled:
		o.Result = request.CallCancelled
		if t.stallError != nil && t.stallError.replicaAtFault() {
			o.Result = request.CallFailed
		}
	case abandoned, noMemory, panicked:
		// The replica is not at fault, or need not be.
		o.Result = request.CallCancelled
	}
	t.x.picked = nil
	t.x.g.router.Done(now, o)
}
