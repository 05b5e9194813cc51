package stage

import (
	"cmp"
	"slices"
	"time"
)

// ended takes the end of a call.
func (m *Machine) ended(now time.Time, e CallEnded) {
	c := m.calls[e.Call]
	if c == nil {
		return
	}
	delete(m.calls, c.id)
	if c.lapsed {
		m.endedLate(now, c, e)
		return
	}
	r := c.replica
	r.leave(c)
	if r.replaced {
		// Who answered is not known, and the results may be gone.
		m.again(c, false)
		return
	}
	switch e.Outcome {
	case CallAnswered:
		m.trust(now, c)
		m.take(now, c, e.Results)
	case CallNotExecuted:
		r.refuse(now, m.cfg)
		m.again(c, false)
	case CallUnreachable:
		m.suspect(now, r, e.Outcome.String())
		m.again(c, false)
	case CallFailed:
		m.suspect(now, r, e.Outcome.String())
		m.again(c, true)
	}
}

// trust notes that the replica of a call has answered it.
func (m *Machine) trust(now time.Time, c *call) {
	r := c.replica
	if r.failures > 0 {
		m.act(Trusted{Replica: r.ID, Service: r.service.name})
	}
	r.failures, r.refusals = 0, 0
	r.suspect = time.Time{}
	r.pass(c)
	r.measure(now, now.Sub(c.started), len(c.pieces))
}

// suspect avoids a replica for a while.
func (m *Machine) suspect(now time.Time, r *replica, why string) {
	r.fail(now, m.cfg)
	m.act(Suspected{Replica: r.ID, Service: r.service.name, Why: why, Failures: r.failures, For: r.suspect.Sub(now)})
}

// again queues the pieces of a call that brought nothing. count says that the
// call counts against their tries.
func (m *Machine) again(c *call, count bool) {
	for _, p := range c.pieces {
		c.replica.used = max(0, c.replica.used-p.bytes())
		if count {
			p.tries++
		}
		m.requeue(p)
	}
}

// requeue queues a piece that is in no running call. One that was tried too often
// ends its job, unless a lapsed call may still bring it.
func (m *Machine) requeue(p *piece) {
	if !m.current(p) || p.state == made || p.state == queued || p.calls > 0 {
		return
	}
	if p.tries >= m.cfg.MaxTries {
		if p.heard > 0 {
			return
		}
		m.refuse(p.job, ReasonFailed, m.cfg.MinRetryAfter)
		return
	}
	p.enqueue()
}

// take takes the results of an answered call.
func (m *Machine) take(now time.Time, c *call, results []Result) {
	var advanced []*job
	for i, p := range c.pieces {
		if i >= len(results) {
			break
		}
		if m.takeOne(now, c.replica, p, results[i]) && !slices.Contains(advanced, p.job) {
			advanced = append(advanced, p.job)
		}
	}
	for _, j := range advanced {
		if m.jobs[j.ID] == j {
			m.advance(now, j)
		}
	}
}

// takeOne takes the result of one piece and says whether it was made and is
// wanted.
func (m *Machine) takeOne(now time.Time, r *replica, p *piece, res Result) bool {
	if res.Kind != Made {
		r.used = max(0, r.used-p.bytes())
	}
	switch res.Kind {
	case Made:
		if p.state == made && p.holder == r && p.handle == res.Handle {
			r.used = max(0, r.used-p.bytes())
			return false
		}
		if !m.current(p) || p.state == made {
			// Nobody waits any more, or another call was faster.
			m.freeHandle(r, res.Handle, p.bytes())
			return false
		}
		if p.state == queued {
			p.job.stages[p.stage].service.queue.remove(p)
		}
		p.state, p.handle, p.holder = made, res.Handle, r
		st := &p.job.stages[p.stage]
		p.job.count(p.stage, -1)
		st.madeAt = now
		m.act(Progress{Job: p.job.ID, Piece: MadePiece{Stage: p.stage, Index: p.index, Handle: res.Handle, Replica: r.ID}})
		return true
	case InputGone:
		m.remake(now, p)
	case NoRoom:
		r.full(now)
		m.nextInspect.by(now)
		m.requeue(p)
	case TooLate:
		m.requeue(p)
	case Broken:
		p.tries++
		m.requeue(p)
	}
	return false
}

// maxRemakes bounds how often a job's lost inputs are made again.
const maxRemakes = 2

// remake makes the inputs of a piece again: one of them is gone, and which is
// not known.
func (m *Machine) remake(now time.Time, p *piece) {
	j := p.job
	if !m.current(p) || p.state != running || p.calls > 0 {
		return
	}
	if j.remakes >= maxRemakes {
		m.refuse(j, ReasonFailed, m.cfg.MinRetryAfter)
		return
	}
	j.remakes++
	for k := range j.stages[p.stage].pieces {
		if o := &j.stages[p.stage].pieces[k]; o.state == queued || o.state == running {
			if o.state == queued {
				j.stages[p.stage].service.queue.remove(o)
			}
			o.state = blocked
		}
	}
	for _, a := range j.Stages[p.stage].After {
		m.resetStage(j, a)
	}
	m.advance(now, j)
}

// resetStage makes all results of a stage again, and what those need.
func (m *Machine) resetStage(j *job, i int) {
	st := &j.stages[i]
	if st.left > 0 {
		return
	}
	if j.Shared {
		m.leaveStage(st) // the owner may hand them to another planner
	}
	m.freeStage(st)
	st.freed = false
	j.count(i, len(st.pieces)-st.left)
	for k := range st.pieces {
		p := &st.pieces[k]
		p.state, p.told, p.known = blocked, false, false
	}
	for _, a := range j.Stages[i].After {
		if j.stages[a].freed {
			m.resetStage(j, a)
		}
	}
}

// overdue queues the pieces of calls that take too long a second time, for
// another replica. The first result counts.
func (m *Machine) overdue(now time.Time) {
	if !m.nextOverdue.due(now) {
		return
	}
	var over []*call
	for _, c := range m.calls {
		switch {
		case c.given:
		case now.Before(c.overdue):
			m.nextOverdue.by(c.overdue)
		default:
			over = append(over, c)
		}
	}
	slices.SortFunc(over, func(a, b *call) int { return cmp.Compare(a.id, b.id) })
	for _, c := range over {
		c.given = true
		m.suspect(now, c.replica, "overdue")
		for _, p := range c.pieces {
			if m.current(p) && p.state == running && p.calls == 1 && p.tries+1 < m.cfg.MaxTries {
				p.tries++
				p.enqueue()
			}
		}
	}
}
