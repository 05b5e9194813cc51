package gateway_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/gateway"
	"github.com/wheatseam/wheatseam/internal/standin/site"
)

// received is a request as the replica received it.
type received struct {
	head string
	body []byte
}

// recordingReplica is a replica that records the bytes of each connection.
type recordingReplica struct {
	mu   sync.Mutex
	seen []received
}

// serve accepts connections until the listener closes.
func (r *recordingReplica) serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go r.serveConn(conn)
	}
}

func (r *recordingReplica) serveConn(conn net.Conn) {
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	var raw bytes.Buffer
	req, err := http.ReadRequest(bufio.NewReader(io.TeeReader(conn, &raw)))
	if err != nil {
		return
	}
	body, _ := io.ReadAll(req.Body)
	head, _, _ := strings.Cut(raw.String(), "\r\n\r\n")
	r.mu.Lock()
	r.seen = append(r.seen, received{head, body})
	r.mu.Unlock()
	answer := site.PlainBody("rec", req.Header.Get("Attempt-Id"))
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: signed.rec.x\r\nContent-Length: %d\r\n\r\n%s",
		req.Header.Get("Attempt-Id"), len(answer), answer)
}

// drain returns the recorded requests and clears them.
func (r *recordingReplica) drain() []received {
	r.mu.Lock()
	defer r.mu.Unlock()
	seen := r.seen
	r.seen = nil
	return seen
}

// startWithRecordingReplica starts a gateway with a recording replica.
func startWithRecordingReplica(t testing.TB) (callers string, replica *recordingReplica) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	replica = &recordingReplica{}
	go replica.serve(l)
	store := site.NewStore()
	server := httptest.NewServer(store)
	store.Put("servers/rec", map[string]any{"service": "plain", "address": l.Addr().String(), "zone": "x", "concurrency": 64, "phase": "ready"})
	store.Put("op/config", site.GatewayConfig(1, []string{"key-1"}))
	self := address(7408)
	s := &gateway.Settings{
		Host: self, FailureDomain: "x",
		Listen: gateway.Listen{Callers: address(7409), Readiness: address(7410), Peers: self},
		Store:  gateway.Store{Address: strings.TrimPrefix(server.URL, "http://")},
		Bounds: gateway.Bounds{Drain: time.Second, Configuration: time.Second}, Drain: gateway.Drain{Grace: 100 * time.Millisecond},
		Budget: gateway.Budget{Ratio: 0.2, Slack: 50, Window: 10 * time.Second},
		Limits: gateway.Limits{Processors: 1, ProcessorShare: 1, MemoryMB: 256},
	}
	g, err := gateway.New(s, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = g.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done; server.Close(); _ = l.Close() })
	for range 200 {
		if resp, err := http.Get("http://" + s.Listen.Readiness + "/-/readyz"); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return s.Listen.Callers, replica
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the gateway did not become ready")
	return "", nil
}

// forgedHeaders are the headers that a caller may not set, by the protocol's specification.
// The gateway sets the first four itself.
var forgedHeaders = []string{
	"Tenant", "Expected-Replica", "Request-Priority", "Input-Count", "Expected-Version", "Pin-Ms", "Kv-Hold", "Kv-Backup",
	"Kv-From", "Kv-Fetch", "Kv-Later", "Response-Signature", "Not-Executed", "Replica-Load", "Replica-Id", "Weights-Versions", "Retry-After",
}

// head is the start of a request that the gateway serves.
const head = "POST /seal/a HTTP/1.1\r\nHost: api.example\r\nX-Api-Key: key-1\r\nDeadline-Ms: 900\r\n"

// forgeries are requests with a header in several forms in which a check by its name might
// miss it.
func forgeries(name string) []string {
	const end = "Content-Length: 0\r\n\r\n"
	headWithID := func(form string) string { return head + "Attempt-Id: " + name + "-" + form + "\r\n" }
	return []string{
		headWithID("plain") + name + ": x\r\n" + end,
		headWithID("lower") + strings.ToLower(name) + ": x\r\n" + end,
		headWithID("upper") + strings.ToUpper(name) + ": x\r\n" + end,
		headWithID("empty") + name + ":\r\n" + end,
		headWithID("twice") + name + ": x\r\n" + name + ": y\r\n" + end,
		headWithID("listed") + "Connection: " + name + "\r\n" + name + ": x\r\n" + end,
		headWithID("trailer") + "Trailer: " + name + "\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n" + name + ": x\r\n\r\n",
	}
}

// TestForgedHeaders sends each of forgedHeaders in each form of forgeries: the caller must
// be served as if it had not sent the header.
func TestForgedHeaders(t *testing.T) {
	callers, replica := startWithRecordingReplica(t)
	conn, err := net.Dial("tcp", callers)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(time.Minute))
	answers := bufio.NewReader(conn)
	sent := map[string][]received{}
	for _, name := range forgedHeaders {
		for _, raw := range forgeries(name) {
			parseStrictly([]byte(raw), sent)
			if _, err := io.WriteString(conn, raw); err != nil {
				t.Fatal(err)
			}
			resp, err := http.ReadResponse(answers, nil)
			if err != nil {
				t.Fatalf("no answer to %q: %v", raw, err)
			}
			if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
				t.Fatalf("status %d, %v, to %q", resp.StatusCode, err, raw)
			}
			got := replica.drain()
			if len(got) != 1 {
				t.Fatalf("%d requests reached the replica for %q", len(got), raw)
			}
			checkForwarded(t, got[0], sent)
		}
	}
}

// smuggledRequest is a request that a caller hides in the body of another one.
const smuggledRequest = "POST /seal/hidden HTTP/1.1\r\nHost: api.example\r\nX-Api-Key: key-1\r\nAttempt-Id: hidden\r\nContent-Length: 0\r\n\r\n"

// FuzzForward sends raw bytes of a caller and compares them with what reaches the replica:
// one well-formed request for each one sent, with the path, the ID and the body that a
// strict parser finds there, and nothing that was hidden inside another request.
func FuzzForward(f *testing.F) {
	for _, name := range forgedHeaders {
		f.Add([]byte(strings.Join(forgeries(name), "")))
	}
	for _, seed := range []string{
		head + "Attempt-Id: a1\r\nContent-Length: 4\r\n\r\nbody",
		head + "Attempt-Id: a2\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		head + "Attempt-Id: a3\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nbodyx",
		head + "Attempt-Id: a4\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nPOST /seal/hidden HTTP/1.1\r\nHost: api.example\r\nAttempt-Id: hidden\r\n\r\n",
		head + "Attempt-Id: a5\r\nTransfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n",
		head + "Attempt-Id: a6\r\nX-Folded: one\r\n two\r\n\r\n",
		head + "Attempt-Id: a7\nContent-Length: 0\n\n",
		head + "Attempt-Id : a8\r\nContent-Length: 0\r\n\r\n",
		head + "Attempt-Id: a9\r\nContent-Length: +4\r\n\r\nbody",
		head + "Attempt-Id: b1\r\nTransfer-Encoding: \x0bchunked\r\n\r\n0\r\n\r\n",
		head + "Attempt-Id: b2\r\nConnection: Attempt-Id, close\r\nContent-Length: 0\r\n\r\n",
		head + "Attempt-Id: b3\r\nTenant: forged\r\nExpected-Replica: other\r\nInput-Count: x\r\nContent-Length: 0\r\n\r\n",
		"POST /seal/a%0d%0aX: HTTP/1.1\r\nHost: api.example\r\nX-Api-Key: key-1\r\nAttempt-Id: b4\r\nContent-Length: 0\r\n\r\n",
		"POST http://api.example/seal/a HTTP/1.1\r\nHost: other\r\nX-Api-Key: key-1\r\nAttempt-Id: b5\r\nContent-Length: 0\r\n\r\n",
		head + "Attempt-Id: b6\r\nContent-Length: 0\r\n\r\n" + head + "Attempt-Id: b7\r\nContent-Length: 0\r\n\r\n",
		// A request hidden in the body of another one, using lengths that two parsers may
		// interpret differently.
		head + "Attempt-Id: c1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\nContent-Length: 4\r\n\r\n0\r\n\r\n" + smuggledRequest,
		head + "Attempt-Id: c2\r\nTransfer-Encoding : chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n" + smuggledRequest,
		head + "Attempt-Id: c3\r\nTransfer-Encoding: xchunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n" + smuggledRequest,
		head + "Attempt-Id: c4\r\nContent-Length: 0, 0\r\n\r\n" + smuggledRequest,
		head + "Attempt-Id: c5\r\nTransfer-Encoding: chunked\r\n\r\n0x0\r\n\r\n" + smuggledRequest,
		head + "Attempt-Id: c6\r\nTransfer-Encoding: chunked\r\n\r\n0;x=\n\r\n\r\n" + smuggledRequest,
		head + "Attempt-Id: c7\r\nTransfer-Encoding: chunked\r\n\r\n0000000000000000010\r\n" + smuggledRequest,
		strings.Replace(head, "POST", "GET", 1) + "Attempt-Id: c8\r\nContent-Length: 4\r\n\r\nbody" + smuggledRequest,
	} {
		f.Add([]byte(seed))
	}
	callers, replica := startWithRecordingReplica(f)
	// A request may reach the replica after its caller has disconnected, and so be seen
	// during a later input: requests sent by earlier inputs are accepted too.
	sent := map[string][]received{}
	f.Fuzz(func(t *testing.T, raw []byte) {
		if len(raw) > 8<<10 {
			return
		}
		parseStrictly(raw, sent)
		sendRaw(t, callers, raw)
		for _, got := range replica.drain() {
			checkForwarded(t, got, sent)
		}
	})
}

// sendRaw sends the bytes and reads until the daemon sends nothing more or closes.
func sendRaw(t *testing.T, callers string, raw []byte) {
	conn, err := net.Dial("tcp", callers)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := conn.Write(raw); err != nil {
		return
	}
	_ = conn.(*net.TCPConn).CloseWrite()
	_ = conn.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
	_, _ = io.Copy(io.Discard, conn)
}

// parseStrictly adds the requests that a strict parser finds in the bytes, by request ID.
func parseStrictly(raw []byte, sent map[string][]received) {
	r := bufio.NewReader(bytes.NewReader(raw))
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		id := req.Header.Get("Attempt-Id")
		sent[id] = append(sent[id], received{req.Method + " " + req.RequestURI, body})
	}
}

// checkForwarded compares a request at the replica with what was sent under its ID.
func checkForwarded(t *testing.T, got received, sent map[string][]received) {
	req, err := http.ReadRequest(bufio.NewReader(strings.NewReader(got.head + "\r\n\r\n")))
	if err != nil {
		t.Fatalf("the replica received no valid request: %v\n%q", err, got.head)
	}
	same := func(s received) bool { return s.head == req.Method+" "+req.RequestURI && bytes.Equal(s.body, got.body) }
	if !slices.ContainsFunc(sent[req.Header.Get("Attempt-Id")], same) {
		t.Fatalf("the replica received a request that no caller sent:\n%q\nbody %q", got.head, got.body)
	}
	if req.Header.Get("X-Api-Key") != "" || req.Header.Get("Tenant") != "firma" || req.Header.Get("Expected-Replica") != "rec" {
		t.Fatalf("headers that the gateway sets were taken from the caller:\n%q", got.head)
	}
	for _, name := range forgedHeaders[2:] {
		if _, ok := req.Header[name]; ok {
			t.Fatalf("a caller's %s reached the replica:\n%q", name, got.head)
		}
	}
	if len(req.Trailer) > 0 {
		t.Fatalf("a caller's trailers reached the replica:\n%q", got.head)
	}
}
