package report_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/problem"
	"github.com/wheatseam/wheatseam/replay"
	"github.com/wheatseam/wheatseam/replay/audit"
	"github.com/wheatseam/wheatseam/replay/ledger"
	"github.com/wheatseam/wheatseam/replay/report"
	"github.com/wheatseam/wheatseam/replay/trace"
)

func TestReport(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "report")
}

func call(id, customer string, at int64, o replay.Outcome, latency time.Duration) *replay.Call {
	c := &replay.Call{
		Request:    trace.Request{ID: id, AtMS: at, Customer: customer, Pipeline: "summary", DeadlineMS: 100},
		FirstTryID: id, Outcome: o, Latency: latency,
	}
	c.Answer.RequestID = "req-" + id
	if o == replay.Refused {
		c.Refusal = replay.Refusal{RequestID: "req-" + id, Kind: problem.Overloaded, Execution: problem.NotRun}
	}
	return c
}

func measure(entries []ledger.Entry, calls ...*replay.Call) *report.Report {
	return report.New("adaptive", 2, &replay.Result{Calls: calls}, entries, audit.Finding{
		Violations: []audit.Violation{{Kind: audit.DuplicateExecution}, {Kind: audit.Lost}, {Kind: audit.Lost}}, Undelivered: 1,
	})
}

func execution(request, stage string, s ledger.State, from, to int64, ms float64) ledger.Entry {
	return ledger.Entry{RequestID: "req-" + request, Stage: stage, Customer: "clinic", State: s,
		StartedUnixMS: from, FinishedUnixMS: to, EngineMS: ms, Tokens: 10}
}

var _ = Describe("Report", func() {
	It("counts attainment for all requests, by pipeline and by customer", func() {
		r := measure(nil,
			call("a", "clinic", 0, replay.Answered, 90*time.Millisecond),
			call("b", "clinic", 500, replay.Answered, 110*time.Millisecond),
			call("c", "town", 2400, replay.Refused, 4*time.Millisecond),
			call("d", "town", 4000, replay.Unanswered, 0),
			call("e", "town", 4000, replay.NotSent, 0),
			call("f", "town", 4000, replay.Skipped, 0))
		Expect(r.All.Attainment).To(Equal(report.Share{Met: 1, Of: 4, Share: 0.25}))
		Expect(r.Customers["clinic"].Attainment.Share).To(Equal(0.5))
		Expect(r.Customers["town"].Attainment.Share).To(BeZero())
		Expect(r.Pipelines["summary"].Late).To(Equal(1))
		Expect(r.All.Unanswered).To(Equal(1))
		Expect([]int{r.NotSent, r.Skipped}).To(Equal([]int{1, 1}))
		Expect(r.SpanSeconds).To(Equal(2.0), "speed 2 halves the offsets")
		Expect(r.Goodput).To(Equal(0.5))
		Expect(r.Timeline).To(Equal([]report.Second{
			{At: 0, Sent: 2, Attained: 1}, {At: 1, Sent: 1, Refused: 1}, {At: 2, Sent: 1},
		}))
	})

	It("counts a request once in Attainment and each of its tries in Tries", func() {
		first := call("a", "clinic", 0, replay.Refused, time.Millisecond)
		second := call("a2", "clinic", 50, replay.Answered, time.Millisecond)
		second.FirstTryID = "a"
		r := measure(nil, first, second)
		Expect(r.All.Attainment).To(Equal(report.Share{Met: 1, Of: 1, Share: 1}))
		Expect(r.All.Tries).To(Equal(report.Share{Met: 1, Of: 2, Share: 0.5}))
	})

	It("calculates the quantiles of latency, token times and refusals", func() {
		var calls []*replay.Call
		for i := range 100 {
			c := call(fmt.Sprint(i), "clinic", 0, replay.Answered, time.Duration(i+1)*time.Millisecond)
			c.FirstToken, c.InterTokenGaps = 5*time.Millisecond, []time.Duration{2 * time.Millisecond}
			calls = append(calls, c)
		}
		calls = append(calls, call("no", "clinic", 0, replay.Refused, 7*time.Millisecond))
		r := measure(nil, calls...)
		Expect(r.All.Latency.P50).To(BeNumerically("~", 50, 0.1))
		Expect(r.All.Latency.P99).To(BeNumerically("~", 99, 0.1))
		Expect(r.All.Latency.Max).To(BeNumerically("~", 100, 0.1))
		Expect(r.All.FirstToken.P50).To(BeNumerically("~", 5, 0.01))
		Expect(r.All.BetweenTokens.Count).To(Equal(int64(100)))
		Expect(r.Refusals).To(HaveLen(1))
		Expect(r.Refusals[0].Kind).To(Equal("overloaded"))
		Expect(r.Refusals[0].After.P50).To(BeNumerically("~", 7, 0.01))
	})

	It("classifies the cost of each stage", func() {
		met := call("met", "clinic", 0, replay.Answered, time.Millisecond)
		late := call("late", "clinic", 0, replay.Answered, time.Second)
		r := measure([]ledger.Entry{
			execution("met", "rank", ledger.Failed, 0, 5, 1000),
			execution("met", "rank", ledger.Done, 5, 20, 2000),
			execution("met", "rank", ledger.Cancelled, 10, 20, 3000),
			execution("late", "rank", ledger.Done, 0, 5, 4000),
			execution("late", "rank", ledger.Cancelled, 0, 5, 5000),
			execution("met", "encode", ledger.Done, 0, 5, 0),
			execution("nobody", "encode", ledger.Done, 0, 5, 0),
		}, met, late)
		Expect(r.Stages).To(HaveLen(2))
		Expect(r.Stages[0].Stage).To(Equal("encode"))
		Expect(r.Stages[0].WastedShare).To(Equal(0.5), "by calls, because no engine seconds are known")
		rank := r.Stages[1]
		Expect(rank.All).To(Equal(report.Spent{Calls: 5, EngineSeconds: 15, Tokens: 50}))
		Expect(rank.Retries.EngineSeconds).To(Equal(1.0))
		Expect(rank.Hedges.EngineSeconds).To(Equal(3.0))
		Expect(rank.Late.EngineSeconds).To(Equal(4.0))
		Expect(rank.Cancelled.EngineSeconds).To(Equal(5.0))
		Expect(rank.WastedShare).To(BeNumerically("~", 13.0/15, 1e-9))
	})

	It("does not count as wasted an execution of a first try whose result a retry received", func() {
		first := call("a", "clinic", 0, replay.Unanswered, 0)
		second := call("a2", "clinic", 50, replay.Answered, time.Millisecond)
		second.FirstTryID = "a"
		first.Key, second.Key = "k", "k"
		work := execution("first", "seal", ledger.Done, 0, 5, 100)
		work.Key = "k"
		Expect(measure([]ledger.Entry{work}, first, second).Stages[0].WastedShare).To(BeZero())
	})

	It("counts violations by kind and can be written as a table and as JSON", func() {
		r := measure(nil, call("a", "clinic", 0, replay.Answered, time.Millisecond))
		Expect(r.Violations.Total).To(Equal(3))
		Expect(r.Violations.ByKind).To(Equal(map[audit.Kind]int{audit.Lost: 2, audit.DuplicateExecution: 1, audit.Misdelivered: 0, audit.FalseNotRun: 0}))
		var table bytes.Buffer
		Expect(r.WriteTable(&table)).To(Succeed())
		Expect(table.String()).To(And(ContainSubstring("customer clinic"), ContainSubstring("lost 2"), ContainSubstring("100.00%")))
		text, err := json.Marshal(r)
		Expect(err).NotTo(HaveOccurred())
		var back report.Report
		Expect(json.Unmarshal(text, &back)).To(Succeed())
		Expect(back.All).To(Equal(r.All))
	})
})
