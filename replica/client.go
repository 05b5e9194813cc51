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

	"github.com/wheatseam/wheatseam/internal/httpbody"
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
}

// NewClient returns a client.
func NewClient() *Client {
	c := &Client{transport: newTransport(), kept: newTransport()}
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
func (c *Client) Refused(ctx context.Context, address string) (bool, error) {
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
	Method string
	// Address is the replica's ip:port.
	Address string
	// Target is the path and query exactly as they are sent.
	Target string
	// Host is the Host header.
	Host   string
	Header http.Header
	Body   []byte
}

// Do makes a call. The answer's body must be closed; it ends with ctx.
func (c *Client) Do(ctx context.Context, call Call) (*http.Response, error) {
	return do(ctx, c.transport, call)
}

func do(ctx context.Context, t *http.Transport, call Call) (*http.Response, error) {
	req := &http.Request{
		Method: call.Method, URL: &url.URL{Scheme: "http", Host: call.Address, Opaque: call.Target}, Host: call.Host,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: call.Header,
	}
	if len(call.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(call.Body))
		req.ContentLength = int64(len(call.Body))
	}
	return t.RoundTrip(req.WithContext(ctx))
}
