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
	reportDropDivisor = 10
)

// holding is what this daemon may use of one resource.
type localShare struct {
	id     ID
	demand int64
	// allocator is the host that ceiling and loan were agreed with.
	allocator string
	// ceiling binds this daemon until ceilingUntil; then the equal share holds.
	cap      int64
	capUntil time.Time
	// loan may be used until loanUntil.
	lease      int64
	leaseUntil time.Time
	// contended says that some daemon wants more of the resource.
	contended  bool
	reportDue  time.Time
	lastReport time.Time
}

// bound returns what the daemon may use apart from a loan.
func (s *localShare) baseShare(now time.Time, equal int64) int64 {
	if now.Before(s.capUntil) {
		return min(s.cap, equal)
	}
	return equal
}

// share returns what the daemon may use.
func (s *localShare) share(now time.Time, equal int64) int64 {
	if now.Before(s.leaseUntil) {
		return s.lease
	}
	return s.baseShare(now, equal)
}

func (s *localShare) demandWithHeadroom() int64 { return s.demand * headroomNum / headroomDen }

// free says that nothing binds the holding to its allocator any more.
func (s *localShare) unbound(now time.Time) bool {
	return !now.Before(s.capUntil) && !now.Before(s.leaseUntil)
}

// measure takes over the demand; a holding that wants more reports soon.
func (m *Machine) setDemand(now time.Time, demand map[Resource]float64) {
	byID := make(map[ID]int64, len(demand))
	for r, d := range demand {
		byID[r.ID()] += int64(min(d, 1e3) * Full)
	}
	for id, s := range m.localShares {
		s.demand = byID[id]
		if s.demandWithHeadroom() > s.share(now, m.hostList.equalShare) {
			s.reportBy(s.lastReport.Add(m.cfg.Interval / 2))
		}
	}
}

// hurry makes the next report due at t at the latest.
func (s *localShare) reportBy(t time.Time) {
	if t.Before(s.reportDue) {
		s.reportDue = t
	}
}

// report sends the reports that are due, one message for each allocator, which
// takes along what would be due there before long.
func (m *Machine) sendReports(now time.Time) []Action {
	if len(m.hostList.hosts) == 0 {
		return nil
	}
	batches := map[string]*wire.ShareReport{}
	for _, id := range m.resources {
		s := m.localShares[id]
		if !now.Before(s.reportDue) && s.bindTo(now, m.allocatorOf(id)) {
			m.addToReport(now, batches, s)
		}
	}
	if len(batches) == 0 {
		return nil
	}
	for _, id := range m.resources {
		s := m.localShares[id]
		soon := s.lastReport.Before(now) && s.reportDue.Sub(now) < m.reportDelay(now, s)/2
		if soon && batches[m.allocatorOf(id)] != nil && s.bindTo(now, m.allocatorOf(id)) {
			m.addToReport(now, batches, s)
		}
	}
	out := make([]Action, 0, len(batches))
	for _, to := range slices.Sorted(maps.Keys(batches)) {
		batches[to].SentUs = m.nextTimestamp(now)
		out = append(out, SendReport{To: to, Report: batches[to]})
	}
	return out
}

// choose binds the holding to an allocator. While it is still bound to another
// it stays silent until that has ended, and choose returns false.
func (s *localShare) bindTo(now time.Time, allocator string) bool {
	if s.allocator == allocator {
		return true
	}
	if s.allocator != "" && !s.unbound(now) {
		s.reportDue = s.capUntil
		if s.leaseUntil.After(s.reportDue) {
			s.reportDue = s.leaseUntil
		}
		return false
	}
	s.allocator = allocator
	return true
}

// addTo adds the holding to its allocator's report. The echo renews a cession.
func (m *Machine) addToReport(now time.Time, batches map[string]*wire.ShareReport, s *localShare) {
	newest := m.newestReplies[s.allocator]
	r := batches[s.allocator]
	if r == nil {
		r = &wire.ShareReport{
			View: m.hostList.id, Incarnation: m.cfg.Incarnation,
			EchoIncarnation: newest.incarnation, EchoUs: newest.us,
		}
		batches[s.allocator] = r
	}
	if now.Before(s.capUntil) {
		s.extendCap(newest.receivedAt.Add(m.localCapDuration()))
	}
	r.Resources = append(r.Resources, uint32(s.id))
	r.Shares = append(r.Shares, uint32(s.share(now, m.hostList.equalShare)))
	r.Demands = append(r.Demands, uint32(s.demand))
	s.lastReport = now
	s.reportDue = now.Add(m.jitter(m.cfg.Interval))
	m.dirty = true
}

// cession is how long this daemon keeps to a ceiling: a little longer than the
// allocator counts on it.
func (m *Machine) localCapDuration() time.Duration {
	return m.cfg.CapDuration + m.cfg.CapDuration/driftDivisor
}

func (s *localShare) extendCap(until time.Time) {
	if until.After(s.capUntil) {
		s.capUntil = until
	}
}

// receiveReply takes over the shares of an allocator's message.
func (m *Machine) receiveReply(now time.Time, from string, r *wire.ShareReply) {
	if r.View != m.hostList.id || len(r.Shares) != len(r.Resources) || len(r.Contended) != len(r.Resources) {
		return
	}
	newest := m.newestReplies[from]
	if r.Incarnation < newest.incarnation || r.Incarnation == newest.incarnation && r.SentUs <= newest.us {
		return
	}
	m.newestReplies[from] = receivedTimestamp{timestamp{r.Incarnation, r.SentUs}, now}
	answers := r.EchoIncarnation == m.cfg.Incarnation && r.EchoUs != 0
	for i, id := range r.Resources {
		s := m.localShares[ID(id)]
		if s == nil {
			continue
		}
		if s.allocator == "" {
			s.reportDue = now // asked before the first report
			continue
		}
		if s.allocator != from {
			continue
		}
		s.contended = r.Contended[i]
		share := max(int64(r.Shares[i]), m.hostList.minShare)
		if answers {
			m.applyShare(now, s, share, m.timeOf(r.EchoUs))
		} else {
			m.lowerShare(now, s, share)
			s.reportBy(now)
		}
	}
	m.dirty = true
}

// adopt makes share the daemon's own; asked is when it was asked for.
func (m *Machine) applyShare(now time.Time, s *localShare, share int64, reportSent time.Time) {
	before := s.share(now, m.hostList.equalShare)
	m.setShare(now, s, share, reportSent)
	s.reportDue = now.Add(m.jitter(m.reportDelay(now, s)))
	// What is worth the message is given back at once, so that it can be lent.
	if before-s.share(now, m.hostList.equalShare) > m.hostList.equalShare/reportDropDivisor {
		s.reportBy(now.Add(m.cfg.Interval / 4))
	}
}

func (m *Machine) setShare(now time.Time, s *localShare, share int64, reportSent time.Time) {
	equal := m.hostList.equalShare
	if share > equal {
		s.lease = share
		s.leaseUntil = reportSent.Add(m.cfg.LeaseDuration - m.cfg.LeaseDuration/driftDivisor)
		s.capUntil = time.Time{}
		return
	}
	s.leaseUntil = time.Time{}
	switch {
	case share < s.baseShare(now, equal):
		m.lowerShare(now, s, share)
	case share == equal:
		s.capUntil = time.Time{}
	default:
		s.cap = share
	}
}

// cede lowers the holding to share, never raises it.
func (m *Machine) lowerShare(now time.Time, s *localShare, share int64) {
	equal := m.hostList.equalShare
	if s.share(now, equal) <= share {
		return
	}
	if share >= equal {
		s.lease = share
		return
	}
	s.leaseUntil = time.Time{}
	if s.baseShare(now, equal) <= share {
		return
	}
	s.cap = share
	s.extendCap(now.Add(m.localCapDuration()))
}

// pause is the time to the next report.
func (m *Machine) reportDelay(now time.Time, s *localShare) time.Duration {
	switch {
	case s.demandWithHeadroom() > m.hostList.equalShare:
		return m.cfg.Interval
	case s.contended || !s.unbound(now):
		return contendedIntervals * m.cfg.Interval
	default:
		return uncontendedIntervals * m.cfg.Interval
	}
}
