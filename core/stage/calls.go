package stage

import (
	"cmp"
	"slices"
	"time"
)

// callEnded handles the end of a call.
func (m *Machine) callEnded(now time.Time, e CallEnded) {
	c := m.calls[e.Call]
	if c == nil {
		return
	}
	delete(m.calls, c.id)
	if c.timedOut {
		m.timedOutCallEnded(now, c, e)
		return
	}
	r := c.replica
	r.removeCall(c)
	if r.replaced {
		// The answer may come from the replica's successor at the same address, and the
		// results may be lost.
		m.requeueCall(c, false)
		return
	}
	switch e.Outcome {
	case CallAnswered:
		m.markTrusted(now, c)
		m.acceptResults(now, c, e.Results)
	case CallNotExecuted:
		r.noteRefusal(now, m.cfg)
		m.requeueCall(c, false)
	case CallUnreachable:
		m.markSuspected(now, r, e.Outcome.String())
		r.unreachable = true
		m.requeueCall(c, false)
	case CallFailed:
		m.markSuspected(now, r, e.Outcome.String())
		m.requeueCall(c, true)
	}
}

// markTrusted records that the replica of a call has answered it.
func (m *Machine) markTrusted(now time.Time, c *call) {
	r := c.replica
	if r.failures > 0 {
		m.emit(Trusted{Replica: r.ID, Service: r.service.name})
	}
	r.failures, r.refusals = 0, 0
	r.suspectUntil = time.Time{}
	r.noteAnswered(c)
	r.recordLatency(now, now.Sub(c.started), len(c.pieces))
}

// markSuspected excludes a replica from new calls for a while.
func (m *Machine) markSuspected(now time.Time, r *replica, cause string) {
	r.noteFailure(now, m.cfg)
	r.unreachable = false
	m.emit(Suspected{Replica: r.ID, Service: r.service.name, Cause: cause, Failures: r.failures, Duration: r.suspectUntil.Sub(now)})
}

// requeueCall queues the pieces of a call that returned no results. countAttempt says
// whether the call counts as an attempt for its pieces.
func (m *Machine) requeueCall(c *call, countAttempt bool) {
	for _, p := range c.pieces {
		c.replica.usedBytes = max(0, c.replica.usedBytes-p.resultBytes())
		if countAttempt {
			p.attempts++
		}
		m.requeue(p)
	}
}

// requeue queues a piece that is in no running call. If its attempts are used up its job is
// refused, unless a timed-out call may still return the result.
func (m *Machine) requeue(p *piece) {
	if !m.isPlanned(p) || p.state == completed || p.state == queued || p.runningCalls > 0 {
		return
	}
	if p.attempts >= m.cfg.MaxAttempts {
		if p.timedOutCalls > 0 {
			return
		}
		m.refuse(p.job, ReasonFailed, m.cfg.MinRetryAfter)
		return
	}
	p.enqueue()
}

// acceptResults handles the results of an answered call.
func (m *Machine) acceptResults(now time.Time, c *call, results []Result) {
	var advanced []*job
	for i, p := range c.pieces {
		if i >= len(results) {
			break
		}
		if m.acceptResult(now, c.replica, p, results[i]) && !slices.Contains(advanced, p.job) {
			advanced = append(advanced, p.job)
		}
	}
	for _, j := range advanced {
		if m.jobs[j.ID] == j {
			m.advance(now, j)
		}
	}
}

// acceptResult handles the result of one piece. It returns true if the piece was completed
// by it.
func (m *Machine) acceptResult(now time.Time, r *replica, p *piece, res Result) bool {
	if res.Kind != PieceCompleted {
		r.usedBytes = max(0, r.usedBytes-p.resultBytes())
	}
	switch res.Kind {
	case PieceCompleted:
		if p.state == completed && p.holder == r && p.handle == res.Handle {
			r.usedBytes = max(0, r.usedBytes-p.resultBytes())
			return false
		}
		if !m.isPlanned(p) || p.state == completed {
			// The job has ended, or another call returned the result first.
			m.releaseHandle(r, res.Handle, p.resultBytes())
			return false
		}
		if p.state == queued {
			p.job.stages[p.stage].service.queue.remove(p)
		}
		p.state, p.handle, p.holder = completed, res.Handle, r
		st := &p.job.stages[p.stage]
		p.job.addRemaining(p.stage, -1)
		st.completedAt = now
		m.emit(Progress{Job: p.job.ID, Piece: CompletedPiece{Stage: p.stage, Index: p.index, Handle: res.Handle, Replica: r.ID}})
		return true
	case PieceInputMissing:
		m.recomputeInputs(now, p)
	case PieceOutOfMemory:
		r.noteOutOfMemory(now)
		m.scheduleQuery(r, now)
		m.nextMemoryQuery.schedule(now)
		m.requeue(p)
	case PieceExpired:
		m.requeue(p)
	case PieceFailed:
		p.attempts++
		m.requeue(p)
	}
	return false
}

// maxRecomputations bounds how often the lost inputs of a job are computed again.
const maxRecomputations = 2

// recomputeInputs recomputes all inputs of a piece: one of them is gone, and the replica
// does not say which.
func (m *Machine) recomputeInputs(now time.Time, p *piece) {
	j := p.job
	if !m.isPlanned(p) || p.state != running || p.runningCalls > 0 {
		return
	}
	if j.recomputations >= maxRecomputations {
		m.refuse(j, ReasonFailed, m.cfg.MinRetryAfter)
		return
	}
	j.recomputations++
	for k := range j.stages[p.stage].pieces {
		if o := &j.stages[p.stage].pieces[k]; o.state == queued || o.state == running {
			if o.state == queued {
				j.stages[p.stage].service.queue.remove(o)
			}
			o.state = blocked
		}
	}
	for _, a := range j.Stages[p.stage].DependsOn {
		m.resetStage(j, a)
	}
	m.advance(now, j)
}

// resetStage has all results of a stage computed again, and the inputs that were released.
func (m *Machine) resetStage(j *job, i int) {
	st := &j.stages[i]
	if st.remaining > 0 {
		return
	}
	if j.Transferable {
		m.forgetResults(st) // the owner may hand them to another planner
	}
	m.releaseStage(st)
	st.released = false
	j.addRemaining(i, len(st.pieces)-st.remaining)
	for k := range st.pieces {
		p := &st.pieces[k]
		p.state, p.reported, p.acked = blocked, false, false
	}
	for _, a := range j.Stages[i].DependsOn {
		if j.stages[a].released {
			m.resetStage(j, a)
		}
	}
}

// hedgeOverdueCalls queues the pieces of calls that take too long a second time, for
// another replica. The first result is used.
func (m *Machine) hedgeOverdueCalls(now time.Time) {
	if !m.nextOverdue.due(now) {
		return
	}
	var overdue []*call
	for _, c := range m.calls {
		switch {
		case c.hedged:
		case now.Before(c.overdueAt):
			m.nextOverdue.schedule(c.overdueAt)
		default:
			overdue = append(overdue, c)
		}
	}
	slices.SortFunc(overdue, func(a, b *call) int { return cmp.Compare(a.id, b.id) })
	for _, c := range overdue {
		c.hedged = true
		m.markSuspected(now, c.replica, "overdue")
		for _, p := range c.pieces {
			if m.isPlanned(p) && p.state == running && p.runningCalls == 1 && p.attempts+1 < m.cfg.MaxAttempts {
				p.attempts++
				p.enqueue()
			}
		}
	}
}
