package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/internal/httpbody"
	"github.com/wheatseam/wheatseam/logging"
	"github.com/wheatseam/wheatseam/platform"
	"github.com/wheatseam/wheatseam/replica"
)

// A response with neither a length nor chunks is complete when its connection closes. The kernel
// closes the connections of a killed process in the same way, so that the process is checked before
// such a response counts as complete.

const (
	// processCheckTimeout limits finding out whether a replica's process lives.
	processCheckTimeout = 250 * time.Millisecond
	// processCheckInterval is the time between two calls that find out.
	processCheckInterval = 50 * time.Millisecond
	// processHoldTime is for how long a process has to hold a connection.
	processHoldTime = 25 * time.Millisecond
)

// processState is whether the process of a replica lives.
type processState uint8

const (
	// processUnknown: neither is known.
	processUnknown processState = iota
	processAlive
	// processEnded: its port refuses connections, or another process has it.
	processEnded
)

// String is the value in metrics and logs.
func (s processState) String() string {
	switch s {
	case processAlive:
		return "alive"
	case processEnded:
		return "ended"
	}
	return "unknown"
}

// isUnframed reports whether the body of a response ends with its connection.
func isUnframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
}

// endedByCrash reports whether a response may have ended since the process of the replica has. A
// process of which nothing is known counts as alive: its connection was closed in order.
func (t *attempt) endedByCrash(resp *http.Response) bool {
	if !isUnframed(resp) {
		return false
	}
	x, began := t.x, clock.Now()
	state, err := t.checkProcess()
	x.g.metrics.GetOrCreateCounter(fmt.Sprintf("wheatseam_unframed_ends_total{service=%q,process=%q}", x.service, state)).Inc()
	if state != processAlive {
		x.g.log.Info("response without a length ended", logging.Request(x.req.ID), zap.String("replica", t.choice.Upstream),
			zap.Stringer("process", state), zap.Duration("took", clock.Since(began)), zap.Error(err))
	}
	return state == processEnded
}

// checkProcess finds out whether the process of the replica lives. The error is that of the last
// call.
func (t *attempt) checkProcess() (state processState, err error) {
	ctx, cancel := clock.WithTimeout(t.ctx, processCheckTimeout)
	defer cancel()
	for {
		if err = t.callProcess(ctx); ctx.Err() != nil {
			return processUnknown, err
		}
		if state = classifyProcess(err); state != processUnknown {
			return state, err
		}
		timer := clock.NewTimer(processCheckInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return processUnknown, err
		}
	}
}

// callProcess makes a call that does not need a slot. Engines have to answer one; other replicas have
// no such call, and have to hold a connection.
func (t *attempt) callProcess(ctx context.Context) error {
	x := t.x
	if s := x.config.Services[x.service]; s != nil && s.Engine {
		_, err := x.g.client.EngineReport(ctx, t.choice.Upstream, t.choice.Address)
		return err
	}
	return x.g.client.HoldsConnections(ctx, t.choice.Address, processHoldTime)
}

// classifyProcess says what the result of a call means for the process.
func classifyProcess(err error) processState {
	var dial *httpbody.DialError
	switch {
	case err == nil, errors.Is(err, platform.ErrMalformed):
		return processAlive
	case errors.Is(err, replica.ErrMisdirected):
		return processEnded
	case errors.As(err, &dial):
		if errors.Is(err, syscall.ECONNREFUSED) && !dial.Unconfirmed {
			return processEnded
		}
		return processUnknown
	case errors.Is(err, replica.ErrUnsupportedCall) && !httpbody.IsConnectionBroken(err):
		return processAlive
	}
	return processUnknown
}
