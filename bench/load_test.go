package bench

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"
)

// loadOrder asks the outside for a closed loop of calls.
type loadOrder struct {
	// Target is the daemon's address; empty calls the upstreams directly,
	// Stages times one after the other.
	Target      string
	Path        string
	Body        string
	Stages      int
	Calls       int
	Concurrency int
}

// loadResult is what the callers saw; times are in microseconds.
type loadResult struct {
	Median  int64
	P99     int64
	Bytes   int64
	Seconds float64
}

// Bounds of the callers' histogram, in microseconds.
const (
	histogramMax    = 60_000_000
	histogramDigits = 3
)

func (o *outside) load(order loadOrder) (loadResult, error) {
	began := time.Now()
	left, read := atomic.Int64{}, atomic.Int64{}
	left.Store(int64(order.Calls))
	histograms := make([]*hdrhistogram.Histogram, order.Concurrency)
	var group errgroup.Group
	for i := range histograms {
		h := hdrhistogram.New(1, histogramMax, histogramDigits)
		histograms[i] = h
		group.Go(func() error {
			for left.Add(-1) >= 0 {
				from := time.Now()
				n, err := o.call(order)
				if err != nil {
					return err
				}
				read.Add(n)
				if err := h.RecordValue(max(1, time.Since(from).Microseconds())); err != nil {
					return err
				}
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return loadResult{}, err
	}
	for _, h := range histograms[1:] {
		histograms[0].Merge(h)
	}
	return loadResult{
		Median: histograms[0].ValueAtQuantile(50), P99: histograms[0].ValueAtQuantile(99),
		Bytes: read.Load(), Seconds: time.Since(began).Seconds(),
	}, nil
}

// call makes one call and returns the bytes of its answer.
func (o *outside) call(order loadOrder) (int64, error) {
	if order.Target != "" {
		return o.post("http://"+order.Target+order.Path, order.Body)
	}
	var sum int64
	for i := range order.Stages {
		n, err := o.post("http://"+o.upstreams[i%len(o.upstreams)]+"/v1/encode", order.Body)
		if err != nil {
			return 0, err
		}
		sum += n
	}
	return sum, nil
}

var errBadAnswer = errors.New("no whole answer")

func (o *outside) post(url, body string) (int64, error) {
	req, err := http.NewRequest(http.MethodPost, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+apiKey(customers-1))
	req.Header.Set("X-Request-Id", "direct")
	req.Header.Set("X-Attempt", strconv.Itoa(1))
	resp, err := o.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err
	}
	if resp.StatusCode != http.StatusOK || bytes.Contains(raw, []byte("event: error")) {
		return 0, fmt.Errorf("%w: %d %s", errBadAnswer, resp.StatusCode, raw)
	}
	return int64(len(raw)), nil
}

// holdOrder asks the outside to have Calls more calls in flight.
type holdOrder struct {
	loadOrder
	// Total is the number of calls in flight that is waited for.
	Total int
}

// holdTimeout bounds the wait until all calls stand at the upstreams.
const holdTimeout = 30 * time.Second

// openAtOnce bounds the calls that are opened at the same time.
const openAtOnce = 64

// hold opens calls and returns when all have reached an upstream.
func (o *outside) hold(order holdOrder) (bool, error) {
	o.mu.Lock()
	if o.release == nil {
		o.release = make(chan struct{})
	}
	o.mu.Unlock()
	failed := make(chan error, order.Calls)
	end := time.Now().Add(holdTimeout)
	for i := range order.Calls {
		if err := o.awaitHeld(order.Total-order.Calls+i+1-openAtOnce, failed, end); err != nil {
			return false, err
		}
		o.opened.Go(func() {
			if _, err := o.call(order.loadOrder); err != nil {
				failed <- err
			}
		})
	}
	err := o.awaitHeld(order.Total, failed, end)
	return err == nil, err
}

// awaitHeld waits until n calls stand at the upstreams.
func (o *outside) awaitHeld(n int, failed <-chan error, end time.Time) error {
	for int(o.held.Load()) < n {
		if len(failed) > 0 {
			return <-failed
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d calls in flight", o.held.Load(), n)
		}
		time.Sleep(time.Millisecond)
	}
	return nil
}

// letGo lets all calls in flight end.
func (o *outside) letGo(struct{}) (bool, error) {
	o.mu.Lock()
	if o.release != nil {
		close(o.release)
		o.release = nil
	}
	o.mu.Unlock()
	o.opened.Wait()
	return true, nil
}
