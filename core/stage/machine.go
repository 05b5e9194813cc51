package stage

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/wheatseam/wheatseam/core/catalog"
)

// Machine plans the stage work that is submitted to it. It is not safe for concurrent use.
type Machine struct {
	cfg      Config
	services map[string]*service
	// sortedServices holds the services by name, so that decisions are deterministic.
	sortedServices []*service
	replicas       map[string]*replica
	// domains are the failure domains with replicas of any service.
	domains map[string]bool
	jobs    map[string]*job
	// pieces is the number of pieces of all jobs.
	pieces int
	// refused holds the refused jobs with results that wait for their owners'
	// acknowledgement; see handover.go.
	refused map[string]*job
	calls   map[uint64]*call
	nextID  uint64
	// nextExpiry is when a job that is not ready may have to be refused, nextOverdue when a
	// running call may be overdue, nextTimeout when one may time out, and nextMemoryQuery
	// when a replica may have to be queried for its free memory. nextShareReport is when
	// refusals for customers' shares are reported.
	nextExpiry, nextOverdue, nextTimeout, nextMemoryQuery, nextShareReport timer
	// memoryQueries are the replicas whose query is scheduled.
	memoryQueries []*replica
	// rng chooses the replicas that are sampled. Its seed is constant, so that the same
	// events always lead to the same actions.
	rng *rand.Rand
	// firstJobSeen says that a job has been admitted.
	firstJobSeen bool
	// bias is the smoothed ratio of actual to predicted job times.
	bias    float64
	seq     uint64
	actions []Action
	// released holds the handles released in this step, by holder.
	released map[*replica][]string
	// releasing lists those holders in the order of their first release.
	releasing []*replica
}

// New returns a Machine without services.
func New(c Config) *Machine {
	return &Machine{
		cfg: c.withDefaults(), bias: 1, services: map[string]*service{}, replicas: map[string]*replica{}, domains: map[string]bool{}, rng: rand.New(rand.NewPCG(1, 1)),
		jobs: map[string]*job{}, refused: map[string]*job{}, calls: map[uint64]*call{}, released: map[*replica][]string{},
	}
}

// Step handles one event and returns the actions to carry out. The returned slice belongs
// to the caller.
func (m *Machine) Step(now time.Time, e Event) []Action {
	m.actions = nil
	switch e := e.(type) {
	case Configured:
		m.configure(e)
	case Submitted:
		m.submit(now, e.Job)
	case ProgressSent:
		m.progressSent(e)
	case ProgressAcked:
		m.progressAcked(e)
	case Cancelled:
		m.cancel(e)
	case CallEnded:
		m.callEnded(now, e)
	case MemoryReported:
		m.memoryReported(now, e)
	}
	m.expire(now)
	m.hedgeOverdueCalls(now)
	m.timeOutCalls(now)
	for _, s := range m.sortedServices {
		m.dispatch(now, s)
	}
	m.queryMemoryIfDue(now)
	m.reportShares(now)
	m.flushReleased()
	return m.actions
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

// configure replaces the current services and replicas. Replicas that are no longer listed
// are kept while they have running or timed-out calls.
func (m *Machine) configure(e Configured) {
	for name, s := range e.Services {
		if s.StageProfile == nil {
			continue
		}
		state := m.services[name]
		if state == nil {
			state = &service{name: name, latencyRatio: 1, recentRanks: recentRanks{}, maxScanned: m.cfg.MaxScannedReplicas}
			m.services[name] = state
		}
		state.params = *s.StageProfile
	}
	m.sortedServices = slices.SortedFunc(maps.Values(m.services), func(a, b *service) int { return strings.Compare(a.name, b.name) })
	for _, r := range m.replicas {
		r.listed = false
	}
	for _, listed := range e.Replicas {
		m.addListed(listed)
	}
	m.findReplaced(e.Replicas)
	clear(m.domains)
	for _, s := range m.services {
		s.replicas = s.replicas[:0]
	}
	for id, r := range m.replicas {
		if !r.listed && len(r.calls)+len(r.timedOutCalls) == 0 {
			delete(m.replicas, id)
			continue
		}
		r.service.replicas = append(r.service.replicas, r)
		m.domains[r.FailureDomain] = true
	}
	for _, s := range m.services {
		sortReplicas(s.replicas)
		s.rebuildIdle()
		s.dirty, s.capacityAt = true, time.Time{}
	}
}

// findReplaced marks the replicas whose address another replica now has, most often the
// same replica after a restart: their results are gone, and requests to them would reach
// the other replica.
func (m *Machine) findReplaced(listed []catalog.Replica) {
	owners := make(map[string]string, len(listed))
	for _, r := range listed {
		owners[r.Address] = r.ID
	}
	for id, r := range m.replicas {
		owner, taken := owners[r.Address]
		r.replaced = taken && !r.listed && owner != id
	}
}

// addListed adds or updates a replica that is listed in the configuration.
func (m *Machine) addListed(listed catalog.Replica) {
	s := m.services[listed.Service]
	if s == nil {
		return
	}
	r := m.replicas[listed.ID]
	if r == nil {
		r = &replica{service: s, latencyRatio: 1}
		m.replicas[listed.ID] = r
	}
	r.limiter = m.cfg.Limiters.Get(listed.ID)
	r.Replica, r.listed, r.service = listed, true, s
}

// submit admits a job or refuses it.
func (m *Machine) submit(now time.Time, j Job) {
	if m.jobs[j.ID] != nil || m.refused[j.ID] != nil {
		return
	}
	if refusal := m.refuseForSize(&j); refusal != nil {
		m.emit(*refusal)
		return
	}
	state := m.newJob(j)
	if state == nil {
		m.emit(Refused{Job: j.ID, Reason: ReasonNoReplica, RetryAfter: m.cfg.MinRetryAfter})
		return
	}
	m.restore(state)
	state.recordRanks(now)
	m.preferContinuation(now, state)
	if !state.preferred {
		m.askShares(now, state)
	}
	if refusal := m.admit(now, state); refusal != nil {
		refusal.ResultsHeld, refusal.Preferred = m.releaseRefused(state), state.preferred
		m.emit(*refusal)
		return
	}
	m.admitShares(now, state)
	m.queryOnFirstJob(now)
	state.submitted = now
	m.jobs[j.ID] = state
	m.pieces += j.pieces()
	state.setAdmitted(true)
	m.nextExpiry.schedule(state.refuseAt)
	m.advance(now, state)
}

// advance queues the pieces of every stage that can start, releases results that have been
// read, and delivers the results of a complete job.
func (m *Machine) advance(now time.Time, j *job) {
	for i := range j.stages {
		st := &j.stages[i]
		if st.remaining == 0 || !j.canStart(i) || j.shouldDefer(i) {
			continue
		}
		if st.queuedAt.IsZero() {
			st.queuedAt, st.preferredDomain = now, j.preferredDomain(i)
		}
		for k := range st.pieces {
			if p := &st.pieces[k]; p.state == blocked {
				p.enqueue()
			}
		}
	}
	m.releaseRead(j)
	if j.complete() && !j.ready {
		j.ready = true
		m.updateBias(now, j)
		m.emit(j.readyAction(now))
	}
}

// releaseRead releases the results whose readers are all complete, except those reported to
// the job's owner: these are kept until the owner has acknowledged that they were read.
func (m *Machine) releaseRead(j *job) {
	for i := range j.stages {
		st := &j.stages[i]
		switch {
		case st.released || !j.resultsRead(i):
		case !j.Transferable:
			m.releaseStage(st)
		case j.readersHavePieces(i):
			m.releaseTransferable(j, i)
		}
	}
}

// releaseStage releases all results of a stage.
func (m *Machine) releaseStage(st *stageState) {
	st.released = true
	for k := range st.pieces {
		m.releasePiece(&st.pieces[k])
	}
}

// releasePiece releases the result of a piece, if it has one.
func (m *Machine) releasePiece(p *piece) {
	if p.holder == nil {
		return
	}
	m.releaseHandle(p.holder, p.handle, p.resultBytes())
	p.holder = nil
}

// releaseHandle releases one result.
func (m *Machine) releaseHandle(r *replica, handle string, bytes int64) {
	r.usedBytes = max(0, r.usedBytes-bytes)
	r.service.dirty = true
	if m.released[r] == nil {
		m.releasing = append(m.releasing, r)
	}
	m.released[r] = append(m.released[r], handle)
}

// flushReleased emits actions for the handles released in this step.
func (m *Machine) flushReleased() {
	for _, r := range m.releasing {
		if !r.replaced {
			m.emit(Release{Replica: r.ID, Address: r.Address, Handles: m.released[r]})
		}
		delete(m.released, r)
	}
	m.releasing = m.releasing[:0]
}

// readyAction returns the action that delivers the results of a complete job.
func (j *job) readyAction(now time.Time) Ready {
	ready := Ready{Job: j.ID, Elapsed: now.Sub(j.submitted), Predicted: j.expected, Preferred: j.preferred, Early: j.Due.Sub(now)}
	held := bytesByDomain{bytes: map[string]int64{}}
	for i := range j.stages {
		st := &j.stages[i]
		if len(st.pieces) > 0 {
			ready.Timings = append(ready.Timings, j.timing(i))
		}
		if len(st.readers) > 0 {
			continue
		}
		for k := range st.pieces {
			p := &st.pieces[k]
			ready.Handles = append(ready.Handles, p.handle)
			held.add(p)
		}
	}
	ready.Domain, ready.DomainBytes = held.maxDomain, held.maxBytes
	return ready
}

// remove removes a job and its queued pieces, and returns the job. The caller handles its
// results.
func (m *Machine) remove(id string) *job {
	if j := m.refused[id]; j != nil {
		delete(m.refused, id)
		return j
	}
	j := m.jobs[id]
	if j == nil {
		return nil
	}
	delete(m.jobs, id)
	m.pieces -= j.pieces()
	j.setAdmitted(false)
	for i := range j.stages {
		if st := &j.stages[i]; st.group != nil {
			st.service.queue.removeGroup(st.group)
		}
	}
	return j
}

// refuse ends a job without results.
func (m *Machine) refuse(j *job, reason Reason, retryAfter time.Duration) {
	if m.jobs[j.ID] != j {
		return
	}
	m.remove(j.ID)
	held := m.releaseRefused(j)
	if !j.ready {
		m.emit(Refused{Job: j.ID, Reason: reason, RetryAfter: retryAfter, Preferred: j.preferred, ResultsHeld: held})
	}
}

// lateJobCheckInterval is the interval at which it is checked whether all remaining pieces
// of a late job are still in calls.
const lateJobCheckInterval = 100 * time.Millisecond

// expire refuses jobs whose deadline has passed, and jobs past refuseAt that still need
// calls.
func (m *Machine) expire(now time.Time) {
	if !m.nextExpiry.due(now) {
		return
	}
	var ended []*job
	for _, j := range m.jobs {
		switch {
		case j.ready:
		case now.Before(j.refuseAt):
			m.nextExpiry.schedule(j.refuseAt)
		case now.Before(j.Deadline) && j.allInCalls():
			m.nextExpiry.schedule(now.Add(lateJobCheckInterval))
		default:
			ended = append(ended, j)
		}
	}
	slices.SortFunc(ended, func(a, b *job) int { return cmp.Compare(a.seq, b.seq) })
	for _, j := range ended {
		if now.Before(j.Deadline) {
			m.refuse(j, ReasonOverload, m.cfg.MinRetryAfter)
		} else {
			m.refuse(j, ReasonExpired, 0)
		}
	}
}

// isPlanned reports whether a piece belongs to a job that is still planned.
func (m *Machine) isPlanned(p *piece) bool { return m.jobs[p.job.ID] == p.job }
