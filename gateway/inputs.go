package gateway

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/logging"
	"github.com/wheatseam/wheatseam/problem"
)

// Bounds and rates of the retention time of inputs, which is the time from sending a request
// to an engine until its inputs are released. An engine fetches them when the request
// arrives, long before the first event, so that queued prompts hold no memory at the replicas
// that produced the inputs. An engine that finds an input gone refuses without running the
// request; the stages are then run again and the retention time grows.
const (
	minInputRetention = 80 * time.Millisecond
	maxInputRetention = 2 * time.Second
	retentionGrowth   = 1.5
	// retentionDecay is the factor by which each request whose inputs were read reduces the
	// retention time.
	retentionDecay = 0.995
)

// inputRetention is the adaptive retention time of inputs. It is safe for concurrent use.
type inputRetention struct {
	mu       sync.Mutex
	duration time.Duration
}

func (h *inputRetention) get() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return max(h.duration, minInputRetention)
}

// extend records that inputs were released too early, and returns the new retention time.
func (h *inputRetention) extend() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.duration = min(maxInputRetention, time.Duration(retentionGrowth*float64(max(h.duration, minInputRetention))))
	return h.duration
}

// shorten records that inputs were read in time.
func (h *inputRetention) shorten() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.duration = time.Duration(retentionDecay * float64(h.duration))
}

// ensureInputs runs the stages again if their results were released after an earlier
// attempt. An answer that has not started is still due by its objective.
func (x *exchange) ensureInputs() *problem.Error {
	if len(x.inputs) == 0 || x.inputsHeld.Load() {
		return nil
	}
	x.inputs = nil
	if !x.committed {
		return x.prepareInputs()
	}
	return x.prepareInputsFor(x.runAfter(clock.Now(), x.waitsSince(), x.lastEvent))
}

// releaseInputs releases the stage results, if they are still held. It may be called by any
// goroutine.
func (x *exchange) releaseInputs() {
	if x.inputsHeld.CompareAndSwap(true, false) {
		x.g.stages.Release(x.req.ID)
	}
}

// inputRelease releases the inputs of one attempt after the time by which the engine must
// have read them. It is safe for concurrent use.
type inputRelease struct {
	mu       sync.Mutex
	timer    *clock.Timer
	canceled bool
}

// start schedules the release. It is called when the connection to the engine is
// established: until then the engine cannot read the inputs, and another engine may need
// them.
func (r *inputRelease) start(x *exchange) {
	if !x.inputsHeld.Load() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.timer == nil && !r.canceled {
		r.timer = clock.AfterFunc(x.g.inputRetention.get(), x.releaseInputs)
	}
}

// cancel prevents a release that has not happened yet.
func (r *inputRelease) cancel() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.canceled = true
	if r.timer != nil {
		r.timer.Stop()
	}
}

// cancelInputRelease keeps the inputs of an attempt beyond the time by which the engine
// must have read them. It reports whether they are still held.
func (t *attempt) cancelInputRelease() bool {
	t.inputRelease.cancel()
	return t.x.inputsHeld.Load()
}

// extendInputRetention records that an engine found inputs gone. If this host still held
// them, the replica that stored them lost them, and the retention time is not at fault.
func (x *exchange) extendInputRetention() {
	if x.inputsHeld.Load() {
		return
	}
	x.g.log.Info("inputs released before the engine read them", logging.Request(x.req.ID), zap.Duration("hold", x.g.inputRetention.extend()))
}
