package route

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/core/request"
)

// silentCalls is a router of three upstreams whose calls usually take 40 ms, with calls in
// flight at u0 when it falls silent.
type silentCalls struct {
	router *Router
	open   []request.Choice
}

const usualCallLatency = 40 * time.Millisecond

func newSilentCalls(inFlight int) *silentCalls {
	s := &silentCalls{router: testRouter(testBundle(3, 1000, bundle.PolicyRoundRobin), 1)}
	warm := start.Add(-time.Second)
	for i := range 100 {
		at := warm.Add(time.Duration(i) * 10 * time.Millisecond)
		finishCall(s.router, at, mustPick(s.router, at, testQuery()), request.CallOK, usualCallLatency)
	}
	for len(s.open) < inFlight {
		if c := mustPick(s.router, start, testQuery()); c.Upstream == "u0" {
			s.open = append(s.open, c)
		}
	}
	return s
}

// end ends call i at the time at after the start of the silence, which the call began before.
func (s *silentCalls) end(i int, at time.Duration, result request.CallResult) {
	finishCall(s.router, start.Add(at), s.open[i], result, at+usualCallLatency/2)
}

func (s *silentCalls) state() *memberState {
	return s.router.current.Load().pools[pool].members.find("u0").state
}

var _ = Describe("an upstream that is silent and goes on", func() {
	const inFlight = 12
	endAll := func(s *silentCalls, silence, spread time.Duration, result request.CallResult) {
		for i := range s.open {
			s.end(i, silence+time.Duration(i)*spread/inFlight, result)
		}
	}

	DescribeTable("is not ejected for a second of silence, however many calls it delayed",
		func(result request.CallResult, silence, spread time.Duration) {
			s := newSilentCalls(inFlight)
			endAll(s, silence, spread, result)
			Expect(s.state().ejection.until.IsZero()).To(BeTrue())
			Expect(s.state().decayedSlowness(start.Add(silence))).To(BeNumerically("<", 4))
		},
		Entry("calls complete together", request.CallOK, 1100*time.Millisecond, usualCallLatency),
		Entry("calls complete one after the other", request.CallOK, 1100*time.Millisecond, 80*time.Millisecond),
		Entry("callers give up during it", request.CallCancelled, 200*time.Millisecond, 900*time.Millisecond),
	)

	It("is not ejected if some callers give up during the silence and other calls complete after it", func() {
		s := newSilentCalls(inFlight)
		for i := range 4 {
			s.end(i, time.Duration(200+200*i)*time.Millisecond, request.CallCancelled)
		}
		for i := 4; i < inFlight; i++ {
			s.end(i, time.Duration(1100+5*i)*time.Millisecond, request.CallOK)
		}
		Expect(s.state().ejection.until.IsZero()).To(BeTrue())
	})

	It("is reported with each call that is not held against it", func() {
		s := newSilentCalls(inFlight)
		var delayed []int
		s.router.config.OnSilence = func(p, upstream string, n int) {
			Expect([]string{p, upstream}).To(Equal([]string{pool, "u0"}))
			delayed = append(delayed, n)
		}
		endAll(s, 1100*time.Millisecond, usualCallLatency, request.CallOK)
		Expect(delayed).To(Equal([]int{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11}), "all calls but the first")
	})

	DescribeTable("is ejected as slow if it is silent for long",
		func(result request.CallResult) {
			s := newSilentCalls(inFlight)
			endAll(s, 3*time.Second, usualCallLatency, result)
			Expect(s.state().ejection.reason).To(Equal(ejectedSlow))
		},
		Entry("calls complete", request.CallOK),
		Entry("callers give up", request.CallCancelled),
	)

	It("is ejected as slow if it is silent for a second again and again", func() {
		s := newSilentCalls(inFlight)
		for i := range 4 {
			s.end(i, time.Duration(i+1)*1100*time.Millisecond, request.CallOK)
		}
		Expect(s.state().ejection.reason).To(Equal(ejectedSlow))
	})
})

// Guards against slow upstreams that are taken for ones with a short silence.
var _ = DescribeTable("an upstream that is slow all the time is ejected within two seconds",
	func(slowLatency time.Duration) {
		r := testRouter(testBundle(3, 1000, bundle.PolicyRoundRobin), 1)
		f := newFleet(1, 3, 1000, bundle.PolicyRoundRobin)
		f.routers[0], f.arrivalInterval = r, 10*time.Millisecond
		f.serviceTime = func(string) time.Duration { return usualCallLatency }
		f.run(time.Second)
		f.serviceTime = func(u string) time.Duration {
			if u == "u0" {
				return slowLatency
			}
			return usualCallLatency
		}
		f.run(2 * time.Second)
		f.endDueCalls()
		Expect(r.current.Load().pools[pool].members.find("u0").state.ejection.reason).To(Equal(ejectedSlow))
	},
	Entry("six times as slow", 6*usualCallLatency),
	Entry("ten times as slow", 10*usualCallLatency),
	Entry("twenty times as slow", 20*usualCallLatency),
)
