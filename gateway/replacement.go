package gateway

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/core/request"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/logging"
	"github.com/wheatseam/wheatseam/replica"
)

// replacement is everything that a further run of a request needs: a repeat of the
// budget, a replica with a place held for the request, and the inputs.
type replacement struct {
	choice request.Choice
	// hold is the place held there; "" where the replica holds none.
	hold string
	// inputs are those of the run; nil for a request without stages.
	inputs *inputs
}

const (
	// holdTimeout bounds holding a place at one replica; then another one is asked.
	holdTimeout = 250 * time.Millisecond
	// holdLife is for how long a place is held, and renewHold when it is held anew
	// after that long, as the inputs took.
	holdLife  = time.Second
	renewHold = 700 * time.Millisecond
	// maxHoldTries bounds the replicas that are asked for a place.
	maxHoldTries = 3
)

// secure secures a further run of the request while an attempt is under way. It is
// called beside the exchange's own goroutine and changes nothing of the exchange
// but prepared. What is returned is owed to giveBack, unless it is used. Only for a run
// that is doubted a replica that holds no places is taken at the router's word.
func (x *exchange) secure(ctx context.Context, t *try, at progress, doubted bool) (*replacement, denial) {
	if d := x.furtherRunDenied(t, at); d != "" {
		return nil, d
	}
	budget := x.g.budget(x.service)
	if !budget.Withdraw(clock.Now()) {
		return nil, deniedBudget
	}
	r, d := x.secureRun(ctx, t, doubted)
	if r == nil {
		budget.Refund(clock.Now())
	}
	return r, d
}

// furtherRunDenied says what speaks against a further run that begins now; "" for
// nothing.
func (x *exchange) furtherRunDenied(t *try, at progress) denial {
	expected, _ := x.g.streams.expect(x.service, x.route.Name, x.ownTokens())
	switch {
	case !x.resumableAfter(at):
		return deniedCommitted
	case clock.Until(x.deadline) <= expected:
		return deniedTime
	case x.quarantined() != nil:
		return deniedVerdict
	}
	return x.anotherRunDenied(t.executions)
}

// secureRun secures a replica and the inputs. The place comes first: inputs that are
// made for nothing cost other requests their calls.
func (x *exchange) secureRun(ctx context.Context, t *try, doubted bool) (*replacement, denial) {
	r := &replacement{}
	if !x.holdPlace(ctx, r, doubted) {
		return nil, deniedOr(ctx, deniedReplica)
	}
	if len(x.inputs) == 0 || t.keepInputs() {
		return x.stillTaken(r)
	}
	held := clock.Now()
	in, perr := x.makeInputs(ctx, held)
	if perr != nil {
		x.givePlaceBack(r)
		return nil, deniedOr(ctx, deniedInputs)
	}
	r.inputs = in
	if clock.Since(held) > renewHold && !x.renewPlace(ctx, r) {
		x.givePlaceBack(r)
		x.releaseInputs()
		return nil, deniedOr(ctx, deniedReplica)
	}
	return x.stillTaken(r)
}

// stillTaken gives a replacement up whose replica has said meanwhile that it takes nothing.
func (x *exchange) stillTaken(r *replacement) (*replacement, denial) {
	if !x.g.gates.Get(r.choice.Upstream).RefusedByReplica(clock.Now()) {
		return r, ""
	}
	x.givePlaceBack(r)
	if r.inputs != nil {
		x.releaseInputs()
	}
	return nil, deniedReplica
}

// renewPlace has another place held where the first one may lapse.
func (x *exchange) renewPlace(ctx context.Context, r *replacement) bool {
	if r.hold == "" {
		return true
	}
	hold, err := x.hold(ctx, r.choice)
	if err != nil {
		return false
	}
	go x.dropHold(r.choice, r.hold)
	r.hold = hold
	return true
}

// deniedOr is a denial, or that the replacement is not wanted any more.
func deniedOr(ctx context.Context, d denial) denial {
	if ctx.Err() != nil {
		return deniedMeanwhile
	}
	return d
}

// holdPlace picks a replica that was not tried and has a place held there.
func (x *exchange) holdPlace(ctx context.Context, r *replacement, doubted bool) bool {
	q := x.query()
	for n := 0; n < maxHoldTries && ctx.Err() == nil; n++ {
		choice, perr := x.g.router.Pick(clock.Now(), q, nil)
		if perr != nil {
			return false
		}
		if slices.Contains(q.TriedUpstreams, choice.Upstream) {
			x.g.router.CancelPick(clock.Now(), choice)
			return false
		}
		hold, err := x.hold(ctx, choice)
		if err == nil || doubted && errors.Is(err, replica.ErrUnsupportedCall) {
			r.choice, r.hold = choice, hold
			return true
		}
		x.g.log.Info("no place held", logging.Request(x.req.ID), zap.String("replica", choice.Upstream), zap.Error(err))
		x.unpick(choice, err)
		q.TriedUpstreams = append(slices.Clip(q.TriedUpstreams), choice.Upstream)
	}
	return false
}

// unpick takes the pick of a replica back that held no place. One that refuses is left
// alone for a moment.
func (x *exchange) unpick(c request.Choice, err error) {
	if errors.Is(err, replica.ErrNoCapacity) {
		x.g.router.Done(clock.Now(), request.Outcome{Choice: c, Stage: x.route.Name, Result: request.CallRefused})
		return
	}
	x.g.router.CancelPick(clock.Now(), c)
}

// hold has a place held at a replica. One that comes when it is not wanted any more is
// given back.
func (x *exchange) hold(ctx context.Context, c request.Choice) (string, error) {
	type held struct {
		name string
		err  error
	}
	answered := make(chan held, 1)
	go func() {
		call, cancel := clock.WithTimeout(context.Background(), holdTimeout)
		defer cancel()
		name, err := x.g.client.Reserve(call, c.Upstream, c.Address, x.req.PromptTokens+x.req.OutputTokens, holdLife)
		answered <- held{name, err}
	}()
	select {
	case h := <-answered:
		return h.name, h.err
	case <-ctx.Done():
		go func() {
			if h := <-answered; h.err == nil {
				x.dropHold(c, h.name)
			}
		}()
		return "", ctx.Err()
	}
}

// giveBack gives a replacement back that is not used.
func (x *exchange) giveBack(r *replacement) {
	x.g.budget(x.service).Refund(clock.Now())
	x.givePlaceBack(r)
	// Inputs that it shares with the run under way stay that one's.
	if r.inputs != nil {
		x.releaseInputs()
	}
}

// givePlaceBack gives the pick and the held place back.
func (x *exchange) givePlaceBack(r *replacement) {
	x.g.router.CancelPick(clock.Now(), r.choice)
	if r.hold != "" {
		go x.dropHold(r.choice, r.hold)
	}
}

// dropHold gives a held place back before it lapses.
func (x *exchange) dropHold(c request.Choice, hold string) {
	ctx, cancel := clock.WithTimeout(context.Background(), holdTimeout)
	defer cancel()
	if err := x.g.client.ReleaseReservation(ctx, c.Upstream, c.Address, hold); err != nil {
		x.g.log.Info("held place not given back", logging.Request(x.req.ID), zap.String("replica", c.Upstream), zap.Error(err))
	}
}

// takeNext has the next attempt be the one that was secured.
func (x *exchange) takeNext() (request.Choice, string) {
	r := x.next
	x.next = nil
	if r.inputs != nil {
		x.takeInputs(r.inputs)
	}
	return r.choice, r.hold
}

// returnNext gives a replacement back that the exchange did not come to use.
func (x *exchange) returnNext() {
	if x.next != nil {
		x.giveBack(x.next)
		x.next = nil
	}
}
