package member

import (
	"time"

	"github.com/wheatseam/wheatseam/wire"
)

// The bounds on marks: their number while the bundle is unknown, and how far
// ahead of our clock one may lie.
const (
	maxMarks     = 4096
	maxMarkAhead = time.Minute
)

// mark says whether an upstream leaves.
type mark struct {
	leaving bool
	asOf    int64
	hash    uint64
}

// marks holds the upstreams that leave or left and came back.
type marks struct {
	byName  map[string]*mark
	allowed map[string]bool // nil allows all
}

// upstreamKey names a mark among the items.
func upstreamKey(name string) itemKey { return itemKey{kind: kindUpstream, name: name} }

// wire returns the mark of an upstream as it spreads, or nil.
func (k *marks) wire(name string) *wire.UpstreamMark {
	u := k.byName[name]
	if u == nil {
		return nil
	}
	return &wire.UpstreamMark{Upstream: name, Leaving: u.leaving, AsOfUnixMs: u.asOf}
}

// configureMarks drops the marks of upstreams that the bundle does not name.
func (m *Machine) configureMarks(upstreams []string) {
	m.marks.allowed = nil
	if upstreams == nil {
		return
	}
	m.marks.allowed = make(map[string]bool, len(upstreams))
	for _, u := range upstreams {
		m.marks.allowed[u] = true
	}
	for name, u := range m.marks.byName {
		if !m.marks.allowed[name] {
			m.hash ^= u.hash
			delete(m.marks.byName, name)
			m.rumors.drop(upstreamKey(name))
		}
	}
}

// listed takes the host list. It lags, so its word "live" ends a mark only
// when the list is newer by the hold-down.
func (m *Machine) listed(now time.Time, e HostList) {
	for _, u := range e.Upstreams {
		old := m.marks.byName[u.Name]
		known := old != nil && old.leaving
		if u.Leaving == known {
			continue
		}
		if !u.Leaving && e.AsOfUnixMS < old.asOf+m.cfg.LeavingHoldDown.Milliseconds() {
			continue
		}
		m.mergeMark(now, &wire.UpstreamMark{Upstream: u.Name, Leaving: u.Leaving, AsOfUnixMs: e.AsOfUnixMS})
	}
}

// reported takes an upstream's own word.
func (m *Machine) reported(now time.Time, e UpstreamReported) {
	old := m.marks.byName[e.Name]
	if known := old != nil && old.leaving; known == e.Leaving {
		return
	}
	m.mergeMark(now, &wire.UpstreamMark{Upstream: e.Name, Leaving: e.Leaving, AsOfUnixMs: e.AsOfUnixMS})
}

// mergeMark takes a mark and reports whether it was news. The later one wins;
// of two of one time, the one that says leaving.
func (m *Machine) mergeMark(now time.Time, u *wire.UpstreamMark) bool {
	name := u.GetUpstream()
	if m.marks.allowed != nil && !m.marks.allowed[name] {
		return false
	}
	old := m.marks.byName[name]
	asOf := min(u.GetAsOfUnixMs(), now.Add(maxMarkAhead).UnixMilli())
	if old == nil {
		if len(m.marks.byName) >= maxMarks {
			m.act(Rejected{name, "too many leaving marks"})
			return false
		}
		old = &mark{asOf: -1}
		m.marks.byName[name] = old
	}
	if asOf < old.asOf || asOf == old.asOf && (old.leaving || !u.GetLeaving()) {
		return false
	}
	changed := old.leaving != u.GetLeaving()
	m.hash ^= old.hash
	old.leaving, old.asOf = u.GetLeaving(), asOf
	bit := uint64(0)
	if old.leaving {
		bit = 1
	}
	old.hash = hashItem(upstreamKey(name), [4]uint64{uint64(asOf), bit}, nil)
	m.hash ^= old.hash
	m.rumors.add(upstreamKey(name))
	if changed {
		m.push.urgent()
		m.act(UpstreamChanged{name, old.leaving})
	}
	return true
}

// LeavingUpstreams returns the names of the upstreams that leave, sorted.
func (m *Machine) LeavingUpstreams() []string {
	out := []string{}
	for _, name := range sortedKeys(m.marks.byName) {
		if m.marks.byName[name].leaving {
			out = append(out, name)
		}
	}
	return out
}
