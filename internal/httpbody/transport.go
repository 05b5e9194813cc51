package httpbody

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
)

// Transport is an http.Transport that refuses responses which net/http takes for valid or complete
// although they are not: those with a malformed head, and bodies without a length that ended with a
// reset; see ErrMalformedHead and DetectResets. Use NewCheckedTransport to create one.
type Transport struct{ *http.Transport }

// dialFunc is the type of http.Transport.DialContext.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewCheckedTransport returns a Transport with the settings of t, which must not be used elsewhere.
func NewCheckedTransport(t *http.Transport) *Transport {
	dial := dialFunc(t.DialContext)
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.DialContext = dial.checked()
	if t.TLSClientConfig != nil {
		t.DialTLSContext = dialFunc((&tls.Dialer{Config: t.TLSClientConfig}).DialContext).checked()
	}
	return &Transport{t}
}

// checked returns a function whose connections are checked.
func (dial dialFunc) checked() dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &checkedConn{Conn: DetectResets(conn)}, nil
	}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var conn *checkedConn
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		if conn, _ = i.Conn.(*checkedConn); conn != nil {
			conn.expectResponse()
		}
	}})
	resp, err := t.Transport.RoundTrip(req.WithContext(ctx))
	if conn == nil {
		return resp, err
	}
	// net/http may report a part of a line, in place of the error of the read that followed.
	if headErr := conn.headError(err == nil); headErr != nil {
		if err == nil {
			_ = resp.Body.Close() // the error is that of the head
		}
		return nil, headErr
	}
	return resp, err
}

// checkedConn is a connection whose reads fail from a malformed head on.
type checkedConn struct {
	net.Conn
	mu   sync.Mutex
	head headChecker
	err  error
}

// NetConn returns the connection below.
func (c *checkedConn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *checkedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil {
		c.err = c.head.check(b[:n])
	}
	if c.err != nil {
		return 0, c.err
	}
	return n, err
}

// expectResponse says that the next bytes begin a response. The one before has been read.
func (c *checkedConn) expectResponse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = headChecker{}
}

// headError returns why the head of the response is not valid; nil if it is. received says that
// net/http has returned the response.
func (c *checkedConn) headError(received bool) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil && received && c.head.part != afterHead {
		c.err = fmt.Errorf("%w: received before the request was sent", ErrMalformedHead)
	}
	return c.err
}
