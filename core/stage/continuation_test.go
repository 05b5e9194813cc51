package stage

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// newShort returns a harness whose only replica of a has as many jobs of customer c as are admitted,
// and the refusal of the next one.
func newShort(c Config) (*harness, Refused) {
	h := newConfiguredHarness(c, pieceParams(4, 0), "x")
	for n := 0; ; n++ {
		id := fmt.Sprint("new-", n)
		h.submit(h.jobOf(id, "c"))
		if r, refused := h.refused[id]; refused {
			return h, r
		}
	}
}

func (h *harness) jobOf(id, customer string) Job {
	j := h.newChain(id, Stage{Service: "a", Pieces: 4})
	j.Customer = customer
	return j
}

// resume returns a job that continues a stream, due at the same time as a new one.
func (h *harness) resume(id, customer string) Job {
	j := h.jobOf(id, customer)
	j.ContinuesStream, j.Latest = true, j.Deadline
	return j
}

// A caller that holds the beginning of an answer is owed the rest of it: its job is admitted, and
// executed next, where a new one of the same age is refused.
func TestContinuationsGoAheadOfNewWork(t *testing.T) {
	for _, c := range []struct {
		config Config
		reason Reason
	}{{Config{}, ReasonOverload}, {Config{FairShares: true}, ReasonOverShare}} {
		RegisterTestingT(t)
		h, r := newShort(c.config)
		Expect(r.Reason).To(Equal(c.reason))
		h.submit(h.resume("resumed", "c"))
		Expect(h.refused).NotTo(HaveKey("resumed"))
		Expect(h.answer(h.running[0].Call)[0].Pieces[0].Job).To(Equal("resumed"))
		h.answer(h.running[0].Call)
		Expect(h.ready["resumed"].Preferred).To(BeTrue())
	}
}

// Nothing is executed for a rest that can't be complete in time, and none of it is charged.
func TestContinuationsAreRefusedOnceTheyAreOfNoUse(t *testing.T) {
	RegisterTestingT(t)
	h := newHarness(pieceParams(4, 0), "x")
	j := h.resume("resumed", "c")
	j.Due = h.now.Add(100 * time.Millisecond)
	j.Latest = j.Due
	Expect(h.submit(j)).To(BeEmpty())
	Expect(h.refused["resumed"]).To(And(HaveField("Reason", ReasonOverload), HaveField("Preferred", true)))
	Expect(h.m.services["a"].continuations.Admitted(h.now)).To(BeZero())
	// One that waits is given up when its time is over, not later.
	busy := h.submit(h.jobOf("new", "c"))[0]
	late := h.resume("late", "c")
	late.Latest = h.now.Add(time.Second)
	late.Due = late.Latest
	h.submit(late)
	h.advance(time.Second)
	Expect(h.refused).To(HaveKey("late"))
	h.answer(busy.Call)
}

// A planner that takes a job over charges it once, and for the pieces that are left.
func TestContinuationsAreChargedForWhatIsLeft(t *testing.T) {
	RegisterTestingT(t)
	h := newHarness(pieceParams(4, 0), "x")
	j := h.resume("resumed", "c")
	j.Completed = []CompletedPiece{{Stage: 0, Index: 0, Handle: "old/1", Replica: "a1"}}
	h.results["old/1"] = Piece{Job: "resumed"}
	h.submit(j)
	h.submit(j)
	a := h.m.services["a"]
	Expect(a.continuations.Admitted(h.now)).To(BeNumerically("~", 3*a.pieceSeconds(), 1e-6))
	Expect(h.m.Continuations(h.now, 1)["a"].Accounts).To(ConsistOf(HaveField("Customer", "c")))
	Expect(h.m.Shares(h.now, 1)).To(BeEmpty())
}

// Guards against new work that is refused for its share of nothing though its replicas are idle, since
// others left after continuations had been admitted.
func TestNewWorkKeepsItsShareWhenCapacityFalls(t *testing.T) {
	RegisterTestingT(t)
	h := newConfiguredHarness(Config{FairShares: true}, pieceParams(4, 0), slices.Repeat([]string{"x"}, 10)...)
	for i := range 25 {
		h.submit(h.resume(fmt.Sprint("resumed-", i), "c"))
	}
	for len(h.ready) < 25 {
		h.now = h.now.Add(300 * time.Millisecond)
		for _, r := range slices.Clone(h.running) {
			h.answer(r.Call)
		}
	}
	s := h.m.services["a"]
	for _, r := range s.replicas[2:] {
		r.suspectUntil = h.now.Add(time.Hour)
	}
	s.capacityAt = time.Time{}
	s.shareTable().NoteOverload(h.now)
	h.submit(h.jobOf("new", "d"))
	Expect(s.continuations.Admitted(h.now)).To(BeNumerically(">", s.windowCapacity()))
	Expect(h.refused).NotTo(HaveKey("new"))
}

// Callers take streams up as often as they like. One customer's flood of them leaves new work about
// half of the capacity, and the other customers' continuations theirs.
func TestFloodOfContinuationsIsBounded(t *testing.T) {
	for _, shares := range []bool{false, true} {
		t.Run(fmt.Sprint("fair shares ", shares), func(t *testing.T) {
			RegisterTestingT(t)
			s := newCustomerSim(1, Config{FairShares: shares}, 1.2)
			burstOfAll(2.4)(s)
			s.addContinuations("resumed", 40, nil)
			flood := s.addContinuations("repeated", 4*chainsPerSecond, s.customers[0])
			s.run(simEnd * time.Second)
			var others simTally
			for _, c := range s.customers[1:] {
				others.add(c.total(burstFrom, burstTo, "resumed"))
			}
			answered := func(k *simKind) float64 {
				sum := k.total(burstFrom, burstTo)
				return float64(sum.onTime + sum.late)
			}
			fresh := answered(s.kinds[digest]) + answered(s.kinds[chat])
			t.Logf("part of the capacity: new work %.3f, flood %.3f; others answered %.3f", fresh/burstCapacity, answered(flood)/burstCapacity, others.answeredShare())
			Expect(fresh / burstCapacity).To(BeNumerically(">", 0.45))
			Expect(answered(flood) / burstCapacity).To(BeNumerically("<=", continuationShare))
			Expect(others.answeredShare()).To(BeNumerically(">", 0.9))
		})
	}
}

// addContinuations adds requests that continue streams, with the stages of digests, of one customer
// or of all.
func (s *loadSim) addContinuations(name string, rate float64, of *simCustomer) *simKind {
	k := *s.kinds[digest]
	k.name, k.continues, k.customer = name, true, of
	k.rate = func(time.Duration) float64 { return rate }
	s.kinds = append(s.kinds, &k)
	return &k
}
