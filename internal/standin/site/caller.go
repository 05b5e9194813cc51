package site

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// The kinds of routes that Configuration has, by their prefix.
const (
	// SealPath requests may run once, SafePath ones again.
	UnsafePath = "/seal/"
	SafePath   = "/safe/"
	// StreamPath streams may run once, ResumePath ones may go on elsewhere and
	// need stages.
	StreamPath    = "/stream/"
	ResumablePath = "/resume/"
)

// Hostname is the host of all routes.
const Hostname = "api.example"

// Configuration is a configuration of all kinds of routes for the services
// "plain", "llm" and "encode".
func GatewayConfig(version int, keys []string) map[string]any {
	route := func(name, prefix, kind, service string, attempts int, more map[string]any) map[string]any {
		r := map[string]any{
			"name": name, "hostname": Hostname, "prefix": prefix, "route_type": kind, "service": service, "attempts": attempts,
			"timeout_ms": 3000, "goal_ms": 1000, "priority": 1,
		}
		for k, v := range more {
			r[k] = v
		}
		return r
	}
	stages := []map[string]any{{"service": "encode", "after": []int{}, "bytes": ResultBytes}, {"service": "encode", "after": []int{0}, "bytes": ResultBytes}}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("seal", UnsafePath, "unsafe", "plain", 1, nil),
			route("safe", SafePath, "safe", "plain", 2, nil),
			route("stream", StreamPath, "streaming", "llm", 1, nil),
			route("resume", ResumablePath, "streaming", "llm", 2, map[string]any{"resumable": true, "stages": stages}),
		},
		"services": []any{
			map[string]any{"name": "plain", "max_conns": 50},
			map[string]any{"name": "llm", "max_conns": 50, "engine": map[string]any{"concurrency": 8, "kv_capacity": 1000}},
			map[string]any{"name": "encode", "max_conns": 50, "pieces": map[string]any{
				"concurrency": 1, "queue": 2, "batch": 8, "call_ms": 10, "item_ms": 1, "headroom_mb": headroomBytes / 1_000_000, "handle_ttl_s": 4}},
		},
		"limits":  map[string]any{"max_body_bytes": 100_000},
		"tenants": []any{map[string]any{"name": "firma", "api_keys": keys}},
	}
}

// DefaultDomain is where replicas stand that name no failure domain.
const DefaultDomain = "x"

// Entry is a replica's entry in the store.
func StoreEntry(r *Replica, phase string) map[string]any {
	entry := map[string]any{
		"service": r.Service, "address": r.Address(), "zone": cmp.Or(r.FailureDomain, DefaultDomain), "concurrency": 8, "phase": phase, "seq": 1,
	}
	if r.StartUnixMS > 0 {
		entry["born"] = r.StartUnixMS
	}
	return entry
}

// Call is one attempt of a caller.
type Call struct {
	ID, Path, Key string
	Deadline      time.Duration
	// Pieces asks for stages.
	PieceCounts []int
	// Forge names a header that is not the caller's to set, sent all the same;
	// "" for none.
	ForgedHeader string
	// Content is the end of the path and the body; "" for the id. Requests with the
	// same content are the same but for their ids.
	Content string
}

// Carries is the content of the request.
func (c Call) Payload() string {
	if c.Content != "" {
		return c.Content
	}
	return c.ID
}

// Forgeable are headers that only the system may set, and ForgedValue what
// callers set them to: a replica that gets it got it from a caller.
var ForgeableHeaders = []string{"Kv-Hold", "Kv-From", "Kv-Backup", "Kv-Fetch", "Pin-Ms", "Expected-Version"}

// ForgedValue is the value of forged headers.
const ForgedValue = "forged"

// Heard is what a caller heard.
type CallResponse struct {
	Status int
	Body   string
	// Replica is who signed the answer; "" for answers of the system's own.
	Replica string
	// Err is set when no answer came or it was not complete.
	Err error
}

// NotRun says whether the answer promises that nothing has run.
func (h CallResponse) NotExecuted() bool {
	switch h.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return h.Err == nil
	}
	return false
}

// Do sends an attempt to a daemon.
func Send(ctx context.Context, client *http.Client, address string, c Call) CallResponse {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+c.Path+c.Payload(), bytes.NewReader([]byte(c.Payload())))
	if err != nil {
		return CallResponse{Err: err}
	}
	req.Host = Hostname
	req.Header.Set("Attempt-Id", c.ID)
	req.Header.Set("X-Api-Key", c.Key)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(c.Deadline.Milliseconds(), 10))
	if c.ForgedHeader != "" {
		req.Header.Set(c.ForgedHeader, ForgedValue)
	}
	if len(c.PieceCounts) > 0 {
		req.Header.Set("Piece-Count", strings.Trim(strings.Join(strings.Fields(fmt.Sprint(c.PieceCounts)), ","), "[]"))
		req.Header.Set("Piece-Key", "key-"+c.ID)
	}
	resp, err := client.Do(req)
	if err != nil {
		return CallResponse{Err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	h := CallResponse{Status: resp.StatusCode, Body: string(body), Err: err}
	if parts := strings.SplitN(resp.Header.Get("Response-Signature"), ".", 3); len(parts) == 3 {
		h.Replica = parts[1]
		if parts[2] != c.ID && err == nil {
			h.Err = errors.New("signed for " + parts[2])
		}
	}
	return h
}

// Check returns what is wrong with a complete success; "" for nothing.
func (c Call) Check(h CallResponse, events int) string {
	if h.Err != nil || h.Status != http.StatusOK {
		return ""
	}
	if h.Replica == "" {
		return "success without a signature"
	}
	want := PlainBody(h.Replica, c.ID)
	if c.Path == StreamPath || c.Path == ResumablePath {
		var b strings.Builder
		for n := 1; n <= events; n++ {
			b.WriteString(EventText(c.ID, n))
		}
		want = b.String()
	}
	if h.Body != want {
		return fmt.Sprintf("body %q, want %q", h.Body, want)
	}
	return ""
}
