package claim

import (
	"slices"
	"time"
)

// maxReleasesPerKey bounds the number of releases recorded for one key. A recorded
// release only prevents an Acquire that arrives after it from granting the key to an
// owner that has aborted its claim.
const maxReleasesPerKey = 4

// bucketWidth is the granularity at which a holder evicts old keys.
const bucketWidth = time.Minute

// Env is the state of the daemon at the time of a call to a Holder.
type Env struct {
	Now time.Time
	// Epoch is the epoch of the daemon's current host list.
	Epoch uint64
	// Ready reports whether the daemon may grant: it has synced since its start
	// and its clock agrees with its peers' (see Views).
	Ready bool
}

// Holder stores and grants the claims on one shard of keys. It is not safe for
// concurrent use.
type Holder struct {
	host        string
	incarnation uint64
	started     time.Time
	policy      Policy
	disabled    disabledChecks

	entries map[Key]*entry
	buckets map[int64][]Key
	// evictedBefore is the index of the oldest bucket that has not been evicted.
	evictedBefore int64
	bytes         int
}

// entry is a holder's state of one key.
type entry struct {
	claimed  bool
	owner    Owner
	round    uint32
	digest   Digest
	record   *Record
	released []released
	// voidedUntil is the arrival time up to which attempts are voided.
	voidedUntil time.Time
}

// released records that an owner released a key.
type released struct {
	owner Owner
	round uint32
}

// NewHolder returns an empty holder for a process that started at started.
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

// Acquire grants a key, or returns the verdict that prevents the grant.
func (h *Holder) Acquire(env Env, a Acquire) Reply {
	h.evictExpired(env.Now)
	r := h.newReply(env, a.Round)
	e := h.entries[a.Key]
	if r.setClaim(e); e.unavailableTo(a.Owner) && (e.record != nil || !h.disabled.exclusiveGrant) {
		r.Verdict = Taken
		return r
	}
	if r.Verdict = h.refusal(env, a, e); r.Verdict != 0 {
		return r
	}
	if e == nil {
		e = h.add(a.Key)
	}
	e.claimed = true
	e.owner = a.Owner
	e.digest = a.Digest
	e.round = max(e.round, a.Round)
	r.Verdict = Granted
	return r
}

// unavailableTo reports whether another owner than o has the key, or its result is
// recorded.
func (e *entry) unavailableTo(o Owner) bool {
	return e != nil && (e.record != nil || e.claimed && e.owner != o)
}

// refusal returns the verdict that prevents a grant of a key that no other owner
// has, or 0.
func (h *Holder) refusal(env Env, a Acquire, e *entry) Verdict {
	switch {
	case !env.Ready:
		return NotReady
	case a.Epoch < env.Epoch && !h.disabled.epochMatch:
		return OldView
	case a.Epoch > env.Epoch && !h.disabled.epochMatch:
		return NewView
	case h.policy.tooOld(env.Now, a.Key) && !h.disabled.keyTooOld:
		return KeyTooOld
	case h.policy.tooNew(env.Now, a.Key) && !h.disabled.keyTooNew:
		return KeyTooNew
	case h.mayBeGrantedBeforeRestart(a.Key):
		return HolderRestarted
	case e.alreadyReleased(a):
		return Superseded
	case e.isVoided(a.Arrived) && !h.disabled.voidedAttempts:
		return Voided
	case e == nil && h.full():
		return Full
	}
	return 0
}

// mayBeGrantedBeforeRestart reports whether an earlier incarnation of the holder
// may have granted the key.
func (h *Holder) mayBeGrantedBeforeRestart(k Key) bool {
	return !h.disabled.restartAbstention && !k.Time().After(h.policy.latestGrantableKeyTime(h.started))
}

// alreadyReleased reports whether the release of a's round arrived before a.
func (e *entry) alreadyReleased(a Acquire) bool {
	if e == nil {
		return false
	}
	return slices.ContainsFunc(e.released, func(r released) bool {
		return r.owner == a.Owner && r.round >= a.Round
	})
}

// Release releases a key whose owner has not sent the request. It is idempotent. A
// release that arrives before its Acquire makes the holder refuse that Acquire, unless
// the holder was full and could not record the release.
func (h *Holder) Release(env Env, m Release) {
	h.evictExpired(env.Now)
	e := h.entries[m.Key]
	if e == nil {
		if h.full() || h.policy.tooOld(env.Now, m.Key) {
			return
		}
		e = h.add(m.Key)
	}
	e.addRelease(m)
	if e.record != nil || !e.claimed {
		return
	}
	own := e.owner == m.Owner || h.disabled.releaseOwner
	current := m.Round >= e.round || h.disabled.releaseRound
	if own && current {
		e.claimed = false
		e.round = 0
	}
}

// addRelease records a release and drops the oldest one beyond maxReleasesPerKey.
func (e *entry) addRelease(m Release) {
	i := slices.IndexFunc(e.released, func(r released) bool { return r.owner == m.Owner })
	if i >= 0 {
		e.released[i].round = max(e.released[i].round, m.Round)
		return
	}
	if len(e.released) == maxReleasesPerKey {
		e.released = slices.Delete(e.released, 0, 1)
	}
	e.released = append(e.released, released{m.Owner, m.Round})
}

// Store records a result. Only the owner that won a key sends results for it, so
// the first result is kept. The holder accepts it whether or not it has granted the
// key to that owner, unless the key is too old, or is new to the holder and the holder
// is full.
func (h *Holder) Store(env Env, m Store) Reply {
	h.evictExpired(env.Now)
	r := h.newReply(env, 0)
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
		h.storeRecord(e, m)
	}
	r.Verdict = Recorded
	return r
}

// storeRecord stores the record of m in e, without the result if that exceeds
// Policy.MaxResult.
func (h *Holder) storeRecord(e *entry, m Store) {
	rec := m.Record
	if len(rec.Result) > h.policy.MaxResult {
		rec.Result = nil
		rec.Truncated = true
	}
	e.claimed = true
	e.owner = m.Owner
	e.digest = rec.Digest
	e.record = &rec
	h.bytes += len(rec.Result)
}

// Lookup returns the holder's state of a key without changing it.
func (h *Holder) Lookup(env Env, k Key) Reply {
	r := h.newReply(env, 0)
	e := h.entries[k]
	r.setClaim(e)
	switch {
	case e != nil && e.claimed:
		r.Verdict = Taken
	case h.policy.tooOld(env.Now, k):
		r.Verdict = KeyTooOld
	case h.mayBeGrantedBeforeRestart(k):
		r.Verdict = HolderRestarted
	default:
		r.Verdict = NoOwner
	}
	return r
}

func (h *Holder) newReply(env Env, round uint32) Reply {
	return Reply{Holder: h.host, Incarnation: h.incarnation, Round: round, Epoch: env.Epoch}
}

// setClaim sets the owner, digest and record of the claim in e.
func (r *Reply) setClaim(e *entry) {
	if e == nil || !e.claimed {
		return
	}
	r.Owner = e.owner
	r.Digest = e.digest
	r.Record = e.record
}

// full reports whether the holder accepts no further keys. Results of keys already
// granted are always stored, so bytes may exceed MaxBytes by the results of
// requests in flight.
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

// evictExpired drops the keys that remain too old even if the clock steps back by
// MaxClockSkew.
func (h *Holder) evictExpired(now time.Time) {
	limit := now.Add(-h.policy.Retention-h.policy.MaxClockSkew).UnixNano() / int64(bucketWidth)
	if limit <= h.evictedBefore {
		return
	}
	h.evictedBefore = limit
	for b, keys := range h.buckets {
		if b >= limit {
			continue
		}
		for _, k := range keys {
			h.evict(k)
		}
		delete(h.buckets, b)
	}
}

func (h *Holder) evict(k Key) {
	if e := h.entries[k]; e != nil && e.record != nil {
		h.bytes -= len(e.record.Result)
	}
	delete(h.entries, k)
}

// Stats holds the number of claims in a Holder by state, and their size.
type Stats struct {
	Granted  int `json:"granted"`
	Recorded int `json:"recorded"`
	Released int `json:"released"`
	Bytes    int `json:"result_bytes"`
	// Oldest is the time of the oldest key; zero if there is no key.
	Oldest time.Time `json:"oldest,omitzero"`
}

// Stats returns the holder's claims counted by state.
func (h *Holder) Stats() Stats {
	s := Stats{Bytes: h.bytes}
	for k, e := range h.entries {
		switch {
		case e.record != nil:
			s.Recorded++
		case e.claimed:
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
