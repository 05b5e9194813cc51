package detour_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/detour"
)

// fixture drives the table of one host.
type fixture struct {
	*WithT
	t   *detour.Table
	now time.Time
}

func newFixture(t *testing.T, peers ...string) *fixture {
	f := &fixture{NewWithT(t), detour.New("self", rand.New(rand.NewPCG(1, 2))), epoch}
	f.t.SetPeers(f.now, peers)
	f.t.Refresh(f.now, 20, always, none)
	return f
}

func always(string) bool     { return true }
func none(int) []string      { return nil }
func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// fail lets a direct attempt fail, and a peer connect.
func (f *fixture) detour(addr string) *detour.Attempt {
	a := f.t.Begin(f.now, addr)
	f.Expect(f.t.Next(f.now, a).Direct).To(BeTrue())
	f.t.DirectFailed(f.now, addr)
	a.DirectFailed()
	name := f.t.Next(f.now, a).Peer
	f.Expect(name).NotTo(BeEmpty())
	f.t.PeerReplied(f.now, addr, name, detour.Reply{Result: detour.Connected, Room: 10})
	return a
}

// cutOff makes the host count as cut off.
func (f *fixture) cutOff() {
	for _, addr := range []string{"a", "b", "c", "d", "e"} {
		f.now = f.now.Add(ms(100))
		f.detourOf(addr)
	}
	f.Expect(f.t.CutOff()).To(BeTrue())
}

// detourOf fails directly and connects through a peer, whichever is tried first.
func (f *fixture) detourOf(addr string) {
	f.t.DirectFailed(f.now, addr)
	f.t.PeerReplied(f.now, addr, "p1", detour.Reply{Result: detour.Connected, Room: 10})
}

func TestAttemptAsksPeersBesideASlowDirectWay(t *testing.T) {
	f := newFixture(t, "p1", "p2", "p3", "p4")
	a := f.t.Begin(f.now, "a")
	f.Expect(f.t.Next(f.now, a)).To(Equal(detour.Step{Direct: true}))
	f.Expect(f.t.Next(f.now, a)).To(Equal(detour.Step{Wait: detour.Stagger}))
	f.now = f.now.Add(detour.Stagger)
	first := f.t.Next(f.now, a)
	f.Expect(first.Peer).NotTo(BeEmpty())
	f.Expect(first.Limit).To(Equal(detour.ConnectLimit - detour.Stagger))
	f.Expect(f.t.Next(f.now, a).Wait).To(Equal(detour.ConnectLimit - detour.Stagger))
	f.now = f.now.Add(detour.ConnectLimit - detour.Stagger)
	f.Expect(f.t.Next(f.now, a).Done).To(BeTrue(), "a replica that is down must cost no more time than before")
	_, confirmed := f.t.Verdict(f.now, a)
	f.Expect(confirmed).To(BeFalse())
}

func TestAttemptAsksThreePeersAtMost(t *testing.T) {
	f := newFixture(t, "p1", "p2", "p3", "p4", "p5")
	a := f.t.Begin(f.now, "a")
	f.t.Next(f.now, a)
	f.t.DirectFailed(f.now, "a")
	a.DirectFailed()
	asked := map[string]bool{}
	for range detour.MaxAsked {
		s := f.t.Next(f.now, a)
		f.Expect(s.Peer).NotTo(BeEmpty())
		f.Expect(asked).NotTo(HaveKey(s.Peer))
		asked[s.Peer] = true
		f.t.PeerReplied(f.now, "a", s.Peer, detour.Reply{Result: detour.ReplicaRefused})
		a.PeerFailed(s.Peer)
	}
	f.Expect(f.t.Next(f.now, a).Done).To(BeTrue())
	verdict, confirmed := f.t.Verdict(f.now, a)
	f.Expect(confirmed).To(BeTrue())
	f.Expect(verdict).To(Equal(detour.ReplicaRefused))

	next := f.t.Begin(f.now, "a")
	f.t.Next(f.now, next)
	next.DirectFailed()
	s := f.t.Next(f.now, next)
	f.Expect(s.Peer).NotTo(BeEmpty())
	f.Expect(asked).NotTo(HaveKey(s.Peer), "a peer that did not reach the address is asked again")
}

func TestOneAddressThatOnlyPeersReachDoesNotMakeAHostCutOff(t *testing.T) {
	f := newFixture(t, "p1")
	f.t.DirectConnected(f.now, "b")
	f.now = f.now.Add(time.Second)
	f.detour("a")
	f.Expect(f.t.CutOff()).To(BeFalse())
	f.Expect(f.t.Next(f.now, f.t.Begin(f.now, "a")).Peer).To(Equal("p1"))
	f.Expect(f.t.Next(f.now, f.t.Begin(f.now, "b")).Direct).To(BeTrue())
}

func TestHostThatReachesSomeReplicasIsNotCutOff(t *testing.T) {
	f := newFixture(t, "p1")
	for range 10 {
		for _, addr := range []string{"a", "b", "c", "d", "e", "f"} {
			f.now = f.now.Add(ms(20))
			f.detourOf(addr)
		}
		f.t.DirectConnected(f.now, "z")
		f.Expect(f.t.CutOff()).To(BeFalse())
	}
	f.Expect(f.t.Detours()).To(Equal(6))
}

func TestCutOffHostAsksPeersFirstAndThenTriesDirectly(t *testing.T) {
	f := newFixture(t, "p1")
	f.cutOff()
	a := f.t.Begin(f.now, "z")
	f.Expect(f.t.Next(f.now, a).Peer).To(Equal("p1"))
	f.now = f.now.Add(detour.Stagger)
	f.Expect(f.t.Next(f.now, a).Direct).To(BeTrue())
}

func TestDirectConnectionEndsTheCut(t *testing.T) {
	f := newFixture(t, "p1")
	f.cutOff()
	f.now = f.now.Add(2 * time.Second)
	due := f.t.Refresh(f.now, 20, always, none)
	f.Expect(due.Probes).NotTo(BeEmpty())
	f.t.DirectConnected(f.now, due.Probes[0])
	f.Expect(f.t.CutOff()).To(BeFalse())
	f.Expect(f.t.Detours()).To(Equal(4), "each address returns by its own probe")
	f.Expect(f.t.Next(f.now, f.t.Begin(f.now, due.Probes[0])).Direct).To(BeTrue())
}

// Guards against a host that stays cut off because the replicas at which it failed are gone.
func TestCutEndsAlthoughTheReplicasAreOthers(t *testing.T) {
	f := newFixture(t, "p1")
	f.cutOff()
	due := f.t.Refresh(f.now, 20, func(addr string) bool { return addr == "new" }, func(int) []string { return []string{"new"} })
	f.Expect(due.Probes).To(ConsistOf("new"))
	f.t.DirectConnected(f.now, "new")
	f.Expect(f.t.CutOff()).To(BeFalse())
}

func TestAddressThatFailsAgainIsProbedLessOften(t *testing.T) {
	f := newFixture(t, "p1")
	intervals := []time.Duration{}
	for range 6 {
		f.t.DirectFailed(f.now, "a")
		f.t.PeerReplied(f.now, "a", "p1", detour.Reply{Result: detour.Connected})
		began := f.now
		for len(f.t.Refresh(f.now, 20, always, none).Probes) == 0 {
			f.now = f.now.Add(ms(10))
		}
		intervals = append(intervals, f.now.Sub(began))
		f.t.DirectConnected(f.now, "a")
	}
	f.Expect(intervals[0]).To(BeNumerically("<=", 1250*time.Millisecond))
	f.Expect(intervals[5]).To(And(BeNumerically(">=", 6*time.Second), BeNumerically("<=", 10*time.Second)))
}

func TestPeersAreLeftOutByTheirAnswers(t *testing.T) {
	for result, pause := range map[detour.Result]time.Duration{
		detour.PeerCutOff: 4 * time.Second, detour.NoRoom: ms(500), detour.Unavailable: 2 * time.Second, detour.Unsupported: time.Minute,
	} {
		f := newFixture(t, "p1", "p2")
		f.t.DirectFailed(f.now, "a")
		f.t.PeerReplied(f.now, "a", "p1", detour.Reply{Result: result, Room: 10})
		asked := func() (names []string) {
			f.t.PeerReplied(f.now, "b", "p2", detour.Reply{Result: detour.Connected, Room: 1})
			for range 64 { // p2 connects; others are asked now and then
				a := f.t.Begin(f.now, "b")
				f.t.Next(f.now, a)
				a.DirectFailed()
				names = append(names, f.t.Next(f.now, a).Peer)
			}
			return names
		}
		f.now = f.now.Add(pause - ms(1))
		f.Expect(asked()).To(HaveEach("p2"), result.String())
		f.now = f.now.Add(ms(1))
		f.Expect(asked()).To(ContainElement("p1"), result.String())
	}
}

// Guards against hosts that reach nothing for seconds since the only peer that connects was cut
// off itself, or not available, a short time ago.
func TestPeersThatFailedAreAskedSoonIfThereIsNoOther(t *testing.T) {
	for result, again := range map[detour.Result]bool{detour.PeerCutOff: true, detour.NoRoom: true, detour.Unavailable: true, detour.Unsupported: false} {
		f := newFixture(t, "p1")
		f.t.DirectFailed(f.now, "a")
		f.t.PeerReplied(f.now, "a", "p1", detour.Reply{Result: result})
		next := func() string {
			a := f.t.Begin(f.now, "b")
			f.t.Next(f.now, a)
			a.DirectFailed()
			return f.t.Next(f.now, a).Peer
		}
		f.now = f.now.Add(ms(249))
		f.Expect(next()).To(BeEmpty(), result.String())
		f.now = f.now.Add(ms(1))
		f.Expect(next() == "p1").To(Equal(again), result.String())
	}
}

// Guards against requests that are refused because the only peer that connects was too slow
// once.
func TestPeerThatWasTooSlowIsAskedIfNoOtherConnects(t *testing.T) {
	f := newFixture(t, "p1", "p2")
	f.cutOff()
	f.t.PeerReplied(f.now, "a", "p2", detour.Reply{Result: detour.PeerCutOff})
	f.t.PeerReplied(f.now, "a", "p1", detour.Reply{Result: detour.NoAnswer})
	for _, addr := range []string{"a", "b"} {
		f.Expect(f.t.Next(f.now, f.t.Begin(f.now, addr)).Peer).To(Equal("p1"), addr)
	}
	f.t.SetPeers(f.now, []string{"p1", "p2", "p3"})
	f.Expect(f.t.Next(f.now, f.t.Begin(f.now, "a")).Peer).To(Equal("p3"))
}

// Guards against hosts that refuse all requests because the only peer that connects was too
// slow once.
func TestHostIsNotStrandedByOneSlowAnswer(t *testing.T) {
	f := newFixture(t, "p1", "p2", "p3")
	for _, addr := range []string{"a", "b", "c", "d", "e"} {
		f.t.DirectFailed(f.now, addr)
	}
	refresh := func() {
		f.now = f.now.Add(ms(250))
		f.t.Refresh(f.now, 20, always, none)
	}
	f.t.PeerReplied(f.now, "a", "p1", detour.Reply{Result: detour.PeerCutOff})
	f.t.PeerReplied(f.now, "a", "p2", detour.Reply{Result: detour.PeerCutOff})
	f.t.PeerReplied(f.now, "a", "p3", detour.Reply{Result: detour.NoAnswer})
	refresh()
	f.Expect(f.t.Stranded()).To(BeFalse())
	f.t.PeerReplied(f.now, "b", "p3", detour.Reply{Result: detour.NoAnswer})
	refresh()
	f.Expect(f.t.Stranded()).To(BeTrue())
	f.t.PeerReplied(f.now, "b", "p3", detour.Reply{Result: detour.Connected})
	f.Expect(f.t.Stranded()).To(BeFalse())
}

// Guards against a replica that has started again and is not reached for seconds, since the
// only peer that connects was refused while it was down.
func TestPeerThatWasRefusedIsAskedAgainSoon(t *testing.T) {
	f := newFixture(t, "p1", "p2")
	f.cutOff()
	f.t.PeerReplied(f.now, "a", "p2", detour.Reply{Result: detour.PeerCutOff})
	f.t.PeerReplied(f.now, "a", "p1", detour.Reply{Result: detour.ReplicaRefused, Room: 10})
	next := func() string { return f.t.Next(f.now, f.t.Begin(f.now, "a")).Peer }
	f.Expect(next()).To(BeEmpty())
	f.now = f.now.Add(ms(100))
	f.Expect(next()).To(Equal("p1"))
	f.t.PeerReplied(f.now, "a", "p1", detour.Reply{Result: detour.ReplicaUnreachable, Room: 10})
	f.now = f.now.Add(ms(500))
	f.Expect(next()).NotTo(Equal("p1"), "each attempt takes the time limit of a connection")
}

// Guards against one peer that counts as two which confirm that a replica is down.
func TestOnePeerAloneDoesNotConfirmThatAReplicaIsDown(t *testing.T) {
	f := newFixture(t, "p1", "p2", "p3")
	a := f.t.Begin(f.now, "a")
	f.t.DirectFailed(f.now, "a")
	for range 3 {
		f.t.PeerReplied(f.now, "a", "p1", detour.Reply{Result: detour.ReplicaRefused, Room: 10})
		f.now = f.now.Add(ms(100))
	}
	_, confirmed := f.t.Verdict(f.now, a)
	f.Expect(confirmed).To(BeFalse())
	f.t.PeerReplied(f.now, "a", "p2", detour.Reply{Result: detour.ReplicaRefused, Room: 10})
	result, confirmed := f.t.Verdict(f.now, a)
	f.Expect(confirmed).To(BeTrue())
	f.Expect(result).To(Equal(detour.ReplicaRefused))
}

// Guards against hosts that refuse all requests although a peer reaches replicas: those asked
// for were down.
func TestHostIsNotStrandedByReplicasThatAreDown(t *testing.T) {
	for _, result := range []detour.Result{detour.ReplicaRefused, detour.ReplicaUnreachable} {
		f := newFixture(t, "p1")
		for _, addr := range []string{"a", "b", "c", "d", "e"} {
			f.t.DirectFailed(f.now, addr)
		}
		f.t.PeerReplied(f.now, "a", "p1", detour.Reply{Result: result, Room: 10})
		f.t.Refresh(f.now, 20, always, none)
		f.Expect(f.t.Stranded()).To(BeFalse())
		f.t.PeerReplied(f.now, "a", "p1", detour.Reply{Result: detour.PeerCutOff})
		f.t.Refresh(f.now, 20, always, none)
		f.Expect(f.t.Stranded()).To(BeTrue())
		f.t.PeerReplied(f.now, "a", "p1", detour.Reply{Result: result, Room: 10})
		f.Expect(f.t.Stranded()).To(BeFalse())
	}
}

// Guards against a slow peer that counts twice, at the end of the attempt and of the call.
func TestPeerThatDoesNotAnswerCountsOnce(t *testing.T) {
	f := newFixture(t, "p1")
	a := f.t.Begin(f.now, "a")
	f.Expect(f.t.Next(f.now, a).Direct).To(BeTrue())
	f.now = f.now.Add(detour.Stagger)
	f.Expect(f.t.Next(f.now, a).Peer).To(Equal("p1"))
	f.now = f.now.Add(detour.ConnectLimit)
	f.Expect(f.t.Next(f.now, a)).To(Equal(detour.Step{Done: true, Unanswered: []string{"p1"}}))
	f.Expect(f.t.Replied(f.now, a, "p1", detour.Reply{Result: detour.NoAnswer})).To(BeFalse())
	f.Expect(f.t.Replied(f.now, a, "p1", detour.Reply{Result: detour.PeerCutOff})).To(BeTrue())
}

// Guards against hosts that refuse all requests although they have asked no peer: they only
// failed for others, and had not listed their peers yet, or long ago.
func TestHostIsNotStrandedBeforeItHasAskedItsPeers(t *testing.T) {
	f := &fixture{NewWithT(t), detour.New("self", rand.New(rand.NewPCG(1, 2))), epoch}
	refresh := func() detour.Due { return f.t.Refresh(f.now, 20, always, none) }
	fail := func() {
		for _, addr := range []string{"a", "b", "c", "d", "e"} {
			f.t.DirectFailed(f.now, addr)
		}
	}
	fail()
	f.Expect(refresh().Ask).NotTo(BeEmpty())
	f.Expect(f.t.Stranded()).To(BeFalse())
	f.t.SetPeers(f.now, nil)
	f.now = f.now.Add(detour.PeerListPeriod)
	f.Expect(refresh().Ask).NotTo(BeEmpty())
	f.Expect(f.t.Stranded()).To(BeFalse())
	f.t.SetPeers(f.now, nil) // there are none
	refresh()
	f.Expect(f.t.Stranded()).To(BeTrue())
}

func TestHintsOfAPeerThatIsCutOffAreFollowed(t *testing.T) {
	peers := []string{"p1", "p2", "p3", "p4", "p5", "p6", "p7", "p8", "p9"}
	f := newFixture(t, peers...)
	f.t.DirectFailed(f.now, "a")
	a := f.t.Begin(f.now, "a")
	f.t.Next(f.now, a)
	a.DirectFailed()
	first := f.t.Next(f.now, a).Peer
	hint := "p9"
	if first == hint {
		hint = "p8"
	}
	f.t.PeerReplied(f.now, "a", first, detour.Reply{Result: detour.PeerCutOff, Hints: []string{"self", "stranger", hint}})
	asked := map[string]int{}
	for range 40 {
		b := f.t.Begin(f.now, "b")
		f.t.Next(f.now, b)
		b.DirectFailed()
		asked[f.t.Next(f.now, b).Peer]++
	}
	f.Expect(asked[hint]).To(BeNumerically(">", 20))
	f.Expect(asked).NotTo(HaveKey("stranger"))
}

func TestHostWithoutPeersBelievesItself(t *testing.T) {
	f := newFixture(t)
	a := f.t.Begin(f.now, "a")
	f.t.Next(f.now, a)
	a.DirectFailed()
	f.Expect(f.t.Next(f.now, a).Done).To(BeTrue())
	_, confirmed := f.t.Verdict(f.now, a)
	f.Expect(confirmed).To(BeTrue())
}

func TestMemoryIsBounded(t *testing.T) {
	f := newFixture(t, "p1")
	for i := range 2 * detour.MaxAddresses {
		f.detourOf(time.Duration(i).String())
	}
	f.Expect(f.t.Detours()).To(Equal(detour.MaxAddresses))
	f.t.Refresh(f.now, 20, func(string) bool { return false }, none)
	f.Expect(f.t.Detours()).To(BeZero())
}
