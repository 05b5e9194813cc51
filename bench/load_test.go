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

// loadRequest requests a closed-loop load from the harness.
type loadRequest struct {
	// Target is the daemon's address. If it is empty, each call is made directly
	// to Stages upstreams, one after the other.
	Target      string
	Path        string
	Body        string
	Stages      int
	Calls       int
	Concurrency int
}

// loadResult is the result of a load. Median and P99 are latencies in microseconds;
// Bytes is the total size of the responses.
type loadResult struct {
	Median  int64
	P99     int64
	Bytes   int64
	Seconds float64
}

// Largest value, in microseconds, and significant digits of the latency histograms.
const (
	histogramMax    = 60_000_000
	histogramDigits = 3
)

func (h *harness) runLoad(load loadRequest) (loadResult, error) {
	began := time.Now()
	remaining, bytesRead := atomic.Int64{}, atomic.Int64{}
	remaining.Store(int64(load.Calls))
	histograms := make([]*hdrhistogram.Histogram, load.Concurrency)
	var group errgroup.Group
	for i := range histograms {
		histogram := hdrhistogram.New(1, histogramMax, histogramDigits)
		histograms[i] = histogram
		group.Go(func() error {
			for remaining.Add(-1) >= 0 {
				from := time.Now()
				n, err := h.makeCall(load)
				if err != nil {
					return err
				}
				bytesRead.Add(n)
				if err := histogram.RecordValue(max(1, time.Since(from).Microseconds())); err != nil {
					return err
				}
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return loadResult{}, err
	}
	for _, histogram := range histograms[1:] {
		histograms[0].Merge(histogram)
	}
	return loadResult{
		Median: histograms[0].ValueAtQuantile(50), P99: histograms[0].ValueAtQuantile(99),
		Bytes: bytesRead.Load(), Seconds: time.Since(began).Seconds(),
	}, nil
}

// makeCall makes one call and returns the size of its response in bytes.
func (h *harness) makeCall(load loadRequest) (int64, error) {
	if load.Target != "" {
		return h.post("http://"+load.Target+load.Path, load.Body)
	}
	var sum int64
	for i := range load.Stages {
		n, err := h.post("http://"+h.upstreams[i%len(h.upstreams)]+"/v1/encode", load.Body)
		if err != nil {
			return 0, err
		}
		sum += n
	}
	return sum, nil
}

var errIncompleteResponse = errors.New("incomplete response")

func (h *harness) post(url, body string) (int64, error) {
	req, err := http.NewRequest(http.MethodPost, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+apiKey(customerCount-1))
	req.Header.Set("X-Request-Id", "direct")
	req.Header.Set("X-Attempt", strconv.Itoa(1))
	resp, err := h.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err
	}
	if resp.StatusCode != http.StatusOK || bytes.Contains(raw, []byte("event: error")) {
		return 0, fmt.Errorf("%w: %d %s", errIncompleteResponse, resp.StatusCode, raw)
	}
	return int64(len(raw)), nil
}

// holdRequest requests Calls more calls from the harness that stay in flight.
type holdRequest struct {
	loadRequest
	// Total is the number of calls in flight to wait for.
	Total int
}

// holdTimeout limits the wait until all calls have reached an upstream.
const holdTimeout = 30 * time.Second

// maxUnheldCalls limits the calls that have been started and have not yet reached an
// upstream.
const maxUnheldCalls = 64

// holdCalls starts calls and returns when all have reached an upstream, or with the
// error of a failed one.
func (h *harness) holdCalls(hold holdRequest) (bool, error) {
	h.mu.Lock()
	if h.release == nil {
		h.release = make(chan struct{})
	}
	h.mu.Unlock()
	failed := make(chan error, hold.Calls)
	end := time.Now().Add(holdTimeout)
	for i := range hold.Calls {
		if err := h.awaitHeld(hold.Total-hold.Calls+i+1-maxUnheldCalls, failed, end); err != nil {
			return false, err
		}
		h.openCalls.Go(func() {
			if _, err := h.makeCall(hold.loadRequest); err != nil {
				failed <- err
			}
		})
	}
	err := h.awaitHeld(hold.Total, failed, end)
	return err == nil, err
}

// awaitHeld waits until n calls are held at the upstreams.
func (h *harness) awaitHeld(n int, failed <-chan error, end time.Time) error {
	for int(h.heldCalls.Load()) < n {
		if len(failed) > 0 {
			return <-failed
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d calls in flight", h.heldCalls.Load(), n)
		}
		time.Sleep(time.Millisecond)
	}
	return nil
}

// releaseCalls lets all held calls complete and waits for them.
func (h *harness) releaseCalls(struct{}) (bool, error) {
	h.mu.Lock()
	if h.release != nil {
		close(h.release)
		h.release = nil
	}
	h.mu.Unlock()
	h.openCalls.Wait()
	return true, nil
}
