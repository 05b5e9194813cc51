package audit_test

import (
	"encoding/json"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/problem"
	"github.com/wheatseam/wheatseam/replay"
	"github.com/wheatseam/wheatseam/replay/audit"
	"github.com/wheatseam/wheatseam/replay/ledger"
	"github.com/wheatseam/wheatseam/replay/trace"
)

func TestAudit(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "audit")
}

var pipelines = []bundle.Pipeline{
	{Name: "seal", Stages: []bundle.Stage{{Name: "apply", Kind: bundle.StageCall, NonRepeatable: true}}},
	{Name: "summary", Stages: []bundle.Stage{{Name: "encode", Kind: bundle.StageEncode}, {Name: "write", Kind: bundle.StageGenerate}}},
}

const (
	keyA = "01900000-0000-7000-8000-00000000000a"
	keyB = "01900000-0000-7000-8000-00000000000b"
	idA  = "entry-1.01900000-0000-7000-8000-0000000000a1"
	idA2 = "entry-2.01900000-0000-7000-8000-0000000000a2"
	idB  = "entry-1.01900000-0000-7000-8000-0000000000b1"
)

var start = time.UnixMilli(1_800_000_000_000)

func call(firstTryID, key, pipeline string) *replay.Call {
	return &replay.Call{
		Request:    trace.Request{ID: firstTryID, Customer: "clinic", Pipeline: pipeline, DeadlineMS: 1000},
		FirstTryID: firstTryID, Key: key, CorrelationToken: replay.NewCorrelationToken(), SentAt: start, EndedAt: start.Add(50 * time.Millisecond),
	}
}

func answer(c *replay.Call, id, result string) *replay.Call {
	c.Outcome = replay.Answered
	c.Answer = replay.Answer{RequestID: id, Result: json.RawMessage(result)}
	return c
}

func refuse(c *replay.Call, id string, x problem.Execution) *replay.Call {
	c.Outcome = replay.Refused
	c.Refusal = replay.Refusal{RequestID: id, Kind: problem.Overloaded, Execution: x}
	return c
}

func leaveUnanswered(c *replay.Call) *replay.Call {
	c.Outcome, c.Problem = replay.Unanswered, "timeout"
	return c
}

func retry(c *replay.Call, of *replay.Call) *replay.Call {
	c.FirstTryID, c.CorrelationToken, c.SentAt = of.FirstTryID, of.CorrelationToken, start.Add(time.Second)
	return c
}

func entry(key, id, stage string, at time.Duration, s ledger.State) ledger.Entry {
	return ledger.Entry{Key: key, RequestID: id, Stage: stage, Customer: "clinic", State: s, StartedUnixMS: start.Add(at).UnixMilli()}
}

func seal(key, id string) ledger.Entry {
	return entry(key, id, "apply", 5*time.Millisecond, ledger.Done)
}

func kinds(f audit.Finding) []audit.Kind {
	out := []audit.Kind{}
	for _, v := range f.Violations {
		out = append(out, v.Kind)
	}
	return out
}

var _ = Describe("Audit", func() {
	a, b := func() *replay.Call { return call("a", keyA, "seal") }, func() *replay.Call { return call("b", keyB, "seal") }

	It("reports no violation if answers and ledgers agree", func() {
		one, two := answer(a(), idA, `{"mark":"`+idA+`"}`), refuse(b(), idB, problem.NotRun)
		summary := answer(call("c", "", "summary"), idA2, `{"text":"x"}`)
		f := audit.Audit([]*replay.Call{one, two, summary}, []ledger.Entry{
			seal(keyA, idA),
			entry("", idA2, "encode", 0, ledger.Failed), entry("", idA2, "encode", 0, ledger.Done),
			entry("", idA2, "generate", 0, ledger.Done),
		}, pipelines)
		Expect(f.Violations).To(BeEmpty())
		Expect(f.Undelivered).To(BeZero())
	})

	It("accepts a retry that receives the result of the first try", func() {
		first := leaveUnanswered(a())
		second := retry(answer(a(), idA2, `{"mark":"`+idA+`"}`), first)
		Expect(audit.Audit([]*replay.Call{first, second}, []ledger.Entry{seal(keyA, idA)}, pipelines).Violations).To(BeEmpty())
	})

	DescribeTable("reports",
		func(kind audit.Kind, calls func() []*replay.Call, entries ...ledger.Entry) {
			Expect(kinds(audit.Audit(calls(), entries, pipelines))).To(Equal([]audit.Kind{kind}))
		},
		Entry("a missing response", audit.Lost, func() []*replay.Call { return []*replay.Call{leaveUnanswered(a())} }),
		Entry("an answer without an execution", audit.Lost, func() []*replay.Call { return []*replay.Call{answer(a(), idA, `{}`)} }),
		Entry("an answer whose execution failed", audit.Lost, func() []*replay.Call { return []*replay.Call{answer(a(), idA, `{}`)} },
			entry(keyA, idA, "apply", 0, ledger.Failed)),
		Entry("an answer with a stage that was not executed", audit.Lost,
			func() []*replay.Call { return []*replay.Call{answer(call("c", "", "summary"), idA, `{}`)} },
			entry("", idA, "generate", 0, ledger.Done)),
		Entry("two executions of one request", audit.DuplicateExecution, func() []*replay.Call { return []*replay.Call{answer(a(), idA, `{}`)} },
			seal(keyA, idA), seal(keyA, idA)),
		Entry("an execution for each of two tries", audit.DuplicateExecution, func() []*replay.Call {
			first := leaveUnanswered(a())
			return []*replay.Call{first, retry(answer(a(), idA2, `{}`), first)}
		}, seal(keyA, idA), seal(keyA, idA2)),
		Entry("a failed and a completed execution", audit.DuplicateExecution, func() []*replay.Call { return []*replay.Call{answer(a(), idA, `{}`)} },
			entry(keyA, idA, "apply", 0, ledger.Failed), seal(keyA, idA)),
		Entry("two executions without the idempotency key", audit.DuplicateExecution, func() []*replay.Call { return []*replay.Call{answer(a(), idA, `{}`)} },
			seal("", idA), seal("", idA)),
		Entry("an answer with the id of another request", audit.Misdelivered, func() []*replay.Call {
			return []*replay.Call{answer(a(), idA, `{"mark":"`+idB+`"}`), refuse(b(), idB, problem.Ran)}
		}, seal(keyA, idA), seal(keyB, idB)),
		Entry("an answer with the correlation token of another request", audit.Misdelivered, func() []*replay.Call {
			other := refuse(b(), idB, problem.NotRun)
			return []*replay.Call{answer(a(), idA, `{"input":{"text":"`+other.CorrelationToken+`"}}`), other}
		}, seal(keyA, idA)),
		Entry("the same request id in two answers", audit.Misdelivered, func() []*replay.Call {
			return []*replay.Call{answer(a(), idA, `{}`), answer(b(), idA, `{}`)}
		}, seal(keyA, idA), seal(keyB, idB)),
		Entry("an execution for another customer", audit.Misdelivered, func() []*replay.Call { return []*replay.Call{answer(a(), idA, `{}`)} },
			ledger.Entry{RequestID: idA, Stage: "apply", Customer: "town", State: ledger.Done}),
		Entry("a streamed text that differs from the answer", audit.Misdelivered, func() []*replay.Call {
			c := answer(a(), idA, `{}`)
			c.StreamedTextDiffers = true
			return []*replay.Call{c}
		}, seal(keyA, idA)),
		Entry("not_run despite an execution", audit.FalseNotRun, func() []*replay.Call { return []*replay.Call{refuse(a(), idA, problem.NotRun)} },
			seal(keyA, idA)),
		Entry("not_run despite a running execution that started after the refusal", audit.FalseNotRun,
			func() []*replay.Call { return []*replay.Call{refuse(a(), idA, problem.NotRun)} },
			entry(keyA, idA, "apply", time.Minute, ledger.Running)),
		Entry("not_run for a retry whose first try was executed", audit.FalseNotRun, func() []*replay.Call {
			first := refuse(a(), idA, problem.MayHaveRun)
			return []*replay.Call{first, retry(refuse(a(), idA2, problem.NotRun), first)}
		}, seal(keyA, idA)),
	)

	It("accepts not_run for a first try if only a later try was executed", func() {
		first := refuse(a(), idA, problem.NotRun)
		second := retry(answer(a(), idA2, `{}`), first)
		f := audit.Audit([]*replay.Call{first, second},
			[]ledger.Entry{entry(keyA, idA2, "apply", 1100*time.Millisecond, ledger.Done)}, pipelines)
		Expect(f.Violations).To(BeEmpty())
	})

	It("counts completed executions whose caller was informed that they may have run", func() {
		f := audit.Audit([]*replay.Call{refuse(a(), idA, problem.MayHaveRun)}, []ledger.Entry{seal(keyA, idA)}, pipelines)
		Expect(f.Violations).To(BeEmpty())
		Expect(f.Undelivered).To(Equal(1))
	})

	It("ignores calls that were not sent", func() {
		c := a()
		c.Outcome = replay.Skipped
		Expect(audit.Audit([]*replay.Call{c}, nil, pipelines).Violations).To(BeEmpty())
	})
})
