package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/core/catalog"
	"github.com/wheatseam/wheatseam/core/poison"
	"github.com/wheatseam/wheatseam/core/request"
	"github.com/wheatseam/wheatseam/core/sequence"
	"github.com/wheatseam/wheatseam/core/stage"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/logging"
	"github.com/wheatseam/wheatseam/platform"
	"github.com/wheatseam/wheatseam/problem"
	"github.com/wheatseam/wheatseam/replica"
	"github.com/wheatseam/wheatseam/stages"
)

// exchange is one request of a caller, from its arrival to its answer. It is used by one
// goroutine.
type exchange struct {
	g       *Gateway
	w       http.ResponseWriter
	r       *http.Request
	arrived time.Time
	req     platform.Request
	config  *catalog.Config
	// viewAsOf is when the contents of config were read from the store.
	viewAsOf       time.Time
	route          *catalog.Route
	customerConfig *catalog.CustomerConfig
	service        string
	// bodyMu guards body, bodyMemory, and what follows. bodyGivenUp says that the body was given
	// up: no further attempt is possible. unretain ends that it may be; nil if it may not.
	// bodyUse counts the times that the body was needed again.
	bodyMu      sync.Mutex
	body        []byte
	bodyGivenUp bool
	unretain    func()
	bodyUse     int
	// memory is the account of the bytes held for others; nil for no limit.
	memory *memory
	// bodyRefused says that the body was not read for want of memory. bodyMemory is the memory of
	// body.
	bodyRefused bool
	bodyMemory  *buffer
	// fingerprint identifies the request by its content, under whatever ID it is sent, and
	// parts are the parts of its prompt that other requests may share.
	fingerprint poison.Fingerprint
	parts       []poison.Fingerprint
	// trial is the quarantined subject with which the request may nevertheless run once; nil
	// for none.
	trial *poison.Fingerprint
	// ctx ends when the caller disconnects, or at its deadline or the route's timeout,
	// whichever comes first; deadline is the earlier of the latter two.
	ctx      context.Context
	deadline time.Time

	// inputsHeld is set while stage results are held for this request.
	inputsHeld atomic.Bool
	inputs     []string
	// inputDomain is the failure domain that holds the inputs; "" when it does not matter.
	inputDomain string

	// triedReplicas are the replicas that attempts were sent to, runs counts the attempts
	// that may have executed the request, and freeRetries the retries after attempts that
	// did not.
	triedReplicas []string
	runs          int
	freeRetries   int
	// picked is the replica that was picked for the next attempt, or that of the attempt in progress;
	// nil for none. The router counts it until the attempt ends or the pick is cancelled.
	picked *request.Choice
	// replacement is the next attempt, if one has been reserved.
	replacement *replacement
	// cancelledRun says that this host cancelled a stalled run in favour of another one.
	cancelledRun bool
	// givenUp is the last attempt that this host cancelled so; nil for none.
	givenUp *attempt
	// retryDenial says why no attempt followed the last one.
	retryDenial denial
	// origin is the software version that wrote the first event which the caller has; nil
	// before there is one. Only replicas of this version can continue the stream.
	origin atomic.Pointer[string]
	// undecided is the first lookup of the stream that the caller takes up while its version may yet
	// become known; nil otherwise.
	undecided *originLookup
	// readVersion is the version whose replicas may have read the prompt before the stream began;
	// nil if none has.
	readVersion atomic.Pointer[string]
	// announcedVersion is the last version of which it was announced that it reads the prompt; ""
	// before.
	announcedVersion string
	// committed says that the head of the answer has been sent; lastEvent is the ID of the
	// last event that was sent.
	committed  bool
	lastEvent  string
	eventsSent int
	// sequence decides which events are sent; nil before the first run of a stream.
	sequence *sequence.Stream
	// unresumable says that the caller has events which are not part of the stream that it asked
	// for.
	unresumable bool
	// lastSentAt is when the last event was sent, longestPause the longest time between two
	// events.
	lastSentAt   time.Time
	longestPause time.Duration

	inputsReadyAt, firstEventAt time.Time
	outcome                     string
	detail                      string
	retryAfter                  time.Duration
	status                      int
}

// serve handles one request of a caller.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	x := &exchange{g: g, w: w, r: r, memory: g.memory, arrived: clock.Now(), req: platform.DecodeRequest(r.Header)}
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	defer x.logRequest()
	defer x.releaseUnusedTrial()
	defer x.releaseUnusedReplacement()
	defer x.cancelPicked()
	defer x.releaseBody()
	if err := x.admit(); err != nil {
		x.respondError(err)
		x.discardBody()
		return
	}
	ctx, cancel := clock.WithDeadline(r.Context(), x.deadline)
	defer cancel()
	x.ctx = ctx
	defer x.releaseInputs()
	if x.route.Resumable {
		defer g.origins.begin(x.originKey())()
	}
	if err := x.prepare(); err != nil {
		x.respondError(err)
		return
	}
	x.relay()
}

// notReadyRetryAfter is the shortest Retry-After sent while no configuration is known. The
// daemon has only just started; if all daemons have, and the store is unavailable, a caller
// that returns at once uses up its only retry.
const notReadyRetryAfter = 200 * time.Millisecond

// admit checks whether the request may be served at all, and reads its body.
func (x *exchange) admit() *problem.Error {
	v := x.g.discovery.View()
	if !v.Ready() {
		x.deadline = x.arrived.Add(x.req.Timeout)
		return withRetryAfter(problem.New(problem.NotReady, "no configuration is known yet"), max(notReadyRetryAfter, x.retryDelay(notReadyRetryAfter)))
	}
	x.config, x.viewAsOf = v.Config, v.AsOf
	path, _, _ := strings.Cut(x.r.RequestURI, "?")
	x.route = v.Config.Match(x.r.Host, path)
	if x.route == nil {
		return problem.New(problem.NotFound, "no route")
	}
	if err := x.authorize(); err != nil {
		return err
	}
	if x.req.ID == "" {
		return problem.New(problem.BadRequest, "no request id")
	}
	if err := replica.CheckTarget(x.r.RequestURI); err != nil {
		return problem.New(problem.BadRequest, "the path can't be passed on unchanged")
	}
	x.deadline = x.arrived.Add(x.route.Timeout)
	if x.req.Timeout > 0 && x.req.Timeout < x.route.Timeout {
		x.deadline = x.arrived.Add(x.req.Timeout)
	}
	if slices.ContainsFunc(x.req.PieceCounts, func(n int) bool { return n > stage.MaxStagePieces }) {
		return problem.New(problem.TooLarge, "a stage of over %d pieces", stage.MaxStagePieces)
	}
	if err := x.readBody(); err != nil {
		return err
	}
	x.service = x.route.PickService(rand.Float64())
	x.parts = x.partFingerprints()
	x.requestTrial()
	if err := x.checkQuarantine(); err != nil {
		return err
	}
	if err := x.checkPaths(); err != nil {
		return err
	}
	if err := x.checkEvacuation(); err != nil {
		return err
	}
	return x.resolveOrigin()
}

// authorize finds the customer that owns the request's API key.
func (x *exchange) authorize() *problem.Error {
	if x.config.Customers == nil {
		return nil
	}
	x.customerConfig = x.config.Customers[x.req.APIKey]
	if x.customerConfig == nil && !x.route.Public {
		return problem.New(problem.Unauthorized, "unknown key")
	}
	return nil
}

// customer is the name of the customer; "" on public routes without a key.
func (x *exchange) customer() string {
	if x.customerConfig == nil {
		return ""
	}
	return x.customerConfig.Name
}

// priority ranks the request among others.
func (x *exchange) priority() catalog.Rank { return catalog.RankOf(x.customerConfig, x.route) }

// sharedPrefix is the hash of the part of the prompt that other requests share, and its
// tokens; zero without any.
func (x *exchange) sharedPrefix() (hash uint64, tokens int) {
	hashes := x.prefixHashes()
	if len(hashes) == 0 {
		return 0, 0
	}
	for _, p := range x.req.Prompt[:len(hashes)] {
		tokens += p.Tokens
	}
	return hashes[len(hashes)-1], tokens
}

// minHomeTokens is the length of a shared prefix from which a request's stages run near the
// engine that holds the prefix: reading that many tokens again takes about 20 ms.
const minHomeTokens = 1000

// stageInputs are the results of the stages, which an engine reads.
type stageInputs struct {
	handles []string
	// domain is the failure domain that holds them; "" when it does not matter.
	domain string
}

// prepareInputs runs the stages of the request, if it has any.
func (x *exchange) prepareInputs() *problem.Error { return x.prepareInputsFor(x.firstRun()) }

// prepareInputsFor is prepareInputs for one of the request's runs.
func (x *exchange) prepareInputsFor(run runStart) *problem.Error {
	in, perr := x.runStages(x.ctx, run)
	if in != nil {
		x.useInputs(in)
	}
	return perr
}

// useInputs makes the next attempt read the inputs.
func (x *exchange) useInputs(in *stageInputs) {
	x.inputs, x.inputDomain = in.handles, in.domain
	x.inputsReadyAt = clock.Now()
}

// runStages runs the stages of the request, if it has any, and holds their results; nil
// without stages. They are due for the given run: once an answer has started, the rest of its own
// objective does not determine when the next run needs the results. runStages changes nothing else
// of the exchange.
func (x *exchange) runStages(ctx context.Context, run runStart) (*stageInputs, *problem.Error) {
	j, ok := x.stageJob(run)
	if !ok {
		return nil, nil
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(x.g.prepareCtx, cancel)()
	defer x.g.quarantine.Watch(x.refusableSubjects(), cancel)()
	end := x.g.stages.Prepare(ctx, j)
	if end == nil {
		end = &stages.JobOutcome{Refused: &stage.Refused{Job: j.ID, Reason: stage.ReasonExpired}}
	}
	if j.ContinuesStream {
		x.g.countContinuation(end)
	}
	if end.Refused != nil {
		if perr := x.checkQuarantine(); perr != nil {
			return nil, perr
		}
		return nil, x.stageRefusal(j, end.Refused)
	}
	in := &stageInputs{handles: end.Ready.Handles}
	x.inputsHeld.Store(true)
	if _, tokens := x.sharedPrefix(); end.Ready.DomainBytes > int64(tokens)*remoteBytesPerToken {
		in.domain = end.Ready.Domain
	}
	return in, nil
}

// remoteBytesPerToken is how many bytes of inputs sent across failure domains cost as much,
// at the users' prices, as reading one token of a shared prefix again: an engine near the
// inputs is preferred only if the inputs cost more.
const remoteBytesPerToken = 2000

// stageJob is the stage work of a run of the request; false when there is none.
func (x *exchange) stageJob(run runStart) (stage.Job, bool) {
	j := stage.Job{
		ID: x.req.ID, Key: x.req.PieceKey, Rank: x.priority(), Deadline: x.deadline,
		Customer: x.customer(), ContinuesStream: run.continuesStream(),
	}
	j.Due, j.Latest = x.stageDeadlines(run)
	pieces := 0
	for i, s := range x.route.Stages {
		st := stage.Stage{Service: s.Service, DependsOn: s.After, ResultBytes: s.ResultBytes}
		if i < len(x.req.PieceCounts) {
			st.Pieces = x.req.PieceCounts[i]
		}
		pieces += st.Pieces
		j.Stages = append(j.Stages, st)
	}
	if hash, tokens := x.sharedPrefix(); tokens >= minHomeTokens {
		q := request.Query{Pool: x.service, Prefix: hash, GapObjective: x.route.GapObjective, ExpectedEvents: x.expectedEvents()}
		j.Domain = x.g.router.PrefixHomeDomain(clock.Now(), q)
	}
	return j, pieces > 0
}

// logRequest writes the request's log line and metrics.
func (x *exchange) logRequest() {
	fields := []zap.Field{
		logging.Request(x.req.ID), zap.String("outcome", x.outcome), zap.Int("status", x.status),
		zap.Duration("took", clock.Since(x.arrived)), zap.Int("runs", x.runs), zap.Strings("replicas", x.triedReplicas),
	}
	if x.config != nil {
		fields = append(fields, zap.Uint64("version", x.config.Version), zap.Duration("view_age", x.arrived.Sub(x.viewAsOf)))
	}
	if x.route != nil {
		fields = append(fields, zap.String("route", x.route.Name), zap.String("service", x.service),
			zap.Int("customer_priority", x.priority().Customer), zap.Int("route_priority", x.priority().Route))
	}
	if x.customerConfig != nil {
		fields = append(fields, zap.String("customer", x.customerConfig.Name))
	}
	if x.fingerprint != (poison.Fingerprint{}) {
		fields = append(fields, zap.Stringer("content", x.fingerprint))
	}
	if len(x.req.ForgedHeaders) > 0 {
		fields = append(fields, zap.Strings("forged_headers", x.req.ForgedHeaders))
	}
	if n := x.req.PromptTokens; n > 0 {
		fields = append(fields, zap.Int("prompt_tokens", n))
	}
	if id := x.req.LastEventID; id != "" {
		fields = append(fields, zap.String("resumes", x.req.ResumedID), zap.String("after_event", id))
	}
	if x.retryDenial != "" {
		fields = append(fields, zap.String("no_repeat", string(x.retryDenial)))
	}
	if x.detail != "" {
		fields = append(fields, zap.String("why", x.detail), zap.Duration("retry_after", x.retryAfter))
	}
	if !x.inputsReadyAt.IsZero() {
		fields = append(fields, zap.Duration("prepared", x.inputsReadyAt.Sub(x.arrived)))
	}
	if !x.firstEventAt.IsZero() {
		fields = append(fields, zap.Duration("first", x.firstEventAt.Sub(x.arrived)), zap.Int("events", x.eventsSent), zap.Duration("pause", x.longestPause))
	}
	x.g.log.Info("request", fields...)
	x.g.countForged(x.req.ForgedHeaders)
	x.g.metrics.GetOrCreateCounter(fmt.Sprintf("wheatseam_requests_total{outcome=%q}", x.outcome)).Inc()
	x.g.metrics.GetOrCreateHistogram("wheatseam_request_seconds").Update(clock.Since(x.arrived).Seconds())
	if !x.inputsReadyAt.IsZero() {
		x.g.metrics.GetOrCreateHistogram("wheatseam_stages_seconds").Update(x.inputsReadyAt.Sub(x.arrived).Seconds())
	}
	if !x.firstEventAt.IsZero() {
		x.g.metrics.GetOrCreateHistogram("wheatseam_first_event_seconds").Update(x.firstEventAt.Sub(x.arrived).Seconds())
	}
}
