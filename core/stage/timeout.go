package stage

import (
	"cmp"
	"slices"
	"time"
)

// A call that times out is not ended: its replica may have been suspended, and continues
// the call that it is executing whether or not anyone waits for it. A timed-out call no
// longer takes a slot at the replica. Its pieces are queued again, possibly for the same
// replica, and the first result is used. Once no job needs the call it is abandoned, but
// only if the replica can still drop it: the results of a call that is being executed would
// take up memory with no planner left to release them.

// timedOutCheckInterval is the interval at which it is checked whether a timed-out call is
// still needed.
const timedOutCheckInterval = 250 * time.Millisecond

// timeOutCalls handles the calls that have timed out, and abandons those that no job needs
// and that the replica is presumed not to execute.
func (m *Machine) timeOutCalls(now time.Time) {
	if !m.nextTimeout.due(now) {
		return
	}
	var due []*call
	for _, c := range m.calls {
		if now.Before(c.timeoutAt) {
			m.nextTimeout.schedule(c.timeoutAt)
		} else {
			due = append(due, c)
		}
	}
	slices.SortFunc(due, func(a, b *call) int { return cmp.Compare(a.id, b.id) })
	for _, c := range due {
		m.timeOutCall(now, c)
	}
}

func (m *Machine) timeOutCall(now time.Time, c *call) {
	if !c.timedOut {
		c.timedOut = true
		c.replica.removeCall(c)
		c.trackTimedOut()
		m.markSuspected(now, c.replica, "lapsed")
		m.requeueCall(c, true)
	}
	if !m.needed(c) && !c.mayBeExecuting() {
		delete(m.calls, c.id)
		c.untrackTimedOut()
		m.emit(Abandon{Call: c.id})
		return
	}
	c.timeoutAt = now.Add(timedOutCheckInterval)
	m.nextTimeout.schedule(c.timeoutAt)
}

// trackTimedOut adds the call to the timed-out calls that may still return.
func (c *call) trackTimedOut() {
	c.replica.timedOutCalls = append(c.replica.timedOutCalls, c)
	for _, p := range c.pieces {
		p.timedOutCalls++
	}
}

// untrackTimedOut removes the call from the timed-out calls that may still return.
func (c *call) untrackTimedOut() {
	c.replica.timedOutCalls = slices.DeleteFunc(c.replica.timedOutCalls, func(o *call) bool { return o == c })
	for _, p := range c.pieces {
		p.timedOutCalls--
	}
}

// mayBeExecuting reports whether the replica may be executing a timed-out call. A replica
// starts calls in order and executes up to Concurrency of them at once, so it may be
// executing this call if fewer than Concurrency earlier ones have not ended. Once
// Concurrency later calls have been answered, this call has most likely ended and its answer
// was lost. Calls of other planners are not known: a call that is queued behind those is
// assumed to be executing.
func (c *call) mayBeExecuting() bool {
	r := c.replica
	before := 0
	for _, o := range slices.Concat(r.timedOutCalls, r.calls) {
		if o.id < c.id && !o.overtaken() {
			before++
		}
	}
	return !r.replaced && !c.overtaken() && before < r.service.params.Concurrency
}

// overtaken reports whether so many later calls have been answered that the replica is no
// longer executing this one.
func (c *call) overtaken() bool { return c.laterAnswers >= c.replica.service.params.Concurrency }

// noteAnswered counts an answered call for all earlier calls to the replica that have not
// ended.
func (r *replica) noteAnswered(answered *call) {
	for _, o := range slices.Concat(r.timedOutCalls, r.calls) {
		if o.id < answered.id {
			o.laterAnswers++
		}
	}
}

// needed reports whether a job still needs any piece of a call.
func (m *Machine) needed(c *call) bool {
	return slices.ContainsFunc(c.pieces, func(p *piece) bool { return m.isPlanned(p) && p.state != completed })
}

// removeCall removes a call from the running calls of a replica.
func (r *replica) removeCall(c *call) {
	r.service.dirty = true
	r.calls = slices.DeleteFunc(r.calls, func(o *call) bool { return o == c })
	r.limiter.RecordEnd()
	r.updateIdle()
	for _, p := range c.pieces {
		p.runningCalls--
	}
}

// timedOutCallEnded handles the end of a timed-out call. Its results are used like any
// other; the pieces without a result have been queued again already.
func (m *Machine) timedOutCallEnded(now time.Time, c *call, e CallEnded) {
	r := c.replica
	c.untrackTimedOut()
	r.service.dirty = true
	if !r.replaced && e.Outcome == CallAnswered {
		m.markTrusted(now, c)
		m.acceptCompleted(now, c, e.Results)
	}
	for _, p := range c.pieces {
		m.requeue(p)
	}
}

// acceptCompleted handles the results that a timed-out call has returned.
func (m *Machine) acceptCompleted(now time.Time, c *call, results []Result) {
	partial := call{id: c.id, replica: c.replica}
	var completedResults []Result
	for i, p := range c.pieces {
		if i < len(results) && results[i].Kind == PieceCompleted {
			c.replica.usedBytes += p.resultBytes()
			partial.pieces, completedResults = append(partial.pieces, p), append(completedResults, results[i])
		}
	}
	m.acceptResults(now, &partial, completedResults)
}
