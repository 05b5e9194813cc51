package detour

import (
	"slices"
	"time"
)

// Attempt is one attempt to connect to an address.
type Attempt struct {
	Address string
	began   time.Time
	limit   time.Duration
	// peersFirst says that the direct way is the last one.
	peersFirst bool
	direct     wayState
	asked      []string
	askedAt    time.Time
	// pending are the peers that were asked and have not failed, and unanswered those without a
	// reply.
	pending, unanswered []string
	// answers are the replies that count, in their order.
	answers []Answer
	// alone says that no peer is known.
	alone bool
}

// Answer is what a peer answered that an attempt asked.
type Answer struct {
	Peer   string
	Result Result
}

type wayState uint8

const (
	notTried wayState = iota
	underWay
	failed
)

// Step is what an attempt does next: exactly one field is set, but for Limit and Unanswered.
type Step struct {
	// Direct: connect directly.
	Direct bool
	// Peer: ask this peer to connect, within Limit.
	Peer  string
	Limit time.Duration
	// Wait: wait for a result, at most that long.
	Wait time.Duration
	// Done: the attempt has failed.
	Done bool
	// Unanswered are the peers that have not answered until then.
	Unanswered []string
}

// Begin begins an attempt.
func (t *Table) Begin(now time.Time, addr string) *Attempt {
	a := &Attempt{Address: addr, began: now, limit: ConnectLimit}
	known := t.addresses[addr]
	a.peersFirst = t.CutOff() || known != nil && (known.detour || known.failedLately(now) && t.Detours() > 0)
	if a.peersFirst {
		a.limit = DetourLimit
	}
	return a
}

// failedLately reports whether the last direct attempt failed a short time ago.
func (a *address) failedLately(now time.Time) bool {
	return !a.failedAt.IsZero() && now.Sub(a.failedAt) < failedPeriod
}

// NeedsPeers reports whether the next step may be to ask a peer.
func (a *Attempt) NeedsPeers(now time.Time) bool {
	return a.peersFirst || a.direct == failed || now.Sub(a.began) >= Stagger
}

// Next returns the next step.
func (t *Table) Next(now time.Time, a *Attempt) Step {
	left := a.limit - now.Sub(a.began)
	if left <= 0 {
		step := Step{Done: true, Unanswered: a.unanswered}
		a.unanswered = nil
		for _, name := range step.Unanswered {
			a.answers = append(a.answers, Answer{name, NoAnswer})
			t.PeerReplied(now, a.Address, name, Reply{Result: NoAnswer})
		}
		return step
	}
	if !a.peersFirst && a.direct == notTried {
		a.direct = underWay
		return Step{Direct: true}
	}
	if name := t.nextPeer(now, a); name != "" {
		a.asked, a.askedAt = append(a.asked, name), now
		a.pending, a.unanswered = append(a.pending, name), append(a.unanswered, name)
		if p := t.peer(name); p.room < unknownRoom {
			p.room = max(0, p.room-1)
		}
		return Step{Peer: name, Limit: min(left, ConnectLimit)}
	}
	if a.direct == notTried && (len(a.pending) == 0 || now.Sub(a.askedAt) >= Stagger) {
		a.direct = underWay
		return Step{Direct: true}
	}
	if a.direct != underWay && len(a.pending) == 0 {
		return Step{Done: true}
	}
	return Step{Wait: a.wait(now, left)}
}

// nextPeer returns the peer to ask now; "" if none is to be asked yet or any more.
func (t *Table) nextPeer(now time.Time, a *Attempt) string {
	known := t.addresses[a.Address]
	if known != nil {
		known.dropOldVotes(now)
	}
	switch {
	case !a.NeedsPeers(now), len(a.asked) >= MaxAsked, known != nil && len(known.votes) >= maxVotes:
		return ""
	case len(a.pending) > 0 && now.Sub(a.askedAt) < Stagger:
		return ""
	}
	a.alone = len(t.order) == 0
	return t.choosePeer(now, a.Address, a.asked)
}

// wait returns the time until another way may be tried.
func (a *Attempt) wait(now time.Time, left time.Duration) time.Duration {
	next := a.began
	if a.askedAt.After(next) {
		next = a.askedAt
	}
	if d := next.Add(Stagger).Sub(now); d > 0 && d < left {
		return d
	}
	return left
}

// DirectFailed reports that the direct way failed. The caller reports the failure to the
// table if it is evidence.
func (a *Attempt) DirectFailed() { a.direct = failed }

// Replied processes the reply of a peer that an attempt has asked, and reports whether it
// counts: a peer that did not answer in time counts once, here or when the attempt ends.
func (t *Table) Replied(now time.Time, a *Attempt, name string, r Reply) bool {
	if r.Result == NoAnswer && !slices.Contains(a.unanswered, name) {
		return false
	}
	a.unanswered = slices.DeleteFunc(a.unanswered, func(n string) bool { return n == name })
	a.answers = append(a.answers, Answer{name, r.Result})
	t.PeerReplied(now, a.Address, name, r)
	return true
}

// PeerFailed reports that a peer did not connect, after Replied.
func (a *Attempt) PeerFailed(name string) {
	a.pending = slices.DeleteFunc(a.pending, func(n string) bool { return n == name })
}

// Answers returns what the peers answered that the attempt has asked.
func (a *Attempt) Answers() []Answer { return slices.Clone(a.answers) }

// Verdict returns why a failed attempt has failed: ReplicaRefused or ReplicaUnreachable if
// enough peers that reach other replicas say so, and false otherwise. It returns true, and
// Connected, if there are no peers, so that this host's own result counts.
func (t *Table) Verdict(now time.Time, a *Attempt) (r Result, confirmed bool) {
	r = t.verdict(now, a.Address)
	return r, r != Connected || a.alone
}
