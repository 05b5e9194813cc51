package connections_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/connections"
)

const (
	idleTimeout = 10 * time.Second
	moment      = time.Millisecond
)

// state is a connection in the phase that it has been brought to, so long ago.
type state struct {
	phase connections.Phase
	age   time.Duration
}

// setOf returns a Set with connections in the given states, in the order of their ages, and as many
// places as connections. The IDs count from 1.
func setOf(now time.Time, states ...state) *connections.Set {
	s := connections.New(connections.Limits{Connections: len(states), HeadBytes: 1 << 20, IdleTimeout: idleTimeout})
	for _, c := range states {
		at := now.Add(-c.age)
		id := s.Open(at).ID
		if c.phase == connections.Fresh {
			continue
		}
		s.Begin(at, id, 0)
		if c.phase == connections.Busy {
			continue
		}
		s.End(at, id)
		if c.phase == connections.Reading {
			s.HeadRead(at, id, 1)
		}
	}
	return s
}

func TestWhichConnectionANewOneReplaces(t *testing.T) {
	const fresh, busy, idle, reading = connections.Fresh, connections.Busy, connections.Idle, connections.Reading
	busyThree := []state{{busy, time.Hour}, {busy, time.Hour}, {busy, time.Hour}}
	for _, test := range []struct {
		name   string
		states []state
		want   connections.ID
	}{
		{"idle past its time, the longest", append([]state{{idle, time.Minute}, {idle, 11 * time.Second}, {fresh, 2 * time.Second}}, busyThree...), 1},
		{"old and fresh, before one that is idle in its time", append([]state{{idle, 9 * time.Second}, {fresh, 2 * time.Second}}, busyThree...), 2},
		{"oldest of many fresh ones", []state{{idle, 2 * time.Second}, {fresh, 2 * moment}, {fresh, moment}}, 2},
		{"longest idle, before the few that are new", append([]state{{idle, 3 * time.Second}, {idle, 2 * time.Second}, {fresh, moment}}, busyThree...), 1},
		{"incomplete next head, before the few that are new", append([]state{{reading, time.Second}, {fresh, moment}}, busyThree...), 1},
		{"the only one that is not busy", append([]state{{fresh, moment}}, append(busyThree, busyThree...)...), 1},
		{"none if all are busy", busyThree, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			now := time.Unix(1000, 0)
			s := setOf(now, test.states...)
			o := s.Open(now)
			g.Expect(o.Replaces).To(Equal(test.want))
			g.Expect(o.ID != 0).To(Equal(test.want != 0))
			if test.want != 0 {
				g.Expect(o.ReplacedPhase).To(Equal(test.states[test.want-1].phase))
				g.Expect(s.Begin(now, test.want, 0)).To(BeFalse(), "a request of a connection that was given up must not run")
				g.Expect(s.Closing()).To(Equal(1))
				s.Close(test.want)
				g.Expect(s.Closing()).To(BeZero())
			}
		})
	}
}

func TestWhichHeadsAreGivenUp(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	s := connections.New(connections.Limits{Connections: 10, HeadBytes: 100 << 10, IdleTimeout: idleTimeout})
	inWork, large, larger, small := s.Open(now).ID, s.Open(now).ID, s.Open(now).ID, s.Open(now).ID
	g.Expect(s.HeadRead(now, inWork, 40<<10)).To(BeEmpty())
	g.Expect(s.Begin(now, inWork, 50<<10)).To(BeTrue())
	g.Expect(s.HeadRead(now, large, 10<<10)).To(BeEmpty())
	g.Expect(s.HeadRead(now, larger, 20<<10)).To(BeEmpty())
	g.Expect(s.HeadRead(now, large, 9<<10)).To(Equal([]connections.ID{larger}), "large heads leave a quarter to small ones")
	g.Expect(s.HeadRead(now, small, 16<<10)).To(BeEmpty())
	g.Expect(s.HeadRead(now, large, 17<<10)).To(Equal([]connections.ID{large}), "the head itself, if it is the largest incomplete one")
	g.Expect(s.Begin(now, large, 0)).To(BeFalse())
	s.End(now, inWork)
	g.Expect(s.Begin(now, small, 1<<10)).To(BeTrue())
	g.Expect(s.State().HeadBytes).To(BeEquivalentTo(1<<10), "what was read with the head is not part of it")
	s.End(now, small)
	g.Expect(s.HeadRead(now, small, 16<<10)).To(BeEmpty())
	g.Expect(s.State().HeadBytes).To(BeEquivalentTo(16 << 10))
}

// The numbers stay within the limits, and no busy connection is closed, whatever clients do.
func TestRandomClients(t *testing.T) {
	g := NewWithT(t)
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		limits := connections.Limits{Connections: 1 + rng.IntN(20), HeadBytes: 64 << 10, IdleTimeout: idleTimeout}
		s := connections.New(limits)
		now := time.Unix(1000, 0)
		busy, open := map[connections.ID]bool{}, map[connections.ID]bool{}
		var closing []connections.ID
		closed := func(id connections.ID) {
			g.Expect(busy[id]).To(BeFalse(), "seed %d", seed)
			g.Expect(s.Begin(now, id, 0)).To(BeFalse(), "seed %d", seed)
			delete(open, id)
			if rng.IntN(2) == 0 {
				s.Close(id)
			} else {
				closing = append(closing, id)
			}
		}
		for range 2000 {
			now = now.Add(time.Duration(rng.IntN(500)) * time.Millisecond)
			if rng.IntN(4) == 0 {
				o := s.Open(now)
				if o.Replaces != 0 {
					closed(o.Replaces)
				}
				if o.ID != 0 {
					open[o.ID] = true
				}
			}
			for id := range open {
				switch {
				case busy[id] && rng.IntN(3) == 0:
					s.End(now, id)
					delete(busy, id)
				case busy[id]:
				case rng.IntN(4) == 0:
					g.Expect(s.Begin(now, id, int64(rng.IntN(20<<10)))).To(BeTrue())
					busy[id] = true
				case rng.IntN(8) == 0:
					s.Close(id)
					delete(open, id)
				default:
					for _, c := range s.HeadRead(now, id, int64(rng.IntN(20<<10))) {
						closed(c)
					}
				}
			}
			st, total := s.State(), 0
			for _, p := range connections.Phases() {
				total += st.ByPhase[p]
			}
			total -= len(closing)
			g.Expect(s.Closing()).To(Equal(len(closing)))
			g.Expect(total).To(Equal(len(open)))
			g.Expect(total).To(BeNumerically("<=", limits.Connections))
			g.Expect(st.HeadBytes).To(BeNumerically("<=", limits.HeadBytes))
		}
	}
}
