package fairshare

import (
	"cmp"
	"container/list"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// MaxAccounts bounds the accounts of a Table. A further account replaces the one that
	// was used least recently, whose work is then no longer counted.
	MaxAccounts = 1000
	// maxKinds bounds the kinds that are counted apart. Further kinds get no guarantee.
	maxKinds = 32
	// shortPeriod is how long a service counts as short of capacity after a request was
	// refused for overload.
	shortPeriod = time.Second
	// minKindShare is the share of the admission rate of all requests below which a kind's
	// requests are not refused for their customers' shares.
	minKindShare = 0.25
	// levelLifetime is how long computed levels are used. A tenth of a slot changes them
	// little.
	levelLifetime = slotWidth / 10
	// levelLifetimePerAccount is added to levelLifetime for each account, so that levels take
	// at most a hundredth of a processor: a thousand accounts take about 60 µs.
	levelLifetimePerAccount = 10 * time.Microsecond
	// negligibleWork is below the work of any request and above rounding errors.
	negligibleWork = 1e-5
)

const (
	// MinWaitShare is the share of the time that a request may wait above which its wait
	// shows that the service is short of capacity. The rest is left to customers below their
	// level. Customers that ask for fullExcessRatio times their level or more are refused
	// from there on, those that ask for little more than their level from maxWaitShare on: a
	// constant share of 0.5 refuses requests in bursts that the queue can absorb.
	MinWaitShare    = 0.5
	maxWaitShare    = 0.9
	fullExcessRatio = 2
)

// Account identifies the requests that are counted together: those of one customer that
// have one priority. Lower priorities are more urgent.
type Account struct {
	Customer string
	Priority int
}

// Request is a request for a service's capacity.
type Request struct {
	Account Account
	// Kind is the urgency of the request among those of its customer, 0 being the most
	// urgent. A customer's share goes to its more urgent requests first. The requests of one
	// kind of all customers keep a minimal share together.
	Kind int
	// Work is the time that the request takes of a replica, in seconds.
	Work float64
}

// Table tracks the work that accounts asked of one service and that was admitted.
type Table struct {
	accounts map[Account]*account
	// order holds the keys of the accounts, the least recently used one first.
	order    *list.List
	kinds    map[int]*usage // counts requests instead of work
	total    usage
	requests usage // counts the requests of all kinds
	// shortUntil is when the service stops being short of capacity.
	shortUntil time.Time
	// levels holds the fair level of each priority, as of levelsAt and for a capacity.
	levels   map[int]float64
	levelsAt time.Time
	capacity float64
	// start is the time of the first call, from which slots are numbered: a step of the wall
	// clock does not change the difference of two times of one process.
	start time.Time
}

type account struct {
	usage
	// inOrder is the account's element of Table.order.
	inOrder *list.Element
}

// New returns a Table without accounts.
func New() *Table {
	return &Table{accounts: map[Account]*account{}, order: list.New(), kinds: map[int]*usage{}, levels: map[int]float64{}}
}

// slotOf returns the number of the slot that a time belongs to.
func (t *Table) slotOf(now time.Time) int64 {
	if t.start.IsZero() {
		t.start = now
	}
	return int64(now.Sub(t.start)/slotWidth) + 1
}

// Ask records a request that has arrived. A request that returns is recorded again.
func (t *Table) Ask(now time.Time, r Request) { t.ask(now, r, 1) }

// Withdraw takes back an Ask of the same time, for a request that is refused because another
// service is short of capacity: it would not have used this one.
func (t *Table) Withdraw(now time.Time, r Request) { t.ask(now, r, -1) }

func (t *Table) ask(now time.Time, r Request, times float64) {
	t.account(now, r.Account).ask(times * r.Work)
	if k := t.kind(now, r.Kind); k != nil {
		k.ask(times)
	}
	t.requests.advance(t.slotOf(now))
	t.requests.ask(times)
}

// Admit records a request that is admitted.
func (t *Table) Admit(now time.Time, r Request) {
	t.account(now, r.Account).admit(r.Kind, r.Work)
	t.total.advance(t.slotOf(now))
	t.total.admit(r.Kind, r.Work)
	if k := t.kind(now, r.Kind); k != nil {
		k.admit(r.Kind, 1)
	}
	t.requests.advance(t.slotOf(now))
	t.requests.admit(r.Kind, 1)
}

// Admitted returns the work that was admitted within the Window, in seconds of a replica's time.
func (t *Table) Admitted(now time.Time) float64 {
	t.total.advance(t.slotOf(now))
	return t.total.admittedAll()
}

// NoteOverload records that a request was refused because it would have been late: the
// service counts as short of capacity for a while.
func (t *Table) NoteOverload(now time.Time) { t.shortUntil = now.Add(shortPeriod) }

// Short reports whether a request was refused for overload recently.
func (t *Table) Short(now time.Time) bool { return now.Before(t.shortUntil) }

// account returns an account, creating it if needed.
func (t *Table) account(now time.Time, key Account) *account {
	a := t.accounts[key]
	if a == nil {
		if len(t.accounts) >= MaxAccounts {
			t.remove(t.order.Front().Value.(Account))
		}
		a = &account{inOrder: t.order.PushBack(key)}
		t.accounts[key] = a
	}
	a.advance(t.slotOf(now))
	t.order.MoveToBack(a.inOrder)
	return a
}

func (t *Table) remove(key Account) {
	t.order.Remove(t.accounts[key].inOrder)
	delete(t.accounts, key)
}

// kind returns the counts of a kind; nil if there are too many kinds.
func (t *Table) kind(now time.Time, kind int) *usage {
	k := t.kinds[kind]
	if k == nil {
		if len(t.kinds) >= maxKinds {
			return nil
		}
		k = &usage{}
		t.kinds[kind] = k
	}
	k.advance(t.slotOf(now))
	return k
}

// updateLevels computes the levels of all priorities unless they are recent: the more urgent
// priorities take what they ask for, and the rest is left to the others. It drops accounts
// without work in the Window.
func (t *Table) updateLevels(now time.Time, capacity float64) {
	lifetime := levelLifetime + time.Duration(len(t.accounts))*levelLifetimePerAccount
	if age := now.Sub(t.levelsAt); age >= 0 && age < lifetime {
		return
	}
	t.levelsAt, t.capacity = now, capacity
	asked := map[int][]float64{}
	slot := t.slotOf(now)
	for key, a := range t.accounts {
		a.advance(slot)
		if a.askedSum < negligibleWork && a.admittedAll() < negligibleWork {
			t.remove(key)
			continue
		}
		asked[key.Priority] = append(asked[key.Priority], a.askedSum)
	}
	clear(t.levels)
	for _, priority := range slices.Sorted(maps.Keys(asked)) {
		t.levels[priority] = Level(asked[priority], capacity)
		for _, a := range asked[priority] {
			capacity -= a
		}
		capacity = max(0, capacity)
	}
}

// Reason says why a request is admitted or refused.
type Reason string

// The reasons.
const (
	// NotShort: the service is not short of capacity.
	NotShort Reason = "not_short"
	// WithinShare: the customer's admitted work of this kind and of the more urgent ones is
	// below its level.
	WithinShare Reason = "within_share"
	// Lent: the customer has had its share, but the queue still has room for others, or the
	// request fits into what they leave unused.
	Lent Reason = "lent"
	// KindMinimum: requests of this kind are admitted much more rarely than others.
	KindMinimum Reason = "kind_minimum"
	// OverShare: the customer's admitted work is not below its level, and there is no unused
	// capacity. The request is to be refused.
	OverShare Reason = "over_share"
)

// Verdict is a decision on a request.
type Verdict struct {
	Reason Reason
	// Admitted is the customer's work of the request's kind and of the more urgent ones that
	// was admitted within the Window, and Level the fair level, in seconds of a replica's
	// time. The level is +Inf if the capacity
	// suffices for all that is asked.
	Admitted, Level float64
	// Wait is the time until the admitted work is below the level, if the request exceeds
	// the share.
	Wait time.Duration
}

// Refused reports whether the request is to be refused.
func (v Verdict) Refused() bool { return v.Reason == OverShare }

// Ratio returns the admitted work as a multiple of the level.
func (v Verdict) Ratio() float64 {
	if v.Level <= 0 {
		return 0
	}
	return v.Admitted / v.Level
}

// Decide decides on a request that was recorded by Ask. capacity is the work that the
// service can execute within the Window, in seconds of a replica's time. waitShare is the
// share of the time that the request may wait which its predicted wait for this service
// takes; above MinWaitShare the service is short of capacity.
func (t *Table) Decide(now time.Time, r Request, capacity, waitShare float64) Verdict {
	delayed := waitShare > MinWaitShare
	if !delayed && !t.Short(now) {
		return Verdict{Reason: NotShort}
	}
	a := t.account(now, r.Account)
	t.total.advance(t.slotOf(now))
	if _, known := t.levels[r.Account.Priority]; !known {
		t.levelsAt = time.Time{} // the first request of this priority since the last update
	}
	t.updateLevels(now, capacity)
	level := t.levels[r.Account.Priority]
	v := Verdict{Admitted: a.admittedTo(r.Kind), Level: level}
	switch {
	case v.Admitted < level:
		v.Reason = WithinShare
	case delayed && waitShare < toleratedWaitShare(a.askedSum/level):
		v.Reason = Lent
	case !delayed && t.total.admittedAll()+r.Work <= capacity:
		v.Reason = Lent
	case t.kindNeglected(now, r.Kind):
		v.Reason = KindMinimum
	default:
		v.Reason, v.Wait = OverShare, a.timeBelow(level, r.Kind)
	}
	return v
}

// toleratedWaitShare returns the share of the time that a request may wait up to which
// requests beyond their customer's level are admitted. The more the customer asks for, as a
// multiple of its level, the smaller it is: a customer that asks for little more than its
// level would otherwise be refused in bursts that the queue can absorb.
func toleratedWaitShare(askedRatio float64) float64 {
	excess := min(1, (askedRatio-1)/(fullExcessRatio-1))
	return maxWaitShare - (maxWaitShare-MinWaitShare)*excess
}

// kindNeglected reports whether the requests of a kind are admitted less than minKindShare
// times as often as those of all kinds.
func (t *Table) kindNeglected(now time.Time, kind int) bool {
	k := t.kind(now, kind)
	t.requests.advance(t.slotOf(now))
	if k == nil || k.askedSum == 0 || t.requests.askedSum == 0 {
		return false
	}
	return k.admittedAll()/k.askedSum < minKindShare*t.requests.admittedAll()/t.requests.askedSum
}

// AccountState is the state of one account that operators are shown.
type AccountState struct {
	Customer string `json:"customer"`
	Priority int    `json:"priority"`
	// Asked and Admitted are in seconds of a replica's time within the Window.
	Asked    float64 `json:"asked_seconds"`
	Admitted float64 `json:"admitted_seconds"`
	// Over says that the admitted work is not below the level.
	Over bool `json:"over"`
}

// State is the state of a Table that operators are shown.
type State struct {
	Short bool `json:"short"`
	// Capacity is the work that the service could execute within the Window, as of the last
	// decision while the service was short, in seconds of a replica's time.
	Capacity float64 `json:"capacity_seconds"`
	// Levels has the level of each priority whose requests exceed the capacity.
	Levels   map[int]float64 `json:"level_seconds"`
	Accounts []AccountState  `json:"accounts"`
	// Omitted is the number of further accounts.
	Omitted int `json:"omitted"`
}

// Snapshot returns the state with the n accounts that asked for most.
func (t *Table) Snapshot(now time.Time, n int) State {
	s := State{Short: t.Short(now), Capacity: t.capacity, Levels: map[int]float64{}}
	for priority, level := range t.levels {
		if !math.IsInf(level, 1) {
			s.Levels[priority] = level
		}
	}
	for key, a := range t.accounts {
		a.advance(t.slotOf(now))
		level, limited := s.Levels[key.Priority]
		s.Accounts = append(s.Accounts, AccountState{
			Customer: key.Customer, Priority: key.Priority, Asked: a.askedSum, Admitted: a.admittedAll(),
			Over: limited && a.admittedAll() >= level,
		})
	}
	slices.SortFunc(s.Accounts, func(a, b AccountState) int {
		return cmp.Or(cmp.Compare(b.Asked, a.Asked), cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Customer, b.Customer))
	})
	if len(s.Accounts) > n {
		s.Omitted, s.Accounts = len(s.Accounts)-n, s.Accounts[:n]
	}
	return s
}
