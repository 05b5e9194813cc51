package stages

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/wheatseam/wheatseam/core/catalog"
	"github.com/wheatseam/wheatseam/core/intake"
	"github.com/wheatseam/wheatseam/core/stage"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/logging"
)

// Replicas calls the replicas that run stages. Implementations are safe for concurrent
// use.
type Replicas interface {
	// RunPieces runs pieces in one call. An answered call has one result per piece.
	RunPieces(ctx context.Context, a stage.Run) ([]stage.Result, stage.CallOutcome, error)
	// ReleaseResults releases results at the replica that holds them.
	ReleaseResults(ctx context.Context, a stage.Release) error
	// FreeMemory returns the memory that a replica last reported as free for results.
	FreeMemory(ctx context.Context, a stage.QueryMemory) (stage.FreeMemory, error)
}

// JobOutcome is the outcome of a job: Refused if that is set, else Ready.
type JobOutcome struct {
	Ready   stage.Ready
	Refused *stage.Refused
}

// plannedJob is a job that this daemon plans.
type plannedJob struct {
	owner string
	// outcome is set once the job has ended. resultsHeld is set for a refused job whose
	// owner has received reports of results: the results are held until the owner drops
	// the job.
	outcome     *JobOutcome
	resultsHeld bool
	// outcomeSentAt is when the outcome was first sent to the owner.
	outcomeSentAt time.Time
	// lastPolled is when the owner last submitted or polled for the job.
	lastPolled time.Time
	// unreported are the pieces completed since the last report to the owner. notify is
	// set if the owner is to receive the next report at once.
	unreported []stage.CompletedPiece
	notify     bool
}

// pollResult is the answer to an owner's poll.
type pollResult struct {
	// number identifies an answer that reports pieces, for acknowledgement; else it is 0.
	number   uint64
	outcomes map[string]*JobOutcome
	// unknown are the polled jobs that are not planned here.
	unknown []string
	// completed are newly completed pieces of jobs that have no outcome yet.
	completed map[string][]stage.CompletedPiece
}

// owner is a daemon whose jobs are planned here. The name "" is this daemon.
type owner struct {
	lastSeen time.Time
	// changed is closed and replaced when a job of the owner ends or its progress is to
	// be reported at once.
	changed chan struct{}
	jobs    int
	// unacked is the last report of pieces, until the owner acknowledges it.
	unacked progressReport
}

// progressReport is the set of pieces that one answer reported.
type progressReport struct {
	number uint64
	pieces []stage.Progress
}

// notify wakes the polls that wait for changes to the owner's jobs.
func (o *owner) notify() {
	close(o.changed)
	o.changed = make(chan struct{})
}

// planner plans jobs in this daemon, its own and those of other daemons. It passes
// events to a stage.Machine and performs the actions that the machine returns.
type planner struct {
	replicas Replicas
	limiters *intake.Limiters
	log      *zap.Logger
	releaser *releaser

	mu      sync.Mutex
	machine *stage.Machine
	// pieces is the number of pieces of all planned jobs; it is read without mu.
	pieces atomic.Int64
	ready  bool // a configuration has been received
	// unapplied returns the configuration that the machine has not been given yet; nil if
	// it has the current one.
	unapplied func() stage.Configured
	jobs      map[string]*plannedJob
	owners    map[string]*owner
	calls     map[uint64]context.CancelFunc
	wake      chan struct{}
	// lastStep is when the machine last received an event.
	lastStep time.Time
	// lastAnswer is the number of the last answer that reported pieces. It starts at the
	// current Unix time in nanoseconds, so that numbers from before and after a restart of
	// this daemon differ.
	lastAnswer uint64
}

func newPlanner(cfg stage.Config, replicas Replicas, log *zap.Logger) *planner {
	if cfg.Limiters == nil {
		cfg.Limiters = intake.NewLimiters(time.Time{})
	}
	p := &planner{
		replicas: replicas, limiters: cfg.Limiters, log: log, machine: stage.New(cfg),
		jobs: map[string]*plannedJob{}, owners: map[string]*owner{}, calls: map[uint64]context.CancelFunc{}, wake: make(chan struct{}, 1),
		lastAnswer: uint64(clock.Now().UnixNano()),
	}
	p.releaser = newReleaser(p.release)
	return p
}

// configure replaces the services and replicas. The machine is given them at once while it
// plans jobs, otherwise with the next job: of all the hosts of a fleet, few ever plan.
func (p *planner) configure(services map[string]*catalog.Service, list func() []catalog.Replica) {
	p.mu.Lock()
	p.ready = true
	p.unapplied = func() stage.Configured { return stage.Configured{Services: services, Replicas: list()} }
	var actions []stage.Action
	if len(p.jobs)+len(p.calls) > 0 {
		actions = p.applyConfiguration()
	}
	p.mu.Unlock()
	p.perform(actions)
}

// applyConfiguration gives the machine the services and replicas unless it has them. The
// caller holds the lock.
func (p *planner) applyConfiguration() []stage.Action {
	if p.unapplied == nil {
		return nil
	}
	configured := p.unapplied()
	p.unapplied = nil
	return p.step(configured)
}

// submit adds a job and returns its outcome if that is known at once. ok is false until a
// configuration has been received.
func (p *planner) submit(from string, j stage.Job) (outcome *JobOutcome, ok bool) {
	p.mu.Lock()
	if !p.ready {
		p.mu.Unlock()
		return nil, false
	}
	o := p.owner(from)
	if len(p.jobs) == 0 {
		p.lastStep = clock.Now() // the planner was idle, not suspended
	}
	actions := p.applyActions(p.dropAfterStall(clock.Now()))
	e := p.jobs[j.ID]
	if e == nil {
		e = &plannedJob{owner: from}
		p.jobs[j.ID] = e
		o.jobs++
		j.Transferable = from != ""
		actions = append(actions, p.applyConfiguration()...)
		actions = append(actions, p.step(stage.Submitted{Job: j})...)
	}
	e.lastPolled = clock.Now()
	if outcome = e.outcome; outcome != nil {
		if pieces := e.takeUnreported(j.ID); len(pieces) > 0 {
			actions = append(actions, p.step(stage.ProgressSent{Pieces: pieces})...)
		}
		p.markOutcomeSent(j.ID, e)
	}
	p.mu.Unlock()
	p.perform(actions)
	return outcome, true
}

// owner returns the state of an owner, creating it if needed, and records that the owner
// has sent a message. The caller holds the lock.
func (p *planner) owner(name string) *owner {
	o := p.owners[name]
	if o == nil {
		o = &owner{changed: make(chan struct{})}
		p.owners[name] = o
	}
	o.lastSeen = clock.Now()
	return o
}

// removeJob removes a job that the machine no longer plans. The caller holds the lock.
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

// poll waits until one of the polled jobs has an outcome, is to be reported at once or is
// not planned here, at most until ctx ends. It also returns the progress of the other
// jobs. acked is the number of the last answer that the owner has received.
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

// acknowledge records that an owner has received an answer.
func (p *planner) acknowledge(from string, acked uint64) {
	p.mu.Lock()
	o := p.owner(from)
	if acked == 0 || o.unacked.number != acked {
		p.mu.Unlock()
		return
	}
	pieces := o.unacked.pieces
	o.unacked = progressReport{}
	actions := p.step(stage.ProgressAcked{Pieces: pieces})
	p.mu.Unlock()
	p.perform(actions)
}

// checkJobs returns the answer to a poll if one is due. If final is set, the poll has
// waited for its full time and an answer is always due. changed is closed when the state
// of the owner's jobs changes.
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
		e.lastPolled = now
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

// collect builds the answer to a poll and records the pieces it reports. The caller holds
// the lock.
func (p *planner) collect(from string, o *owner, ids []string) (pollResult, []stage.Action) {
	out := pollResult{outcomes: map[string]*JobOutcome{}, completed: map[string][]stage.CompletedPiece{}}
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
	return out, p.step(stage.ProgressSent{Pieces: pieces})
}

// takeUnreported returns the pieces that have not been reported to the owner yet and
// marks them as reported.
func (e *plannedJob) takeUnreported(id string) []stage.Progress {
	var pieces []stage.Progress
	for _, piece := range e.unreported {
		pieces = append(pieces, stage.Progress{Job: id, Piece: piece})
	}
	e.unreported, e.notify = nil, false
	return pieces
}

// markOutcomeSent records that the outcome of a job is being sent to its owner. The
// caller holds the lock.
func (p *planner) markOutcomeSent(id string, e *plannedJob) {
	if e.outcomeSentAt.IsZero() {
		e.outcomeSentAt = clock.Now()
	}
	if e.outcome.Refused != nil && !e.resultsHeld {
		p.removeJob(id)
	}
}

// dropJobs cancels jobs of an owner. handedOver is set if another planner continues with
// them.
func (p *planner) dropJobs(from string, ids []string, handedOver bool) {
	p.mu.Lock()
	p.owner(from)
	var actions []stage.Action
	for _, id := range ids {
		if e := p.jobs[id]; e != nil && e.owner == from {
			actions = append(actions, p.cancelJob(id, handedOver)...)
		}
	}
	p.mu.Unlock()
	p.perform(actions)
}

// cancelJob cancels a job. The caller holds the lock.
func (p *planner) cancelJob(id string, handedOver bool) []stage.Action {
	p.removeJob(id)
	return p.step(stage.Cancelled{Job: id, HandedOver: handedOver})
}

// step passes an event to the machine, records the effects on jobs and returns the
// actions. The caller holds the lock, and performs the actions after releasing it.
func (p *planner) step(e stage.Event) []stage.Action {
	now := clock.Now()
	actions := p.dropAfterStall(now)
	actions = p.applyActions(append(actions, p.machine.Step(now, e)...))
	p.pieces.Store(int64(p.machine.PieceCount()))
	select {
	case p.wake <- struct{}{}:
	default:
	}
	return actions
}

// applyActions records the progress and outcomes of jobs from actions, and returns all
// actions. The caller holds the lock.
func (p *planner) applyActions(actions []stage.Action) []stage.Action {
	for _, a := range actions {
		switch a := a.(type) {
		case stage.Progress:
			if e := p.jobs[a.Job]; e != nil && e.owner != "" {
				e.unreported = append(e.unreported, a.Piece)
			}
		case stage.NotifyOwner:
			p.notifyOwner(a.Job)
		case stage.Ready:
			p.log.Info("stages ready", logging.Request(a.Job), zap.String("failure_domain", a.Domain), zap.Array("stages", timings(a.Timings)),
				zap.Duration("took", a.Elapsed), zap.Duration("predicted", a.Predicted), zap.Duration("early", a.Early))
			p.recordOutcome(a.Job, &JobOutcome{Ready: a})
		case stage.Refused:
			p.recordOutcome(a.Job, &JobOutcome{Refused: &a})
		}
	}
	return actions
}

// notifyOwner makes the progress of a job be reported to its owner at once. The caller
// holds the lock.
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

// timings logs the times of stages, each as stage:wait+work in milliseconds, followed by
// ":crossed" if the stage crossed failure domains.
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

// refusals logs the customers whose jobs were refused for their shares, each as
// customer:jobs.
type refusals []stage.CustomerRefusals

// MarshalLogArray implements zapcore.ArrayMarshaler.
func (rs refusals) MarshalLogArray(enc zapcore.ArrayEncoder) error {
	for _, r := range rs {
		enc.AppendString(fmt.Sprintf("%s:%d", r.Customer, r.Jobs))
	}
	return nil
}

// recordOutcome records the outcome of a job. The caller holds the lock.
func (p *planner) recordOutcome(id string, outcome *JobOutcome) {
	e := p.jobs[id]
	if e == nil {
		return
	}
	e.outcome = outcome
	if outcome.Refused != nil {
		e.unreported, e.resultsHeld = nil, outcome.Refused.ResultsHeld
	}
	if o := p.owners[e.owner]; o != nil {
		o.notify()
	}
}

// perform makes the calls that the machine decided on and logs changes in its view of
// replicas.
func (p *planner) perform(actions []stage.Action) {
	for _, a := range actions {
		if a, ok := a.(stage.Release); ok {
			p.releaser.add(a)
		}
	}
	for _, a := range actions {
		switch a := a.(type) {
		case stage.Run:
			go p.runCall(p.newCallContext(a.Call), a, p.releaser.flush(a.Replica))
		case stage.Abandon:
			p.cancelCall(a.Call)
		case stage.QueryMemory:
			go p.queryMemory(a)
		case stage.Suspected:
			p.log.Warn("stage replica suspected", zap.String("service", a.Service), zap.String("replica", a.Replica),
				zap.String("why", a.Cause), zap.Int("failures", a.Failures), zap.Duration("for", a.Duration))
		case stage.SharesExceeded:
			p.log.Info("shares exceeded", zap.String("service", a.Service), zap.Array("customers", refusals(a.Refused)), zap.Int("others", a.Others))
		case stage.Trusted:
			p.log.Info("stage replica trusted again", zap.String("service", a.Service), zap.String("replica", a.Replica))
		}
	}
}

// newCallContext returns a context for a call; cancelCall cancels it.
func (p *planner) newCallContext(call uint64) context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls[call] = cancel
	return ctx
}

// cancelCall cancels the context of a call.
func (p *planner) cancelCall(call uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if cancel := p.calls[call]; cancel != nil {
		cancel()
		delete(p.calls, call)
	}
}

// releaseWait is how long a call to a replica waits for pending releases of results
// there: a few round trips between failure domains.
const releaseWait = 50 * time.Millisecond

// runCall makes one call to a replica and passes its outcome to the machine. It first
// waits until released is closed, at most for releaseWait.
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
		zap.Int("no_room", countKind(results, stage.PieceOutOfMemory)), zap.Int("input_gone", countKind(results, stage.PieceInputMissing)), zap.Error(err))
	p.mu.Lock()
	actions := p.step(stage.CallEnded{Call: a.Call, Outcome: outcome, Results: results})
	p.mu.Unlock()
	p.perform(actions)
}

// errReplicaRefuses reports that a replica has announced, after the call was dispatched,
// that it accepts no calls.
var errReplicaRefuses = errors.New("the replica accepts no calls")

// send makes the call unless the replica has announced meanwhile that it accepts no calls.
func (p *planner) send(ctx context.Context, a stage.Run) ([]stage.Result, stage.CallOutcome, error) {
	if p.limiters.Get(a.Replica).RefusedByReplica(clock.Now()) {
		return nil, stage.CallNotExecuted, errReplicaRefuses
	}
	return p.replicas.RunPieces(ctx, a)
}

// memoryQueryTimeout limits a query for a replica's free memory; a later answer is of no
// use.
const memoryQueryTimeout = 500 * time.Millisecond

// queryMemory asks a replica for its free memory. If the query fails, a later call may
// find that the replica has no memory left.
func (p *planner) queryMemory(a stage.QueryMemory) {
	ctx, cancel := clock.WithTimeout(context.Background(), memoryQueryTimeout)
	defer cancel()
	queriedAt := clock.Now()
	free, err := p.replicas.FreeMemory(ctx, a)
	if err != nil {
		p.log.Info("querying the free memory of a replica failed", zap.String("service", a.Service), zap.String("replica", a.Replica), zap.Error(err))
		return
	}
	p.mu.Lock()
	actions := p.step(stage.MemoryReported{Replica: a.Replica, QueriedAt: queriedAt, Free: free})
	p.mu.Unlock()
	p.perform(actions)
}

// countKind counts the results of a kind.
func countKind(results []stage.Result, kind stage.ResultKind) int {
	n := 0
	for _, r := range results {
		if r.Kind == kind {
			n++
		}
	}
	return n
}

// releaseTimeout limits a call that releases results. A lost call does little harm, since
// results expire at the replica after some seconds.
const releaseTimeout = time.Second

func (p *planner) release(a stage.Release) {
	ctx, cancel := clock.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := p.replicas.ReleaseResults(ctx, a); err != nil {
		p.log.Info("releasing results failed", zap.String("replica", a.Replica), zap.Int("results", len(a.Handles)), zap.Error(err))
	}
}
