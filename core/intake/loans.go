package intake

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// loanTime is how long a borrower may use the calls of a loan unless it is renewed. Their
	// lender gets them back another window later, so that no window has the calls of both, and
	// expiryDelay after that: hosts notice the end of a loan as they next compute their quotas.
	loanTime    = 4 * time.Second
	expiryDelay = 500 * time.Millisecond
	// renewalTime is the time before the end of a loan from which it is renewed.
	renewalTime = 2 * time.Second
	// minDemandTime is the shortest time over which the calls that a host needs are measured.
	minDemandTime = 3 * time.Second
	// maxLoans is the maximum number of hosts to which, and from which, calls to one replica are
	// lent.
	maxLoans = 64
	// minLendersAsked and maxLendersAsked limit the peers that are asked for more in one round.
	minLendersAsked, maxLendersAsked = 3, 16
)

// Loans holds the calls of limits that this host lends to others and borrows from them. A host that
// gets most of the requests would otherwise refuse some while the shares of the others are not used.
// It is not safe for concurrent use.
type Loans struct {
	// window is the interval for which calls are lent: no interval of this length has more calls
	// of all hosts than with their shares alone.
	window time.Duration
	// lent and borrowed are by replica, and by the host that borrows or lends.
	lent, borrowed map[string]map[string]loan
	// lastID is the ID of the last loan that this host made.
	lastID uint64
}

// NewAnnouncedLoans returns Loans of the calls of announced limits.
func NewAnnouncedLoans() Loans { return Loans{window: quotaWindow} }

// NewColdLoans returns Loans of the calls to cold replicas.
func NewColdLoans() Loans { return Loans{window: ColdWindow} }

// Window is the interval for which calls are lent.
func (l *Loans) Window() time.Duration { return l.window }

// Lately returns the mean number of calls per window that began lately: within the window, or a
// longer time if it is short.
func (l *Loans) Lately(now time.Time, g *Limiter) int {
	lately := max(l.window, minDemandTime)
	return int(math.Ceil(float64(g.CallsWithin(now, lately)) * l.window.Seconds() / lately.Seconds()))
}

// Lent is a number of calls per window at one replica. Its lender gives each loan, and each
// renewal, another ID.
type Lent struct {
	Calls int
	ID    uint64
}

// Lender is one process of a host that lends calls. Its incarnation rises with each restart.
type Lender struct {
	Host        string
	Incarnation uint64
}

// loan is what is lent, and until when. incarnation is that of the lender.
type loan struct {
	Lent
	until       time.Time
	incarnation uint64
}

// Returned is how many of the calls of a loan its borrower keeps.
type Returned struct {
	Lender string
	Keep   Lent
}

// Use is how much of its calls to a replica this host uses.
type Use struct {
	// Share is this host's share of the limit without loans, and Quota that with loans.
	Share, Quota Quota
	// Total is the number of calls per window that all hosts share.
	Total int
	// Begun is the number of calls that began within the window of the loans, or more.
	Begun int
	// Lately is the mean number of calls per window that began lately (Loans.Lately).
	Lately int
	// Blocked says that the quota lately kept a request from the replica.
	Blocked bool
}

// unused returns the calls per window that this host has and does not use.
func (l *Loans) unused(u Use) int { return max(0, u.Quota.callsIn(l.window)-u.Begun) }

// Lenders returns the peers to ask for more calls in one round, out of all peers in random order: so
// many that loans of half a share each would double this host's quota, and only those that have a
// share.
func (l *Loans) Lenders(self, replica string, u Use, peers []string) []string {
	asked := minLendersAsked
	if share := u.Share.callsIn(l.window); share <= 1 {
		asked = maxLendersAsked
	} else {
		asked = min(max(asked, 2*u.Quota.callsIn(l.window)/share), maxLendersAsked)
	}
	if u.Total <= len(peers) {
		holders := firstHosts(replica, u.Total, append([]string{self}, peers...))
		peers = slices.DeleteFunc(slices.Clone(peers), func(p string) bool { return !holders[p] })
	}
	return peers[:min(asked, len(peers))]
}

// Lend renews the calls that are lent to a host, as far as this host's share still has them, and if
// more is set lends it half of the unused ones too. It returns how many the host may begin per
// window for loanTime.
func (l *Loans) Lend(now time.Time, replica, borrower string, u Use, more bool) Lent {
	l.expire(now, replica)
	if u.Share.Window > l.window {
		return Lent{}
	}
	known, renewed := l.lent[replica][borrower]
	left := u.Share.callsIn(l.window)
	for host, o := range l.lent[replica] {
		if host != borrower {
			left -= o.Calls
		}
	}
	calls := known.Calls
	if more {
		calls += (l.unused(u) + 1) / 2
	}
	calls = min(calls, left)
	if calls < 1 || !renewed && len(l.lent[replica]) >= maxLoans {
		return Lent{}
	}
	lent := Lent{Calls: calls, ID: max(l.lastID+1, uint64(now.UnixNano()))}
	l.lastID = lent.ID
	l.lent = put(l.lent, replica, borrower, loan{Lent: lent, until: now.Add(loanTime + l.window + expiryDelay)})
	return lent
}

// TakeBack takes back the calls that a borrower no longer uses. A return of a loan that has been
// renewed since is ignored, as the borrower may use the renewed one.
func (l *Loans) TakeBack(now time.Time, replica, borrower string, keep Lent) {
	l.expire(now, replica)
	known, ok := l.lent[replica][borrower]
	if !ok || known.ID != keep.ID {
		return
	}
	known.Calls = min(known.Calls, max(0, keep.Calls))
	if known.Calls == 0 {
		delete(l.lent[replica], borrower)
		return
	}
	l.lent[replica][borrower] = known
}

// Borrow records the calls that a host lends, as it replied to a request sent at the given time. It
// reports whether their number has changed.
func (l *Loans) Borrow(askedAt time.Time, replica string, lender Lender, lent Lent) bool {
	known, renewed := l.borrowed[replica][lender.Host]
	if lent.Calls < 1 || lent.ID < known.ID || !renewed && len(l.borrowed[replica]) >= maxLoans {
		return false
	}
	l.borrowed = put(l.borrowed, replica, lender.Host, loan{lent, askedAt.Add(loanTime), lender.Incarnation})
	return lent.Calls != known.Calls
}

// Return gives up the borrowed calls that this host no longer uses, except for what its use varies by
// at random, and returns what their lenders are to be told. The smallest loans are returned first.
func (l *Loans) Return(now time.Time, replica string, u Use) []Returned {
	l.expire(now, replica)
	used := max(u.Begun, u.Lately)
	variation := int(math.Ceil(2 * math.Sqrt(float64(used)))) // two standard deviations of random arrivals
	excess := u.Quota.callsIn(l.window) - used - variation
	if u.Blocked || excess < 1 {
		return nil
	}
	lenders := slices.SortedFunc(maps.Keys(l.borrowed[replica]), func(a, b string) int {
		return cmp.Or(cmp.Compare(l.borrowed[replica][a].Calls, l.borrowed[replica][b].Calls), cmp.Compare(a, b))
	})
	var out []Returned
	for _, lender := range lenders {
		o := l.borrowed[replica][lender]
		given := min(excess, o.Calls)
		if given == 0 {
			break
		}
		excess -= given
		o.Calls -= given
		out = append(out, Returned{lender, o.Lent})
		if l.borrowed[replica][lender] = o; o.Calls == 0 {
			delete(l.borrowed[replica], lender)
		}
	}
	return out
}

// LimitChanged drops the borrowed calls of a replica: they are parts of its former limit.
func (l *Loans) LimitChanged(replica string) { delete(l.borrowed, replica) }

// Wanted says which loans of a replica's calls this host needs: more if it has requests for them and
// all of its calls are used, and renewals from the given lenders, whose loans end soon.
func (l *Loans) Wanted(now time.Time, replica string, u Use) (more bool, renew []string) {
	l.expire(now, replica)
	for lender, o := range l.borrowed[replica] {
		if o.until.Sub(now) <= renewalTime {
			renew = append(renew, lender)
		}
	}
	return u.Blocked && u.Share.Window <= l.window, renew
}

// Adjust returns this host's share of a limit with the loans in effect. Calls of lenders that are
// not live no longer count: their shares are divided anew, or their host has restarted, does not know
// the loan and uses its whole share.
func (l *Loans) Adjust(now time.Time, replica string, share Quota, live func(Lender) bool) Quota {
	l.expire(now, replica)
	if len(l.lent[replica])+len(l.borrowed[replica]) == 0 || share.Window > l.window {
		return share
	}
	calls := share.callsIn(l.window)
	for _, o := range l.lent[replica] {
		calls -= o.Calls
	}
	for lender, o := range l.borrowed[replica] {
		if live(Lender{lender, o.incarnation}) {
			calls += o.Calls
		}
	}
	return Quota{Calls: max(0, calls), Window: l.window}
}

// Totals returns the calls per window that are lent and borrowed, for operators.
func (l *Loans) Totals(now time.Time, replica string) (lent, borrowed int) {
	l.expire(now, replica)
	for _, o := range l.lent[replica] {
		lent += o.Calls
	}
	for _, o := range l.borrowed[replica] {
		borrowed += o.Calls
	}
	return lent, borrowed
}

// put stores a loan.
func put(loans map[string]map[string]loan, replica, host string, o loan) map[string]map[string]loan {
	if loans == nil {
		loans = map[string]map[string]loan{}
	}
	if loans[replica] == nil {
		loans[replica] = map[string]loan{}
	}
	loans[replica][host] = o
	return loans
}

// expire removes the loans of a replica's calls that are over.
func (l *Loans) expire(now time.Time, replica string) {
	for _, loans := range []map[string]map[string]loan{l.lent, l.borrowed} {
		byHost := loans[replica]
		maps.DeleteFunc(byHost, func(_ string, o loan) bool { return !now.Before(o.until) })
		if byHost != nil && len(byHost) == 0 {
			delete(loans, replica)
		}
	}
}

// RemoveExpired removes the loans that are over, of all replicas.
func (l *Loans) RemoveExpired(now time.Time) {
	for _, loans := range []map[string]map[string]loan{l.lent, l.borrowed} {
		for replica := range loans {
			l.expire(now, replica)
		}
	}
}
