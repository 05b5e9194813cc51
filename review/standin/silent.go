package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The load of reelcorp-gye: the 5 winder-chat requests a second of zone gye-c.
const (
	silentHost     = "mill.example"
	silentEvery    = time.Second / 5
	silentPeriod   = 80 * time.Second
	silentDeadline = 20 * time.Second
	silentEngines  = 12
	// consumerGap is the gap after which consumers abandon a stream: four times the objective.
	consumerGap = 10 * time.Second
	// contact is contact_ms of the settings, and overlap the time that the rule allows the
	// earlier run.
	contact = 3 * time.Second
	overlap = 400 * time.Millisecond
)

// silentAt is when the open channels go silent.
var silentAt = []time.Duration{12 * time.Second, 30 * time.Second, 48 * time.Second, 66 * time.Second}

// playSilent streams answers through one machine. With trouble, its open channels to the replicas
// go silent four times, while new ones work.
func playSilent(rec *recorder, trouble bool) (bool, error) {
	f, err := newFleet(rec, 2)
	if err != nil {
		return false, err
	}
	defer f.close()
	ledger := &runLedger{reportedAt: map[string][]time.Time{}}
	var engines []*engine
	for i := range silentEngines {
		e, err := startEngine(rec, ledger, fmt.Sprintf("i-%d", i))
		if err != nil {
			return false, err
		}
		defer e.close()
		engines = append(engines, e)
		f.store.Put("servers/"+e.id, map[string]any{
			"service": "pool", "address": e.proxy.address(), "zone": "miraflores", "version": "v1", "concurrency": 64, "phase": "ready", "seq": 1, "warmup_left_ms": 0,
		})
	}
	if err := f.putConfig("silent"); err != nil {
		return false, err
	}
	if err := f.start(); err != nil {
		return false, err
	}
	for _, after := range silentAt {
		if !trouble {
			break
		}
		time.AfterFunc(after, func() {
			n := 0
			for _, e := range engines {
				n += e.proxy.silence()
			}
			ledger.mu.Lock()
			ledger.silencedAt = append(ledger.silencedAt, time.Now())
			ledger.mu.Unlock()
			rec.line("network: %d open channels to replicas go silent for good; new ones work", n)
		})
	}
	var consumers sync.WaitGroup
	ticker := time.NewTicker(silentEvery)
	defer ticker.Stop()
	end := time.Now().Add(silentPeriod)
	for n := uint64(1); time.Now().Before(end); n++ {
		<-ticker.C
		consumers.Go(func() { consumeStream(rec, f.daemons[0], fmt.Sprintf("%016x", n)) })
	}
	consumers.Wait()
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	return ledger.checkTwice(rec), nil
}

// checkTwice reports whether a request went on at another replica while the one before still
// worked on it, from a machine in touch.
func (l *runLedger) checkTwice(rec *recorder) bool {
	broken, excused := 0, 0
	for i, second := range l.runs {
		for _, before := range l.runs[:i] {
			if before.request != second.request || before.engine == second.engine {
				continue
			}
			until := before.ended
			if until.IsZero() {
				until = time.Now()
			}
			both := until.Sub(second.began)
			if both <= overlap {
				continue
			}
			answered := lastBefore(l.reportedAt[before.engine], second.began)
			silencedAt := lastBefore(l.silencedAt, second.began)
			inTouch := second.began.Sub(silencedAt) > contact
			rec.line("%s: %s went on with it %.2f s after the channels went silent; %s worked on it %.2f s longer; machine in touch: %t; %s last answered it on a new channel %.2f s before",
				second.request, second.engine, second.began.Sub(silencedAt).Seconds(), before.engine, both.Seconds(), inTouch, before.engine, second.began.Sub(answered).Seconds())
			if inTouch && second.began.Sub(answered) < contact {
				broken++
			} else {
				excused++
			}
		}
	}
	rec.line("TWICE: %d runs went on elsewhere while the run before was at work, by a machine in touch; %d more within contact_ms", broken, excused)
	return broken > 0
}

// lastBefore is the last of several ascending times before another one; zero if there is none.
func lastBefore(times []time.Time, before time.Time) (last time.Time) {
	for _, at := range times {
		if at.Before(before) {
			last = at
		}
	}
	return last
}

// consumeStream sends a request and reads its stream, as long as its gaps are short enough.
func consumeStream(rec *recorder, d *daemon, id string) {
	conn, err := net.DialTimeout("tcp", d.callerAddress(), time.Second)
	if err != nil {
		rec.line("consumer: %s: %v", id, err)
		return
	}
	defer conn.Close()
	body := "a reel"
	n, _ := strconv.ParseUint(id, 16, 64)
	_, _ = fmt.Fprintf(conn, "POST /chat/%s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nX-Api-Key: key-1\r\nModel: m\r\nToken-Usage: 715,700\r\nPrefix-Hash: 5c%02x:103,91%02x:69,%s:543\r\nContent-Length: %d\r\n\r\n%s",
		id, silentHost, id, silentDeadline.Milliseconds(), n%20, n%231, id, len(body), body)
	_ = conn.SetReadDeadline(time.Now().Add(consumerGap))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		rec.line("consumer: %s: no answer: %v", id, err)
		return
	}
	events := 0
	lines := bufio.NewReader(resp.Body)
	for {
		line, err := lines.ReadString('\n')
		if strings.HasPrefix(line, "id:") {
			events++
			_ = conn.SetReadDeadline(time.Now().Add(consumerGap))
		}
		if err != nil {
			rec.line("consumer: %s to %s: %d, %d events of %d, whole: %t", id, d.name, resp.StatusCode, events, eventsOf(id), errors.Is(err, io.EOF) && events == eventsOf(id))
			return
		}
	}
}
