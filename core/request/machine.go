package request

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/problem"
	"github.com/wheatseam/wheatseam/record"
)

// Spec is what a request asks for. It does not change.
type Spec struct {
	ID       string
	Customer string
	// Bundle is the configuration that the request was admitted under.
	Bundle   *bundle.Bundle
	Pipeline *bundle.Pipeline
	Arrived  time.Time
	Deadline time.Time
	// Key is the Idempotency-Key, or empty.
	Key string
	// Stream is set when the caller wants tokens as they come.
	Stream bool
	// Prefix is a hash of the prompt's shared prefix; 0 when there is none.
	Prefix uint64
	Input  json.RawMessage
	// Kept holds results of stages that an earlier attempt at the same key
	// completed, by stage name.
	Kept map[string]json.RawMessage
}

// Deps are the parts that a Machine decides with. They are shared by all
// machines of a daemon.
type Deps struct {
	Router   Router
	Admitter Admitter
	Retries  Budget
	Hedges   Budget
	Health   Health
}

// phase says what the machine waits for.
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
	spec Spec
	deps Deps
	rec  record.Recorder

	phase    phase
	admitted bool
	plan     Plan
	// stage is the index of the current stage.
	stage      int
	stageBegan time.Time
	input      json.RawMessage
	reports    []StageReport
	stagesRun  []string

	attempts    []*attempt
	nextAttempt int
	// winner is the attempt whose stream the caller gets; 0 is none.
	winner    int
	forwarded bool
	// rejected is the refusal once an upstream has found the current stage's call
	// invalid: it is not tried again, but what is under way may still be answered.
	rejected *problem.Error

	claim claimState
	// lookUpErr is the refusal when a status look-up finds nothing.
	lookUpErr *problem.Error
	// unknown is set while a call may have been executed without our having
	// its answer; ran when a non-repeatable stage is known to have run.
	unknown bool
	ran     bool
	// detached is set when a sent non-repeatable call outlives the answer.
	detached bool
	dropped  int

	out []Action
}

// claimState follows the claim of the current stage.
type claimState struct {
	key  ClaimKey
	held bool
	// refused is set when the holders have refused: their answer already says
	// whether the stage has run.
	refused bool
	// sent is set before a call under the claim can leave.
	sent bool
}

// New returns the machine of a request. rec takes its decisions.
func New(spec Spec, deps Deps, rec record.Recorder) *Machine {
	return &Machine{spec: spec, deps: deps, rec: rec}
}

// Spec returns what the request asks for.
func (m *Machine) Spec() Spec { return m.spec }

// Finished reports whether the caller has been answered.
func (m *Machine) Finished() bool { return m.phase == phaseFinished }

// Idle reports whether no call and no record of the request is outstanding.
func (m *Machine) Idle() bool {
	return !m.detached && m.live() == 0
}

// Dropped returns the number of events that came for an unknown or ended
// attempt.
func (m *Machine) Dropped() int { return m.dropped }

// Step takes one event and returns the actions to carry out.
func (m *Machine) Step(now time.Time, ev Event) []Action {
	m.out = nil
	switch e := ev.(type) {
	case Start:
		m.start(now)
	case SlotGranted:
		m.slotGranted(now, e)
	case ClaimDecided:
		m.claimDecided(now, e)
	case FirstToken:
		m.firstToken(now, e)
	case CallEnded:
		m.callEnded(now, e)
	case StatusAnswered:
		m.statusAnswered(now, e)
	case Recorded:
		m.recorded(now, e)
	case TimerFired:
		m.timerFired(now, e)
	case CallerGone:
		m.callerGone(now)
	}
	return m.out
}

func (m *Machine) do(a Action) { m.out = append(m.out, a) }

func (m *Machine) note(now time.Time, step record.Step, attempt int, outcome string, fields ...record.Field) {
	m.rec.Add(record.Entry{
		At: now, Step: step, Stage: m.stageName(), Attempt: attempt, Outcome: outcome, Fields: fields,
	})
}

func (m *Machine) stageName() string {
	if m.stage >= len(m.spec.Pipeline.Stages) {
		return ""
	}
	return m.current().Name
}

func (m *Machine) current() bundle.Stage { return m.spec.Pipeline.Stages[m.stage] }

func (m *Machine) start(now time.Time) {
	if m.phase != phaseNew {
		m.dropped++
		return
	}
	m.plan = m.makePlan()
	if failing, ok := m.deps.Health.Allow(now, m.pools()); !ok {
		m.note(now, "health", 0, "refused", record.Field{Key: "pool", Value: failing})
		m.fail(now, m.problem(problem.NoUpstream, "pool %s fails as a whole", failing))
		return
	}
	if err := m.deps.Admitter.Arrive(now, m.plan, m.rec); err != nil {
		m.fail(now, err)
		return
	}
	m.admitted = true
	m.do(SetTimer{Timer: TimerDeadline, At: m.spec.Deadline})
	m.input = m.spec.Input
	m.beginStage(now)
}

func (m *Machine) makePlan() Plan {
	p := Plan{
		Request: m.spec.ID, Customer: m.spec.Customer,
		Pipeline: m.spec.Pipeline.Name, Deadline: m.spec.Deadline,
	}
	for _, s := range m.spec.Pipeline.Stages {
		p.Needs = append(p.Needs, Need{Stage: s.Name, Pool: s.Pool, Expected: m.expected(s)})
	}
	return p
}

// pools names the pools that the request needs.
func (m *Machine) pools() []string {
	var names []string
	for _, s := range m.spec.Pipeline.Stages {
		names = append(names, s.Pool)
	}
	return names
}

// expectedQuantile is the quantile of the measured latency that plans use.
const expectedQuantile = 0.5

// expected is the measured service time of a stage, or the bundle's figure
// until enough calls were measured.
func (m *Machine) expected(s bundle.Stage) time.Duration {
	if d, ok := m.deps.Router.Expect(s.Pool, s.Name, expectedQuantile); ok {
		return d
	}
	return s.Expected
}

// expectedAfter is the expected time of the stages behind the current one.
func (m *Machine) expectedAfter() time.Duration {
	var sum time.Duration
	for _, s := range m.spec.Pipeline.Stages[m.stage+1:] {
		sum += m.expected(s)
	}
	return sum
}

func (m *Machine) beginStage(now time.Time) {
	m.stageBegan = now
	m.attempts = liveOnly(m.attempts)
	m.winner = 0
	m.rejected = nil
	m.claim = claimState{}
	m.phase = phaseRunning
	s := m.current()
	if kept, ok := m.spec.Kept[s.Name]; ok && !s.NonRepeatable {
		m.note(now, "resume", 0, "kept result reused")
		m.stageDone(now, kept, true)
		return
	}
	if s.NonRepeatable {
		m.phase = phaseClaiming
		m.claim.key = ClaimKey{Customer: m.spec.Customer, Key: m.spec.Key, Stage: s.Name}
		m.note(now, "claim", 0, "asked")
		m.do(Claim{Key: m.claim.key, Stage: s})
		return
	}
	m.deps.Retries.Deposit(now)
	m.deps.Hedges.Deposit(now)
	m.launch(now, false)
}

func (m *Machine) claimDecided(now time.Time, e ClaimDecided) {
	if m.phase != phaseClaiming {
		m.lateClaim(now, e)
		return
	}
	switch {
	case e.Won:
		m.claim.held = true
		m.phase = phaseRunning
		m.note(now, "claim", 0, "won")
		m.launch(now, false)
	case e.Result != nil:
		m.note(now, "claim", 0, "recorded result found")
		m.ran = true
		m.stageDone(now, e.Result, true)
	default:
		m.claim.refused = true
		m.note(now, "claim", 0, "refused", record.Field{Key: "kind", Value: string(e.Err.Kind)})
		if e.Err.Execution != problem.NotRun {
			m.unknown = true
		}
		if mayHaveResult(e.Err) && m.poolSupportsStatus() {
			m.lookUp(now, 0, e.Err)
			return
		}
		m.fail(now, e.Err)
	}
}

// lateClaim releases a claim that was won after the request was given up.
func (m *Machine) lateClaim(now time.Time, e ClaimDecided) {
	m.dropped++
	if e.Won && !m.claim.held && !m.claim.sent {
		m.note(now, "claim", 0, "won too late, released")
		m.do(Release{Key: m.claim.key})
	}
}

func (m *Machine) stageDone(now time.Time, output json.RawMessage, reused bool) {
	s := m.current()
	m.stagesRun = append(m.stagesRun, s.Name)
	m.reports = append(m.reports, StageReport{
		Name: s.Name, Attempts: m.attemptsAt(m.stage),
		Millis: now.Sub(m.stageBegan).Milliseconds(), Reused: reused,
	})
	if s.KeepResult && !reused && m.spec.Key != "" {
		m.do(Keep{Stage: s.Name, Result: output})
	}
	if m.stage == len(m.spec.Pipeline.Stages)-1 {
		m.succeed(now, output)
		return
	}
	m.input = chain(m.spec.Input, output)
	m.stage++
	m.beginStage(now)
}

// chain is the input of a later stage: the caller's input and what the stage
// before made of it.
func chain(input, previous json.RawMessage) json.RawMessage {
	b, err := json.Marshal(struct {
		Input    json.RawMessage `json:"input"`
		Previous json.RawMessage `json:"previous"`
	}{input, previous})
	if err != nil {
		return previous
	}
	return b
}

func (m *Machine) timerFired(now time.Time, e TimerFired) {
	switch e.Timer {
	case TimerDeadline:
		if m.phase == phaseFinished {
			return
		}
		m.deadlinePassed(now)
	case TimerHedge:
		m.hedge(now, e.Attempt)
	}
}

func (m *Machine) deadlinePassed(now time.Time) {
	m.giveUp(now, problem.DeadlineExceeded, "the deadline passed in stage "+m.stageName())
}

func (m *Machine) callerGone(now time.Time) {
	if m.phase == phaseFinished {
		return
	}
	m.giveUp(now, problem.CallerGone, "the caller went away")
}

func itoa(n int) string { return strconv.Itoa(n) }
