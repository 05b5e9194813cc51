package main

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// engineStepTime is four times the sheet's least time of a step, as beside other requests
	// and their prompts; tokensPerEvent is the number of steps of one event.
	engineStepTime = 4 * 5230 * time.Microsecond
	tokensPerEvent = 3
	eventInterval  = tokensPerEvent * engineStepTime
	prefillTime    = 100 * time.Millisecond
	reportLag      = 200 * time.Millisecond
)

// engine is a model replica: it streams events, drops a run whose channel closes, and reports
// its runs.
type engine struct {
	id     string
	rec    *recorder
	ledger *runLedger
	holds  atomic.Uint64
	server *http.Server
	proxy  *proxy
}

// run is one run of a request at an engine.
type run struct {
	request, engine string
	first           int
	began, ended    time.Time
	// made holds the time of each event.
	made []time.Time
	// whole says that the run has made its last event.
	whole bool
}

// runLedger holds the runs of all engines.
type runLedger struct {
	mu   sync.Mutex
	runs []*run
	// reportedAt is when an engine answered calls for its report, by engine.
	reportedAt map[string][]time.Time
	// silencedAt is when open channels went silent.
	silencedAt []time.Time
}

// startEngine starts an engine behind a proxy.
func startEngine(rec *recorder, ledger *runLedger, id string) (*engine, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{id: id, rec: rec, ledger: ledger}
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(l) }()
	e.proxy, err = startProxy(l.Addr().String())
	return e, err
}

func (e *engine) close() {
	e.proxy.close()
	_ = e.server.Close()
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get(wire.ExpectedReplica); want != "" && want != e.id {
		w.Header().Set(wire.NotExecuted, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == wire.ReportPath:
		e.report(w)
	case r.URL.Path == wire.HoldPath:
		writeJSON(w, map[string]any{"hold": fmt.Sprintf("%s-h%d", e.id, e.holds.Add(1))})
	case r.Method == http.MethodDelete:
		w.WriteHeader(http.StatusOK)
	case r.Header.Get(wire.RequestID) == "":
		w.Header().Set(wire.NotExecuted, "1")
		w.WriteHeader(http.StatusBadRequest)
	default:
		e.stream(w, r)
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// report lists the runs as of some hundred milliseconds ago.
func (e *engine) report(w http.ResponseWriter) {
	now := time.Now()
	asOf := now.Add(-reportLag)
	runs := [][]any{}
	e.ledger.mu.Lock()
	e.ledger.reportedAt[e.id] = append(e.ledger.reportedAt[e.id], now)
	for _, r := range e.ledger.runs {
		if r.engine != e.id || r.began.After(asOf) || !r.ended.IsZero() && r.ended.Before(asOf) {
			continue
		}
		made := r.first - 1
		for _, at := range r.made {
			if !at.After(asOf) {
				made++
			}
		}
		runs = append(runs, []any{r.request, 1000, made, 5})
	}
	e.ledger.mu.Unlock()
	writeJSON(w, map[string]any{
		"stage": "colocated", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false, "seq": 1,
		"queued": 0, "active": len(runs), "kv_in_use": 1000 * len(runs), "kv_size": 343821, "handles": 0, "phase": "ready", "next": 0, "runs": runs, "pinned": 0, "held": 0,
	})
}

// stream runs a request: from the event after Last-Event-Id to the last one.
func (e *engine) stream(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(wire.RequestID)
	last, _ := strconv.Atoi(r.Header.Get(wire.LastEvent))
	this := &run{request: id, engine: e.id, first: last + 1, began: time.Now()}
	e.ledger.mu.Lock()
	e.ledger.runs = append(e.ledger.runs, this)
	e.ledger.mu.Unlock()
	e.rec.line("replica %s begins %s, from event %d", e.id, id, this.first)
	defer func() {
		e.ledger.mu.Lock()
		this.ended = time.Now()
		e.ledger.mu.Unlock()
		e.rec.line("replica %s ends %s: %d events made, whole: %t", e.id, id, len(this.made), this.whole)
	}()
	sign(w, e.id, id)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(wire.Load, "8,0,64")
	wait := prefillTime
	for n := this.first; n <= eventsOf(id); n++ {
		select {
		case <-r.Context().Done():
			return // the channel was closed
		case <-time.After(wait):
		}
		wait = eventInterval
		e.ledger.mu.Lock()
		this.made = append(this.made, time.Now())
		e.ledger.mu.Unlock()
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s/%d\n\n", n, id, n); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
	this.whole = true
}

// The sheet's numbers of events of an answer: lognormal, and cut off at the most.
const (
	meanEvents   = 93.3
	eventsSpread = 0.7
	mostEvents   = 231
)

// eventsOf is the number of events of a request's answer, which depends on the request alone.
func eventsOf(id string) int {
	n, _ := strconv.ParseUint(id, 16, 64)
	normal := rand.New(rand.NewPCG(n, 1)).NormFloat64()
	return min(mostEvents, max(1, int(meanEvents*math.Exp(eventsSpread*normal-eventsSpread*eventsSpread/2))))
}
