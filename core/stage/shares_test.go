package stage

import (
	"fmt"
	"math"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/catalog"
	"github.com/wheatseam/wheatseam/core/fairshare"
)

// The load of these tests is that of newCustomerSim with a burst of digests between burstFrom
// and burstTo. Digests and chats compete for the services notify and store.
const (
	burstFrom, burstTo, simEnd = 3, 8, 11
	review, digest, chat       = 0, 1, 2
	// chainsPerSecond is the number of digests or chats that notify can execute: 15
	// replicas, a third of which take 1.3 times as long, with calls of 62 pieces;
	// burstCapacity is that in the whole burst.
	chainsPerSecond = 383
	burstCapacity   = chainsPerSecond * (burstTo - burstFrom)
)

// runBurst simulates a burst, with fair shares or without.
func runBurst(seed uint64, shares bool, exponent float64, burst func(*loadSim)) *loadSim {
	s := newCustomerSim(seed, Config{FairShares: shares}, exponent)
	burst(s)
	s.run(simEnd * time.Second)
	return s
}

// compare simulates the same burst without and with fair shares.
func compare(seed uint64, burst func(*loadSim)) (without, with *loadSim) {
	var group sync.WaitGroup
	group.Go(func() { without = runBurst(seed, false, 1.2, burst) })
	group.Go(func() { with = runBurst(seed, true, 1.2, burst) })
	group.Wait()
	return without, with
}

func burstOfAll(factor float64) func(*loadSim) {
	return func(s *loadSim) {
		s.kinds[digest].burst(burstFrom*time.Second, (burstTo-burstFrom)*time.Second, factor)
	}
}

// chains returns the outcomes of a customer's requests that arrived in the burst and
// compete for the scarce service.
func (c *simCustomer) chains() simTally {
	return c.total(burstFrom, burstTo, "digest", "digest-burst", "chat")
}

// belowLevel sums the outcomes of the customers that ask for no more than the fair level of
// a capacity in chains.
func (s *loadSim) belowLevel(capacity float64) simTally {
	var asked []float64
	for _, c := range s.customers {
		asked = append(asked, float64(c.chains().arrived))
	}
	level := fairshare.Level(asked, capacity)
	var sum simTally
	for _, c := range s.customers {
		if t := c.chains(); float64(t.arrived) <= level {
			sum.add(t)
		}
	}
	return sum
}

// onTime returns the number of all requests that were answered on time.
func (s *loadSim) onTime() int {
	n := 0
	for _, k := range s.kinds {
		n += k.total(0, simEnd).onTime
	}
	return n
}

// A burst of digests of all customers asks for 2.6 times what can be executed, as in "What
// was seen" 4 of docs/design/uneven-load.md: small customers lose as much as large ones
// without fair shares. Shares must not cost answers on time.
func TestCustomersBelowTheirShareAreServedInABurst(t *testing.T) {
	RegisterTestingT(t)
	without, with := compare(1, burstOfAll(5.3))
	Expect(without.belowLevel(burstCapacity).answeredShare()).To(BeNumerically("<", 0.6), without.customerTable(burstFrom, burstTo))
	Expect(with.belowLevel(burstCapacity).answeredShare()).To(BeNumerically(">=", 0.95), with.customerTable(burstFrom, burstTo))
	Expect(with.onTime()).To(BeNumerically(">=", without.onTime()))
	Expect(with.kinds[chat].total(burstFrom, burstTo).onTimeShare()).To(BeNumerically(">", 0.85), "the more urgent kind is not refused for the digests of its customers")
	Expect(with.kinds[review].total(0, simEnd).onTimeShare()).To(BeNumerically(">", 0.99))
	Expect(with.kinds[digest].total(burstTo+2, simEnd).onTimeShare()).To(BeNumerically(">", 0.99), "two seconds after the burst all are served as before")
}

// The burst of 2.4 times asks for a little more than can be executed, and the queue absorbs
// part of it: refusing customers beyond the level too soon would cost answers on time.
func TestSharesCostNoAnswersInAMildBurst(t *testing.T) {
	RegisterTestingT(t)
	onTimeWithout, onTimeWith := 0, 0
	for seed := range uint64(2) {
		without, with := compare(seed, burstOfAll(2.4))
		onTimeWithout += without.onTime()
		onTimeWith += with.onTime()
		Expect(with.belowLevel(burstCapacity).answeredShare()).To(BeNumerically(">=", 0.95), with.customerTable(burstFrom, burstTo))
	}
	Expect(onTimeWith).To(BeNumerically(">=", onTimeWithout))
}

// One customer sends ten times its usual number of digests: the others lose at most 2 in
// 100 of their answered requests.
func TestBurstOfOneCustomerCostsTheOthersLittle(t *testing.T) {
	others := func(s *loadSim) (sum simTally) {
		for _, c := range s.customers[1:] {
			sum.add(c.chains())
		}
		return sum
	}
	RegisterTestingT(t)
	quiet := runBurst(1, true, 1.2, func(*loadSim) {})
	without, with := compare(1, func(s *loadSim) {
		s.burstOf(s.customers[0], digest, burstFrom*time.Second, (burstTo-burstFrom)*time.Second, 10)
	})
	Expect(others(with).answeredShare()).To(BeNumerically(">=", 0.98*others(quiet).answeredShare()), with.customerTable(burstFrom, burstTo))
	Expect(others(without).answeredShare()).To(BeNumerically("<", 0.9), without.customerTable(burstFrom, burstTo))
	Expect(with.onTime()).To(BeNumerically(">=", without.onTime()))
	after := with.customers[0].total(burstTo+2, simEnd, "digest")
	Expect(after.onTimeShare()).To(BeNumerically(">", 0.98), "free again within the window after its burst")
}

// All customers burst alike: each gets an equal part within 10 in 100.
func TestCustomersThatBurstAlikeGetEqualParts(t *testing.T) {
	RegisterTestingT(t)
	s := runBurst(1, true, 0, burstOfAll(5.3))
	var sum float64
	for _, c := range s.customers {
		sum += float64(c.chains().onTime + c.chains().late)
	}
	for _, c := range s.customers {
		Expect(float64(c.chains().onTime+c.chains().late)).To(BeNumerically("~", sum/16, 0.1*sum/16), s.customerTable(burstFrom, burstTo))
	}
}

// The planner is lost midway: the next one starts with empty windows, which the owners'
// jobs fill.
func TestSharesAreKeptWhenThePlannerIsLost(t *testing.T) {
	RegisterTestingT(t)
	lose := func(s *loadSim) {
		burstOfAll(5.3)(s)
		s.losePlanner(5 * time.Second)
	}
	without, with := compare(1, lose)
	Expect(with.belowLevel(burstCapacity).answeredShare()).To(BeNumerically(">", without.belowLevel(burstCapacity).answeredShare()+0.3), with.customerTable(burstFrom, burstTo))
	Expect(with.onTime()).To(BeNumerically(">=", without.onTime()))
}

// A customer that is alone gets the full capacity.
func TestCustomerAloneGetsTheFullCapacity(t *testing.T) {
	RegisterTestingT(t)
	alone := func(s *loadSim) {
		burstOfAll(3)(s)
		s.customers = s.customers[:1]
	}
	without, with := compare(1, alone)
	Expect(with.onTime()).To(BeNumerically(">=", without.onTime()))
}

// Result memory binds rather than calls: the capacity that is divided is what the memory
// allows.
func TestShareCapacityFollowsResultMemory(t *testing.T) {
	RegisterTestingT(t)
	var capacityShare float64 // of the capacity by calls
	scarce := func(s *loadSim) {
		p := s.configured.Services["notify"].StageProfile
		p.ResultCapacityBytes /= 3
		for _, r := range s.replicas {
			if r.Service == "notify" {
				r.params.ResultCapacityBytes = p.ResultCapacityBytes
			}
		}
		s.step(s.configured)
		burstOfAll(5.3)(s)
		s.at(7*time.Second, func() {
			notify := s.m.services["notify"]
			if s.config.FairShares {
				calls := fairshare.Window.Seconds() * notify.capacity * notify.pieceSeconds()
				capacityShare = notify.windowCapacity() / calls
			}
		})
	}
	without, with := compare(1, scarce)
	Expect(capacityShare).To(BeNumerically("~", 0.55, 0.15))
	var answered float64
	for _, c := range with.customers {
		answered += float64(c.chains().onTime + c.chains().late)
	}
	Expect(with.belowLevel(answered).answeredShare()).To(BeNumerically(">", without.belowLevel(answered).answeredShare()+0.3), with.customerTable(burstFrom, burstTo))
	Expect(with.onTime()).To(BeNumerically(">=", without.onTime()))
}

// shortHarness returns a harness in which service a is short of capacity: customer "large"
// has filled the queue of its only replica, and a job was refused for overload.
func shortHarness(shares bool) (h *harness, submit func(id, customer string, priority int) *Refused) {
	h = newHarness(pieceParams(1, 0), "x")
	h.m = New(Config{FairShares: shares})
	h.step(Configured{
		Services: map[string]*catalog.Service{"a": pieceParams(1, 0)},
		Replicas: []catalog.Replica{{ID: "a1", Service: "a", Address: "a1:80", FailureDomain: "x", Concurrency: 1}},
	})
	submit = func(id, customer string, priority int) *Refused {
		j := h.newChain(id, Stage{Service: "a", Pieces: 1})
		j.Customer, j.Rank.Customer = customer, priority
		j.Due = h.now.Add(4 * time.Second)
		h.submit(j)
		if r, refused := h.refused[id]; refused {
			return &r
		}
		return nil
	}
	for i := range 30 {
		submit(fmt.Sprint("large", i), "large", 0)
	}
	return h, submit
}

// A refusal for a customer's share names the service, says by how much the share is
// exceeded, and is reported once a second with its customer.
func TestRefusalForAShareIsExplained(t *testing.T) {
	RegisterTestingT(t)
	h, submit := shortHarness(true)
	Expect(submit("small", "small", 0)).To(BeNil())
	r := submit("more", "large", 0)
	Expect(r).NotTo(BeNil())
	Expect(r.Reason).To(Equal(ReasonOverShare))
	Expect(r.Service).To(Equal("a"))
	Expect(r.Share).To(BeNumerically(">", 1))
	Expect(r.RetryAfter).To(BeNumerically(">=", h.m.cfg.MinRetryAfter))
	state := h.m.Shares(h.now, 1)["a"]
	Expect(state.Accounts).To(HaveLen(1))
	Expect(state.Accounts[0].Over).To(BeTrue())
	at, scheduled := h.m.NextTick(h.now)
	Expect(scheduled).To(BeTrue())
	Expect(at).To(BeTemporally("<=", h.now.Add(shareReportInterval)))
	Expect(h.m.Step(h.now.Add(shareReportInterval), Tick{})).To(ContainElement(HaveField("Refused", ConsistOf(HaveField("Customer", "large")))))
}

// A more urgent customer's shares come first, and jobs that an earlier planner started are
// not refused.
func TestUrgentCustomersAndStartedJobsAreNotRefused(t *testing.T) {
	RegisterTestingT(t)
	h, submit := shortHarness(true)
	Expect(submit("late", "large", 1)).NotTo(BeNil())
	started := h.newChain("started", Stage{Service: "a", Pieces: 1}, Stage{Service: "a", Pieces: 1})
	started.Customer, started.Completed = "large", []CompletedPiece{{Stage: 0, Handle: "old/1", Replica: "a1"}}
	h.results["old/1"] = Piece{Job: "started"}
	h.submit(started)
	Expect(h.refused).NotTo(HaveKey("started"))
}

// Without the setting, jobs are refused only for overload, as before.
func TestSharesAreOffByDefault(t *testing.T) {
	RegisterTestingT(t)
	h, submit := shortHarness(false)
	Expect(submit("more", "large", 0)).NotTo(BeNil())
	for id, r := range h.refused {
		Expect(r.Reason).To(Equal(ReasonOverload), id)
		Expect(r.Service).To(BeEmpty())
	}
	Expect(h.m.Shares(h.now, 1)).To(BeEmpty())
	Expect(math.IsInf((&memoryUse{}).capacity(), 1)).To(BeTrue())
}
