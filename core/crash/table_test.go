package crash_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/crash"
	"github.com/wheatseam/wheatseam/core/poison"
)

var start = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func fingerprint(name string) poison.Fingerprint {
	return poison.NewHasher("customer", "POST", "host", name).Sum()
}

// interrupted is an attempt that began at beganMS and ended at endMS.
func interrupted(request string, end crash.End, beganMS, endMS int) crash.Interruption {
	return crash.Interruption{
		Service: "llm", Replica: "r", Address: "r:1", End: end, At: at(endMS), LastHeard: at(beganMS),
		Suspect: poison.Suspect{Subject: fingerprint(request), RunTime: at(endMS).Sub(at(beganMS))},
	}
}

// step is one input of a Table at a time in ms.
type step struct {
	at    int
	apply func(t *crash.Table, now time.Time) []crash.Confirmed
}

func interrupt(at int, request string, end crash.End, began int) step {
	return step{at, func(t *crash.Table, now time.Time) []crash.Confirmed {
		return t.Interrupted(now, interrupted(request, end, began, at))
	}}
}

func check(at int, r crash.CheckResult) step {
	return step{at, func(t *crash.Table, now time.Time) []crash.Confirmed {
		t.Due(now)
		return t.Checked(now, "r", r)
	}}
}

func listed(at int, l crash.Listing) step {
	return step{at, func(t *crash.Table, now time.Time) []crash.Confirmed { return t.Listed(now, "r", l) }}
}

var (
	unknown    = crash.CheckResult{}
	accepted   = crash.CheckResult{Accepted: true}
	refused    = crash.CheckResult{Confirmed: true}
	oneRefusal = crash.CheckResult{PeerRefusals: 1}
)

// own is the result of a check in which this host alone was refused, which last connected to a
// replica at reachedMS.
func own(reachedMS int) crash.CheckResult {
	return crash.CheckResult{OwnRefused: true, ReachedAt: at(reachedMS)}
}

var _ = DescribeTable("evidence of crashes", func(want string, steps ...step) {
	t := &crash.Table{}
	var got []string
	for _, s := range steps {
		for _, c := range s.apply(t, at(s.at)) {
			got = append(got, fmt.Sprintf("%d:%s:%d@%d", s.at, c.Proof, len(c.Suspects), c.At.Sub(start).Milliseconds()))
		}
	}
	Expect(fmt.Sprint(got)).To(Equal("[" + want + "]"))
},
	Entry("refused, as enough hosts agree", "1010:refused:1@1000", interrupt(1000, "x", crash.Broken, 0), check(1010, refused)),
	Entry("refused at two hosts, one of them this one", "1010:refused:1@1000", interrupt(1000, "x", crash.Broken, 0),
		check(1010, crash.CheckResult{PeerRefusals: 1, OwnRefused: true, ReachedAt: at(1005)})),
	Entry("refused here only, by a host that has reached none since", "", interrupt(1000, "x", crash.Broken, 0), check(1010, own(990)), check(1400, own(990)), check(1800, own(990))),
	Entry("refused at one host, twice", "1400:refused_by_one_host:1@1000", interrupt(1000, "x", crash.Broken, 0), check(1010, oneRefusal), check(1150, oneRefusal), check(1400, oneRefusal)),
	Entry("refused at one host, and accepted at another", "", interrupt(1000, "x", crash.Broken, 0), check(1010, oneRefusal), check(1150, accepted), check(1400, oneRefusal)),
	Entry("accepted at once: the answer was aborted", "", interrupt(1000, "x", crash.Broken, 0), check(1010, accepted), listed(4000, crash.Removed)),
	Entry("accepted later: a new process, as the listing shows", "4000:replaced:1@1000", interrupt(1000, "x", crash.Broken, 0),
		check(1010, unknown), check(1800, accepted), listed(4000, crash.Replaced)),
	Entry("accepted later, and removed: it was cut off from the store", "", interrupt(1000, "x", crash.Broken, 0), check(1010, unknown), check(1800, accepted), listed(4000, crash.Removed)),
	Entry("removed", "4000:entry_removed:1@1000", interrupt(1000, "x", crash.Broken, 0), check(1010, unknown), listed(4000, crash.Removed)),
	Entry("removed too late", "", interrupt(1000, "x", crash.Broken, 0), check(1010, unknown), listed(9500, crash.Removed)),
	Entry("draining", "", interrupt(1000, "x", crash.Broken, 0), check(1010, unknown), listed(2000, crash.Draining), listed(4000, crash.Removed)),
	Entry("silent, and refused", "2410:refused:1@2400", interrupt(2400, "x", crash.Stalled, 0), check(2410, refused)),
	Entry("silent, and accepted", "", interrupt(2400, "x", crash.Stalled, 0), check(2410, accepted), listed(4000, crash.Removed)),
	Entry("silent, removed, and unreachable", "", interrupt(2400, "x", crash.Unanswered, 0), listed(4000, crash.Removed), check(4010, unknown)),
	Entry("silent, removed, and refused at one host", "4010:entry_removed:1@1000", interrupt(2400, "x", crash.Unanswered, 0), listed(4000, crash.Removed), check(4010, oneRefusal)),
	Entry("another attempt breaks before the check", "1010:refused:2@1000", interrupt(1000, "x", crash.Broken, 0), interrupt(1002, "y", crash.Broken, 500), check(1010, refused)),
	Entry("another attempt ends silent after the check", "1010:refused:1@1000 3000:refused:1@1000",
		interrupt(1000, "x", crash.Broken, 0), check(1010, refused), interrupt(3000, "y", crash.Stalled, 500)),
	Entry("another attempt was cancelled before the crash", "2010:refused:1@2000",
		interrupt(1000, "y", crash.Unanswered, 0), interrupt(2000, "x", crash.Broken, 0), check(2010, refused)),
	Entry("the same replica crashes again after a restart", "1010:refused:1@1000 3010:refused:1@3000",
		interrupt(1000, "x", crash.Broken, 0), check(1010, refused), interrupt(3000, "x", crash.Broken, 2500), check(3010, refused)),
	Entry("a connection that broke long before the crash", "9010:refused:1@9000",
		interrupt(1000, "y", crash.Broken, 0), check(1010, unknown), check(1150, unknown), check(1400, unknown), check(1800, unknown), check(2500, unknown), check(3400, unknown),
		interrupt(9000, "x", crash.Broken, 8000), check(9010, refused)),
)

var _ = Describe("checks", func() {
	It("come at growing intervals until the result is known, all within the time for the verdict", func() {
		t := &crash.Table{}
		t.Interrupted(start, interrupted("x", crash.Broken, 0, 0))
		var times []time.Duration
		for now, more := start, true; more; {
			due, next := t.Due(now)
			for _, c := range due {
				times = append(times, now.Sub(start))
				t.Checked(now, c.Replica, unknown)
			}
			if len(due) > 0 {
				_, next = t.Due(now)
			}
			now, more = now.Add(next), next > 0
		}
		Expect(len(times)).To(BeNumerically(">=", 4))
		Expect(times[0]).To(Equal(10 * time.Millisecond))
		Expect(times[len(times)-1]).To(BeNumerically("<", 3*time.Second))
	})

	It("keep a bounded state", func() {
		t := &crash.Table{}
		for i := range 2 * crash.MaxReplicas {
			x := interrupted("x", crash.Unanswered, 0, i)
			x.Replica = fmt.Sprint(i)
			for range 2 * crash.MaxInterruptions {
				t.Interrupted(at(i), x)
			}
		}
		Expect(t.Len()).To(Equal(crash.MaxReplicas))
		Expect(t.States(at(0))[0].Attempts).To(Equal(crash.MaxInterruptions))
		t.Due(at(0).Add(2 * crash.Retention))
		Expect(t.Len()).To(BeZero())
	})
})
