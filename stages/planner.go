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
	ReleaseResults(ctx context.Context, a stage.Release) error
	// Room is the room for results that a replica had a moment ago.
	FreeMemory(ctx context.Context, a stage.QueryMemory) (stage.FreeMemory, error)
}

// End is the end of a job: Ready, or Refused when that is set.
type JobOutcome struct {
	Ready   stage.Ready
	Refused *stage.Refused
}

// entry is a job that this daemon plans.
type entry struct {
	owner string
	// end is set once the job has ended; held says of a refused one that its owner
	// was told of results and has to say that it gives them up.
	end  *JobOutcome
	held bool
	// told is when the owner was first told of the end.
	told time.Time
	// heard is when the owner last named the job.
	heard time.Time
	// made is what was made since the owner was last told, inform that it is to be
	// told at once.
	made   []stage.CompletedPiece
	inform bool
}

// polled is what an owner is told of its jobs.
type polled struct {
	// number names the answer if it has news of pieces, else it is 0.
	number uint64
	ends   map[string]*JobOutcome
	// unknown are jobs that are not planned here.
	unknown []string
	// made is the progress of jobs without an end.
	made map[string][]stage.CompletedPiece
}

// owner is a daemon whose jobs are planned here; "" is this one.
type owner struct {
	heard time.Time
	// changed is closed and replaced when a job of the owner ends, or its progress is
	// to be told at once.
	changed chan struct{}
	jobs    int
	// telling is the last answer that had news of pieces, until the owner has heard it.
	telling telling
}

// telling is the news of pieces of one answer.
type telling struct {
	number uint64
	pieces []stage.Progress
}

// changes has those that wait for news of the owner's jobs look again.
func (o *owner) changes() {
	close(o.changed)
	o.changed = make(chan struct{})
}

// planner plans in this daemon.
type planner struct {
	replicas Replicas
	gates    *intake.Limiters
	log      *zap.Logger
	freeing  *freeing

	mu      sync.Mutex
	machine *stage.Machine
	ready   bool // a configuration was given
	jobs    map[string]*entry
	owners  map[string]*owner
	calls   map[uint64]context.CancelFunc
	wake    chan struct{}
	// stepped is when the machine last took an event.
	stepped time.Time
	// answers is the number of the last answer that had news of pieces. It begins
	// with the time, so that those of two starts of this daemon differ.
	answers uint64
}

func newPlanner(cfg stage.Config, replicas Replicas, log *zap.Logger) *planner {
	if cfg.Gates == nil {
		cfg.Gates = intake.NewLimiters()
	}
	p := &planner{
		replicas: replicas, gates: cfg.Gates, log: log, machine: stage.New(cfg),
		jobs: map[string]*entry{}, owners: map[string]*owner{}, calls: map[uint64]context.CancelFunc{}, wake: make(chan struct{}, 1),
		answers: uint64(clock.Now().UnixNano()),
	}
	p.freeing = newFreeing(p.free)
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
func (p *planner) submit(from string, j stage.Job) (end *JobOutcome, ok bool) {
	p.mu.Lock()
	if !p.ready {
		p.mu.Unlock()
		return nil, false
	}
	o := p.owner(from)
	if len(p.jobs) == 0 {
		p.stepped = clock.Now() // there was nothing to do before
	}
	actions := p.note(p.stoodStill(clock.Now()))
	e := p.jobs[j.ID]
	if e == nil {
		e = &entry{owner: from}
		p.jobs[j.ID] = e
		o.jobs++
		j.Transferable = from != ""
		actions = append(actions, p.step(stage.Submitted{Job: j})...)
	}
	e.heard = clock.Now()
	if end = e.end; end != nil {
		if pieces := e.untold(j.ID); len(pieces) > 0 {
			actions = append(actions, p.step(stage.ProgressSent{Pieces: pieces})...)
		}
		p.tellEnd(j.ID, e)
	}
	p.mu.Unlock()
	p.perform(actions)
	return end, true
}

// owner returns the state of a daemon and notes that it was heard; the lock is
// held.
func (p *planner) owner(name string) *owner {
	o := p.owners[name]
	if o == nil {
		o = &owner{changed: make(chan struct{})}
		p.owners[name] = o
	}
	o.heard = clock.Now()
	return o
}

// forget removes a job that the machine does not know any more; the lock is
// held.
func (p *planner) forget(id string) {
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
func (p *planner) poll(ctx context.Context, from string, heard uint64, ids []string) polled {
	p.hear(from, heard)
	for waiting := true; ; {
		out, changed, due := p.look(from, ids, !waiting)
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
func (p *planner) hear(from string, heard uint64) {
	p.mu.Lock()
	o := p.owner(from)
	if heard == 0 || o.telling.number != heard {
		p.mu.Unlock()
		return
	}
	pieces := o.telling.pieces
	o.telling = telling{}
	actions := p.step(stage.ProgressAcked{Pieces: pieces})
	p.mu.Unlock()
	p.perform(actions)
}

// look returns what an owner is to be told of its jobs, if that is due or it has
// waited for long enough.
func (p *planner) look(from string, ids []string, last bool) (out polled, changed <-chan struct{}, due bool) {
	p.mu.Lock()
	o, now := p.owner(from), clock.Now()
	due = last
	for _, id := range ids {
		e := p.jobs[id]
		if e == nil || e.owner != from {
			due = true
			continue
		}
		e.heard = now
		due = due || e.end != nil || e.inform
	}
	changed = o.changed
	var actions []stage.Action
	if due {
		out, actions = p.tell(from, o, ids)
	}
	p.mu.Unlock()
	p.perform(actions)
	return out, changed, due
}

// tell collects what an owner is told of its jobs; the lock is held.
func (p *planner) tell(from string, o *owner, ids []string) (polled, []stage.Action) {
	out := polled{ends: map[string]*JobOutcome{}, made: map[string][]stage.CompletedPiece{}}
	var pieces []stage.Progress
	for _, id := range ids {
		e := p.jobs[id]
		if e == nil || e.owner != from {
			out.unknown = append(out.unknown, id)
			continue
		}
		if e.end == nil && len(e.made) > 0 {
			out.made[id] = e.made
		}
		pieces = append(pieces, e.untold(id)...)
		if e.end != nil {
			out.ends[id] = e.end
			p.tellEnd(id, e)
		}
	}
	if len(pieces) == 0 {
		return out, nil
	}
	p.answers++
	out.number = p.answers
	o.telling = telling{out.number, pieces}
	return out, p.step(stage.ProgressSent{Pieces: pieces})
}

// untold takes what the owner of a job was not told of yet.
func (e *entry) untold(id string) []stage.Progress {
	var pieces []stage.Progress
	for _, made := range e.made {
		pieces = append(pieces, stage.Progress{Job: id, Piece: made})
	}
	e.made, e.inform = nil, false
	return pieces
}

// tellEnd notes that the owner of a job is being told of its end; the lock is held.
func (p *planner) tellEnd(id string, e *entry) {
	if e.told.IsZero() {
		e.told = clock.Now()
	}
	if e.end.Refused != nil && !e.held {
		p.forget(id)
	}
}

// drop gives jobs of an owner up; moved says that another planner goes on with
// them.
func (p *planner) drop(from string, ids []string, moved bool) {
	p.mu.Lock()
	p.owner(from)
	var actions []stage.Action
	for _, id := range ids {
		if e := p.jobs[id]; e != nil && e.owner == from {
			actions = append(actions, p.cancel(id, moved)...)
		}
	}
	p.mu.Unlock()
	p.perform(actions)
}

// cancel gives a job up; the lock is held.
func (p *planner) cancel(id string, moved bool) []stage.Action {
	p.forget(id)
	return p.step(stage.Cancelled{Job: id, HandedOver: moved})
}

// step passes an event to the machine and notes the ends of jobs; the lock is
// held. The caller performs the actions without it.
func (p *planner) step(e stage.Event) []stage.Action {
	now := clock.Now()
	actions := p.stoodStill(now)
	actions = p.note(append(actions, p.machine.Step(now, e)...))
	select {
	case p.wake <- struct{}{}:
	default:
	}
	return actions
}

// note takes what became of jobs out of actions and returns them; the lock is held.
func (p *planner) note(actions []stage.Action) []stage.Action {
	for _, a := range actions {
		switch a := a.(type) {
		case stage.Progress:
			if e := p.jobs[a.Job]; e != nil && e.owner != "" {
				e.made = append(e.made, a.Piece)
			}
		case stage.NotifyOwner:
			p.inform(a.Job)
		case stage.Ready:
			p.log.Info("stages ready", logging.Request(a.Job), zap.String("failure_domain", a.Domain), zap.Array("stages", timings(a.Timings)),
				zap.Duration("took", a.Elapsed), zap.Duration("predicted", a.Predicted), zap.Duration("early", a.Early))
			p.ended(a.Job, &JobOutcome{Ready: a})
		case stage.Refused:
			p.ended(a.Job, &JobOutcome{Refused: &a})
		}
	}
	return actions
}

// inform has the owner of a job told of its progress at once; the lock is held.
func (p *planner) inform(id string) {
	e := p.jobs[id]
	if e == nil {
		return
	}
	e.inform = true
	if o := p.owners[e.owner]; o != nil {
		o.changes()
	}
}

// timings logs the course of stages, each as stage:wait+work.
type timings []stage.Timing

// MarshalLogArray implements zapcore.ArrayMarshaler.
func (ts timings) MarshalLogArray(enc zapcore.ArrayEncoder) error {
	for _, t := range ts {
		crossed := ""
		if t.CrossDomain {
			crossed = ":crossed"
		}
		enc.AppendString(fmt.Sprintf("%d:%d+%dms%s", t.Stage, t.Wait.Milliseconds(), t.Execution.Milliseconds(), crossed))
	}
	return nil
}

// ended notes the end of a job; the lock is held.
func (p *planner) ended(id string, end *JobOutcome) {
	e := p.jobs[id]
	if e == nil {
		return
	}
	e.end = end
	if end.Refused != nil {
		e.made, e.held = nil, end.Refused.ResultsHeld
	}
	if o := p.owners[e.owner]; o != nil {
		o.changes()
	}
}

// perform makes the calls that the machine decided on and logs what it believes.
func (p *planner) perform(actions []stage.Action) {
	for _, a := range actions {
		if a, ok := a.(stage.Release); ok {
			p.freeing.add(a)
		}
	}
	for _, a := range actions {
		switch a := a.(type) {
		case stage.Run:
			go p.call(p.track(a.Call), a, p.freeing.flush(a.Replica))
		case stage.Abandon:
			p.untrack(a.Call)
		case stage.QueryMemory:
			go p.inspect(a)
		case stage.Suspected:
			p.log.Warn("stage replica suspected", zap.String("service", a.Service), zap.String("replica", a.Replica),
				zap.String("why", a.Cause), zap.Int("failures", a.Failures), zap.Duration("for", a.Duration))
		case stage.Trusted:
			p.log.Info("stage replica trusted again", zap.String("service", a.Service), zap.String("replica", a.Replica))
		}
	}
}

// track returns the context of a call.
func (p *planner) track(call uint64) context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls[call] = cancel
	return ctx
}

// untrack ends the context of a call.
func (p *planner) untrack(call uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if cancel := p.calls[call]; cancel != nil {
		cancel()
		delete(p.calls, call)
	}
}

// freeWait is how long a call to a replica waits for results that are being
// given up there: some round trips between failure domains.
const freeWait = 50 * time.Millisecond

// call makes one call to a replica, once freed is closed, and reports its end.
func (p *planner) call(ctx context.Context, a stage.Run, freed <-chan struct{}) {
	defer p.untrack(a.Call)
	select {
	case <-freed:
	case <-clock.After(freeWait):
	}
	began := clock.Now()
	results, outcome, err := p.send(ctx, a)
	p.log.Info("stage call", zap.String("service", a.Service), zap.String("replica", a.Replica), zap.Int("pieces", len(a.Pieces)),
		zap.Uint64("call", a.Call), zap.Duration("took", clock.Since(began)), zap.Stringer("outcome", outcome),
		zap.Int("no_room", count(results, stage.PieceOutOfMemory)), zap.Int("input_gone", count(results, stage.PieceInputMissing)), zap.Error(err))
	p.mu.Lock()
	actions := p.step(stage.CallEnded{Call: a.Call, Outcome: outcome, Results: results})
	p.mu.Unlock()
	p.perform(actions)
}

// errTurnedAway: the replica has said, since the call was chosen, that it takes nothing.
var errTurnedAway = errors.New("the replica takes no calls")

// send makes the call, unless the replica has said meanwhile that it takes nothing.
func (p *planner) send(ctx context.Context, a stage.Run) ([]stage.Result, stage.CallOutcome, error) {
	if p.gates.Get(a.Replica).RefusedByReplica(clock.Now()) {
		return nil, stage.CallNotExecuted, errTurnedAway
	}
	return p.replicas.RunPieces(ctx, a)
}

// roomTimeout bounds asking a replica for its room; later the answer is of no use.
const roomTimeout = 500 * time.Millisecond

// inspect asks a replica for its room. What is not told costs a call that finds
// none.
func (p *planner) inspect(a stage.QueryMemory) {
	ctx, cancel := clock.WithTimeout(context.Background(), roomTimeout)
	defer cancel()
	asked := clock.Now()
	room, err := p.replicas.FreeMemory(ctx, a)
	if err != nil {
		p.log.Info("room not told", zap.String("service", a.Service), zap.String("replica", a.Replica), zap.Error(err))
		return
	}
	p.mu.Lock()
	actions := p.step(stage.MemoryReported{Replica: a.Replica, QueriedAt: asked, Free: room})
	p.mu.Unlock()
	p.perform(actions)
}

// count counts the results of a kind.
func count(results []stage.Result, kind stage.ResultKind) int {
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
const freeTimeout = time.Second

func (p *planner) free(a stage.Release) {
	ctx, cancel := clock.WithTimeout(context.Background(), freeTimeout)
	defer cancel()
	if err := p.replicas.ReleaseResults(ctx, a); err != nil {
		p.log.Info("results not freed", zap.String("replica", a.Replica), zap.Int("results", len(a.Handles)), zap.Error(err))
	}
}
