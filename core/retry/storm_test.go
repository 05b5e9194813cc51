package retry

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/request"
)

// unlimited is the naive budget: a count by request is all that bounds retries.
type unlimited struct{}

func (unlimited) Deposit(time.Time)       {}
func (unlimited) Withdraw(time.Time) bool { return true }

// storm is a pool that serves one call a millisecond from a bounded queue, and
// does not notice that callers gave up; and callers, 0.8 a millisecond, that
// wait 200 ms and try three times at the most.
type stormSim struct {
	budget  request.Budget
	now     time.Time
	queue   []*stormCall
	waiting []*stormCall // in the order of their timeouts
	// goodBy counts requests answered in time by the second they arrived in.
	answeredBySecond map[int]int
	arrivedBySecond  map[int]int
}

type stormCall struct {
	second   int // in which the request arrived
	attempt  int
	timeout  time.Time
	answered bool
}

const (
	stormQueue    = 300
	stormTimeout  = 200 * time.Millisecond
	stormAttempts = 3
)

// step lets a millisecond pass; while down the pool serves nothing.
func (s *stormSim) step(ms int, down bool) {
	s.now = start.Add(time.Duration(ms) * time.Millisecond)
	if !down && len(s.queue) > 0 {
		c := s.queue[0]
		s.queue = s.queue[1:]
		if !s.now.After(c.timeout) {
			c.answered = true
			s.answeredBySecond[c.second]++
		}
	}
	for len(s.waiting) > 0 && s.now.After(s.waiting[0].timeout) {
		c := s.waiting[0]
		s.waiting = s.waiting[1:]
		if !c.answered {
			s.retry(c)
		}
	}
	if ms%5 != 0 {
		s.budget.Deposit(s.now)
		s.arrivedBySecond[ms/1000]++
		s.send(&stormCall{second: ms / 1000, attempt: 1})
	}
}

func (s *stormSim) send(c *stormCall) {
	c.timeout = s.now.Add(stormTimeout)
	s.waiting = append(s.waiting, c)
	if len(s.queue) < stormQueue {
		s.queue = append(s.queue, c)
	}
}

func (s *stormSim) retry(c *stormCall) {
	if c.attempt < stormAttempts && s.budget.Withdraw(s.now) {
		s.send(&stormCall{second: c.second, attempt: c.attempt + 1})
	}
}

// attainment returns the share answered of what arrived from one second to
// another.
func (s *stormSim) answeredShare(from, to int) float64 {
	arrived, answered := 0, 0
	for sec := from; sec < to; sec++ {
		arrived, answered = arrived+s.arrivedBySecond[sec], answered+s.answeredBySecond[sec]
	}
	return float64(answered) / float64(arrived)
}

var _ = Describe("a pool that was down for ten seconds", func() {
	run := func(b request.Budget) (before, after float64) {
		s := &stormSim{budget: b, answeredBySecond: map[int]int{}, arrivedBySecond: map[int]int{}}
		for ms := range 40000 {
			s.step(ms, ms >= 10000 && ms < 20000)
		}
		return s.answeredShare(5, 9), s.answeredShare(25, 38)
	}

	It("is as good after as before with the budget", func() {
		before, after := run(New(0.1, DefaultFloor, DefaultBurst))
		Expect(before).To(Equal(1.0))
		Expect(after).To(Equal(1.0))
	})

	It("does not come back when each request may simply try three times", func() {
		before, after := run(unlimited{})
		Expect(before).To(Equal(1.0))
		Expect(after).To(BeNumerically("<", 0.2))
	})
})
