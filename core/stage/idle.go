package stage

import (
	"slices"
	"time"
)

// A service with more than Config.MaxScannedReplicas replicas is not scanned for each
// decision: the replicas with a free place are kept in a list for each failure domain, of
// which a decision looks at a sample, and sums over all replicas are kept for a while that
// grows with their number.
const (
	// sampledReplicas are the replicas from which the best is chosen, and
	// sampledElsewhere those in each further failure domain. maxSampleTries limits how
	// many are looked at for them.
	sampledReplicas  = 16
	sampledElsewhere = 4
	maxSampleTries   = 64
)

// idleReplicas holds the replicas of a service that have a free place, by failure domain.
type idleReplicas struct {
	byDomain map[string][]*replica
	// domains are the keys of byDomain, sorted.
	domains []string
	count   int
}

// large reports whether the service has too many replicas to be scanned.
func (s *service) large() bool { return len(s.replicas) > s.maxScanned }

// scanPause returns how long a sum over all replicas is used, so that sums over many
// replicas take a bounded share of the processor.
func (s *service) scanPause() time.Duration {
	if !s.large() {
		return 0
	}
	return passPause(len(s.replicas))
}

// rebuildIdle sets the list of idle replicas up from all replicas.
func (s *service) rebuildIdle() {
	s.idle = idleReplicas{byDomain: map[string][]*replica{}}
	s.byDomain = map[string][]*replica{}
	s.domainWaits = map[string]domainWait{}
	for _, r := range s.replicas {
		r.idleAt = 0
		s.byDomain[r.FailureDomain] = append(s.byDomain[r.FailureDomain], r)
		if _, known := s.idle.byDomain[r.FailureDomain]; !known {
			s.idle.byDomain[r.FailureDomain] = nil
			s.idle.domains = append(s.idle.domains, r.FailureDomain)
		}
	}
	slices.Sort(s.idle.domains)
	for _, r := range s.replicas {
		r.updateIdle()
	}
}

// updateIdle adds the replica to the idle ones of its service, or removes it, after its
// calls or its listing have changed.
func (r *replica) updateIdle() {
	s := r.service
	idle := r.listed && !r.Draining && len(r.calls) < s.params.Concurrency
	switch list := s.idle.byDomain[r.FailureDomain]; {
	case idle == (r.idleAt > 0):
	case s.idle.byDomain == nil: // the service has not been set up yet
	case idle:
		s.idle.byDomain[r.FailureDomain] = append(list, r)
		r.idleAt = len(list) + 1
		s.idle.count++
	default:
		last := list[len(list)-1]
		list[r.idleAt-1], last.idleAt = last, r.idleAt
		s.idle.byDomain[r.FailureDomain] = list[:len(list)-1]
		r.idleAt = 0
		s.idle.count--
	}
}

// sampleIdle returns up to n idle replicas of a failure domain that may be called now and
// that accept selects, from a random place of the list on. Slow ones are left out unless
// they are at least half.
func (m *Machine) sampleIdle(now time.Time, s *service, domain string, n int, accept func(*replica) bool) []*replica {
	list := s.idle.byDomain[domain]
	if len(list) == 0 {
		return nil
	}
	var fast, slow []*replica
	start := m.rng.IntN(len(list))
	for i := range min(len(list), maxSampleTries) {
		r := list[(start+i)%len(list)]
		if !r.available(now) || !accept(r) {
			continue
		}
		if r.slow(now) {
			slow = append(slow, r)
		} else {
			fast = append(fast, r)
		}
		if len(fast)+len(slow) == n {
			break
		}
	}
	if len(slow) >= len(fast) {
		fast = append(fast, slow...)
	}
	return fast
}

// chooseSampled is chooseReplica for a large service.
func (m *Machine) chooseSampled(ps *dispatchPass, g *group) *replica {
	s, readerLoad, bytes := ps.service, m.readerLoad(ps.now, g), ps.service.initialBytes(g)
	accept := func(r *replica) bool { return r.fits(ps.now, bytes) && !r.runs(g.pieces[0]) }
	best := func(best *replica, domain string, n int) *replica {
		for _, r := range m.sampleIdle(ps.now, s, domain, n, accept) {
			best = preferred(ps.now, best, r, readerLoad)
		}
		return best
	}
	if g.preferredDomain != "" {
		if local := best(nil, g.preferredDomain, sampledReplicas); local != nil {
			return local
		}
	}
	var remote *replica
	for _, d := range s.idle.domains {
		if d != g.preferredDomain {
			remote = best(remote, d, sampledElsewhere)
		}
	}
	if remote == nil || g.preferredDomain == "" ||
		s.domainWait(ps.now, g, ps.waitingBefore[g.preferredDomain]) > m.maxDomainWait(g) {
		return remote
	}
	return nil
}

// domainWait is the wait for a replica of a failure domain as of a time.
type domainWait struct {
	asOf time.Time
	// availableAt is when the first usable replica is expected to accept a call; usable is
	// the number of usable ones.
	availableAt time.Time
	usable      int
}

// firstAvailable returns when a replica of a failure domain is expected to take results of
// the given size, and the number of usable replicas there. In a large service the result
// may be somewhat old.
func (s *service) firstAvailable(now time.Time, domain string, bytes int64) (at time.Time, usable int) {
	if w, ok := s.domainWaits[domain]; ok && now.Before(w.asOf.Add(s.scanPause())) {
		return w.availableAt, w.usable
	}
	w := domainWait{asOf: now}
	for _, r := range s.byDomain[domain] {
		if !r.usable(now) {
			continue
		}
		at := r.availableAt(now)
		if !r.fits(now, bytes) {
			at = at.Add(s.callTime(s.params.Batch))
		}
		if w.usable == 0 || at.Before(w.availableAt) {
			w.availableAt = at
		}
		w.usable++
	}
	if s.large() {
		s.domainWaits[domain] = w
	}
	return w.availableAt, w.usable
}
