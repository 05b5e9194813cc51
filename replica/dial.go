package replica

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/internal/httpbody"
)

// ConnectTimeout bounds the TCP connect to a replica, which may be in another region or on a
// host that has used up its processor time. The kernel retransmits a lost SYN only after a
// second, so trying another replica is faster.
const ConnectTimeout = 150 * time.Millisecond

// DialFunc opens a connection to the ip:port of a replica. Its errors are
// *httpbody.DialError.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Via returns the name of the host through which a connection goes; "" for a direct one.
func Via(conn net.Conn) string {
	for {
		switch c := conn.(type) {
		case interface{ Via() string }:
			return c.Via()
		case interface{ NetConn() net.Conn }:
			conn = c.NetConn()
		default:
			return ""
		}
	}
}

// DirectDialer opens connections from this host. The zero value is ready to use. It is safe
// for concurrent use.
type DirectDialer struct {
	cut atomic.Pointer[simulatedCut]
}

// simulatedCut is a simulated loss of the path to all replicas.
type simulatedCut struct {
	until  time.Time
	silent bool
}

// Dial implements DialFunc.
func (d *DirectDialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	if c := d.cut.Load(); c != nil && clock.Now().Before(c.until) {
		return nil, c.fail(ctx)
	}
	conn, err := (&net.Dialer{Timeout: ConnectTimeout, KeepAlive: -1}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, &httpbody.DialError{Err: err}
	}
	return conn, nil
}

// SimulateCut makes connection attempts fail for the given time, for tests: no test can cut
// the path of one process to others. Attempts are refused, or not answered if silent is set.
// Open connections live on.
func (d *DirectDialer) SimulateCut(duration time.Duration, silent bool) {
	d.cut.Store(&simulatedCut{until: clock.Now().Add(duration), silent: silent})
}

// fail returns the error of an attempt during the cut.
func (c *simulatedCut) fail(ctx context.Context) error {
	if !c.silent {
		return &httpbody.DialError{Err: syscall.ECONNREFUSED}
	}
	ctx, cancel := context.WithTimeout(ctx, ConnectTimeout)
	defer cancel()
	<-ctx.Done()
	return &httpbody.DialError{Err: ctx.Err()}
}
