package share

import (
	"maps"
	"slices"
	"time"

	"github.com/wheatseam/wheatseam/wire"
)

// headroomNum / headroomDen is the ratio of the share that a daemon wants to its
// demand.
const (
	headroomNum = 5
	headroomDen = 4
	// reportDropDivisor is the threshold for reporting a lowered share early: a drop
	// of more than 1/reportDropDivisor of the equal share.
	reportDropDivisor = 10
)

// localShare is this daemon's share of one resource.
type localShare struct {
	id     ID
	demand int64
	// allocator is the host that set cap and lease.
	allocator string
	// cap limits this daemon until capUntil; from then on the equal share applies.
	cap      int64
	capUntil time.Time
	// lease is the share that may be used until leaseUntil.
	lease      int64
	leaseUntil time.Time
	// contended reports whether some daemon wants more than its equal share of the
	// resource.
	contended  bool
	reportDue  time.Time
	lastReport time.Time
}

// baseShare returns the daemon's share without a lease.
func (s *localShare) baseShare(now time.Time, equalShare int64) int64 {
	if now.Before(s.capUntil) {
		return min(s.cap, equalShare)
	}
	return equalShare
}

// share returns the daemon's share, including a lease.
func (s *localShare) share(now time.Time, equalShare int64) int64 {
	if now.Before(s.leaseUntil) {
		return s.lease
	}
	return s.baseShare(now, equalShare)
}

func (s *localShare) demandWithHeadroom() int64 { return s.demand * headroomNum / headroomDen }

// unbound reports whether both the cap and the lease have ended, so that the daemon
// may choose another allocator.
func (s *localShare) unbound(now time.Time) bool {
	return !now.Before(s.capUntil) && !now.Before(s.leaseUntil)
}

// setDemand sets the demand of each resource. For a resource of which this daemon
// wants more than its share, the next report is due at most half an interval after
// the last one.
func (m *Machine) setDemand(now time.Time, demand map[Resource]float64) {
	byID := make(map[ID]int64, len(demand))
	for r, d := range demand {
		byID[r.ID()] += int64(min(d, 1e3) * FullShare)
	}
	for id, s := range m.localShares {
		s.demand = byID[id]
		if s.demandWithHeadroom() > s.share(now, m.hostList.equalShare) {
			s.reportBy(s.lastReport.Add(m.cfg.Interval / 2))
		}
	}
}

// reportBy makes the next report due no later than t.
func (s *localShare) reportBy(t time.Time) {
	if t.Before(s.reportDue) {
		s.reportDue = t
	}
}

// sendReports sends the reports that are due, in one message for each allocator. The
// message includes resources whose reports to that allocator would be due soon.
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

// bindTo binds the share to an allocator. While the share is still bound to another
// allocator, bindTo delays the next report until that has ended and returns false.
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

// addToReport adds the share to the report to its allocator. The report echoes the
// allocator's newest timestamp, which extends a cap, so the daemon extends it too.
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

// localCapDuration is how long this daemon obeys a cap: longer than the allocator
// relies on it, by a margin for clock drift.
func (m *Machine) localCapDuration() time.Duration {
	return m.cfg.CapDuration + m.cfg.CapDuration/driftDivisor
}

func (s *localShare) extendCap(until time.Time) {
	if until.After(s.capUntil) {
		s.capUntil = until
	}
}

// receiveReply applies the shares in an allocator's message.
func (m *Machine) receiveReply(now time.Time, from string, r *wire.ShareReply) {
	if r.View != m.hostList.id || len(r.Shares) != len(r.Resources) || len(r.Contended) != len(r.Resources) {
		return
	}
	newest := m.newestReplies[from]
	if r.Incarnation < newest.incarnation || r.Incarnation == newest.incarnation && r.SentUs <= newest.us {
		return
	}
	m.newestReplies[from] = receivedTimestamp{timestamp{r.Incarnation, r.SentUs}, now}
	answersReport := r.EchoIncarnation == m.cfg.Incarnation && r.EchoUs != 0
	for i, id := range r.Resources {
		s := m.localShares[ID(id)]
		if s == nil {
			continue
		}
		if s.allocator == "" {
			s.reportDue = now // The allocator requested a report before the first one.
			continue
		}
		if s.allocator != from {
			continue
		}
		s.contended = r.Contended[i]
		share := max(int64(r.Shares[i]), m.hostList.minShare)
		if answersReport {
			m.applyShare(now, s, share, m.timeOf(r.EchoUs))
		} else {
			m.lowerShare(now, s, share)
			s.reportBy(now)
		}
	}
	m.dirty = true
}

// applyShare applies a share from a reply and schedules the next report. reportSent
// is when the report to which the allocator replied was sent.
func (m *Machine) applyShare(now time.Time, s *localShare, share int64, reportSent time.Time) {
	before := s.share(now, m.hostList.equalShare)
	m.setShare(now, s, share, reportSent)
	s.reportDue = now.Add(m.jitter(m.reportDelay(now, s)))
	// A large drop is reported early, so that the allocator can lease the
	// difference to another daemon.
	if before-s.share(now, m.hostList.equalShare) > m.hostList.equalShare/reportDropDivisor {
		s.reportBy(now.Add(m.cfg.Interval / 4))
	}
}

func (m *Machine) setShare(now time.Time, s *localShare, share int64, reportSent time.Time) {
	equalShare := m.hostList.equalShare
	if share > equalShare {
		s.lease = share
		s.leaseUntil = reportSent.Add(m.cfg.LeaseDuration - m.cfg.LeaseDuration/driftDivisor)
		s.capUntil = time.Time{}
		return
	}
	s.leaseUntil = time.Time{}
	switch {
	case share < s.baseShare(now, equalShare):
		m.lowerShare(now, s, share)
	case share == equalShare:
		s.capUntil = time.Time{}
	default:
		s.cap = share
	}
}

// lowerShare lowers the daemon's share to share; it never raises it.
func (m *Machine) lowerShare(now time.Time, s *localShare, share int64) {
	equalShare := m.hostList.equalShare
	if s.share(now, equalShare) <= share {
		return
	}
	if share >= equalShare {
		s.lease = share
		return
	}
	s.leaseUntil = time.Time{}
	if s.baseShare(now, equalShare) <= share {
		return
	}
	s.cap = share
	s.extendCap(now.Add(m.localCapDuration()))
}

// reportDelay returns the time to the next report.
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
