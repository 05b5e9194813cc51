package fairshare

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestLevelFillsTheCapacityExactly(t *testing.T) {
	RegisterTestingT(t)
	rng := rand.New(rand.NewPCG(1, 1))
	for range 1000 {
		asked := make([]float64, 1+rng.IntN(40))
		var sum float64
		for i := range asked {
			asked[i] = rng.ExpFloat64()
			sum += asked[i]
		}
		capacity := 1.5 * sum * rng.Float64()
		level, filled := Level(asked, capacity), 0.0
		for _, a := range asked {
			filled += min(a, level)
		}
		Expect(filled).To(BeNumerically("~", min(sum, capacity), 1e-9))
		Expect(math.IsInf(level, 1)).To(Equal(capacity >= sum))
	}
	Expect(Level([]float64{1, 2}, 0)).To(BeZero())
	Expect(Level(nil, 1)).To(Equal(math.Inf(1)))
}

// sim submits requests to a Table that represents a service short of capacity.
type sim struct {
	t        *Table
	now      time.Time
	capacity float64
	admitted map[string]int
}

func newSim(capacity float64) *sim {
	return &sim{New(), time.Unix(1000, 0), capacity, map[string]int{}}
}

// run submits requests of one unit of work for some time; perSecond has their rates.
func (s *sim) run(d time.Duration, perSecond map[Account]int) {
	const step = 10 * time.Millisecond
	for at := time.Duration(0); at < d; at += step {
		for a, rate := range perSecond {
			before, after := int(at.Seconds()*float64(rate)), int((at+step).Seconds()*float64(rate))
			for range after - before {
				s.request(Request{Account: a, Work: 1}, 1)
			}
		}
		s.now = s.now.Add(step)
	}
}

func (s *sim) request(r Request, waitShare float64) Verdict {
	s.t.Ask(s.now, r)
	v := s.t.Decide(s.now, r, s.capacity, waitShare)
	if !v.Refused() {
		s.t.Admit(s.now, r)
		s.admitted[r.Account.Customer]++
	}
	return v
}

func customer(name string) Account { return Account{Customer: name} }

// A customer that sends ten times its usual rate must not take capacity from the others,
// and is free again within the window after its return.
func TestCustomersBelowTheLevelAreAdmitted(t *testing.T) {
	RegisterTestingT(t)
	s := newSim(200) // a hundred requests a second
	s.run(4*time.Second, map[Account]int{customer("a"): 30, customer("b"): 20, customer("c"): 20})
	clear(s.admitted)
	s.run(4*time.Second, map[Account]int{customer("a"): 300, customer("b"): 20, customer("c"): 20})
	Expect(s.admitted["b"]).To(Equal(80))
	Expect(s.admitted["c"]).To(Equal(80))
	Expect(s.admitted["a"]).To(BeNumerically("~", 240, 30), "what the others leave")
	s.run(Window, map[Account]int{customer("a"): 30})
	for range 20 {
		Expect(s.request(Request{Account: customer("a"), Work: 1}, 1).Refused()).To(BeFalse())
	}
}

// The more urgent priority is served in full, the other gets the rest in equal parts.
func TestMoreUrgentPrioritiesAreServedFirst(t *testing.T) {
	RegisterTestingT(t)
	s := newSim(200)
	urgent := Account{Customer: "urgent", Priority: 0}
	load := map[Account]int{urgent: 60, {Customer: "x", Priority: 1}: 100, {Customer: "y", Priority: 1}: 300}
	s.run(4*time.Second, load)
	clear(s.admitted)
	s.run(4*time.Second, load)
	Expect(s.admitted["urgent"]).To(Equal(240))
	Expect(s.admitted["x"]).To(BeNumerically("~", 80, 8))
	Expect(s.admitted["y"]).To(BeNumerically("~", 80, 8))
}

// A customer's share goes to its more urgent requests first.
func TestUrgentKindsAreNotRefusedForOtherKindsOfTheirCustomer(t *testing.T) {
	RegisterTestingT(t)
	s := newSim(200)
	s.run(4*time.Second, map[Account]int{customer("other"): 400})
	for range 300 {
		s.request(Request{Account: customer("a"), Kind: 2, Work: 1}, 1)
	}
	Expect(s.request(Request{Account: customer("a"), Kind: 2, Work: 1}, 1).Refused()).To(BeTrue())
	Expect(s.request(Request{Account: customer("a"), Kind: 0, Work: 1}, 1).Reason).To(Equal(WithinShare))
}

func TestNobodyIsRefusedUnlessTheServiceIsShort(t *testing.T) {
	RegisterTestingT(t)
	s, r := newSim(10), Request{Account: customer("a"), Work: 1}
	for range 100 {
		Expect(s.request(r, MinWaitShare).Reason).To(Equal(NotShort))
	}
	s.t.NoteOverload(s.now)
	v := s.request(r, 0)
	Expect(v.Reason).To(Equal(OverShare))
	Expect(v.Ratio()).To(BeNumerically("~", 10))
	Expect(v.Wait).To(Equal(Window), "all work is in the latest slot")
	s.now = s.now.Add(shortPeriod)
	Expect(s.request(r, 0).Reason).To(Equal(NotShort))
}

// What others leave unused is lent while the queue is short.
func TestUnusedCapacityIsLent(t *testing.T) {
	RegisterTestingT(t)
	s, r := newSim(10), Request{Account: customer("a"), Work: 1}
	for range 20 {
		s.t.Ask(s.now, r)
		s.t.Ask(s.now, Request{Account: customer("b"), Work: 1})
	}
	s.t.NoteOverload(s.now)
	for i := range 10 {
		Expect(s.request(r, 0).Refused()).To(BeFalse(), "request %d", i)
	}
	Expect(s.request(r, 0).Refused()).To(BeTrue())
}

// No kind is served less than a quarter as often as all requests.
func TestKindsKeepAMinimum(t *testing.T) {
	RegisterTestingT(t)
	s := newSim(100)
	for range 100 {
		s.request(Request{Account: customer("a"), Kind: 0, Work: 1}, 1)
	}
	s.now = s.now.Add(slotWidth)
	admitted := 0
	for range 100 {
		if !s.request(Request{Account: customer("a"), Kind: 1, Work: 1}, 1).Refused() {
			admitted++
		}
	}
	total := 100 + admitted
	Expect(float64(admitted) / 100).To(BeNumerically("~", 0.25*float64(total)/200, 0.05))
}

// What a request asks of a service counts only if that service decides.
func TestWithdrawnRequestsDoNotCount(t *testing.T) {
	RegisterTestingT(t)
	s, other := newSim(10), Request{Account: customer("b"), Work: 1}
	for range 100 {
		s.t.Ask(s.now, other)
		s.t.Withdraw(s.now, other)
	}
	for range 9 {
		Expect(s.request(Request{Account: customer("a"), Work: 1}, 1).Reason).To(Equal(WithinShare))
	}
}

// The memory is bounded, and accounts without work are dropped.
func TestAccountsAreBounded(t *testing.T) {
	RegisterTestingT(t)
	s := newSim(100)
	for i := range 3 * MaxAccounts {
		s.request(Request{Account: customer(fmt.Sprint(i)), Kind: i, Work: 1}, 1)
	}
	Expect(s.t.accounts).To(HaveLen(MaxAccounts))
	Expect(s.t.accounts).To(HaveKey(customer(fmt.Sprint(3*MaxAccounts - 1))))
	Expect(s.t.order.Len()).To(Equal(MaxAccounts))
	Expect(s.t.kinds).To(HaveLen(maxKinds))
	Expect(s.t.Snapshot(s.now, 5).Omitted).To(Equal(MaxAccounts - 5))
	s.now = s.now.Add(2 * Window)
	s.request(Request{Account: customer("last"), Work: 1}, 1)
	Expect(s.t.accounts).To(HaveLen(1))
}
