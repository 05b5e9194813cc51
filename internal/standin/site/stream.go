package site

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Event is event n of the stream that answers a request.
func EventText(request string, n int) string {
	return fmt.Sprintf("id: %d\ndata: token %d of %s\n\n", n, n, request)
}

// eventEvery is the time from one event to the next.
const eventEvery = 2 * time.Millisecond

// stream answers with the events of a run.
func (r *Replica) stream(w http.ResponseWriter, req *http.Request, e *execution, b Behaviour) {
	ctx := req.Context()
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(w)
	_ = flusher.Flush() // a client that is gone needs no head
	every := eventEvery
	if b.EventInterval > 0 {
		every = b.EventInterval
	}
	for n := e.after + 1; n <= r.Events; n++ {
		if n-e.after-1 == b.PauseAfterEvents && !r.fallSilent(ctx, e, b, every) {
			return
		}
		if r.isFrozen() {
			e.standStill(ctx)
			return
		}
		text := EventText(e.run.RequestID, n)
		if b.AbortAfterEvents > 0 && n-e.after > b.AbortAfterEvents {
			_, _ = io.WriteString(w, text[:len(text)/2])
			_ = flusher.Flush()
			panic(http.ErrAbortHandler)
		}
		e.makes()
		if _, err := io.WriteString(w, text); err != nil {
			e.cancelled()
			return
		}
		_ = flusher.Flush()
		if !e.wait(ctx, every) {
			return
		}
	}
	e.complete()
}

// fallSilent pauses, and says whether the stream goes on.
func (r *Replica) fallSilent(ctx context.Context, e *execution, b Behaviour, every time.Duration) bool {
	if b.Pause > 0 && !e.wait(ctx, b.Pause) {
		return false
	}
	switch b.Stall {
	case Speaking:
		return true
	case RunStalled:
		e.standStill(ctx)
	case OutputStalled:
		e.mute(ctx, every)
	case ProcessFrozen:
		r.Freeze()
		e.standStill(ctx)
	case ProcessUnreachable:
		r.Vanish()
		e.standStill(ctx)
	}
	return false
}

// standStill makes no more events until the connection closes.
func (e *execution) standStill(ctx context.Context) {
	<-ctx.Done()
	e.cancelled()
}

// mute makes the events that are left, sends none and keeps the connection open.
func (e *execution) mute(ctx context.Context, every time.Duration) {
	for n := e.after + len(e.made) + 1; n <= e.replica.Events; n++ {
		e.makes()
		if !e.wait(ctx, every) {
			return
		}
	}
	e.complete()
	<-ctx.Done()
}
