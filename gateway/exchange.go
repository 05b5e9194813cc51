package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/core/catalog"
	"github.com/wheatseam/wheatseam/core/poison"
	"github.com/wheatseam/wheatseam/core/stage"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/logging"
	"github.com/wheatseam/wheatseam/platform"
	"github.com/wheatseam/wheatseam/problem"
	"github.com/wheatseam/wheatseam/stages"
)

// exchange is one request of a caller on its way to its answer. One goroutine
// uses it.
type exchange struct {
	g       *Gateway
	w       http.ResponseWriter
	r       *http.Request
	arrived time.Time
	req     platform.Request
	config  *catalog.Config
	// viewAsOf is when what config holds was read.
	viewAsOf time.Time
	route    *catalog.Route
	tenant   *catalog.CustomerConfig
	service  string
	body     []byte
	// content names the request whatever id it comes under.
	content poison.Fingerprint
	// trial says that it is condemned and may be run once all the same.
	trial bool
	// ctx ends with the caller, its deadline or the route's timeout, whichever
	// comes first; deadline is when the latter two do.
	ctx      context.Context
	deadline time.Time

	// prepared says that results of stages are held for this request.
	prepared atomic.Bool
	inputs   []string
	// domain is where the inputs lie; "" when that does not matter.
	domain string

	// tried names the replicas that attempts went to, runs counts those that
	// may have executed the request, and spare the repeats that were free.
	tried []string
	runs  int
	spare int
	// next is what the next attempt is to be, if it has been secured.
	next *replacement
	// leftOne says that this host ended a run in favour of another one.
	leftOne bool
	// noRepeat says why no attempt followed the last one.
	noRepeat denial
	// committed says that the head of the answer has been sent, lastEvent the
	// id of the last event that was.
	committed bool
	lastEvent string
	events    int
	// sentAt is when the last event was sent, pause the longest time between
	// two of them.
	sentAt time.Time
	pause  time.Duration

	preparedAt, firstAt time.Time
	outcome             string
	detail              string
	retryAfter          time.Duration
	status              int
}

// serve takes a request of a caller.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	x := &exchange{g: g, w: w, r: r, arrived: clock.Now(), req: platform.DecodeRequest(r.Header)}
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	defer x.log()
	defer x.returnTrial()
	defer x.returnNext()
	if err := x.accept(); err != nil {
		x.refuse(err)
		return
	}
	ctx, cancel := clock.WithDeadline(r.Context(), x.deadline)
	defer cancel()
	x.ctx = ctx
	defer x.releaseInputs()
	if err := x.prepare(); err != nil {
		x.refuse(err)
		return
	}
	x.relay()
}

// notReadyRetry is the least wait told to a caller while no configuration is
// known. The daemon has just started; when all have and the store is away, a
// caller that is back at once has used its only repeat up.
const notReadyRetry = 200 * time.Millisecond

// accept decides whether the request may be served at all, and reads its body.
func (x *exchange) accept() *problem.Error {
	v := x.g.found.View()
	if !v.Ready() {
		x.deadline = x.arrived.Add(x.req.Timeout)
		return retryable(problem.New(problem.NotReady, "no configuration is known yet"), max(notReadyRetry, x.comeBack(notReadyRetry)))
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
	if err := x.readBody(); err != nil {
		return err
	}
	x.deadline = x.arrived.Add(x.route.Timeout)
	if x.req.Timeout > 0 && x.req.Timeout < x.route.Timeout {
		x.deadline = x.arrived.Add(x.req.Timeout)
	}
	x.service = x.route.PickService(rand.Float64())
	if v, condemned := x.g.quarantine.Quarantined(x.content); condemned {
		x.trial = x.g.quarantine.RequestTrial(x.r.Context(), v)
	}
	if err := x.quarantined(); err != nil {
		return err
	}
	return x.served()
}

// returnTrial gives a trial back that came to no run, so that another caller has it.
func (x *exchange) returnTrial() {
	if x.trial && x.runs == 0 {
		x.g.quarantine.ReturnTrial(x.content)
	}
}

// quarantined refuses a request that crashes replicas. It has not run under this
// id, or giveUp says so; earlier than told it would only be refused again.
func (x *exchange) quarantined() *problem.Error {
	v, condemned := x.g.quarantine.Quarantined(x.content)
	if !condemned || x.trial {
		return nil
	}
	return retryable(problem.New(problem.Quarantined, "replicas ended under it"), v.RetryAfter(clock.Now()))
}

// authorize finds the customer that holds the request's key.
func (x *exchange) authorize() *problem.Error {
	if x.config.Customers == nil {
		return nil
	}
	x.tenant = x.config.Customers[x.req.APIKey]
	if x.tenant == nil && !x.route.Public {
		return problem.New(problem.Unauthorized, "unknown key")
	}
	return nil
}

// readBody reads the whole body, so that an attempt can be repeated and a
// replica's early answer cuts nothing.
func (x *exchange) readBody() *problem.Error {
	limit := x.config.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	hasher := poison.NewHasher(x.customer(), x.r.Method, strings.ToLower(x.r.Host), x.r.RequestURI)
	body, err := io.ReadAll(io.TeeReader(http.MaxBytesReader(x.w, x.r.Body, limit), hasher))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return problem.New(problem.TooLarge, "body over %d bytes", limit)
	case err != nil:
		return problem.New(problem.BadRequest, "body not read: %v", err)
	}
	x.body, x.content = body, hasher.Sum()
	return nil
}

// customer is the name of the customer; "" on public routes without a key.
func (x *exchange) customer() string {
	if x.tenant == nil {
		return ""
	}
	return x.tenant.Name
}

// defaultMaxBodyBytes bounds bodies where the configuration does not.
const defaultMaxBodyBytes = 4 << 20

// rank is the place of the request among others.
func (x *exchange) rank() catalog.Rank { return catalog.RankOf(x.tenant, x.route) }

// prefix is the hash of the prompt's parts that other requests share, and
// their tokens; 0 without any.
func (x *exchange) prefix() (hash uint64, tokens int) {
	leading := x.leadingHashes()
	if len(leading) == 0 {
		return 0, 0
	}
	for _, p := range x.req.Prompt[:len(leading)] {
		tokens += p.Tokens
	}
	return leading[len(leading)-1], tokens
}

// homeTokens is the shared prompt from which a request's stages are made where
// the engine that holds it is: reading that many tokens again takes some 20 ms.
const homeTokens = 1000

// inputs are the results of the stages that an engine reads.
type inputs struct {
	handles []string
	// domain is where they lie; "" when that does not matter.
	domain string
}

// prepare has the stages of the request made, if it has any.
func (x *exchange) prepare() *problem.Error { return x.prepareSince(x.arrived) }

// prepareSince is prepare for a run that might have begun at a time: the request's
// arrival, or the end of an earlier attempt.
func (x *exchange) prepareSince(began time.Time) *problem.Error {
	in, perr := x.makeInputs(x.ctx, began)
	if in != nil {
		x.takeInputs(in)
	}
	return perr
}

// takeInputs has the next attempt read the inputs.
func (x *exchange) takeInputs(in *inputs) {
	x.inputs, x.domain = in.handles, in.domain
	x.preparedAt = clock.Now()
}

// makeInputs has the stages of the request made, if it has any, and holds their
// results; nil without stages. They are due by a run that might have begun at a
// time: what is left of the objective of an answer that has begun says nothing of
// when the next run needs them. It changes nothing else of the exchange.
func (x *exchange) makeInputs(ctx context.Context, began time.Time) (*inputs, *problem.Error) {
	j, ok := x.job(began)
	if !ok {
		return nil, nil
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(x.g.preparing, cancel)()
	if !x.trial {
		defer x.g.quarantine.Watch(x.content, cancel)()
	}
	end := x.g.stages.Prepare(ctx, j)
	if end == nil {
		end = &stages.JobOutcome{Refused: &stage.Refused{Job: j.ID, Reason: stage.ReasonExpired}}
	}
	if end.Refused != nil {
		if perr := x.quarantined(); perr != nil {
			return nil, perr
		}
		return nil, x.refusal(end.Refused)
	}
	in := &inputs{handles: end.Ready.Handles}
	x.prepared.Store(true)
	if _, tokens := x.prefix(); end.Ready.DomainBytes > int64(tokens)*tokenBytes {
		in.domain = end.Ready.Domain
	}
	return in, nil
}

// tokenBytes is how many bytes of inputs that cross failure domains cost what
// reading one token of a shared prompt again costs, at the users' prices: the
// engine is chosen where the inputs lie only if they weigh more.
const tokenBytes = 2000

// job is the stage work of the request; false when there is none.
func (x *exchange) job(began time.Time) (stage.Job, bool) {
	j := stage.Job{ID: x.req.ID, Key: x.req.PieceKey, Rank: x.rank(), Deadline: x.deadline}
	j.Due, j.Latest = x.stagesDue(began)
	pieces := 0
	for i, s := range x.route.Stages {
		st := stage.Stage{Service: s.Service, DependsOn: s.After, ResultBytes: s.ResultBytes}
		if i < len(x.req.PieceCounts) {
			st.Pieces = x.req.PieceCounts[i]
		}
		pieces += st.Pieces
		j.Stages = append(j.Stages, st)
	}
	if hash, tokens := x.prefix(); tokens >= homeTokens {
		j.Domain = x.g.router.PrefixHomeDomain(clock.Now(), x.service, hash)
	}
	return j, pieces > 0
}

// log writes the request's line.
func (x *exchange) log() {
	fields := []zap.Field{
		logging.Request(x.req.ID), zap.String("outcome", x.outcome), zap.Int("status", x.status),
		zap.Duration("took", clock.Since(x.arrived)), zap.Int("runs", x.runs), zap.Strings("replicas", x.tried),
	}
	if x.config != nil {
		fields = append(fields, zap.Uint64("version", x.config.Version), zap.Duration("view_age", x.arrived.Sub(x.viewAsOf)))
	}
	if x.route != nil {
		fields = append(fields, zap.String("route", x.route.Name), zap.String("service", x.service),
			zap.Int("customer_priority", x.rank().Customer), zap.Int("route_priority", x.rank().Route))
	}
	if x.tenant != nil {
		fields = append(fields, zap.String("customer", x.tenant.Name))
	}
	if x.content != (poison.Fingerprint{}) {
		fields = append(fields, zap.Stringer("content", x.content))
	}
	if len(x.req.ForgedHeaders) > 0 {
		fields = append(fields, zap.Strings("forged_headers", x.req.ForgedHeaders))
	}
	if n := x.req.PromptTokens; n > 0 {
		fields = append(fields, zap.Int("prompt_tokens", n))
	}
	if x.noRepeat != "" {
		fields = append(fields, zap.String("no_repeat", string(x.noRepeat)))
	}
	if x.detail != "" {
		fields = append(fields, zap.String("why", x.detail), zap.Duration("retry_after", x.retryAfter))
	}
	if !x.preparedAt.IsZero() {
		fields = append(fields, zap.Duration("prepared", x.preparedAt.Sub(x.arrived)))
	}
	if !x.firstAt.IsZero() {
		fields = append(fields, zap.Duration("first", x.firstAt.Sub(x.arrived)), zap.Int("events", x.events), zap.Duration("pause", x.pause))
	}
	x.g.log.Info("request", fields...)
	x.g.countForged(x.req.ForgedHeaders)
	x.g.metrics.GetOrCreateCounter(fmt.Sprintf("wheatseam_requests_total{outcome=%q}", x.outcome)).Inc()
	x.g.metrics.GetOrCreateHistogram("wheatseam_request_seconds").Update(clock.Since(x.arrived).Seconds())
	if !x.preparedAt.IsZero() {
		x.g.metrics.GetOrCreateHistogram("wheatseam_stages_seconds").Update(x.preparedAt.Sub(x.arrived).Seconds())
	}
	if !x.firstAt.IsZero() {
		x.g.metrics.GetOrCreateHistogram("wheatseam_first_event_seconds").Update(x.firstAt.Sub(x.arrived).Seconds())
	}
}
