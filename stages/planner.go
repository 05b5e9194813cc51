package stages

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/wheatseam/wheatseam/core/catalog"
	"github.com/wheatseam/wheatseam/core/intake"
	"github.com/wheatseam/wheatseam/core/stage"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/logging"
)

// Replicas makes the calls to replicas that run stages. Implementations are
// safe for concurrent use.
type Replicas interface {
	RunPieces(ctx context.Context, a stage.Run) ([]stage.Result, stage.CallOutcome, error)
	FreeResults(ctx context.Context, a stage.Free) error
	// Room is the room for results that a replica had a moment ago.
	Room(ctx context.Context, a stage.Inspect) (stage.Room, error)
}

// End is the end of a job: Ready, or Refused when that is set.
type End struct {
	Ready   stage.Ready
	Refused *stage.Refused
}

// entry is a job that this daemon plans.
type plannedJob struct {
	owner string
	// end is set once the job has ended; held says of a refused one that its owner
	// was told of results and has to say that it gives them up.
	outcome     *End
	resultsHeld bool
	// told is when the owner was first told of the end.
	outcomeSentAt time.Time
	// heard is when the owner last named the job.
	lastNamed time.Time
	// made is what was made since the owner was last told, inform that it is to be
	// told at once.
	unreported []stage.MadePiece
	notify     bool
}

// polled is what an owner is told of its jobs.
type pollResult struct {
	// number names the answer if it has news of pieces, else it is 0.
	number   uint64
	outcomes map[string]*End
	// unknown are jobs that are not planned here.
	unknown []string
	// made is the progress of jobs without an end.
	completed map[string][]stage.MadePiece
}

// owner is a daemon whose jobs are planned here; "" is this one.
type owner struct {
	lastSeen time.Time
	// changed is closed and replaced when a job of the owner ends, or its progress is
	// to be told at once.
	changed chan struct{}
	jobs    int
	// telling is the last answer that had news of pieces, until the owner has heard it.
	unacked progressReport
}

// telling is the news of pieces of one answer.
type progressReport struct {
	number uint64
	pieces []stage.Progress
}

// changes has those that wait for news of the owner's jobs look again.
func (o *owner) notify() {
	close(o.changed)
	o.changed = make(chan struct{})
}

// planner plans in this daemon.
type planner struct {
	replicas Replicas
	gates    *intake.Gates
	log      *zap.Logger
	releaser *releaser

	mu      sync.Mutex
	machine *stage.Machine
	ready   bool // a configuration was given
	jobs    map[string]*plannedJob
	owners  map[string]*owner
	calls   map[uint64]context.CancelFunc
	wake    chan struct{}
	// stepped is when the machine last took an event.
	lastStep time.Time
	// answers is the number of the last answer that had news of pieces. It begins
	// with the time, so that those of two starts of this daemon differ.
	lastAnswer uint64
}

func newPlanner(cfg stage.Config, replicas Replicas, log *zap.Logger) *planner {
	if cfg.Gates == nil {
		cfg.Gates = intake.NewGates()
	}
	p := &planner{
		replicas: replicas, gates: cfg.Gates, log: log, machine: stage.New(cfg),
		jobs: map[string]*plannedJob{}, owners: map[string]*owner{}, calls: map[uint64]context.CancelFunc{}, wake: make(chan struct{}, 1),
		lastAnswer: uint64(clock.Now().UnixNano()),
	}
	p.releaser = newReleaser(p.release)
	return p
}

// configure passes the services and replicas in force on.
func (p *planner) configure(services map[string]*catalog.Service, replicas []catalog.Replica) {
	p.mu.Lock()
	p.ready = true
	actions := p.step(stage.Configured{Services: services, Replicas: replicas})
	p.mu.Unlock()
	p.perform(actions)
}

// submit takes a job and returns its end if that is known at once. ok is false
// while nothing is known of the services.
func (p *planner) submit(from string, j stage.Job) (outcome *End, ok bool) {
	p.mu.Lock()
	if !p.ready {
		p.mu.Unlock()
		return nil, false
	}
	o := p.owner(from)
	if len(p.jobs) == 0 {
		p.lastStep = clock.Now() // there was nothing to do before
	}
	actions := p.applyActions(p.dropAfterStall(clock.Now()))
	e := p.jobs[j.ID]
	if e == nil {
		e = &plannedJob{owner: from}
		p.jobs[j.ID] = e
		o.jobs++
		j.Shared = from != ""
		actions = append(actions, p.step(stage.Submitted{Job: j})...)
	}
	e.lastNamed = clock.Now()
	if outcome = e.outcome; outcome != nil {
		if pieces := e.takeUnreported(j.ID); len(pieces) > 0 {
			actions = append(actions, p.step(stage.Told{Pieces: pieces})...)
		}
		p.markOutcomeSent(j.ID, e)
	}
	p.mu.Unlock()
	p.perform(actions)
	return outcome, true
}

// owner returns the state of a daemon and notes that it was heard; the lock is
// held.
func (p *planner) owner(name string) *owner {
	o := p.owners[name]
	if o == nil {
		o = &owner{changed: make(chan struct{})}
		p.owners[name] = o
	}
	o.lastSeen = clock.Now()
	return o
}

// forget removes a job that the machine does not know any more; the lock is
// held.
func (p *planner) removeJob(id string) {
	e := p.jobs[id]
	if e == nil {
		return
	}
	delete(p.jobs, id)
	if o := p.owners[e.owner]; o != nil {
		o.jobs--
	}
}

// poll waits for the end of any of the owner's jobs, or one that is not planned
// here, at most until ctx ends. The progress of the others comes with it. heard is
// the number of the last answer that the owner has heard.
func (p *planner) poll(ctx context.Context, from string, acked uint64, ids []string) pollResult {
	p.acknowledge(from, acked)
	for waiting := true; ; {
		out, changed, due := p.checkJobs(from, ids, !waiting)
		if due || !waiting {
			return out
		}
		select {
		case <-changed:
		case <-ctx.Done():
			waiting = false
		}
	}
}

// hear takes an owner's word that it has heard an answer.
func (p *planner) acknowledge(from string, acked uint64) {
	p.mu.Lock()
	o := p.owner(from)
	if acked == 0 || o.unacked.number != acked {
		p.mu.Unlock()
		return
	}
	pieces := o.unacked.pieces
	o.unacked = progressReport{}
	actions := p.step(stage.Known{Pieces: pieces})
	p.mu.Unlock()
	p.perform(actions)
}

// look returns what an owner is to be told of its jobs, if that is due or it has
// waited for long enough.
func (p *planner) checkJobs(from string, ids []string, final bool) (out pollResult, changed <-chan struct{}, due bool) {
	p.mu.Lock()
	o, now := p.owner(from), clock.Now()
	due = final
	for _, id := range ids {
		e := p.jobs[id]
		if e == nil || e.owner != from {
			due = true
			continue
		}
		e.lastNamed = now
		due = due || e.outcome != nil || e.notify
	}
	changed = o.changed
	var actions []stage.Action
	if due {
		out, actions = p.collect(from, o, ids)
	}
	p.mu.Unlock()
	p.perform(actions)
	return out, changed, due
}

// tell collects what an owner is told of its jobs; the lock is held.
func (p *planner) collect(from string, o *owner, ids []string) (pollResult, []stage.Action) {
	out := pollResult{outcomes: map[string]*End{}, completed: map[string][]stage.MadePiece{}}
	var pieces []stage.Progress
	for _, id := range ids {
		e := p.jobs[id]
		if e == nil || e.owner != from {
			out.unknown = append(out.unknown, id)
			continue
		}
		if e.outcome == nil && len(e.unreported) > 0 {
			out.completed[id] = e.unreported
		}
		pieces = append(pieces, e.takeUnreported(id)...)
		if e.outcome != nil {
			out.outcomes[id] = e.outcome
			p.markOutcomeSent(id, e)
		}
	}
	if len(pieces) == 0 {
		return out, nil
	}
	p.lastAnswer++
	out.number = p.lastAnswer
	o.unacked = progressReport{out.number, pieces}
	return out, p.step(stage.Told{Pieces: pieces})
}

// untold takes what the owner of a job was not told of yet.
func (e *plannedJob) takeUnreported(id string) []stage.Progress {
	var pieces []stage.Progress
	for _, piece := range e.unreported {
		pieces = append(pieces, stage.Progress{Job: id, Piece: piece})
	}
	e.unreported, e.notify = nil, false
	return pieces
}

// tellEnd notes that the owner of a job is being told of its end; the lock is held.
func (p *planner) markOutcomeSent(id string, e *plannedJob) {
	if e.outcomeSentAt.IsZero() {
		e.outcomeSentAt = clock.Now()
	}
	if e.outcome.Refused != nil && !e.resultsHeld {
		p.removeJob(id)
	}
}

// drop gives jobs of an owner up; moved says that another planner goes on with
// them.
func (p *planner) dropJobs(from string, ids []string, moved bool) {
	p.mu.Lock()
	p.owner(from)
	var actions []stage.Action
	for _, id := range ids {
		if e := p.jobs[id]; e != nil && e.owner == from {
			actions = append(actions, p.cancelJob(id, moved)...)
		}
	}
	p.mu.Unlock()
	p.perform(actions)
}

// cancel gives a job up; the lock is held.
func (p *planner) cancelJob(id string, moved bool) []stage.Action {
	p.removeJob(id)
	return p.step(stage.Cancelled{Job: id, Moved: moved})
}

// step passes an event to the machine and notes the ends of jobs; the lock is
// held. The caller performs the actions without it.
func (p *planner) step(e stage.Event) []stage.Action {
	now := clock.Now()
	actions := p.dropAfterStall(now)
	actions = p.applyActions(append(actions, p.machine.Step(now, e)...))
	select {
	case p.wake <- struct{}{}:
	default:
	}
	return actions
}

// note takes what became of jobs out of actions and returns them; the lock is held.
func (p *planner) applyActions(actions []stage.Action) []stage.Action {
	for _, a := range actions {
		switch a := a.(type) {
		case stage.Progress:
			if e := p.jobs[a.Job]; e != nil && e.owner != "" {
				e.unreported = append(e.unreported, a.Piece)
			}
		case stage.Inform:
			p.notifyOwner(a.Job)
		case stage.Ready:
			p.log.Info("stages ready", logging.Request(a.Job), zap.String("failure_domain", a.Domain), zap.Array("stages", timings(a.Timings)),
				zap.Duration("took", a.Took), zap.Duration("predicted", a.Predicted), zap.Duration("early", a.Early))
			p.recordOutcome(a.Job, &End{Ready: a})
		case stage.Refused:
			p.recordOutcome(a.Job, &End{Refused: &a})
		}
	}
	return actions
}

// inform has the owner of a job told of its progress at once; the lock is held.
func (p *planner) notifyOwner(id string) {
	e := p.jobs[id]
	if e == nil {
		return
	}
	e.notify = true
	if o := p.owners[e.owner]; o != nil {
		o.notify()
	}
}

// timings logs the course of stages, each as stage:wait+work.
type timings []stage.Timing

// MarshalLogArray implements zapcore.ArrayMarshaler.
func (ts timings) MarshalLogArray(enc zapcore.ArrayEncoder) error {
	for _, t := range ts {
		crossed := ""
		if t.Crossed {
			crossed = ":crossed"
		}
		enc.AppendString(fmt.Sprintf("%d:%d+%dms%s", t.Stage, t.Wait.Milliseconds(), t.Work.Milliseconds(), crossed))
	}
	return nil
}

// ended notes the end of a job; the lock is held.
func (p *planner) recordOutcome(id string, outcome *End) {
	e := p.jobs[id]
	if e == nil {
		return
	}
	e.outcome = outcome
	if outcome.Refused != nil {
		e.unreported, e.resultsHeld = nil, outcome.Refused.Held
	}
	if o := p.owners[e.owner]; o != nil {
		o.notify()
	}
}

// perform makes the calls that the machine decided on and logs what it believes.
func (p *planner) perform(actions []stage.Action) {
	for _, a := range actions {
		if a, ok := a.(stage.Free); ok {
			p.releaser.add(a)
		}
	}
	for _, a := range actions {
		switch a := a.(type) {
		case stage.Run:
			go p.runCall(p.newCallContext(a.Call), a, p.releaser.flush(a.Replica))
		case stage.Abandon:
			p.cancelCall(a.Call)
		case stage.Inspect:
			go p.queryMemory(a)
		case stage.Suspected:
			p.log.Warn("stage replica suspected", zap.String("service", a.Service), zap.String("replica", a.Replica),
				zap.String("why", a.Why), zap.Int("failures", a.Failures), zap.Duration("for", a.For))
		case stage.Trusted:
			p.log.Info("stage replica trusted again", zap.String("service", a.Service), zap.String("replica", a.Replica))
		}
	}
}

// track returns the context of a call.
func (p *planner) newCallContext(call uint64) context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls[call] = cancel
	return ctx
}

// untrack ends the context of a call.
func (p *planner) cancelCall(call uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if cancel := p.calls[call]; cancel != nil {
		cancel()
		delete(p.calls, call)
	}
}

// freeWait is how long a call to a replica waits for results that are being
// given up there: some round trips between failure domains.
const releaseWait = 50 * time.Millisecond

// call makes one call to a replica, once freed is closed, and reports its end.
func (p *planner) runCall(ctx context.Context, a stage.Run, released <-chan struct{}) {
	defer p.cancelCall(a.Call)
	select {
	case <-released:
	case <-clock.After(releaseWait):
	}
	began := clock.Now()
	results, outcome, err := p.send(ctx, a)
	p.log.Info("stage call", zap.String("service", a.Service), zap.String("replica", a.Replica), zap.Int("pieces", len(a.Pieces)),
		zap.Uint64("call", a.Call), zap.Duration("took", clock.Since(began)), zap.Stringer("outcome", outcome),
		zap.Int("no_room", countKind(results, stage.NoRoom)), zap.Int("input_gone", countKind(results, stage.InputGone)), zap.Error(err))
	p.mu.Lock()
	actions := p.step(stage.CallEnded{Call: a.Call, Outcome: outcome, Results: results})
	p.mu.Unlock()
	p.perform(actions)
}

// errTurnedAway: the replica has said, since the call was chosen, that it takes nothing.
var errReplicaClosed = errors.New("the replica takes no calls")

// send makes the call, unless the replica has said meanwhile that it takes nothing.
func (p *planner) send(ctx context.Context, a stage.Run) ([]stage.Result, stage.CallOutcome, error) {
	if p.gates.Of(a.Replica).TurnsAway(clock.Now()) {
		return nil, stage.CallNotExecuted, errReplicaClosed
	}
	return p.replicas.RunPieces(ctx, a)
}

// roomTimeout bounds asking a replica for its room; later the answer is of no use.
const memoryQueryTimeout = 500 * time.Millisecond

// inspect asks a replica for its room. What is not told costs a call that finds
// none.
func (p *planner) queryMemory(a stage.Inspect) {
	ctx, cancel := clock.WithTimeout(context.Background(), memoryQueryTimeout)
	defer cancel()
	asked := clock.Now()
	room, err := p.replicas.Room(ctx, a)
	if err != nil {
		p.log.Info("room not told", zap.String("service", a.Service), zap.String("replica", a.Replica), zap.Error(err))
		return
	}
	p.mu.Lock()
	actions := p.step(stage.Inspected{Replica: a.Replica, Asked: asked, Room: room})
	p.mu.Unlock()
	p.perform(actions)
}

// count counts the results of a kind.
func countKind(results []stage.Result, kind stage.ResultKind) int {
	n := 0
	for _, r := range results {
		if r.Kind == kind {
			n++
		}
	}
	return n
}

// freeTimeout bounds a call that gives results up; their holder drops them
// after seconds anyway.
const releaseTimeout = time.Second

func (p *planner) release(a stage.Free) {
	ctx, cancel := clock.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := p.replicas.FreeResults(ctx, a); err != nil {
		p.log.Info("results not freed", zap.String("replica", a.Replica), zap.Int("results", len(a.Handles)), zap.Error(err))
	}
}
