package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/core/request"
	"github.com/wheatseam/wheatseam/engine"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/service"
)

// call runs one attempt and reports its end.
func (d *Daemon) call(ctx context.Context, s *session, c request.Call) {
	defer s.cancel(c.Attempt)
	if !d.mayCall(s, c) {
		d.deliver(s, condemnedCall(c))
		return
	}
	if c.Stage.Kind == bundle.StageGenerate {
		d.deliver(s, d.generate(ctx, s, c))
		return
	}
	d.deliver(s, d.callService(ctx, s, c))
}

// pathOf is the URL path of a stage at a plain service.
func pathOf(stage bundle.Stage) string {
	if stage.Path != "" {
		return stage.Path
	}
	return "/v1/" + string(stage.Kind)
}

func (d *Daemon) callService(ctx context.Context, s *session, c request.Call) request.CallEnded {
	client := s.clients.services[c.Stage.Pool]
	if client == nil {
		return unserved(c)
	}
	began := startCall()
	output, err := client.Do(ctx, service.Call{
		Address: c.Choice.Address, Path: pathOf(c.Stage), RequestID: s.id, Attempt: c.Attempt,
		Customer: s.sub.Customer.Name, Stage: c.Stage.Name, IdempotencyKey: c.Key, Input: c.Input, NotAfter: c.NotAfter,
	})
	d.noteCall(s, c, began, err)
	ended := callEnded(ctx, c.Attempt, err)
	ended.Output, ended.FirstByte = output, d.Now().Sub(began.at)
	return ended
}

// unserved ends a call that cannot be sent at all.
func unserved(c request.Call) request.CallEnded {
	return request.CallEnded{
		Attempt: c.Attempt, Result: request.CallFailed, NotExecuted: true, Rejected: true,
		Detail: errNoClient.Error(),
	}
}

func (d *Daemon) generate(ctx context.Context, s *session, c request.Call) request.CallEnded {
	client := s.clients.engines[c.Stage.Pool]
	if client == nil {
		return unserved(c)
	}
	began := startCall()
	var first time.Duration
	out, err := client.Generate(ctx, d.generation(s, c), func(text string) {
		if first == 0 {
			first = d.Now().Sub(began.at)
			d.deliver(s, request.FirstToken{Attempt: c.Attempt})
		}
		if s.forward.Load() == int64(c.Attempt) {
			s.pass(ctx, outputPart{text: text})
		}
	})
	d.noteCall(s, c, began, err)
	ended := callEnded(ctx, c.Attempt, err)
	ended.FirstByte, ended.Tokens = first, out.Tokens
	if err == nil {
		ended.Output = textResult(out.Text)
	}
	return ended
}

func textResult(text string) json.RawMessage {
	raw, err := json.Marshal(struct {
		Text string `json:"text"`
	}{text})
	if err != nil {
		return json.RawMessage(`{"text":""}`)
	}
	return raw
}

func (d *Daemon) generation(s *session, c request.Call) engine.GenerateRequest {
	var messages []engine.Message
	if s.sub.Prefix != "" {
		messages = append(messages, engine.Message{Role: "system", Content: s.sub.Prefix})
	}
	messages = append(messages, engine.Message{Role: "user", Content: textOf(c.Input)})
	pool := s.clients.pools[c.Stage.Pool]
	return engine.GenerateRequest{
		Address: c.Choice.Address, Model: pool.Model, Priority: priorityOf(pool, c.LatestStart),
		RequestID: s.id, Attempt: c.Attempt, Customer: s.sub.Customer.Name,
		Messages: messages, MaxTokens: c.Stage.MaxTokens, NotAfter: c.NotAfter,
	}
}

// priorityOf orders the queue of an engine by the earliest feasible deadline:
// the sooner a generation must start, the higher. It is an absolute time, in
// milliseconds, so that calls of all daemons compare whenever they were sent;
// clocks that differ shift a call by as much. Engines that do not honour
// priorities get 0, which is left out.
func priorityOf(p bundle.Pool, startBy time.Time) int {
	if !p.Supports.Priority {
		return 0
	}
	return -int(startBy.UnixMilli())
}

// callEnded translates the error of a client.
func callEnded(ctx context.Context, attempt int, err error) request.CallEnded {
	if err == nil {
		return request.CallEnded{Attempt: attempt, Result: request.CallOK}
	}
	ended := request.CallEnded{Attempt: attempt, Result: request.CallFailed, Detail: err.Error()}
	var e *service.Error
	if errors.As(err, &e) {
		ended.NotExecuted, ended.Rejected = e.NotExecuted, e.Rejected()
		if e.NotExecuted && e.Status != 0 {
			ended.Result = request.CallRefused
		}
	}
	if errors.Is(context.Cause(ctx), context.Canceled) {
		ended.Result = request.CallCancelled
	}
	return ended
}

const (
	// lookUpTimeout bounds one question to one upstream.
	lookUpTimeout = 500 * time.Millisecond
	// lookUpEvery is how often upstreams are asked while the call still runs.
	lookUpEvery = 50 * time.Millisecond
)

// lookUp asks all upstreams of a pool until one has the result, none knows of
// the call, or the request's deadline comes.
func (d *Daemon) lookUp(s *session, a request.LookUpStatus) {
	ctx, cancel := clock.WithDeadline(context.Background(), s.sub.Deadline)
	defer cancel()
	for {
		status := d.askStatus(ctx, s, a)
		if status.State != service.StatusRunning {
			d.deliver(s, request.StatusAnswered{Known: status.State == service.StatusDone, Output: status.Result})
			return
		}
		select {
		case <-ctx.Done():
			d.deliver(s, request.StatusAnswered{})
			return
		case <-clock.After(lookUpEvery):
		}
	}
}

// askStatus asks every upstream of the pool once. One that has the result wins
// over one that runs the call, and that over those that know nothing.
func (d *Daemon) askStatus(ctx context.Context, s *session, a request.LookUpStatus) service.Status {
	ctx, cancel := clock.WithTimeout(ctx, lookUpTimeout)
	defer cancel()
	upstreams := s.clients.pools[a.Pool].Upstreams
	answers := make(chan service.Status, len(upstreams))
	for _, u := range upstreams {
		go func() {
			status, err := s.clients.services[a.Pool].LookUpStatus(ctx, u.Address, a.Key)
			if err != nil {
				status = service.Status{State: service.StatusUnknown}
			}
			answers <- status
		}()
	}
	best := service.Status{State: service.StatusUnknown}
	for range upstreams {
		switch one := <-answers; one.State {
		case service.StatusDone:
			return one
		case service.StatusRunning:
			best = one
		}
	}
	return best
}
