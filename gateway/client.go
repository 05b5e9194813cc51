package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"
)

// connectTimeout bounds the opening of a connection to a replica. Replicas are
// at most a region away (20 ms each way); a lost opening packet is sent again
// only after a second, and another replica is faster than that.
const connectTimeout = 300 * time.Millisecond

// replicaClient makes calls to replicas. Each call has a connection of its own:
// bytes that a replica sends after an answer then belong to no other request.
type replicaClient struct {
	transport *http.Transport
}

// connectError says that a connection did not come about: nothing was sent.
type connectError struct{ err error }

func (e *connectError) Error() string { return fmt.Sprintf("connect: %v", e.err) }
func (e *connectError) Unwrap() error { return e.err }

func newReplicaClient() *replicaClient {
	dialer := &net.Dialer{Timeout: connectTimeout, KeepAlive: -1}
	return &replicaClient{transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, &connectError{err}
			}
			return conn, nil
		},
		DisableKeepAlives:  true,
		DisableCompression: true,
		WriteBufferSize:    4 << 10,
		ReadBufferSize:     4 << 10,
	}}
}

// unsent says whether a call failed before anything was sent.
func unsent(err error) bool {
	var e *connectError
	return errors.As(err, &e)
}

// outgoing is one call to a replica.
type outgoing struct {
	method  string
	address string
	// target is the path and query exactly as the caller sent them.
	target string
	// host is the Host header.
	host   string
	header http.Header
	body   []byte
}

// do makes a call. The answer's body must be closed; it ends with ctx.
func (c *replicaClient) do(ctx context.Context, o outgoing) (*http.Response, error) {
	req := &http.Request{
		Method: o.method, URL: &url.URL{Scheme: "http", Host: o.address, Opaque: o.target}, Host: o.host,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: o.header,
	}
	if len(o.body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(o.body))
		req.ContentLength = int64(len(o.body))
	}
	return c.transport.RoundTrip(req.WithContext(ctx))
}
