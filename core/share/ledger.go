package share

import (
	"maps"
	"slices"
	"time"

	"github.com/wheatseam/wheatseam/wire"
)

// ledger is what an allocator knows of one resource.
type ledger struct {
	accounts map[string]*account
}

// account is what an allocator knows of one daemon's use of a resource. It
// may overstate that use, never understate it.
type account struct {
	demand int64
	heard  time.Time
	// ceiling binds the daemon until ceilingUntil at least.
	ceiling      int64
	ceilingUntil time.Time
	// loan may be in use until loanUntil.
	loan      int64
	loanUntil time.Time
	// answered is the stamp of the newest message. What a daemon reports counts
	// only when it has seen that: an answer still on its way may raise it again.
	answered uint64
	nudged   time.Time
	// told says that the newest answer said that the resource is contended.
	told bool
}

// use bounds what the daemon may use at any time from now to until.
func (a *account) use(now, until time.Time, equal int64) int64 {
	use := equal
	if !a.ceilingUntil.Before(until) {
		use = a.ceiling
	}
	if now.Before(a.loanUntil) {
		use = max(use, a.loan)
	}
	return use
}

func (a *account) wants(least int64) int64 {
	return max(least, a.demand*headroomNum/headroomDen)
}

// receiveReport answers a daemon's report.
func (m *Machine) receiveReport(now time.Time, from string, r *wire.ShareReport) []Action {
	if r.View != m.list.id || !m.list.hosts[from] ||
		len(r.Shares) != len(r.Resources) || len(r.Demands) != len(r.Resources) {
		return nil
	}
	last := m.reported[from]
	if r.Incarnation < last.incarnation || r.Incarnation == last.incarnation && r.SentUs <= last.us {
		return nil
	}
	if r.Incarnation > last.incarnation {
		m.forget(from)
	}
	m.reported[from] = stamp{r.Incarnation, r.SentUs}
	reply := &wire.ShareReply{
		View: m.list.id, Incarnation: m.cfg.Incarnation, SentUs: m.next(now),
		EchoIncarnation: r.Incarnation, EchoUs: r.SentUs,
	}
	echo := uint64(0)
	if r.EchoIncarnation == m.cfg.Incarnation {
		echo = r.EchoUs
	}
	for i, id := range r.Resources {
		if m.holdings[ID(id)] == nil {
			continue
		}
		l := m.ledger(ID(id))
		a := l.account(from)
		a.demand, a.heard = int64(r.Demands[i]), now
		used := max(int64(r.Shares[i]), m.list.least)
		m.settle(a, used, echo)
		share, contended := m.allocate(now, l, a, used, reply.SentUs)
		a.told = contended
		reply.Resources = append(reply.Resources, id)
		reply.Shares = append(reply.Shares, uint32(share))
		reply.Contended = append(reply.Contended, contended)
	}
	return []Action{SendReply{To: from, Reply: reply}}
}

// forget drops what a restarted daemon no longer keeps to nor uses.
func (m *Machine) forget(host string) {
	for _, l := range m.ledgers {
		if a := l.accounts[host]; a != nil {
			a.ceilingUntil, a.loanUntil = time.Time{}, time.Time{}
		}
	}
}

func (m *Machine) ledger(id ID) *ledger {
	l := m.ledgers[id]
	if l == nil {
		l = &ledger{accounts: map[string]*account{}}
		m.ledgers[id] = l
	}
	return l
}

func (l *ledger) account(host string) *account {
	a := l.accounts[host]
	if a == nil {
		a = &account{}
		l.accounts[host] = a
	}
	return a
}

// settle takes over the share that a daemon reports, unless a message to it may
// still be on its way. echo is the newest own stamp that the daemon has seen;
// it has dropped whatever came out of order before that.
func (m *Machine) settle(a *account, used int64, echo uint64) {
	if echo == 0 || echo < a.answered {
		return
	}
	a.ceilingUntil = time.Time{}
	switch {
	case used > m.list.equal:
		a.loan = used
	case used < m.list.equal:
		a.loanUntil = time.Time{}
		a.ceiling = used
		a.ceilingUntil = m.timeOf(echo).Add(m.cfg.Cession)
	default:
		a.loanUntil = time.Time{}
	}
}

// allocate decides the share of one account and books it. Only equal shares
// that were ceded to this allocator are lent, so that another one may lend too.
func (m *Machine) allocate(now time.Time, l *ledger, a *account, used int64, sent uint64) (int64, bool) {
	equal := m.list.equal
	if now.Before(m.abstainUntil) {
		a.answered = sent
		return min(used, equal), false
	}
	target, contended := m.target(now, l, a)
	until := now.Add(m.cfg.Loan)
	free := equal * int64(len(l.accounts))
	for _, other := range l.accounts {
		if other != a {
			free -= other.use(now, until, equal)
		}
	}
	share := max(min(target, free), m.list.least)
	switch {
	case share > equal:
		if now.Before(a.loanUntil) {
			a.loan = max(a.loan, share)
		} else {
			a.loan = share
		}
		a.loanUntil, a.ceilingUntil = until, time.Time{}
	case now.Before(a.ceilingUntil) && share > a.ceiling:
		a.ceiling = share
	}
	a.answered = sent
	return share, contended
}

// target returns what a daemon should use, and whether some daemon wants more
// than its equal share. The part of daemons that were not heard of lately stays
// theirs. The rest goes by max-min fairness: no daemon that wants its equal
// share gets less. What nobody wants is spread evenly.
func (m *Machine) target(now time.Time, l *ledger, a *account) (int64, bool) {
	equal := m.list.equal
	wants := make([]int64, 0, len(l.accounts))
	contended, sum := false, int64(0)
	for _, other := range l.accounts {
		if now.Sub(other.heard) >= m.cfg.Cession {
			continue
		}
		w := other.wants(m.list.least)
		wants, sum = append(wants, w), sum+w
		contended = contended || w > equal
	}
	if !contended {
		return equal, false
	}
	pot := equal * int64(len(wants))
	own := a.wants(m.list.least)
	if sum <= pot {
		return own + (pot-sum)/int64(len(wants)), true
	}
	slices.Sort(wants)
	for i, w := range wants {
		level := pot / int64(len(wants)-i)
		if w >= level {
			return min(own, level), true
		}
		pot -= w
	}
	return own, true
}

// nudge asks for a report of the resources that are contended: daemons that do
// not know it yet, and those that were not heard of lately.
func (m *Machine) nudge(now time.Time) []Action {
	elapsed := now.Sub(m.nudgedAt)
	m.nudgedAt = now
	perInterval := float64(m.cfg.NudgesPerInterval)
	m.nudges = min(perInterval, m.nudges+perInterval*elapsed.Seconds()/m.cfg.Interval.Seconds())
	if now.Before(m.abstainUntil) {
		return nil
	}
	batches := map[string]*wire.ShareReply{}
	for _, id := range m.resources {
		if l := m.ledgers[id]; l != nil && m.contended(now, l) {
			m.nudgeAll(now, id, l, batches)
		}
	}
	out := make([]Action, 0, len(batches))
	for _, to := range slices.Sorted(maps.Keys(batches)) {
		batches[to].SentUs = m.next(now)
		for _, id := range batches[to].Resources {
			m.ledgers[ID(id)].accounts[to].answered = batches[to].SentUs
		}
		out = append(out, SendReply{To: to, Reply: batches[to]})
	}
	return out
}

func (m *Machine) contended(now time.Time, l *ledger) bool {
	for _, a := range l.accounts {
		if now.Sub(a.heard) < m.cfg.Cession && a.wants(m.list.least) > m.list.equal {
			return true
		}
	}
	return false
}

// nudgeAll adds the resource to the messages of those who are due.
func (m *Machine) nudgeAll(now time.Time, id ID, l *ledger, batches map[string]*wire.ShareReply) {
	for _, host := range slices.Sorted(maps.Keys(m.list.hosts)) {
		a := l.account(host)
		recent := (cedingIntervals + 1) * m.cfg.Interval
		if a.told && now.Sub(a.heard) < recent || now.Sub(a.nudged) < m.cfg.Interval {
			continue
		}
		r := batches[host]
		if r == nil {
			if m.nudges < 1 {
				continue
			}
			m.nudges--
			r = &wire.ShareReply{View: m.list.id, Incarnation: m.cfg.Incarnation}
			batches[host] = r
		}
		a.nudged = now
		r.Resources = append(r.Resources, uint32(id))
		r.Shares = append(r.Shares, uint32(m.list.equal))
		r.Contended = append(r.Contended, true)
	}
}
