package claim

import (
	"slices"
	"time"

	"github.com/wheatseam/wheatseam/problem"
)

// steps returns every state that can follow w.
func (w *systemState) steps() []*systemState {
	var next []*systemState
	step := func(f func(*systemState)) {
		c := w.clone()
		f(c)
		next = append(next, c)
	}
	for i := range w.network {
		step(func(c *systemState) { c.deliver(i, false) })
		if w.duplicates > 0 {
			step(func(c *systemState) { c.deliver(i, true) })
		}
	}
	for i := range w.attempts {
		w.attemptSteps(i, step)
	}
	stable := w.scenario.stableBeforeStart && w.started()
	if w.restarts > 0 && !stable {
		for _, n := range w.scenario.restartableNodes {
			step(func(c *systemState) { c.restart(n) })
		}
	}
	for _, n := range w.scenario.adoptingNodes {
		if !stable && w.nodes[n].views.Epoch() < w.newest().Current.Epoch {
			step(func(c *systemState) { c.adopt(n) })
		}
	}
	if w.statuses > 0 && !stable {
		for _, q := range w.scenario.statusQueries {
			step(func(c *systemState) { c.query(q[0], q[1]) })
		}
	}
	if w.clock+1 < len(w.scenario.times) && (len(w.scenario.adoptingNodes) == 0 || !w.started()) {
		step(func(c *systemState) { c.clock++ })
	}
	return next
}

// started says that an attempt has begun. Time stands still from then on in the
// scenarios about host lists, whose states would be too many.
func (w *systemState) started() bool {
	return slices.ContainsFunc(w.attempts, func(a attempt) bool { return a.claim != nil })
}

// attemptSteps are those that attempt i may take on its own.
func (w *systemState) attemptSteps(i int, step func(func(*systemState))) {
	a := &w.attempts[i]
	if a.claim == nil {
		if !a.stopped && w.nodes[w.scenario.ownerNodes[i]].views.Ready() {
			step(func(c *systemState) { c.start(i) })
		}
		return
	}
	if a.stopped {
		return
	}
	switch a.claim.phase {
	case acquiring:
		if w.failures > 0 && (i == 0 || w.scenario.failingHost == "") {
			for _, s := range a.claim.holders {
				if s.unanswered() && (w.scenario.failingHost == "" || w.scenario.failingHost == s.name) {
					step(func(c *systemState) { c.fail(i, s.name) })
				}
			}
		}
	case backingOff:
		if int(a.claim.round) < w.scenario.rounds[i] {
			step(func(c *systemState) { c.perform(i, c.writeClaim(i).Timer()) })
		}
	case won:
		step(func(c *systemState) { c.send(i) })
	case sent:
		if !a.stored && !w.scenario.skipStore {
			step(func(c *systemState) { c.store(i) })
		}
	}
	if w.scenario.canGiveUp[i] && a.claim.phase != ended && (!a.claim.Sent() || w.disabled.sentBeforeRelease) {
		step(func(c *systemState) { c.perform(i, c.writeClaim(i).GiveUp(problem.DeadlineExceeded)) })
	}
}

func (w *systemState) start(i int) {
	host := w.scenario.ownerNodes[i]
	v := w.nodes[host].views
	c := New(Config{
		Key:        w.key(),
		Owner:      Owner{Host: w.scenario.nodes[host], Incarnation: w.nodes[host].incarnation, Request: string(rune('0' + i))},
		Digest:     w.scenario.digests[i],
		Epoch:      v.Epoch(),
		Quorums:    v.Quorums(w.key()),
		Arrived:    baseTime,
		Deadline:   baseTime.Add(1000 * time.Hour),
		BackoffMin: time.Millisecond,
		BackoffMax: time.Second,
	}, constantRand)
	c.disabled = w.disabled
	w.attempts[i].claim = c
	for j, other := range w.attempts {
		if other.sent && w.scenario.digests[j] == w.scenario.digests[i] {
			w.attempts[i].sentBefore = true
		}
	}
	if w.scenario.stableBeforeStart {
		w.fixViews()
	}
	w.perform(i, c.Start())
}

// freeze ends all exchange about host lists: what is under way is lost.
func (w *systemState) fixViews() {
	w.restarts, w.statuses = 0, 0
	w.network = slices.DeleteFunc(w.network, func(m message) bool {
		_, ok := m.payload.(Status)
		return ok
	})
	for i := range w.nodes {
		w.nodes[i].viewsFixed, w.nodes[i].viewsHash = true, 0
	}
}

func (w *systemState) fail(i int, holder string) {
	w.failures--
	c := w.writeClaim(i)
	w.perform(i, c.Unreachable(w.now(w.scenario.ownerNodes[i]), holder, c.round))
}

func (w *systemState) send(i int) {
	if w.writeClaim(i).Send(w.now(w.scenario.ownerNodes[i])) {
		w.checkSent(i)
	}
}

func (w *systemState) store(i int) {
	w.attempts[i].stored = true
	w.perform(i, w.writeClaim(i).Store(Record{Result: []byte{byte(i)}}))
}

// deliver hands message i over; a duplicated one stays on the network.
func (w *systemState) deliver(i int, duplicate bool) {
	m := w.network[i]
	if duplicate {
		w.duplicates--
	} else {
		w.network = append(w.network[:i:i], w.network[i+1:]...)
	}
	switch p := m.payload.(type) {
	case Ask:
		r := w.writeHolder(m.to).Ask(w.env(m.to), p)
		if w.scenario.atomicCalls[m.owner] && (m.owner != 0 || r.Holder != w.scenario.asyncHolder) {
			w.answer(m.owner, r)
			return
		}
		if !w.attempts[m.owner].stopped {
			w.enqueue(message{to: m.owner, owner: m.owner, payload: r})
		}
	case Release:
		w.writeHolder(m.to).Release(w.env(m.to), p)
	case Store:
		w.writeHolder(m.to).Store(w.env(m.to), p) // Its answer decides nothing here.
	case Void:
		r := w.writeHolder(m.to).Void(w.env(m.to), p)
		if !w.attempts[m.owner].stopped {
			w.checkVoid(m.owner, r)
		}
	case Reply:
		w.answer(m.owner, p)
	case Status:
		w.writeViews(m.to).Hear(p)
	}
}

func (w *systemState) answer(i int, r Reply) {
	if !w.attempts[i].stopped {
		w.perform(i, w.writeClaim(i).Reply(w.now(w.scenario.ownerNodes[i]), r))
	}
}

// restart ends a process and starts the next one, which finds the oldest
// lineage. Without adopters in the scenario, it catches up at once.
func (w *systemState) restart(n int) {
	w.restarts--
	for i, host := range w.scenario.ownerNodes {
		if host == n && w.attempts[i].claim != nil {
			w.attempts[i].stopped = true
		}
	}
	w.nodes[n].skew = w.scenario.restartSkew
	w.startNode(n, w.now(n), w.scenario.startLineages[n])
	if len(w.scenario.adoptingNodes) > 0 {
		return
	}
	for i := range w.nodes {
		w.writeViews(i)
	}
	w.exchangeAll()
	w.exchangeAll()
	var offsets []time.Duration
	for i := range w.nodes {
		if i != n {
			offsets = append(offsets, w.nodes[i].skew-w.nodes[n].skew)
		}
	}
	w.nodes[n].views.SetClock(offsets)
}

func (w *systemState) newest() Lineage { return w.scenario.lineages[len(w.scenario.lineages)-1] }

func (w *systemState) adopt(n int) {
	if err := w.writeViews(n).Adopt(w.now(n), w.newest()); err != nil {
		w.violation = err.Error()
	}
}

// query has asker send its status to peer, whose answer comes later.
func (w *systemState) query(asker, peer int) {
	w.statuses--
	p := w.writeViews(peer)
	p.Hear(w.nodes[asker].views.Status())
	w.enqueue(message{to: asker, payload: p.Status()})
}
