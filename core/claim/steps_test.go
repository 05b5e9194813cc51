package claim

import (
	"slices"
	"time"

	"github.com/wheatseam/wheatseam/problem"
)

// steps returns every state that can follow w.
func (w *world) steps() []*world {
	var next []*world
	step := func(f func(*world)) {
		c := w.clone()
		f(c)
		next = append(next, c)
	}
	for i := range w.net {
		step(func(c *world) { c.deliver(i, false) })
		if w.duplicates > 0 {
			step(func(c *world) { c.deliver(i, true) })
		}
	}
	for i := range w.attempts {
		w.attemptSteps(i, step)
	}
	quiet := w.sc.quietStart && w.started()
	if w.restarts > 0 && !quiet {
		for _, n := range w.sc.restartable {
			step(func(c *world) { c.restart(n) })
		}
	}
	for _, n := range w.sc.adopters {
		if !quiet && w.nodes[n].views.Epoch() < w.newest().Current.Epoch {
			step(func(c *world) { c.adopt(n) })
		}
	}
	if w.statuses > 0 && !quiet {
		for _, q := range w.sc.queries {
			step(func(c *world) { c.query(q[0], q[1]) })
		}
	}
	if w.clock+1 < len(w.sc.times) && (len(w.sc.adopters) == 0 || !w.started()) {
		step(func(c *world) { c.clock++ })
	}
	return next
}

// started says that an attempt has begun. Time stands still from then on in the
// scenarios about host lists, whose states would be too many.
func (w *world) started() bool {
	return slices.ContainsFunc(w.attempts, func(a attempt) bool { return a.claim != nil })
}

// attemptSteps are those that attempt i may take on its own.
func (w *world) attemptSteps(i int, step func(func(*world))) {
	a := &w.attempts[i]
	if a.claim == nil {
		if !a.dead && w.nodes[w.sc.owners[i]].views.Ready() {
			step(func(c *world) { c.start(i) })
		}
		return
	}
	if a.dead {
		return
	}
	switch a.claim.phase {
	case asking:
		if w.failures > 0 && (i == 0 || w.sc.failing == "") {
			for _, s := range a.claim.slots {
				if s.pending() && (w.sc.failing == "" || w.sc.failing == s.holder) {
					step(func(c *world) { c.fail(i, s.holder) })
				}
			}
		}
	case backingOff:
		if int(a.claim.round) < w.sc.rounds[i] {
			step(func(c *world) { c.carryOut(i, c.writeClaim(i).HandleTimer()) })
		}
	case won:
		step(func(c *world) { c.send(i) })
	case sent:
		if !a.stored && !w.sc.noStore {
			step(func(c *world) { c.store(i) })
		}
	}
	if w.sc.givesUp[i] && a.claim.phase != ended && (!a.claim.Sent() || w.off.noSentCheck) {
		step(func(c *world) { c.carryOut(i, c.writeClaim(i).Abort(problem.DeadlineExceeded)) })
	}
}

func (w *world) start(i int) {
	host := w.sc.owners[i]
	v := w.nodes[host].views
	c := New(Config{
		Key:        w.key(),
		Owner:      Owner{Host: w.sc.nodes[host], Incarnation: w.nodes[host].incarnation, Request: string(rune('0' + i))},
		Digest:     w.sc.digests[i],
		Epoch:      v.Epoch(),
		Quorums:    v.Quorums(w.key()),
		Arrived:    base,
		Deadline:   base.Add(1000 * time.Hour),
		BackoffMin: time.Millisecond,
		BackoffMax: time.Second,
	}, constantRand)
	c.off = w.off
	w.attempts[i].claim = c
	for j, other := range w.attempts {
		if other.sent && w.sc.digests[j] == w.sc.digests[i] {
			w.attempts[i].sentBefore = true
		}
	}
	if w.sc.quietStart {
		w.freeze()
	}
	w.carryOut(i, c.Start())
}

// freeze ends all exchange about host lists: what is under way is lost.
func (w *world) freeze() {
	w.restarts, w.statuses = 0, 0
	w.net = slices.DeleteFunc(w.net, func(m message) bool {
		_, ok := m.payload.(Status)
		return ok
	})
	for i := range w.nodes {
		w.nodes[i].frozen, w.nodes[i].viewsHash = true, 0
	}
}

func (w *world) fail(i int, holder string) {
	w.failures--
	c := w.writeClaim(i)
	w.carryOut(i, c.HandleUnreachable(w.now(w.sc.owners[i]), holder, c.round))
}

func (w *world) send(i int) {
	if w.writeClaim(i).Send(w.now(w.sc.owners[i])) {
		w.checkSent(i)
	}
}

func (w *world) store(i int) {
	w.attempts[i].stored = true
	w.carryOut(i, w.writeClaim(i).Store(Record{Result: []byte{byte(i)}}))
}

// deliver hands message i over; a duplicated one stays on the network.
func (w *world) deliver(i int, duplicate bool) {
	m := w.net[i]
	if duplicate {
		w.duplicates--
	} else {
		w.net = append(w.net[:i:i], w.net[i+1:]...)
	}
	switch p := m.payload.(type) {
	case Acquire:
		r := w.writeHolder(m.to).Acquire(w.env(m.to), p)
		if w.sc.atomicCalls[m.owner] && (m.owner != 0 || r.Holder != w.sc.late) {
			w.answer(m.owner, r)
			return
		}
		if !w.attempts[m.owner].dead {
			w.post(message{to: m.owner, owner: m.owner, payload: r})
		}
	case Release:
		w.writeHolder(m.to).Release(w.env(m.to), p)
	case Store:
		w.writeHolder(m.to).Store(w.env(m.to), p) // Its answer decides nothing here.
	case Void:
		r := w.writeHolder(m.to).Void(w.env(m.to), p)
		if !w.attempts[m.owner].dead {
			w.checkVoid(m.owner, r)
		}
	case Reply:
		w.answer(m.owner, p)
	case Status:
		w.writeViews(m.to).HandleStatus(p)
	}
}

func (w *world) answer(i int, r Reply) {
	if !w.attempts[i].dead {
		w.carryOut(i, w.writeClaim(i).HandleReply(w.now(w.sc.owners[i]), r))
	}
}

// restart ends a process and starts the next one, which finds the oldest
// lineage. Without adopters in the scenario, it catches up at once.
func (w *world) restart(n int) {
	w.restarts--
	for i, host := range w.sc.owners {
		if host == n && w.attempts[i].claim != nil {
			w.attempts[i].dead = true
		}
	}
	w.nodes[n].skew = w.sc.restartSkew
	w.boot(n, w.now(n), w.sc.starts[n])
	if len(w.sc.adopters) > 0 {
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
	w.nodes[n].views.SetClockOffsets(offsets)
}

func (w *world) newest() Lineage { return w.sc.lineages[len(w.sc.lineages)-1] }

func (w *world) adopt(n int) {
	if err := w.writeViews(n).Adopt(w.now(n), w.newest()); err != nil {
		w.violation = err.Error()
	}
}

// query has asker send its status to peer, whose answer comes later.
func (w *world) query(asker, peer int) {
	w.statuses--
	p := w.writeViews(peer)
	p.HandleStatus(w.nodes[asker].views.Status())
	w.post(message{to: asker, payload: p.Status()})
}
