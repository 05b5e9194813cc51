package claim

import (
	"slices"
	"time"

	"github.com/wheatseam/wheatseam/problem"
)

// decide weighs the answers of the current round.
func (c *Claim) decide(now time.Time) []Action {
	if i := slices.IndexFunc(c.slots, func(s slot) bool { return s.record != nil }); i >= 0 {
		return c.deliver(c.slots[i])
	}
	if slices.ContainsFunc(c.slots, c.reused) {
		return c.refuse(problem.KeyReused, Taken)
	}
	if c.inEach(func(s *slot) bool { return s.verdict == Granted }) {
		c.phase = won
		return []Action{Won{}}
	}
	if c.inEach(func(s *slot) bool { return s.verdict == Granted || s.pending() }) {
		return nil
	}
	if slices.ContainsFunc(c.slots, slot.passing) {
		return c.backOff(now)
	}
	v := c.reason()
	return c.refuse(kindOf(v), v)
}

// deliver ends the claim with a result that is known already.
func (c *Claim) deliver(s slot) []Action {
	if s.record.Digest != c.cfg.Digest && !c.off.noReuseCheck {
		return c.refuse(problem.KeyReused, Taken)
	}
	actions := c.release()
	c.phase = ended
	return append(actions, AlreadyExecuted{Owner: s.owner, Record: *s.record})
}

// reused says that another owner claims the key for another request.
func (c *Claim) reused(s slot) bool {
	return s.verdict == Taken && s.digest != c.cfg.Digest && !c.off.noReuseCheck
}

// pending says that the holder has not answered yet.
func (s *slot) pending() bool { return s.verdict == 0 && !s.failed }

// passing says that waiting may help: another owner may release or finish, a
// holder is about to learn of the host list.
func (s slot) passing() bool {
	return s.verdict == Taken || s.verdict == NewView || s.verdict == Superseded
}

// inEach says whether a majority of each quorum fulfils ok.
func (c *Claim) inEach(ok func(*slot) bool) bool {
	for _, q := range c.cfg.Quorums {
		n := 0
		for _, h := range q.Holders {
			if ok(c.slot(h)) {
				n++
			}
		}
		if n == 0 || n < majority(len(q.Holders)) && !c.off.noMajority {
			return false
		}
	}
	return len(c.cfg.Quorums) > 0
}

// backOff releases what was granted and waits before the next round. The wait
// doubles with the rounds, and half of it is random.
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

// release gives back the round at every holder: also where no answer came, for
// the ask may still be under way.
func (c *Claim) release() []Action {
	m := Release{Key: c.cfg.Key, Owner: c.cfg.Owner, Round: c.round}
	actions := make([]Action, 0, len(c.slots)+1)
	for _, s := range c.slots {
		actions = append(actions, SendRelease{s.holder, m})
	}
	return actions
}

// refuse ends the claim.
func (c *Claim) refuse(kind problem.Kind, v Verdict) []Action {
	r := Refuse{Kind: kind, Execution: c.execution(), Owner: c.lastOwner, Verdict: v}
	actions := c.release()
	c.phase = ended
	return append(actions, r)
}

// execution says what is known for certain. NotRun needs, in each quorum, a
// majority that holds the key for this claim or knows of no owner: whoever had
// sent before would have a grant among them. A result of another digest proves
// it as well, since a key has one owner that ever sends.
func (c *Claim) execution() problem.Execution {
	other := func(s slot) bool { return s.record != nil && s.record.Digest != c.cfg.Digest }
	clean := func(s *slot) bool { return s.verdict == Granted || s.verdict == Full }
	if c.off.noCleanCheck || slices.ContainsFunc(c.slots, other) {
		return problem.NotRun
	}
	if c.phase != backingOff && c.inEach(clean) {
		return problem.NotRun
	}
	return problem.MayHaveRun
}

// reasons orders the verdicts by how much they explain.
var reasons = []Verdict{Voided, Forgotten, KeyTooOld, KeyTooNew, Full, OldView, NotReady}

// reason returns the verdict that best explains why the round failed; 0 if the
// holders were unreachable.
func (c *Claim) reason() Verdict {
	for _, v := range reasons {
		if slices.ContainsFunc(c.slots, func(s slot) bool { return s.verdict == v }) {
			return v
		}
	}
	return 0
}

// kindOf returns the kind of the refusal that a verdict leads to.
func kindOf(v Verdict) problem.Kind {
	switch v {
	case Voided:
		return problem.InProgress
	case Forgotten:
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
