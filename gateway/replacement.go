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
	// holdLife is for how long a place is held: the run is sent at once.
	holdLife = time.Second
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
		budget.Return(clock.Now())
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

// secureRun secures the inputs and a replica.
func (x *exchange) secureRun(ctx context.Context, t *try, doubted bool) (*replacement, denial) {
	r := &replacement{}
	if !x.otherReplica() {
		return nil, deniedReplica
	}
	if len(x.inputs) > 0 && !t.keepInputs() {
		in, perr := x.makeInputs(ctx, clock.Now())
		if perr != nil {
			return nil, deniedOr(ctx, deniedInputs)
		}
		r.inputs = in
	}
	if !x.holdPlace(ctx, r, doubted) {
		x.releaseNew(r)
		return nil, deniedOr(ctx, deniedReplica)
	}
	return r, ""
}

// deniedOr is a denial, or that the replacement is not wanted any more.
func deniedOr(ctx context.Context, d denial) denial {
	if ctx.Err() != nil {
		return deniedMeanwhile
	}
	return d
}

// otherReplica says whether a replica takes requests that was not tried: inputs
// are made again for nothing where none does.
func (x *exchange) otherReplica() bool {
	choice, perr := x.g.router.Pick(clock.Now(), x.query(), nil)
	if perr != nil {
		return false
	}
	x.g.router.Unpick(clock.Now(), choice)
	return !slices.Contains(x.tried, choice.Upstream)
}

// holdPlace picks a replica that was not tried and has a place held there.
func (x *exchange) holdPlace(ctx context.Context, r *replacement, doubted bool) bool {
	q := x.query()
	if r.inputs != nil {
		q.Domain = r.inputs.domain
	}
	for n := 0; n < maxHoldTries && ctx.Err() == nil; n++ {
		choice, perr := x.g.router.Pick(clock.Now(), q, nil)
		if perr != nil {
			return false
		}
		if slices.Contains(q.Tried, choice.Upstream) {
			x.g.router.Unpick(clock.Now(), choice)
			return false
		}
		hold, err := x.hold(ctx, choice)
		if err == nil || doubted && errors.Is(err, replica.ErrUnknownCall) {
			r.choice, r.hold = choice, hold
			return true
		}
		x.g.log.Info("no place held", logging.Request(x.req.ID), zap.String("replica", choice.Upstream), zap.Error(err))
		x.unpick(choice, err)
		q.Tried = append(slices.Clip(q.Tried), choice.Upstream)
	}
	return false
}

// unpick takes the pick of a replica back that held no place. One that refuses is left
// alone for a moment.
func (x *exchange) unpick(c request.Choice, err error) {
	if errors.Is(err, replica.ErrNoRoom) {
		x.g.router.Done(clock.Now(), request.Outcome{Choice: c, Stage: x.route.Name, Result: request.CallRefused})
		return
	}
	x.g.router.Unpick(clock.Now(), c)
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
		name, err := x.g.client.Hold(call, c.Upstream, c.Address, x.req.PromptTokens+x.req.OutputTokens, holdLife)
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
	x.g.budget(x.service).Return(clock.Now())
	x.g.router.Unpick(clock.Now(), r.choice)
	x.releaseNew(r)
	if r.hold != "" {
		go x.dropHold(r.choice, r.hold)
	}
}

// releaseNew gives the inputs up that were made for a replacement; those that it
// shares with the run under way stay that one's.
func (x *exchange) releaseNew(r *replacement) {
	if r.inputs != nil {
		x.releaseInputs()
	}
}

// dropHold gives a held place back before it lapses.
func (x *exchange) dropHold(c request.Choice, hold string) {
	ctx, cancel := clock.WithTimeout(context.Background(), holdTimeout)
	defer cancel()
	if err := x.g.client.DropHold(ctx, c.Upstream, c.Address, hold); err != nil {
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
