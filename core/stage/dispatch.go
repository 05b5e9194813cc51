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

// pass is one pass over the queue of a service.
type pass struct {
	now    time.Time
	s      *service
	groups []*group
	idle   []*replica
	// ahead counts, by home, the pieces that wait there before the group that
	// is looked at.
	ahead map[string]int
}

// dispatch calls idle replicas while there is work that should not wait.
func (m *Machine) dispatch(now time.Time, s *service) {
	if len(s.queue.groups) == 0 || now.Before(s.passDue()) {
		return
	}
	s.passed(now, m.cfg.BusyWait)
	idle := s.idleReplicas(now)
	if len(idle) == 0 {
		return
	}
	ps := &pass{now: now, s: s, groups: s.queue.order(now), idle: idle, ahead: map[string]int{}}
	for i := 0; i < len(ps.groups) && len(ps.idle) > 0; {
		g := ps.groups[i]
		if len(g.pieces) == 0 {
			i++
			continue
		}
		r := m.choose(ps, g)
		if r == nil {
			ps.ahead[g.home] += len(g.pieces)
			i++
			continue
		}
		m.run(now, r, m.fill(ps, r, ps.groups[i:]))
		ps.idle = slices.DeleteFunc(ps.idle, func(o *replica) bool { return !o.idle(now) })
	}
	s.queue.compact()
}

// passDue returns when the next pass is due: at once after something happened that
// may allow a call, but not too often.
func (s *service) passDue() time.Time {
	if s.dirty {
		return s.lastPass.Add(pauseFor(len(s.queue.groups)))
	}
	return s.nextPass
}

// passed notes a pass, and when the next one is due though nothing happens: a
// replica may be called again, or a piece that waits for its own domain may cross.
func (s *service) passed(now time.Time, wait time.Duration) {
	s.dirty, s.lastPass = false, now
	s.nextPass = now.Add(max(wait, pauseFor(len(s.queue.groups))))
	for _, r := range s.replicas {
		for _, t := range [...]time.Time{r.busy, r.suspect, r.noRoom, r.gate.Opens(now)} {
			if t.After(now) && t.Before(s.nextPass) {
				s.nextPass = t
			}
		}
	}
}

// idleReplicas returns the replicas that may be called now. Slow ones are left
// out unless half of the usable ones are.
func (s *service) idleReplicas(now time.Time) []*replica {
	var idle, slow []*replica
	usable, slowUsable := 0, 0
	for _, r := range s.replicas {
		if !r.usable(now) {
			continue
		}
		usable++
		isSlow := r.slow(now)
		if isSlow {
			slowUsable++
		}
		switch {
		case !r.idle(now):
		case isSlow:
			slow = append(slow, r)
		default:
			idle = append(idle, r)
		}
	}
	if 2*slowUsable >= usable {
		idle = append(idle, slow...)
	}
	return idle
}

// chunk is the number of pieces of the next call: work is split over the idle
// replicas once each has pieces for a good share of a call's fixed time.
func (ps *pass) chunk(splitShare float64) int {
	f := ps.s.figures
	least := 1
	if f.PieceTime > 0 {
		least = int(float64(f.CallTime)*splitShare/float64(f.PieceTime)) + 1
	}
	each := (ps.s.queue.pieces + len(ps.idle) - 1) / len(ps.idle)
	return min(f.Batch, max(each, least))
}

// choose returns the idle replica for a group, or nil when waiting for one of
// its home is better, or none has room.
func (m *Machine) choose(ps *pass, g *group) *replica {
	var home, other *replica
	load := m.readerLoad(ps.now, g)
	for _, r := range ps.idle {
		if !r.fits(ps.now, ps.s.firstBytes(g)) || r.has(g.pieces[0]) {
			continue
		}
		if g.home == "" || r.FailureDomain == g.home {
			home = better(ps.now, home, r, load)
		} else {
			other = better(ps.now, other, r, load)
		}
	}
	if home != nil {
		return home
	}
	if other != nil && ps.s.homeWait(ps.now, g, ps.ahead[g.home]) > m.crossing(g) {
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
func better(now time.Time, a, b *replica, load map[string]float64) *replica {
	switch {
	case a == nil:
		return b
	case b == nil:
		return a
	}
	const notable = 1.3 // paces closer than this count as equal
	switch {
	case b.paceNow(now)*notable < a.paceNow(now):
		return b
	case a.paceNow(now)*notable < b.paceNow(now):
		return a
	}
	if c := cmp.Or(cmp.Compare(load[a.FailureDomain], load[b.FailureDomain]), cmp.Compare(a.used, b.used)); c > 0 {
		return b
	}
	return a
}

// readerLoad returns, for each failure domain, the pieces that wait or will
// wait there for each replica of the service that reads the group's results.
// It is nil when no stage reads them: then the domain does not matter. It depends on
// the reading service alone, as services whose results that one reads share it.
func (m *Machine) readerLoad(now time.Time, g *group) map[string]float64 {
	reader := g.job.reader(g.stage)
	if reader == nil {
		return nil
	}
	if reader.load != nil && now.Before(reader.loadAt.Add(pauseFor(len(m.jobs)))) {
		return reader.load
	}
	load := map[string]float64{}
	reader.load, reader.loadAt = load, now
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
	for _, r := range m.replicas {
		if replicas[r.FailureDomain] == 0 {
			load[r.FailureDomain] = unserved
		}
	}
	return load
}

// reader returns the service that reads the results of stage i; nil when no
// other stage does.
func (j *job) reader(i int) *service {
	readers := j.stages[i].readers
	if len(readers) == 0 {
		return nil
	}
	return j.stages[readers[0]].service
}

// comeTo counts the work for the readers of a group that is made in a domain.
func (g *group) comeTo(domain string) {
	reader := g.job.reader(g.stage)
	if reader == nil || reader.load == nil {
		return
	}
	each := max(1, len(reader.replicas)/max(1, reader.domains))
	reader.load[domain] += float64(g.job.stages[g.job.stages[g.stage].readers[0]].left) / float64(each)
}

// crossing is the wait that is better than to let a group's bytes cross failure
// domains, both what it reads and what its readers will: longer the more bytes
// there are, and never so long that the job is late for it.
func (m *Machine) crossing(g *group) time.Duration {
	worth := time.Duration(float64(g.job.moved(g.stage)) / m.cfg.CrossingRate * float64(time.Millisecond))
	return min(worth, time.Duration(m.cfg.SlackShare*float64(g.slack))/time.Duration(max(1, g.calls)))
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

// fill takes the pieces of a call to r out of the groups, best first: whole
// groups as long as the call can hold them.
func (m *Machine) fill(ps *pass, r *replica, groups []*group) []*piece {
	var pieces []*piece
	var bytes int64
	limit := ps.chunk(m.cfg.SplitShare)
	for i, g := range groups {
		if len(pieces) >= limit {
			break
		}
		space := ps.s.figures.Batch - len(pieces)
		if len(g.pieces) == 0 || i > 0 && (len(g.pieces) > space || !r.fits(ps.now, bytes+g.bytes()) || m.waitsForHome(ps, r, g)) {
			continue
		}
		var left []*piece
		for k, p := range g.pieces {
			if k >= space || r.has(p) || len(pieces) > 0 && !r.fits(ps.now, bytes+p.bytes()) {
				left = append(left, p)
				continue
			}
			pieces = append(pieces, p)
			bytes += p.bytes()
		}
		if len(left) < len(g.pieces) {
			g.comeTo(r.FailureDomain)
		}
		g.pieces = left
	}
	ps.s.queue.pieces -= len(pieces)
	return pieces
}

// waitsForHome says whether a group that could join a call to r is better made
// in its home a little later.
func (m *Machine) waitsForHome(ps *pass, r *replica, g *group) bool {
	return g.home != "" && g.home != r.FailureDomain && ps.s.homeWait(ps.now, g, 0) <= m.crossing(g)
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
		lapses:  now.Add(time.Duration(m.cfg.TimeoutFactor*float64(expected)) + m.cfg.TimeoutSlack),
	}
	m.calls[c.id] = c
	m.nextOverdue.by(c.overdue)
	m.nextLapse.by(c.lapses)
	r.calls = append(r.calls, c)
	r.gate.Begin(now)
	m.mayInspect(now, s)
	a := Run{Call: c.id, Service: s.name, Replica: r.ID, Address: r.Address, Timeout: c.lapses.Sub(now)}
	for _, p := range pieces {
		p.state = running
		p.calls++
		p.at = r
		p.job.stages[p.stage].startedAt = now
		r.used += p.bytes()
		s.usualBytes += servicePaceWeight * (float64(p.bytes()) - s.usualBytes)
		a.Pieces = append(a.Pieces, p.request(now))
		a.Timeout = max(a.Timeout, p.job.Deadline.Sub(now))
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
	consider(m.nextOverdue.at)
	consider(m.nextLapse.at)
	consider(m.nextInspect.at)
	consider(m.expiry.at)
	for _, s := range m.services {
		if len(s.queue.groups) > 0 {
			consider(s.passDue())
		}
	}
	return next, !next.IsZero()
}
