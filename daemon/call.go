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

// runCall runs one attempt of a stage and delivers its result to the request.
func (d *Daemon) runCall(ctx context.Context, s *session, c request.Call) {
	defer s.cancel(c.Attempt)
	if !d.callAllowed(s, c) {
		d.deliver(s, quarantinedCall(c))
		return
	}
	if c.Stage.Kind == bundle.StageGenerate {
		d.deliver(s, d.generate(ctx, s, c))
		return
	}
	d.deliver(s, d.callService(ctx, s, c))
}

// servicePath returns the URL path of a stage at a service upstream.
func servicePath(stage bundle.Stage) string {
	if stage.Path != "" {
		return stage.Path
	}
	return "/v1/" + string(stage.Kind)
}

func (d *Daemon) callService(ctx context.Context, s *session, c request.Call) request.CallEnded {
	client := s.clients.services[c.Stage.Pool]
	if client == nil {
		return callWithoutClient(c)
	}
	start := startCall()
	output, err := client.Do(ctx, service.Call{
		Address: c.Choice.Address, Path: servicePath(c.Stage), RequestID: s.id, Attempt: c.Attempt,
		Customer: s.sub.Customer.Name, Stage: c.Stage.Name, IdempotencyKey: c.Key, Input: c.Input, NotAfter: c.NotAfter,
	})
	d.reportCall(s, c, start, err)
	ended := callEnded(ctx, c.Attempt, err)
	ended.Output, ended.FirstByte = output, d.Now().Sub(start.at)
	return ended
}

// callWithoutClient returns the failure of a call whose pool has no client of the
// stage's kind.
func callWithoutClient(c request.Call) request.CallEnded {
	return request.CallEnded{
		Attempt: c.Attempt, Result: request.CallFailed, NotExecuted: true, Rejected: true,
		Detail: errNoClient.Error(),
	}
}

func (d *Daemon) generate(ctx context.Context, s *session, c request.Call) request.CallEnded {
	client := s.clients.engines[c.Stage.Pool]
	if client == nil {
		return callWithoutClient(c)
	}
	start := startCall()
	var first time.Duration
	out, err := client.Generate(ctx, d.newGenerateRequest(s, c), func(text string) {
		if first == 0 {
			first = d.Now().Sub(start.at)
			d.deliver(s, request.FirstToken{Attempt: c.Attempt})
		}
		if s.forwardedAttempt.Load() == int64(c.Attempt) {
			s.sendOutput(ctx, outputPart{text: text})
		}
	})
	d.reportCall(s, c, start, err)
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

func (d *Daemon) newGenerateRequest(s *session, c request.Call) engine.GenerateRequest {
	var messages []engine.Message
	if s.sub.Prefix != "" {
		messages = append(messages, engine.Message{Role: "system", Content: s.sub.Prefix})
	}
	messages = append(messages, engine.Message{Role: "user", Content: textOf(c.Input)})
	pool := s.clients.pools[c.Stage.Pool]
	return engine.GenerateRequest{
		Address: c.Choice.Address, Model: pool.Model, Priority: enginePriority(pool, c.LatestStart),
		RequestID: s.id, Attempt: c.Attempt, Customer: s.sub.Customer.Name,
		Messages: messages, MaxTokens: c.Stage.MaxTokens, NotAfter: c.NotAfter,
	}
}

// enginePriority returns the priority that makes an engine order its queue by
// earliest deadline first: the sooner a call must start, the higher. The priority is
// the negated latest start time in Unix milliseconds, so that the calls of all
// daemons are comparable, whenever they were sent. A clock difference between two
// daemons shifts their calls by that difference. The priority is 0, which is omitted
// from the call, for engines that do not support priorities.
func enginePriority(p bundle.Pool, latestStart time.Time) int {
	if !p.Supports.Priority {
		return 0
	}
	return -int(latestStart.UnixMilli())
}

// callEnded converts the error of a client to the result of a call.
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
	// statusQueryTimeout bounds one round of status queries to a pool's upstreams.
	statusQueryTimeout = 500 * time.Millisecond
	// statusQueryInterval is the time between two rounds while the call still runs.
	statusQueryInterval = 50 * time.Millisecond
)

// pollCallStatus queries all upstreams of a pool until one has the result, none
// runs the call, or the request's deadline has passed.
func (d *Daemon) pollCallStatus(s *session, a request.LookUpStatus) {
	ctx, cancel := clock.WithDeadline(context.Background(), s.sub.Deadline)
	defer cancel()
	for {
		status := d.queryStatus(ctx, s, a)
		if status.State != service.StatusRunning {
			d.deliver(s, request.StatusAnswered{Known: status.State == service.StatusDone, Output: status.Result})
			return
		}
		select {
		case <-ctx.Done():
			d.deliver(s, request.StatusAnswered{})
			return
		case <-clock.After(statusQueryInterval):
		}
	}
}

// queryStatus queries every upstream of the pool once. The status of an upstream that
// has the result takes precedence over that of one that is running the call, and the
// latter over upstreams that don't know the call or don't answer.
func (d *Daemon) queryStatus(ctx context.Context, s *session, a request.LookUpStatus) service.Status {
	ctx, cancel := clock.WithTimeout(ctx, statusQueryTimeout)
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
