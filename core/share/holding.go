package share

import (
	"maps"
	"slices"
	"time"

	"github.com/wheatseam/wheatseam/wire"
)

// headroomNum / headroomDen is what a daemon wants over its demand.
const (
	headroomNum = 5
	headroomDen = 4
	// worthTelling is the part of the equal share from which giving it back is
	// reported at once.
	worthTelling = 10
)

// holding is what this daemon may use of one resource.
type holding struct {
	id     ID
	demand int64
	// allocator is the host that ceiling and loan were agreed with.
	allocator string
	// ceiling binds this daemon until ceilingUntil; then the equal share holds.
	ceiling      int64
	ceilingUntil time.Time
	// loan may be used until loanUntil.
	loan      int64
	loanUntil time.Time
	// contended says that some daemon wants more of the resource.
	contended bool
	due       time.Time
	sent      time.Time
}

// bound returns what the daemon may use apart from a loan.
func (h *holding) bound(now time.Time, equal int64) int64 {
	if now.Before(h.ceilingUntil) {
		return min(h.ceiling, equal)
	}
	return equal
}

// share returns what the daemon may use.
func (h *holding) share(now time.Time, equal int64) int64 {
	if now.Before(h.loanUntil) {
		return h.loan
	}
	return h.bound(now, equal)
}

func (h *holding) wants() int64 { return h.demand * headroomNum / headroomDen }

// free says that nothing binds the holding to its allocator any more.
func (h *holding) free(now time.Time) bool {
	return !now.Before(h.ceilingUntil) && !now.Before(h.loanUntil)
}

// measure takes over the demand; a holding that wants more reports soon.
func (m *Machine) measure(now time.Time, demand map[Resource]float64) {
	byID := make(map[ID]int64, len(demand))
	for r, d := range demand {
		byID[r.ID()] += int64(min(d, 1e3) * FullShare)
	}
	for id, h := range m.holdings {
		h.demand = byID[id]
		if h.wants() > h.share(now, m.list.equal) {
			h.hurry(h.sent.Add(m.cfg.Interval / 2))
		}
	}
}

// hurry makes the next report due at t at the latest.
func (h *holding) hurry(t time.Time) {
	if t.Before(h.due) {
		h.due = t
	}
}

// report sends the reports that are due, one message for each allocator, which
// takes along what would be due there before long.
func (m *Machine) report(now time.Time) []Action {
	if len(m.list.hosts) == 0 {
		return nil
	}
	batches := map[string]*wire.ShareReport{}
	for _, id := range m.resources {
		h := m.holdings[id]
		if !now.Before(h.due) && h.choose(now, m.allocatorOf(id)) {
			m.addTo(now, batches, h)
		}
	}
	if len(batches) == 0 {
		return nil
	}
	for _, id := range m.resources {
		h := m.holdings[id]
		soon := h.sent.Before(now) && h.due.Sub(now) < m.pause(now, h)/2
		if soon && batches[m.allocatorOf(id)] != nil && h.choose(now, m.allocatorOf(id)) {
			m.addTo(now, batches, h)
		}
	}
	out := make([]Action, 0, len(batches))
	for _, to := range slices.Sorted(maps.Keys(batches)) {
		batches[to].SentUs = m.next(now)
		out = append(out, SendReport{To: to, Report: batches[to]})
	}
	return out
}

// choose binds the holding to an allocator. While it is still bound to another
// it stays silent until that has ended, and choose returns false.
func (h *holding) choose(now time.Time, allocator string) bool {
	if h.allocator == allocator {
		return true
	}
	if h.allocator != "" && !h.free(now) {
		h.due = h.ceilingUntil
		if h.loanUntil.After(h.due) {
			h.due = h.loanUntil
		}
		return false
	}
	h.allocator = allocator
	return true
}

// addTo adds the holding to its allocator's report. The echo renews a cession.
func (m *Machine) addTo(now time.Time, batches map[string]*wire.ShareReport, h *holding) {
	heard := m.heard[h.allocator]
	r := batches[h.allocator]
	if r == nil {
		r = &wire.ShareReport{
			View: m.list.id, Incarnation: m.cfg.Incarnation,
			EchoIncarnation: heard.incarnation, EchoUs: heard.us,
		}
		batches[h.allocator] = r
	}
	if now.Before(h.ceilingUntil) {
		h.renew(heard.at.Add(m.cession()))
	}
	r.Resources = append(r.Resources, uint32(h.id))
	r.Shares = append(r.Shares, uint32(h.share(now, m.list.equal)))
	r.Demands = append(r.Demands, uint32(h.demand))
	h.sent = now
	h.due = now.Add(m.jitter(m.cfg.Interval))
	m.dirty = true
}

// cession is how long this daemon keeps to a ceiling: a little longer than the
// allocator counts on it.
func (m *Machine) cession() time.Duration {
	return m.cfg.Cession + m.cfg.Cession/driftPart
}

func (h *holding) renew(until time.Time) {
	if until.After(h.ceilingUntil) {
		h.ceilingUntil = until
	}
}

// receiveReply takes over the shares of an allocator's message.
func (m *Machine) receiveReply(now time.Time, from string, r *wire.ShareReply) {
	if r.View != m.list.id || len(r.Shares) != len(r.Resources) || len(r.Contended) != len(r.Resources) {
		return
	}
	heard := m.heard[from]
	if r.Incarnation < heard.incarnation || r.Incarnation == heard.incarnation && r.SentUs <= heard.us {
		return
	}
	m.heard[from] = heardStamp{stamp{r.Incarnation, r.SentUs}, now}
	answers := r.EchoIncarnation == m.cfg.Incarnation && r.EchoUs != 0
	for i, id := range r.Resources {
		h := m.holdings[ID(id)]
		if h == nil {
			continue
		}
		if h.allocator == "" {
			h.due = now // asked before the first report
			continue
		}
		if h.allocator != from {
			continue
		}
		h.contended = r.Contended[i]
		share := max(int64(r.Shares[i]), m.list.least)
		if answers {
			m.adopt(now, h, share, m.timeOf(r.EchoUs))
		} else {
			m.cede(now, h, share)
			h.hurry(now)
		}
	}
	m.dirty = true
}

// adopt makes share the daemon's own; asked is when it was asked for.
func (m *Machine) adopt(now time.Time, h *holding, share int64, asked time.Time) {
	before := h.share(now, m.list.equal)
	m.take(now, h, share, asked)
	h.due = now.Add(m.jitter(m.pause(now, h)))
	// What is worth the message is given back at once, so that it can be lent.
	if before-h.share(now, m.list.equal) > m.list.equal/worthTelling {
		h.hurry(now.Add(m.cfg.Interval / 4))
	}
}

func (m *Machine) take(now time.Time, h *holding, share int64, asked time.Time) {
	equal := m.list.equal
	if share > equal {
		h.loan = share
		h.loanUntil = asked.Add(m.cfg.Loan - m.cfg.Loan/driftPart)
		h.ceilingUntil = time.Time{}
		return
	}
	h.loanUntil = time.Time{}
	switch {
	case share < h.bound(now, equal):
		m.cede(now, h, share)
	case share == equal:
		h.ceilingUntil = time.Time{}
	default:
		h.ceiling = share
	}
}

// cede lowers the holding to share, never raises it.
func (m *Machine) cede(now time.Time, h *holding, share int64) {
	equal := m.list.equal
	if h.share(now, equal) <= share {
		return
	}
	if share >= equal {
		h.loan = share
		return
	}
	h.loanUntil = time.Time{}
	if h.bound(now, equal) <= share {
		return
	}
	h.ceiling = share
	h.renew(now.Add(m.cession()))
}

// pause is the time to the next report.
func (m *Machine) pause(now time.Time, h *holding) time.Duration {
	switch {
	case h.wants() > m.list.equal:
		return m.cfg.Interval
	case h.contended || !h.free(now):
		return cedingIntervals * m.cfg.Interval
	default:
		return quietIntervals * m.cfg.Interval
	}
}
