package holdings

import (
	"cmp"
	"slices"
	"time"
)

// Kind is what bytes are held for.
type Kind uint8

// The kinds.
const (
	// Body is the body of a request, until the request ends or its body is given up.
	Body Kind = iota
	// Answer is an answer that is buffered whole, until its caller has read it.
	Answer
	// Event is an incomplete event of a stream.
	Event
	// Pieces are the pieces of planned jobs, Tunnels the connections for other hosts; both are
	// measured.
	Pieces
	Tunnels
	kinds
)

// Kinds lists all kinds.
func Kinds() []Kind { return []Kind{Body, Answer, Event, Pieces, Tunnels} }

// String is the value in metrics and logs.
func (k Kind) String() string {
	return [kinds]string{"body", "answer", "event", "pieces", "tunnels"}[k]
}

// finishes reports whether bytes of the kind finish a request that was passed on.
func (k Kind) finishes() bool { return k != Body }

// The shares of the limit; see the package comment.
const (
	WorkShare      = 0.75
	FinishShare    = 0.875
	CustomerFactor = 4
	// SmallBytes is the size up to which a body or an answer is small.
	SmallBytes = 64 << 10
)

// Config configures an Account.
type Config struct {
	// Limit is the largest number of bytes held.
	Limit int64
}

// Ask asks for bytes.
type Ask struct {
	Kind     Kind
	Customer string
	// Route is the kind of request.
	Route string
	Bytes int64
	// WaitUntil is how long the ask may wait.
	WaitUntil time.Time
}

// Verdict is what becomes of an ask.
type Verdict uint8

// The verdicts.
const (
	Granted Verdict = iota
	// Waits: Release or Withdraw ends the wait.
	Waits
	Refused
)

// Decision is the answer to an Ask.
type Decision struct {
	Verdict Verdict
	// ID identifies an ask that waits.
	ID uint64
	// ExpectedWait is the time after which there is expected to be room; 0 if there never is, or
	// for a grant.
	ExpectedWait time.Duration
	// GiveUp are the retained copies that have to be released for this ask, or for others.
	GiveUp []uint64
	// Others are the IDs of asks that waited and are granted now: a grant changes the order.
	Others []uint64
}

// waiter is an ask that waits.
type waiter struct {
	Ask
	id uint64
}

// Account is the account of one host.
type Account struct {
	cfg       Config
	held      [kinds]int64
	total     int64
	customers map[string]int64
	// small has the bytes of small bodies by customer.
	small    map[string]int64
	waiting  []waiter
	nextID   uint64
	released releaseRate
	retained retainedCopies
}

// New returns an empty account.
func New(c Config) *Account {
	return &Account{cfg: c, customers: map[string]int64{}, small: map[string]int64{}, retained: retainedCopies{}}
}

// Ask decides on an ask. A wait may have to be ended by the caller, at its WaitUntil.
func (a *Account) Ask(now time.Time, q Ask) Decision {
	if q.Bytes > a.largest(q.Kind) {
		return Decision{Verdict: Refused}
	}
	a.nextID++
	w := waiter{Ask: q, id: a.nextID}
	a.waiting = append(a.waiting, w)
	granted := a.grant()
	others := slices.DeleteFunc(granted, func(id uint64) bool { return id == w.id })
	if len(others) < len(granted) {
		return Decision{Verdict: Granted, Others: others}
	}
	d := Decision{Verdict: Waits, ID: w.id, Others: others}
	if q.Kind == Body && !a.finishingWaits(q) {
		d.GiveUp = a.retained.giveUp(a.roomFor(w), q.Customer, a.customers)
	}
	if q.Kind.finishes() || len(d.GiveUp) > 0 {
		return d
	}
	if d.ExpectedWait = a.expectedWait(now, w); now.Add(d.ExpectedWait).After(q.WaitUntil) {
		a.remove(w.id)
		d.Verdict, d.ID = Refused, 0
	}
	return d
}

// Release returns bytes that were granted. It returns the IDs of the asks that are now granted.
func (a *Account) Release(now time.Time, k Kind, customer string, bytes int64) []uint64 {
	a.add(k, customer, -bytes)
	a.released.add(now, bytes)
	return a.grant()
}

// Withdraw ends the wait of an ask. It returns false if the ask no longer waits: it was granted. It
// also returns the IDs of the asks that are now granted.
func (a *Account) Withdraw(id uint64) (withdrawn bool, granted []uint64) {
	if !a.remove(id) {
		return false, nil
	}
	return true, a.grant()
}

// Measured sets the bytes of a kind that another part of the host measures.
func (a *Account) Measured(k Kind, bytes int64) {
	a.total += bytes - a.held[k]
	a.held[k] = bytes
}

func (a *Account) remove(id uint64) bool {
	before := len(a.waiting)
	a.waiting = slices.DeleteFunc(a.waiting, func(w waiter) bool { return w.id == id })
	return len(a.waiting) < before
}

func (a *Account) add(k Kind, customer string, bytes int64) {
	a.held[k] += bytes
	a.total += bytes
	addTo(a.customers, customer, bytes)
	if k == Body && bytes <= SmallBytes && bytes >= -SmallBytes {
		addTo(a.small, customer, bytes)
	}
}

func addTo(m map[string]int64, customer string, bytes int64) {
	if m[customer] += bytes; m[customer] == 0 {
		delete(m, customer)
	}
}

// grant grants the asks for which there is room, and returns their IDs.
func (a *Account) grant() (granted []uint64) {
	for {
		i := a.next()
		if i < 0 {
			return granted
		}
		w := a.waiting[i]
		a.waiting = slices.Delete(a.waiting, i, i+1)
		a.add(w.Kind, w.Customer, w.Bytes)
		granted = append(granted, w.id)
	}
}

// next returns the index of the ask that is granted next; -1 for none. An ask for which the host
// has no room holds up those after it, but for small ones; one that is over its customer's part
// doesn't.
func (a *Account) next() int {
	order := make([]int, len(a.waiting))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(i, j int) int { return a.compare(a.waiting[i], a.waiting[j]) })
	blocked := false
	for _, i := range order {
		w := a.waiting[i]
		fits, overPart := a.fits(w.Ask)
		if fits && (!blocked || w.small()) {
			return i
		}
		blocked = blocked || !fits && !overPart
	}
	return -1
}

// compare orders asks that wait.
func (a *Account) compare(v, w waiter) int {
	if v.Kind.finishes() != w.Kind.finishes() {
		if v.Kind.finishes() {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.customers[v.Customer], a.customers[w.Customer]), cmp.Compare(v.id, w.id))
}

func (q Ask) small() bool { return q.Bytes <= SmallBytes }

// fits reports whether there is room for an ask, or else whether only its customer's part is used
// up.
func (a *Account) fits(q Ask) (fits, overPart bool) {
	limit := a.limit(q)
	free := limit - a.total - q.Bytes
	switch {
	case free < 0:
		return false, false
	case q.Kind.finishes():
		return true, false
	case a.finishingWaits(q):
		return false, true
	}
	fits = a.total == 0 || a.heldFor(q)+q.Bytes <= CustomerFactor*free
	return fits, !fits
}

// heldFor returns what is held for the customer of a body and counts towards its part: for a small
// one only small ones.
func (a *Account) heldFor(q Ask) int64 {
	if q.small() {
		return a.small[q.Customer]
	}
	return a.customers[q.Customer]
}

// finishingWaits reports whether a request of the same customer and route waits to be finished.
func (a *Account) finishingWaits(q Ask) bool {
	return slices.ContainsFunc(a.waiting, func(w waiter) bool {
		return w.Kind.finishes() && w.Customer == q.Customer && w.Route == q.Route
	})
}

// limit is the part of the limit that an ask may use.
func (a *Account) limit(q Ask) int64 {
	switch {
	case q.small():
		return a.cfg.Limit
	case q.Kind.finishes():
		return int64(FinishShare * float64(a.cfg.Limit))
	}
	return int64(WorkShare * float64(a.cfg.Limit))
}

// largest is the largest ask of a kind that can ever be granted.
func (a *Account) largest(k Kind) int64 { return a.limit(Ask{Kind: k, Bytes: SmallBytes + 1}) }

// missing is how many bytes of other customers have to be released before an ask is granted, with
// those that wait ahead of it. Of the customer's own, fewer suffice.
func (a *Account) missing(w waiter) int64 {
	room := a.roomFor(w)
	missing := -room.free
	if !w.Kind.finishes() {
		missing = max(missing, (room.held-CustomerFactor*room.free+CustomerFactor-1)/CustomerFactor)
	}
	return max(missing, 1)
}

// room is the room that there would be after an ask.
type room struct {
	// free is what would be left of the part of the limit for it, held what the customer would
	// hold.
	free, held int64
}

// roomFor returns the room for an ask, once those that wait ahead of it are granted.
func (a *Account) roomFor(w waiter) room {
	r := room{free: a.limit(w.Ask) - a.total - w.Bytes, held: a.heldFor(w.Ask) + w.Bytes}
	for _, o := range a.waiting {
		if o.id != w.id && a.compare(o, w) < 0 {
			r.free -= o.Bytes
		}
	}
	return r
}

// enough reports whether the room suffices for a body of the customer.
func (r room) enough() bool { return r.free >= 0 && r.held <= CustomerFactor*r.free }

// expectedWait is the time after which an ask is expected to be granted.
func (a *Account) expectedWait(now time.Time, w waiter) time.Duration {
	perSecond := a.released.perSecond(now)
	if perSecond <= 0 {
		return rateWindow
	}
	seconds := float64(a.missing(w)) / perSecond
	return min(time.Duration(seconds*float64(time.Second)), maxExpectedWait)
}

// maxExpectedWait bounds estimates.
const maxExpectedWait = time.Minute

// State is the account as operators see it.
type State struct {
	Limit int64 `json:"limit"`
	Total int64 `json:"total"`
	// Held has the bytes by kind, Customers the bytes of the customers that hold most.
	Held      map[string]int64 `json:"held"`
	Customers []CustomerState  `json:"customers"`
	// Waiting is the number of asks that wait, and Retained that of the bodies which only a retry
	// would need.
	Waiting  int `json:"waiting"`
	Retained int `json:"retained"`
	// ReleasedPerSecond is the number of bytes released in a second lately.
	ReleasedPerSecond float64 `json:"released_per_second"`
}

// CustomerState is what is held for a customer.
type CustomerState struct {
	Name  string `json:"name"`
	Bytes int64  `json:"bytes"`
}

// Held returns the bytes of a kind.
func (a *Account) Held(k Kind) int64 { return a.held[k] }

// Limit returns the limit in bytes.
func (a *Account) Limit() int64 { return a.cfg.Limit }

// Waiting returns the number of asks that wait.
func (a *Account) Waiting() int { return len(a.waiting) }

// State returns the state, with maxCustomers customers at most.
func (a *Account) State(now time.Time, maxCustomers int) State {
	s := State{
		Limit: a.cfg.Limit, Total: a.total, Held: map[string]int64{}, Waiting: len(a.waiting), Retained: len(a.retained), ReleasedPerSecond: a.released.perSecond(now),
	}
	for _, k := range Kinds() {
		s.Held[k.String()] = a.held[k]
	}
	for name, bytes := range a.customers {
		s.Customers = append(s.Customers, CustomerState{Name: name, Bytes: bytes})
	}
	slices.SortFunc(s.Customers, func(x, y CustomerState) int {
		return cmp.Or(cmp.Compare(y.Bytes, x.Bytes), cmp.Compare(x.Name, y.Name))
	})
	s.Customers = s.Customers[:min(len(s.Customers), maxCustomers)]
	return s
}
