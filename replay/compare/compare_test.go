package compare_test

import (
	"bytes"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/replay/compare"
	"github.com/wheatseam/wheatseam/replay/report"
	"github.com/wheatseam/wheatseam/replay/verdict"
)

func TestCompare(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "compare")
}

func set(label string, attainment ...float64) compare.RunSet {
	s := compare.RunSet{Label: label}
	for _, a := range attainment {
		s.Reports = append(s.Reports, &report.Report{
			Trace: "t", Speed: 1, All: report.Group{Attainment: report.Share{Met: 1, Of: 1, Share: a}, Tries: report.Share{Met: 1, Of: 1}},
		})
	}
	return s
}

func cell(c *compare.Comparison, m verdict.Metric, i int) compare.Cell {
	for _, r := range c.Rows {
		if r.Metric == m {
			return r.Cells[i]
		}
	}
	return compare.Cell{}
}

var _ = Describe("Comparison", func() {
	DescribeTable("concludes a change only if all differences have the same sign",
		func(base, other compare.RunSet, judgement compare.Judgement) {
			c, err := compare.New([]compare.RunSet{base, other})
			Expect(err).NotTo(HaveOccurred())
			Expect(cell(c, verdict.Attainment, 1).Judgement).To(Equal(judgement))
		},
		Entry("higher", set("a", .5, .6, .5, .6, .5), set("b", .7, .7, .6, .9, .7), compare.Higher),
		Entry("lower", set("a", .5, .6, .5, .6, .5), set("b", .4, .4, .4, .4, .4), compare.Lower),
		Entry("one pair with the opposite sign", set("a", .5, .6, .5, .6, .5), set("b", .9, .9, .9, .9, .4), compare.NoChange),
		Entry("equal", set("a", .5, .5, .5, .5, .5), set("b", .5, .5, .5, .5, .5), compare.NoChange),
		Entry("four pairs", set("a", .5, .5, .5, .5), set("b", .9, .9, .9, .9), compare.TooFew),
	)

	It("calculates the spreads of the values and of the paired differences", func() {
		c, err := compare.New([]compare.RunSet{set("a", .5, .6, .7), set("b", .6, .8, .7)})
		Expect(err).NotTo(HaveOccurred())
		got := cell(c, verdict.Attainment, 1)
		Expect(got.Values).To(Equal(compare.Spread{Median: .7, Min: .6, Max: .8}))
		Expect(got.Difference.Median).To(BeNumerically("~", .1, 1e-9))
		Expect(got.Difference.Max).To(BeNumerically("~", .2, 1e-9))
		var table bytes.Buffer
		Expect(c.WriteTable(&table)).To(Succeed())
		Expect(table.String()).To(And(ContainSubstring("0.7 [0.6, 0.8]"), ContainSubstring("too few pairs"), ContainSubstring("not measured")))
	})

	It("rejects runs that cannot be paired", func() {
		otherTrace, invalid := set("b", .5), set("b", .5)
		otherTrace.Reports[0].Trace = "u"
		invalid.Reports[0].NotSent = 1
		for message, sets := range map[string][]compare.RunSet{
			"at least two sets": {set("a", .5)},
			"paired":            {set("a", .5, .6), set("b", .5)},
			"another trace":     {set("a", .5), otherTrace},
			"invalid":           {set("a", .5), invalid},
		} {
			_, err := compare.New(sets)
			Expect(err).To(MatchError(ContainSubstring(message)))
		}
	})
})
