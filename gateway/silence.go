package gateway

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/core/request"
	"github.com/wheatseam/wheatseam/core/stall"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/logging"
	"github.com/wheatseam/wheatseam/platform"
	"github.com/wheatseam/wheatseam/replica"
)

const (
	// doubtedFactor times a stream's objective without an event, at least
	// doubtedLeast, is when a replica that is doubted is left: the rest of the
	// objective is what another one has for its first event.
	doubtedFactor = 0.6
	doubtedLeast  = 800 * time.Millisecond
	// anyFactor times the objective, at least anyLeast, is when any replica is left.
	// Callers leave after four times the objective.
	anyFactor = 2.0
	anyLeast  = 2 * time.Second
	// askTimeout bounds asking a replica for its account. It is asked so much
	// before it would be left.
	askTimeout = 200 * time.Millisecond
	// secureEvery is the pause after which what could not be secured is tried again:
	// another request of this daemon may have brought a repeat meanwhile.
	secureEvery = 200 * time.Millisecond
	// stoodStill is by how much a tick comes late on a host that stood still.
	stoodStill = 200 * time.Millisecond
)

// progress is how far a stream has come.
type progress struct {
	// committed says that the caller has the head of the answer, and lastEvent is
	// the id of the last event that it has.
	committed bool
	lastEvent string
	// events is the number of events that the replica must have made.
	events int
	// begun says that the replica has begun its answer.
	begun bool
}

// watch is the watch over one attempt's silences. core/stall decides; watch asks,
// secures, and ends the attempt. It is safe for concurrent use.
type watch struct {
	t  *try
	mu sync.Mutex
	m  *stall.Monitor
	// timer calls tick, when due at the latest; nil for streams that can't go on
	// elsewhere. asleep is for how long this host had slept at the last tick.
	timer  *clock.Timer
	due    time.Time
	asleep time.Duration
	// passing says that an event is being passed on: a caller that does not read is
	// no silence of the replica's.
	passing bool
	at      progress
	stopped bool
	// stopSecuring ends what is being secured, and securing is done with it.
	stopSecuring context.CancelFunc
	securing     sync.WaitGroup
	// next is what another run is secured by.
	next *replacement
}

// leftError says why this host ended an attempt.
type leftError struct {
	account stall.RunStatus
	silence time.Duration
}

// Error implements error.
func (e *leftError) Error() string {
	return fmt.Sprintf("left after %s of silence, its own account: %s", e.silence.Round(time.Millisecond), e.account)
}

// blamed says whether the replica is to blame by its own account, or by none.
func (e *leftError) blamed() bool { return e.account.Suspect() }

// startWatch watches an attempt from before it is sent.
func (t *try) startWatch() *watch {
	x := t.x
	objective := float64(x.route.Objective)
	doubted := max(doubtedLeast, time.Duration(doubtedFactor*objective))
	w := &watch{t: t, at: progress{committed: x.committed, lastEvent: x.lastEvent, events: t.arrivedEvents()}, m: stall.New(clock.Now(), stall.Config{
		QueryAfter: doubted - askTimeout, QueryInterval: 2 * askTimeout, SuspectTimeout: doubted,
		MaxSilence: max(anyLeast, time.Duration(anyFactor*objective)), ReserveRetryInterval: secureEvery,
	})}
	if x.anotherRunDenied(t.executions) == "" {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.asleep = clock.Asleep()
		w.due = clock.Now().Add(doubted - askTimeout)
		w.timer = clock.AfterFunc(doubted-askTimeout, w.tick)
	}
	return w
}

// begun notes that the answer has begun.
func (w *watch) begun() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := clock.Now()
	w.at.begun = true
	w.perform(now, w.m.Event(now))
}

// arrived notes that an event has arrived and is about to be passed on. It says
// whether the run goes on here: what arrives after its end is the next run's to make.
func (w *watch) arrived() (goesOn bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.passing = true
	now := clock.Now()
	w.perform(now, w.m.Event(now))
	return !w.m.Abandoned()
}

// passed notes that the event has been passed on.
func (w *watch) passed(p progress) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.passing, w.at = false, p
	w.m.Event(clock.Now()) // nothing is secured while an event is passed on
}

// stop ends the watch as the run has ended, and returns what another run is secured by;
// nil if there is nothing, or none is wanted. What is still being secured is waited for
// if another run is wanted: to begin anew would take longer. It may be called again.
func (w *watch) stop(another bool) *replacement {
	w.mu.Lock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
	if !another && w.stopSecuring != nil {
		w.stopSecuring()
	}
	w.mu.Unlock()
	w.securing.Wait()
	if !another && w.next != nil {
		w.t.x.giveBack(w.next)
		w.next = nil
	}
	return w.next
}

// tick carries out what is due.
func (w *watch) tick() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || w.m.Abandoned() {
		return
	}
	now := clock.Now()
	w.wake(now)
	for !w.passing {
		a := w.m.Tick(now)
		if a == stall.None {
			break
		}
		w.perform(now, a)
	}
	w.due = w.m.Next(now)
	w.timer.Reset(w.due.Sub(now))
}

// wake tells the machine if this host stood still since the last tick was due; the
// lock is held.
func (w *watch) wake(now time.Time) {
	asleep := clock.Asleep()
	if asleep == w.asleep && now.Sub(w.due) <= stoodStill {
		return
	}
	w.asleep, w.due = asleep, now
	w.perform(now, w.m.HostResumed(now))
}

// perform carries one action out; the lock is held.
func (w *watch) perform(now time.Time, a stall.Action) {
	switch a {
	case stall.Query:
		go w.ask(now)
	case stall.Reserve:
		ctx, cancel := context.WithCancel(w.t.ctx)
		w.stopSecuring = cancel
		at, doubted := w.at, w.m.Status().Suspect()
		w.securing.Go(func() { w.secure(ctx, at, doubted) })
	case stall.Release:
		w.stopSecuring()
	}
}

// ask asks the replica for its account.
func (w *watch) ask(now time.Time) {
	runs, err := w.t.x.g.accountOf(w.t.choice)
	w.mu.Lock()
	made, account := judge(runs, err, w.t.x.req.ID, w.at)
	w.m.RecordStatus(now, account)
	silence := w.m.Silence(clock.Now())
	w.mu.Unlock()
	w.t.x.g.countAccount(w.t.x.service, account)
	w.t.x.g.log.Info("replica asked for its account", logging.Request(w.t.x.req.ID), zap.String("replica", w.t.choice.Upstream),
		zap.Stringer("account", account), zap.Int("made", made), zap.Int("waiting", runs.Queued), zap.Int("runs", len(runs.EventsByRequest)),
		zap.Duration("silence", silence), zap.Duration("took", clock.Since(now)), zap.Error(err))
	w.tick()
}

// judge says what a replica's answer means for a run that has come so far here.
func judge(runs platform.EngineReport, err error, id string, at progress) (made int, a stall.RunStatus) {
	made, listed := runs.EventsByRequest[id]
	switch {
	case errors.Is(err, replica.ErrUnsupportedCall) || errors.Is(err, platform.ErrMalformed):
		return made, stall.Unknown
	case err != nil:
		return made, stall.NoAnswer
	case listed && made > at.events:
		return made, stall.OutputLost
	case listed:
		return made, stall.Running
	case !runs.HasRuns || runs.Queued > 0 || !at.begun:
		// A run that has not begun, or was put off for others, may wait for its turn.
		return made, stall.Unknown
	}
	return made, stall.NotListed
}

// accountOf asks an engine for its account of its runs, once for all who want it.
func (g *Gateway) accountOf(c request.Choice) (platform.EngineReport, error) {
	runs, err, _ := g.accounts.Do(c.Upstream+" "+c.Address, func() (any, error) {
		ctx, cancel := clock.WithTimeout(context.Background(), askTimeout)
		defer cancel()
		return g.client.EngineReport(ctx, c.Upstream, c.Address)
	})
	return runs.(platform.EngineReport), err
}

// secure secures another run and ends this one for it, if it has not ended.
func (w *watch) secure(ctx context.Context, at progress, doubted bool) {
	x := w.t.x
	r, denied := x.secure(ctx, w.t, at, doubted)
	now := clock.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.wake(now)
	}
	wanted := ctx.Err() == nil
	w.stopSecuring()
	if r == nil {
		w.m.ReservationFailed(now)
		x.g.countReplacement(x.service, string(denied))
		x.g.log.Info("no replacement", logging.Request(x.req.ID), zap.String("reason", string(denied)),
			zap.Stringer("account", w.m.Status()), zap.Duration("silence", w.m.Silence(now)))
		return
	}
	if leave := w.m.Reserved(now) == stall.Abandon; !wanted || !leave && !w.stopped {
		x.giveBack(r)
		x.g.countReplacement(x.service, "given_back")
		return
	}
	w.next = r
	x.g.countReplacement(x.service, "used")
	// A run that has ended by itself stays what it was.
	if w.stopped {
		return
	}
	w.t.cancel(&leftError{account: w.m.Status(), silence: w.m.Silence(now)})
}

// arrivedEvents is the number of events that have arrived of a run, also where it
// goes on after one that the caller had before.
func (t *try) arrivedEvents() int {
	return max(t.events, eventNumber(t.x.lastEvent), eventNumber(t.x.req.LastEventID))
}

// eventNumber is the number that an event's id is; 0 for an id that is none.
func eventNumber(id string) int {
	n, err := strconv.Atoi(id)
	if err != nil {
		return 0
	}
	return n
}
