package gateway

import "github.com/wheatseam/wheatseam/internal/clock"

// denial says why no attempt follows one that ended without an answer; "" if one does.
type denial string

const (
	// deniedDeadline: the caller disconnected, or its deadline passed.
	deniedDeadline denial = "time_over"
	// deniedRoute and deniedAttempts: the route allows no second run, or no more runs.
	deniedRoute    denial = "route"
	deniedAttempts denial = "attempts"
	// deniedTrial: a quarantined request runs only once.
	deniedTrial denial = "trial"
	// deniedCommitted: the answer has started and cannot resume at another replica.
	deniedCommitted denial = "answer_begun"
	// deniedRefusals: too many replicas have refused.
	deniedRefusals denial = "refusals"
	deniedBudget   denial = "budget"
	// deniedBody: the body was given up for want of memory.
	deniedBody denial = "body_given_up"
	// deniedFinal: the attempt ended in a way that allows no retry.
	deniedFinal denial = "final"
)

// Further reasons why no replacement is reserved while a run is in progress.
const (
	// deniedTime: not enough time is left.
	deniedTime denial = "time_short"
	// deniedQuarantine: the request is quarantined.
	deniedQuarantine denial = "quarantined"
	// deniedInputs: the stages cannot be run again.
	deniedInputs denial = "inputs"
	// deniedReplica: no other replica takes the request.
	deniedReplica denial = "no_replica"
	// deniedCancelled: the replacement is no longer wanted.
	deniedCancelled denial = "not_wanted"
)

// retryDenied says why no further attempt is allowed after one that ended this way.
func (x *exchange) retryDenied(end attemptEnd) denial {
	switch {
	case x.ctx.Err() != nil:
		return deniedDeadline
	case x.replacement != nil:
		return ""
	}
	switch end {
	case notSent, notExecuted, inputsGone:
		return x.freeRetryDenied(end)
	case failedRetrying:
		return ""
	case failed, oversized, malformed, noMemory, panicked:
		return x.rerunDenied()
	}
	return deniedFinal
}

// freeRetryDenied is retryDenied after an attempt that did not run.
func (x *exchange) freeRetryDenied(end attemptEnd) denial {
	x.freeRetries++
	if x.freeRetries > maxFreeRetries {
		return deniedRefusals
	}
	if !x.pinBody() {
		return deniedBody
	}
	// Without a connection nothing reached the replica, and the budget is not charged.
	if end == notSent || x.g.retryBudget(x.service).Withdraw(clock.Now()) {
		return ""
	}
	if x.cancelledRun {
		// This host cancelled a run for this attempt, so the request is retried although
		// the budget is used up. The balance of the budget becomes negative.
		x.g.retryBudget(x.service).ForceWithdraw(clock.Now())
		return ""
	}
	return deniedBudget
}

// rerunDenied is retryDenied after an attempt that may have run.
func (x *exchange) rerunDenied() denial {
	if denied := x.routeRetryDenied(x.runs); denied != "" {
		return denied
	}
	if x.unresumable || !x.resumableFrom(progress{committed: x.committed, lastEvent: x.resumableEvent()}) {
		return deniedCommitted
	}
	if !x.g.retryBudget(x.service).Withdraw(clock.Now()) {
		return deniedBudget
	}
	return ""
}

// routeRetryDenied returns why the route allows no further run after this many; "" if the
// route allows one.
func (x *exchange) routeRetryDenied(runs int) denial {
	switch {
	case !x.route.MayRepeat():
		return deniedRoute
	case runs >= x.route.Attempts:
		return deniedAttempts
	case x.trial != nil:
		return deniedTrial
	case !x.pinBody():
		return deniedBody
	}
	return ""
}

// resumableFrom reports whether a further attempt can resume the answer from this point.
func (x *exchange) resumableFrom(at progress) bool {
	return !at.committed || x.route.Resumable && at.lastEvent != ""
}
