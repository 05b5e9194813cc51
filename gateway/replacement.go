package gateway

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/core/request"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/internal/httpbody"
	"github.com/wheatseam/wheatseam/logging"
	"github.com/wheatseam/wheatseam/platform"
	"github.com/wheatseam/wheatseam/problem"
	"github.com/wheatseam/wheatseam/replica"
)

// replacement is everything that another run of a request needs: a retry from the budget, a
// replica with capacity reserved for the request, and the inputs.
type replacement struct {
	choice request.Choice
	// reservation is the ID of the capacity reserved there; "" where the replica supports
	// no reservations.
	reservation string
	// reservedAt is when the capacity was reserved, and released says that it is no longer held.
	reservedAt time.Time
	released   bool
	// copySource is the replica that has copied the memory of its run, which it stopped, to choice,
	// and copyHandle names the copy there; "" for none.
	copySource request.Choice
	copyHandle string
	// inputs are those of the run; nil for a request without stages.
	inputs *stageInputs
}

// heldCapacity is what a replica holds for a request that is sent to it.
type heldCapacity struct {
	// reservation is the ID of reserved capacity, and runCopy names a copy of the memory of the
	// request's last run; "" for none.
	reservation, runCopy string
}

const (
	// reservationTimeout limits one reservation call; after it another replica is asked.
	reservationTimeout = 250 * time.Millisecond
	// reservationTTL is for how long capacity is reserved. A reservation is renewed if
	// running the stages took longer than reservationRenewAfter.
	reservationTTL        = time.Second
	reservationRenewAfter = 700 * time.Millisecond
	// maxReservationAttempts limits the replicas that are asked to reserve capacity.
	maxReservationAttempts = 3
)

// reserveReplacement reserves another run of the request while an attempt is in progress.
// It is called concurrently with the exchange's own goroutine and changes nothing of the
// exchange but inputsHeld. The result must be used or passed to releaseReplacement. A
// replica that supports no reservations is accepted, on the router's choice alone, only if
// the current run is suspected to have failed.
func (x *exchange) reserveReplacement(ctx context.Context, current *attempt, at progress, suspected bool) (*replacement, denial) {
	if d := x.replacementDenied(current, at); d != "" {
		return nil, d
	}
	budget := x.g.retryBudget(x.service)
	if !budget.Withdraw(clock.Now()) {
		return nil, deniedBudget
	}
	r, d := x.reserveReplicaAndInputs(ctx, current, at, suspected)
	if r == nil {
		budget.Refund(clock.Now())
	}
	return r, d
}

// replacementDenied says why no further run may begin now; "" if one may.
func (x *exchange) replacementDenied(current *attempt, at progress) denial {
	expected, _ := x.g.streamTimes.expectFirstEvent(x.service, x.route.Name, x.unsharedTokens())
	switch {
	case !x.resumableFrom(at):
		return deniedCommitted
	case clock.Until(x.deadline) <= expected:
		return deniedTime
	case x.checkQuarantine() != nil:
		return deniedQuarantine
	}
	return x.routeRetryDenied(current.runNumber)
}

// reserveReplicaAndInputs reserves a replica and produces the inputs. The replica comes
// first: inputs that are produced in vain take stage capacity from other requests.
func (x *exchange) reserveReplicaAndInputs(ctx context.Context, current *attempt, at progress, suspected bool) (*replacement, denial) {
	r := &replacement{}
	if !x.reserveReplica(ctx, r, suspected) {
		return nil, denialOrCancelled(ctx, deniedReplica)
	}
	if len(x.inputs) == 0 || current.cancelInputRelease() {
		return x.confirmReplacement(r)
	}
	reservedAt := clock.Now()
	in, perr := x.runStages(ctx, x.runAfter(reservedAt, at.waitsSince, at.lastEvent))
	if perr != nil {
		x.releaseReplica(r)
		return nil, denialOrCancelled(ctx, deniedInputs)
	}
	r.inputs = in
	if clock.Since(reservedAt) > reservationRenewAfter && !x.renewReservation(ctx, r) {
		x.releaseReplica(r)
		x.releaseInputs()
		return nil, denialOrCancelled(ctx, deniedReplica)
	}
	return x.confirmReplacement(r)
}

// confirmReplacement returns a replacement, or releases it if its replica has announced
// since it was picked that it takes no calls.
func (x *exchange) confirmReplacement(r *replacement) (*replacement, denial) {
	if !x.g.limiters.Get(r.choice.Upstream).RefusedByReplica(clock.Now()) {
		return r, ""
	}
	x.releaseReplica(r)
	if r.inputs != nil {
		x.releaseInputs()
	}
	return nil, deniedReplica
}

// renewReservation replaces a reservation that may expire soon by a new one at the same
// replica.
func (x *exchange) renewReservation(ctx context.Context, r *replacement) bool {
	if r.reservation == "" {
		return true
	}
	id, err := x.reserve(ctx, r.choice)
	if err != nil {
		return false
	}
	go x.cancelReservation(r.choice, r.reservation)
	r.reservation, r.reservedAt = id, clock.Now()
	return true
}

// denialOrCancelled is d, or deniedCancelled if the replacement is no longer wanted.
func denialOrCancelled(ctx context.Context, d denial) denial {
	if ctx.Err() != nil {
		return deniedCancelled
	}
	return d
}

// reserveReplica picks a replica that no attempt was sent to yet and reserves capacity
// there.
func (x *exchange) reserveReplica(ctx context.Context, r *replacement, suspected bool) bool {
	q := x.routerQuery()
	for n := 0; n < maxReservationAttempts && ctx.Err() == nil; n++ {
		choice, perr := x.pick(q)
		if perr != nil {
			return false
		}
		if slices.Contains(q.TriedUpstreams, choice.Upstream) {
			x.g.router.CancelPick(clock.Now(), choice)
			return false
		}
		id, err := x.reserve(ctx, choice)
		if err == nil || suspected && errors.Is(err, replica.ErrUnsupportedCall) {
			r.choice, r.reservation, r.reservedAt = choice, id, clock.Now()
			return true
		}
		x.g.log.Info("no capacity reserved", logging.Request(x.req.ID), zap.String("replica", choice.Upstream), zap.Error(err))
		x.releasePick(choice, err)
		q.TriedUpstreams = append(slices.Clip(q.TriedUpstreams), choice.Upstream)
	}
	return false
}

// releasePick releases the pick of a replica that reserved no capacity. The router avoids a
// replica that refused for a moment, and counts an oversized or malformed response as a failure.
func (x *exchange) releasePick(c request.Choice, err error) {
	o := request.Outcome{Choice: c, Stage: x.route.Name}
	switch {
	case errors.Is(err, replica.ErrNoCapacity):
		o.Result = request.CallRefused
	case isOversized(err), errors.Is(err, httpbody.ErrMalformedHead):
		o.Result = request.CallFailed
	default:
		x.g.router.CancelPick(clock.Now(), c)
		return
	}
	x.g.router.Done(clock.Now(), o)
}

// reserve reserves capacity at a replica. A reservation that arrives when it is no longer
// wanted is cancelled.
func (x *exchange) reserve(ctx context.Context, c request.Choice) (string, error) {
	type result struct {
		id  string
		err error
	}
	reserved := make(chan result, 1)
	go func() {
		callCtx, cancel := clock.WithTimeout(context.Background(), reservationTimeout)
		defer cancel()
		d := dialed{x.service, c.Upstream, clock.Now(), clock.SuspendedTime()}
		id, err := x.g.client.Reserve(callCtx, c.Upstream, c.Address, x.req.PromptTokens+x.req.OutputTokens, reservationTTL)
		x.g.reportDialError(callCtx, d, err)
		reserved <- result{id, err}
	}()
	select {
	case res := <-reserved:
		return res.id, res.err
	case <-ctx.Done():
		go func() {
			if res := <-reserved; res.err == nil {
				x.cancelReservation(c, res.id)
			}
		}()
		return "", ctx.Err()
	}
}

// releaseReplacement releases a replacement that is not used.
func (x *exchange) releaseReplacement(r *replacement) {
	x.g.retryBudget(x.service).Refund(clock.Now())
	x.releaseReplica(r)
	// Inputs that it shares with the current run stay with that run.
	if r.inputs != nil {
		x.releaseInputs()
	}
}

// releaseReplica releases the pick, the reservation and the copy, if that was not done before.
func (x *exchange) releaseReplica(r *replacement) {
	if r.released {
		return
	}
	r.released = true
	x.g.router.CancelPick(clock.Now(), r.choice)
	if r.reservation != "" {
		go x.cancelReservation(r.choice, r.reservation)
	}
	if r.copyHandle != "" {
		go x.releaseRunCopy(r.copySource, r.copyHandle)
	}
}

// cancelReservation cancels a reservation before it expires.
func (x *exchange) cancelReservation(c request.Choice, id string) {
	ctx, cancel := clock.WithTimeout(context.Background(), reservationTimeout)
	defer cancel()
	if err := x.g.client.ReleaseReservation(ctx, c.Upstream, c.Address, id); err != nil {
		x.g.log.Info("reservation not cancelled", logging.Request(x.req.ID), zap.String("replica", c.Upstream), zap.Error(err))
	}
}

// takeReplacement makes the reserved replacement the next attempt. Another replica is picked if
// things have changed since the reservation, during which stages may have run and the end of the
// run before was awaited: its replica takes no new work any more, or announces that it takes no
// calls, or has another version than the stream, whose first event has come.
func (x *exchange) takeReplacement() (c request.Choice, held heldCapacity, perr *problem.Error) {
	r := x.replacement
	x.replacement = nil
	if r.inputs != nil {
		x.useInputs(r.inputs)
	}
	version := x.origin.Load()
	if !r.released && (version == nil || *version == r.choice.Version) && x.g.takesNewWork(r.choice) && !x.g.limiters.Get(r.choice.Upstream).RefusedByReplica(clock.Now()) {
		x.picked = &r.choice
		if r.copyHandle == "" {
			return r.choice, heldCapacity{reservation: r.reservation}, nil
		}
		// The copy has memory and a slot of its own.
		if r.reservation != "" {
			go x.cancelReservation(r.choice, r.reservation)
		}
		return r.choice, heldCapacity{runCopy: platform.CopySource(r.copySource.Address, r.copyHandle)}, nil
	}
	x.releaseReplica(r)
	if c, perr = x.g.router.Pick(clock.Now(), x.routerQuery(), nil); perr == nil {
		x.picked = &c
	}
	return c, held, perr
}

// cancelPicked cancels the pick of the exchange, if there is one.
func (x *exchange) cancelPicked() {
	if x.picked != nil {
		x.g.router.CancelPick(clock.Now(), *x.picked)
		x.picked = nil
	}
}

// takesNewWork reports whether the newest view lists a replica as one that takes new work.
func (g *Gateway) takesNewWork(c request.Choice) bool {
	v := g.discovery.View()
	r := v.Replicas.Find(c.Upstream)
	return r != nil && !v.RefusesNewWork(r)
}

// releaseUnusedReplacement releases a replacement that the exchange did not use.
func (x *exchange) releaseUnusedReplacement() {
	if x.replacement != nil {
		x.releaseReplacement(x.replacement)
		x.replacement = nil
	}
}
