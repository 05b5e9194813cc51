package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	standin "github.com/wheatseam/wheatseam/internal/standin/site"
)

// The deployment and the load of the case.
const (
	engines       = 6
	stageServices = 6
	stageReplicas = 4
	concurrency   = 64
	// stageTime is the time of a full call of the configured stage services: 240 ms and eight
	// pieces of 26 ms each.
	stageTime     = 448 * time.Millisecond
	eventInterval = 50 * time.Millisecond
	streamEvents  = 64
	streamRate    = 16
	streamLimit   = 15 * time.Second
	// sharedParts is the number of different parts that prompts share.
	sharedParts = 73
	drainBound  = 2 * time.Second
)

// The times of the case, from its first request on.
const (
	// darkAt is when one engine crashes. It is silent for darkTime, and its entry expires after
	// expiryTime, three intervals of its liveness report.
	darkAt     = 8 * time.Second
	expiryTime = 3600 * time.Millisecond
	darkTime   = 5 * time.Second
	// A release replaces releasedEngines one after the other: a new one starts, and the old one
	// drains. It still serves for leavesAfter.
	releaseAt       = 9400 * time.Millisecond
	releaseGap      = time.Second
	releasedEngines = 3
	leavesAfter     = 8 * time.Second
	lastRequestAt   = 14 * time.Second
)

// playDrain releases engines while another one is silent, and looks for requests that reach an
// engine too late after the store has acknowledged that it drains.
func playDrain(s *site, trouble bool) (bool, error) {
	ledger := standin.NewLedger()
	start := func(id, service string, kind standin.Kind, n int, b standin.Behaviour) (*standin.Replica, error) {
		r, err := standin.StartReplica(ledger, id, service, kind, "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		r.FailureDomain, r.EventsPerStream = fmt.Sprintf("zone-%d", n%zones+1), streamEvents
		r.SetBehaviour(b)
		s.register(r, "ready")
		return r, nil
	}
	var llm []*standin.Replica
	for i := range engines {
		r, err := start(fmt.Sprintf("engine-%d", i+1), "wheatseam-llm", standin.Engine, i, standin.Behaviour{EventInterval: eventInterval})
		if err != nil {
			return false, err
		}
		llm = append(llm, r)
	}
	for i := range stageServices {
		for k := range stageReplicas {
			service := fmt.Sprintf("stage-%d", i)
			if _, err := start(fmt.Sprintf("%s-%d", service, k+1), service, standin.Stage, k, standin.Behaviour{ServiceTime: stageTime}); err != nil {
				return false, err
			}
		}
	}
	s.store.Put(names.Config, configuration("chain"))
	if err := s.startDaemons(); err != nil {
		return false, err
	}
	began := time.Now()
	if trouble {
		dark := llm[0]
		time.AfterFunc(darkAt, func() {
			s.note("%s crashes and is silent for %s", dark.ID, darkTime)
			dark.Freeze()
		})
		time.AfterFunc(darkAt+expiryTime, func() { s.store.Delete(names.Replicas + dark.ID) })
		time.AfterFunc(darkAt+darkTime, dark.Close)
	}
	var mu sync.Mutex
	acknowledged := map[string]time.Time{}
	for i := range releasedEngines {
		r := llm[1+i]
		time.AfterFunc(releaseAt+time.Duration(i)*releaseGap, func() {
			next, err := start(fmt.Sprintf("engine-%d", engines+1+i), r.Service, standin.Engine, 1+i, standin.Behaviour{EventInterval: eventInterval})
			if err != nil {
				s.note("no new engine: %v", err)
				return
			}
			s.note("%s has started", next.ID)
			s.register(r, "draining")
			mu.Lock()
			llm = append(llm, next)
			acknowledged[r.ID] = time.Now()
			mu.Unlock()
			s.note("the store has acknowledged that %s is draining", r.ID)
		})
		time.AfterFunc(releaseAt+time.Duration(i)*releaseGap+leavesAfter, func() { s.store.Delete(names.Replicas + r.ID) })
	}
	s.sendStreams(began.Add(lastRequestAt))
	late := 0
	mu.Lock()
	defer mu.Unlock()
	for _, r := range llm {
		at, drained := acknowledged[r.ID]
		for _, a := range r.Arrivals() {
			s.note("%s was sent request %s at %.3f s", r.ID, a.RequestID, a.ArrivedAt.Sub(s.began).Seconds())
			if drained && a.ArrivedAt.Sub(at) > drainBound {
				late++
				s.note("request %s reached %s %.3f s after the acknowledgement, over the bound of %s", a.RequestID, r.ID, a.ArrivedAt.Sub(at).Seconds(), drainBound)
			}
		}
	}
	s.note("requests that reached a draining engine too late: %d", late)
	return late > 0, nil
}

// register writes the entry of a replica. The store has acknowledged it when register returns.
func (s *site) register(r *standin.Replica, phase string) {
	s.store.Put(names.Replicas+r.ID, map[string]any{
		"service": r.Service, "address": r.Address(), "zone": r.FailureDomain, "version": "1",
		"concurrency": concurrency, "phase": phase, "warmup_left_ms": 0, "seq": 1,
	})
}

// sendStreams sends requests for streams to the daemons in turn until the given time, and waits
// for their ends.
func (s *site) sendStreams(until time.Time) {
	var group sync.WaitGroup
	ticker := time.NewTicker(time.Second / streamRate)
	defer ticker.Stop()
	for n := 0; time.Now().Before(until); n++ {
		<-ticker.C
		d := s.daemons[n%len(s.daemons)]
		group.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), streamLimit)
			defer cancel()
			call := standin.Call{
				ID: fmt.Sprintf("r%d", n), Path: standin.ResumablePath, Deadline: streamLimit, PieceCounts: []int{1, 1, 1, 1, 1, 1},
				Prompt: fmt.Sprintf("%x:4800,%x:600", n%sharedParts, 0x1000+n),
			}
			s.note("request %s sent to %s", call.ID, d.name)
			resp := standin.Send(ctx, &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, d.address(portPublic), call)
			s.note("request %s through %s: status %d, %d events, error %v", call.ID, d.name, resp.Status, standin.CompleteEvents(resp.Body), resp.Err)
		})
	}
	group.Wait()
}
