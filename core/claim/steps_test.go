package claim

import (
	"slices"
	"time"

	"github.com/wheatseam/wheatseam/problem"
)

// steps returns all successor states of st.
func (st *systemState) steps() []*systemState {
	var next []*systemState
	step := func(f func(*systemState)) {
		c := st.clone()
		f(c)
		next = append(next, c)
	}
	for i := range st.network {
		step(func(c *systemState) { c.deliver(i, false) })
		if st.duplicates > 0 {
			step(func(c *systemState) { c.deliver(i, true) })
		}
	}
	for i := range st.attempts {
		st.attemptSteps(i, step)
	}
	stable := st.scenario.stableBeforeStart && st.started()
	if st.restarts > 0 && !stable {
		for _, n := range st.scenario.restartableNodes {
			step(func(c *systemState) { c.restart(n) })
		}
	}
	for _, n := range st.scenario.adoptingNodes {
		if !stable && st.nodes[n].views.Epoch() < st.newest().Current.Epoch {
			step(func(c *systemState) { c.adopt(n) })
		}
	}
	if st.statuses > 0 && !stable {
		for _, q := range st.scenario.statusQueries {
			step(func(c *systemState) { c.query(q[0], q[1]) })
		}
	}
	if st.clock+1 < len(st.scenario.times) && (len(st.scenario.adoptingNodes) == 0 || !st.started()) {
		step(func(c *systemState) { c.clock++ })
	}
	return next
}

// started reports whether an attempt has started. In scenarios with adopting nodes
// the clock does not advance from then on, which limits the number of states.
func (st *systemState) started() bool {
	return slices.ContainsFunc(st.attempts, func(a attempt) bool { return a.claim != nil })
}

// attemptSteps adds the steps that attempt i can take without receiving a message.
func (st *systemState) attemptSteps(i int, step func(func(*systemState))) {
	a := &st.attempts[i]
	if a.claim == nil {
		if !a.stopped && st.nodes[st.scenario.ownerNodes[i]].views.Ready() {
			step(func(c *systemState) { c.start(i) })
		}
		return
	}
	if a.stopped {
		return
	}
	switch a.claim.phase {
	case acquiring:
		if st.failures > 0 && (i == 0 || st.scenario.failingHost == "") {
			for _, s := range a.claim.holders {
				if s.unanswered() && (st.scenario.failingHost == "" || st.scenario.failingHost == s.name) {
					step(func(c *systemState) { c.fail(i, s.name) })
				}
			}
		}
	case backingOff:
		if int(a.claim.round) < st.scenario.rounds[i] {
			step(func(c *systemState) { c.perform(i, c.writeClaim(i).HandleTimer()) })
		}
	case won:
		step(func(c *systemState) { c.send(i) })
	case sent:
		if !a.stored && !st.scenario.skipStore {
			step(func(c *systemState) { c.store(i) })
		}
	}
	if st.scenario.canAbort[i] && a.claim.phase != ended && (!a.claim.Sent() || st.disabled.sentBeforeRelease) {
		step(func(c *systemState) { c.perform(i, c.writeClaim(i).Abort(problem.DeadlineExceeded)) })
	}
}

func (st *systemState) start(i int) {
	host := st.scenario.ownerNodes[i]
	v := st.nodes[host].views
	c := New(Config{
		Key:        st.key(),
		Owner:      Owner{Host: st.scenario.nodes[host], Incarnation: st.nodes[host].incarnation, Request: string(rune('0' + i))},
		Digest:     st.scenario.digests[i],
		Epoch:      v.Epoch(),
		Quorums:    v.Quorums(st.key()),
		Arrived:    baseTime,
		Deadline:   baseTime.Add(1000 * time.Hour),
		BackoffMin: time.Millisecond,
		BackoffMax: time.Second,
	}, constantRand)
	c.disabled = st.disabled
	st.attempts[i].claim = c
	for j, other := range st.attempts {
		if other.sent && st.scenario.digests[j] == st.scenario.digests[i] {
			st.attempts[i].sentBefore = true
		}
	}
	if st.scenario.stableBeforeStart {
		st.fixViews()
	}
	st.perform(i, c.Start())
}

// fixViews ends all exchange about host lists and drops the statuses in flight.
func (st *systemState) fixViews() {
	st.restarts, st.statuses = 0, 0
	st.network = slices.DeleteFunc(st.network, func(m message) bool {
		_, ok := m.payload.(Status)
		return ok
	})
	for i := range st.nodes {
		st.nodes[i].viewsFixed, st.nodes[i].viewsHash = true, 0
	}
}

func (st *systemState) fail(i int, holder string) {
	st.failures--
	c := st.writeClaim(i)
	st.perform(i, c.HandleUnreachable(st.now(st.scenario.ownerNodes[i]), holder, c.round))
}

func (st *systemState) send(i int) {
	if st.writeClaim(i).Send(st.now(st.scenario.ownerNodes[i])) {
		st.checkSent(i)
	}
}

func (st *systemState) store(i int) {
	st.attempts[i].stored = true
	st.perform(i, st.writeClaim(i).Store(Record{Result: []byte{byte(i)}}))
}

// deliver delivers message i. If duplicate is set, the message also remains on the
// network.
func (st *systemState) deliver(i int, duplicate bool) {
	m := st.network[i]
	if duplicate {
		st.duplicates--
	} else {
		st.network = append(st.network[:i:i], st.network[i+1:]...)
	}
	switch p := m.payload.(type) {
	case Acquire:
		r := st.writeHolder(m.to).Acquire(st.env(m.to), p)
		if st.scenario.atomicCalls[m.attempt] && (m.attempt != 0 || r.Holder != st.scenario.asyncHolder) {
			st.handleReply(m.attempt, r)
			return
		}
		if !st.attempts[m.attempt].stopped {
			st.enqueue(message{to: m.attempt, attempt: m.attempt, payload: r})
		}
	case Release:
		st.writeHolder(m.to).Release(st.env(m.to), p)
	case Store:
		st.writeHolder(m.to).Store(st.env(m.to), p) // The reply is ignored: it changes no checked state.
	case Void:
		r := st.writeHolder(m.to).Void(st.env(m.to), p)
		if !st.attempts[m.attempt].stopped {
			st.checkVoid(m.attempt, r)
		}
	case Reply:
		st.handleReply(m.attempt, p)
	case Status:
		st.writeViews(m.to).HandleStatus(p)
	}
}

func (st *systemState) handleReply(i int, r Reply) {
	if !st.attempts[i].stopped {
		st.perform(i, st.writeClaim(i).HandleReply(st.now(st.scenario.ownerNodes[i]), r))
	}
}

// restart ends a process and starts a new one with the node's start lineage. In a
// scenario without adopting nodes, the new process syncs immediately.
func (st *systemState) restart(n int) {
	st.restarts--
	for i, host := range st.scenario.ownerNodes {
		if host == n && st.attempts[i].claim != nil {
			st.attempts[i].stopped = true
		}
	}
	st.nodes[n].skew = st.scenario.restartSkew
	st.startNode(n, st.now(n), st.scenario.startLineages[n])
	if len(st.scenario.adoptingNodes) > 0 {
		return
	}
	for i := range st.nodes {
		st.writeViews(i)
	}
	st.exchangeAll()
	st.exchangeAll()
	var offsets []time.Duration
	for i := range st.nodes {
		if i != n {
			offsets = append(offsets, st.nodes[i].skew-st.nodes[n].skew)
		}
	}
	st.nodes[n].views.SetClockOffsets(offsets)
}

func (st *systemState) newest() Lineage { return st.scenario.lineages[len(st.scenario.lineages)-1] }

func (st *systemState) adopt(n int) {
	if err := st.writeViews(n).Adopt(st.now(n), st.newest()); err != nil {
		st.violation = err.Error()
	}
}

// query passes the status of node from to peer, whose reply is delivered later.
func (st *systemState) query(from, peer int) {
	st.statuses--
	p := st.writeViews(peer)
	p.HandleStatus(st.nodes[from].views.Status())
	st.enqueue(message{to: from, payload: p.Status()})
}
