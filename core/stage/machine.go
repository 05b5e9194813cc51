package stage

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/wheatseam/wheatseam/core/catalog"
)

// Machine plans the stage work that is submitted to it.
type Machine struct {
	cfg      Config
	services map[string]*service
	// ordered are the services by name: a Machine decides the same each time.
	ordered  []*service
	replicas map[string]*replica
	jobs     map[string]*job
	// refused are jobs of which results wait for their owners' word; see handover.go.
	refused map[string]*job
	calls   map[uint64]*call
	nextID  uint64
	// expiry is when a job that is not ready may end, nextOverdue when a running call
	// may be overdue, nextLapse when one may lapse, and nextInspect when a replica may
	// have to be asked for its room.
	expiry, nextOverdue, nextLapse, nextInspect alarm
	// begun says that a job has come.
	begun bool
	// bias is the smoothed ratio of measured to predicted times of jobs.
	bias    float64
	seq     uint64
	actions []Action
	// freed collects the handles to give up in this step, by holder.
	freed map[*replica][]string
	// freeing lists those holders in the order in which they came.
	freeing []*replica
}

// New returns a Machine without services.
func New(c Config) *Machine {
	return &Machine{
		cfg: c.withDefaults(), bias: 1, services: map[string]*service{}, replicas: map[string]*replica{},
		jobs: map[string]*job{}, refused: map[string]*job{}, calls: map[uint64]*call{}, freed: map[*replica][]string{},
	}
}

// Step takes one event and returns what to do. The actions belong to the
// caller.
func (m *Machine) Step(now time.Time, e Event) []Action {
	m.actions = nil
	switch e := e.(type) {
	case Configured:
		m.configure(e)
	case Submitted:
		m.submit(now, e.Job)
	case Told:
		m.told(e)
	case Known:
		m.known(e)
	case Cancelled:
		m.cancel(e)
	case CallEnded:
		m.ended(now, e)
	case Inspected:
		m.inspected(now, e)
	}
	m.expire(now)
	m.overdue(now)
	m.lapse(now)
	for _, s := range m.ordered {
		m.dispatch(now, s)
	}
	m.inspect(now)
	m.flushFreed()
	return m.actions
}

func (m *Machine) act(a Action) { m.actions = append(m.actions, a) }

// configure takes the services and replicas in force. Replicas that are no
// longer listed are kept while calls run there.
func (m *Machine) configure(e Configured) {
	for name, s := range e.Services {
		if s.Pieces == nil {
			continue
		}
		v := m.services[name]
		if v == nil {
			v = &service{name: name, pace: 1, ranks: ranks{}}
			m.services[name] = v
		}
		v.figures = *s.Pieces
	}
	m.ordered = slices.SortedFunc(maps.Values(m.services), func(a, b *service) int { return strings.Compare(a.name, b.name) })
	for _, r := range m.replicas {
		r.listed = false
	}
	for _, listed := range e.Replicas {
		m.list(listed)
	}
	m.findReplaced(e.Replicas)
	for _, s := range m.services {
		s.replicas = s.replicas[:0]
	}
	for id, r := range m.replicas {
		if !r.listed && len(r.calls)+len(r.lapsed) == 0 {
			delete(m.replicas, id)
			continue
		}
		r.service.replicas = append(r.service.replicas, r)
	}
	for _, s := range m.services {
		sortReplicas(s.replicas)
		s.domains = s.countDomains()
		s.dirty = true
	}
}

// findReplaced marks the replicas whose address another one has now, most often
// their own next start: their results are gone, and what they are asked for would
// reach the other.
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

// list takes a replica that is listed.
func (m *Machine) list(listed catalog.Replica) {
	s := m.services[listed.Service]
	if s == nil {
		return
	}
	r := m.replicas[listed.ID]
	if r == nil {
		r = &replica{service: s, pace: 1}
		m.replicas[listed.ID] = r
	}
	r.gate = m.cfg.Gates.Of(listed.ID)
	r.Replica, r.listed, r.service = listed, true, s
}

// submit admits a job or refuses it.
func (m *Machine) submit(now time.Time, j Job) {
	if m.jobs[j.ID] != nil || m.refused[j.ID] != nil {
		return
	}
	s := m.newJob(j)
	if s == nil {
		m.act(Refused{Job: j.ID, Reason: ReasonNoReplica, RetryAfter: m.cfg.MinRetryAfter})
		return
	}
	m.restore(s)
	s.noteRanks(now)
	if refusal := m.admit(now, s); refusal != nil {
		refusal.Held = m.keepTold(s)
		m.act(*refusal)
		return
	}
	m.begin(now)
	s.submitted = now
	m.jobs[j.ID] = s
	s.admit(true)
	m.expiry.by(s.ends)
	m.advance(now, s)
}

// advance queues the pieces of every stage that can start, frees results that
// have been read, and hands a complete job over.
func (m *Machine) advance(now time.Time, j *job) {
	for i := range j.stages {
		st := &j.stages[i]
		if st.left == 0 || !j.canStart(i) || j.tooEarly(i) {
			continue
		}
		if st.queuedAt.IsZero() {
			st.queuedAt, st.home = now, j.home(i)
		}
		for k := range st.pieces {
			if p := &st.pieces[k]; p.state == blocked {
				p.enqueue()
			}
		}
	}
	m.freeRead(j)
	if j.complete() && !j.ready {
		j.ready = true
		m.learn(now, j)
		m.act(j.result(now))
	}
}

// freeRead gives up the results whose readers are all complete, but for those that
// the job's owner was told of: these wait until it has heard that they were read.
func (m *Machine) freeRead(j *job) {
	for i := range j.stages {
		st := &j.stages[i]
		switch {
		case st.freed || !j.wasRead(i):
		case !j.Shared:
			m.freeStage(st)
		case j.readersHavePieces(i):
			m.freeShared(j, i)
		}
	}
}

// freeStage gives up all results of a stage.
func (m *Machine) freeStage(st *stageState) {
	st.freed = true
	for k := range st.pieces {
		m.freePiece(&st.pieces[k])
	}
}

// freePiece gives up the result of a piece, if it has one.
func (m *Machine) freePiece(p *piece) {
	if p.holder == nil {
		return
	}
	m.freeHandle(p.holder, p.handle, p.bytes())
	p.holder = nil
}

// freeHandle gives up one result.
func (m *Machine) freeHandle(r *replica, handle string, bytes int64) {
	r.used = max(0, r.used-bytes)
	r.service.dirty = true
	if m.freed[r] == nil {
		m.freeing = append(m.freeing, r)
	}
	m.freed[r] = append(m.freed[r], handle)
}

// flushFreed turns the handles given up in this step into actions.
func (m *Machine) flushFreed() {
	for _, r := range m.freeing {
		if !r.replaced {
			m.act(Free{Replica: r.ID, Address: r.Address, Handles: m.freed[r]})
		}
		delete(m.freed, r)
	}
	m.freeing = m.freeing[:0]
}

// result is the action that hands a complete job over.
func (j *job) result(now time.Time) Ready {
	ready := Ready{Job: j.ID, Took: now.Sub(j.submitted), Predicted: j.expected, Early: j.Due.Sub(now)}
	w := weights{bytes: map[string]int64{}}
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
			w.add(p)
		}
	}
	ready.Domain, ready.DomainBytes = w.domain, w.most
	return ready
}

// remove forgets a job and returns it: its queued pieces are not made. Its results
// are the caller's to see to.
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
	j.admit(false)
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
	held := m.keepTold(j)
	if !j.ready {
		m.act(Refused{Job: j.ID, Reason: reason, RetryAfter: retryAfter, Held: held})
	}
}

// underWayEvery is the interval at which it is looked whether all that is left of a
// late job is still being made.
const underWayEvery = 100 * time.Millisecond

// expire refuses jobs whose deadline has passed, or whose last chance to be late has
// while calls are still to be made for them.
func (m *Machine) expire(now time.Time) {
	if !m.expiry.due(now) {
		return
	}
	var ended []*job
	for _, j := range m.jobs {
		switch {
		case j.ready:
		case now.Before(j.ends):
			m.expiry.by(j.ends)
		case now.Before(j.Deadline) && j.underWay():
			m.expiry.by(now.Add(underWayEvery))
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

// current says whether a piece still belongs to a job that is planned.
func (m *Machine) current(p *piece) bool { return m.jobs[p.job.ID] == p.job }
