package stall_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/wheatseam/wheatseam/core/stall"
)

func TestStall(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Stall")
}

var (
	start  = time.Unix(1000, 0)
	config = stall.Config{
		QueryAfter: 600 * time.Millisecond, QueryInterval: 300 * time.Millisecond, SuspectTimeout: 800 * time.Millisecond,
		MaxSilence: 2 * time.Second, ReserveRetryInterval: 200 * time.Millisecond,
	}
)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

var _ = Describe("a silent attempt", func() {
	var m *stall.Monitor
	BeforeEach(func() { m = stall.New(start, config) })

	It("queries its replica before the suspect timeout, with one query at a time", func() {
		Expect(m.Tick(at(599))).To(Equal(stall.None))
		Expect(m.Next(at(599))).To(Equal(at(600)))
		Expect(m.Tick(at(600))).To(Equal(stall.Query))
		Expect(m.Tick(at(1000))).To(Equal(stall.None), "one query at a time")
	})

	DescribeTable("is abandoned at a suspected replica once another run is reserved", func(a stall.RunStatus) {
		Expect(m.Tick(at(600))).To(Equal(stall.Query))
		m.RecordStatus(at(600), a)
		Expect(m.Tick(at(799))).To(Equal(stall.None))
		Expect(m.Next(at(799))).To(Equal(at(800)))
		Expect(m.Tick(at(800))).To(Equal(stall.Reserve))
		Expect(m.Abandoned()).To(BeFalse())
		Expect(m.Reserved(at(900))).To(Equal(stall.Abandon))
		Expect(m.Abandoned()).To(BeTrue())
		Expect(m.Event(at(901))).To(Equal(stall.None), "events after the run was abandoned are ignored")
	},
		Entry("that does not respond", stall.NoAnswer),
		Entry("whose events do not arrive", stall.OutputLost),
		Entry("that does not know it", stall.NotListed),
	)

	DescribeTable("is kept until the maximum silence at a replica that is not suspected", func(a stall.RunStatus) {
		Expect(m.Tick(at(600))).To(Equal(stall.Query))
		m.RecordStatus(at(600), a)
		for now := 610; now < 2000; now += 10 {
			switch m.Tick(at(now)) {
			case stall.None:
			case stall.Query:
				m.RecordStatus(at(now), a)
			default:
				Fail("the run is abandoned before the maximum silence")
			}
		}
		Expect([]stall.Action{m.Tick(at(2000)), m.Tick(at(2000))}).To(ContainElement(stall.Reserve), "the maximum silence has passed")
	},
		Entry("that works on the run", stall.Running),
		Entry("that reports no status", stall.Unknown),
	)

	It("continues when the reservation fails, and retries it after the interval", func() {
		m.Tick(at(600))
		m.RecordStatus(at(600), stall.NoAnswer)
		Expect(m.Tick(at(800))).To(Equal(stall.Reserve))
		m.ReservationFailed(at(810))
		Expect(m.Tick(at(900))).To(Equal(stall.Query), "the replica is queried again meanwhile")
		Expect(m.Tick(at(1009))).To(Equal(stall.None))
		Expect(m.Next(at(1009))).To(Equal(at(1010)))
		Expect(m.Tick(at(1010))).To(Equal(stall.Reserve))
	})

	It("continues when an event arrives during the reservation", func() {
		m.Tick(at(600))
		m.RecordStatus(at(600), stall.NoAnswer)
		Expect(m.Tick(at(800))).To(Equal(stall.Reserve))
		Expect(m.Event(at(850))).To(Equal(stall.Release))
		Expect(m.Reserved(at(860))).To(Equal(stall.Release))
		Expect(m.Abandoned()).To(BeFalse())
		Expect(m.Status()).To(Equal(stall.Unknown))
	})

	It("does not count the time for which its own host was suspended", func() {
		Expect(m.HostResumed(at(9000))).To(Equal(stall.None))
		Expect(m.Tick(at(9001))).To(Equal(stall.None))
		Expect(m.Next(at(9001))).To(Equal(at(9301)))
		Expect(m.Tick(at(9600))).To(Equal(stall.Query))
	})

	It("ignores a status that was queried before the last event", func() {
		m.Tick(at(600))
		m.Event(at(610))
		m.RecordStatus(at(600), stall.NoAnswer)
		Expect(m.Status()).To(Equal(stall.Unknown))
	})
})

// For any order of events, a run is abandoned only for one whose reservation completes at
// that moment and is still wanted; every reservation is used or released; and the run at a
// permanently silent replica is abandoned within the bound of checkPermanentSilence.
func TestInvariantsHoldForAnyOrderOfEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := modelOwner{m: stall.New(start, config), lastEvent: start}
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			w.now += rapid.IntRange(1, 60).Draw(t, "ms")
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				w.event()
			case 1, 2:
				if w.querying {
					w.querying = false
					w.recordStatus(stall.RunStatus(rapid.IntRange(0, 4).Draw(t, "status")))
				}
			case 3:
				if w.reserving {
					w.reserving = false
					w.m.ReservationFailed(at(w.now))
				}
			case 4, 5:
				w.reserve(t)
			default:
				w.tick(t)
			}
		}
		w.checkPermanentSilence(t)
	})
}

// modelOwner is the owner of a Monitor, with the state that the checks need.
type modelOwner struct {
	m                   *stall.Monitor
	now                 int
	lastEvent           time.Time
	lastQuery           time.Time
	querying, reserving bool
	// reservationWanted says that no event has arrived since Reserve.
	reservationWanted bool
	status            stall.RunStatus
}

func (w *modelOwner) event() {
	abandoned := w.m.Abandoned()
	w.m.Event(at(w.now))
	if !abandoned {
		w.lastEvent, w.reservationWanted, w.status = at(w.now), false, stall.Unknown
	}
}

func (w *modelOwner) recordStatus(a stall.RunStatus) {
	w.m.RecordStatus(w.lastQuery, a)
	if !w.lastQuery.Before(w.lastEvent) {
		w.status = a
	}
}

func (w *modelOwner) reserve(t *rapid.T) {
	if !w.reserving {
		return
	}
	w.reserving = false
	switch got := w.m.Reserved(at(w.now)); got {
	case stall.Abandon:
		if !w.reservationWanted {
			t.Fatal("abandoned although an event arrived since Reserve")
		}
		silence := at(w.now).Sub(w.lastEvent)
		if silence < config.MaxSilence && !(w.status.Suspect() && silence >= config.SuspectTimeout) {
			t.Fatalf("abandoned after %s of silence with status %s", silence, w.status)
		}
	case stall.Release:
	default:
		t.Fatalf("reservation neither used nor released: action %d", got)
	}
}

func (w *modelOwner) tick(t *rapid.T) {
	for {
		switch w.m.Tick(at(w.now)) {
		case stall.None:
			return
		case stall.Query:
			if w.querying {
				t.Fatal("Query while a query is in progress")
			}
			w.querying, w.lastQuery = true, at(w.now)
		case stall.Reserve:
			if w.reserving {
				t.Fatal("Reserve while a reservation is in progress")
			}
			w.reserving, w.reservationWanted = true, true
		default:
			t.Fatal("unexpected action from Tick")
		}
	}
}

// checkPermanentSilence checks that the run is abandoned in time if from now on the replica
// sends nothing and does not respond, and every reservation succeeds at once.
func (w *modelOwner) checkPermanentSilence(t *rapid.T) {
	const bound = 4000 // ms: MaxSilence, plus the query and reservation in progress
	for end := w.now + bound; w.now < end; w.now += 10 {
		if w.m.Abandoned() {
			return
		}
		if w.querying {
			w.querying = false
			w.recordStatus(stall.NoAnswer)
		}
		w.reserve(t)
		w.tick(t)
	}
	t.Fatal("the run at a permanently silent replica is not abandoned")
}
