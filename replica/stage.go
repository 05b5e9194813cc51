package replica

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/wheatseam/wheatseam/core/stage"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/internal/httpbody"
	"github.com/wheatseam/wheatseam/platform"
)

// maxStageResponseBytes bounds the response to a call for pieces: result handles of
// about 40 bytes each.
const maxStageResponseBytes = 1 << 20

// errBodyUnusable means that a response began, and its body ended early or was over its limit.
var errBodyUnusable = errors.New("body of the response is of no use")

// errNotExecuted means that the replica reports not having executed a call.
var errNotExecuted = errors.New("replica did not execute the call")

// RunPieces runs pieces on a replica and returns their results, in the order of the
// pieces, with the outcome of the call. Unless the outcome is stage.CallAnswered, the
// error states why there are no results.
func (c *Client) RunPieces(ctx context.Context, run stage.Run) ([]stage.Result, stage.CallOutcome, error) {
	ctx, cancel := clock.WithTimeout(ctx, run.Timeout)
	defer cancel()
	body, err := platform.EncodePieces(encodablePieces(run))
	if err != nil {
		return nil, stage.CallNotExecuted, err
	}
	call := newStageCall(platform.StageRunPath, run.Replica, run.Address, body)
	call.ExecutesRequest = true
	resp, err := c.Do(ctx, call)
	if err != nil {
		if httpbody.IsNotSent(err) {
			return nil, stage.CallUnreachable, err
		}
		return nil, stage.CallFailed, err
	}
	defer resp.Body.Close()
	switch {
	case resp.Head.Misdirected:
		return nil, stage.CallUnreachable, ErrMisdirected
	case resp.Head.NotExecuted:
		return nil, stage.CallNotExecuted, fmt.Errorf("%w: status %d", errNotExecuted, resp.StatusCode)
	case resp.StatusCode != http.StatusOK:
		return nil, stage.CallFailed, fmt.Errorf("status %d", resp.StatusCode)
	}
	respBody, err := httpbody.Read(resp.Body, maxStageResponseBytes)
	if err != nil {
		return nil, stage.CallFailed, err
	}
	results, err := platform.DecodeResults(respBody, len(run.Pieces))
	if err != nil {
		return nil, stage.CallFailed, err
	}
	return stageResults(results), stage.CallAnswered, nil
}

// maxReleaseResponseBytes bounds the response to a call that releases results. It
// carries no data.
const maxReleaseResponseBytes = 4 << 10

// firstReleaseTimeout is the run time of this process after which an unanswered call that
// releases results makes it check the connection. The call uses a pooled connection, which
// may have stopped delivering packets, and the results occupy memory until a call arrives.
const firstReleaseTimeout = 250 * time.Millisecond

// lateAnswerTime is the time that an answer on the pooled connection has to arrive after one
// on a new connection. A replica that was silent for a while may answer the latter first.
const lateAnswerTime = 100 * time.Millisecond

// ReleaseResults releases results at the replica that holds them. It makes a second
// attempt when the first fails without a response, because the replica may have dropped the idle
// connection that the first attempt uses, or the connection has stopped delivering packets
// without being closed. A second attempt must not release the results twice: while the replica
// is silent on new connections too, the first one goes on, and after one through another host
// none follows, since the replica's answer may have been lost between the hosts.
func (c *Client) ReleaseResults(ctx context.Context, release stage.Release) error {
	body, err := platform.EncodeRelease(release.Handles)
	if err != nil {
		return err
	}
	var viaPeer atomic.Bool
	call := newStageCall(platform.StageReleasePath, release.Replica, release.Address, body)
	call.OnConnected = func(conn net.Conn) { viaPeer.Store(Via(conn) != "") }
	firstCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer afterRunTime(firstReleaseTimeout, func() {
		if !viaPeer.Load() && c.answersOnNewConnection(firstCtx, release) {
			afterRunTime(lateAnswerTime, cancel)
		}
	})()
	// A replica that responded, in whatever way, has received the first attempt.
	responded := func(err error) bool {
		return httpbody.IsOversized(err) || errors.Is(err, httpbody.ErrMalformedHead) || errors.Is(err, ErrProtocolSwitched) || errors.Is(err, errBodyUnusable)
	}
	if err = c.release(firstCtx, call); err != nil && !responded(err) && !viaPeer.Load() && ctx.Err() == nil {
		err = c.release(ctx, call)
	}
	return err
}

// answersOnNewConnection reports whether a replica answers a call that changes nothing.
func (c *Client) answersOnNewConnection(ctx context.Context, release stage.Release) bool {
	call := newStageCall(platform.ReportPath, release.Replica, release.Address, nil)
	call.Method = http.MethodGet
	call.Header.Del("Content-Type")
	resp, err := c.Do(ctx, call)
	if err != nil {
		return false
	}
	_ = resp.Body.Close() // only the head matters
	return true
}

// maxReportBytes bounds a replica's report, which has one entry for each request that
// the replica runs.
const maxReportBytes = 256 << 10

// FreeMemory fetches how much memory for results a replica had free a moment ago, as lower
// and upper bounds in bytes.
func (c *Client) FreeMemory(ctx context.Context, query stage.QueryMemory) (stage.FreeMemory, error) {
	call := newStageCall(platform.ReportPath, query.Replica, query.Address, nil)
	call.Method = http.MethodGet
	call.Header.Del("Content-Type")
	status, respBody, err := c.doPooled(ctx, call, maxReportBytes)
	switch {
	case err != nil:
		return stage.FreeMemory{}, err
	case status != http.StatusOK:
		return stage.FreeMemory{}, fmt.Errorf("status %d", status)
	}
	minBytes, maxBytes, err := platform.DecodeFreeMemory(respBody)
	return stage.FreeMemory{Min: minBytes, Max: maxBytes}, err
}

// release makes one attempt to release results. It ignores status and body of the
// response, since nothing depends on them, but reads a short body so that the connection can be
// used again.
func (c *Client) release(ctx context.Context, call Call) error {
	resp, err := c.do(ctx, c.pooled, call)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := httpbody.Read(resp.Body, maxReleaseResponseBytes); err != nil {
		return fmt.Errorf("%w: %w", errBodyUnusable, err)
	}
	return nil
}

// doPooled makes a call on a pooled connection and reads a response body of at most
// maxBytes.
func (c *Client) doPooled(ctx context.Context, call Call, maxBytes int64) (status int, body []byte, err error) {
	resp, err := c.do(ctx, c.pooled, call)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	body, err = httpbody.Read(resp.Body, maxBytes)
	return resp.StatusCode, body, err
}

// newStageCall returns a call to a replica that runs stages.
func newStageCall(path, replica, address string, body []byte) Call {
	h := platform.EncodeAttempt(http.Header{"Content-Type": {"application/json"}}, platform.Attempt{Replica: replica, Priority: -1})
	return Call{Replica: replica, Method: http.MethodPost, Address: address, Target: path, Host: address, Header: h, Body: body}
}

func encodablePieces(run stage.Run) []platform.Piece {
	pieces := make([]platform.Piece, 0, len(run.Pieces))
	for _, p := range run.Pieces {
		pieces = append(pieces, platform.Piece{
			Request: p.Job, Stage: p.Stage, Index: p.Index, TimeLeftMS: platform.PositiveMS(p.TimeLeft), Key: p.Key, Inputs: p.Inputs,
		})
	}
	return pieces
}

// stageResults converts the platform's piece results.
func stageResults(results []platform.PieceResult) []stage.Result {
	out := make([]stage.Result, 0, len(results))
	for _, r := range results {
		res := stage.Result{Handle: r.Handle}
		switch r.Reason {
		case "":
			res.Kind = stage.PieceCompleted
		case platform.ReasonExpired:
			res.Kind = stage.PieceExpired
		case platform.ReasonInputMissing:
			res.Kind = stage.PieceInputMissing
		case platform.ReasonOutOfMemory:
			res.Kind = stage.PieceOutOfMemory
		default:
			res.Kind = stage.PieceFailed
		}
		out = append(out, res)
	}
	return out
}
