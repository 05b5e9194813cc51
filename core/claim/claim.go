package claim

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wheatseam/wheatseam/problem"
)

// Quorum is one claim group. A claim is won only when a majority of its holders
// has granted the key.
type Quorum struct {
	// Epoch is the epoch of the host list from which the group was computed.
	Epoch   uint64
	Holders []string
}

// Config holds the parameters of one claim.
type Config struct {
	Key    Key
	Owner  Owner
	Digest Digest
	// Epoch is the epoch of the daemon's current host list.
	Epoch uint64
	// Quorums are the groups of which each must grant the key by a majority.
	// Views.Quorums returns them.
	Quorums []Quorum
	// Arrived is the time at which the request arrived, by this host's wall
	// clock.
	Arrived time.Time
	// Deadline is the deadline of the request. From then on the request is not
	// sent.
	Deadline time.Time
	// BackoffMin and BackoffMax are the bounds of the wait after a round in
	// which no attempt won a majority.
	BackoffMin, BackoffMax time.Duration
}

// Action is an output of a Claim that its caller must carry out.
type Action interface{ action() }

type (
	// SendAcquire sends an Acquire to a holder. The caller passes the reply to
	// Claim.HandleReply and a failed call to Claim.HandleUnreachable.
	SendAcquire struct {
		Holder  string
		Acquire Acquire
	}
	// SendRelease sends a Release to a holder. The caller should retry it a few
	// times.
	SendRelease struct {
		Holder  string
		Release Release
	}
	// SendStore sends a Store to a holder. The caller passes the reply to
	// Claim.HandleStoreReply.
	SendStore struct {
		Holder string
		Store  Store
	}
	// Wait asks the caller to call Claim.HandleTimer at Until.
	Wait struct{ Until time.Time }
	// Won reports that the claim succeeded. The request may be sent once
	// Claim.Send returns true.
	Won struct{}
	// AlreadyExecuted reports that another attempt has run the request, and carries its
	// result.
	AlreadyExecuted struct {
		Owner  Owner
		Record Record
	}
	// Refuse reports that the request cannot run now. Execution NotRun means
	// that no attempt had sent the key's request when this claim was started,
	// and that this claim never will send it.
	Refuse struct {
		Kind      problem.Kind
		Execution problem.Execution
		// Owner is the other owner that was last reported for the key; zero if
		// there was none.
		Owner Owner
		// Verdict is the holders' reason; zero if they were unreachable.
		Verdict Verdict
	}
	// ResultStored reports that a majority of each quorum has stored the result.
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

// phase is the protocol phase of a Claim.
type phase uint8

const (
	acquiring phase = iota + 1
	backingOff
	won
	sent
	stored
	ended
)

// holderState is a holder's reply in the current round, and whether the holder has
// stored the result.
type holderState struct {
	name    string
	failed  bool
	verdict Verdict
	// incarnation is the holder's incarnation at the time of the reply.
	incarnation uint64
	owner       Owner
	digest      Digest
	record      *Record
	stored      bool
}

// Claim is the owner's state machine for one attempt at a request. It is not safe
// for concurrent use.
type Claim struct {
	cfg      Config
	rng      *rand.Rand
	disabled disabledChecks
	phase    phase
	round    uint32
	holders  []holderState
	// lastOwner is the other owner that a holder reported last.
	lastOwner Owner
}

// New returns a claim, which Start begins. rng randomizes the backoff, so that
// competing attempts do not retry at the same time.
func New(cfg Config, rng *rand.Rand) *Claim {
	c := &Claim{cfg: cfg, rng: rng}
	for _, q := range cfg.Quorums {
		for _, h := range q.Holders {
			if c.holder(h) == nil {
				c.holders = append(c.holders, holderState{name: h})
			}
		}
	}
	return c
}

// Start begins the first round: it sends an Acquire to all holders.
func (c *Claim) Start() []Action { return c.startRound() }

func (c *Claim) holder(holder string) *holderState {
	i := slices.IndexFunc(c.holders, func(s holderState) bool { return s.name == holder })
	if i < 0 {
		return nil
	}
	return &c.holders[i]
}

// startRound begins a round: it sends an Acquire to all holders.
func (c *Claim) startRound() []Action {
	c.phase = acquiring
	c.round++
	a := Acquire{Key: c.cfg.Key, Owner: c.cfg.Owner, Digest: c.cfg.Digest, Round: c.round, Epoch: c.cfg.Epoch, Arrived: c.cfg.Arrived}
	actions := make([]Action, 0, len(c.holders))
	for i := range c.holders {
		if c.round > 1 && !c.disabled.replyRound {
			c.holders[i] = holderState{name: c.holders[i].name}
		}
		actions = append(actions, SendAcquire{c.holders[i].name, a})
	}
	return actions
}

// HandleReply handles a holder's reply to an Acquire.
func (c *Claim) HandleReply(now time.Time, r Reply) []Action {
	s := c.holder(r.Holder)
	if s == nil {
		return nil
	}
	over := c.phase == backingOff || c.phase == ended && !c.disabled.endedBeforeSend
	if (r.Round != c.round || over) && !c.disabled.replyRound {
		return c.releaseLateGrant(r)
	}
	if c.phase != acquiring && c.phase != ended {
		return nil
	}
	s.applyReply(r, c.disabled)
	if r.Verdict == Taken {
		c.lastOwner = r.Owner
	}
	return c.evaluate(now)
}

// applyReply records a reply. It ignores replies of an earlier incarnation of the
// holder, since the holder has lost what it granted then.
func (s *holderState) applyReply(r Reply, disabled disabledChecks) {
	if r.Incarnation < s.incarnation && !disabled.holderIncarnation {
		return
	}
	if s.verdict == Granted && (r.Incarnation == s.incarnation || disabled.holderIncarnation) {
		return
	}
	s.failed = false
	s.verdict = r.Verdict
	s.incarnation = r.Incarnation
	s.owner = r.Owner
	s.digest = r.Digest
	s.record = r.Record
}

// releaseLateGrant releases a grant that arrived after its round or the claim had
// ended.
func (c *Claim) releaseLateGrant(r Reply) []Action {
	if r.Verdict != Granted {
		return nil
	}
	return []Action{SendRelease{r.Holder, Release{Key: c.cfg.Key, Owner: c.cfg.Owner, Round: r.Round}}}
}

// HandleUnreachable handles the failure of an Acquire that was sent in a round.
func (c *Claim) HandleUnreachable(now time.Time, holder string, round uint32) []Action {
	s := c.holder(holder)
	if s == nil || c.phase != acquiring || round != c.round || s.verdict != 0 {
		return nil
	}
	s.failed = true
	return c.evaluate(now)
}

// HandleTimer ends the backoff and starts the next round.
func (c *Claim) HandleTimer() []Action {
	if c.phase != backingOff {
		return nil
	}
	return c.startRound()
}

// Send returns true if the request may be sent. It returns true only once, unless
// NotExecuted reverts it. The caller must read now and call Send immediately before
// it writes the first byte, so that the deadline check sees clock steps and process
// suspensions up to that point.
func (c *Claim) Send(now time.Time) bool {
	if c.phase != won || deadlinePassed(now, c.cfg.Deadline) {
		return false
	}
	c.phase = sent
	return true
}

// deadlinePassed compares both the monotonic and the wall clock readings: the
// monotonic clock stops while the machine is suspended, and the wall clock may be
// set.
func deadlinePassed(now, deadline time.Time) bool {
	return !now.Before(deadline) || !now.Round(0).Before(deadline.Round(0))
}

// Sent reports whether the request may have been sent.
func (c *Claim) Sent() bool { return c.phase == sent || c.phase == stored }

// Abort ends a claim whose request was not sent, because its deadline passed, its
// caller disconnected or no upstream is available. It does nothing after Send has
// returned true.
func (c *Claim) Abort(kind problem.Kind) []Action {
	if c.phase == ended || c.Sent() && !c.disabled.sentBeforeRelease {
		return nil
	}
	if kind == problem.DeadlineExceeded && c.lastOwner != (Owner{}) && c.phase != won {
		kind = problem.InProgress
	}
	return c.refuse(kind, 0)
}

// NotExecuted reverts Send when the request verifiably was not executed: the
// connection was never established, or the upstream reports that it did not
// execute the request. The claim is in the won phase again, so the request may be
// sent again or the claim aborted.
func (c *Claim) NotExecuted() {
	if c.phase == sent {
		c.phase = won
	}
}

// Store sends the result of a sent request to all holders.
func (c *Claim) Store(rec Record) []Action {
	if c.phase != sent {
		return nil
	}
	rec.Digest = c.cfg.Digest
	m := Store{Key: c.cfg.Key, Owner: c.cfg.Owner, Record: rec}
	var actions []Action
	for _, s := range c.holders {
		actions = append(actions, SendStore{s.name, m})
	}
	return actions
}

// HandleStoreReply handles a holder's reply to a Store. It returns ResultStored once a
// majority of each quorum has stored the result.
func (c *Claim) HandleStoreReply(r Reply) []Action {
	s := c.holder(r.Holder)
	if s == nil || c.phase != sent || r.Verdict != Recorded {
		return nil
	}
	s.stored = true
	if !c.majorityInEach(func(s *holderState) bool { return s.stored }) {
		return nil
	}
	c.phase = stored
	return []Action{ResultStored{}}
}
