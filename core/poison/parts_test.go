package poison_test

import (
	"fmt"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/poison"
)

var _ = Describe("a part of prompts", func() {
	var m *poison.Detector
	BeforeEach(func() { m = &poison.Detector{} })
	// inForce is when a verdict of the given time is in force.
	inForce := func(seconds float64) float64 { return seconds + poison.ObjectionTime.Seconds() }
	refused := func(name string, seconds float64) bool {
		_, quarantined := m.Quarantined(at(seconds), part(name))
		return quarantined
	}
	// crashAt records a crash of the given replica under one request with the given parts.
	crashAt := func(seconds float64, replica, content string, parts ...string) []poison.Verdict {
		e := crash(seconds, replica, map[string]int{content: 50})
		for _, p := range parts {
			e.Suspects = append(e.Suspects, poison.Suspect{Subject: part(p), Kind: poison.Part, LastSuccess: m.LastSuccess(part(p))})
		}
		return m.RecordCrash(at(seconds), e)
	}
	survive := func(seconds float64, parts ...string) []poison.Verdict {
		var fs []poison.Fingerprint
		for _, p := range parts {
			fs = append(fs, part(p))
		}
		return m.RecordSurvival(at(seconds), at(seconds), fs)
	}

	It("is quarantined with the fourth crash, whatever else the requests hold, and refused a moment later", func() {
		for i := range 4 {
			survive(float64(i), "system")
			Expect(refused("bad", inForce(float64(i)))).To(BeFalse())
			crashAt(float64(i)+0.5, fmt.Sprint("r", i), fmt.Sprint("q", i), "system", fmt.Sprint("doc", i), "bad")
		}
		Expect(refused("bad", 3.6)).To(BeFalse(), "hosts that have seen it survive may object")
		Expect(refused("bad", inForce(3.5))).To(BeTrue())
		Expect(refused("system", inForce(3.5))).To(BeFalse())
	})

	It("is quarantined although requests that hold it were quarantined before", func() {
		for i := range 3 {
			crashAt(float64(i), fmt.Sprint("r", i), "q", "bad")
		}
		_, quarantined := m.Quarantined(at(2), request("q"))
		Expect(quarantined).To(BeTrue())
		crashAt(3, "s", "other", "bad")
		Expect(refused("bad", inForce(3))).To(BeTrue())
	})

	It("is not quarantined while runs with it survive", func() {
		for i := range 20 {
			survive(float64(i), "system")
			crashAt(float64(i)+0.2, fmt.Sprint("r", i), fmt.Sprint("q", i), "system")
			crashAt(float64(i)+0.5, fmt.Sprint("s", i), fmt.Sprint("p", i), "system")
		}
		Expect(refused("system", 30)).To(BeFalse())
	})

	It("is charged once with crashes at the same moment, and only if it ran on all replicas of an outage", func() {
		for i := range 3 {
			for r := range 9 {
				parts := []string{"system"}
				if r > 0 {
					parts = append(parts, "partial")
				}
				crashAt(float64(i)*3, fmt.Sprint("r", r), fmt.Sprint("q", i, r), parts...)
			}
		}
		crashAt(9, "x", "qx", "partial")
		crashAt(12, "y", "qy", "partial")
		crashAt(15, "z", "qz", "partial")
		Expect(refused("system", 20)).To(BeFalse())
		Expect(refused("partial", 20)).To(BeFalse())
		crashAt(18, "z", "qzz", "partial")
		Expect(refused("partial", 20)).To(BeTrue())
	})

	It("is not charged with crashes that took idle replicas too, and nor is a content", func() {
		crashIn := func(seconds float64, replica, content string, idle ...string) []poison.Verdict {
			e := crash(seconds, replica, map[string]int{content: 50})
			e.Suspects = append(e.Suspects, poison.Suspect{Subject: part("p"), Kind: poison.Part})
			for _, r := range idle {
				e.Idle = append(e.Idle, poison.IdleReplica{Replica: r, AnsweredAt: at(seconds - 0.5)})
			}
			return m.RecordCrash(at(seconds), e)
		}
		isQuarantined := func() bool {
			_, quarantined := m.Quarantined(at(30), request("q"))
			return quarantined
		}
		for i := range 5 {
			crashIn(float64(i), "a", "q", "b", "c", "d")
		}
		Expect(isQuarantined()).To(BeFalse())
		Expect(refused("p", 30)).To(BeFalse())

		By("not counting replicas that had crashed since they answered")
		crashIn(4.3, "z", "q", "b", "c", "d")
		Expect(isQuarantined()).To(BeFalse(), "one crash counts")
		By("not counting replicas that crashed under runs")
		crashIn(6, "a", "q", "b", "c", "d")
		m.RecordCrash(at(6.2), crash(6.2, "d", map[string]int{"other": 50}))
		crashIn(8, "a", "q", "b", "c")
		Expect(isQuarantined()).To(BeTrue(), "three crashes count")

		By("lifting the verdict when the check of the idle replicas comes later")
		changed := crashIn(8, "a", "q", "b", "c", "d")
		Expect(changed).To(ContainElement(And(HaveField("Subject", request("q")), HaveField("Lifted", true))))
		Expect(isQuarantined()).To(BeFalse())
	})

	// Guards against two coordinators that quarantine and lift in turn, as one of them does not know
	// of the idle replicas.
	It("is not quarantined again from the crashes from which another detector lifted it", func() {
		var other poison.Detector
		withIdle := func(i int, r string) poison.Crash {
			e := crash(float64(i), r, map[string]int{"q": 50})
			for _, idle := range []string{"b", "c", "d"} {
				e.Idle = append(e.Idle, poison.IdleReplica{Replica: idle, AnsweredAt: at(float64(i) - 0.5)})
			}
			return e
		}
		var lifted []poison.Verdict
		for i, r := range []string{"e", "f", "g"} {
			m.RecordCrash(at(float64(i)), crash(float64(i), r, map[string]int{"q": 50}))
			other.RecordCrash(at(float64(i)), crash(float64(i), r, map[string]int{"q": 50}))
		}
		for i, r := range []string{"e", "f", "g"} {
			lifted = append(lifted, other.RecordCrash(at(3), withIdle(i, r))...)
		}
		Expect(lifted).To(ConsistOf(HaveField("Lifted", true)))
		Expect(m.Merge(at(3), lifted)).To(HaveEach(HaveField("Lifted", true)))
		_, quarantined := m.Quarantined(at(3), request("q"))
		Expect(quarantined).To(BeFalse())
		m.RecordCrash(at(5), crash(5, "h", map[string]int{"q": 50}))
		_, quarantined = m.Quarantined(at(5), request("q"))
		Expect(quarantined).To(BeTrue(), "after another crash")
	})

	// Guards against a host that knows a few of the crashes and lifts what a coordinator decided
	// from all of them.
	It("is not released by a detector that does not know of the crashes behind the verdict", func() {
		idle := crash(0, "a", map[string]int{"q": 50})
		for _, r := range []string{"b", "c", "d"} {
			idle.Idle = append(idle.Idle, poison.IdleReplica{Replica: r, AnsweredAt: at(-1)})
		}
		var other poison.Detector
		other.RecordCrash(at(0), idle)
		other.RecordCrash(at(1), crash(1, "e", map[string]int{"q": 50}))
		var verdicts []poison.Verdict
		m.RecordCrash(at(0), idle)
		for i, r := range []string{"e", "f", "g"} {
			verdicts = append(verdicts, m.RecordCrash(at(float64(1+i)), crash(float64(1+i), r, map[string]int{"q": 50}))...)
		}
		Expect(verdicts).To(HaveLen(1))
		Expect(other.Merge(at(4), verdicts)).To(HaveLen(1))
		_, quarantined := other.Quarantined(at(4), request("q"))
		Expect(quarantined).To(BeTrue())
	})

	It("is released by a detector that has seen it survive, and its crashes count for the other subjects", func() {
		var other poison.Detector
		other.RecordSurvival(at(5), at(2.5), []poison.Fingerprint{part("system")})
		var verdicts []poison.Verdict
		for i := range 4 {
			content := fmt.Sprint("q", i)
			if i > 0 {
				verdicts = append(verdicts, crashAt(float64(i), fmt.Sprint("r", i), content, "system", "bad")...)
				continue
			}
			verdicts = append(verdicts, crashAt(float64(i), fmt.Sprint("r", i), content, "system")...)
		}
		Expect(verdicts).To(ConsistOf(HaveField("Subject", part("system"))))
		objection := other.Merge(at(3.1), verdicts)
		Expect(objection).To(ConsistOf(And(HaveField("Lifted", true), HaveField("LastSuccess", at(2.5)))))
		m.Merge(at(3.2), objection)
		Expect(refused("system", inForce(3.2))).To(BeFalse())
		crashAt(4, "r4", "q4", "system", "bad")
		Expect(refused("bad", inForce(4))).To(BeTrue())
		Expect(refused("system", inForce(4))).To(BeFalse())
	})

	It("is released when a later crash shows that another part explains all of its crashes", func() {
		survive(0, "system", "popular")
		for i := range 5 {
			crashAt(float64(i)+1, fmt.Sprint("r", i), fmt.Sprint("q", i), "system", "popular")
		}
		first := slices.IndexFunc([]string{"system", "popular"}, func(p string) bool { return refused(p, inForce(5)) })
		Expect(first).To(BeNumerically(">=", 0))
		wrong, right := []string{"system", "popular"}[first], []string{"popular", "system"}[first]
		crashAt(6, "x", "qx", right)
		Expect(refused(right, inForce(6))).To(BeTrue())
		Expect(refused(wrong, inForce(6))).To(BeFalse())
	})

	It("has one trial soon, and one later", func() {
		for i := range 4 {
			crashAt(float64(i), fmt.Sprint("r", i), fmt.Sprint("q", i), "bad")
		}
		_, granted := m.GrantTrial(at(3).Add(poison.DoubtfulTrial), part("bad"))
		Expect(granted).To(BeTrue())
		_, granted = m.GrantTrial(at(4).Add(poison.FirstTrial), part("bad"))
		Expect(granted).To(BeFalse())
		Expect(survive(5.5, "bad")).To(ConsistOf(HaveField("Lifted", true)))
		Expect(refused("bad", 6)).To(BeFalse())
	})
})
