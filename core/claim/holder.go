package claim

import (
	"slices"
	"time"
)

// maxReleased bounds the released owners that are remembered for one key. They
// only keep late asks from taking a key for an owner that gave up.
const maxReleased = 4

// bucketWidth is the granularity at which a holder forgets keys.
const bucketWidth = time.Minute

// Env is what a daemon knows at the moment of a step.
type Env struct {
	Now time.Time
	// Epoch is the number of the daemon's current host list.
	Epoch uint64
	// Ready is Views.Ready: caught up, and its clock agrees with its peers'.
	Ready bool
}

// Holder keeps the claims of a set of keys. It is not safe for concurrent use.
type Holder struct {
	host        string
	incarnation uint64
	started     time.Time
	policy      Policy
	off         guards

	entries map[Key]*entry
	buckets map[int64][]Key
	// forgotten is the bucket up to which keys were dropped.
	forgotten int64
	bytes     int
}

// entry is what a holder knows of one key.
type entry struct {
	held     bool
	owner    Owner
	round    uint32
	digest   Digest
	record   *Record
	released []released
	// voided is the time up to which arrived attempts are void.
	voided time.Time
}

// released remembers that an owner gave a key back.
type released struct {
	owner Owner
	round uint32
}

// NewHolder returns an empty holder of a process that started at started.
func NewHolder(host string, incarnation uint64, started time.Time, p Policy) *Holder {
	return &Holder{
		host:        host,
		incarnation: incarnation,
		started:     started,
		policy:      p,
		entries:     make(map[Key]*entry),
		buckets:     make(map[int64][]Key),
	}
}

// Ask grants a key or says why not.
func (h *Holder) Acquire(env Env, a Acquire) Reply {
	h.forget(env.Now)
	r := h.reply(env, a.Round)
	e := h.entries[a.Key]
	if r.describe(e); e.takenFrom(a.Owner) && (e.record != nil || !h.off.noExclusive) {
		r.Verdict = Taken
		return r
	}
	if r.Verdict = h.refusal(env, a, e); r.Verdict != 0 {
		return r
	}
	if e == nil {
		e = h.add(a.Key)
	}
	e.held = true
	e.owner = a.Owner
	e.digest = a.Digest
	e.round = max(e.round, a.Round)
	r.Verdict = Granted
	return r
}

// takenFrom says that somebody else than o has the key, or it is done with.
func (e *entry) takenFrom(o Owner) bool {
	return e != nil && (e.record != nil || e.held && e.owner != o)
}

// refusal returns the verdict that keeps a free key from being granted, or 0.
func (h *Holder) refusal(env Env, a Acquire, e *entry) Verdict {
	switch {
	case !env.Ready:
		return NotReady
	case a.Epoch < env.Epoch && !h.off.noViewCheck:
		return OldView
	case a.Epoch > env.Epoch && !h.off.noViewCheck:
		return NewView
	case h.policy.tooOld(env.Now, a.Key) && !h.off.noTooOld:
		return KeyTooOld
	case h.policy.tooNew(env.Now, a.Key) && !h.off.noTooNew:
		return KeyTooNew
	case h.mayHaveForgotten(a.Key):
		return Forgotten
	case e.superseded(a):
		return Superseded
	case e.isVoid(a.Arrived) && !h.off.noVoid:
		return Voided
	case e == nil && h.full():
		return Full
	}
	return 0
}

// mayHaveForgotten says that an earlier incarnation can have granted the key.
func (h *Holder) mayHaveForgotten(k Key) bool {
	return !h.off.noAbstain && !k.Time().After(h.policy.horizon(h.started))
}

// superseded says that the ask's own release came first.
func (e *entry) superseded(a Acquire) bool {
	if e == nil {
		return false
	}
	return slices.ContainsFunc(e.released, func(r released) bool {
		return r.owner == a.Owner && r.round >= a.Round
	})
}

// Release frees a key that its owner never sent. A release that overtook its
// ask, or comes twice, does no harm.
func (h *Holder) Release(env Env, m Release) {
	h.forget(env.Now)
	e := h.entries[m.Key]
	if e == nil {
		if h.full() || h.policy.tooOld(env.Now, m.Key) {
			return
		}
		e = h.add(m.Key)
	}
	e.remember(m)
	if e.record != nil || !e.held {
		return
	}
	own := e.owner == m.Owner || h.off.noOwnerCheck
	current := m.Round >= e.round || h.off.noRoundCheck
	if own && current {
		e.held = false
		e.round = 0
	}
}

// remember notes a release, dropping the oldest one beyond maxReleased.
func (e *entry) remember(m Release) {
	i := slices.IndexFunc(e.released, func(r released) bool { return r.owner == m.Owner })
	if i >= 0 {
		e.released[i].round = max(e.released[i].round, m.Round)
		return
	}
	if len(e.released) == maxReleased {
		e.released = slices.Delete(e.released, 0, 1)
	}
	e.released = append(e.released, released{m.Owner, m.Round})
}

// Store keeps a result. The first one of a key stays: only the one owner that
// won sends any. A holder takes it whatever it granted or forgot.
func (h *Holder) Store(env Env, m Store) Reply {
	h.forget(env.Now)
	r := h.reply(env, 0)
	if h.policy.tooOld(env.Now, m.Key) {
		r.Verdict = KeyTooOld
		return r
	}
	e := h.entries[m.Key]
	if e == nil {
		if h.full() {
			r.Verdict = Full
			return r
		}
		e = h.add(m.Key)
	}
	if e.record == nil {
		h.keep(e, m)
	}
	r.Verdict = Recorded
	return r
}

// keep stores a record in e, without a result that is too large.
func (h *Holder) keep(e *entry, m Store) {
	rec := m.Record
	if len(rec.Result) > h.policy.MaxResult {
		rec.Result = nil
		rec.Truncated = true
	}
	e.held = true
	e.owner = m.Owner
	e.digest = rec.Digest
	e.record = &rec
	h.bytes += len(rec.Result)
}

// Lookup says what the holder knows of a key and changes nothing.
func (h *Holder) Lookup(env Env, k Key) Reply {
	r := h.reply(env, 0)
	e := h.entries[k]
	r.describe(e)
	switch {
	case e != nil && e.held:
		r.Verdict = Taken
	case h.policy.tooOld(env.Now, k):
		r.Verdict = KeyTooOld
	case h.mayHaveForgotten(k):
		r.Verdict = Forgotten
	default:
		r.Verdict = None
	}
	return r
}

func (h *Holder) reply(env Env, round uint32) Reply {
	return Reply{Holder: h.host, Incarnation: h.incarnation, Round: round, Epoch: env.Epoch}
}

// describe tells the owner and the record of e.
func (r *Reply) describe(e *entry) {
	if e == nil || !e.held {
		return
	}
	r.Owner = e.owner
	r.Digest = e.digest
	r.Record = e.record
}

// full says that no further key fits. Results of keys already granted are
// always taken in, so bytes may pass MaxBytes by what is in flight.
func (h *Holder) full() bool {
	return len(h.entries) >= h.policy.MaxKeys || h.bytes >= h.policy.MaxBytes
}

func (h *Holder) add(k Key) *entry {
	e := &entry{}
	h.entries[k] = e
	b := k.Time().UnixNano() / int64(bucketWidth)
	h.buckets[b] = append(h.buckets[b], k)
	return e
}

// forget drops the keys that stay refused as too old even if the clock steps
// back by MaxClockSkew.
func (h *Holder) forget(now time.Time) {
	limit := now.Add(-h.policy.Retention-h.policy.MaxClockSkew).UnixNano() / int64(bucketWidth)
	if limit <= h.forgotten {
		return
	}
	h.forgotten = limit
	for b, keys := range h.buckets {
		if b >= limit {
			continue
		}
		for _, k := range keys {
			h.drop(k)
		}
		delete(h.buckets, b)
	}
}

func (h *Holder) drop(k Key) {
	if e := h.entries[k]; e != nil && e.record != nil {
		h.bytes -= len(e.record.Result)
	}
	delete(h.entries, k)
}

// Stats counts what a Holder keeps.
type Stats struct {
	Granted  int `json:"granted"`
	Recorded int `json:"recorded"`
	Released int `json:"released"`
	Bytes    int `json:"result_bytes"`
	// Oldest is the time of the oldest key; zero if there is none.
	Oldest time.Time `json:"oldest,omitzero"`
}

// Stats counts the holder's claims by state.
func (h *Holder) Stats() Stats {
	s := Stats{Bytes: h.bytes}
	for k, e := range h.entries {
		switch {
		case e.record != nil:
			s.Recorded++
		case e.held:
			s.Granted++
		default:
			s.Released++
		}
		if t := k.Time(); s.Oldest.IsZero() || t.Before(s.Oldest) {
			s.Oldest = t
		}
	}
	return s
}
