package verdict_test

import (
	"bytes"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/replay/audit"
	"github.com/wheatseam/wheatseam/replay/report"
	"github.com/wheatseam/wheatseam/replay/verdict"
)

func TestVerdict(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "verdict")
}

func exampleReport() *report.Report {
	group := report.Group{
		Attainment: report.Share{Met: 90, Of: 100, Share: 0.9}, Tries: report.Share{Met: 90, Of: 120, Share: 0.75}, Refused: 30,
		Latency: report.Quantiles{Count: 90, P50: 20, P99: 80}, Refusal: report.Quantiles{Count: 30, P50: 3, P99: 9},
	}
	return &report.Report{
		Trace: "t", All: group, Pipelines: map[string]report.Group{"seal": {Attainment: report.Share{Share: 1}, Tries: report.Share{Of: 1}}},
		Stages: []report.StageCost{
			{Stage: "rank", All: report.Spent{Calls: 3, EngineSeconds: 30}, Hedges: report.Spent{EngineSeconds: 3}, WastedShare: 0.1},
			{Stage: "write", All: report.Spent{Calls: 3, EngineSeconds: 10}, Late: report.Spent{EngineSeconds: 5}, WastedShare: 0.5},
		},
		Timeline:   []report.Second{{At: 0, Sent: 10, Attained: 10}, {At: 1, Sent: 10}, {At: 2, Sent: 10, Attained: 5}},
		Violations: report.Violations{Total: 2, ByKind: map[audit.Kind]int{audit.DuplicateExecution: 2}},
	}
}

func evaluate(outcome string) verdict.Verdict {
	GinkgoHelper()
	o, err := verdict.Parse([]byte("trace: t\noutcomes:\n  - " + outcome))
	Expect(err).NotTo(HaveOccurred())
	return o.Evaluate(exampleReport())
}

var _ = Describe("Verdict", func() {
	DescribeTable("compares a metric with its limits",
		func(outcome string, value float64, met bool) {
			v := evaluate(outcome)
			Expect(v.Results[0].Value).To(BeNumerically("~", value, 1e-9))
			Expect(v.Met()).To(Equal(met))
		},
		Entry("min reached", "{metric: attainment, min: 0.9}", 0.9, true),
		Entry("below min", "{metric: attainment, min: 0.91}", 0.9, false),
		Entry("max kept", "{metric: refusal_p50_ms, max: 3}", 3.0, true),
		Entry("above max", "{metric: refusal_p99_ms, max: 8}", 9.0, false),
		Entry("by pipeline", "{metric: attainment, pipeline: seal, min: 1}", 1.0, true),
		Entry("tries", "{metric: tries_attainment, min: 0.7}", 0.75, true),
		Entry("refused", "{metric: refused_share, max: 0.2}", 0.25, false),
		Entry("window", "{metric: windowed_attainment, from_s: 1, to_s: 3, min: 0.5}", 0.25, false),
		Entry("stage", "{metric: wasted_share, stage: write, max: 0.5}", 0.5, true),
		Entry("all stages", "{metric: wasted_share, max: 0.1}", 0.2, false),
		Entry("cost", "{metric: engine_seconds, max: 40}", 40.0, true),
		Entry("violations", "{metric: violations, max: 0}", 2.0, false),
		Entry("violations of a kind", "{metric: violations, kind: lost, max: 0}", 0.0, true),
	)

	DescribeTable("is not met if there is no value",
		func(outcome string) { Expect(evaluate(outcome).Met()).To(BeFalse()) },
		Entry("customer", "{metric: attainment, customer: nobody, min: 0}"),
		Entry("tokens", "{metric: first_token_p50_ms, max: 1000}"),
		Entry("stage", "{metric: wasted_share, stage: none, max: 1}"),
		Entry("window", "{metric: windowed_attainment, from_s: 50, min: 0}"),
		Entry("kind", "{metric: violations, kind: luck, max: 9}"),
	)

	DescribeTable("is not met for an invalid run, regardless of the metrics",
		func(invalidate func(*report.Report)) {
			r := exampleReport()
			invalidate(r)
			o, err := verdict.Parse([]byte("trace: t\noutcomes: [{metric: attainment, min: 0}]"))
			Expect(err).NotTo(HaveOccurred())
			v := o.Evaluate(r)
			Expect(v.InvalidReasons).To(HaveLen(1))
			Expect(v.Met()).To(BeFalse())
			var text bytes.Buffer
			Expect(v.Write(&text)).To(Succeed())
			Expect(text.String()).To(And(ContainSubstring("void"), ContainSubstring("verdict: NOT MET")))
		},
		Entry("another trace", func(r *report.Report) { r.Trace = "u" }),
		Entry("requests that were not sent", func(r *report.Report) { r.NotSent = 1 }),
		Entry("a fault that was not injected", func(r *report.Report) { r.Faults = []report.Fault{{Error: "refused"}} }),
	)

	DescribeTable("rejects invalid outcomes",
		func(text, message string) {
			_, err := verdict.Parse([]byte(text))
			Expect(err).To(MatchError(ContainSubstring(message)))
		},
		Entry("none", "trace: t", "no outcomes"),
		Entry("metric", "outcomes: [{metric: luck, min: 1}]", `unknown metric "luck"`),
		Entry("bounds", "outcomes: [{metric: attainment}]", "neither min nor max"),
		Entry("member", "outcomes: [{metric: attainment, least: 1}]", "least"),
		Entry("both", "outcomes: [{metric: attainment, min: 1, pipeline: a, customer: b}]", "mutually exclusive"),
		Entry("stage", "outcomes: [{metric: attainment, min: 1, stage: a}]", "no stage"),
		Entry("kind", "outcomes: [{metric: goodput, min: 1, kind: a}]", "no kind"),
		Entry("pipeline", "outcomes: [{metric: goodput, min: 1, pipeline: a}]", "no pipeline"),
		Entry("window", "outcomes: [{metric: attainment, min: 1, from_s: 3}]", "from_s"),
	)

	It("prints each outcome with its value", func() {
		var text strings.Builder
		Expect(evaluate("{metric: attainment, pipeline: seal, min: 1}").Write(&text)).To(Succeed())
		Expect(text.String()).To(Equal("ok   attainment{pipeline=seal} = 1, min 1\nverdict: met\n"))
	})
})
