package membership

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/peer"
)

// maxCalls bounds the calls to peers in flight.
const maxCalls = 256

// ErrBusy says that there is no place for another call.
var ErrBusy = errors.New("membership: too many calls in flight")

// Calls makes calls to fellow daemons in goroutines of their own, a bounded
// number at a time.
type CallPool struct {
	caller peer.Caller
	places chan struct{}
}

// NewCalls returns a Calls that needs a caller before its first call.
func NewCallPool() *CallPool { return &CallPool{places: make(chan struct{}, maxCalls)} }

// Use sets the caller; it is called once, before the first call.
func (c *CallPool) SetCaller(caller peer.Caller) { c.caller = caller }

// Go calls a host; done is called once, at the latest after the timeout.
func (c *CallPool) Go(host, method string, req, resp proto.Message, timeout time.Duration, done func(error)) {
	select {
	case c.places <- struct{}{}:
	default:
		done(ErrBusy)
		return
	}
	go func() {
		defer func() { <-c.places }()
		ctx, cancel := clock.WithTimeout(context.Background(), timeout)
		defer cancel()
		done(c.caller.Call(ctx, host, method, req, resp))
	}()
}
