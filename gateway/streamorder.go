package gateway

import (
	"fmt"
	"net/http"
	"sync"

	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/core/holdings"
	"github.com/wheatseam/wheatseam/core/sequence"
	"github.com/wheatseam/wheatseam/internal/httpbody"
	"github.com/wheatseam/wheatseam/logging"
)

// eventSteps holds by how much the IDs of events increase, by service. It is safe for concurrent use.
type eventSteps struct {
	mu        sync.Mutex
	byService map[string]*sequence.Steps
}

func newEventSteps() *eventSteps { return &eventSteps{byService: map[string]*sequence.Steps{}} }

func (e *eventSteps) usual(service string) sequence.Usual {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s := e.byService[service]; s != nil {
		return s.Usual()
	}
	return sequence.Usual{}
}

func (e *eventSteps) observe(service, replica string, step uint64, differences int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.byService[service]
	if s == nil {
		s = &sequence.Steps{}
		e.byService[service] = s
	}
	s.Observe(replica, step, differences)
}

// refusedEventError says that an event of a run was refused.
type refusedEventError struct {
	reason sequence.Reason
	// id is the ID of the event, and after that of the last one that was sent; "" for none.
	id, after string
}

// Error implements error.
func (e *refusedEventError) Error() string {
	return fmt.Sprintf("%s: event %q after %q", e.reason, e.id, e.after)
}

// runOrder relays those events of a run that are in order.
type runOrder struct {
	attempt *attempt
	// begun says that the run has had an event.
	begun bool
	// held are the events that wait for the next one, as one, and memory what they take; nil for none.
	held   *event
	memory *buffer
	// lastID is the ID of the last event of the run.
	lastID string
}

// begin begins the run in the sequence of the stream's events.
func (o *runOrder) begin() {
	x := o.attempt.x
	if x.sequence == nil {
		last := ""
		if x.route.Resumable {
			last = x.req.LastEventID
		}
		x.sequence = sequence.New(last)
	}
	x.sequence.Begin(x.g.eventSteps.usual(x.service))
	o.begun, o.memory = true, x.newBuffer(holdings.Event)
}

// end records what the run has shown.
func (o *runOrder) end() {
	if !o.begun {
		return
	}
	x := o.attempt.x
	o.memory.releaseAll()
	if step, differences := x.sequence.RunStep(); differences > 0 {
		x.g.eventSteps.observe(x.service, o.attempt.choice.Upstream, step, differences)
	}
}

// relay sends an event to the caller, unless the caller has it. It returns a *refusedEventError for an
// event that is not in order.
func (o *runOrder) relay(resp *http.Response, e event) error {
	if !o.begun {
		o.begin()
	}
	o.lastID = e.id
	switch verdict, reason := o.attempt.x.sequence.Event(e.id, e.hasData); verdict {
	case sequence.Refuse:
		return o.refuse(reason)
	case sequence.Hold:
		return o.hold(e)
	case sequence.Drop:
		return nil
	}
	if err := o.sendHeld(resp); err != nil {
		return err
	}
	return o.send(resp, e)
}

// finish sends what is held at the end of a complete run.
func (o *runOrder) finish(resp *http.Response) error {
	if !o.begun {
		return nil
	}
	if verdict, reason := o.attempt.x.sequence.End(); verdict == sequence.Refuse {
		return o.refuse(reason)
	}
	return o.sendHeld(resp)
}

func (o *runOrder) send(resp *http.Response, e event) error {
	o.attempt.x.fixVersion(o.attempt.choice.Version)
	return o.attempt.x.sendEvent(resp, e)
}

func (o *runOrder) sendHeld(resp *http.Response) error {
	if o.held == nil {
		return nil
	}
	e := *o.held
	o.held = nil
	return o.send(resp, e)
}

// hold keeps an event. Comments after it keep its ID.
func (o *runOrder) hold(e event) error {
	if o.held == nil {
		o.held = &event{id: e.id, hasData: true}
	}
	size := int64(len(o.held.raw) + len(e.raw))
	if size > httpbody.UncountedBytes {
		if err := o.memory.Take(size - o.memory.held); err != nil {
			return err
		}
	}
	o.held.raw = append(o.held.raw, e.raw...)
	return nil
}

// refuse logs and counts a refused event, and returns the error for it.
func (o *runOrder) refuse(reason sequence.Reason) error {
	x := o.attempt.x
	after := x.lastEvent
	if after == "" {
		after = x.req.LastEventID
	}
	x.g.log.Warn("event refused", logging.Request(x.req.ID), zap.String("service", x.service), zap.String("replica", o.attempt.choice.Upstream),
		zap.String("reason", string(reason)), zap.String("event", o.lastID), zap.String("after_event", after), zap.Int("sent", x.eventsSent))
	x.g.metrics.GetOrCreateCounter(fmt.Sprintf("wheatseam_refused_events_total{service=%q,reason=%q}", x.service, reason)).Inc()
	return &refusedEventError{reason, o.lastID, after}
}

// resumableEvent is the ID of the event after which the stream can go on; "" for none.
func (x *exchange) resumableEvent() string {
	if x.sequence != nil && !x.sequence.Resumable() {
		return ""
	}
	return x.lastEvent
}
