package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// replica is a replica of a plain service.
type replica struct {
	id, service, address string
	// work is the time that a request takes once it has been read.
	work time.Duration
	// slow is set while the replica reads bodies slowly.
	slow atomic.Bool

	mu sync.Mutex
	// runs holds the request target of each run, by the id of the request, and running the
	// requests that it has not answered yet.
	runs    map[string]string
	running map[string]bool
}

// A replica that reads slowly takes slowReadBytes each slowReadInterval.
const (
	slowReadBytes    = 32 << 10
	slowReadInterval = 100 * time.Millisecond
)

// startReplicas starts replicas of a service and registers them in the store.
func (s *site) startReplicas(service string, n, concurrency int, work time.Duration) ([]*replica, error) {
	var out []*replica
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		r := &replica{id: fmt.Sprintf("i-%s-%d", service, i+1), service: service, address: l.Addr().String(), work: work, runs: map[string]string{}, running: map[string]bool{}}
		server := &http.Server{Handler: r, ReadHeaderTimeout: time.Minute}
		go func() { _ = server.Serve(l) }() // ends with the process
		s.register(r.id, service, r.address, fmt.Sprintf("zone-%d", i%zones+1), concurrency, "ready")
		out = append(out, r)
	}
	return out, nil
}

// register writes the entry of a replica. The store has acknowledged it when register returns.
func (s *site) register(id, service, address, zone string, concurrency int, phase string) {
	s.store.Put(names.Replicas+id, map[string]any{
		"service": service, "address": address, "zone": zone, "version": "1",
		"concurrency": concurrency, "phase": phase, "warmup_left_ms": 0, "seq": 1,
	})
}

// ServeHTTP implements http.Handler.
func (r *replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if want := req.Header.Get(names.Expected); want != "" && want != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := req.Header.Get(names.Attempt)
	r.mu.Lock()
	r.runs[id], r.running[id] = req.RequestURI, true
	r.mu.Unlock()
	n, err := r.read(req.Body)
	if err != nil {
		return // the caller has closed the channel
	}
	time.Sleep(r.work)
	r.mu.Lock()
	delete(r.running, id)
	r.mu.Unlock()
	w.Header().Set(names.Attempt, id)
	w.Header().Set(names.Signature, r.id+"."+id)
	w.Header().Set(names.Load, "1,0,64")
	fmt.Fprintf(w, "%s read %d bytes", id, n)
}

func (r *replica) read(body io.Reader) (total int64, err error) {
	buf := make([]byte, slowReadBytes)
	for {
		n, err := body.Read(buf)
		total += int64(n)
		if err == io.EOF {
			return total, nil
		}
		if err != nil {
			return total, err
		}
		if r.slow.Load() {
			time.Sleep(slowReadInterval)
		}
	}
}

// target returns the request target with which the replica ran a request; "" if it did not.
func (r *replica) target(id string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// runningNow returns the ids of the requests that have not been answered.
func (r *replica) runningNow() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ids []string
	for id := range r.running {
		ids = append(ids, id)
	}
	return ids
}
