package member

import (
	"time"

	"github.com/wheatseam/wheatseam/wire"
)

// The limits on marks: the number of marks, which the bundle's list of upstreams does
// not bound while it is unknown, and how far the time of a mark may be ahead of the
// local clock.
const (
	maxUpstreamMarks = 4096
	maxMarkFuture    = time.Minute
)

// upstreamMark records whether an upstream is leaving, as of a time in Unix
// milliseconds.
type upstreamMark struct {
	leaving bool
	asOf    int64
	hash    uint64
}

// upstreamMarks holds the marks of upstreams that are leaving or have returned.
type upstreamMarks struct {
	byName  map[string]*upstreamMark
	allowed map[string]bool // nil allows all
}

// upstreamKey returns the item key of an upstream's mark.
func upstreamKey(name string) itemKey { return itemKey{kind: kindUpstream, name: name} }

// toProto returns the message form of an upstream's mark, or nil.
func (marks *upstreamMarks) toProto(name string) *wire.UpstreamMark {
	u := marks.byName[name]
	if u == nil {
		return nil
	}
	return &wire.UpstreamMark{Upstream: name, Leaving: u.leaving, AsOfUnixMs: u.asOf}
}

// setAllowedUpstreams sets the upstreams that may be marked and removes the marks
// of all others; nil allows all.
func (m *Machine) setAllowedUpstreams(upstreams []string) {
	m.upstreamMarks.allowed = nil
	if upstreams == nil {
		return
	}
	m.upstreamMarks.allowed = make(map[string]bool, len(upstreams))
	for _, u := range upstreams {
		m.upstreamMarks.allowed[u] = true
	}
	for name, u := range m.upstreamMarks.byName {
		if !m.upstreamMarks.allowed[name] {
			m.stateHash ^= u.hash
			delete(m.upstreamMarks.byName, name)
			m.gossip.remove(upstreamKey(name))
		}
	}
}

// handleHostList processes the platform's host list. The list lags behind, so it
// clears a leaving mark only when it is newer than the mark by LeavingHoldDown.
func (m *Machine) handleHostList(now time.Time, e HostList) {
	for _, u := range e.Upstreams {
		old := m.upstreamMarks.byName[u.Name]
		knownLeaving := old != nil && old.leaving
		if u.Leaving == knownLeaving {
			continue
		}
		if !u.Leaving && e.AsOfUnixMS < old.asOf+m.cfg.LeavingHoldDown.Milliseconds() {
			continue
		}
		m.mergeUpstreamMark(now, &wire.UpstreamMark{Upstream: u.Name, Leaving: u.Leaving, AsOfUnixMs: e.AsOfUnixMS})
	}
}

// handleUpstreamReported processes an upstream's own report.
func (m *Machine) handleUpstreamReported(now time.Time, e UpstreamReported) {
	old := m.upstreamMarks.byName[e.Name]
	if knownLeaving := old != nil && old.leaving; knownLeaving == e.Leaving {
		return
	}
	m.mergeUpstreamMark(now, &wire.UpstreamMark{Upstream: e.Name, Leaving: e.Leaving, AsOfUnixMs: e.AsOfUnixMS})
}

// mergeUpstreamMark merges a mark and reports whether it was new. The later mark
// wins; of two marks with the same time, the leaving one.
func (m *Machine) mergeUpstreamMark(now time.Time, u *wire.UpstreamMark) bool {
	name := u.GetUpstream()
	if m.upstreamMarks.allowed != nil && !m.upstreamMarks.allowed[name] {
		return false
	}
	old := m.upstreamMarks.byName[name]
	asOf := min(u.GetAsOfUnixMs(), now.Add(maxMarkFuture).UnixMilli())
	if old == nil {
		if len(m.upstreamMarks.byName) >= maxUpstreamMarks {
			m.emit(Rejected{name, "too many upstream marks"})
			return false
		}
		old = &upstreamMark{asOf: -1}
		m.upstreamMarks.byName[name] = old
	}
	if asOf < old.asOf || asOf == old.asOf && (old.leaving || !u.GetLeaving()) {
		return false
	}
	changed := old.leaving != u.GetLeaving()
	m.stateHash ^= old.hash
	old.leaving, old.asOf = u.GetLeaving(), asOf
	leavingBit := uint64(0)
	if old.leaving {
		leavingBit = 1
	}
	old.hash = hashItem(upstreamKey(name), [4]uint64{uint64(asOf), leavingBit}, nil)
	m.stateHash ^= old.hash
	m.gossip.add(upstreamKey(name))
	if changed {
		m.push.request()
		m.emit(UpstreamChanged{name, old.leaving})
	}
	return true
}

// LeavingUpstreams returns the sorted names of the upstreams that are leaving.
func (m *Machine) LeavingUpstreams() []string {
	out := []string{}
	for _, name := range sortedKeys(m.upstreamMarks.byName) {
		if m.upstreamMarks.byName[name].leaving {
			out = append(out, name)
		}
	}
	return out
}
