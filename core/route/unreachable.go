package route

import "time"

// unreachability is the evidence that no connection to an upstream can be established. The
// zero value means that there is none.
type unreachability struct {
	// until is when the upstream is next to be tried.
	until time.Time
	// probing is set while a call that began after until, of request probe, is in flight.
	probing bool
	probe   string
}

// SetUnreachable sets that an upstream is avoided until a time. From then on it gets one call at
// a time, until the zero time is set, which means that it can be reached.
func (r *Router) SetUnreachable(now time.Time, pool, upstream string, until time.Time) {
	p := r.current.Load().pools[pool]
	if p == nil {
		return
	}
	p.shard.mu.Lock()
	defer p.shard.mu.Unlock()
	m := p.members.find(upstream)
	switch {
	case m == nil:
	case !until.IsZero():
		p.shard.stateOf(m, now, &r.config).unreachable.until = until
	case m.state != nil:
		m.state.unreachable = unreachability{}
	}
}

// blocks reports whether the upstream must not get a call at now.
func (u *unreachability) blocks(now time.Time) bool {
	return !u.until.IsZero() && (u.probing || now.Before(u.until))
}

// startCall records that a call begins. If the upstream is due to be tried, the call is the
// probe.
func (u *unreachability) startCall(now time.Time, request string) {
	if !u.until.IsZero() && !u.blocks(now) {
		u.probing, u.probe = true, request
	}
}

// endCall records the end of a call.
func (u *unreachability) endCall(request string) {
	if u.probing && u.probe == request {
		u.probing, u.probe = false, ""
	}
}

// untilOrNil returns when the upstream is next to be tried; nil without evidence.
func (u *unreachability) untilOrNil() *time.Time {
	if u.until.IsZero() {
		return nil
	}
	until := u.until
	return &until
}

// unreachableFilter rejects upstreams to which no connection is expected to be established.
type unreachableFilter struct{}

func (unreachableFilter) Name() string      { return "unreachable" }
func (unreachableFilter) Relax() RelaxLevel { return RelaxSecond }
func (unreachableFilter) Refuse(_ *View, c *Candidate) string {
	if c.Unreachable {
		return "unreachable"
	}
	return ""
}
