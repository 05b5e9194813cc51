package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

// The load of the case. A document has the size that the operator's limits allow.
const (
	documentBytes = 4 << 20
	documentRate  = 12
	checkRate     = 20
	checkWork     = 300 * time.Millisecond
	documentLimit = 15 * time.Second
	checkLimit    = 1500 * time.Millisecond
	// memoryConsumers is the number of consumers of each kind.
	memoryConsumers = 150
	// firstAtOnce is the number of consumers that send their first request at a time.
	firstAtOnce = 20
	// The replicas of the signing service read slowly for slowTime, after steadyTime.
	steadyTime = 6 * time.Second
	slowTime   = 6500 * time.Millisecond
	// allowedLosses is the number of answers that the rule lets a machine lose.
	allowedLosses = 3
)

// playMemory has consumers send documents to one of three daemons while the replicas that take
// them read slowly. Others ask the same daemon for identity checks, whose replicas are sound and
// fast. The platform ends a process that exceeds its memory.
func playMemory(s *site, trouble bool) (bool, error) {
	signing, err := s.startReplicas("signing-gateway", 9, 64, 15*time.Millisecond)
	if err != nil {
		return false, err
	}
	identity, err := s.startReplicas("identity", 4, 64, checkWork)
	if err != nil {
		return false, err
	}
	s.store.Put(names.Config, configuration("plain"))
	if err := s.startDaemons(); err != nil {
		return false, err
	}
	d := s.daemons[0]
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var peak atomic.Int64
	ended := make(chan struct{})
	go enforceMemory(ctx, d, &peak, func() {
		for _, r := range identity {
			s.note("%s runs %v", r.id, r.runningNow())
		}
		close(ended)
	})
	var lostDocuments, lostChecks atomic.Int64
	var group sync.WaitGroup
	document := bytes.Repeat([]byte("x"), documentBytes)
	keep := func(kind string) chan *consumer {
		idle := make(chan *consumer, memoryConsumers)
		var first errgroup.Group
		first.SetLimit(firstAtOnce)
		for i := range memoryConsumers {
			first.Go(func() error {
				c := s.newConsumer(d)
				// The first request is answered, and the consumer keeps the channel.
				c.send(http.MethodGet, "/check/first", fmt.Sprintf("first-%s-%d", kind, i), nil, checkLimit)
				idle <- c
				return nil
			})
		}
		_ = first.Wait() // no function returns an error
		return idle
	}
	sendEach := func(idle chan *consumer, perSecond int, lost *atomic.Int64, send func(c *consumer, n int) bool) {
		ticker := time.NewTicker(time.Second / time.Duration(perSecond))
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-ctx.Done():
				return
			case <-ended:
				return
			case <-ticker.C:
			}
			select {
			case c := <-idle:
				group.Go(func() {
					if !send(c, n) {
						lost.Add(1)
					}
					idle <- c
				})
			default: // all consumers wait for an answer
			}
		}
	}
	documents, checks := keep("document"), keep("check")
	s.note("%d consumers keep a channel to %s each", 2*memoryConsumers, d.name)
	group.Go(func() {
		sendEach(documents, documentRate, &lostDocuments, func(c *consumer, n int) bool {
			return c.send(http.MethodPost, "/seal/2f", fmt.Sprintf("document-%d", n), document, documentLimit)
		})
	})
	group.Go(func() {
		sendEach(checks, checkRate, &lostChecks, func(c *consumer, n int) bool {
			return c.send(http.MethodGet, "/check/2f", fmt.Sprintf("check-%d", n), nil, checkLimit)
		})
	})
	setSlow := func(slow bool) {
		s.note("replicas of signing-gateway read slowly: %v; most memory of %s so far: %d MB", slow, d.name, peak.Load()>>20)
		for _, r := range signing {
			r.slow.Store(slow)
		}
	}
	wait(ended, steadyTime)
	if trouble {
		setSlow(true)
	}
	wait(ended, slowTime)
	if trouble {
		setSlow(false)
	}
	wait(ended, 2*time.Second)
	cancel()
	group.Wait()
	s.note("most memory of %s: %d MB of %d; channels closed without an answer: %d documents, %d identity checks at sound replicas",
		d.name, peak.Load()>>20, memoryMB, lostDocuments.Load(), lostChecks.Load())
	return lostChecks.Load() > allowedLosses, nil
}

// wait waits for d, or until ended is closed.
func wait(ended <-chan struct{}, d time.Duration) {
	select {
	case <-ended:
	case <-time.After(d):
	}
}

// enforceMemory kills the process when its memory exceeds the limit, as the platform does.
func enforceMemory(ctx context.Context, d *daemon, peak *atomic.Int64, onKill func()) {
	p, _ := d.process()
	for ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
		resident := residentBytes(p.Pid)
		peak.Store(max(peak.Load(), resident))
		if resident > memoryMB<<20 {
			d.site.note("%s uses %d MB, over its limit of %d MB: the platform kills it", d.name, resident>>20, memoryMB)
			onKill()
			_ = p.Kill() // it runs
			return
		}
	}
}

// residentBytes returns the resident memory of a process; 0 if it has ended.
func residentBytes(pid int) int64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(raw))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}
