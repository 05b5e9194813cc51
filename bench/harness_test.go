package bench

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wheatseam/wheatseam/internal/standin/platform"
)

// replicasPerPool is the number of replicas of each of the two pools: 610 replicas for 27
// models and 4 services are about 20 per pool.
const replicasPerPool = 20

// harnessAddresses is the first line that the harness writes to standard output.
type harnessAddresses struct {
	Control   string
	Platform  string
	Upstreams []string
}

// harness simulates the environment of the daemon: upstreams, callers and platform.
type harness struct {
	upstreams []string
	client    *http.Client
	// tokenIntervalNS is the interval between two tokens of a stream in
	// nanoseconds; 0 sends tokens without a pause.
	tokenIntervalNS atomic.Int64
	// heldCalls counts the calls that wait at the upstreams until release is
	// closed.
	heldCalls atomic.Int64

	mu        sync.Mutex
	release   chan struct{}
	openCalls sync.WaitGroup
}

// runHarness serves until the parent process closes its standard input.
func runHarness() error {
	h := &harness{client: newClient()}
	var addresses harnessAddresses
	for range 2 * replicasPerPool {
		addr, err := serve(http.HandlerFunc(h.serveUpstream))
		if err != nil {
			return err
		}
		addresses.Upstreams = append(addresses.Upstreams, addr)
	}
	h.upstreams = addresses.Upstreams
	var err error
	if addresses.Platform, err = serve(platform.New(platform.Config{})); err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /load", jsonHandler(h.runLoad))
	mux.HandleFunc("POST /pace", jsonHandler(h.setTokenInterval))
	mux.HandleFunc("POST /hold", jsonHandler(h.holdCalls))
	mux.HandleFunc("POST /release", jsonHandler(h.releaseCalls))
	if addresses.Control, err = serve(mux); err != nil {
		return err
	}
	if err := json.NewEncoder(os.Stdout).Encode(addresses); err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, os.Stdin)
	return err
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1 << 14, DisableCompression: true}}
}

func serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen: %w", err)
	}
	go func() {
		if err := http.Serve(l, h); !errors.Is(err, net.ErrClosed) {
			fmt.Fprintln(os.Stderr, "bench harness:", err)
		}
	}()
	return l.Addr().String(), nil
}

// jsonHandler returns an HTTP handler that decodes the JSON body into the argument of f
// and encodes the result of f as JSON.
func jsonHandler[In, Out any](f func(In) (Out, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var in In
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		out, err := f(in)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		_ = json.NewEncoder(w).Encode(out)
	}
}

func (h *harness) setTokenInterval(interval time.Duration) (bool, error) {
	h.tokenIntervalNS.Store(int64(interval))
	return true, nil
}

// upstreamCall holds the members that the upstreams read from requests of both the
// service and the engine protocol.
type upstreamCall struct {
	MaxTokens int             `json:"max_tokens"`
	Input     json.RawMessage `json:"input"`
}

func (h *harness) serveUpstream(w http.ResponseWriter, r *http.Request) {
	var call upstreamCall
	if r.Method != http.MethodPost || json.NewDecoder(r.Body).Decode(&call) != nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	h.waitForRelease(r)
	id, attempt := r.Header.Get("X-Request-Id"), r.Header.Get("X-Attempt")
	if r.URL.Path == "/v1/chat/completions" {
		h.stream(w, id, attempt, call.MaxTokens)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"request_id":%q,"attempt":%s,"result":{"text":%q}}`, id, attempt, serviceResponseText)
}

// stream writes tokens as server-sent events. If tokens are paced, it flushes each one
// separately.
func (h *harness) stream(w http.ResponseWriter, id, attempt string, tokens int) {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := w.(http.Flusher)
	for range tokens {
		_, _ = fmt.Fprintf(w, "data: {\"id\":\"c\",\"choices\":[{\"delta\":{\"content\":\"word \"},\"finish_reason\":null}],\"request_id\":%q,\"attempt\":%s}\n\n", id, attempt)
		if interval := time.Duration(h.tokenIntervalNS.Load()); interval > 0 {
			flusher.Flush()
			time.Sleep(interval)
		}
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

func (h *harness) waitForRelease(r *http.Request) {
	h.mu.Lock()
	release := h.release
	h.mu.Unlock()
	if release == nil {
		return
	}
	h.heldCalls.Add(1)
	defer h.heldCalls.Add(-1)
	select {
	case <-release:
	case <-r.Context().Done():
	}
}
