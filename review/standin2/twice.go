package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	standin "github.com/wheatseam/wheatseam/internal/standin/site"
)

// The deployment and the load of the case.
const (
	// With the engine that mutes streams there are seven: it is a share of 0.14.
	soundEngines = 6
	// The engine mutes mutedOf of mutedEach streams, a share of 0.44.
	mutedOf, mutedEach = 4, 9
	// longStream is the number of events of each stream; contract-review has up to 187.
	longStream = 120
	twiceRate  = 14
	// muteAt is when the engine begins to mute streams, for muteTime.
	muteAt      = 3 * time.Second
	muteTime    = 6500 * time.Millisecond
	twiceLength = 10 * time.Second
	// stopBound is how long a run may go on after another replica has begun to continue it.
	stopBound = 400 * time.Millisecond
)

// engineRun is a run of a keepingEngine.
type engineRun struct {
	began, ended time.Time
	events       int
	muted        bool
}

// keepingEngine is an engine that doesn't drop a request when its channel closes: it finishes
// the run.
type keepingEngine struct {
	id, address string

	mu sync.Mutex
	// muting is set while the engine mutes streams, and begun counts those that began.
	muting bool
	begun  int
	runs   map[string]*engineRun
	holds  int
}

func (s *site) startKeepingEngine(id string) (*keepingEngine, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &keepingEngine{id: id, address: l.Addr().String(), runs: map[string]*engineRun{}}
	server := &http.Server{Handler: e, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }() // ends with the process
	s.register(id, "wheatseam-llm", e.address, "zone-1", 64, "ready")
	return e, nil
}

// ServeHTTP implements http.Handler.
func (e *keepingEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch want := r.Header.Get(names.Expected); {
	case want != "" && want != e.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
	case r.URL.Path == names.Report:
		e.report(w)
	case r.URL.Path == names.Reserve:
		e.mu.Lock()
		e.holds++
		hold := e.holds
		e.mu.Unlock()
		writeJSON(w, map[string]any{"hold": fmt.Sprintf("%s-%d", e.id, hold)})
	case strings.HasPrefix(r.URL.Path, names.Release):
	default:
		e.stream(w, r)
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the caller may have left
}

// report lists the runs in progress.
func (e *keepingEngine) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := [][]any{}
	for id, run := range e.runs {
		if run.ended.IsZero() {
			runs = append(runs, []any{id, 5400 + run.events, run.events, 5})
		}
	}
	writeJSON(w, map[string]any{"stage": "colocated", "queued": 0, "active": len(runs), "kv_in_use": 0, "kv_size": 509358, "handles": 0, "runs": runs})
}

// stream makes the events of a run to its end, and sends them unless it is muted.
func (e *keepingEngine) stream(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(names.Attempt)
	first, _ := strconv.Atoi(r.Header.Get(names.LastEvent)) // 0 without one
	run := &engineRun{began: time.Now(), events: first}
	e.mu.Lock()
	e.begun++
	run.muted = e.muting && e.begun%mutedEach < mutedOf
	e.runs[id] = run
	e.mu.Unlock()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(names.Attempt, id)
	w.Header().Set(names.Signature, "s."+e.id+"."+id)
	w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(w)
	_ = flusher.Flush() // the run goes on if the caller has left
	for n := first + 1; n <= longStream; n++ {
		time.Sleep(eventInterval)
		e.mu.Lock()
		run.events = n
		e.mu.Unlock()
		if run.muted {
			continue
		}
		_, _ = fmt.Fprint(w, standin.EventText(id, n)) // see above
		_ = flusher.Flush()
	}
	e.mu.Lock()
	run.ended = time.Now()
	e.mu.Unlock()
	if run.muted {
		<-r.Context().Done()
	}
}

// playTwice has one engine mute part of its streams while it works on them, and looks for
// requests that another engine continues meanwhile.
func playTwice(s *site, trouble bool) (bool, error) {
	keeping, err := s.startKeepingEngine("engine-1")
	if err != nil {
		return false, err
	}
	ledger := standin.NewLedger()
	for i := range soundEngines {
		r, err := standin.StartReplica(ledger, fmt.Sprintf("engine-%d", i+2), "wheatseam-llm", standin.Engine, "127.0.0.1:0")
		if err != nil {
			return false, err
		}
		r.FailureDomain, r.EventsPerStream = fmt.Sprintf("zone-%d", i%zones+1), longStream
		r.SetBehaviour(standin.Behaviour{EventInterval: eventInterval})
		s.registerEngine(r, "ready")
	}
	s.store.Put(names.Config, configuration("streams"))
	if err := s.startDaemons(); err != nil {
		return false, err
	}
	setMuting := func(muting bool) {
		keeping.mu.Lock()
		defer keeping.mu.Unlock()
		keeping.muting = muting
		s.note("%s mutes part of the streams that begin there: %v", keeping.id, muting)
	}
	if trouble {
		time.AfterFunc(muteAt, func() { setMuting(true) })
		time.AfterFunc(muteAt+muteTime, func() { setMuting(false) })
	}
	s.sendStreams(streamLoad{rate: twiceRate, until: time.Now().Add(twiceLength)})
	broken := 0
	keeping.mu.Lock()
	defer keeping.mu.Unlock()
	for id, run := range keeping.runs {
		for _, other := range ledger.Runs(id) {
			ended := run.ended
			if ended.IsZero() {
				ended = time.Now()
			}
			if over := ended.Sub(other.StartedAt); other.StartedAt.After(run.began) && over > stopBound {
				broken++
				s.note("request %s went on at %s after event %s, %.3f s after it began at %s, which worked on it for another %.3f s",
					id, other.Replica, other.LastEventID, other.StartedAt.Sub(run.began).Seconds(), keeping.id, over.Seconds())
			}
		}
	}
	s.note("requests that two engines worked on for over %s: %d", stopBound, broken)
	return broken > 0, nil
}
