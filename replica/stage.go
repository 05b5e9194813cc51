package replica

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/wheatseam/wheatseam/core/stage"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/internal/httpbody"
	"github.com/wheatseam/wheatseam/platform"
)

// maxStageAnswer bounds the answer of a call: handles of some 40 bytes each.
const maxStageAnswer = 1 << 20

// errNotExecuted: the replica says that it did not run a call.
var errNotExecuted = errors.New("not executed")

// RunPieces asks a replica for pieces and says how that ended; the error says
// why there are no results.
func (c *Client) RunPieces(ctx context.Context, a stage.Run) ([]stage.Result, stage.CallOutcome, error) {
	ctx, cancel := clock.WithTimeout(ctx, a.Timeout)
	defer cancel()
	body, err := platform.EncodePieces(piecesOf(a))
	if err != nil {
		return nil, stage.CallNotExecuted, err
	}
	call := stageCall(platform.StageRunPath, a.Replica, a.Address, body)
	call.ExecutesRequest = true
	resp, err := c.Do(ctx, call)
	if err != nil {
		if httpbody.NotSent(err) {
			return nil, stage.CallUnreachable, err
		}
		return nil, stage.CallFailed, err
	}
	defer resp.Body.Close()
	raw, err := httpbody.Read(resp.Body, maxStageAnswer)
	switch {
	case resp.Head.Misdirected:
		return nil, stage.CallUnreachable, ErrOtherReplica
	case resp.Head.NotExecuted:
		return nil, stage.CallNotExecuted, fmt.Errorf("%w: status %d", errNotExecuted, resp.StatusCode)
	case err != nil:
		return nil, stage.CallFailed, err
	case resp.StatusCode != http.StatusOK:
		return nil, stage.CallFailed, fmt.Errorf("status %d", resp.StatusCode)
	}
	made, err := platform.DecodeResults(raw, len(a.Pieces))
	if err != nil {
		return nil, stage.CallFailed, err
	}
	return resultsOf(made), stage.CallAnswered, nil
}

// maxFreeAnswer bounds the answer to giving results up: there is nothing in it.
const maxFreeAnswer = 4 << 10

// firstFreeTry bounds the first try of a call that gives results up, by the time that
// this process runs: the kept connection that it takes may have gone silent, and the
// results keep their room until a call arrives. Such a call takes some 2 ms, and more on a
// busy host. A second try beside an answer would give the same results up again.
const firstFreeTry = 250 * time.Millisecond

// FreeResults gives results up at the replica that holds them. A replica may
// have dropped the idle connection that the first try takes, also without a
// word, so that there is a second.
func (c *Client) ReleaseResults(ctx context.Context, a stage.Release) error {
	body, err := platform.EncodeFree(a.Handles)
	if err != nil {
		return err
	}
	call := stageCall(platform.StageFreePath, a.Replica, a.Address, body)
	first, cancel := context.WithCancel(ctx)
	defer cancel()
	defer afterRunning(firstFreeTry, cancel)()
	if err = c.free(first, call); err != nil && ctx.Err() == nil {
		err = c.free(ctx, call)
	}
	return err
}

// maxReport bounds a replica's report: a line for each request that it runs.
const maxReport = 256 << 10

// Room asks a replica how much room for results it had a moment ago.
func (c *Client) FreeMemory(ctx context.Context, a stage.QueryMemory) (stage.FreeMemory, error) {
	call := stageCall(platform.ReportPath, a.Replica, a.Address, nil)
	call.Method = http.MethodGet
	call.Header.Del("Content-Type")
	status, raw, err := c.askKept(ctx, call, maxReport)
	switch {
	case err != nil:
		return stage.FreeMemory{}, err
	case status != http.StatusOK:
		return stage.FreeMemory{}, fmt.Errorf("status %d", status)
	}
	least, below, err := platform.DecodeRoom(raw)
	return stage.FreeMemory{Min: least, Max: below}, err
}

// free makes one try; what the answer says does not matter.
func (c *Client) free(ctx context.Context, call Call) error {
	_, _, err := c.askKept(ctx, call, maxFreeAnswer)
	return err
}

// askKept makes a call on the kept connection and reads the answer, which has at
// most so many bytes.
func (c *Client) askKept(ctx context.Context, call Call, most int64) (status int, body []byte, err error) {
	resp, err := c.do(ctx, c.kept, call)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	body, err = httpbody.Read(resp.Body, most)
	return resp.StatusCode, body, err
}

// stageCall is a call to a replica that runs stages.
func stageCall(path, replica, address string, body []byte) Call {
	h := platform.EncodeAttempt(http.Header{"Content-Type": {"application/json"}}, platform.Attempt{Replica: replica, Priority: -1})
	return Call{Replica: replica, Method: http.MethodPost, Address: address, Target: path, Host: address, Header: h, Body: body}
}

func piecesOf(a stage.Run) []platform.Piece {
	pieces := make([]platform.Piece, 0, len(a.Pieces))
	for _, p := range a.Pieces {
		pieces = append(pieces, platform.Piece{
			Request: p.Job, Stage: p.Stage, Index: p.Index, LeftMS: platform.LeftMS(p.TimeLeft), Key: p.Key, Inputs: p.Inputs,
		})
	}
	return pieces
}

// resultsOf translates what became of the pieces.
func resultsOf(made []platform.PieceResult) []stage.Result {
	out := make([]stage.Result, 0, len(made))
	for _, r := range made {
		res := stage.Result{Handle: r.Handle}
		switch r.Reason {
		case "":
			res.Kind = stage.PieceCompleted
		case platform.ReasonLate:
			res.Kind = stage.PieceExpired
		case platform.ReasonGone:
			res.Kind = stage.PieceInputMissing
		case platform.ReasonRoom:
			res.Kind = stage.PieceOutOfMemory
		default:
			res.Kind = stage.PieceFailed
		}
		out = append(out, res)
	}
	return out
}
