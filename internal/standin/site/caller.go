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

// The path prefixes of the routes in GatewayConfig.
const (
	// Requests under UnsafePath must run at most once; those under SafePath may be
	// retried.
	UnsafePath = "/seal/"
	SafePath   = "/safe/"
	// Streams under StreamPath must run at most once; those under ResumablePath may
	// resume on another replica and have stages. Those under ShortResumablePath may resume too;
	// they have no stages and a shorter timeout.
	StreamPath         = "/stream/"
	ResumablePath      = "/resume/"
	ShortResumablePath = "/resume-short/"
)

const (
	// shortTimeoutMS is the timeout of ShortResumablePath in milliseconds.
	shortTimeoutMS = 2000
	// gapAimMS is the longest pause in milliseconds between the events of a resumable stream that
	// is on time.
	gapAimMS = 200
)

// Hostname is the hostname of all routes.
const Hostname = "api.example"

// GatewayConfig returns a gateway configuration with routes of all types for the
// services "plain", "llm" and "encode".
func GatewayConfig(version int, keys []string) map[string]any {
	return GatewayConfigWithTimeouts(version, keys, nil)
}

// GatewayConfigWithTimeouts is GatewayConfig with other timeouts for the routes of some path
// prefixes.
func GatewayConfigWithTimeouts(version int, keys []string, timeouts map[string]time.Duration) map[string]any {
	route := func(name, prefix, routeType, service string, attempts int, extra map[string]any) map[string]any {
		r := map[string]any{
			"name": name, "hostname": Hostname, "prefix": prefix, "route_type": routeType, "service": service, "attempts": attempts,
			"timeout_ms": 3000, "goal_ms": 1000, "priority": 1,
		}
		for k, v := range extra {
			r[k] = v
		}
		if timeout, ok := timeouts[prefix]; ok {
			r["timeout_ms"] = timeout.Milliseconds()
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
			route("resume", ResumablePath, "streaming", "llm", 2, map[string]any{"resumable": true, "stages": stages, "gap_aim_ms": gapAimMS}),
			route("resume-short", ShortResumablePath, "streaming", "llm", 2, map[string]any{"resumable": true, "timeout_ms": shortTimeoutMS, "gap_aim_ms": gapAimMS}),
		},
		"services": []any{
			map[string]any{"name": "plain", "max_conns": 50},
			map[string]any{"name": "llm", "max_conns": 50, "engine": map[string]any{"concurrency": 8, "kv_capacity": 1000, "moves": true}},
			map[string]any{"name": "encode", "max_conns": 50, "pieces": map[string]any{
				"concurrency": 1, "queue": 2, "batch": 8, "call_ms": 10, "item_ms": 1, "headroom_mb": headroomBytes / 1_000_000, "handle_ttl_s": 4}},
		},
		"limits":  map[string]any{"max_body_bytes": 100_000, "max_header_bytes": 16_384, "header_timeout_ms": 3000, "idle_timeout_ms": 15_000},
		"tenants": []any{map[string]any{"name": "firma", "api_keys": keys}},
	}
}

// DefaultFailureDomain is the failure domain of replicas that do not set one.
const DefaultFailureDomain = "x"

// StoreEntry returns the store entry of a replica.
func StoreEntry(r *Replica, phase string) map[string]any {
	entry := map[string]any{
		"service": r.Service, "address": r.Address(), "zone": cmp.Or(r.FailureDomain, DefaultFailureDomain), "concurrency": 8, "phase": phase, "seq": 1,
	}
	if start := r.startUnixMS(); start > 0 {
		entry["born"] = start
	}
	if r.Version != "" {
		entry["version"] = r.Version
	}
	return entry
}

// Call is a request attempt of a client.
type Call struct {
	ID, Path, Key string
	Deadline      time.Duration
	// PieceCounts are the piece counts of the stages that the request needs; empty
	// for none.
	PieceCounts []int
	// ForgedHeader is the name of a header that clients must not set, to be sent with
	// ForgedValue; "" for none.
	ForgedHeader string
	// Content is used as the last path element and as the body; "" means the id.
	// Requests with the same content differ only in their ids.
	Content string
	// Prompt lists the parts of the prompt, ID:TOKENS each; "" for none.
	Prompt string
	// Resumes is the ID of the attempt that brought the first event of the stream that this
	// one takes up after event LastEvent; "" for none.
	Resumes   string
	LastEvent int
}

// Streams reports whether the response is a stream of events.
func (c Call) Streams() bool { return c.Path == StreamPath || c.Resumable() }

// Resumable reports whether the response is a stream that may be taken up.
func (c Call) Resumable() bool { return c.Path == ResumablePath || c.Path == ShortResumablePath }

// Payload returns the content of the request.
func (c Call) Payload() string {
	if c.Content != "" {
		return c.Content
	}
	return c.ID
}

// ForgeableHeaders lists headers that only the gateway may set. Clients forge them
// with the value ForgedValue, so a replica that receives this value detects that the
// gateway has passed on a client's header.
var ForgeableHeaders = []string{"Kv-Hold", "Kv-From", "Kv-Backup", "Kv-Fetch", "Pin-Ms", "Expected-Version"}

// ForgedValue is the value of forged headers.
const ForgedValue = "forged"

// CallResponse is the response that a client received.
type CallResponse struct {
	Status int
	Body   string
	// Replica is the id of the replica that signed the response; "" for responses
	// of the gateway itself.
	Replica string
	// Err is set if there was no response or it was incomplete.
	Err error
}

// NotExecuted reports whether the response guarantees that the request was not
// executed.
func (r CallResponse) NotExecuted() bool {
	switch r.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return r.Err == nil
	}
	return false
}

// Send sends an attempt to the gateway daemon at address.
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
	if c.Prompt != "" {
		req.Header.Set("Prefix-Hash", c.Prompt)
	}
	if c.Resumes != "" {
		req.Header.Set("Resumes", c.Resumes)
		req.Header.Set("Last-Event-Id", strconv.Itoa(c.LastEvent))
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
			h.Err = errors.New("response signature is for attempt " + parts[2])
		}
	}
	return h
}

// Check returns what is wrong with a complete successful response, or "" if nothing
// is. Streams must have the given number of events.
func (c Call) Check(h CallResponse, events int) string {
	if h.Err != nil || h.Status != http.StatusOK {
		return ""
	}
	if h.Replica == "" {
		return "successful response has no signature"
	}
	want := PlainBody(h.Replica, c.ID)
	if c.Streams() {
		var b strings.Builder
		for n := c.LastEvent + 1; n <= events; n++ {
			b.WriteString(EventText(c.ID, n))
		}
		want = b.String()
		if versions := EventVersions(h.Body); len(versions) > 1 {
			return fmt.Sprintf("events of versions %v", versions)
		}
	}
	if withoutVersions(h.Body) != want {
		return fmt.Sprintf("body %q, want %q", h.Body, want)
	}
	return ""
}
