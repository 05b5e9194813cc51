package claim

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wheatseam/wheatseam/problem"
)

// Quorum is one group of holders of which a majority must grant.
type Quorum struct {
	// Epoch is the number of the host list that the group was computed from.
	Epoch   uint64
	Holders []string
}

// Config describes one claim.
type Config struct {
	Key    Key
	Owner  Owner
	Digest Digest
	// Epoch is the number of the daemon's current host list.
	Epoch uint64
	// Quorums must all be won; Views.Quorums gives them.
	Quorums []Quorum
	// Arrived is when the request arrived, by this host's wall clock.
	Arrived time.Time
	// Deadline is the request's: after it nothing is sent.
	Deadline time.Time
	// BackoffMin and BackoffMax bound the wait after a split vote.
	BackoffMin, BackoffMax time.Duration
}

// Action is something that the caller of a Claim must do.
type Action interface{ action() }

type (
	// SendAsk sends an Ask to a holder; the answer or the failure of the call
	// goes to Claim.Reply or Claim.Unreachable.
	SendAcquire struct {
		Holder  string
		Acquire Acquire
	}
	// SendRelease sends a Release to a holder, best with a few retries.
	SendRelease struct {
		Holder  string
		Release Release
	}
	// SendStore sends a Store to a holder; the answer goes to Claim.Stored.
	SendStore struct {
		Holder string
		Store  Store
	}
	// Wait calls Claim.Timer at Until.
	Wait struct{ Until time.Time }
	// Won says that the request may be sent, after Claim.Send allowed it.
	Won struct{}
	// Lost says that the request ran already, and gives its result.
	AlreadyExecuted struct {
		Owner  Owner
		Record Record
	}
	// Refuse says that the request can't run now. Execution NotRun means that
	// nobody had sent the key's request when this claim was started, and that
	// this claim never will.
	Refuse struct {
		Kind      problem.Kind
		Execution problem.Execution
		// Owner is the owner that stood in the way; zero if there was none.
		Owner Owner
		// Verdict is the holders' reason; zero if they were unreachable.
		Verdict Verdict
	}
	// Kept says that a majority of each quorum holds the result.
	ResultStored struct{}
)

func (SendAcquire) action()     {}
func (SendRelease) action()     {}
func (SendStore) action()       {}
func (Wait) action()            {}
func (Won) action()             {}
func (AlreadyExecuted) action() {}
func (Refuse) action()          {}
func (ResultStored) action()    {}

// phase is where a Claim stands.
type phase uint8

const (
	asking phase = iota + 1
	backingOff
	won
	sent
	stored
	ended
)

// slot is what one holder said in the current round.
type slot struct {
	holder  string
	failed  bool
	verdict Verdict
	// incarnation of the holder when it said so.
	incarnation uint64
	owner       Owner
	digest      Digest
	record      *Record
	stored      bool
}

// Claim is the owner's side of one attempt at a request. It is not safe for
// concurrent use.
type Claim struct {
	cfg   Config
	rng   *rand.Rand
	off   guards
	phase phase
	round uint32
	slots []slot
	// lastOwner is the last other owner that a holder named.
	lastOwner Owner
}

// New returns a claim; Start begins it. rng spreads the waits after split votes.
func New(cfg Config, rng *rand.Rand) *Claim {
	c := &Claim{cfg: cfg, rng: rng}
	for _, q := range cfg.Quorums {
		for _, h := range q.Holders {
			if c.slot(h) == nil {
				c.slots = append(c.slots, slot{holder: h})
			}
		}
	}
	return c
}

// Start asks all holders.
func (c *Claim) Start() []Action { return c.ask() }

func (c *Claim) slot(holder string) *slot {
	i := slices.IndexFunc(c.slots, func(s slot) bool { return s.holder == holder })
	if i < 0 {
		return nil
	}
	return &c.slots[i]
}

// ask begins a round.
func (c *Claim) ask() []Action {
	c.phase = asking
	c.round++
	a := Acquire{Key: c.cfg.Key, Owner: c.cfg.Owner, Digest: c.cfg.Digest, Round: c.round, Epoch: c.cfg.Epoch, Arrived: c.cfg.Arrived}
	actions := make([]Action, 0, len(c.slots))
	for i := range c.slots {
		if c.round > 1 && !c.off.noReplyRound {
			c.slots[i] = slot{holder: c.slots[i].holder}
		}
		actions = append(actions, SendAcquire{c.slots[i].holder, a})
	}
	return actions
}

// Reply takes a holder's answer to an Ask.
func (c *Claim) HandleReply(now time.Time, r Reply) []Action {
	s := c.slot(r.Holder)
	if s == nil {
		return nil
	}
	over := c.phase == backingOff || c.phase == ended && !c.off.noEndCheck
	if (r.Round != c.round || over) && !c.off.noReplyRound {
		return c.giveBack(r)
	}
	if c.phase != asking && c.phase != ended {
		return nil
	}
	s.take(r, c.off)
	if r.Verdict == Taken {
		c.lastOwner = r.Owner
	}
	return c.decide(now)
}

// take notes an answer. What a dead incarnation of the holder said is dropped.
func (s *slot) take(r Reply, off guards) {
	if r.Incarnation < s.incarnation && !off.noIncarnation {
		return
	}
	if s.verdict == Granted && (r.Incarnation == s.incarnation || off.noIncarnation) {
		return
	}
	s.failed = false
	s.verdict = r.Verdict
	s.incarnation = r.Incarnation
	s.owner = r.Owner
	s.digest = r.Digest
	s.record = r.Record
}

// giveBack releases a grant that came too late to count.
func (c *Claim) giveBack(r Reply) []Action {
	if r.Verdict != Granted {
		return nil
	}
	return []Action{SendRelease{r.Holder, Release{Key: c.cfg.Key, Owner: c.cfg.Owner, Round: r.Round}}}
}

// Unreachable takes the failure of an Ask of a round.
func (c *Claim) HandleUnreachable(now time.Time, holder string, round uint32) []Action {
	s := c.slot(holder)
	if s == nil || c.phase != asking || round != c.round || s.verdict != 0 {
		return nil
	}
	s.failed = true
	return c.decide(now)
}

// Timer ends the wait after a split vote.
func (c *Claim) HandleTimer() []Action {
	if c.phase != backingOff {
		return nil
	}
	return c.ask()
}

// Send allows the first byte of the request to leave, once. It must be called
// right before that, with the time read right before; clock steps and pauses
// show in it. It returns false if the request must not be sent.
func (c *Claim) Send(now time.Time) bool {
	if c.phase != won || passed(now, c.cfg.Deadline) {
		return false
	}
	c.phase = sent
	return true
}

// passed compares by the monotonic clock and by the wall clock: the one stands
// still while the machine is suspended, the other may be set.
func passed(now, deadline time.Time) bool {
	return !now.Before(deadline) || !now.Round(0).Before(deadline.Round(0))
}

// Sent says whether the request may have been sent.
func (c *Claim) Sent() bool { return c.phase == sent || c.phase == stored }

// GiveUp ends a claim that was not sent: its deadline passed, its caller went
// away or no upstream is available. It does nothing after Send.
func (c *Claim) Abort(kind problem.Kind) []Action {
	if c.phase == ended || c.Sent() && !c.off.noSentCheck {
		return nil
	}
	if kind == problem.DeadlineExceeded && c.lastOwner != (Owner{}) && c.phase != won {
		kind = problem.InProgress
	}
	return c.refuse(kind, 0)
}

// NotExecuted takes back a Send that verifiably did not run: the connection was
// never made, or the upstream says that it did not execute. The claim is won
// again and may be sent again or given up.
func (c *Claim) NotExecuted() {
	if c.phase == sent {
		c.phase = won
	}
}

// Store records the result of a sent request at all holders.
func (c *Claim) Store(rec Record) []Action {
	if c.phase != sent {
		return nil
	}
	rec.Digest = c.cfg.Digest
	m := Store{Key: c.cfg.Key, Owner: c.cfg.Owner, Record: rec}
	var actions []Action
	for _, s := range c.slots {
		actions = append(actions, SendStore{s.holder, m})
	}
	return actions
}

// Stored takes a holder's answer to a Store.
func (c *Claim) HandleStoreReply(r Reply) []Action {
	s := c.slot(r.Holder)
	if s == nil || c.phase != sent || r.Verdict != Recorded {
		return nil
	}
	s.stored = true
	if !c.inEach(func(s *slot) bool { return s.stored }) {
		return nil
	}
	c.phase = stored
	return []Action{ResultStored{}}
}
