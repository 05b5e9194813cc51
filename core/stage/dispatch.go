package stage

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

func sortReplicas(rs []*replica) {
	slices.SortFunc(rs, func(a, b *replica) int { return strings.Compare(a.ID, b.ID) })
}

// group is the queued pieces of one stage of a job. They are made in one call
// where that can hold them: the stage is complete with its last piece only.
type group struct {
	job    *job
	stage  int
	pieces []*piece
	// late says that the job cannot be on time any more.
	late bool
	// home is the failure domain in which the pieces are best made.
	home string
}

// bytes is the size of all results of the group.
func (g *group) bytes() int64 {
	return int64(len(g.pieces)) * g.job.Stages[g.stage].ResultBytes
}

// order returns the queue of a service in groups: jobs that can be on time
// first, then by rank.
func (s *service) order(now time.Time) []*group {
	type key struct {
		job   *job
		stage int
	}
	groups := make(map[key]*group, len(s.queue))
	var out []*group
	for _, p := range s.queue {
		k := key{p.job, p.stage}
		g := groups[k]
		if g == nil {
			slack, _ := p.job.slack(now)
			g = &group{job: p.job, stage: p.stage, late: slack < 0, home: p.job.home(p.stage)}
			groups[k] = g
			out = append(out, g)
		}
		g.pieces = append(g.pieces, p)
	}
	slices.SortFunc(out, func(a, b *group) int {
		if a.late != b.late {
			if a.late {
				return 1
			}
			return -1
		}
		if c := a.job.rank.Compare(b.job.rank); c != 0 {
			return c
		}
		return cmp.Or(cmp.Compare(a.job.seq, b.job.seq), cmp.Compare(a.stage, b.stage))
	})
	return out
}

// dispatch calls idle replicas while there is work that should not wait.
func (m *Machine) dispatch(now time.Time, s *service) {
	for len(s.queue) > 0 {
		idle := s.idleReplicas(now)
		if len(idle) == 0 {
			return
		}
		if !m.dispatchOne(now, s, idle) {
			return
		}
	}
}

func (s *service) idleReplicas(now time.Time) []*replica {
	var idle []*replica
	for _, r := range s.replicas {
		if r.idle(now) {
			idle = append(idle, r)
		}
	}
	return idle
}

// dispatchOne makes one call and says whether it did.
func (m *Machine) dispatchOne(now time.Time, s *service, idle []*replica) bool {
	queue := s.order(now)
	ahead := map[string]int{}
	for i, g := range queue {
		r := m.choose(now, s, g, idle, ahead[g.home])
		if r == nil {
			ahead[g.home] += len(g.pieces)
			continue
		}
		limit := s.chunk(queue[i:], len(idle), m.cfg.SplitShare)
		m.run(now, r, m.fill(now, s, r, queue[i:], limit))
		return true
	}
	return false
}

// chunk is the number of pieces of the next call: work is split over the idle
// replicas once each has pieces for a good share of a call's fixed time.
func (s *service) chunk(queue []*group, idle int, splitShare float64) int {
	waiting := 0
	for _, g := range queue {
		waiting += len(g.pieces)
	}
	least := 1
	if s.figures.PieceTime > 0 {
		least = int(float64(s.figures.CallTime)*splitShare/float64(s.figures.PieceTime)) + 1
	}
	each := (waiting + idle - 1) / idle
	return min(s.figures.Batch, max(each, least))
}

// choose returns the idle replica for a group, or nil when waiting for one of
// its home is better, or none has room. ahead is the number of pieces that wait
// for that domain before this group.
func (m *Machine) choose(now time.Time, s *service, g *group, idle []*replica, ahead int) *replica {
	var home, other *replica
	load := m.readerLoad(now, g)
	for _, r := range idle {
		if !r.fits(now, s.firstBytes(g)) || r.has(g.pieces[0]) {
			continue
		}
		if g.home == "" || r.FailureDomain == g.home {
			home = better(home, r, load)
		} else {
			other = better(other, r, load)
		}
	}
	if home != nil {
		return home
	}
	if other != nil && s.homeWait(now, g, ahead) > m.crossing(now, g) {
		return other
	}
	return nil
}

// firstBytes is the size of what a call takes of a group at once: all of it
// unless a call or a replica's room cannot hold that.
func (s *service) firstBytes(g *group) int64 {
	each := g.job.Stages[g.stage].ResultBytes
	n := int64(min(len(g.pieces), s.figures.Batch)) * each
	if s.figures.RoomBytes > 0 && n > s.figures.RoomBytes {
		return each
	}
	return n
}

// has says whether a running call at r has the piece.
func (r *replica) has(p *piece) bool {
	if p.calls == 0 {
		return false
	}
	for _, c := range r.calls {
		if slices.Contains(c.pieces, p) {
			return true
		}
	}
	return false
}

// better returns the replica with the better pace, then in the failure domain
// with less work for the readers of the results, then with fewer bytes held.
func better(a, b *replica, load map[string]float64) *replica {
	switch {
	case a == nil:
		return b
	case b == nil:
		return a
	}
	const notable = 1.3 // paces closer than this count as equal
	switch {
	case b.pace*notable < a.pace:
		return b
	case a.pace*notable < b.pace:
		return a
	}
	if c := cmp.Or(cmp.Compare(load[a.FailureDomain], load[b.FailureDomain]), cmp.Compare(a.used, b.used)); c > 0 {
		return b
	}
	return a
}

// readerLoad returns, for each failure domain, the pieces that wait or will
// wait there for each replica of the service that reads the group's results.
// It is nil when no stage reads them: then the domain does not matter.
func (m *Machine) readerLoad(now time.Time, g *group) map[string]float64 {
	readers := g.job.stages[g.stage].readers
	if len(readers) == 0 {
		return nil
	}
	reader := g.job.stages[readers[0]].service
	if reader == nil {
		return nil
	}
	load := map[string]float64{}
	for _, j := range m.jobs {
		for i := range j.stages {
			st := &j.stages[i]
			if st.service == reader && st.left > 0 {
				load[j.comesTo(i)] += float64(st.left)
			}
		}
	}
	replicas := reader.usableByDomain(now)
	for domain := range load {
		load[domain] /= float64(max(1, replicas[domain]))
	}
	const unserved = 1e9 // a domain without a replica of the reader comes last
	for _, r := range g.job.stages[g.stage].service.replicas {
		if replicas[r.FailureDomain] == 0 {
			load[r.FailureDomain] = unserved
		}
	}
	return load
}

// crossing is the wait that is better than to let a group's bytes cross failure
// domains, both what it reads and what its readers will: longer the more bytes
// there are, and never so long that the job is late for it.
func (m *Machine) crossing(now time.Time, g *group) time.Duration {
	worth := time.Duration(float64(g.job.moved(g.stage)) / m.cfg.CrossingRate * float64(time.Millisecond))
	slack, calls := g.job.slack(now)
	return min(worth, time.Duration(m.cfg.SlackShare*float64(slack))/time.Duration(max(1, calls)))
}

// never is the wait for a domain without a usable replica.
const never = time.Hour

// homeWait is the expected wait for a replica of the group's home.
func (s *service) homeWait(now time.Time, g *group, ahead int) time.Duration {
	wait, usable := never, 0
	for _, r := range s.replicas {
		if r.FailureDomain != g.home || !r.usable(now) {
			continue
		}
		usable++
		w := r.freeAt(now).Sub(now)
		if !r.fits(now, s.firstBytes(g)) {
			w += s.callTime(s.figures.Batch)
		}
		wait = min(wait, w)
	}
	if usable == 0 {
		return never
	}
	rounds := ahead / (usable * s.figures.Batch)
	return wait + time.Duration(rounds)*s.callTime(s.figures.Batch)
}

// fill collects the pieces of a call to r, best groups first, about limit of
// them: whole groups as long as the call can hold them.
func (m *Machine) fill(now time.Time, s *service, r *replica, queue []*group, limit int) []*piece {
	var pieces []*piece
	var bytes int64
	for i, g := range queue {
		if len(pieces) >= limit {
			break
		}
		space := s.figures.Batch - len(pieces)
		if i > 0 && (len(g.pieces) > space || !r.fits(now, bytes+g.bytes()) || m.waitsForHome(now, s, r, g)) {
			continue
		}
		for _, p := range g.pieces[:min(len(g.pieces), space)] {
			if r.has(p) || len(pieces) > 0 && !r.fits(now, bytes+p.bytes()) {
				continue
			}
			pieces = append(pieces, p)
			bytes += p.bytes()
		}
	}
	return pieces
}

// waitsForHome says whether a group that could join a call to r is better made
// in its home a little later.
func (m *Machine) waitsForHome(now time.Time, s *service, r *replica, g *group) bool {
	return g.home != "" && g.home != r.FailureDomain && s.homeWait(now, g, 0) <= m.crossing(now, g)
}

// run makes a call.
func (m *Machine) run(now time.Time, r *replica, pieces []*piece) {
	m.nextID++
	s := r.service
	expected := time.Duration(max(s.pace, 1) * float64(s.nominal(len(pieces))))
	c := &call{
		id: m.nextID, replica: r, pieces: pieces, started: now,
		ends:    now.Add(s.callTime(len(pieces))),
		overdue: now.Add(time.Duration(m.cfg.OverdueFactor*float64(expected)) + m.cfg.OverdueSlack),
	}
	m.calls[c.id] = c
	r.calls = append(r.calls, c)
	a := Run{
		Call: c.id, Service: s.name, Replica: r.ID, Address: r.Address,
		Timeout: time.Duration(m.cfg.TimeoutFactor*float64(expected)) + m.cfg.TimeoutSlack,
	}
	for _, p := range pieces {
		s.remove(p)
		p.state = running
		p.calls++
		p.at = r
		p.job.stages[p.stage].startedAt = now
		r.used += p.bytes()
		a.Pieces = append(a.Pieces, p.request(now))
	}
	m.act(a)
}

// request is the piece as a replica is asked for it.
func (p *piece) request(now time.Time) Piece {
	j := p.job
	out := Piece{Job: j.ID, Stage: p.stage, Index: p.index, Left: j.Deadline.Sub(now)}
	if len(j.Stages[p.stage].After) == 0 {
		out.Key = j.Key
	} else {
		out.Inputs = j.inputs(p.stage)
	}
	return out
}

// NextTick returns when the next Tick is due, if no event comes before, and
// false when none is.
func (m *Machine) NextTick(now time.Time) (time.Time, bool) {
	var next time.Time
	consider := func(t time.Time) {
		if t.After(now) && (next.IsZero() || t.Before(next)) {
			next = t
		}
	}
	for _, c := range m.calls {
		if !c.given {
			consider(c.overdue)
		}
	}
	for _, j := range m.jobs {
		if !j.ready {
			consider(j.Deadline)
		}
	}
	for _, s := range m.services {
		if len(s.queue) == 0 {
			continue
		}
		for _, r := range s.replicas {
			consider(r.busy)
			consider(r.suspect)
			consider(r.noRoom)
		}
		// A piece may wait for its own domain until crossing is better.
		consider(now.Add(m.cfg.BusyWait))
	}
	return next, !next.IsZero()
}
