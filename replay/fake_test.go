package replay_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	"github.com/wheatseam/wheatseam/replay"
)

// receivedRequest is one request that the fake host received.
type receivedRequest struct {
	At               time.Time
	Key, Auth, Pipe  string
	Text, Prefix     string
	DeadlineMS       int64
	Stream, Answered bool
}

// fakeHost serves the callers' API. The name of the requested pipeline selects how it
// responds.
type fakeHost struct {
	server   *httptest.Server
	mu       sync.Mutex
	received []receivedRequest
}

func newFakeHost() *fakeHost {
	h := &fakeHost{}
	h.server = httptest.NewServer(http.HandlerFunc(h.serve))
	DeferCleanup(h.server.Close)
	return h
}

func (h *fakeHost) address() string { return strings.TrimPrefix(h.server.URL, "http://") }

func (h *fakeHost) requests() []receivedRequest {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]receivedRequest(nil), h.received...)
}

func (h *fakeHost) serve(w http.ResponseWriter, r *http.Request) {
	var b struct {
		Input      struct{ Text string }
		DeadlineMS int64 `json:"deadline_ms"`
		Stream     bool
		Prefix     string
	}
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	pipeline := strings.TrimPrefix(r.URL.Path, "/v1/pipelines/")
	h.mu.Lock()
	h.received = append(h.received, receivedRequest{At: time.Now(), Key: r.Header.Get("Idempotency-Key"), Auth: r.Header.Get("Authorization"),
		Pipe: pipeline, Text: b.Input.Text, Prefix: b.Prefix, DeadlineMS: b.DeadlineMS, Stream: b.Stream})
	id := fmt.Sprintf("r-%d", len(h.received))
	h.mu.Unlock()
	h.answer(w, r, pipeline, id, b.Input.Text)
}

func (h *fakeHost) answer(w http.ResponseWriter, r *http.Request, pipeline, id, text string) {
	answer, _ := json.Marshal(replay.Answer{RequestID: id, Pipeline: pipeline, Result: json.RawMessage(`{"text":"` + text + `"}`)})
	streamed, _ := json.Marshal(replay.Answer{RequestID: id, Pipeline: pipeline, Result: json.RawMessage(`{"text":"aaa"}`)})
	switch pipeline {
	case "refuse":
		w.Header().Set("Content-Type", "application/problem+json")
		w.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprintf(w, `{"status":503,"kind":"overloaded","execution":"not_run","request_id":%q}`, id)
	case "silent":
		<-r.Context().Done()
	case "broken":
		panic(http.ErrAbortHandler)
	case "bare":
		w.WriteHeader(http.StatusBadGateway)
	case "slow":
		time.Sleep(150 * time.Millisecond)
		_, _ = w.Write(answer)
	case "stream", "cut", "late-error", "reset", "mixed":
		w.Header().Set("Content-Type", "text/event-stream")
		for range 3 {
			fmt.Fprint(w, "event: token\ndata: {\"text\":\"a\"}\n\n")
			w.(http.Flusher).Flush()
			time.Sleep(2 * time.Millisecond)
		}
		if pipeline == "reset" {
			fmt.Fprint(w, "event: reset\ndata: {}\n\n"+strings.Repeat("event: token\ndata: {\"text\":\"a\"}\n\n", 3))
		}
		if pipeline == "mixed" {
			fmt.Fprint(w, "event: token\ndata: {\"text\":\"b\"}\n\n")
		}
		if pipeline == "stream" || pipeline == "reset" || pipeline == "mixed" {
			fmt.Fprintf(w, "event: done\ndata: %s\n\n", streamed)
		}
		if pipeline == "late-error" {
			fmt.Fprint(w, "event: error\ndata: {\"kind\":\"deadline_exceeded\",\"execution\":\"not_run\"}\n\n")
		}
	default:
		_, _ = w.Write(answer)
	}
}
