package route

import (
	"slices"
	"time"
)

const (
	// maxReading bounds the prompts that are remembered of one engine; more than
	// an engine runs at once.
	maxReading = 128
	// maxOverdue bounds what an overdue prompt says of the work before it.
	maxOverdue = 2 * time.Second
)

// reading is what was sent to one engine to read and has brought no answer yet, as
// far as this daemon knows: all of its own, and the long ones that fellows told it
// of. Engines read prompts about in the order in which they come, and a long one
// keeps all that follow it waiting.
type reading struct {
	prompts []prompt
}

// prompt is one prompt that is being read or waits for it.
type prompt struct {
	request string
	sent    time.Time
	// read is the engine's own time for it, and usual the usual time to the first
	// byte of the answer.
	read, usual time.Duration
	// told says that a fellow sent it: its end is not heard of.
	told bool
}

// toldGrace is how much longer than it is expected to be read a prompt of a
// fellow counts.
const toldGrace = 100 * time.Millisecond

func (r *reading) add(p prompt) {
	r.prompts = slices.DeleteFunc(r.prompts, func(o prompt) bool { return o.told && p.sent.Sub(o.sent) > o.read+toldGrace })
	if len(r.prompts) < maxReading {
		r.prompts = append(r.prompts, p)
	}
}

// done forgets a prompt that was read, or is no longer wanted.
func (r *reading) done(request string) {
	r.prompts = slices.DeleteFunc(r.prompts, func(p prompt) bool { return p.request == request })
}

// undo forgets the newest prompt of a request, which was not sent.
func (r *reading) undo(request string) {
	for n := len(r.prompts) - 1; n >= 0; n-- {
		if r.prompts[n].request == request {
			r.prompts = slices.Delete(r.prompts, n, n+1)
			return
		}
	}
}

// backlog is how long a prompt that is sent now is expected to wait for those
// before it. A prompt whose answer is overdue shows that the engine reads more
// than this daemon knows of: as much again is expected.
func (r *reading) backlog(now time.Time) time.Duration {
	var end time.Time
	var overdue time.Duration
	for _, p := range r.prompts {
		if end.Before(p.sent) {
			end = p.sent
		}
		end = end.Add(p.read)
		if p.told {
			continue
		}
		overdue = max(overdue, now.Sub(p.sent)-p.usual)
	}
	return max(0, end.Sub(now)) + min(max(0, overdue), maxOverdue)
}
