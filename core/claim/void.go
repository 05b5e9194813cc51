package claim

import "time"

// Void makes a refusal true that says that a request has not run: a holder that
// takes it refuses every attempt at the key that arrived up to Until, also that
// of a daemon which was paused and wakes later. The attempts that arrive after
// it may claim.
type Void struct {
	Key Key
	// Owner is the attempt that is refused; what was granted to it is freed.
	Owner Owner
	// Epoch is the number of the owner's current host list.
	Epoch uint64
	// Until is the owner's wall clock plus MaxClockSkew, so that it covers the
	// arrival of every earlier attempt by any host's clock.
	Until time.Time
}

// Void places the mark and answers Voided, unless another owner has the key or
// the holder cannot know whether one had. A majority of Voided in each quorum
// means that no attempt which arrived before has sent or ever will: whoever
// sent holds a majority, and one of its holders would have said so.
func (h *Holder) Void(env Env, m Void) Reply {
	h.forget(env.Now)
	r := h.reply(env, 0)
	e := h.entries[m.Key]
	if r.describe(e); e.takenFrom(m.Owner) {
		r.Verdict = Taken
		return r
	}
	ask := Acquire{Key: m.Key, Owner: m.Owner, Round: neverReleased, Epoch: m.Epoch}
	if r.Verdict = h.refusal(env, ask, e); r.Verdict != 0 {
		return r
	}
	if e == nil {
		e = h.add(m.Key)
	}
	e.held, e.round = false, 0
	if m.Until.After(e.voided) {
		e.voided = m.Until
	}
	r.Verdict = Voided
	return r
}

// neverReleased is a round that no release has named.
const neverReleased = ^uint32(0)

// isVoid says that an attempt which arrived at that time must not claim.
func (e *entry) isVoid(arrived time.Time) bool {
	return e != nil && !arrived.IsZero() && !e.voided.IsZero() && !arrived.After(e.voided)
}
