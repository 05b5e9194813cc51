package intake

import (
	"maps"
	"time"
)

const (
	// loanTime is how long a borrower may use the calls of a loan unless it is renewed. Their
	// lender gets them back another quotaWindow later, so that no window has the calls of both.
	loanTime = 4 * time.Second
	// renewalTime is the time before the end of a loan from which it is renewed.
	renewalTime = 2 * time.Second
	// maxLoans is the maximum number of hosts to which, and from which, calls to one replica are
	// lent.
	maxLoans = 64
)

// Loans holds the calls of announced limits that this host lends to others and borrows from
// them. A host that gets most of the requests would otherwise refuse some while the shares of the
// others are not used. The zero value is ready to use; it is not safe for concurrent use.
type Loans struct {
	// lent and borrowed are by replica, and by the host that borrows or lends.
	lent, borrowed map[string]map[string]loan
}

// loan is a number of calls per quotaWindow at one replica.
type loan struct {
	calls int
	until time.Time
}

// Use is how much of its calls to a replica this host uses.
type Use struct {
	// Share is this host's share of the limit without loans, and Quota that with loans.
	Share, Quota Quota
	// Begun is the number of calls that began within the window of Quota.
	Begun int
	// Blocked says that the quota lately kept a request from the replica.
	Blocked bool
}

// Lend renews the calls that are lent to a host, as far as this host's share still has them, and if
// more is set lends it half of the unused ones too. It returns how many the host may begin per
// quotaWindow for loanTime.
func (l *Loans) Lend(now time.Time, replica, borrower string, u Use, more bool) int {
	l.expire(now)
	if u.Share.Window > quotaWindow {
		return 0
	}
	known, renewed := l.lent[replica][borrower]
	left := u.Share.callsIn(quotaWindow)
	for host, o := range l.lent[replica] {
		if host != borrower {
			left -= o.calls
		}
	}
	calls := known.calls
	if more && u.Quota.Calls > 0 {
		unused := max(0, float64(u.Quota.Calls-u.Begun)/float64(u.Quota.Calls))
		calls += int(unused * float64(u.Quota.callsIn(quotaWindow)) / 2)
	}
	calls = min(calls, left)
	if calls < 1 || !renewed && len(l.lent[replica]) >= maxLoans {
		return 0
	}
	l.lent = put(l.lent, replica, borrower, loan{calls, now.Add(loanTime + quotaWindow)})
	return calls
}

// Borrow records the calls that a host lends, as it replied to a request sent at the given time. It
// reports whether their number has changed.
func (l *Loans) Borrow(askedAt time.Time, replica, lender string, calls int) bool {
	known, renewed := l.borrowed[replica][lender]
	if calls < 1 || !renewed && len(l.borrowed[replica]) >= maxLoans {
		return false
	}
	l.borrowed = put(l.borrowed, replica, lender, loan{calls, askedAt.Add(loanTime)})
	return calls != known.calls
}

// LimitChanged drops the borrowed calls of a replica: they are parts of its former limit.
func (l *Loans) LimitChanged(replica string) { delete(l.borrowed, replica) }

// Wanted says which loans of a replica's calls this host needs: more if it has requests for them and
// all of its calls are used, and, while half of them are, renewals from the given lenders, whose loans end soon.
func (l *Loans) Wanted(now time.Time, replica string, u Use) (more bool, renew []string) {
	l.expire(now)
	if u.Begun >= u.Quota.Calls {
		more = u.Blocked && u.Share.Window <= quotaWindow
	}
	if 2*u.Begun < u.Quota.Calls {
		return more, nil
	}
	for lender, o := range l.borrowed[replica] {
		if o.until.Sub(now) <= renewalTime {
			renew = append(renew, lender)
		}
	}
	return more, renew
}

// Adjust returns this host's share of a limit with the loans in effect. Calls of lenders that are
// not live no longer count, since their shares are divided anew.
func (l *Loans) Adjust(now time.Time, replica string, share Quota, live func(lender string) bool) Quota {
	l.expire(now)
	if len(l.lent[replica])+len(l.borrowed[replica]) == 0 || share.Window > quotaWindow {
		return share
	}
	calls := share.callsIn(quotaWindow)
	for _, o := range l.lent[replica] {
		calls -= o.calls
	}
	for lender, o := range l.borrowed[replica] {
		if live(lender) {
			calls += o.calls
		}
	}
	return Quota{Calls: max(0, calls), Window: quotaWindow}.capped()
}

// Totals returns the calls per quotaWindow that are lent and borrowed, for operators.
func (l *Loans) Totals(now time.Time, replica string) (lent, borrowed int) {
	l.expire(now)
	for _, o := range l.lent[replica] {
		lent += o.calls
	}
	for _, o := range l.borrowed[replica] {
		borrowed += o.calls
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

// expire removes the loans that are over.
func (l *Loans) expire(now time.Time) {
	for _, loans := range []map[string]map[string]loan{l.lent, l.borrowed} {
		for replica, byHost := range loans {
			maps.DeleteFunc(byHost, func(_ string, o loan) bool { return !now.Before(o.until) })
			if len(byHost) == 0 {
				delete(loans, replica)
			}
		}
	}
}
