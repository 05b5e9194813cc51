// Package replica is the client of the platform's replicas: requests that are
// relayed to them, and the calls to those that run stages.
package replica

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"syscall"
	"time"

	"github.com/wheatseam/wheatseam/core/intake"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/internal/httpbody"
	"github.com/wheatseam/wheatseam/platform"
)

// connectTimeout bounds the opening of a connection to a replica. Replicas are
// at most a region away (20 ms each way); a lost opening packet is sent again
// only after a second, and another replica is faster than that.
const connectTimeout = 300 * time.Millisecond

// keptIdle is how long an idle connection for giving results up is kept:
// replicas close theirs after a whole number of seconds.
const keptIdle = 900 * time.Millisecond

// Client makes calls to replicas. Each call has a connection of its own: bytes
// that a replica sends after an answer then belong to no other request. Calls
// that give results up share one, as nothing depends on what their answers say.
// It is safe for concurrent use.
type Client struct {
	transport, kept *http.Transport
	heard           func(intake.ReplicaResponse)
}

// NewClient returns a client. heard is told of what replicas say of themselves, with
// each answer of a replica that was meant; it must not block, and nil is for nobody.
func NewClient(heard func(intake.ReplicaResponse)) *Client {
	c := &Client{transport: newTransport(), kept: newTransport(), heard: heard}
	c.transport.DisableKeepAlives = true
	c.kept.MaxIdleConnsPerHost, c.kept.IdleConnTimeout = 1, keptIdle
	return c
}

func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:        httpbody.Dial(&net.Dialer{Timeout: connectTimeout, KeepAlive: -1}),
		DisableCompression: true,
		WriteBufferSize:    4 << 10,
		ReadBufferSize:     4 << 10,
	}
}

// Refused says whether nobody listens at a replica's address: its process has
// ended. It opens a connection and sends nothing. The error says why that is not
// known: no answer came.
func (c *Client) RefusesConnections(ctx context.Context, address string) (bool, error) {
	conn, err := (&net.Dialer{Timeout: connectTimeout, KeepAlive: -1}).DialContext(ctx, "tcp", address)
	switch {
	case err == nil:
		return false, conn.Close()
	case errors.Is(err, syscall.ECONNREFUSED):
		return true, nil
	}
	return false, fmt.Errorf("connect: %w", err)
}

// Call is one call to a replica.
type Call struct {
	// Replica names the start of the replica that is meant.
	Replica string
	// Request is the id of the caller's request that the call passes on; "" for the
	// other calls.
	RequestID string
	// Work says that the call passes a request on, or asks for pieces.
	ExecutesRequest bool
	Method          string
	// Address is the replica's ip:port.
	Address string
	// Target is the path and query exactly as they are sent.
	Target string
	// Host is the Host header.
	Host   string
	Header http.Header
	Body   []byte
}

// Response is the answer to a call. Its body must be closed.
type Response struct {
	*http.Response
	Head platform.ResponseHead
}

// Do makes a call. The answer ends with ctx.
func (c *Client) Do(ctx context.Context, call Call) (*Response, error) {
	return c.do(ctx, c.transport, call)
}

func (c *Client) do(ctx context.Context, t *http.Transport, call Call) (*Response, error) {
	req := &http.Request{
		Method: call.Method, URL: &url.URL{Scheme: "http", Host: call.Address, Opaque: call.Target}, Host: call.Host,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: call.Header,
	}
	if len(call.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(call.Body))
		req.ContentLength = int64(len(call.Body))
	}
	sent := clock.Now()
	resp, err := t.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	r := &Response{Response: resp, Head: platform.DecodeAnswer(resp.StatusCode, resp.Header)}
	c.hear(sent, call, r)
	return r, nil
}

// hear passes on what a replica says of itself, unless another one answered, or
// another request's answer came.
func (c *Client) hear(sent time.Time, call Call, r *Response) {
	if c.heard == nil || r.Head.Misdirected {
		return
	}
	if call.RequestID != r.Head.RequestID && !r.Head.NotExecuted {
		return
	}
	served := call.ExecutesRequest && r.StatusCode < http.StatusMultipleChoices
	c.heard(intake.ReplicaResponse{Replica: call.Replica, Address: call.Address, Sent: sent, Served: served, Notice: r.Head.Notice})
}
