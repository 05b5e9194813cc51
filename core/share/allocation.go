package share

import (
	"maps"
	"slices"
	"time"

	"github.com/wheatseam/wheatseam/wire"
)

// ledger is what an allocator knows of one resource.
type resourceAllocation struct {
	hosts map[string]*hostAllocation
}

// account is what an allocator knows of one daemon's use of a resource. It
// may overstate that use, never understate it.
type hostAllocation struct {
	demand     int64
	lastReport time.Time
	// ceiling binds the daemon until ceilingUntil at least.
	cap      int64
	capUntil time.Time
	// loan may be in use until loanUntil.
	lease      int64
	leaseUntil time.Time
	// answered is the stamp of the newest message. What a daemon reports counts
	// only when it has seen that: an answer still on its way may raise it again.
	newestSent      uint64
	reportRequested time.Time
	// told says that the newest answer said that the resource is contended.
	knowsContended bool
}

// use bounds what the daemon may use at any time from now to until.
func (a *hostAllocation) maxUse(now, until time.Time, equal int64) int64 {
	use := equal
	if !a.capUntil.Before(until) {
		use = a.cap
	}
	if now.Before(a.leaseUntil) {
		use = max(use, a.lease)
	}
	return use
}

func (a *hostAllocation) demandWithHeadroom(least int64) int64 {
	return max(least, a.demand*headroomNum/headroomDen)
}

// receiveReport answers a daemon's report.
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

// forget drops what a restarted daemon no longer keeps to nor uses.
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

// settle takes over the share that a daemon reports, unless a message to it may
// still be on its way. echo is the newest own stamp that the daemon has seen;
// it has dropped whatever came out of order before that.
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

// allocate decides the share of one account and books it. Only equal shares
// that were ceded to this allocator are lent, so that another one may lend too.
func (m *Machine) allocate(now time.Time, res *resourceAllocation, a *hostAllocation, used int64, sent uint64) (int64, bool) {
	equal := m.hostList.equalShare
	if now.Before(m.noLeasesUntil) {
		a.newestSent = sent
		return min(used, equal), false
	}
	target, contended := m.fairShare(now, res, a)
	until := now.Add(m.cfg.LeaseDuration)
	free := equal * int64(len(res.hosts))
	for _, other := range res.hosts {
		if other != a {
			free -= other.maxUse(now, until, equal)
		}
	}
	share := max(min(target, free), m.hostList.minShare)
	switch {
	case share > equal:
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

// target returns what a daemon should use, and whether some daemon wants more
// than its equal share. The part of daemons that were not heard of lately stays
// theirs. The rest goes by max-min fairness: no daemon that wants its equal
// share gets less. What nobody wants is spread evenly.
func (m *Machine) fairShare(now time.Time, res *resourceAllocation, a *hostAllocation) (int64, bool) {
	equal := m.hostList.equalShare
	wants := make([]int64, 0, len(res.hosts))
	contended, sum := false, int64(0)
	for _, other := range res.hosts {
		if now.Sub(other.lastReport) >= m.cfg.CapDuration {
			continue
		}
		w := other.demandWithHeadroom(m.hostList.minShare)
		wants, sum = append(wants, w), sum+w
		contended = contended || w > equal
	}
	if !contended {
		return equal, false
	}
	available := equal * int64(len(wants))
	own := a.demandWithHeadroom(m.hostList.minShare)
	if sum <= available {
		return own + (available-sum)/int64(len(wants)), true
	}
	slices.Sort(wants)
	for i, w := range wants {
		fairLevel := available / int64(len(wants)-i)
		if w >= fairLevel {
			return min(own, fairLevel), true
		}
		available -= w
	}
	return own, true
}

// nudge asks for a report of the resources that are contended: daemons that do
// not know it yet, and those that were not heard of lately.
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

// nudgeAll adds the resource to the messages of those who are due.
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
