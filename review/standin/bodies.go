package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The load of one machine of the kawabata-roofmap sheet: 15.6 damage-narrative and 14.5
// roof-summary requests a second over six machines, with bodies as large as the limits of the
// configuration allow.
const (
	bodiesHost     = "roofs.example"
	maxBodyBytes   = 4 << 20
	narrativeEvery = 6 * time.Second / 156 * 10
	summaryEvery   = 6 * time.Second / 145 * 10
	bodiesPeriod   = 44 * time.Second
	// A replica that reads slowly takes about 13 s for the largest body.
	slowReadBytes    = 32 << 10
	slowReadInterval = 100 * time.Millisecond
	replicaCount     = 18
)

// playBodies sends requests with large bodies over kept connections. With trouble, the replicas
// read slowly.
func playBodies(rec *recorder, trouble bool) (bool, error) {
	f, err := newFleet(rec, 2)
	if err != nil {
		return false, err
	}
	defer f.close()
	b := &bodies{rec: rec, slow: trouble, passedOn: map[string]bool{}}
	for i := range replicaCount {
		if err := b.startReplica(f, i); err != nil {
			return false, err
		}
	}
	if err := f.putConfig("bodies"); err != nil {
		return false, err
	}
	if err := f.start(); err != nil {
		return false, err
	}
	end := time.Now().Add(bodiesPeriod)
	var senders sync.WaitGroup
	for _, d := range f.daemons {
		senders.Go(func() { b.sendPeriodically(&senders, d, "/narrative/", 20*time.Second, narrativeEvery, end) })
		senders.Go(func() { b.sendPeriodically(&senders, d, "/summary/", 15*time.Second, summaryEvery, end) })
	}
	senders.Wait()
	for _, d := range f.daemons {
		rec.line("%s: peak memory %.0f MB of %d, killed for it %d times", d.name, d.peakMB, memoryMB, d.memoryKills)
	}
	rec.line("answers: %d; refused (503 or 429): %d; other: %d; passed on to a sound replica and cut without an answer: %d", b.answered.Load(), b.refused.Load(), b.other.Load(), b.lost.Load())
	return b.lost.Load() > 3, nil
}

// bodies is the state of the stand-ins of playBodies.
type bodies struct {
	rec  *recorder
	slow bool
	next atomic.Uint64

	answered, refused, other, lost atomic.Int64

	mu       sync.Mutex
	passedOn map[string]bool
	idle     map[*daemon][]net.Conn
}

// startReplica starts a replica and enters it in the store.
func (b *bodies) startReplica(f *fleet, i int) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	id := fmt.Sprintf("i-%d", i)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { b.serveReplica(id, w, r) })}
	go func() { _ = server.Serve(l) }()
	f.store.Put("servers/"+id, map[string]any{
		"service": "pool", "address": l.Addr().String(), "zone": "miraflores", "version": "v1", "concurrency": 64, "phase": "ready", "seq": 1, "warmup_left_ms": 0,
	})
	return nil
}

// serveReplica reads the body, works for a while and streams three events.
func (b *bodies) serveReplica(id string, w http.ResponseWriter, r *http.Request) {
	requestID := r.Header.Get(wire.RequestID)
	if requestID == "" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	b.mu.Lock()
	b.passedOn[requestID] = true
	b.mu.Unlock()
	buf := make([]byte, slowReadBytes)
	for {
		_, err := io.ReadFull(r.Body, buf)
		if err == io.EOF || err == io.ErrUnexpectedEOF {
			break
		}
		if err != nil {
			return
		}
		if b.slow {
			time.Sleep(slowReadInterval)
		}
	}
	sign(w, id, requestID)
	w.Header().Set("Content-Type", "text/event-stream")
	for n := range 3 {
		fmt.Fprintf(w, "id: %d\ndata: piece\n\n", n+1)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(100 * time.Millisecond)
	}
}

// sendPeriodically sends a request to a daemon in every interval, each on a kept connection.
func (b *bodies) sendPeriodically(group *sync.WaitGroup, d *daemon, prefix string, deadline, interval time.Duration, end time.Time) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for time.Now().Before(end) {
		<-ticker.C
		group.Go(func() { b.send(d, prefix, deadline) })
	}
}

// connection returns a connection that has carried a request before: an idle one, or a new one on
// which a small request has been answered.
func (b *bodies) connection(d *daemon, prefix string, deadline time.Duration) (net.Conn, error) {
	b.mu.Lock()
	if free := b.idle[d]; len(free) > 0 {
		defer b.mu.Unlock()
		c := free[len(free)-1]
		b.idle[d] = free[:len(free)-1]
		return c, nil
	}
	b.mu.Unlock()
	c, err := net.DialTimeout("tcp", d.callerAddress(), time.Second)
	if err != nil {
		return nil, err
	}
	resp, err := b.exchange(c, b.nextID(), prefix, deadline, []byte("small"))
	if err == nil && resp.StatusCode == http.StatusOK {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	if err != nil || resp.Close {
		_ = c.Close()
		return nil, fmt.Errorf("the first request on a new connection was not answered: %w", err)
	}
	return c, nil
}

func (b *bodies) nextID() string { return fmt.Sprintf("%016x", b.next.Add(1)) }

// exchange sends a request and reads the head of its answer.
func (b *bodies) exchange(c net.Conn, id, prefix string, deadline time.Duration, body []byte) (*http.Response, error) {
	_ = c.SetDeadline(time.Now().Add(deadline + 2*time.Second))
	head := fmt.Sprintf("POST %s%s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nX-Api-Key: key-1\r\nModel: m\r\nContent-Length: %d\r\n\r\n",
		prefix, id, bodiesHost, id, deadline.Milliseconds(), len(body))
	if _, err := c.Write(append([]byte(head), body...)); err != nil {
		return nil, err
	}
	return http.ReadResponse(bufio.NewReader(c), nil)
}

func (b *bodies) keep(d *daemon, c net.Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.idle == nil {
		b.idle = map[*daemon][]net.Conn{}
	}
	b.idle[d] = append(b.idle[d], c)
}

var largestBody = bytes.Repeat([]byte("roof"), maxBodyBytes/4)

// send sends one request and records how it ended.
func (b *bodies) send(d *daemon, prefix string, deadline time.Duration) {
	conn, err := b.connection(d, prefix, deadline)
	if err != nil {
		b.other.Add(1)
		b.rec.line("consumer: no channel to %s: %v", d.name, err)
		return
	}
	id, began := b.nextID(), time.Now()
	resp, err := b.exchange(conn, id, prefix, deadline, largestBody)
	if err != nil {
		_ = conn.Close()
		b.mu.Lock()
		passedOn := b.passedOn[id]
		b.mu.Unlock()
		cut := !strings.Contains(err.Error(), "timeout")
		if passedOn && cut {
			b.lost.Add(1)
		} else {
			b.other.Add(1)
		}
		b.rec.line("consumer: %s to %s%s: no answer after %.1f s, passed on to a replica: %t: %v", id, d.name, prefix, time.Since(began).Seconds(), passedOn, err)
		return
	}
	_, err = io.Copy(io.Discard, resp.Body)
	b.rec.line("consumer: %s to %s%s: %d after %.1f s, whole: %t", id, d.name, prefix, resp.StatusCode, time.Since(began).Seconds(), err == nil)
	switch {
	case err != nil:
		b.other.Add(1)
	case resp.StatusCode == http.StatusOK:
		b.answered.Add(1)
	case resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests:
		b.refused.Add(1)
	default:
		b.other.Add(1)
	}
	if err != nil || resp.Close {
		_ = conn.Close()
		return
	}
	b.keep(d, conn)
}
