package request

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/problem"
	"github.com/wheatseam/wheatseam/record"
)

// Spec describes a request. It is immutable.
type Spec struct {
	ID       string
	Customer string
	// Bundle is the configuration under which the request was admitted.
	Bundle   *bundle.Bundle
	Pipeline *bundle.Pipeline
	Arrived  time.Time
	Deadline time.Time
	// Key is the Idempotency-Key, or empty.
	Key string
	// Stream is set if the caller wants the output as a stream of tokens.
	Stream bool
	// Prefix is a hash of the prompt's shared prefix, or 0 if there is none.
	Prefix uint64
	Input  json.RawMessage
	// StoredResults holds, by stage name, the results of stages that an earlier request
	// with the same key completed.
	StoredResults map[string]json.RawMessage
}

// Deps are the dependencies of a Machine. All machines of a daemon share them.
type Deps struct {
	Router      Router
	Admitter    Admitter
	RetryBudget Budget
	HedgeBudget Budget
	Health      Health
}

// phase is the state of a machine.
type phase uint8

const (
	phaseNew phase = iota
	phaseClaiming
	phaseRunning
	phaseLookingUp
	phaseRecording
	phaseFinished
)

// Machine is the state of one request.
type Machine struct {
	spec     Spec
	deps     Deps
	recorder record.Recorder

	phase    phase
	admitted bool
	plan     Plan
	// stageIndex is the index of the current stage in the pipeline.
	stageIndex     int
	stageStartedAt time.Time
	input          json.RawMessage
	stageReports   []StageReport
	stagesRun      []string

	attempts    []*attempt
	nextAttempt int
	// selectedAttempt is the number of the attempt whose first token arrived first,
	// or 0 if there is none yet. A streaming caller gets the stream of this attempt.
	selectedAttempt int
	forwarded       bool
	// rejection is set once an upstream has rejected the current stage's call as
	// invalid. The call is not retried, but attempts that are already running may
	// still succeed.
	rejection *problem.Error

	claim claimState
	// lookUpFailure is the refusal to return if a status lookup finds no result.
	lookUpFailure *problem.Error
	// mayHaveRun is set while a call may have been executed although its response
	// was not received. nonRepeatableRan is set once a non-repeatable stage is
	// known to have run.
	mayHaveRun       bool
	nonRepeatableRan bool
	// detached is set while a non-repeatable call is still running, or its result
	// is being recorded, after the caller was answered.
	detached      bool
	droppedEvents int

	actions []Action
}

// claimState is the state of the claim on the current stage.
type claimState struct {
	key  ClaimKey
	held bool
	// refused is set when the holders have refused the claim. Their response
	// already reports whether the stage has run.
	refused bool
	// callSent is set before a call is sent under the claim.
	callSent bool
}

// New returns the machine of a request. It adds its decisions to rec.
func New(spec Spec, deps Deps, rec record.Recorder) *Machine {
	return &Machine{spec: spec, deps: deps, recorder: rec}
}

// Spec returns the description of the request.
func (m *Machine) Spec() Spec { return m.spec }

// Finished reports whether the caller has been answered.
func (m *Machine) Finished() bool { return m.phase == phaseFinished }

// Idle reports whether no call of the request and no recording of its result is
// outstanding.
func (m *Machine) Idle() bool {
	return !m.detached && m.activeAttemptCount() == 0
}

// Dropped returns the number of events that did not match the state of the machine,
// such as those for an unknown or ended attempt.
func (m *Machine) Dropped() int { return m.droppedEvents }

// Step processes one event and returns the actions to carry out.
func (m *Machine) Step(now time.Time, ev Event) []Action {
	m.actions = nil
	switch e := ev.(type) {
	case Start:
		m.handleStart(now)
	case SlotGranted:
		m.handleSlotGranted(now, e)
	case ClaimDecided:
		m.handleClaimDecided(now, e)
	case FirstToken:
		m.handleFirstToken(now, e)
	case CallEnded:
		m.handleCallEnded(now, e)
	case StatusAnswered:
		m.handleStatusAnswered(now, e)
	case Recorded:
		m.handleRecorded(now, e)
	case TimerFired:
		m.handleTimerFired(now, e)
	case CallerGone:
		m.handleCallerGone(now)
	}
	return m.actions
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

func (m *Machine) recordDecision(now time.Time, step record.Step, attempt int, outcome string, fields ...record.Field) {
	m.recorder.Add(record.Entry{
		At: now, Step: step, Stage: m.stageName(), Attempt: attempt, Outcome: outcome, Fields: fields,
	})
}

func (m *Machine) stageName() string {
	if m.stageIndex >= len(m.spec.Pipeline.Stages) {
		return ""
	}
	return m.currentStage().Name
}

func (m *Machine) currentStage() bundle.Stage { return m.spec.Pipeline.Stages[m.stageIndex] }

func (m *Machine) handleStart(now time.Time) {
	if m.phase != phaseNew {
		m.droppedEvents++
		return
	}
	m.plan = m.buildPlan()
	if failing, ok := m.deps.Health.Allow(now, m.poolNames()); !ok {
		m.recordDecision(now, "health", 0, "refused", record.Field{Key: "pool", Value: failing})
		m.fail(now, m.newProblem(problem.NoUpstream, "pool %s fails as a whole", failing))
		return
	}
	if err := m.deps.Admitter.Admit(now, m.plan, m.recorder); err != nil {
		m.fail(now, err)
		return
	}
	m.admitted = true
	m.emit(SetTimer{Timer: TimerDeadline, At: m.spec.Deadline})
	m.input = m.spec.Input
	m.startStage(now)
}

func (m *Machine) buildPlan() Plan {
	p := Plan{
		Request: m.spec.ID, Customer: m.spec.Customer,
		Pipeline: m.spec.Pipeline.Name, Deadline: m.spec.Deadline,
	}
	for _, s := range m.spec.Pipeline.Stages {
		p.Stages = append(p.Stages, PlannedStage{Stage: s.Name, Pool: s.Pool, Expected: m.expectedServiceTime(s)})
	}
	return p
}

// poolNames returns the names of the pools that the request needs.
func (m *Machine) poolNames() []string {
	var names []string
	for _, s := range m.spec.Pipeline.Stages {
		names = append(names, s.Pool)
	}
	return names
}

// planLatencyQuantile is the quantile of the measured latency that serves as the
// expected service time.
const planLatencyQuantile = 0.5

// expectedServiceTime returns the measured service time of a stage, or the value
// from the bundle until enough calls have been measured.
func (m *Machine) expectedServiceTime(s bundle.Stage) time.Duration {
	if d, ok := m.deps.Router.ExpectedLatency(s.Pool, s.Name, planLatencyQuantile); ok {
		return d
	}
	return s.Expected
}

// expectedTimeAfter returns the expected total time of the stages after the current
// one.
func (m *Machine) expectedTimeAfter() time.Duration {
	var sum time.Duration
	for _, s := range m.spec.Pipeline.Stages[m.stageIndex+1:] {
		sum += m.expectedServiceTime(s)
	}
	return sum
}

func (m *Machine) startStage(now time.Time) {
	m.stageStartedAt = now
	m.attempts = activeAttempts(m.attempts)
	m.selectedAttempt = 0
	m.rejection = nil
	m.claim = claimState{}
	m.phase = phaseRunning
	s := m.currentStage()
	if kept, ok := m.spec.StoredResults[s.Name]; ok && !s.NonRepeatable {
		m.recordDecision(now, "resume", 0, "kept result reused")
		m.completeStage(now, kept, true)
		return
	}
	if s.NonRepeatable {
		m.phase = phaseClaiming
		m.claim.key = ClaimKey{Customer: m.spec.Customer, Key: m.spec.Key, Stage: s.Name}
		m.recordDecision(now, "claim", 0, "asked")
		m.emit(AcquireClaim{Key: m.claim.key, Stage: s})
		return
	}
	m.deps.RetryBudget.Deposit(now)
	m.deps.HedgeBudget.Deposit(now)
	m.startAttempt(now, false)
}

func (m *Machine) handleClaimDecided(now time.Time, e ClaimDecided) {
	if m.phase != phaseClaiming {
		m.handleLateClaim(now, e)
		return
	}
	switch {
	case e.Won:
		m.claim.held = true
		m.phase = phaseRunning
		m.recordDecision(now, "claim", 0, "won")
		m.startAttempt(now, false)
	case e.Result != nil:
		m.recordDecision(now, "claim", 0, "recorded result found")
		m.nonRepeatableRan = true
		m.completeStage(now, e.Result, true)
	default:
		m.claim.refused = true
		m.recordDecision(now, "claim", 0, "refused", record.Field{Key: "kind", Value: string(e.Err.Kind)})
		if e.Err.Execution != problem.NotRun {
			m.mayHaveRun = true
		}
		if upstreamMayHaveResult(e.Err) && m.poolSupportsStatus() {
			m.lookUpStatus(now, 0, e.Err)
			return
		}
		m.fail(now, e.Err)
	}
}

// handleLateClaim releases a claim that was won after the request was aborted.
func (m *Machine) handleLateClaim(now time.Time, e ClaimDecided) {
	m.droppedEvents++
	if e.Won && !m.claim.held && !m.claim.callSent {
		m.recordDecision(now, "claim", 0, "won too late, released")
		m.emit(ReleaseClaim{Key: m.claim.key})
	}
}

func (m *Machine) completeStage(now time.Time, output json.RawMessage, reused bool) {
	s := m.currentStage()
	m.stagesRun = append(m.stagesRun, s.Name)
	m.stageReports = append(m.stageReports, StageReport{
		Name: s.Name, Attempts: m.attemptCount(m.stageIndex),
		Millis: now.Sub(m.stageStartedAt).Milliseconds(), Reused: reused,
	})
	if s.KeepResult && !reused && m.spec.Key != "" {
		m.emit(StoreResult{Stage: s.Name, Result: output})
	}
	if m.stageIndex == len(m.spec.Pipeline.Stages)-1 {
		m.succeed(now, output)
		return
	}
	m.input = nextStageInput(m.spec.Input, output)
	m.stageIndex++
	m.startStage(now)
}

// nextStageInput returns the input of a later stage: the caller's input and the
// output of the previous stage.
func nextStageInput(input, previous json.RawMessage) json.RawMessage {
	b, err := json.Marshal(struct {
		Input    json.RawMessage `json:"input"`
		Previous json.RawMessage `json:"previous"`
	}{input, previous})
	if err != nil {
		return previous
	}
	return b
}

func (m *Machine) handleTimerFired(now time.Time, e TimerFired) {
	switch e.Timer {
	case TimerDeadline:
		if m.phase == phaseFinished {
			return
		}
		m.handleDeadline(now)
	case TimerHedge:
		m.startHedge(now, e.Attempt)
	}
}

func (m *Machine) handleDeadline(now time.Time) {
	m.abort(now, problem.DeadlineExceeded, "the deadline passed in stage "+m.stageName())
}

func (m *Machine) handleCallerGone(now time.Time) {
	if m.phase == phaseFinished {
		return
	}
	m.abort(now, problem.CallerGone, "the caller went away")
}

func itoa(n int) string { return strconv.Itoa(n) }
