package claim

import (
	"slices"
	"time"

	"github.com/wheatseam/wheatseam/problem"
)

// evaluate decides from the replies of the current round whether the claim is won
// or lost, backs off, is refused or waits for further replies.
func (c *Claim) evaluate(now time.Time) []Action {
	if i := slices.IndexFunc(c.holders, func(s holderState) bool { return s.record != nil }); i >= 0 {
		return c.endWithRecord(c.holders[i])
	}
	if slices.ContainsFunc(c.holders, c.keyReused) {
		return c.refuse(problem.KeyReused, Taken)
	}
	if c.majorityInEach(func(s *holderState) bool { return s.verdict == Granted }) {
		c.phase = won
		return []Action{Won{}}
	}
	if c.majorityInEach(func(s *holderState) bool { return s.verdict == Granted || s.unanswered() }) {
		return nil
	}
	if slices.ContainsFunc(c.holders, holderState.retryable) {
		return c.backOff(now)
	}
	v := c.failureVerdict()
	return c.refuse(kindOf(v), v)
}

// endWithRecord ends the claim with the result that a holder has stored.
func (c *Claim) endWithRecord(s holderState) []Action {
	if s.record.Digest != c.cfg.Digest && !c.disabled.digestMatch {
		return c.refuse(problem.KeyReused, Taken)
	}
	actions := c.release()
	c.phase = ended
	return append(actions, AlreadyExecuted{Owner: s.owner, Record: *s.record})
}

// keyReused reports whether another owner has claimed the key for a request with a
// different digest.
func (c *Claim) keyReused(s holderState) bool {
	return s.verdict == Taken && s.digest != c.cfg.Digest && !c.disabled.digestMatch
}

// unanswered reports whether the holder has neither replied nor failed yet.
func (s *holderState) unanswered() bool { return s.verdict == 0 && !s.failed }

// retryable reports whether a later round may succeed: another owner may release
// the key or finish, or the holder may adopt the newer host list.
func (s holderState) retryable() bool {
	return s.verdict == Taken || s.verdict == NewView || s.verdict == Superseded
}

// majorityInEach reports whether ok holds for a majority of each quorum.
func (c *Claim) majorityInEach(ok func(*holderState) bool) bool {
	for _, q := range c.cfg.Quorums {
		n := 0
		for _, h := range q.Holders {
			if ok(c.holder(h)) {
				n++
			}
		}
		if n == 0 || n < majority(len(q.Holders)) && !c.disabled.majority {
			return false
		}
	}
	return len(c.cfg.Quorums) > 0
}

// backOff releases the grants of the round and waits before the next one. The wait
// doubles with each round, up to BackoffMax, and half of it is random.
func (c *Claim) backOff(now time.Time) []Action {
	actions := c.release()
	c.phase = backingOff
	wait := c.cfg.BackoffMax
	if shift := c.round - 1; shift < 16 {
		wait = min(wait, c.cfg.BackoffMin<<shift)
	}
	wait = wait/2 + time.Duration(c.rng.Int64N(int64(wait/2)+1))
	return append(actions, Wait{now.Add(wait)})
}

// release releases the grants of the round at every holder, including those that
// have not replied: the Acquire may still reach them.
func (c *Claim) release() []Action {
	m := Release{Key: c.cfg.Key, Owner: c.cfg.Owner, Round: c.round}
	actions := make([]Action, 0, len(c.holders)+1)
	for _, s := range c.holders {
		actions = append(actions, SendRelease{s.name, m})
	}
	return actions
}

// refuse releases all grants and ends the claim with a refusal.
func (c *Claim) refuse(kind problem.Kind, v Verdict) []Action {
	r := Refuse{Kind: kind, Execution: c.execution(), Owner: c.lastOwner, Verdict: v}
	actions := c.release()
	c.phase = ended
	return append(actions, r)
}

// execution returns NotRun only if it is certain that the request has not run. That
// requires, in each quorum, a majority of holders that granted the key to this
// claim or know of no owner: an earlier attempt that sent the request would have a
// grant from at least one of them. A stored result with another digest proves it
// too, since only one owner of a key ever sends.
func (c *Claim) execution() problem.Execution {
	otherDigest := func(s holderState) bool { return s.record != nil && s.record.Digest != c.cfg.Digest }
	noOtherOwner := func(s *holderState) bool { return s.verdict == Granted || s.verdict == Full }
	if c.disabled.notRunMajority || slices.ContainsFunc(c.holders, otherDigest) {
		return problem.NotRun
	}
	if c.phase != backingOff && c.majorityInEach(noOtherOwner) {
		return problem.NotRun
	}
	return problem.MayHaveRun
}

// verdictPriority lists the verdicts of failed rounds, the most specific first.
var verdictPriority = []Verdict{Voided, HolderRestarted, KeyTooOld, KeyTooNew, Full, OldView, NotReady}

// failureVerdict returns the verdict that best explains why the round failed; 0 if
// the holders were unreachable.
func (c *Claim) failureVerdict() Verdict {
	for _, v := range verdictPriority {
		if slices.ContainsFunc(c.holders, func(s holderState) bool { return s.verdict == v }) {
			return v
		}
	}
	return 0
}

// kindOf returns the error kind of a refusal with verdict v.
func kindOf(v Verdict) problem.Kind {
	switch v {
	case Voided:
		return problem.InProgress
	case HolderRestarted:
		return problem.OutcomeUnknown
	case KeyTooOld:
		return problem.KeyExpired
	case KeyTooNew:
		return problem.KeyInvalid
	case Full:
		return problem.Overloaded
	case OldView, NotReady:
		return problem.NotReady
	}
	return problem.NoMajority
}
