package gateway

import "github.com/wheatseam/wheatseam/internal/clock"

// denial says why no attempt follows one that ended without an answer; "" if one
// does.
type denial string

const (
	// deniedOver: the caller left, or its time is over.
	deniedOver denial = "time_over"
	// deniedRoute: the route allows no other execution, or no more of them.
	deniedRoute    denial = "route"
	deniedAttempts denial = "attempts"
	// deniedTrial: a condemned request runs once.
	deniedTrial denial = "trial"
	// deniedCommitted: the answer has begun and cannot go on elsewhere.
	deniedCommitted denial = "answer_begun"
	// deniedRefusals: too many replicas have refused.
	deniedRefusals denial = "refusals"
	deniedBudget   denial = "budget"
	// deniedFinal: the attempt's end allows none.
	deniedFinal denial = "final"
)

// The reasons why no run is secured while one is under way, beside those.
const (
	// deniedTime: not enough time is left.
	deniedTime denial = "time_short"
	// deniedVerdict: the request is condemned.
	deniedVerdict denial = "quarantined"
	// deniedInputs: the stages can't be made again.
	deniedInputs denial = "inputs"
	// deniedReplica: no other replica takes it.
	deniedReplica denial = "no_replica"
	// deniedMeanwhile: it is not wanted any more.
	deniedMeanwhile denial = "not_wanted"
)

// repeatDenied says why no further attempt is allowed after one that ended so.
func (x *exchange) repeatDenied(end attemptEnd) denial {
	switch {
	case x.ctx.Err() != nil:
		return deniedOver
	case x.next != nil:
		return ""
	}
	switch end {
	case notSent, notExecuted, inputsGone:
		return x.freeRepeatDenied(end)
	case repeatNow:
		return ""
	case failed:
		return x.secondRunDenied()
	}
	return deniedFinal
}

// freeRepeatDenied is repeatDenied after an attempt that did not run.
func (x *exchange) freeRepeatDenied(end attemptEnd) denial {
	x.spare++
	if x.spare > maxFreeRepeats {
		return deniedRefusals
	}
	// A connection that did not come about reached no replica.
	if end == notSent || x.g.budget(x.service).Withdraw(clock.Now()) {
		return ""
	}
	if x.leftOne {
		// This host ended a run for this attempt: it goes on, and owes the repeat.
		x.g.budget(x.service).ForceWithdraw(clock.Now())
		return ""
	}
	return deniedBudget
}

// secondRunDenied is repeatDenied after an attempt that may have run.
func (x *exchange) secondRunDenied() denial {
	if d := x.anotherRunDenied(x.runs); d != "" {
		return d
	}
	if !x.resumableAfter(progress{committed: x.committed, lastEvent: x.lastEvent}) {
		return deniedCommitted
	}
	if !x.g.budget(x.service).Withdraw(clock.Now()) {
		return deniedBudget
	}
	return ""
}

// anotherRunDenied says why the route allows no execution after so many; "" if it does.
func (x *exchange) anotherRunDenied(runs int) denial {
	switch {
	case !x.route.MayRepeat():
		return deniedRoute
	case runs >= x.route.Attempts:
		return deniedAttempts
	case x.trial:
		return deniedTrial
	}
	return ""
}

// resumableAfter says whether a further attempt can go on where the answer stands.
func (x *exchange) resumableAfter(at progress) bool {
	return !at.committed || x.route.Resumable && at.lastEvent != ""
}
