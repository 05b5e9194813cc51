package claim

import "time"

// Void asks a holder to refuse every attempt at the key that arrived up to Until,
// including attempts of a daemon that is suspended and resumes later. An owner sends
// it before it reports that the request has not run, so that the report stays true.
// Attempts that arrive after Until may claim the key.
type Void struct {
	Key Key
	// Owner is the attempt that is refused. The holder releases the key if the
	// key was granted to this attempt.
	Owner Owner
	// Epoch is the epoch of the owner's current host list.
	Epoch uint64
	// Until is the owner's wall clock plus MaxClockSkew, so that it is not before
	// the arrival of any earlier attempt by any host's clock.
	Until time.Time
}

// Void voids the attempts that arrived up to m.Until and returns Voided, unless
// another owner has the key or the holder cannot know whether one had. Voided from a
// majority of each quorum means that no attempt that arrived before has sent the
// request or will send it: an attempt that sends has the grants of a majority, so
// at least one of the holders would have replied Taken.
func (h *Holder) Void(env Env, m Void) Reply {
	h.evictExpired(env.Now)
	r := h.newReply(env, 0)
	e := h.entries[m.Key]
	if r.setClaim(e); e.unavailableTo(m.Owner) {
		r.Verdict = Taken
		return r
	}
	acquire := Acquire{Key: m.Key, Owner: m.Owner, Round: unreleasedRound, Epoch: m.Epoch}
	if r.Verdict = h.refusal(env, acquire, e); r.Verdict != 0 {
		return r
	}
	if e == nil {
		e = h.add(m.Key)
	}
	e.claimed, e.round = false, 0
	if m.Until.After(e.voidedUntil) {
		e.voidedUntil = m.Until
	}
	r.Verdict = Voided
	return r
}

// unreleasedRound is a round number that is higher than that of any release.
const unreleasedRound = ^uint32(0)

// isVoided reports whether attempts that arrived at arrived are voided. A zero time
// is not checked.
func (e *entry) isVoided(arrived time.Time) bool {
	return e != nil && !arrived.IsZero() && !e.voidedUntil.IsZero() && !arrived.After(e.voidedUntil)
}
