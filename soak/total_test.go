package soak_test

import (
	"bytes"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/soak"
)

// reportWithLosses returns the report of a run with losses, in which streams were taken up after
// them and all went on.
func reportWithLosses(takenUp int) soak.Report {
	return soak.Report{
		WithLosses: true, Losses: 2, TakenUpAfterLoss: takenUp, ContinuedAfterLoss: takenUp, SentAfterLoss: 100, BegunAfterLoss: 90,
		Streams: soak.StreamCounts{
			ByLoss: map[string]soak.CheckedShare{"none": {Attempts: 50, Checked: 50}, "all daemons": {Attempts: takenUp, Checked: takenUp}},
			AfterLoss: soak.TakeUpCounts{
				Attempts: takenUp, Checked: takenUp, ByEvidence: map[string]soak.CheckedShare{"record": {Attempts: takenUp, Checked: takenUp}},
				Refused: map[string]int{"not_ready": 2},
			},
		},
	}
}

// Guards against runs with losses that pass although too few streams were taken up after losses to
// check the guarantees for them.
func TestRunsThatCheckedNoTakenUpStreamsDoNotPass(t *testing.T) {
	g := NewWithT(t)
	g.Expect(reportWithLosses(12).Verdict()).To(Equal(soak.Passed))
	few := reportWithLosses(11)
	g.Expect(few.Verdict()).To(Equal(soak.CheckedNone))
	g.Expect(few.Unchecked()).To(ConsistOf(HavePrefix("lost: 11 ")))
	var out bytes.Buffer
	few.Print(&out)
	g.Expect(out.String()).To(ContainSubstring("checked none of lost: "))
	g.Expect(out.String()).NotTo(ContainSubstring("no violations"))

	refused := reportWithLosses(12)
	refused.Streams.ByLoss["all daemons"] = soak.CheckedShare{Attempts: 12}
	g.Expect(refused.Verdict()).To(Equal(soak.CheckedNone))
	g.Expect(refused.Unchecked()).To(ConsistOf(HavePrefix("order: ")))

	few.Violations = []string{"order: joined"}
	g.Expect(few.Verdict()).To(Equal(soak.Violated))
	g.Expect(soak.Report{}.Verdict()).To(Equal(soak.Passed), "a run without losses")
}

// Guards against totals that leave out what single seeds have checked, or in which a violated or
// unchecked seed counts as passed.
func TestTotalOfRuns(t *testing.T) {
	g := NewWithT(t)
	total := soak.NewTotal()
	total.Add(reportWithLosses(12))
	g.Expect(total.Verdict()).To(Equal(soak.Passed))
	total.Add(reportWithLosses(3))
	g.Expect(total.Verdict()).To(Equal(soak.CheckedNone))
	joined := reportWithLosses(20)
	joined.Violations = []string{"order: joined"}
	joined.Streams.WithFault, joined.Streams.JoinedBy = map[string]int{"joined": 1}, map[string]int{"prompt_kept": 1}
	total.Add(joined)
	g.Expect(total.Verdict()).To(Equal(soak.Violated))

	var out bytes.Buffer
	total.Print(&out)
	g.Expect(out.String()).To(Equal(`1 of 3 seeds passed, 1 with violations, 1 checked none
  6 losses of all daemons: 35 of 35 streams taken up after them went on; 270 of 300 new ones began; 1 streams joined
    by evidence: record 35 of 35
    refused or failed: not_ready 6; not answered 0
    joined by prompt_kept 1
`))
}
