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

// dispatchPass is one pass over the queue of a service.
type dispatchPass struct {
	now     time.Time
	service *service
	groups  []*group
	// available are the replicas that can start a call; nil if the service is large.
	available []*replica
	// waitingBefore counts, by preferred domain, the pieces that wait there before the
	// group under consideration.
	waitingBefore map[string]int
}

// dispatch starts calls at available replicas while there is work that should not wait.
func (m *Machine) dispatch(now time.Time, s *service) {
	if len(s.queue.groups) == 0 || now.Before(s.nextPassTime()) {
		return
	}
	s.recordPass(now, m.cfg.RefusalBackoff)
	ps := &dispatchPass{now: now, service: s, waitingBefore: map[string]int{}}
	if !s.large() {
		ps.available = s.availableReplicas(now)
	}
	if ps.availableCount() == 0 {
		return
	}
	ps.groups = s.queue.byUrgency(now)
	for i := 0; i < len(ps.groups) && ps.availableCount() > 0; {
		g := ps.groups[i]
		if len(g.pieces) == 0 {
			i++
			continue
		}
		r := m.chooseReplica(ps, g)
		if r == nil {
			ps.waitingBefore[g.preferredDomain] += len(g.pieces)
			i++
			continue
		}
		m.startCall(now, r, m.takePieces(ps, r, ps.groups[i:]))
		ps.available = slices.DeleteFunc(ps.available, func(o *replica) bool { return !o.available(now) })
	}
	s.queue.compact()
}

// availableCount returns the number of replicas that can start a call, as far as that is
// known without looking at all replicas of a large service.
func (ps *dispatchPass) availableCount() int {
	if ps.service.large() {
		return ps.service.idle.count
	}
	return len(ps.available)
}

// nextPassTime returns when the next pass is due. After an event that may allow a call it
// is due at once, subject to the minimum interval between passes.
func (s *service) nextPassTime() time.Time {
	if s.dirty {
		return s.lastPass.Add(passPause(len(s.queue.groups)))
	}
	return s.nextPass
}

// recordPass records a pass and schedules the next one for the case that no event comes
// before: a replica may become available again, or a piece that waits for its preferred
// domain may have to go to another one.
func (s *service) recordPass(now time.Time, wait time.Duration) {
	s.dirty, s.lastPass = false, now
	s.nextPass = now.Add(max(wait, passPause(len(s.queue.groups))))
	if s.large() {
		return
	}
	for _, r := range s.replicas {
		for _, t := range [...]time.Time{r.busyUntil, r.suspectUntil, r.noMemoryUntil, r.limiter.NextAllowed(now)} {
			if t.After(now) && t.Before(s.nextPass) {
				s.nextPass = t
			}
		}
	}
}

// availableReplicas returns the replicas that can start a call now. Slow replicas are left
// out unless at least half of the usable ones are slow.
func (s *service) availableReplicas(now time.Time) []*replica {
	var fast, slow []*replica
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
		case !r.available(now):
		case isSlow:
			slow = append(slow, r)
		default:
			fast = append(fast, r)
		}
	}
	if 2*slowUsable >= usable {
		fast = append(fast, slow...)
	}
	return fast
}

// callSize returns the number of pieces of the next call. Work is split over the available
// replicas once each gets enough pieces to take a good share of a call's fixed time.
func (ps *dispatchPass) callSize(splitShare float64) int {
	f := ps.service.params
	minPieces := 1
	if f.PieceTime > 0 {
		minPieces = int(float64(f.CallTime)*splitShare/float64(f.PieceTime)) + 1
	}
	available := ps.availableCount()
	perReplica := (ps.service.queue.pieces + available - 1) / available
	return min(f.Batch, max(perReplica, minPieces))
}

// chooseReplica returns the available replica for a group. It returns nil if waiting for a
// replica in the preferred domain is better, or if no replica has enough memory.
func (m *Machine) chooseReplica(ps *dispatchPass, g *group) *replica {
	if ps.service.large() {
		return m.chooseSampled(ps, g)
	}
	var local, remote *replica
	readerLoad := m.readerLoad(ps.now, g)
	for _, r := range ps.available {
		if !r.fits(ps.now, ps.service.initialBytes(g)) || r.runs(g.pieces[0]) {
			continue
		}
		if g.preferredDomain == "" || r.FailureDomain == g.preferredDomain {
			local = preferred(ps.now, local, r, readerLoad)
		} else {
			remote = preferred(ps.now, remote, r, readerLoad)
		}
	}
	if local != nil {
		return local
	}
	if remote != nil && ps.service.domainWait(ps.now, g, ps.waitingBefore[g.preferredDomain]) > m.maxDomainWait(g) {
		return remote
	}
	return nil
}

// initialBytes returns the size of the results that one call takes on of a group: all of
// it, unless a call or a replica's memory cannot hold that.
func (s *service) initialBytes(g *group) int64 {
	pieceBytes := g.job.Stages[g.stage].ResultBytes
	n := int64(min(len(g.pieces), s.params.Batch)) * pieceBytes
	if s.params.ResultCapacityBytes > 0 && n > s.params.ResultCapacityBytes {
		return pieceBytes
	}
	return n
}

// runs reports whether a running call at r contains the piece.
func (r *replica) runs(p *piece) bool {
	if p.runningCalls == 0 {
		return false
	}
	for _, c := range r.calls {
		if slices.Contains(c.pieces, p) {
			return true
		}
	}
	return false
}

// preferred returns the better of two replicas: the faster one, then the one in the failure
// domain with less work for the readers of the results, then the one that holds fewer
// bytes.
func preferred(now time.Time, a, b *replica, readerLoad map[string]float64) *replica {
	switch {
	case a == nil:
		return b
	case b == nil:
		return a
	}
	const similarRatio = 1.3 // latency ratios closer than this count as equal
	switch {
	case b.currentLatencyRatio(now)*similarRatio < a.currentLatencyRatio(now):
		return b
	case a.currentLatencyRatio(now)*similarRatio < b.currentLatencyRatio(now):
		return a
	}
	if c := cmp.Or(cmp.Compare(readerLoad[a.FailureDomain], readerLoad[b.FailureDomain]), cmp.Compare(a.usedBytes, b.usedBytes)); c > 0 {
		return b
	}
	return a
}

// readerLoad returns, for each failure domain, the pieces that wait or will wait there,
// divided by the domain's replicas of the service that reads the group's results. It
// returns nil if no stage reads them, since the domain then does not matter. The value
// depends only on the reading service, so all services whose results it reads share one
// cached value.
func (m *Machine) readerLoad(now time.Time, g *group) map[string]float64 {
	reader := g.job.reader(g.stage)
	if reader == nil {
		return nil
	}
	if reader.readerLoad != nil && now.Before(reader.readerLoadAt.Add(max(passPause(len(m.jobs)), reader.scanPause()))) {
		return reader.readerLoad
	}
	load := map[string]float64{}
	reader.readerLoad, reader.readerLoadAt = load, now
	for _, j := range m.jobs {
		for i := range j.stages {
			st := &j.stages[i]
			if st.service == reader && st.remaining > 0 {
				load[j.expectedDomain(i)] += float64(st.remaining)
			}
		}
	}
	replicas := reader.usableByDomain(now)
	for domain := range load {
		load[domain] /= float64(max(1, replicas[domain]))
	}
	const unserved = 1e9 // ranks domains without a replica of the reading service last
	for domain := range m.domains {
		if replicas[domain] == 0 {
			load[domain] = unserved
		}
	}
	return load
}

// reader returns the service that reads the results of stage i, or nil if there is none.
func (j *job) reader(i int) *service {
	readers := j.stages[i].readers
	if len(readers) == 0 {
		return nil
	}
	return j.stages[readers[0]].service
}

// addReaderLoad records that a group is executed in a domain: it adds the pieces of the
// stage that reads the group's results to the load of the reading service in that domain.
func (g *group) addReaderLoad(domain string) {
	reader := g.job.reader(g.stage)
	if reader == nil || reader.readerLoad == nil {
		return
	}
	replicasPerDomain := max(1, len(reader.replicas)/max(1, len(reader.byDomain)))
	reader.readerLoad[domain] += float64(g.job.stages[g.job.stages[g.stage].readers[0]].remaining) / float64(replicasPerDomain)
}

// maxDomainWait returns how long to wait for a replica in the preferred domain before the
// group goes to another one. It grows with the bytes that would cross failure domains, both
// the group's inputs and its results for its readers. It is at most DomainWaitSlackShare of
// the job's slack, divided by the consecutive calls that the job still needs, so that the
// wait alone should not make the job late.
func (m *Machine) maxDomainWait(g *group) time.Duration {
	worthwhile := time.Duration(float64(g.job.crossDomainBytes(g.stage)) / m.cfg.CrossDomainBytesPerMs * float64(time.Millisecond))
	return min(worthwhile, time.Duration(m.cfg.DomainWaitSlackShare*float64(g.slack))/time.Duration(max(1, g.calls)))
}

// unavailableWait is the wait for a domain without a usable replica.
const unavailableWait = time.Hour

// domainWait returns the expected wait for a replica in the group's preferred domain.
func (s *service) domainWait(now time.Time, g *group, waitingBefore int) time.Duration {
	at, usable := s.firstAvailable(now, g.preferredDomain, s.initialBytes(g))
	if usable == 0 {
		return unavailableWait
	}
	wait := min(unavailableWait, max(0, at.Sub(now)))
	rounds := waitingBefore / (usable * s.params.Batch)
	return wait + time.Duration(rounds)*s.callTime(s.params.Batch)
}

// takePieces removes the pieces of a call to r from the groups, in order. Whole groups are
// added as long as the call can hold them.
func (m *Machine) takePieces(ps *dispatchPass, r *replica, groups []*group) []*piece {
	var pieces []*piece
	var bytes int64
	limit := ps.callSize(m.cfg.MinSplitShare)
	for i, g := range groups {
		if len(pieces) >= limit {
			break
		}
		space := ps.service.params.Batch - len(pieces)
		if len(g.pieces) == 0 || i > 0 && (len(g.pieces) > space || !r.fits(ps.now, bytes+g.resultBytes()) || m.shouldWaitForDomain(ps, r, g)) {
			continue
		}
		var remaining []*piece
		for k, p := range g.pieces {
			if k >= space || r.runs(p) || len(pieces) > 0 && !r.fits(ps.now, bytes+p.resultBytes()) {
				remaining = append(remaining, p)
				continue
			}
			pieces = append(pieces, p)
			bytes += p.resultBytes()
		}
		if len(remaining) < len(g.pieces) {
			g.addReaderLoad(r.FailureDomain)
		}
		g.pieces = remaining
	}
	ps.service.queue.pieces -= len(pieces)
	return pieces
}

// shouldWaitForDomain reports whether a group that could join a call to r should rather
// wait for its preferred domain.
func (m *Machine) shouldWaitForDomain(ps *dispatchPass, r *replica, g *group) bool {
	return g.preferredDomain != "" && g.preferredDomain != r.FailureDomain && ps.service.domainWait(ps.now, g, 0) <= m.maxDomainWait(g)
}

// startCall starts a call.
func (m *Machine) startCall(now time.Time, r *replica, pieces []*piece) {
	m.nextID++
	s := r.service
	expected := time.Duration(max(s.latencyRatio, 1) * float64(s.nominalTime(len(pieces))))
	c := &call{
		id: m.nextID, replica: r, pieces: pieces, started: now,
		expectedEnd: now.Add(s.callTime(len(pieces))),
		overdueAt:   now.Add(time.Duration(m.cfg.OverdueFactor*float64(expected)) + m.cfg.OverdueSlack),
		timeoutAt:   now.Add(time.Duration(m.cfg.TimeoutFactor*float64(expected)) + m.cfg.TimeoutSlack),
	}
	m.calls[c.id] = c
	m.nextOverdue.schedule(c.overdueAt)
	m.nextTimeout.schedule(c.timeoutAt)
	r.calls = append(r.calls, c)
	r.updateIdle()
	r.limiter.RecordCall(now)
	m.addQueryBudget(now, s)
	m.askOnFirstUse(now, r)
	s.noteStarted(len(pieces))
	a := Run{Call: c.id, Service: s.name, Replica: r.ID, Address: r.Address, Timeout: c.timeoutAt.Sub(now)}
	for _, p := range pieces {
		p.state = running
		p.runningCalls++
		p.lastReplica = r
		p.job.stages[p.stage].startedAt = now
		r.usedBytes += p.resultBytes()
		s.meanResultBytes += serviceLatencyWeight * (float64(p.resultBytes()) - s.meanResultBytes)
		a.Pieces = append(a.Pieces, p.request(now))
		a.Timeout = max(a.Timeout, p.job.Deadline.Sub(now))
	}
	m.emit(a)
}

// request is the piece as a replica is asked for it.
func (p *piece) request(now time.Time) Piece {
	j := p.job
	out := Piece{Job: j.ID, Stage: p.stage, Index: p.index, TimeLeft: j.Deadline.Sub(now)}
	if len(j.Stages[p.stage].DependsOn) == 0 {
		out.Key = j.Key
	} else {
		out.Inputs = j.inputs(p.stage)
	}
	return out
}

// NextTick returns when the next Tick is due if no other event comes before; false if none
// is due.
func (m *Machine) NextTick(now time.Time) (time.Time, bool) {
	var next time.Time
	consider := func(t time.Time) {
		if t.After(now) && (next.IsZero() || t.Before(next)) {
			next = t
		}
	}
	consider(m.nextOverdue.at)
	consider(m.nextTimeout.at)
	consider(m.nextMemoryQuery.at)
	consider(m.nextExpiry.at)
	consider(m.nextShareReport.at)
	for _, s := range m.services {
		if len(s.queue.groups) > 0 {
			consider(s.nextPassTime())
		}
	}
	return next, !next.IsZero()
}
