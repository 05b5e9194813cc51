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
	if !s.faults.Gate(w, r) {
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
			s.repeat(w, r, req, e)
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
	case slotGivenUp:
		s.keys.abandon(key, entry)
		standin.Cut()
	}
	defer s.slots.release()
	s.execute(w, r, req, key, entry)
}

// execute runs one call that holds a slot, and answers it.
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
	nominal := s.faults.Slow(s.serviceTime(req))
	spent, state := s.work(r.Context(), nominal)
	switch {
	case state == ledger.Cancelled:
		s.ledger.End(id, state, milliseconds(spent), 0)
		s.keys.abandon(key, entry)
		standin.Cut()
	case state == ledger.Failed:
		s.ledger.End(id, state, milliseconds(spent), 0)
		s.keys.fail(entry)
		standin.Cut()
	case s.faults.Fails():
		s.ledger.End(id, ledger.Failed, milliseconds(spent), 0)
		s.keys.fail(entry)
		standin.WriteJSON(w, http.StatusInternalServerError, standin.Refusal{Error: "failed by an injected fault"})
		return
	}
	result := resultOf(req)
	if entry != nil {
		s.keys.finish(entry, result)
	}
	s.ledger.End(id, ledger.Done, milliseconds(spent), 0)
	s.answerer.Answer(w, r, Answer{RequestID: req.RequestID, Attempt: req.Attempt, Result: result})
}

// work takes the scaled time of a call. It returns the nominal time spent and
// how the execution ended: failed when the replica went down.
func (s *Service) work(caller context.Context, nominal time.Duration) (time.Duration, ledger.State) {
	timer := time.NewTimer(time.Duration(float64(nominal) * s.cfg.TimeScale))
	defer timer.Stop()
	gone := caller.Done()
	if !s.cfg.Cancellation {
		gone = nil
	}
	start := time.Now()
	select {
	case <-timer.C:
		s.faults.AwaitThaw(s.ctx)
		return nominal, ledger.Done
	case <-gone:
		return s.spent(start, nominal), ledger.Cancelled
	case <-s.faults.Down():
	case <-s.ctx.Done():
	}
	return s.spent(start, nominal), ledger.Failed
}

// spent returns the nominal time passed since start.
func (s *Service) spent(start time.Time, nominal time.Duration) time.Duration {
	return min(time.Duration(float64(time.Since(start))/s.cfg.TimeScale), nominal)
}

// repeat answers a call whose key was executed before.
func (s *Service) repeat(w http.ResponseWriter, r *http.Request, req Request, e *keyEntry) {
	select {
	case <-e.done:
	case <-r.Context().Done():
		return
	case <-s.ctx.Done():
		standin.Cut()
	}
	st := s.keys.read(e)
	if st.Result == nil {
		standin.WriteJSON(w, http.StatusInternalServerError,
			standin.Refusal{Error: "the execution before failed; its effect is unknown"})
		return
	}
	s.ledger.Deduplicated()
	s.answerer.Answer(w, r, Answer{RequestID: req.RequestID, Attempt: req.Attempt, Result: *st.Result})
}

func (s *Service) status(w http.ResponseWriter, r *http.Request) {
	if s.cfg.NoStatusLookup {
		http.NotFound(w, r)
		return
	}
	if s.faults.Gate(w, r) {
		standin.WriteJSON(w, http.StatusOK, s.keys.status(r.PathValue("key")))
	}
}

func (s *Service) load(w http.ResponseWriter, r *http.Request) {
	if s.faults.IsDown() {
		standin.Cut()
	}
	s.faults.AwaitThaw(r.Context())
	standin.WriteJSON(w, http.StatusOK, s.slots.report.Report(time.Now()))
}

// serviceTime draws the nominal time of a call.
func (s *Service) serviceTime(req Request) time.Duration {
	h := xxhash.Sum64String(req.RequestID + "/" + req.Stage + "/" + strconv.Itoa(req.Attempt))
	random := rand.New(rand.NewPCG(s.cfg.Seed, h))
	return time.Duration(float64(s.cfg.Median) * math.Exp(s.cfg.Sigma*random.NormFloat64()))
}

func resultOf(req Request) Result {
	input, err := json.Marshal(req.Input)
	if err != nil {
		input = nil
	}
	return Result{
		Mark:   req.RequestID,
		Stage:  req.Stage,
		Digest: fmt.Sprintf("%016x", xxhash.Sum64(input)),
		Input:  req.Input,
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
