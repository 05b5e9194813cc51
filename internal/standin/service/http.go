package service

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"path"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wheatseam/wheatseam/internal/standin"
	"github.com/wheatseam/wheatseam/internal/standin/ledger"
)

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	if !s.faults.ApplyRequestFaults(w, r) {
		return
	}
	var req Request
	if err := standin.ReadJSON(w, r, &req); err != nil {
		standin.Refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	if req.Stage == "" {
		req.Stage = path.Base(r.URL.Path)
	}
	key := r.Header.Get("Idempotency-Key")
	var entry *keyEntry
	if key != "" {
		e, first := s.keys.begin(key)
		if !first && s.cfg.Deduplicate {
			s.respondFromEntry(w, r, req, e)
			return
		}
		if first {
			entry = e
		}
	}
	switch s.slots.acquire(r.Context(), s.faults.Down()) {
	case slotGranted:
	case slotQueueFull:
		s.keys.abandon(key, entry)
		standin.Refuse(w, http.StatusTooManyRequests, "queue is full")
		return
	case slotAbandoned:
		s.keys.abandon(key, entry)
		standin.AbortConnection()
	}
	defer s.slots.release()
	s.execute(w, r, req, key, entry)
}

// execute executes a call that holds a slot, and responds to it.
func (s *Service) execute(w http.ResponseWriter, r *http.Request, req Request, key string, entry *keyEntry) {
	id := s.ledger.Begin(ledger.Entry{
		Key:       key,
		RequestID: req.RequestID,
		Attempt:   req.Attempt,
		Stage:     req.Stage,
		Customer:  req.Customer,
		Upstream:  s.cfg.Name,
		Leaving:   s.faults.Get().Leaving,
	})
	nominal := s.faults.ScaleServiceTime(s.serviceTime(req))
	spent, state := s.runFor(r.Context(), nominal)
	switch {
	case state == ledger.Cancelled:
		s.ledger.End(id, state, milliseconds(spent), 0)
		s.keys.abandon(key, entry)
		standin.AbortConnection()
	case state == ledger.Failed:
		s.ledger.End(id, state, milliseconds(spent), 0)
		s.keys.fail(entry)
		standin.AbortConnection()
	case s.faults.DrawFailure():
		s.ledger.End(id, ledger.Failed, milliseconds(spent), 0)
		s.keys.fail(entry)
		standin.WriteJSON(w, http.StatusInternalServerError, standin.ErrorBody{Error: "failed by an injected fault"})
		return
	}
	result := newResult(req)
	if entry != nil {
		s.keys.finish(entry, result)
	}
	s.ledger.End(id, ledger.Done, milliseconds(spent), 0)
	s.responder.Respond(w, r, ResponseBody{RequestID: req.RequestID, Attempt: req.Attempt, Result: result})
}

// runFor simulates an execution by waiting for nominal times Config.TimeScale. It
// returns the service time spent, without that scale, and the final state of the
// execution. The execution fails if the replica goes down or is closed.
func (s *Service) runFor(clientCtx context.Context, nominal time.Duration) (time.Duration, ledger.State) {
	timer := time.NewTimer(time.Duration(float64(nominal) * s.cfg.TimeScale))
	defer timer.Stop()
	clientDone := clientCtx.Done()
	if !s.cfg.Cancellation {
		clientDone = nil
	}
	start := time.Now()
	select {
	case <-timer.C:
		s.faults.WaitWhileFrozen(s.ctx)
		return nominal, ledger.Done
	case <-clientDone:
		return s.elapsedServiceTime(start, nominal), ledger.Cancelled
	case <-s.faults.Down():
	case <-s.ctx.Done():
	}
	return s.elapsedServiceTime(start, nominal), ledger.Failed
}

// elapsedServiceTime returns the service time spent since start, without
// Config.TimeScale, at most nominal.
func (s *Service) elapsedServiceTime(start time.Time, nominal time.Duration) time.Duration {
	return min(time.Duration(float64(time.Since(start))/s.cfg.TimeScale), nominal)
}

// respondFromEntry waits for the earlier execution of the same idempotency key and
// responds with its result.
func (s *Service) respondFromEntry(w http.ResponseWriter, r *http.Request, req Request, e *keyEntry) {
	select {
	case <-e.done:
	case <-r.Context().Done():
		return
	case <-s.ctx.Done():
		standin.AbortConnection()
	}
	st := s.keys.entryStatus(e)
	if st.Result == nil {
		standin.WriteJSON(w, http.StatusInternalServerError,
			standin.ErrorBody{Error: "the execution before failed; its effect is unknown"})
		return
	}
	s.ledger.CountDeduplicated()
	s.responder.Respond(w, r, ResponseBody{RequestID: req.RequestID, Attempt: req.Attempt, Result: *st.Result})
}

func (s *Service) status(w http.ResponseWriter, r *http.Request) {
	if s.cfg.NoStatusLookup {
		http.NotFound(w, r)
		return
	}
	if s.faults.ApplyRequestFaults(w, r) {
		standin.WriteJSON(w, http.StatusOK, s.keys.status(r.PathValue("key")))
	}
}

func (s *Service) load(w http.ResponseWriter, r *http.Request) {
	if s.faults.IsDown() {
		standin.AbortConnection()
	}
	s.faults.WaitWhileFrozen(r.Context())
	standin.WriteJSON(w, http.StatusOK, s.slots.loadReporter.Report(time.Now()))
}

// serviceTime draws the service time of a call, without slow factor and time scale.
func (s *Service) serviceTime(req Request) time.Duration {
	h := xxhash.Sum64String(req.RequestID + "/" + req.Stage + "/" + strconv.Itoa(req.Attempt))
	random := rand.New(rand.NewPCG(s.cfg.Seed, h))
	return time.Duration(float64(s.cfg.Median) * math.Exp(s.cfg.Sigma*random.NormFloat64()))
}

func newResult(req Request) Result {
	input, err := json.Marshal(req.Input)
	if err != nil {
		input = nil
	}
	return Result{
		RequestID: req.RequestID,
		Stage:     req.Stage,
		Digest:    fmt.Sprintf("%016x", xxhash.Sum64(input)),
		Input:     req.Input,
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
