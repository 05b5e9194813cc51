// Package replica is the HTTP client for the platform's replicas. It sends the
// requests that the gateway relays, the calls to replicas that run stages, and
// the calls that query and reserve capacity at engines.
package replica

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/wheatseam/wheatseam/core/crash"
	"github.com/wheatseam/wheatseam/core/intake"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/internal/httpbody"
	"github.com/wheatseam/wheatseam/platform"
)

// pooledIdleTimeout is how long the pooled connection for releasing results may
// stay idle. It is below one second because replicas close idle connections
// after a whole number of seconds.
const pooledIdleTimeout = 900 * time.Millisecond

// Client makes calls to replicas. Each call opens a connection of its own, so
// that excess bytes after a response can't be taken for the response to another
// request. Calls that release results share a pooled connection, since nothing
// depends on the contents of their responses; free-memory queries use it too.
// A Client is safe for concurrent use.
type Client struct {
	singleUse, pooled *httpbody.Transport
	dial              DialFunc
	onResponse        func(Observation)
}

// Observation is what the head of a response says about the replica that sent it.
type Observation struct {
	intake.ReplicaResponse
	// Relayed means that the response is to a caller's request, and not to a call that a
	// daemon makes on its own.
	Relayed bool
	// Refused means that the replica refused the call for want of room.
	Refused bool
	Head    platform.ResponseHead
}

// NewClient returns a client that connects with dial; nil means from this host.
// onResponse is called for every response that came from the replica the call was
// addressed to. It must not block, and may be nil.
func NewClient(dial DialFunc, onResponse func(Observation)) *Client {
	if dial == nil {
		dial = (&DirectDialer{}).Dial
	}
	c := &Client{singleUse: newTransport(dial), pooled: newTransport(dial), dial: dial, onResponse: onResponse}
	c.singleUse.DisableKeepAlives = true
	c.pooled.MaxIdleConnsPerHost, c.pooled.IdleConnTimeout = 1, pooledIdleTimeout
	return c
}

func newTransport(dial DialFunc) *httpbody.Transport {
	return httpbody.NewCheckedTransport(&http.Transport{
		DialContext:        func(ctx context.Context, _, address string) (net.Conn, error) { return dial(ctx, address) },
		DisableCompression: true,
		WriteBufferSize:    4 << 10,
		ReadBufferSize:     4 << 10,

		MaxResponseHeaderBytes: httpbody.MaxHeadBytes,
	})
}

// RefusesConnections reports whether connections to a replica's address are refused, which
// means that its process has ended. It opens a connection and sends nothing. It
// returns an error when the connect fails in any other way, or this host may have lost
// the path to the replica, and the state of the replica is therefore unknown.
func (c *Client) RefusesConnections(ctx context.Context, address string) (bool, error) {
	conn, err := c.dial(ctx, address)
	var dial *httpbody.DialError
	switch {
	case err == nil:
		return false, conn.Close()
	case errors.As(err, &dial) && dial.Unconfirmed:
		return false, fmt.Errorf("connect, not tried by a host that reaches others: %w", err)
	case errors.Is(err, syscall.ECONNREFUSED):
		return true, nil
	}
	return false, fmt.Errorf("connect: %w", err)
}

// HoldsConnections opens a connection to a replica's address, sends nothing, and returns nil if the
// connection is still open after the given time. The kernel may accept a connection for a process that
// is being killed, and resets it a moment later.
func (c *Client) HoldsConnections(ctx context.Context, address string, d time.Duration) error {
	conn, err := c.dial(ctx, address)
	if err != nil {
		return fmt.Errorf("connect: %w", err)
	}
	defer conn.Close()
	if err := conn.SetReadDeadline(clock.ToMonotonic(clock.Now().Add(d))); err != nil {
		return fmt.Errorf("connection closed: %w", err)
	}
	var b [1]byte
	if _, err := conn.Read(b[:]); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		return fmt.Errorf("connection closed: %w", err)
	}
	return nil
}

// CheckCrash finds out whether connections to a replica's address are refused, here and at the
// hosts that connect for this one. It opens a connection and sends nothing. It also returns the
// error of a connect that failed, for logs.
func (c *Client) CheckCrash(ctx context.Context, address string) (crash.CheckResult, error) {
	conn, err := c.dial(ctx, address)
	var dial *httpbody.DialError
	switch {
	case err == nil:
		_ = conn.Close() // nothing was sent
		return crash.CheckResult{Accepted: true}, nil
	case errors.As(err, &dial):
		return crash.CheckResult{
			Confirmed:    errors.Is(err, syscall.ECONNREFUSED) && !dial.Unconfirmed,
			PeerRefusals: dial.PeerRefusals, OwnRefused: dial.OwnRefused, ReachedAt: dial.ReachedAt,
		}, err
	}
	return crash.CheckResult{}, err
}

// ErrProtocolSwitched means that a replica switched to another protocol, which no call asks for.
// It may have executed the call.
var ErrProtocolSwitched = errors.New("replica switched to another protocol")

// Call is one call to a replica.
type Call struct {
	// Replica is the id of the replica's incarnation that the call is addressed to.
	Replica string
	// RequestID is the id of the caller's request that the call relays; "" for other
	// calls.
	RequestID string
	// ExecutesRequest is set for calls that relay a request or run pieces.
	ExecutesRequest bool
	Method          string
	// Address is the replica's ip:port.
	Address string
	// Target is the path and query, sent unchanged.
	Target string
	// Host is the value of the Host header.
	Host   string
	Header http.Header
	Body   []byte
	// Content replaces Body if it is set, for large bodies: the bytes are no longer referenced once
	// they have been written. It must not be empty.
	Content *Content
	// OnConnected is called with the connection for the call when it is established, before
	// the call is sent. It must not block, and may be nil.
	OnConnected func(net.Conn)
	// OnWritten is called once the whole call has been written. It must not block, and may be nil.
	OnWritten func()
}

// Response is the response to a call. The caller must close its body.
type Response struct {
	*http.Response
	Head platform.ResponseHead
}

// Do makes a call on a connection of its own. Canceling ctx also ends the read of
// the response body.
func (c *Client) Do(ctx context.Context, call Call) (*Response, error) {
	return c.do(ctx, c.singleUse, call)
}

func (c *Client) do(ctx context.Context, t *httpbody.Transport, call Call) (*Response, error) {
	target, err := requestURL(call.Address, call.Target)
	if err != nil {
		return nil, err
	}
	req := &http.Request{
		Method: call.Method, URL: target, Host: call.Host,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: call.Header,
	}
	switch {
	case call.Content != nil:
		req.Body, req.ContentLength = call.Content, call.Content.length
	case len(call.Body) > 0:
		// net/http writes a body of this type together with the head.
		req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(call.Body)), int64(len(call.Body))
	}
	ctx = traceCall(ctx, call.OnConnected, call.OnWritten)
	sentAt := clock.Now()
	resp, err := t.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return nil, httpbody.HeadError(err)
	}
	if resp.StatusCode == http.StatusSwitchingProtocols {
		_ = resp.Body.Close() // closes the connection, which no longer ends with ctx
		return nil, ErrProtocolSwitched
	}
	r := &Response{Response: resp, Head: platform.DecodeResponseHead(resp.StatusCode, resp.Header)}
	c.notifyResponse(sentAt, call, r)
	return r, nil
}

// traceCall adds the callbacks of a call to its context.
func traceCall(ctx context.Context, onConnected func(net.Conn), onWritten func()) context.Context {
	if onConnected == nil && onWritten == nil {
		return ctx
	}
	trace := &httptrace.ClientTrace{}
	if onConnected != nil {
		trace.GotConn = func(i httptrace.GotConnInfo) { onConnected(i.Conn) }
	}
	if onWritten != nil {
		trace.WroteRequest = func(i httptrace.WroteRequestInfo) {
			if i.Err == nil {
				onWritten()
			}
		}
	}
	return httptrace.WithClientTrace(ctx, trace)
}

// Content is the body of one call. A call and its response refer to it until the response has been
// read; the bytes are dropped when it is closed, after they have been written.
type Content struct {
	length int64
	mu     sync.Mutex
	r      *bytes.Reader
}

// NewContent returns a Content of the bytes, which must not be changed.
func NewContent(body []byte) *Content {
	return &Content{length: int64(len(body)), r: bytes.NewReader(body)}
}

// Read implements io.Reader.
func (c *Content) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.r == nil {
		return 0, http.ErrBodyReadAfterClose
	}
	return c.r.Read(p)
}

// Close implements io.Closer.
func (c *Content) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.r = nil
	return nil
}

// notifyResponse passes the head of a response to onResponse, unless another replica
// answered or the response belongs to another request.
func (c *Client) notifyResponse(sentAt time.Time, call Call, r *Response) {
	if c.onResponse == nil || r.Head.Misdirected {
		return
	}
	if call.RequestID != r.Head.RequestID && !r.Head.NotExecuted {
		return
	}
	served := call.ExecutesRequest && r.StatusCode < http.StatusMultipleChoices
	c.onResponse(Observation{
		ReplicaResponse: intake.ReplicaResponse{Replica: call.Replica, Address: call.Address, Sent: sentAt, Served: served, Notice: r.Head.Notice},
		Relayed:         call.RequestID != "", Head: r.Head,
		// A refused reservation does not say that it was not executed.
		Refused: r.Head.Refused || !call.ExecutesRequest && r.StatusCode == http.StatusServiceUnavailable,
	})
}
