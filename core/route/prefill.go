package route

import (
	"slices"
	"time"
)

const (
	// maxReading bounds the prompts that are remembered of one engine; more than
	// an engine runs at once.
	maxPendingPrompts = 128
	// maxOverdue bounds what an overdue prompt says of the work before it.
	maxOverdueBacklog = 2 * time.Second
)

// reading is what was sent to one engine to read and has brought no answer yet, as
// far as this daemon knows: all of its own, and the long ones that fellows told it
// of. Engines read prompts about in the order in which they come, and a long one
// keeps all that follow it waiting.
type prefillQueue struct {
	prompts []pendingPrompt
}

// prompt is one prompt that is being read or waits for it.
type pendingPrompt struct {
	request string
	sentAt  time.Time
	// read is the engine's own time for it, and usual the usual time to the first
	// byte of the answer.
	prefillTime, usualFirstByte time.Duration
	// told says that a fellow sent it: its end is not heard of.
	fromPeer bool
}

// toldGrace is how much longer than it is expected to be read a prompt of a
// fellow counts.
const peerPromptGrace = 100 * time.Millisecond

func (r *prefillQueue) add(p pendingPrompt) {
	r.prompts = slices.DeleteFunc(r.prompts, func(o pendingPrompt) bool {
		return o.fromPeer && p.sentAt.Sub(o.sentAt) > o.prefillTime+peerPromptGrace
	})
	if len(r.prompts) < maxPendingPrompts {
		r.prompts = append(r.prompts, p)
	}
}

// done forgets a prompt that was read, or is no longer wanted.
func (r *prefillQueue) remove(request string) {
	r.prompts = slices.DeleteFunc(r.prompts, func(p pendingPrompt) bool { return p.request == request })
}

// undo forgets the newest prompt of a request, which was not sent.
func (r *prefillQueue) removeNewest(request string) {
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
func (r *prefillQueue) backlog(now time.Time) time.Duration {
	var end time.Time
	var overdue time.Duration
	for _, p := range r.prompts {
		if end.Before(p.sentAt) {
			end = p.sentAt
		}
		end = end.Add(p.prefillTime)
		if p.fromPeer {
			continue
		}
		overdue = max(overdue, now.Sub(p.sentAt)-p.usualFirstByte)
	}
	return max(0, end.Sub(now)) + min(max(0, overdue), maxOverdueBacklog)
}
