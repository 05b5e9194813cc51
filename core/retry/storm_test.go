package retry

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/request"
)

// unlimited is a budget that denies nothing: retries are bounded by the attempts per
// request only.
type unlimited struct{}

func (unlimited) Deposit(time.Time)       {}
func (unlimited) Withdraw(time.Time) bool { return true }

// stormSim simulates a retry storm. Its pool serves one call per millisecond from a bounded
// queue and does not notice that callers stopped waiting. Its callers send 0.8 requests per
// millisecond, time out after 200 ms and make at most three attempts.
type stormSim struct {
	budget  request.Budget
	now     time.Time
	queue   []*stormCall
	waiting []*stormCall // ordered by timeout
	// answeredBySecond counts the requests answered in time, and arrivedBySecond all
	// requests, by the second of their arrival.
	answeredBySecond map[int]int
	arrivedBySecond  map[int]int
}

type stormCall struct {
	second   int // of the request's arrival
	attempt  int
	timeout  time.Time
	answered bool
}

const (
	stormQueue    = 300
	stormTimeout  = 200 * time.Millisecond
	stormAttempts = 3
)

// step simulates one millisecond; while down is set, the pool serves nothing.
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

// answeredShare returns the share of answered requests among those that arrived between two
// seconds.
func (s *stormSim) answeredShare(from, to int) float64 {
	arrived, answered := 0, 0
	for sec := from; sec < to; sec++ {
		arrived, answered = arrived+s.arrivedBySecond[sec], answered+s.answeredBySecond[sec]
	}
	return float64(answered) / float64(arrived)
}

var _ = Describe("a pool after an outage of ten seconds", func() {
	run := func(b request.Budget) (before, after float64) {
		s := &stormSim{budget: b, answeredBySecond: map[int]int{}, arrivedBySecond: map[int]int{}}
		for ms := range 40000 {
			s.step(ms, ms >= 10000 && ms < 20000)
		}
		return s.answeredShare(5, 9), s.answeredShare(25, 38)
	}

	It("recovers completely with the budget", func() {
		before, after := run(New(0.1, DefaultFloor, DefaultBurst))
		Expect(before).To(Equal(1.0))
		Expect(after).To(Equal(1.0))
	})

	It("does not recover when each request may make three attempts", func() {
		before, after := run(unlimited{})
		Expect(before).To(Equal(1.0))
		Expect(after).To(BeNumerically("<", 0.2))
	})
})
