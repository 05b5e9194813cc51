package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/core/stage"
	"github.com/wheatseam/wheatseam/logging"
	"github.com/wheatseam/wheatseam/platform"
)

// stager runs the planner of stage work in this daemon.
type stager struct {
	g *Gateway

	mu      sync.Mutex
	machine *stage.Machine
	waiting map[string]chan stage.Action // job id to the one Ready or Refused
	wake    chan struct{}
}

func newStager(g *Gateway) *stager {
	return &stager{
		g: g, machine: stage.New(stage.Config{}), waiting: map[string]chan stage.Action{},
		wake: make(chan struct{}, 1),
	}
}

// configure passes a view on.
func (s *stager) configure(v *view) {
	s.step(stage.Configured{Services: v.config.Services, Replicas: v.stageReplicas()})
}

// step passes an event to the machine and carries out what it decides.
func (s *stager) step(e stage.Event) {
	s.mu.Lock()
	actions := s.machine.Step(time.Now(), e)
	for _, a := range actions {
		s.answer(a)
	}
	s.mu.Unlock()
	for _, a := range actions {
		switch a := a.(type) {
		case stage.Run:
			go s.call(a)
		case stage.Free:
			go s.free(a)
		}
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// answer hands the end of a job to whoever waits; the lock is held.
func (s *stager) answer(a stage.Action) {
	var id string
	switch a := a.(type) {
	case stage.Ready:
		id = a.Job
	case stage.Refused:
		id = a.Job
	default:
		return
	}
	if ch := s.waiting[id]; ch != nil {
		delete(s.waiting, id)
		ch <- a
	}
}

// run passes ticks when they are due.
func (s *stager) run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		case <-timer.C:
			s.step(stage.Tick{})
		}
		s.mu.Lock()
		next, ok := s.machine.NextTick(time.Now())
		s.mu.Unlock()
		if !ok {
			timer.Stop()
			continue
		}
		timer.Reset(max(time.Millisecond, time.Until(next)))
	}
}

// prepare has the stages of a job made. On success the caller owes a release.
func (s *stager) prepare(ctx context.Context, j stage.Job) (stage.Ready, *stage.Refused) {
	ch := make(chan stage.Action, 1)
	s.mu.Lock()
	s.waiting[j.ID] = ch
	s.mu.Unlock()
	s.step(stage.Submitted{Job: j})
	select {
	case a := <-ch:
		return ended(a)
	case <-ctx.Done():
	}
	s.mu.Lock()
	delete(s.waiting, j.ID)
	s.mu.Unlock()
	s.step(stage.Cancelled{Job: j.ID})
	return stage.Ready{}, &stage.Refused{Job: j.ID, Reason: stage.ReasonExpired}
}

func ended(a stage.Action) (stage.Ready, *stage.Refused) {
	switch a := a.(type) {
	case stage.Ready:
		return a, nil
	case stage.Refused:
		return stage.Ready{}, &a
	}
	panic(fmt.Sprintf("gateway: %T ends a job", a))
}

// release gives the results of a ready job up.
func (s *stager) release(id string) { s.step(stage.Released{Job: id}) }

// call makes one call to a replica and reports its end.
func (s *stager) call(a stage.Run) {
	ended := stage.CallEnded{Call: a.Call}
	began := time.Now()
	results, outcome, err := s.pieces(a)
	ended.Results, ended.Outcome = results, outcome
	if err != nil {
		s.g.log.Info("stage call failed", zap.String("service", a.Service), zap.String("replica", a.Replica),
			zap.Int("pieces", len(a.Pieces)), zap.Duration("took", time.Since(began)), zap.Error(err))
	}
	s.step(ended)
}

// maxStageAnswer bounds the answer of a call: handles of some 40 bytes each.
const maxStageAnswer = 1 << 20

// pieces asks a replica for pieces.
func (s *stager) pieces(a stage.Run) ([]stage.Result, stage.CallOutcome, error) {
	ctx, cancel := context.WithTimeout(context.Background(), a.Timeout)
	defer cancel()
	pieces := make([]platform.Piece, 0, len(a.Pieces))
	for _, p := range a.Pieces {
		pieces = append(pieces, platform.Piece{
			Request: requestID(p.Job), Stage: p.Stage, Index: p.Index, LeftMS: platform.LeftMS(p.Left), Key: p.Key, Inputs: p.Inputs,
		})
	}
	body, err := platform.EncodePieces(pieces)
	if err != nil {
		return nil, stage.CallNotExecuted, err
	}
	resp, err := s.g.client.do(ctx, stageCall(platform.StageRunPath, a.Replica, a.Address, body))
	if err != nil {
		if unsent(err) {
			return nil, stage.CallUnreachable, err
		}
		return nil, stage.CallFailed, err
	}
	defer resp.Body.Close()
	answer := platform.DecodeAnswer(resp.StatusCode, resp.Header)
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxStageAnswer))
	switch {
	case answer.OtherReplica:
		return nil, stage.CallUnreachable, fmt.Errorf("another replica has the address")
	case answer.NotExecuted:
		return nil, stage.CallNotExecuted, fmt.Errorf("not executed: status %d", resp.StatusCode)
	case err != nil:
		return nil, stage.CallFailed, err
	case resp.StatusCode != http.StatusOK:
		return nil, stage.CallFailed, fmt.Errorf("status %d", resp.StatusCode)
	}
	made, err := platform.DecodeResults(raw, len(pieces))
	if err != nil {
		return nil, stage.CallFailed, err
	}
	return results(made), stage.CallAnswered, nil
}

// stageCall is a call to a replica that runs stages.
func stageCall(path, replica, address string, body []byte) outgoing {
	h := platform.EncodeAttempt(http.Header{"Content-Type": {"application/json"}}, platform.Attempt{Replica: replica, Priority: -1})
	return outgoing{method: http.MethodPost, address: address, target: path, host: address, header: h, body: body}
}

// results translates what became of the pieces.
func results(made []platform.PieceResult) []stage.Result {
	out := make([]stage.Result, 0, len(made))
	for _, r := range made {
		res := stage.Result{Handle: r.Handle}
		switch r.Reason {
		case "":
			res.Kind = stage.Made
		case platform.ReasonLate:
			res.Kind = stage.TooLate
		case platform.ReasonGone:
			res.Kind = stage.InputGone
		case platform.ReasonRoom:
			res.Kind = stage.NoRoom
		default:
			res.Kind = stage.Broken
		}
		out = append(out, res)
	}
	return out
}

// freeTimeout bounds a call that gives results up; their holder drops them
// after seconds anyway.
const freeTimeout = time.Second

// free gives results up.
func (s *stager) free(a stage.Free) {
	ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
	defer cancel()
	body, err := platform.EncodeFree(a.Handles)
	if err == nil {
		var resp *http.Response
		resp, err = s.g.client.do(ctx, stageCall(platform.StageFreePath, a.Replica, a.Address, body))
		if err == nil {
			_ = resp.Body.Close()
		}
	}
	if err != nil {
		s.g.log.Info("results not freed", zap.String("replica", a.Replica), zap.Int("results", len(a.Handles)), zap.Error(err))
	}
}

// requestID is the request of a job.
func requestID(job string) string { return job }

// logRefused says why a job was refused.
func (s *stager) logRefused(r *stage.Refused) {
	s.g.log.Info("stages refused", logging.Request(requestID(r.Job)), zap.String("reason", string(r.Reason)),
		zap.Duration("predicted", r.Predicted), zap.Duration("retry_after", r.RetryAfter))
}
