package connections

import (
	"container/list"
	"time"
)

// ID identifies a connection of a Set.
type ID uint64

// The parameters of the rules; see the package comment.
const (
	FreshShare     = 0.25
	FreshAge       = time.Second
	LargeHeadShare = 0.75
	// SmallHeadBytes is the cost of some 80 header lines.
	SmallHeadBytes = 16 << 10
	MaxClosing     = 16
)

// Limits bound the connections of a Set.
type Limits struct {
	// Connections is the largest number of connections.
	Connections int `json:"connections"`
	// HeadBytes is the largest cost of the heads of all connections, in bytes of memory.
	HeadBytes int64 `json:"head_bytes"`
	// IdleTimeout is the time for which clients may expect that an idle connection is kept.
	IdleTimeout time.Duration `json:"idle_timeout"`
}

// Phase is what a connection is doing.
type Phase uint8

// The phases; see the package comment.
const (
	Fresh Phase = iota
	Busy
	Idle
	Reading
	Closing
	phases
)

// String is the value in metrics and logs.
func (p Phase) String() string {
	return [phases]string{"fresh", "busy", "idle", "reading", "closing"}[p]
}

// MarshalText implements encoding.TextMarshaler.
func (p Phase) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// Phases lists all phases.
func Phases() []Phase { return []Phase{Fresh, Busy, Idle, Reading, Closing} }

// connection is an entry of a Set.
type connection struct {
	id    ID
	phase Phase
	since time.Time
	// headBytes is the cost of the head that is being read, or whose request is in work.
	headBytes int64
	element   *list.Element
}

// Set is the connections of one listener.
type Set struct {
	limits Limits
	lastID ID
	byID   map[ID]*connection
	// byPhase has the connections of each phase, the one that entered it first in front.
	byPhase [phases]*list.List
	// headBytes leaves out those of closing connections.
	headBytes int64
}

// New returns an empty Set.
func New(l Limits) *Set {
	s := &Set{limits: l, byID: map[ID]*connection{}}
	for p := range s.byPhase {
		s.byPhase[p] = list.New()
	}
	return s
}

// SetLimits changes the limits.
func (s *Set) SetLimits(l Limits) { s.limits = l }

// Opened is the answer to Open.
type Opened struct {
	// ID identifies the new connection; 0 if it is refused.
	ID ID
	// Replaces is the connection to close for the new one, and its phase; 0 for none.
	Replaces      ID
	ReplacedPhase Phase
}

// Open adds a new connection, if there is room for it or another one can be closed for it.
func (s *Set) Open(now time.Time) Opened {
	var o Opened
	if len(s.byID)-s.Closing() >= s.limits.Connections {
		c := s.replaceable(now)
		if c == nil {
			return o
		}
		o.Replaces, o.ReplacedPhase = c.id, c.phase
		s.giveUp(c, now)
	}
	s.lastID++
	c := &connection{id: s.lastID}
	s.byID[c.id] = c
	s.enter(c, Fresh, now)
	o.ID = c.id
	return o
}

// replaceable returns the connection that is closed for a new one; nil if all are busy.
func (s *Set) replaceable(now time.Time) *connection {
	fresh, idle, reading := s.oldest(Fresh), s.oldest(Idle), s.oldest(Reading)
	manyFresh := float64(s.byPhase[Fresh].Len()) >= FreshShare*float64(s.limits.Connections)
	switch {
	case idle != nil && now.Sub(idle.since) > s.limits.IdleTimeout:
		return idle
	case fresh != nil && (manyFresh || now.Sub(fresh.since) > FreshAge):
		return fresh
	case idle != nil:
		return idle
	case reading != nil:
		return reading
	}
	return fresh
}

// oldest returns the connection that entered a phase first; nil for none.
func (s *Set) oldest(p Phase) *connection {
	if front := s.byPhase[p].Front(); front != nil {
		return front.Value.(*connection)
	}
	return nil
}

// HeadRead notes that more of the head of a request was received, which costs so many bytes of
// memory. It returns the connections to close, the given one too if its head does not fit. Busy
// connections have no incomplete head and are left alone.
func (s *Set) HeadRead(now time.Time, id ID, bytes int64) (giveUp []ID) {
	c := s.byID[id]
	if c == nil || c.phase == Busy || c.phase == Closing {
		return nil
	}
	if c.phase == Idle {
		s.leave(c)
		s.enter(c, Reading, now)
	}
	c.headBytes += bytes
	s.headBytes += bytes
	limit := s.limits.HeadBytes
	if c.headBytes > SmallHeadBytes {
		limit = int64(LargeHeadShare * float64(limit))
	}
	for s.headBytes > limit && c.phase != Closing {
		// The connection itself has an incomplete head.
		largest := s.largestIncompleteHead()
		giveUp = append(giveUp, largest.id)
		s.giveUp(largest, now)
	}
	return giveUp
}

// largestIncompleteHead returns the connection whose incomplete head costs most; nil for none.
func (s *Set) largestIncompleteHead() *connection {
	var largest *connection
	for _, p := range []Phase{Fresh, Reading} {
		for e := s.byPhase[p].Front(); e != nil; e = e.Next() {
			if c := e.Value.(*connection); largest == nil || c.headBytes > largest.headBytes {
				largest = c
			}
		}
	}
	return largest
}

// Begin notes that the head of a request is complete, and costs no more than headBytes by now. It
// reports false if the connection has been given up: the request must not run.
func (s *Set) Begin(now time.Time, id ID, headBytes int64) bool {
	c := s.byID[id]
	if c == nil || c.phase == Closing {
		return false
	}
	if headBytes < c.headBytes {
		s.headBytes -= c.headBytes - headBytes
		c.headBytes = headBytes
	}
	s.leave(c)
	s.enter(c, Busy, now)
	return true
}

// End notes that a request has been answered; the connection is idle.
func (s *Set) End(now time.Time, id ID) {
	c := s.byID[id]
	if c == nil || c.phase == Closing {
		return
	}
	s.headBytes -= c.headBytes
	c.headBytes = 0
	s.leave(c)
	s.enter(c, Idle, now)
}

// Close removes a connection that has been closed, whatever it was doing.
func (s *Set) Close(id ID) {
	c := s.byID[id]
	if c == nil {
		return
	}
	s.leave(c)
	s.headBytes -= c.headBytes
	delete(s.byID, id)
}

// IsClosing reports whether a connection was given up and has not been closed.
func (s *Set) IsClosing(id ID) bool {
	c := s.byID[id]
	return c != nil && c.phase == Closing
}

// Closing returns the number of connections that were given up and have not been closed.
func (s *Set) Closing() int { return s.byPhase[Closing].Len() }

// State is the content of a Set, for metrics and state dumps.
type State struct {
	// ByPhase counts the connections by phase.
	ByPhase   map[Phase]int `json:"by_phase"`
	HeadBytes int64         `json:"head_bytes"`
	Limits    Limits        `json:"limits"`
}

// State returns a snapshot.
func (s *Set) State() State {
	st := State{ByPhase: map[Phase]int{}, HeadBytes: s.headBytes, Limits: s.limits}
	for _, p := range Phases() {
		st.ByPhase[p] = s.byPhase[p].Len()
	}
	return st
}

func (s *Set) enter(c *connection, p Phase, now time.Time) {
	c.phase, c.since = p, now
	c.element = s.byPhase[p].PushBack(c)
}

func (s *Set) leave(c *connection) { s.byPhase[c.phase].Remove(c.element) }

func (s *Set) giveUp(c *connection, now time.Time) {
	s.headBytes -= c.headBytes
	c.headBytes = 0
	s.leave(c)
	s.enter(c, Closing, now)
}
