package intake

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

// Source is the reason why the calls to a replica are limited.
type Source uint8

// The sources of quotas. All of them apply at the same time.
const (
	// Cold limits the calls to replicas that have just started.
	Cold Source = iota
	// AnnouncedLimit limits the calls to replicas that announce a limit in their responses.
	AnnouncedLimit
	// Leaving blocks the calls to replicas that announced in a response that they are
	// leaving.
	Leaving
	// BackingOff temporarily blocks the calls to replicas that asked this host for a
	// backoff.
	BackingOff
	// Refusals limits the calls to replicas that fail if they have to refuse too many.
	Refusals
	sourceCount
)

// String returns the name of the source in logs and decision records.
func (s Source) String() string {
	return [sourceCount]string{"cold", "limited", "leaving", "resting", "refusals"}[s]
}

// Quota is one host's quota of the calls to a replica.
type Quota struct {
	// Calls is the maximum number of calls that may begin in any interval of length Window;
	// values above MaxTrackedCalls are treated as MaxTrackedCalls. If Calls is 0, other
	// hosts have the quota, and Window is the time within which one of them may begin a
	// call; 0 if none may.
	Calls  int
	Window time.Duration
	// ProbeFrom is the time from which one call may begin although Calls is 0, and
	// ProbeInterval the time from that call to the next one. A zero ProbeFrom allows none.
	ProbeFrom     time.Time
	ProbeInterval time.Duration
	// BlockedUntil is the time until which no call may begin, and from which the quota no
	// longer applies; zero for a quota that does not expire.
	BlockedUntil time.Time
	// InFlight, if set, limits the calls in flight, and the other fields are not used.
	InFlight *InFlightQuota
}

// InFlightQuota is one host's quota of the calls in flight at a replica, and of those that
// the replica refuses.
type InFlightQuota struct {
	// Calls is the maximum number of calls in flight.
	Calls int
	// No call may begin once the replica has refused Refusals calls within Window; values
	// above MaxTrackedCalls are treated as MaxTrackedCalls.
	Refusals int
	Window   time.Duration
}

// MaxTrackedCalls is the maximum number of calls of a Quota that a Limiter tracks.
const MaxTrackedCalls = 16

// Limiter limits the calls to one replica. It is safe for concurrent use. A nil Limiter
// has no quota and records nothing.
type Limiter struct {
	// bounded is set while any quota is set. Calls to unlimited replicas check only this
	// field and do not take the lock.
	bounded atomic.Bool
	// recordedSince is the start of the process: an earlier one may have used the whole quota
	// just before. It is zero if there was none.
	recordedSince time.Time

	mu     sync.Mutex
	quotas [sourceCount]*Quota
	// callTimes is a ring buffer of the last calls, with the latest at index newest. It is
	// also updated while no quota is set.
	callTimes [MaxTrackedCalls]time.Time
	newest    int
	// recent counts the calls of the last quotaWindow.
	recent callCounts
	// inFlight counts the calls that have not ended. refusals are the times of the last
	// refusals, oldest first, and besideRefused the number of other calls in flight at the
	// last one.
	inFlight      int
	refusals      []time.Time
	besideRefused int
	// limitedAt is when each source last blocked a call.
	limitedAt [sourceCount]time.Time
}

// RecordCall records a call.
func (g *Limiter) RecordCall(now time.Time) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.newest = (g.newest + 1) % MaxTrackedCalls
	g.callTimes[g.newest] = now
	g.recent.add(now)
	g.inFlight++
}

// RecordEnd records the end of a call.
func (g *Limiter) RecordEnd() {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight = max(0, g.inFlight-1)
}

// RecordRefusal records that the replica refused a call for want of room. inFlight says that
// the call was recorded and has not ended.
func (g *Limiter) RecordRefusal(now time.Time, inFlight bool) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refusals = append(g.refusals, now)
	g.refusals = g.refusals[max(0, len(g.refusals)-MaxTrackedCalls):]
	g.besideRefused = g.inFlight
	if inFlight {
		g.besideRefused = max(0, g.inFlight-1)
	}
}

// Blocked reports whether a call may not begin now, and the source of the quota that blocks
// it.
func (g *Limiter) Blocked(now time.Time) (Source, bool) {
	if !g.HasQuota() {
		return 0, false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for s, p := range g.quotas {
		if p != nil && now.Before(g.allowedAt(now, p)) {
			g.limitedAt[s] = now
			return Source(s), true
		}
	}
	return 0, false
}

// NextAllowed returns when all quotas allow a call, by this host or, where this host has no
// quota, by another one. The time is in the far future for a replica that is leaving, and
// not after now if a call is allowed now.
func (g *Limiter) NextAllowed(now time.Time) time.Time {
	if !g.HasQuota() {
		return now
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	at := now
	for _, p := range g.quotas {
		if p == nil {
			continue
		}
		allowed := g.allowedAt(now, p)
		if othersAllowed := now.Add(p.Window); p.InFlight == nil && p.BlockedUntil.IsZero() && p.Calls < 1 && p.Window > 0 && allowed.After(othersAllowed) {
			allowed = othersAllowed
		}
		if allowed.After(at) {
			at = allowed
		}
	}
	return at
}

// RefusedByReplica reports whether the replica itself announced that it accepts nothing
// from this host, because it is leaving or requested a backoff. A call that was assigned to
// the replica earlier must then not be sent.
func (g *Limiter) RefusedByReplica(now time.Time) bool {
	if !g.HasQuota() {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	backoff := g.quotas[BackingOff]
	return g.quotas[Leaving] != nil || backoff != nil && now.Before(backoff.BlockedUntil)
}

// IsLeaving reports whether the replica is leaving and accepts no new work.
func (g *Limiter) IsLeaving() bool {
	if !g.HasQuota() {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.quotas[Leaving] != nil
}

// HasQuota reports whether any quota is set.
func (g *Limiter) HasQuota() bool { return g != nil && g.bounded.Load() }

// CallsWithin returns the number of calls that began within the last window, which is at most
// quotaWindow. Beyond MaxTrackedCalls it may include some that began up to countInterval earlier.
func (g *Limiter) CallsWithin(now time.Time, window time.Duration) int {
	if g == nil {
		return 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, at := range g.callTimes {
		if !at.IsZero() && now.Sub(at) < window {
			n++
		}
	}
	if n < MaxTrackedCalls {
		return n
	}
	return max(n, g.recent.since(now.Add(-window)))
}

// countInterval is the length of the intervals in which calls are counted.
const countInterval = quotaWindow / 16

// callCounts counts the calls of the last quotaWindow in intervals of countInterval.
type callCounts struct {
	// counts are the calls of the interval with the number last, at index last modulo the
	// length, and of those before it.
	counts [quotaWindow/countInterval + 1]uint32
	last   int64
}

// add counts a call.
func (c *callCounts) add(now time.Time) {
	const n = int64(len(callCounts{}.counts))
	number := max(c.last, now.UnixNano()/int64(countInterval))
	for k := max(c.last+1, number-n+1); k <= number; k++ {
		c.counts[k%n] = 0
	}
	c.last = number
	c.counts[number%n]++
}

// since returns the number of calls since a time, and of those earlier in its interval.
func (c *callCounts) since(at time.Time) int {
	const n = int64(len(callCounts{}.counts))
	sum := 0
	for k := max(at.UnixNano()/int64(countInterval), c.last-n+1); k <= c.last; k++ {
		sum += int(c.counts[k%n])
	}
	return sum
}

// LimitedSince reports whether a source has blocked a call since a time.
func (g *Limiter) LimitedSince(s Source, since time.Time) bool {
	if g == nil {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limitedAt[s].After(since)
}

// Rate returns how many calls per second this host may begin; bounded is false if no quota
// applies.
func (g *Limiter) Rate(now time.Time) (perSecond float64, bounded bool) {
	if !g.HasQuota() {
		return 0, false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.quotas {
		if p == nil || p.InFlight != nil || !p.BlockedUntil.IsZero() && !now.Before(p.BlockedUntil) {
			continue
		}
		var rate float64
		if p.Calls > 0 {
			rate = float64(min(p.Calls, MaxTrackedCalls)) / p.Window.Seconds()
		}
		if !bounded || rate < perSecond {
			perSecond, bounded = rate, true
		}
	}
	return perSecond, bounded
}

// allowedAt returns when a quota allows this host's next call. The caller holds the lock.
func (g *Limiter) allowedAt(now time.Time, p *Quota) time.Time {
	switch {
	case p.InFlight != nil:
		return g.inFlightAllowedAt(now, p.InFlight)
	case !p.BlockedUntil.IsZero():
		return p.BlockedUntil
	case p.Calls < 1:
		return g.probeAllowedAt(p)
	}
	oldest := g.callTimes[(g.newest+1+MaxTrackedCalls-min(p.Calls, MaxTrackedCalls))%MaxTrackedCalls]
	if oldest.IsZero() {
		oldest = g.recordedSince
	}
	if oldest.IsZero() {
		return oldest
	}
	return oldest.Add(p.Window)
}

const (
	// inFlightRetryInterval is after which time a call is tried again that may not begin
	// because of others in flight.
	inFlightRetryInterval = 50 * time.Millisecond
	// refusalRecovery is the time in which one more call in flight is allowed after a
	// refusal.
	refusalRecovery = 250 * time.Millisecond
	// refusalPeriod is for how long calls begin one by one after a refusal, and
	// refusalDelay the time between two of them: by then a call that is refused has been.
	refusalPeriod = 5 * time.Second
	refusalDelay  = 50 * time.Millisecond
)

// inFlightAllowedAt returns when a quota of calls in flight allows the next call. The caller
// holds the lock.
func (g *Limiter) inFlightAllowedAt(now time.Time, q *InFlightQuota) time.Time {
	calls, at := q.Calls, time.Time{}
	if n := len(g.refusals); n > 0 {
		since := now.Sub(g.refusals[n-1])
		if first := n - min(q.Refusals, MaxTrackedCalls); first >= 0 {
			at = g.refusals[first].Add(q.Window)
		}
		if next := g.callTimes[g.newest].Add(refusalDelay); since < refusalPeriod && next.After(at) {
			at = next
		}
		calls = min(calls, max(1, g.besideRefused)+int(since/refusalRecovery))
	}
	if next := now.Add(inFlightRetryInterval); g.inFlight >= calls && next.After(at) {
		at = next
	}
	return at
}

// probeAllowedAt returns when a quota of no calls allows the next probe call. The caller
// holds the lock.
func (g *Limiter) probeAllowedAt(p *Quota) time.Time {
	last := g.callTimes[g.newest]
	switch {
	case p.ProbeFrom.IsZero():
		return farFuture
	case last.Before(p.ProbeFrom):
		return p.ProbeFrom
	}
	return last.Add(p.ProbeInterval)
}

// farFuture is later than any time that is passed in.
var farFuture = time.Unix(1<<40, 0)

// setQuota replaces the quota of a source; nil removes it.
func (g *Limiter) setQuota(s Source, p *Quota) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.quotas[s] = p
	g.bounded.Store(g.quotas != [sourceCount]*Quota{})
}

// Limiters holds the limiters of all replicas by ID. It is safe for concurrent use.
type Limiters struct {
	// recordedSince is the start of the process; zero if no earlier one has made calls.
	recordedSince time.Time

	mu       sync.Mutex
	limiters map[string]*Limiter
	quotas   [sourceCount]map[string]Quota
	// limited is set while any quota is set.
	limited atomic.Bool
}

// NewLimiters returns Limiters without quotas. recordedSince is the start of the process, or zero if
// no earlier process of its host can have made calls.
func NewLimiters(recordedSince time.Time) *Limiters {
	return &Limiters{limiters: map[string]*Limiter{}, recordedSince: recordedSince}
}

// Find returns the limiter of a replica for reading. It is nil if the replica has no
// quota.
func (gs *Limiters) Find(replica string) *Limiter {
	if !gs.limited.Load() {
		return nil
	}
	gs.mu.Lock()
	defer gs.mu.Unlock()
	for s := range gs.quotas {
		if _, ok := gs.quotas[s][replica]; ok {
			return gs.get(replica)
		}
	}
	return nil
}

// Get returns the limiter of a replica, creating it if needed. It returns the same limiter
// until RemoveUnlisted removes it.
func (gs *Limiters) Get(replica string) *Limiter {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	return gs.get(replica)
}

// get returns the limiter of a replica, creating it if needed. The caller holds the lock.
func (gs *Limiters) get(replica string) *Limiter {
	g := gs.limiters[replica]
	if g == nil {
		g = &Limiter{recordedSince: gs.recordedSince}
		gs.limiters[replica] = g
		for s := range gs.quotas {
			gs.applyQuota(Source(s), replica, g)
		}
	}
	return g
}

// SetQuotas replaces all quotas of a source, by replica. They also apply to limiters that
// are created later.
func (gs *Limiters) SetQuotas(s Source, quotas map[string]Quota) {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	gs.quotas[s] = quotas
	limited := false
	for _, q := range gs.quotas {
		limited = limited || len(q) > 0
	}
	gs.limited.Store(limited)
	for replica, g := range gs.limiters {
		gs.applyQuota(s, replica, g)
	}
}

// applyQuota sets a limiter's quota of a source. The caller holds the lock.
func (gs *Limiters) applyQuota(s Source, replica string, g *Limiter) {
	if p, ok := gs.quotas[s][replica]; ok {
		g.setQuota(s, &p)
		return
	}
	g.setQuota(s, nil)
}

// RemoveUnlisted removes the limiters of replicas that are not listed, unless their calls still
// count: a replica may be missing from the list temporarily. listed must not take a lock under which
// Find or Get is called.
func (gs *Limiters) RemoveUnlisted(now time.Time, listed func(replica string) bool) {
	gs.remove(func(replica string, g *Limiter) bool { return !listed(replica) && !g.callsCount(now) })
}

// RemoveAllUnlisted is RemoveUnlisted for limiters on which no quotas are set: it removes those whose
// calls still count, too.
func (gs *Limiters) RemoveAllUnlisted(listed func(replica string) bool) {
	gs.remove(func(replica string, _ *Limiter) bool { return !listed(replica) })
}

func (gs *Limiters) remove(unused func(replica string, g *Limiter) bool) {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	maps.DeleteFunc(gs.limiters, unused)
}

// callsCount reports whether a quota may depend on the calls that were recorded.
func (g *Limiter) callsCount(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	sinceCall := now.Sub(g.callTimes[g.newest])
	if n := len(g.refusals); n > 0 && now.Sub(g.refusals[n-1]) < maxRefusalWindow {
		return true
	}
	return sinceCall < quotaWindow || g.inFlight > 0 && sinceCall < unlistedRetention
}
