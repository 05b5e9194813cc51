package route

import (
	"slices"
	"time"
)

const (
	// maxPendingPrompts limits the prompts stored for one engine. It exceeds the number
	// of prompts that an engine runs at once.
	maxPendingPrompts = 128
	// maxOverdueBacklog limits the backlog that is inferred from an overdue prompt.
	maxOverdueBacklog = 2 * time.Second
)

// prefillQueue holds the prompts that were sent to one engine and have not been
// answered yet, as far as this daemon knows: all of its own prompts, and the long ones
// that its peers reported. Engines process prefills approximately in arrival order, so
// a long prompt delays all that follow it.
type prefillQueue struct {
	prompts []pendingPrompt
}

// pendingPrompt is one prompt whose prefill is running or waiting.
type pendingPrompt struct {
	request string
	sentAt  time.Time
	// prefillTime is the time that the engine needs for the prefill alone.
	// usualFirstByte is the usual time until the first byte of the response.
	prefillTime, usualFirstByte time.Duration
	// fromPeer is set if a peer sent the prompt. The peer does not report the end of the
	// call.
	fromPeer bool
}

// peerPromptGrace is how long a peer's prompt is kept beyond its expected prefill time.
const peerPromptGrace = 100 * time.Millisecond

func (r *prefillQueue) add(p pendingPrompt) {
	r.prompts = slices.DeleteFunc(r.prompts, func(o pendingPrompt) bool {
		return o.fromPeer && p.sentAt.Sub(o.sentAt) > o.prefillTime+peerPromptGrace
	})
	if len(r.prompts) < maxPendingPrompts {
		r.prompts = append(r.prompts, p)
	}
}

// remove removes the prompt of a request whose prefill has completed or is no longer
// needed.
func (r *prefillQueue) remove(request string) {
	r.prompts = slices.DeleteFunc(r.prompts, func(p pendingPrompt) bool { return p.request == request })
}

// removeNewest removes the newest prompt of a request, which was not sent.
func (r *prefillQueue) removeNewest(request string) {
	for n := len(r.prompts) - 1; n >= 0; n-- {
		if r.prompts[n].request == request {
			r.prompts = slices.Delete(r.prompts, n, n+1)
			return
		}
	}
}

// backlog returns how long a prompt that is sent now is expected to wait for the
// prefill of earlier ones, at an engine whose work takes slowdown times the usual time. An
// overdue response indicates that the engine has work that this daemon does not know of. The
// time by which it is overdue is added as an estimate of that work.
func (r *prefillQueue) backlog(now time.Time, slowdown float64) time.Duration {
	if len(r.prompts) == 0 {
		return 0
	}
	var end time.Time
	var overdue time.Duration
	for _, p := range r.prompts {
		if end.Before(p.sentAt) {
			end = p.sentAt
		}
		end = end.Add(scaleDuration(p.prefillTime, slowdown))
		if p.fromPeer {
			continue
		}
		overdue = max(overdue, now.Sub(p.sentAt)-scaleDuration(p.usualFirstByte, slowdown))
	}
	return max(0, end.Sub(now)) + min(max(0, overdue), maxOverdueBacklog)
}
