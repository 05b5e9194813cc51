package sequence

import "strconv"

// Verdict is what becomes of an event.
type Verdict uint8

// The verdicts.
const (
	// Send: the event is sent, after the held one if there is any.
	Send Verdict = iota
	// Drop: the caller has the event.
	Drop
	// Hold: the event is kept, in addition to what is held already, until a later verdict is Send.
	Hold
	// Refuse: the run does not go on where the caller's events end. Neither the event nor a held
	// one is sent, nor anything else of the run.
	Refuse
)

// Reason says why an event is refused; "" if it is not.
type Reason string

// The reasons.
const (
	// OutOfOrder: the ID is not larger than the one before it in the same run.
	OutOfOrder Reason = "out_of_order"
	// Gap: events before this one are missing in the run.
	Gap Reason = "gap"
	// LateStart: the run goes on after the event that was due.
	LateStart Reason = "late_start"
	// NoID: the run goes on with an event of which its ID does not say whether the caller has it.
	NoID Reason = "no_id"
)

// defaultStep is the step between two IDs that is expected before any other one is known.
const defaultStep = 1

// Stream checks the events of one stream, in all its runs. It is not safe for concurrent use.
type Stream struct {
	// last is the ID of the last event that the caller has; numbered says that there is one. unplaced
	// says that the caller has got events without a number since.
	last     uint64
	numbered bool
	unplaced bool
	// step is the step that the stream has shown; 0 for none. varied says that it has shown several.
	step   uint64
	varied bool
	usual  Usual
	run    run
}

// run is the state of the current run.
type run struct {
	// goesOn says that the run goes on after an event that the caller has, and joined that it has
	// sent an event after that one.
	goesOn, joined bool
	// previous is the ID of the run's last event; numbered says that there is one.
	previous uint64
	numbered bool
	// step is the first difference between two IDs of the run, 0 if there is none; varied says that
	// others differ from it. differences counts them.
	step        uint64
	varied      bool
	differences int
	// held is the ID of the held event, if holding is set.
	held    uint64
	holding bool
}

// New returns a Stream for a caller whose last event has the given ID; "" for none.
func New(lastEventID string) *Stream {
	s := &Stream{}
	if n, ok := parseID(lastEventID); ok && n > 0 {
		s.last, s.numbered = n, true
	}
	return s
}

// Begin begins a run. What was held of the run before is discarded.
func (s *Stream) Begin(usual Usual) {
	s.usual, s.run = usual, run{goesOn: s.numbered}
}

// Event decides on an event of the current run. hasData is false for blocks that are no events, such
// as comments.
func (s *Stream) Event(id string, hasData bool) (Verdict, Reason) {
	if n, ok := parseID(id); ok {
		return s.numberedEvent(n)
	}
	switch {
	case !hasData && s.run.holding:
		return Hold, ""
	case !hasData:
		return Send, ""
	case s.run.goesOn && !s.run.joined:
		return Refuse, NoID
	}
	if s.run.holding {
		s.accept(s.run.held)
	}
	s.unplaced = id == ""
	if id != "" {
		s.numbered, s.run.numbered = false, false
	}
	return Send, ""
}

// End decides on what is held when the run ends as complete: Send or Refuse. It may be called if
// nothing is held.
func (s *Stream) End() (Verdict, Reason) {
	if s.run.holding && (s.run.goesOn || s.usual.Step != 0) {
		return s.refuseGap()
	}
	return Send, ""
}

// Resumable reports whether the ID of the last event that was sent says what the caller has.
func (s *Stream) Resumable() bool { return !s.unplaced }

// RunStep returns the step between the IDs of the current run, 0 if it varied, and from how many
// differences it is known; 0 if the run has not shown any.
func (s *Stream) RunStep() (step uint64, differences int) {
	if s.run.varied {
		return 0, s.run.differences
	}
	return s.run.step, s.run.differences
}

func (s *Stream) numberedEvent(n uint64) (Verdict, Reason) {
	if s.run.numbered {
		if n <= s.run.previous {
			return Refuse, OutOfOrder
		}
		s.run.observe(n - s.run.previous)
	}
	s.run.previous, s.run.numbered = n, true
	if s.numbered && n <= s.last {
		return Drop, ""
	}
	return s.next(n)
}

// next decides on an event that the caller does not have.
func (s *Stream) next(n uint64) (Verdict, Reason) {
	if !s.numbered || s.unplaced {
		return s.accept(n)
	}
	if s.run.holding {
		return s.resolve(n)
	}
	step, difference := s.expectedStep(), n-s.last
	switch {
	case difference == step, difference < step && s.step == 0:
		s.step = difference
	case difference < step || difference%step != 0:
		s.varied = true
	case s.varied || s.usual.Varied:
	case s.step != 0:
		return s.refuseGap()
	default:
		s.run.held, s.run.holding = n, true
		return Hold, ""
	}
	return s.accept(n)
}

// resolve decides on a held event by the one after it.
func (s *Stream) resolve(n uint64) (Verdict, Reason) {
	step := s.run.held - s.last
	if n-s.run.held != step {
		return s.refuseGap()
	}
	s.step = step
	return s.accept(n)
}

func (s *Stream) expectedStep() uint64 {
	switch {
	case s.step != 0:
		return s.step
	case s.usual.Step != 0:
		return s.usual.Step
	}
	return defaultStep
}

func (s *Stream) accept(n uint64) (Verdict, Reason) {
	s.last, s.numbered, s.unplaced = n, true, false
	s.run.joined, s.run.holding = true, false
	return Send, ""
}

func (s *Stream) refuseGap() (Verdict, Reason) {
	s.run.holding = false
	if s.run.goesOn && !s.run.joined {
		return Refuse, LateStart
	}
	return Refuse, Gap
}

// observe records the difference between two IDs.
func (r *run) observe(difference uint64) {
	if r.step == 0 {
		r.step = difference
	}
	r.varied = r.varied || difference != r.step
	r.differences++
}

func parseID(id string) (n uint64, ok bool) {
	n, err := strconv.ParseUint(id, 10, 64)
	return n, err == nil
}
