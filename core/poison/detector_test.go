package poison_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/poison"
)

func TestPoison(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "poison")
}

var start = time.Unix(1_000_000, 0)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

func request(name string) poison.Fingerprint {
	return poison.NewHasher("customer", "POST", "host", name).Sum()
}

// crash is a replica's crash while it ran the given requests, whose runs began the given
// numbers of milliseconds before.
func crash(seconds float64, replica string, runs map[string]int) poison.Crash {
	e := poison.Crash{Service: "llm", Replica: replica, At: at(seconds)}
	for name, ms := range runs {
		e.Suspects = append(e.Suspects, poison.Suspect{Subject: request(name), RunTime: time.Duration(ms) * time.Millisecond})
	}
	return e
}

var _ = Describe("a fingerprint", func() {
	sum := func(customer, method, host, target string, body ...string) poison.Fingerprint {
		h := poison.NewHasher(customer, method, host, target)
		for _, b := range body {
			_, err := h.Write([]byte(b))
			Expect(err).NotTo(HaveOccurred())
		}
		return h.Sum()
	}

	It("does not depend on how the body is chunked, and differs for any other request", func() {
		one := sum("c", "POST", "h", "/p", "body")
		Expect(sum("c", "POST", "h", "/p", "bo", "dy")).To(Equal(one))
		for _, other := range []poison.Fingerprint{
			sum("d", "POST", "h", "/p", "body"), sum("c", "GET", "h", "/p", "body"), sum("c", "POST", "i", "/p", "body"),
			sum("c", "POST", "h", "/q", "body"), sum("c", "POST", "h", "/p", "bodies"), sum("cP", "OST", "h", "/p", "body"),
			sum("c", "POST", "h", "/pb", "ody"),
		} {
			Expect(other).NotTo(Equal(one))
		}
	})
})

var _ = Describe("a request", func() {
	var m *poison.Detector
	BeforeEach(func() { m = &poison.Detector{} })
	quarantined := func(name string, seconds float64) bool {
		_, c := m.Quarantined(at(seconds), request(name))
		return c
	}
	recordCrash := func(seconds float64, replica string, runs map[string]int) []poison.Verdict {
		return m.RecordCrash(at(seconds), crash(seconds, replica, runs))
	}

	It("is quarantined when the third replica crashes while running it", func() {
		Expect(recordCrash(1, "a", map[string]int{"x": 50})).To(BeEmpty())
		Expect(recordCrash(2, "b", map[string]int{"x": 50})).To(BeEmpty())
		Expect(quarantined("x", 2)).To(BeFalse())
		Expect(recordCrash(3, "c", map[string]int{"x": 50})).To(ConsistOf(HaveField("Subject", request("x"))))
		Expect(quarantined("x", 3)).To(BeTrue())
		Expect(quarantined("x", 3+poison.Lifetime.Seconds()+1)).To(BeFalse())
	})

	It("counts a crash once however many reports there are, and repeated crashes of a replica separately", func() {
		recordCrash(1, "a", map[string]int{"x": 50})
		recordCrash(1.2, "a", map[string]int{"x": 60})
		recordCrash(1.4, "a", map[string]int{"x": 70})
		Expect(quarantined("x", 2)).To(BeFalse())
		recordCrash(2.5, "a", map[string]int{"x": 50})
		recordCrash(4, "a", map[string]int{"x": 50})
		Expect(quarantined("x", 4)).To(BeTrue())
	})

	It("is quarantined before bystanders of the same crashes", func() {
		for i, name := range []string{"a", "b", "c"} {
			recordCrash(float64(i), name, map[string]int{"x": 50, "y": 400, fmt.Sprint(i): 20})
		}
		Expect(quarantined("x", 3)).To(BeTrue())
		Expect(quarantined("y", 3)).To(BeFalse())
		By("attributing the crashes to it that the bystander was involved in")
		m.RecordSuccess(at(3.5), request("y"))
		recordCrash(4, "d", map[string]int{"y": 10})
		recordCrash(5, "e", map[string]int{"y": 10})
		Expect(quarantined("y", 5)).To(BeFalse())
		recordCrash(6, "f", map[string]int{"y": 10})
		Expect(quarantined("y", 6)).To(BeTrue())
	})

	It("is quarantined as soon as it explains more crashes than the bystander quarantined before", func() {
		for i, name := range []string{"a", "b", "c"} {
			recordCrash(float64(i), name, map[string]int{"x": 50, "y": 400})
		}
		Expect(quarantined("y", 3)).To(BeFalse())
		recordCrash(4, "d", map[string]int{"y": 10})
		Expect(quarantined("y", 4)).To(BeTrue(), "four replicas crashed while running it, and no run succeeded")
		_, granted := m.GrantTrial(at(4), request("x"))
		Expect(granted).To(BeTrue(), "the other one may have been a bystander")
	})

	It("gets an early trial when its crashes are later attributed to another request", func() {
		for i, name := range []string{"a", "b", "c"} {
			recordCrash(float64(i), name, map[string]int{"x": 50, "y": 10})
		}
		Expect(quarantined("y", 3)).To(BeTrue(), "its runs were shorter")
		for i, name := range []string{"d", "e", "f"} {
			recordCrash(float64(4+i), name, map[string]int{"x": 50})
		}
		Expect(quarantined("x", 7)).To(BeTrue())
		_, granted := m.GrantTrial(at(7), request("y"))
		Expect(granted).To(BeTrue())
		_, granted = m.GrantTrial(at(7), request("x"))
		Expect(granted).To(BeFalse())
		Expect(m.RecordSuccess(at(7.5), request("y"))).To(ConsistOf(HaveField("Lifted", true)))
		Expect(quarantined("y", 8)).To(BeFalse())
	})

	It("is not quarantined for crashes before a successful run, here or at the reporting daemon", func() {
		recordCrash(1, "a", map[string]int{"x": 50})
		recordCrash(2, "b", map[string]int{"x": 50})
		m.RecordSuccess(at(2.5), request("x"))
		recordCrash(3, "c", map[string]int{"x": 50})
		Expect(quarantined("x", 3)).To(BeFalse())
		e := crash(4, "d", map[string]int{"x": 50})
		e.Suspects[0].LastSuccess = at(3.5)
		m.RecordCrash(at(4), e)
		recordCrash(5, "e", map[string]int{"x": 50})
		Expect(quarantined("x", 5)).To(BeFalse())
		recordCrash(6, "f", map[string]int{"x": 50})
		Expect(quarantined("x", 6)).To(BeTrue())
	})

	It("is quarantined again by three further crashes after its verdict was lifted", func() {
		for i, name := range []string{"a", "b", "c"} {
			recordCrash(float64(i), name, map[string]int{"x": 50})
		}
		m.RecordSuccess(at(4), request("x"))
		for i, name := range []string{"a", "b", "c"} {
			Expect(quarantined("x", 4)).To(BeFalse())
			recordCrash(float64(5+i), name, map[string]int{"x": 50})
		}
		v, c := m.Quarantined(at(8), request("x"))
		Expect(c).To(BeTrue())
		Expect(v.Round).To(Equal(uint32(2)))
	})

	It("gets a bounded number of trials, at the times that callers are told", func() {
		for i, name := range []string{"a", "b", "c"} {
			recordCrash(float64(i), name, map[string]int{"x": 50})
		}
		now := at(2)
		for trials := range poison.MaxTrials {
			v, _ := m.Quarantined(now, request("x"))
			_, granted := m.GrantTrial(now, request("x"))
			Expect(granted).To(BeFalse())
			now = now.Add(v.RetryAfter(now))
			v, granted = m.GrantTrial(now, request("x"))
			Expect(granted).To(BeTrue())
			Expect(v.Trials).To(BeEquivalentTo(trials + 1))
		}
		_, granted := m.GrantTrial(now.Add(poison.Lifetime), request("x"))
		Expect(granted).To(BeFalse())
	})
})

var _ = Describe("a trial", func() {
	It("that led to no run is granted again, a bounded number of times", func() {
		var m poison.Detector
		for i, name := range []string{"a", "b", "c"} {
			m.RecordCrash(at(float64(i)), crash(float64(i), name, map[string]int{"x": 50}))
		}
		now := at(3).Add(poison.FirstTrial)
		granted := 0
		for ; granted < 100; granted++ {
			if _, ok := m.GrantTrial(now, request("x")); !ok {
				break
			}
			_, changed := m.ReturnTrial(request("x"))
			Expect(changed).To(Equal(granted < poison.MaxUnusedTrials))
		}
		Expect(granted).To(Equal(poison.MaxUnusedTrials + 1))
		_, changed := m.ReturnTrial(request("y"))
		Expect(changed).To(BeFalse())
	})
})

var _ = Describe("verdicts", func() {
	x := request("x")
	verdict := func(change func(*poison.Verdict)) poison.Verdict {
		v := poison.Verdict{Subject: x, Round: 1, QuarantinedAt: at(1), FirstCrash: at(0)}
		if change != nil {
			change(&v)
		}
		return v
	}

	It("converge for every rotation of the merge order", func() {
		all := []poison.Verdict{
			verdict(nil), verdict(func(v *poison.Verdict) { v.Lifted = true }), verdict(func(v *poison.Verdict) { v.Trials = 1 }),
			verdict(func(v *poison.Verdict) { v.Trials, v.UnusedTrials = 1, 1 }), verdict(func(v *poison.Verdict) { v.Doubtful = true }), verdict(func(v *poison.Verdict) { v.Round = 2 }),
			verdict(func(v *poison.Verdict) { v.Round, v.Trials = 2, 2 }),
		}
		var digests []uint64
		for shift := range all {
			var m poison.Detector
			for i := range all {
				m.Merge(at(2), all[(i+shift)%len(all):][:1])
			}
			digests = append(digests, m.Digest(at(2)))
			Expect(m.Merge(at(2), all)).To(BeEmpty(), "a verdict is merged once")
		}
		Expect(digests).To(HaveEach(digests[0]))
	})

	It("are lifted by a detector that has recorded a later successful run", func() {
		var m poison.Detector
		m.RecordSuccess(at(0.5), x)
		Expect(m.Merge(at(2), []poison.Verdict{verdict(nil)})).To(ConsistOf(HaveField("Lifted", true)))
		_, quarantined := m.Quarantined(at(2), x)
		Expect(quarantined).To(BeFalse())
	})

	It("are not merged after their lifetime, and leave the digest before they expire", func() {
		var m poison.Detector
		Expect(m.Merge(at(2).Add(poison.Lifetime), []poison.Verdict{verdict(nil)})).To(BeEmpty())
		m.Merge(at(2), []poison.Verdict{verdict(nil)})
		Expect(m.Digest(at(2))).NotTo(BeZero())
		Expect(m.Digest(at(0).Add(poison.Lifetime))).To(BeZero())
	})

	It("and evidence are bounded in number", func() {
		var m poison.Detector
		for i := range 3 * poison.MaxVerdicts {
			now := float64(i)
			for r := range 3 {
				m.RecordCrash(at(now), crash(now, fmt.Sprint(i, r), map[string]int{fmt.Sprint("x", i): 50}))
			}
		}
		for i := range 20_000 {
			m.RecordSuccess(at(1000), request(fmt.Sprint("s", i)))
		}
		s := m.Stats()
		Expect(s.Verdicts).To(Equal(poison.MaxVerdicts))
		Expect(s.Crashes).To(BeNumerically("<=", poison.MaxCrashes))
		Expect(s.Successes).To(BeNumerically("<=", 8192))
		runs := map[string]int{}
		for i := range 10 * poison.MaxSuspects {
			runs[fmt.Sprint("r", i)] = 1000 + i
		}
		runs["late"] = 5
		for r := range 3 {
			m.RecordCrash(at(2000), crash(2000, fmt.Sprint("m", r), runs))
		}
		_, quarantined := m.Quarantined(at(2000), request("late"))
		Expect(quarantined).To(BeTrue(), "the runs that began last are kept")
	})
})

var _ = Describe("simultaneous crashes of many replicas", func() {
	It("are reported only with the requests that ran on more than one of them", func() {
		few := []poison.Crash{crash(1, "a", map[string]int{"x": 1}), crash(1, "b", map[string]int{"y": 1})}
		Expect(poison.Reportable(few)).To(Equal(few))
		many := append(few, crash(1, "c", map[string]int{"x": 1, "z": 1}), crash(1, "d", map[string]int{"w": 1}))
		Expect(poison.Reportable(many)).To(HaveExactElements(
			And(HaveField("Replica", "a"), HaveField("Suspects", HaveLen(1))), And(HaveField("Replica", "c"), HaveField("Suspects", HaveLen(1))),
		))
	})
})
