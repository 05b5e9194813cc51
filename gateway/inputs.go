package gateway

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/logging"
	"github.com/wheatseam/wheatseam/problem"
)

// The time from sending a request to an engine until its inputs are given up.
// An engine fetches them on arrival, long before the first event: prompts that
// wait their turn hold no room at the replicas that made the inputs. An engine
// that finds one gone refuses without running the request; the stages are then
// made again and the time grows.
const (
	inputsReadLeast = 80 * time.Millisecond
	inputsReadMost  = 2 * time.Second
	inputsReadGrow  = 1.5
	// inputsReadShrink is the factor by which each request whose inputs were
	// read brings the time back down.
	inputsReadShrink = 0.995
)

// inputsHold is the time for which inputs are held, as measured. It is safe
// for concurrent use.
type inputsHold struct {
	mu   sync.Mutex
	hold time.Duration
}

func (h *inputsHold) get() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return max(h.hold, inputsReadLeast)
}

// gone notes that inputs were given up too early.
func (h *inputsHold) gone() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hold = min(inputsReadMost, time.Duration(inputsReadGrow*float64(max(h.hold, inputsReadLeast))))
	return h.hold
}

// read notes that inputs were there.
func (h *inputsHold) read() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hold = time.Duration(inputsReadShrink * float64(h.hold))
}

// holdInputs has the stages made again if their results were given up after an
// earlier attempt. An answer that has not begun is still to come by its objective.
func (x *exchange) holdInputs() *problem.Error {
	if len(x.inputs) == 0 || x.prepared.Load() {
		return nil
	}
	x.inputs = nil
	if !x.committed {
		return x.prepare()
	}
	return x.prepareSince(clock.Now())
}

// releaseInputs gives the results of the stages up, if they are still held. It
// may be called by any goroutine.
func (x *exchange) releaseInputs() {
	if x.prepared.CompareAndSwap(true, false) {
		x.g.stages.Release(x.req.ID)
	}
}

// releaseWhenRead gives the inputs up once the engine must have read them,
// unless stop is called first.
func (x *exchange) releaseWhenRead() (stop func() bool) {
	if !x.prepared.Load() {
		return func() bool { return false }
	}
	return clock.AfterFunc(x.g.inputs.get(), x.releaseInputs).Stop
}

// keepInputs has the inputs of an attempt stay, also beyond the time when the
// engine must have read them. It says whether they are still held.
func (t *try) keepInputs() bool {
	t.stopRelease()
	return t.x.prepared.Load()
}

// inputsGone notes that an engine found inputs gone. If they were still held,
// their holder is to blame, not the time.
func (x *exchange) inputsGone() {
	if x.prepared.Load() {
		return
	}
	x.g.log.Info("inputs given up too early", logging.Request(x.req.ID), zap.Duration("hold", x.g.inputs.gone()))
}
