package membership

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/peer"
)

// maxCallsInFlight bounds the calls to peers that are in flight at the same time.
const maxCallsInFlight = 256

// ErrBusy reports that the maximum number of calls is already in flight.
var ErrBusy = errors.New("membership: too many calls in flight")

// CallPool makes calls to peers, each in its own goroutine. The number of calls in
// flight is bounded.
type CallPool struct {
	caller  peer.Caller
	permits chan struct{}
}

// NewCallPool returns a pool. SetCaller must be called before the first call.
func NewCallPool() *CallPool { return &CallPool{permits: make(chan struct{}, maxCallsInFlight)} }

// SetCaller sets the caller, which makes the calls. It must be called once.
func (c *CallPool) SetCaller(caller peer.Caller) { c.caller = caller }

// Go calls method at host in its own goroutine and passes the result to done, at the
// latest after timeout. If maxCallsInFlight calls are in flight it passes ErrBusy at
// once. done is called exactly once.
func (c *CallPool) Go(host, method string, req, resp proto.Message, timeout time.Duration, done func(error)) {
	select {
	case c.permits <- struct{}{}:
	default:
		done(ErrBusy)
		return
	}
	go func() {
		defer func() { <-c.permits }()
		ctx, cancel := clock.WithTimeout(context.Background(), timeout)
		defer cancel()
		done(c.caller.Call(ctx, host, method, req, resp))
	}()
}
