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

// end is a replica's end under some requests, that began the given milliseconds
// before.
func crash(seconds float64, replica string, runs map[string]int) poison.End {
	e := poison.End{Service: "llm", Replica: replica, At: at(seconds)}
	for name, ms := range runs {
		e.Suspects = append(e.Suspects, poison.Suspect{Request: request(name), Ran: time.Duration(ms) * time.Millisecond})
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

	It("is the same however the body comes, and another for any other request", func() {
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
	var m *poison.Machine
	BeforeEach(func() { m = &poison.Machine{} })
	quarantined := func(name string, seconds float64) bool {
		_, c := m.Condemned(at(seconds), request(name))
		return c
	}
	recordCrash := func(seconds float64, replica string, runs map[string]int) []poison.Verdict {
		return m.Ended(at(seconds), crash(seconds, replica, runs))
	}

	It("is condemned with the third replica that ends under it", func() {
		Expect(recordCrash(1, "a", map[string]int{"x": 50})).To(BeEmpty())
		Expect(recordCrash(2, "b", map[string]int{"x": 50})).To(BeEmpty())
		Expect(quarantined("x", 2)).To(BeFalse())
		Expect(recordCrash(3, "c", map[string]int{"x": 50})).To(ConsistOf(HaveField("Request", request("x"))))
		Expect(quarantined("x", 3)).To(BeTrue())
		Expect(quarantined("x", 3+poison.Lifetime.Seconds()+1)).To(BeFalse())
	})

	It("counts an end once, whoever reports it, and each start of a replica", func() {
		recordCrash(1, "a", map[string]int{"x": 50})
		recordCrash(1.2, "a", map[string]int{"x": 60})
		recordCrash(1.4, "a", map[string]int{"x": 70})
		Expect(quarantined("x", 2)).To(BeFalse())
		recordCrash(2.5, "a", map[string]int{"x": 50})
		recordCrash(4, "a", map[string]int{"x": 50})
		Expect(quarantined("x", 4)).To(BeTrue())
	})

	It("is condemned before the bystanders that were at the same ends", func() {
		for i, name := range []string{"a", "b", "c"} {
			recordCrash(float64(i), name, map[string]int{"x": 50, "y": 400, fmt.Sprint(i): 20})
		}
		Expect(quarantined("x", 3)).To(BeTrue())
		Expect(quarantined("y", 3)).To(BeFalse())
		By("accounting for the ends that the bystander was at")
		recordCrash(4, "d", map[string]int{"y": 10})
		recordCrash(5, "e", map[string]int{"y": 10})
		Expect(quarantined("y", 5)).To(BeFalse())
		recordCrash(6, "f", map[string]int{"y": 10})
		Expect(quarantined("y", 6)).To(BeTrue())
	})

	It("is tried soon when another one turns out to account for its ends", func() {
		for i, name := range []string{"a", "b", "c"} {
			recordCrash(float64(i), name, map[string]int{"x": 50, "y": 10})
		}
		Expect(quarantined("y", 3)).To(BeTrue(), "it ended them sooner")
		for i, name := range []string{"d", "e", "f"} {
			recordCrash(float64(4+i), name, map[string]int{"x": 50})
		}
		Expect(quarantined("x", 7)).To(BeTrue())
		_, granted := m.Try(at(7), request("y"))
		Expect(granted).To(BeTrue())
		_, granted = m.Try(at(7), request("x"))
		Expect(granted).To(BeFalse())
		Expect(m.Served(at(7.5), request("y"))).To(ConsistOf(HaveField("Lifted", true)))
		Expect(quarantined("y", 8)).To(BeFalse())
	})

	It("is not condemned for ends before a run of it that ended well, here or at the daemon that reports", func() {
		recordCrash(1, "a", map[string]int{"x": 50})
		recordCrash(2, "b", map[string]int{"x": 50})
		m.Served(at(2.5), request("x"))
		recordCrash(3, "c", map[string]int{"x": 50})
		Expect(quarantined("x", 3)).To(BeFalse())
		e := crash(4, "d", map[string]int{"x": 50})
		e.Suspects[0].Served = at(3.5)
		m.Ended(at(4), e)
		recordCrash(5, "e", map[string]int{"x": 50})
		Expect(quarantined("x", 5)).To(BeFalse())
		recordCrash(6, "f", map[string]int{"x": 50})
		Expect(quarantined("x", 6)).To(BeTrue())
	})

	It("is condemned again after it was lifted, by three further ends", func() {
		for i, name := range []string{"a", "b", "c"} {
			recordCrash(float64(i), name, map[string]int{"x": 50})
		}
		m.Served(at(4), request("x"))
		for i, name := range []string{"a", "b", "c"} {
			Expect(quarantined("x", 4)).To(BeFalse())
			recordCrash(float64(5+i), name, map[string]int{"x": 50})
		}
		v, c := m.Condemned(at(8), request("x"))
		Expect(c).To(BeTrue())
		Expect(v.Round).To(Equal(uint32(2)))
	})

	It("is tried a few times only, and a caller is told when", func() {
		for i, name := range []string{"a", "b", "c"} {
			recordCrash(float64(i), name, map[string]int{"x": 50})
		}
		now := at(2)
		for trials := range poison.MaxTrials {
			v, _ := m.Condemned(now, request("x"))
			_, granted := m.Try(now, request("x"))
			Expect(granted).To(BeFalse())
			now = now.Add(v.RetryAfter(now))
			v, granted = m.Try(now, request("x"))
			Expect(granted).To(BeTrue())
			Expect(v.Trials).To(BeEquivalentTo(trials + 1))
		}
		_, granted := m.Try(now.Add(poison.Lifetime), request("x"))
		Expect(granted).To(BeFalse())
	})
})

var _ = Describe("a trial", func() {
	It("that came to no run is granted again, a bounded number of times", func() {
		var m poison.Machine
		for i, name := range []string{"a", "b", "c"} {
			m.Ended(at(float64(i)), crash(float64(i), name, map[string]int{"x": 50}))
		}
		now := at(3).Add(poison.FirstTrial)
		granted := 0
		for ; granted < 100; granted++ {
			if _, ok := m.Try(now, request("x")); !ok {
				break
			}
			_, changed := m.Untried(request("x"))
			Expect(changed).To(Equal(granted < poison.MaxUnusedTrials))
		}
		Expect(granted).To(Equal(poison.MaxUnusedTrials + 1))
		_, changed := m.Untried(request("y"))
		Expect(changed).To(BeFalse())
	})
})

var _ = Describe("verdicts", func() {
	x := request("x")
	verdict := func(change func(*poison.Verdict)) poison.Verdict {
		v := poison.Verdict{Request: x, Round: 1, At: at(1), Since: at(0)}
		if change != nil {
			change(&v)
		}
		return v
	}

	It("merge to the same in any order", func() {
		all := []poison.Verdict{
			verdict(nil), verdict(func(v *poison.Verdict) { v.Lifted = true }), verdict(func(v *poison.Verdict) { v.Trials = 1 }),
			verdict(func(v *poison.Verdict) { v.Trials, v.Untried = 1, 1 }), verdict(func(v *poison.Verdict) { v.Doubtful = true }), verdict(func(v *poison.Verdict) { v.Round = 2 }),
			verdict(func(v *poison.Verdict) { v.Round, v.Trials = 2, 2 }),
		}
		var digests []uint64
		for shift := range all {
			var m poison.Machine
			for i := range all {
				m.Learn(at(2), all[(i+shift)%len(all):][:1])
			}
			digests = append(digests, m.Digest(at(2)))
			Expect(m.Learn(at(2), all)).To(BeEmpty(), "nothing is news twice")
		}
		Expect(digests).To(HaveEach(digests[0]))
	})

	It("are lifted by a machine that has seen a run end well meanwhile", func() {
		var m poison.Machine
		m.Served(at(0.5), x)
		Expect(m.Learn(at(2), []poison.Verdict{verdict(nil)})).To(ConsistOf(HaveField("Lifted", true)))
		_, quarantined := m.Condemned(at(2), x)
		Expect(quarantined).To(BeFalse())
	})

	It("that are too old are not learned, and do not stand in the digest before they go", func() {
		var m poison.Machine
		Expect(m.Learn(at(2).Add(poison.Lifetime), []poison.Verdict{verdict(nil)})).To(BeEmpty())
		m.Learn(at(2), []poison.Verdict{verdict(nil)})
		Expect(m.Digest(at(2))).NotTo(BeZero())
		Expect(m.Digest(at(0).Add(poison.Lifetime))).To(BeZero())
	})

	It("and the evidence are bounded", func() {
		var m poison.Machine
		for i := range 3 * poison.MaxVerdicts {
			now := float64(i)
			for r := range 3 {
				m.Ended(at(now), crash(now, fmt.Sprint(i, r), map[string]int{fmt.Sprint("x", i): 50}))
			}
		}
		for i := range 20_000 {
			m.Served(at(1000), request(fmt.Sprint("s", i)))
		}
		s := m.Stats()
		Expect(s.Verdicts).To(Equal(poison.MaxVerdicts))
		Expect(s.Ends).To(BeNumerically("<=", poison.MaxCrashes))
		Expect(s.Served).To(BeNumerically("<=", 8192))
		runs := map[string]int{}
		for i := range 10 * poison.MaxSuspects {
			runs[fmt.Sprint("r", i)] = 1000 + i
		}
		runs["late"] = 5
		for r := range 3 {
			m.Ended(at(2000), crash(2000, fmt.Sprint("m", r), runs))
		}
		_, quarantined := m.Condemned(at(2000), request("late"))
		Expect(quarantined).To(BeTrue(), "those that began last are kept")
	})
})

var _ = Describe("ends of many replicas at once", func() {
	It("are reported only with the requests that more than one took along", func() {
		few := []poison.End{crash(1, "a", map[string]int{"x": 1}), crash(1, "b", map[string]int{"y": 1})}
		Expect(poison.Reportable(few)).To(Equal(few))
		many := append(few, crash(1, "c", map[string]int{"x": 1, "z": 1}), crash(1, "d", map[string]int{"w": 1}))
		Expect(poison.Reportable(many)).To(HaveExactElements(
			And(HaveField("Replica", "a"), HaveField("Suspects", HaveLen(1))), And(HaveField("Replica", "c"), HaveField("Suspects", HaveLen(1))),
		))
	})
})
