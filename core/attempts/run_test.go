package attempts_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/attempts"
)

var (
	start  = time.Unix(1000, 0)
	config = attempts.Config{QueryInterval: 200 * time.Millisecond, ContactTime: 1500 * time.Millisecond, CanStop: true}
)

const (
	// step is the time between two events, and lifetime the time that a replica is given.
	step     = 300 * time.Millisecond
	lifetime = 12 * step
)

// site is a run with the replica that executes it, as far as a host can't see it. It is copied by
// assignment.
type site struct {
	run attempts.Run
	now time.Time
	// working says that the replica executes the run, waiting that the run waits there.
	working, waiting bool
	// seesClose, stops, reports and answers describe the replica: whether a close reaches it, what
	// calls it supports, and whether it can be reached.
	seesClose, stops, reports, answers bool
	answeredAt                         time.Time
	// queriedAt is when the query in progress was sent; zero for none.
	queriedAt time.Time
	stopping  bool
}

// event is something that may happen; happen reports whether it could.
type event struct {
	name   string
	happen func(*site) bool
}

var events = []event{
	{"send", func(s *site) bool {
		if s.run.State() != attempts.Reserved {
			return false
		}
		s.waiting = true
		s.run.Sent(start.Add(lifetime))
		return true
	}},
	{"begin", func(s *site) bool { return pass(&s.waiting, &s.working) }},
	{"postpone", func(s *site) bool { return pass(&s.working, &s.waiting) }},
	{"finish", func(s *site) bool { return pass(&s.working, new(bool)) }},
	{"hear", func(s *site) bool {
		if s.working && s.seesClose {
			s.run.Heard()
		}
		return s.working && s.seesClose
	}},
	{"silence", func(s *site) bool { s.run.Silence(); return s.run.State() == attempts.Silent }},
	{"connection goes silent", func(s *site) bool { return pass(&s.seesClose, new(bool)) }},
	{"replica ends the connection", func(s *site) bool {
		if !s.seesClose || s.run.State() == attempts.Reserved || s.run.State() == attempts.GivenUp {
			return false
		}
		s.working, s.waiting = false, false
		s.run.Failed(true)
		return true
	}},
	{"give up", func(s *site) bool {
		if s.run.State() >= attempts.GivenUp {
			return false
		}
		if s.seesClose {
			s.working, s.waiting = false, false
		}
		s.run.GiveUp(s.now)
		return true
	}},
	{"query", func(s *site) bool {
		if !s.queriedAt.IsZero() || s.run.State() != attempts.Silent {
			return false
		}
		s.queriedAt = s.now
		return true
	}},
	{"report", (*site).report},
	{"stop", (*site).stop},
	{"replica is lost", func(s *site) bool { return pass(&s.answers, new(bool)) }},
	{"next", func(s *site) bool {
		switch action, _ := s.run.Next(s.now); action {
		case attempts.Query:
			s.queriedAt = s.now
		case attempts.Stop:
			s.stopping = true
		}
		return true
	}},
}

// pass clears from and sets to, if from is set.
func pass(from, to *bool) bool {
	if !*from {
		return false
	}
	*from, *to = false, true
	return true
}

// report answers the query in progress with the replica's state.
func (s *site) report() bool {
	if s.queriedAt.IsZero() {
		return false
	}
	queriedAt, answer := s.queriedAt, attempts.NoAnswer
	s.queriedAt = time.Time{}
	if s.answers {
		s.answeredAt = s.now
		switch {
		case !s.reports:
			answer = attempts.NoRuns
		case s.working:
			answer = attempts.Lists
		case s.waiting:
			answer = attempts.MayWait
		default:
			answer = attempts.ListsNot
		}
	}
	s.run.Reported(queriedAt, s.now, answer)
	return true
}

// stop answers the call in progress that stops the run.
func (s *site) stop() bool {
	if !s.stopping {
		return false
	}
	s.stopping = false
	result := attempts.StopFailed
	if s.answers && s.stops {
		s.answeredAt, result = s.now, attempts.NoSuchRun
		if s.working {
			s.working, result = false, attempts.RunStopped
		}
	}
	s.run.StopAnswered(s.now, result)
	return true
}

// wrong returns what is wrong if another run begins now; "" for nothing.
func (s *site) wrong() string {
	reached := s.answers || !s.answeredAt.IsZero() && s.now.Sub(s.answeredAt) < config.ContactTime
	switch {
	case s.run.Ending() == attempts.NoEnding:
		return "no ending is known"
	case s.working && s.reports && reached && s.now.Before(start.Add(lifetime)):
		return "the run before is at work at a replica that is reached, ending " + s.run.Ending().String()
	}
	return ""
}

// exploration plays all orders of events.
type exploration struct {
	// seen has the number of further events that were played from a state.
	seen    map[site]int
	endings map[attempts.Ending]bool
	broken  string
}

func (x *exploration) play(s site, trace []string, depth int) {
	if x.broken != "" || depth == 0 || x.seen[s] >= depth {
		return
	}
	x.seen[s] = depth
	for _, e := range events {
		next := s
		next.now = next.now.Add(step)
		if !e.happen(&next) {
			continue
		}
		trace := append(trace[:len(trace):len(trace)], e.name)
		if next.run.State() != attempts.Ended {
			x.play(next, trace, depth-1)
			continue
		}
		x.endings[next.run.Ending()] = true
		if wrong := next.wrong(); wrong != "" {
			x.broken = fmt.Sprintf("%v: %s", trace, wrong)
			return
		}
	}
}

// Guards against a run that begins while the one before is at work at a replica that is reached,
// for all orders of up to maxEvents events.
func TestRunsEndBeforeTheirSuccessors(t *testing.T) {
	const maxEvents = 14
	g := NewWithT(t)
	x := exploration{endings: map[attempts.Ending]bool{}}
	for n := range 8 {
		x.seen = map[site]int{}
		s := site{run: *attempts.New(config), now: start, seesClose: true, answers: true, stops: n&1 > 0, reports: n&2 > 0}
		if n&4 > 0 {
			c := config
			c.CanStop = false
			s.run = *attempts.New(c)
		}
		x.play(s, nil, maxEvents)
		t.Logf("stops %t, reports %t, asked to stop %t: %d states", s.stops, s.reports, n&4 == 0, len(x.seen))
		g.Expect(x.broken).To(BeEmpty())
	}
	for _, e := range []attempts.Ending{
		attempts.NeverSent, attempts.ByReplica, attempts.Stopped, attempts.NotListed, attempts.TimeOver, attempts.Unreachable, attempts.Unreported,
	} {
		g.Expect(x.endings).To(HaveKey(e), "reached by some order of events: %s", e)
	}
}

// Guards against a stream that is not taken over although its replica has ended the run, has been
// replaced, or can't be reached.
func TestGivenUpRunsAreKnownToHaveEnded(t *testing.T) {
	for _, c := range []struct {
		report attempts.Report
		stop   attempts.StopResult
		ending attempts.Ending
		within time.Duration
	}{
		{attempts.Lists, attempts.RunStopped, attempts.Stopped, 0},
		{attempts.ListsNot, attempts.StopFailed, attempts.NotListed, 0},
		{attempts.MayWait, attempts.NoSuchRun, attempts.NotListed, 0},
		{attempts.MayWait, attempts.StopFailed, attempts.TimeOver, lifetime},
		{attempts.Lists, attempts.StopFailed, attempts.TimeOver, lifetime},
		{attempts.OtherProcess, attempts.StopFailed, attempts.ProcessEnded, 0},
		{attempts.NoRuns, attempts.StopFailed, attempts.Unreported, 0},
		{attempts.Unclear, attempts.StopFailed, attempts.TimeOver, lifetime},
		{attempts.NoAnswer, attempts.StopFailed, attempts.Unreachable, 0},
	} {
		g := NewWithT(t)
		r, now := attempts.New(config), start
		r.Sent(start.Add(lifetime))
		r.Heard()
		r.Silence()
		r.GiveUp(now)
		for action := attempts.Wait; action != attempts.Begin; {
			var next time.Time
			switch action, next = r.Next(now); action {
			case attempts.Query:
				r.Reported(now, now, c.report)
			case attempts.Stop:
				r.StopAnswered(now, c.stop)
			case attempts.Wait:
				g.Expect(next).To(BeTemporally(">", now))
				now = next
			}
		}
		g.Expect(r.Ending()).To(Equal(c.ending))
		g.Expect(now.Sub(start)).To(BeNumerically("<=", c.within+config.QueryInterval))
	}
}
