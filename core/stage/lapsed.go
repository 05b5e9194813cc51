package stage

import (
	"cmp"
	"slices"
	"time"
)

// A call that takes far too long is not ended: its replica may have paused, and goes
// on with what it works on whoever listens. It lapses: it holds no place any more,
// its pieces are made anew, at the same replica too, and whichever result comes first
// counts. Once nobody waits for it, it is given up only where its replica still drops it:
// what one brings that the replica works on would keep its room, with nobody to give it
// up.

// lapsedEvery is the interval at which it is looked whether somebody still waits for
// a lapsed call.
const lapsedEvery = 250 * time.Millisecond

// lapse takes the calls that are no longer to be counted on, and gives those up that
// are of no more use.
func (m *Machine) lapse(now time.Time) {
	if !m.nextLapse.due(now) {
		return
	}
	var due []*call
	for _, c := range m.calls {
		if now.Before(c.lapses) {
			m.nextLapse.by(c.lapses)
		} else {
			due = append(due, c)
		}
	}
	slices.SortFunc(due, func(a, b *call) int { return cmp.Compare(a.id, b.id) })
	for _, c := range due {
		m.lapseOne(now, c)
	}
}

func (m *Machine) lapseOne(now time.Time, c *call) {
	if !c.lapsed {
		c.lapsed = true
		c.replica.leave(c)
		c.hear()
		m.suspect(now, c.replica, "lapsed")
		m.again(c, true)
	}
	if !m.awaited(c) && !c.atWork() {
		delete(m.calls, c.id)
		c.unhear()
		m.act(Abandon{Call: c.id})
		return
	}
	c.lapses = now.Add(lapsedEvery)
	m.nextLapse.by(c.lapses)
}

// hear counts the call among the lapsed ones that are heard.
func (c *call) hear() {
	c.replica.lapsed = append(c.replica.lapsed, c)
	for _, p := range c.pieces {
		p.heard++
	}
}

// unhear counts the call no longer.
func (c *call) unhear() {
	c.replica.lapsed = slices.DeleteFunc(c.replica.lapsed, func(o *call) bool { return o == c })
	for _, p := range c.pieces {
		p.heard--
	}
}

// atWork says whether the replica of a lapsed call may be at work on it: it takes calls
// in their order, so many at once, and those before this one are fewer. One that is
// passed by as many has most likely ended, with its answer lost. Calls of other planners
// are not known: one that waits behind those is taken for one at work.
func (c *call) atWork() bool {
	r := c.replica
	before := 0
	for _, o := range slices.Concat(r.lapsed, r.calls) {
		if o.id < c.id && !o.passed() {
			before++
		}
	}
	return !r.replaced && !c.passed() && before < r.service.figures.Concurrency
}

// passed says whether so many later calls have been answered that the replica is not at
// work on this one.
func (c *call) passed() bool { return c.later >= c.replica.service.figures.Concurrency }

// pass notes that a replica has answered a call, later than those that came before it.
func (r *replica) pass(answered *call) {
	for _, o := range slices.Concat(r.lapsed, r.calls) {
		if o.id < answered.id {
			o.later++
		}
	}
}

// awaited says whether a job waits for any piece of a call.
func (m *Machine) awaited(c *call) bool {
	return slices.ContainsFunc(c.pieces, func(p *piece) bool { return m.current(p) && p.state != made })
}

// leave takes a call out of those that run at a replica.
func (r *replica) leave(c *call) {
	r.service.dirty = true
	r.calls = slices.DeleteFunc(r.calls, func(o *call) bool { return o == c })
	for _, p := range c.pieces {
		p.calls--
	}
}

// endedLate takes the end of a lapsed call. What it brings counts as any result; what
// it does not bring is being made anew.
func (m *Machine) endedLate(now time.Time, c *call, e CallEnded) {
	r := c.replica
	c.unhear()
	r.service.dirty = true
	if !r.replaced && e.Outcome == CallAnswered {
		m.trust(now, c)
		m.takeMade(now, c, e.Results)
	}
	for _, p := range c.pieces {
		m.requeue(p)
	}
}

// takeMade takes the results that a lapsed call has brought.
func (m *Machine) takeMade(now time.Time, c *call, results []Result) {
	brought := call{id: c.id, replica: c.replica}
	var made []Result
	for i, p := range c.pieces {
		if i < len(results) && results[i].Kind == Made {
			c.replica.used += p.bytes()
			brought.pieces, made = append(brought.pieces, p), append(made, results[i])
		}
	}
	m.take(now, &brought, made)
}
