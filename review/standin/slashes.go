package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const slashesHost = "seal.example"

// playSlashes sends requests whose path begins with two slashes, and compares what replicas run
// with what was sent.
func playSlashes(rec *recorder, trouble bool) (bool, error) {
	f, err := newFleet(rec, 2)
	if err != nil {
		return false, err
	}
	defer f.close()
	seen := &runs{byID: map[string]string{}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return false, err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(wire.RequestID)
		got := fmt.Sprintf("%s http://%s%s", r.Method, r.Host, r.URL.RequestURI())
		seen.record(id, got)
		rec.line("replica i-1 runs %s: request line %q, that is %s", id, r.Method+" "+r.RequestURI+" "+r.Proto, got)
		sign(w, "i-1", id)
		_, _ = w.Write([]byte("ok"))
	})}
	go func() { _ = server.Serve(l) }()
	defer server.Close()
	f.store.Put("servers/i-1", map[string]any{
		"service": "signing", "address": l.Addr().String(), "zone": "miraflores", "version": "v1", "concurrency": 6, "phase": "ready", "seq": 1, "warmup_left_ms": 0,
	})
	if err := f.putConfig("slashes"); err != nil {
		return false, err
	}
	if err := f.start(); err != nil {
		return false, err
	}
	broken := 0
	for i, p := range []string{"/seal/17", "/seal/17?copy=1", "/contract-4/seal", "/a/b//c"} {
		path := p
		if trouble {
			path = "/" + p
		}
		for k, d := range f.daemons {
			id := fmt.Sprintf("%016x", i*16+k+1)
			rec.line("consumer sends %s to %s: POST %s, Host: %s", id, d.name, path, slashesHost)
			status, err := post(d.callerAddress(), path, id)
			if err != nil {
				return false, err
			}
			rec.line("consumer gets %q for %s", status, id)
			want := "POST http://" + slashesHost + path
			if got := seen.get(id); got != "" && got != want {
				broken++
				rec.line("UNASKED: sent %s, run as %s", want, got)
			}
		}
	}
	rec.line("%d requests ran with another path or host than the consumer's", broken)
	return broken > 0, nil
}

// runs holds what the replicas ran, by request.
type runs struct {
	mu   sync.Mutex
	byID map[string]string
}

func (r *runs) record(id, what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byID[id] = what
}

func (r *runs) get(id string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byID[id]
}

// post sends one request and returns the status line of the answer.
func post(address, path, id string) (string, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	body := "document " + id
	if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 1500\r\nX-Api-Key: key-1\r\nContent-Length: %d\r\n\r\n%s",
		path, slashesHost, id, len(body), body); err != nil {
		return "", err
	}
	status, err := bufio.NewReader(conn).ReadString('\n')
	return strings.TrimSpace(status), err
}
