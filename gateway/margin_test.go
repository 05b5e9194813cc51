package gateway

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/catalog"
	"github.com/wheatseam/wheatseam/platform"
)

var _ = Describe("the margin for a stream's first event", func() {
	const ms = time.Millisecond

	It("starts from a default and then grows with the tokens to be read", func() {
		f := newStreamTimeEstimator()
		expected, deviation := f.expectFirstEvent("engines", "r", 1000)
		Expect(expected).To(Equal(defaultFirstEventTime))
		Expect(deviation).To(BeZero())
		for i := range 200 {
			tokens := 1000 * (1 + i%20)
			f.observeFirstEvent("engines", "r", tokens, 50*ms+time.Duration(tokens)*20*time.Microsecond)
		}
		small, _ := f.expectFirstEvent("engines", "r", 1000)
		large, deviation := f.expectFirstEvent("engines", "r", 30000)
		Expect(small).To(BeNumerically("~", 70*ms, 5*ms))
		Expect(large).To(BeNumerically("~", 650*ms, 10*ms))
		Expect(deviation).To(BeNumerically("<", 10*ms))
	})

	It("is part of the expected time of a whole stream, whatever its length", func() {
		f := newStreamTimeEstimator()
		Expect(f.observeTotal("engines", 1000, 5, 70*ms, 270*ms)).To(BeZero(), "nothing is known yet")
		for i := range 100 {
			tokens, events := 1000*(1+i%20), 1+i%50
			first := 50*ms + time.Duration(tokens)*20*time.Microsecond
			f.observeFirstEvent("engines", "r", tokens, first)
			f.observeTotal("engines", tokens, events, first, first+time.Duration(events-1)*40*ms)
		}
		Expect(f.observeTotal("engines", 5000, 1, 150*ms, 150*ms)).To(BeNumerically("~", 150*ms, 5*ms))
		Expect(f.observeTotal("engines", 5000, 11, 150*ms, 550*ms)).To(BeNumerically("~", 550*ms, 10*ms))
	})

	It("shares the regression line of a service, and keeps deviations by route", func() {
		f := newStreamTimeEstimator()
		for i := range 400 {
			took := 100 * ms
			if i%2 == 0 {
				took = 300 * ms
			}
			f.observeFirstEvent("engines", "uneven", 1000, took)
			f.observeFirstEvent("engines", "even", 1000, 200*ms)
		}
		_, uneven := f.expectFirstEvent("engines", "uneven", 1000)
		_, even := f.expectFirstEvent("engines", "even", 1000)
		Expect(uneven).To(BeNumerically("~", 100*ms, 20*ms))
		Expect(even).To(BeNumerically("<", 20*ms))
		other, _ := f.expectFirstEvent("other", "even", 1000)
		Expect(other).To(Equal(defaultFirstEventTime))
	})
})

// What is owed to a caller that holds the beginning of an answer is the rest before its deadline, or
// before the caller leaves.
var _ = Describe("the deadlines of the stages of a stream that goes on", func() {
	const s, margin = time.Second, defaultFirstEventTime
	arrived := time.Unix(1000, 0)
	newExchange := func(resumable bool, lastEventID string, left time.Duration) *exchange {
		g := &Gateway{streamTimes: newStreamTimeEstimator(), eventCounts: newEventCountEstimator()}
		for i := range 50 {
			g.streamTimes.observeTotal("engines", 0, 2+i%20, 0, time.Duration(1+i%20)*100*time.Millisecond)
		}
		g.eventCounts.observe("r", 0, 11)
		return &exchange{
			g: g, service: "engines", arrived: arrived, deadline: arrived.Add(left), req: platform.Request{LastEventID: lastEventID},
			route: &catalog.Route{Name: "r", Streaming: true, Resumable: resumable, Objective: s},
		}
	}
	DescribeTable("of a first run", func(resumable bool, lastEventID string, left, due, latest time.Duration, continues bool) {
		x := newExchange(resumable, lastEventID, left)
		run := x.firstRun()
		Expect(run.continuesStream()).To(Equal(continues))
		gotDue, gotLatest := x.stageDeadlines(run)
		Expect(gotDue.Sub(arrived)).To(BeNumerically("~", due, s/100))
		Expect(gotLatest.Sub(arrived)).To(BeNumerically("~", latest, s/100))
	},
		Entry("a new answer is due by its objective", true, "", 10*s, s-margin, s-margin, false),
		Entry("the rest is due until the caller leaves", true, "5", 10*s, s-margin, 4*s-margin, true),
		Entry("or until the six events left no longer come in time", true, "5", 3*s, s-margin, 3*s-margin-600*time.Millisecond, true),
		Entry("the sooner, the less time there is", true, "5", s, s-margin-600*time.Millisecond, s-margin-600*time.Millisecond, true),
		Entry("a route that is not resumable has new answers only", false, "5", 10*s, s-margin, s-margin, false),
	)

	It("are those of a resume until its first event, also at another replica", func() {
		x := newExchange(true, "5", 10*s)
		Expect(x.runAfter(arrived, arrived, "").lastEvent).To(Equal("5"))
		Expect(x.runAfter(arrived, arrived, "7").lastEvent).To(Equal("7"))
	})
})
