package gateway

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/core/attempts"
	"github.com/wheatseam/wheatseam/core/request"
	"github.com/wheatseam/wheatseam/core/stall"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/logging"
	"github.com/wheatseam/wheatseam/platform"
	"github.com/wheatseam/wheatseam/replica"
)

const (
	// A run at a replica that is suspected to have failed is due for replacement when its
	// stream has had no event for suspectedFactor times its objective, at least
	// minSuspectedSilence: the rest of the objective remains for the first event of another
	// replica. It continues until a replacement has been reserved.
	suspectedFactor     = 0.6
	minSuspectedSilence = 800 * time.Millisecond
	// A run at any replica is due for replacement after maxSilenceFactor times the objective
	// without an event, at least minMaxSilence. Callers disconnect after four times the
	// objective.
	maxSilenceFactor = 2.0
	minMaxSilence    = 2 * time.Second
	// runQueryTimeout limits querying a replica for its runs. The query is sent that long
	// before the run is due for replacement.
	runQueryTimeout = 200 * time.Millisecond
	// replacementRetryInterval is the time after which reserving a replacement is
	// retried: another request of this daemon may have added to the retry budget meanwhile.
	replacementRetryInterval = 200 * time.Millisecond
	// suspendTolerance is the delay of a tick above which this host is taken to have been
	// suspended or without processor time.
	suspendTolerance = 200 * time.Millisecond
)

// progress is how far a stream has come.
type progress struct {
	// committed says that the caller has the head of the answer; lastEvent is the ID of the
	// last event that it has.
	committed bool
	lastEvent string
	// events is the number of events that the replica must have produced.
	events int
	// waitsSince is when the caller got the last event, or sent the request.
	waitsSince time.Time
	// started says that the replica has started its answer.
	started bool
}

// stallWatch detects the stalls of one attempt. core/stall decides, and core/attempts when the
// next run may begin; stallWatch queries the
// replica, reserves a replacement, and cancels the attempt. It is safe for concurrent use.
type stallWatch struct {
	attempt *attempt
	mu      sync.Mutex
	monitor *stall.Monitor
	// run says whether the run has ended at the replica.
	run *attempts.Run
	// timer calls tick when it fires, which is due at nextTick; nil for streams that cannot
	// resume at another replica. suspended is for how long this host had been suspended at the last
	// tick.
	timer     *clock.Timer
	nextTick  time.Time
	suspended time.Duration
	// relaying says that an event is being relayed: the time that a caller takes to read
	// does not count as silence of the replica.
	relaying bool
	progress progress
	stopped  bool
	// cancelReservation cancels the reservation in progress, and reserving waits until it
	// has finished.
	cancelReservation context.CancelFunc
	reserving         sync.WaitGroup
	// replacement is the reserved replacement.
	replacement *replacement
}

// stallError is the cause with which this host cancels a stalled attempt.
type stallError struct {
	status  stall.RunStatus
	silence time.Duration
}

func (e *stallError) Error() string {
	return fmt.Sprintf("stalled for %s, status reported by the replica: %s", e.silence.Round(time.Millisecond), e.status)
}

// replicaAtFault reports whether the replica's own report, or the lack of one, puts the
// replica at fault.
func (e *stallError) replicaAtFault() bool { return e.status.Suspect() }

// startStallWatch starts watching an attempt before its request is sent.
func (t *attempt) startStallWatch() *stallWatch {
	x := t.x
	objective := float64(x.route.Objective)
	suspectAfter := max(minSuspectedSilence, time.Duration(suspectedFactor*objective))
	w := &stallWatch{attempt: t, run: t.newRun(), progress: progress{committed: x.committed, lastEvent: x.resumableEvent(), events: t.totalEvents(), waitsSince: x.waitsSince()}, monitor: stall.New(clock.Now(), stall.Config{
		QueryAfter: suspectAfter - runQueryTimeout, QueryInterval: 2 * runQueryTimeout, SuspectTimeout: suspectAfter,
		MaxSilence: max(minMaxSilence, time.Duration(maxSilenceFactor*objective)), ReserveRetryInterval: replacementRetryInterval,
	})}
	if x.routeRetryDenied(t.runNumber) == "" {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.suspended = clock.SuspendedTime()
		w.nextTick = clock.Now().Add(suspectAfter - runQueryTimeout)
		w.timer = clock.AfterFunc(suspectAfter-runQueryTimeout, w.tick)
	}
	return w
}

// answerStarted records that the answer has started.
func (w *stallWatch) answerStarted() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := clock.Now()
	w.progress.started = true
	w.run.Heard()
	w.perform(now, w.monitor.Event(now))
}

// eventArrived records that an event has arrived and is about to be relayed. It says
// whether the run is still current: what arrives after its cancellation is produced again
// by the next run.
func (w *stallWatch) eventArrived() (current bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.relaying = true
	w.run.Heard()
	now := clock.Now()
	w.perform(now, w.monitor.Event(now))
	return !w.monitor.Abandoned()
}

// eventRelayed records that the event has been relayed.
func (w *stallWatch) eventRelayed(at progress) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.relaying, w.progress = false, at
	w.monitor.Event(clock.Now()) // nothing is reserved while an event is relayed
}

// stop ends the watch as the run has ended, and returns the reserved replacement; nil if
// there is none, or no retry is wanted. If one is wanted, a reservation in progress is
// waited for, since a new one would take longer. stop may be called again.
func (w *stallWatch) stop(wantRetry bool) *replacement {
	w.mu.Lock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
	if !wantRetry && w.cancelReservation != nil {
		w.cancelReservation()
	}
	w.mu.Unlock()
	w.reserving.Wait()
	if !wantRetry && w.replacement != nil {
		w.attempt.x.releaseReplacement(w.replacement)
		w.replacement = nil
	}
	return w.replacement
}

// tick performs the actions that are due.
func (w *stallWatch) tick() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || w.monitor.Abandoned() {
		return
	}
	now := clock.Now()
	w.detectSuspend(now)
	for !w.relaying {
		a := w.monitor.Tick(now)
		if a == stall.None {
			break
		}
		w.perform(now, a)
	}
	w.nextTick = w.monitor.Next(now)
	w.timer.Reset(w.nextTick.Sub(now))
}

// detectSuspend notifies the monitor if this host was suspended since the last tick was
// due; mu must be held.
func (w *stallWatch) detectSuspend(now time.Time) {
	suspended := clock.SuspendedTime()
	if suspended == w.suspended && now.Sub(w.nextTick) <= suspendTolerance {
		return
	}
	w.suspended, w.nextTick = suspended, now
	w.perform(now, w.monitor.HostResumed(now))
}

// perform performs one action; mu must be held.
func (w *stallWatch) perform(now time.Time, a stall.Action) {
	switch a {
	case stall.Query:
		w.run.Silence()
		go w.queryRunStatus(now)
	case stall.Reserve:
		ctx, cancel := context.WithCancel(w.attempt.ctx)
		w.cancelReservation = cancel
		at, suspected := w.progress, w.monitor.Status().Suspect()
		w.reserving.Go(func() { w.reserveReplacement(ctx, at, suspected) })
	case stall.Release:
		w.cancelReservation()
	}
}

// queryRunStatus asks the replica for the status of the run.
func (w *stallWatch) queryRunStatus(now time.Time) {
	runs, queriedAt, err := w.attempt.x.g.queryRuns(w.attempt.choice)
	w.mu.Lock()
	w.run.Reported(queriedAt, clock.Now(), classifyReport(runs, err, w.attempt.x.req.ID))
	produced, status := classifyRun(runs, err, w.attempt.x.req.ID, w.progress)
	w.monitor.RecordStatus(now, status)
	silence := w.monitor.Silence(clock.Now())
	w.mu.Unlock()
	w.attempt.x.g.countRunStatus(w.attempt.x.service, status)
	w.attempt.x.g.log.Info("replica queried for the status of a run", logging.Request(w.attempt.x.req.ID), zap.String("replica", w.attempt.choice.Upstream),
		zap.Stringer("account", status), zap.Int("made", produced), zap.Int("waiting", runs.Queued), zap.Int("runs", len(runs.EventsByRequest)),
		zap.Duration("silence", silence), zap.Duration("took", clock.Since(now)), zap.Error(err))
	w.tick()
}

// classifyRun says what a replica's answer means for a run that has come this far here.
func classifyRun(runs platform.EngineReport, err error, id string, at progress) (produced int, status stall.RunStatus) {
	produced, listed := runs.EventsByRequest[id]
	switch {
	case errors.Is(err, replica.ErrUnsupportedCall) || errors.Is(err, platform.ErrMalformed):
		return produced, stall.Unknown
	case err != nil:
		return produced, stall.NoAnswer
	case listed && produced > at.events:
		return produced, stall.OutputLost
	case listed:
		return produced, stall.Running
	case !runs.HasRuns || runs.Queued > 0 || !at.started:
		// A run that has not started, or was postponed in favour of others, may be waiting
		// for its turn.
		return produced, stall.Unknown
	}
	return produced, stall.NotListed
}

// queryRuns asks an engine for its list of runs, and returns when it asked; concurrent callers
// share one query.
func (g *Gateway) queryRuns(c request.Choice) (_ platform.EngineReport, queriedAt time.Time, _ error) {
	type answer struct {
		report    platform.EngineReport
		queriedAt time.Time
	}
	a, err, _ := g.runQueries.Do(c.Upstream+" "+c.Address, func() (any, error) {
		ctx, cancel := clock.WithTimeout(context.Background(), runQueryTimeout)
		defer cancel()
		queriedAt := clock.Now()
		report, err := g.client.EngineReport(ctx, c.Upstream, c.Address)
		return answer{report, queriedAt}, err
	})
	return a.(answer).report, a.(answer).queriedAt, err
}

// reserveReplacement reserves another run and cancels this one for it, if it has not ended.
func (w *stallWatch) reserveReplacement(ctx context.Context, at progress, suspected bool) {
	x := w.attempt.x
	r, denied := x.reserveReplacement(ctx, w.attempt, at, suspected)
	now := clock.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.detectSuspend(now)
	}
	stillWanted := ctx.Err() == nil
	w.cancelReservation()
	if r == nil {
		w.monitor.ReservationFailed(now)
		x.g.countReplacement(x.service, string(denied))
		x.g.log.Info("no replacement for a stalled run", logging.Request(x.req.ID), zap.String("reason", string(denied)),
			zap.Stringer("account", w.monitor.Status()), zap.Duration("silence", w.monitor.Silence(now)))
		return
	}
	if cancels := w.monitor.Reserved(now) == stall.Abandon; !stillWanted || !cancels && !w.stopped {
		x.releaseReplacement(r)
		x.g.countReplacement(x.service, "given_back")
		return
	}
	w.replacement = r
	x.g.countReplacement(x.service, "used")
	// A run that has ended by itself keeps its outcome.
	if w.stopped {
		return
	}
	w.run.GiveUp(now)
	w.attempt.cancel(&stallError{status: w.monitor.Status(), silence: w.monitor.Silence(now)})
}

// totalEvents is the number of events of the stream that have arrived, including those that
// the caller had received before this run.
func (t *attempt) totalEvents() int {
	return max(t.eventsReceived, eventNumber(t.x.lastEvent), eventNumber(t.x.req.LastEventID))
}

// eventNumber is the number in an event's ID; 0 for an ID that is no number.
func eventNumber(id string) int {
	n, err := strconv.Atoi(id)
	if err != nil {
		return 0
	}
	return n
}
