package share

import (
	"maps"
	"slices"
	"time"

	"github.com/wheatseam/wheatseam/wire"
)

// resourceAllocation is an allocator's record of how one resource is divided.
type resourceAllocation struct {
	hosts map[string]*hostAllocation
}

// hostAllocation is an allocator's record of one daemon's share of a resource. It
// may overestimate that share but never underestimates it.
type hostAllocation struct {
	demand     int64
	lastReport time.Time
	// cap limits the daemon's share until capUntil at least.
	cap      int64
	capUntil time.Time
	// lease is the leased share, which may be in use until leaseUntil.
	lease      int64
	leaseUntil time.Time
	// newestSent is the timestamp of the newest message sent to the daemon. A
	// reported share counts only if the daemon has received that message: one that
	// is still in flight may raise the share again.
	newestSent      uint64
	reportRequested time.Time
	// knowsContended reports whether the newest reply to the daemon said that the
	// resource is contended.
	knowsContended bool
}

// maxUse returns an upper bound of the daemon's share at any time from now to
// until.
func (a *hostAllocation) maxUse(now, until time.Time, equalShare int64) int64 {
	use := equalShare
	if !a.capUntil.Before(until) {
		use = a.cap
	}
	if now.Before(a.leaseUntil) {
		use = max(use, a.lease)
	}
	return use
}

func (a *hostAllocation) demandWithHeadroom(minShare int64) int64 {
	return max(minShare, a.demand*headroomNum/headroomDen)
}

// receiveReport handles a daemon's report and replies with its new shares.
func (m *Machine) receiveReport(now time.Time, from string, r *wire.ShareReport) []Action {
	if r.View != m.hostList.id || !m.hostList.hosts[from] ||
		len(r.Shares) != len(r.Resources) || len(r.Demands) != len(r.Resources) {
		return nil
	}
	last := m.newestReports[from]
	if r.Incarnation < last.incarnation || r.Incarnation == last.incarnation && r.SentUs <= last.us {
		return nil
	}
	if r.Incarnation > last.incarnation {
		m.dropCapsAndLeases(from)
	}
	m.newestReports[from] = timestamp{r.Incarnation, r.SentUs}
	reply := &wire.ShareReply{
		View: m.hostList.id, Incarnation: m.cfg.Incarnation, SentUs: m.nextTimestamp(now),
		EchoIncarnation: r.Incarnation, EchoUs: r.SentUs,
	}
	echo := uint64(0)
	if r.EchoIncarnation == m.cfg.Incarnation {
		echo = r.EchoUs
	}
	for i, id := range r.Resources {
		if m.localShares[ID(id)] == nil {
			continue
		}
		res := m.allocation(ID(id))
		a := res.host(from)
		a.demand, a.lastReport = int64(r.Demands[i]), now
		used := max(int64(r.Shares[i]), m.hostList.minShare)
		m.applyReportedShare(a, used, echo)
		share, contended := m.allocate(now, res, a, used, reply.SentUs)
		a.knowsContended = contended
		reply.Resources = append(reply.Resources, id)
		reply.Shares = append(reply.Shares, uint32(share))
		reply.Contended = append(reply.Contended, contended)
	}
	return []Action{SendReply{To: from, Reply: reply}}
}

// dropCapsAndLeases removes the caps and leases of a daemon that was restarted: it
// no longer obeys the former nor uses the latter.
func (m *Machine) dropCapsAndLeases(host string) {
	for _, res := range m.allocations {
		if a := res.hosts[host]; a != nil {
			a.capUntil, a.leaseUntil = time.Time{}, time.Time{}
		}
	}
}

func (m *Machine) allocation(id ID) *resourceAllocation {
	res := m.allocations[id]
	if res == nil {
		res = &resourceAllocation{hosts: map[string]*hostAllocation{}}
		m.allocations[id] = res
	}
	return res
}

func (res *resourceAllocation) host(host string) *hostAllocation {
	a := res.hosts[host]
	if a == nil {
		a = &hostAllocation{}
		res.hosts[host] = a
	}
	return a
}

// applyReportedShare records the share that a daemon reports, unless a message to
// the daemon may still be in flight. echo is the newest timestamp of this allocator
// that the daemon has received; the daemon drops messages that arrive out of order
// after it.
func (m *Machine) applyReportedShare(a *hostAllocation, used int64, echo uint64) {
	if echo == 0 || echo < a.newestSent {
		return
	}
	a.capUntil = time.Time{}
	switch {
	case used > m.hostList.equalShare:
		a.lease = used
	case used < m.hostList.equalShare:
		a.leaseUntil = time.Time{}
		a.cap = used
		a.capUntil = m.timeOf(echo).Add(m.cfg.CapDuration)
	default:
		a.leaseUntil = time.Time{}
	}
}

// allocate decides the share of one daemon and records it. It leases only the parts
// of equal shares that daemons have released to this allocator, so that another
// allocator may lease the resource at the same time.
func (m *Machine) allocate(now time.Time, res *resourceAllocation, a *hostAllocation, used int64, sent uint64) (int64, bool) {
	equalShare := m.hostList.equalShare
	if now.Before(m.noLeasesUntil) {
		a.newestSent = sent
		return min(used, equalShare), false
	}
	target, contended := m.fairShare(now, res, a)
	until := now.Add(m.cfg.LeaseDuration)
	available := equalShare * int64(len(res.hosts))
	for _, other := range res.hosts {
		if other != a {
			available -= other.maxUse(now, until, equalShare)
		}
	}
	share := max(min(target, available), m.hostList.minShare)
	switch {
	case share > equalShare:
		if now.Before(a.leaseUntil) {
			a.lease = max(a.lease, share)
		} else {
			a.lease = share
		}
		a.leaseUntil, a.capUntil = until, time.Time{}
	case now.Before(a.capUntil) && share > a.cap:
		a.cap = share
	}
	a.newestSent = sent
	return share, contended
}

// fairShare returns the share that a daemon should have, and whether any daemon
// wants more than its equal share. Daemons without a recent report keep their equal
// shares. The rest of the resource is divided by max-min fairness, so no daemon
// that wants its equal share gets less, and capacity that no daemon wants is spread
// evenly.
func (m *Machine) fairShare(now time.Time, res *resourceAllocation, a *hostAllocation) (int64, bool) {
	equalShare := m.hostList.equalShare
	demands := make([]int64, 0, len(res.hosts))
	contended, sum := false, int64(0)
	for _, other := range res.hosts {
		if now.Sub(other.lastReport) >= m.cfg.CapDuration {
			continue
		}
		w := other.demandWithHeadroom(m.hostList.minShare)
		demands, sum = append(demands, w), sum+w
		contended = contended || w > equalShare
	}
	if !contended {
		return equalShare, false
	}
	available := equalShare * int64(len(demands))
	own := a.demandWithHeadroom(m.hostList.minShare)
	if sum <= available {
		return own + (available-sum)/int64(len(demands)), true
	}
	slices.Sort(demands)
	for i, w := range demands {
		fairLevel := available / int64(len(demands)-i)
		if w >= fairLevel {
			return min(own, fairLevel), true
		}
		available -= w
	}
	return own, true
}

// requestReports asks for reports of the contended resources from daemons that do
// not know that they are contended, and from those without a recent report.
func (m *Machine) requestReports(now time.Time) []Action {
	elapsed := now.Sub(m.tokensRefilledAt)
	m.tokensRefilledAt = now
	maxTokens := float64(m.cfg.ReportRequestsPerInterval)
	m.reportRequestTokens = min(maxTokens, m.reportRequestTokens+maxTokens*elapsed.Seconds()/m.cfg.Interval.Seconds())
	if now.Before(m.noLeasesUntil) {
		return nil
	}
	batches := map[string]*wire.ShareReply{}
	for _, id := range m.resources {
		if res := m.allocations[id]; res != nil && m.contended(now, res) {
			m.requestReportsOf(now, id, res, batches)
		}
	}
	out := make([]Action, 0, len(batches))
	for _, to := range slices.Sorted(maps.Keys(batches)) {
		batches[to].SentUs = m.nextTimestamp(now)
		for _, id := range batches[to].Resources {
			m.allocations[ID(id)].hosts[to].newestSent = batches[to].SentUs
		}
		out = append(out, SendReply{To: to, Reply: batches[to]})
	}
	return out
}

func (m *Machine) contended(now time.Time, res *resourceAllocation) bool {
	for _, a := range res.hosts {
		if now.Sub(a.lastReport) < m.cfg.CapDuration && a.demandWithHeadroom(m.hostList.minShare) > m.hostList.equalShare {
			return true
		}
	}
	return false
}

// requestReportsOf adds the resource to the messages to the daemons from which a
// report is due.
func (m *Machine) requestReportsOf(now time.Time, id ID, res *resourceAllocation, batches map[string]*wire.ShareReply) {
	for _, host := range slices.Sorted(maps.Keys(m.hostList.hosts)) {
		a := res.host(host)
		recent := (contendedIntervals + 1) * m.cfg.Interval
		if a.knowsContended && now.Sub(a.lastReport) < recent || now.Sub(a.reportRequested) < m.cfg.Interval {
			continue
		}
		r := batches[host]
		if r == nil {
			if m.reportRequestTokens < 1 {
				continue
			}
			m.reportRequestTokens--
			r = &wire.ShareReply{View: m.hostList.id, Incarnation: m.cfg.Incarnation}
			batches[host] = r
		}
		a.reportRequested = now
		r.Resources = append(r.Resources, uint32(id))
		r.Shares = append(r.Shares, uint32(m.hostList.equalShare))
		r.Contended = append(r.Contended, true)
	}
}
