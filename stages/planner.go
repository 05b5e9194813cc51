package stages

import (
	"context"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/wheatseam/wheatseam/core/catalog"
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
type entry struct {
	owner string
	// end is set once the job has ended.
	end *End
	// told is when the owner was first told of the end.
	told time.Time
	// made is what was made since the owner was last told.
	made []stage.MadePiece
}

// polled is what an owner is told of its jobs.
type polled struct {
	ends map[string]*End
	// unknown are jobs that are not planned here.
	unknown []string
	// made is the progress of jobs without an end.
	made map[string][]stage.MadePiece
}

// owner is a daemon whose jobs are planned here; "" is this one.
type owner struct {
	heard time.Time
	// changed is closed and replaced when a job of the owner ends.
	changed chan struct{}
	jobs    int
	// asked says that the daemon has fallen silent and is being asked whether it is
	// gone.
	asked bool
}

// planner plans in this daemon.
type planner struct {
	replicas Replicas
	log      *zap.Logger
	freeing  *freeing
	// gone says whether a daemon is known to be gone, and all that it knew with it.
	gone func(host string) bool

	mu      sync.Mutex
	machine *stage.Machine
	ready   bool // a configuration was given
	jobs    map[string]*entry
	owners  map[string]*owner
	calls   map[uint64]context.CancelFunc
	wake    chan struct{}
	// stepped is when the machine last took an event.
	stepped time.Time
}

func newPlanner(cfg stage.Config, replicas Replicas, gone func(host string) bool, log *zap.Logger) *planner {
	p := &planner{
		replicas: replicas, gone: gone, log: log, machine: stage.New(cfg),
		jobs: map[string]*entry{}, owners: map[string]*owner{}, calls: map[uint64]context.CancelFunc{}, wake: make(chan struct{}, 1),
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
func (p *planner) submit(from string, j stage.Job) (end *End, ok bool) {
	p.mu.Lock()
	if !p.ready {
		p.mu.Unlock()
		return nil, false
	}
	o := p.owner(from)
	if len(p.jobs) == 0 {
		p.stepped = clock.Now() // there was nothing to do before
	}
	actions := p.stoodStill(clock.Now())
	e := p.jobs[j.ID]
	if e == nil {
		e = &entry{owner: from}
		p.jobs[j.ID] = e
		o.jobs++
		actions = append(actions, p.step(stage.Submitted{Job: j})...)
	}
	end = e.end
	if end != nil && end.Refused != nil {
		p.forget(j.ID)
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
// here, at most until ctx ends. The progress of the others comes with it.
func (p *planner) poll(ctx context.Context, from string, ids []string) polled {
	for {
		out, changed := p.ends(from, ids)
		if len(out.ends) == 0 && len(out.unknown) == 0 {
			select {
			case <-changed:
				continue
			case <-ctx.Done():
			}
		}
		p.progress(&out, ids)
		return out
	}
}

// progress adds what was made for jobs without an end since their owner was
// last told.
func (p *planner) progress(out *polled, ids []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, id := range ids {
		if e := p.jobs[id]; e != nil && e.end == nil && len(e.made) > 0 {
			out.made[id], e.made = e.made, nil
		}
	}
}

func (p *planner) ends(from string, ids []string) (out polled, changed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	o := p.owner(from)
	out = polled{ends: map[string]*End{}, made: map[string][]stage.MadePiece{}}
	for _, id := range ids {
		e := p.jobs[id]
		if e == nil || e.owner != from {
			out.unknown = append(out.unknown, id)
			continue
		}
		if e.end == nil {
			continue
		}
		out.ends[id] = e.end
		if e.told.IsZero() {
			e.told = clock.Now()
		}
		if e.end.Refused != nil {
			p.forget(id)
		}
	}
	return out, o.changed
}

// drop gives jobs of an owner up; moved says that another planner goes on with
// them.
func (p *planner) drop(from string, ids []string, moved bool) {
	p.mu.Lock()
	p.owner(from)
	var actions []stage.Action
	for _, id := range ids {
		if e := p.jobs[id]; e != nil && e.owner == from {
			p.forget(id)
			actions = append(actions, p.step(stage.Cancelled{Job: id, Moved: moved})...)
		}
	}
	p.mu.Unlock()
	p.perform(actions)
}

// step passes an event to the machine and notes the ends of jobs; the lock is
// held. The caller performs the actions without it.
func (p *planner) step(e stage.Event) []stage.Action {
	now := clock.Now()
	actions := p.stoodStill(now)
	actions = append(actions, p.machine.Step(now, e)...)
	for _, a := range actions {
		switch a := a.(type) {
		case stage.Progress:
			if e := p.jobs[a.Job]; e != nil && e.owner != "" {
				e.made = append(e.made, a.Piece)
			}
		case stage.Ready:
			p.log.Info("stages ready", logging.Request(a.Job), zap.String("failure_domain", a.Domain), zap.Array("stages", timings(a.Timings)),
				zap.Duration("took", a.Took), zap.Duration("predicted", a.Predicted), zap.Duration("early", a.Early))
			p.ended(a.Job, &End{Ready: a})
		case stage.Refused:
			p.ended(a.Job, &End{Refused: &a})
		}
	}
	select {
	case p.wake <- struct{}{}:
	default:
	}
	return actions
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
func (p *planner) ended(id string, end *End) {
	e := p.jobs[id]
	if e == nil {
		return
	}
	e.end, e.made = end, nil
	if o := p.owners[e.owner]; o != nil {
		close(o.changed)
		o.changed = make(chan struct{})
	}
}

// perform makes the calls that the machine decided on and logs what it believes.
func (p *planner) perform(actions []stage.Action) {
	for _, a := range actions {
		if a, ok := a.(stage.Free); ok {
			p.freeing.add(a)
		}
	}
	for _, a := range actions {
		switch a := a.(type) {
		case stage.Run:
			go p.call(p.track(a.Call), a, p.freeing.flush(a.Replica))
		case stage.Abandon:
			p.untrack(a.Call)
		case stage.Inspect:
			go p.inspect(a)
		case stage.Suspected:
			p.log.Warn("stage replica suspected", zap.String("service", a.Service), zap.String("replica", a.Replica),
				zap.String("why", a.Why), zap.Int("failures", a.Failures), zap.Duration("for", a.For))
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
	results, outcome, err := p.replicas.RunPieces(ctx, a)
	p.log.Info("stage call", zap.String("service", a.Service), zap.String("replica", a.Replica), zap.Int("pieces", len(a.Pieces)),
		zap.Uint64("call", a.Call), zap.Duration("took", clock.Since(began)), zap.Stringer("outcome", outcome),
		zap.Int("no_room", count(results, stage.NoRoom)), zap.Int("input_gone", count(results, stage.InputGone)), zap.Error(err))
	p.mu.Lock()
	actions := p.step(stage.CallEnded{Call: a.Call, Outcome: outcome, Results: results})
	p.mu.Unlock()
	p.perform(actions)
}

// roomTimeout bounds asking a replica for its room; later the answer is of no use.
const roomTimeout = 500 * time.Millisecond

// inspect asks a replica for its room. What is not told costs a call that finds
// none.
func (p *planner) inspect(a stage.Inspect) {
	ctx, cancel := clock.WithTimeout(context.Background(), roomTimeout)
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

func (p *planner) free(a stage.Free) {
	ctx, cancel := clock.WithTimeout(context.Background(), freeTimeout)
	defer cancel()
	if err := p.replicas.FreeResults(ctx, a); err != nil {
		p.log.Info("results not freed", zap.String("replica", a.Replica), zap.Int("results", len(a.Handles)), zap.Error(err))
	}
}
