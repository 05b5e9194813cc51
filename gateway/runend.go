package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/core/attempts"
	"github.com/wheatseam/wheatseam/core/request"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/logging"
	"github.com/wheatseam/wheatseam/platform"
	"github.com/wheatseam/wheatseam/problem"
	"github.com/wheatseam/wheatseam/replica"
)

const (
	// contactTime is for how long a replica that answered counts as reached: after a fault of its
	// links the platform takes a machine as out of touch for as long.
	contactTime = 3 * time.Second
	// stopTimeout limits stopping a run, which includes copying its memory.
	stopTimeout = 500 * time.Millisecond
)

// newRun returns the state of the run of an attempt that begins.
func (t *attempt) newRun() *attempts.Run {
	s := t.x.config.Services[t.x.service]
	return attempts.New(attempts.Config{QueryInterval: runQueryTimeout, ContactTime: contactTime, CanStop: s != nil && s.Moves})
}

// withRun calls f with the state of the run.
func (w *stallWatch) withRun(f func(*attempts.Run)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f(w.run)
}

// awaitRunEnd waits until the run of an attempt that this host has given up has ended, as far as
// that can be known, so that the next one may begin. The error says that the deadline came first.
func (x *exchange) awaitRunEnd(t *attempt) *problem.Error {
	began := clock.Now()
	defer func() { x.reportRunEnd(t, began) }()
	for {
		var action attempts.Action
		var next time.Time
		t.watch.withRun(func(r *attempts.Run) { action, next = r.Next(clock.Now()) })
		switch action {
		case attempts.Begin:
			return nil
		case attempts.Stop:
			x.stopRun(t)
			continue
		case attempts.Query:
			x.queryRunEnd(t)
			continue
		}
		x.releaseExpiringReplica()
		timer := clock.NewTimer(clock.Until(next))
		select {
		case <-timer.C:
		case <-x.ctx.Done():
			timer.Stop()
			return problem.New(problem.DeadlineExceeded, "the run at replica %s may go on, and no other one has begun", t.choice.Upstream)
		}
	}
}

// reportRunEnd logs and counts how the wait for the end of a run ended.
func (x *exchange) reportRunEnd(t *attempt, began time.Time) {
	var ending attempts.Ending
	t.watch.withRun(func(r *attempts.Run) { ending = r.Ending() })
	waited := clock.Since(began)
	msg := "run has ended; another one may begin"
	if ending == attempts.NoEnding {
		msg = "run may go on; no other one has begun"
	}
	x.g.log.Info(msg, logging.Request(x.req.ID), zap.String("replica", t.choice.Upstream), zap.Stringer("ending", ending),
		zap.Duration("waited", waited), zap.Bool("copied", x.replacement != nil && x.replacement.copyHandle != ""))
	x.g.metrics.GetOrCreateCounter(fmt.Sprintf("wheatseam_given_up_runs_total{service=%q,ending=%q}", x.service, ending)).Inc()
	x.g.metrics.GetOrCreateHistogram("wheatseam_given_up_run_seconds").Update(waited.Seconds())
}

// stopRun asks the replica to stop the run, and has it copy the run's memory to the replica of the
// replacement.
func (x *exchange) stopRun(t *attempt) {
	ctx, cancel := clock.WithTimeout(x.ctx, stopTimeout)
	defer cancel()
	r := x.replacement
	runCopy, err := x.g.client.StopRun(ctx, t.choice.Upstream, t.choice.Address, x.req.ID, r.choice.Address)
	result := attempts.StopFailed
	switch {
	case err == nil && runCopy.Copied:
		result, r.copySource, r.copyHandle = attempts.RunStopped, t.choice, runCopy.Handle
	case err == nil:
		result = attempts.RunStopped
		go x.releaseRunCopy(t.choice, runCopy.Handle)
	case errors.Is(err, replica.ErrNoSuchRun):
		result = attempts.NoSuchRun
	}
	x.g.log.Info("replica asked to stop a run", logging.Request(x.req.ID), zap.String("replica", t.choice.Upstream), zap.String("destination", r.choice.Upstream),
		zap.Bool("stopped", err == nil), zap.Bool("copied", runCopy.Copied), zap.Error(err))
	t.watch.withRun(func(run *attempts.Run) { run.StopAnswered(clock.Now(), result) })
}

// releaseRunCopy releases the memory of a stopped run, and its copy, which no attempt uses.
func (x *exchange) releaseRunCopy(source request.Choice, handle string) {
	ctx, cancel := clock.WithTimeout(context.Background(), reservationTimeout)
	defer cancel()
	if err := x.g.client.ReleaseCopy(ctx, source.Upstream, source.Address, handle); err != nil {
		x.g.log.Info("memory of a run not released", logging.Request(x.req.ID), zap.String("replica", source.Upstream), zap.Error(err))
	}
}

// queryRunEnd asks the replica whether it still lists the run.
func (x *exchange) queryRunEnd(t *attempt) {
	report, queriedAt, err := x.g.queryRuns(t.choice)
	t.watch.withRun(func(r *attempts.Run) { r.Reported(queriedAt, clock.Now(), classifyReport(report, err, x.req.ID)) })
}

// classifyReport says what a replica's answer means for the end of a run.
func classifyReport(report platform.EngineReport, err error, id string) attempts.Report {
	_, listed := report.EventsByRequest[id]
	switch {
	case errors.Is(err, replica.ErrMisdirected):
		return attempts.OtherProcess
	case errors.Is(err, replica.ErrUnknownCall):
		return attempts.NoRuns
	case errors.Is(err, replica.ErrUnsupportedCall) || errors.Is(err, platform.ErrMalformed):
		return attempts.Unclear
	case err != nil:
		return attempts.NoAnswer
	case !report.HasRuns:
		return attempts.NoRuns
	case listed:
		return attempts.Lists
	case report.Queued > 0 || report.Active > len(report.EventsByRequest):
		return attempts.MayWait
	}
	return attempts.ListsNot
}

// releaseExpiringReplica releases the replica of a replacement whose reservation expires before
// another wait: another one is picked once the run has ended.
func (x *exchange) releaseExpiringReplica() {
	r := x.replacement
	if r == nil || r.released || r.copyHandle != "" || clock.Since(r.reservedAt) < reservationRenewAfter {
		return
	}
	x.releaseReplica(r)
}
