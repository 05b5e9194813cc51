package intake

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// limitWindow is the time over which the calls at a replica that names a limit are
	// shared out: the longer, the more hosts have a part of a small limit, and the more
	// calls may come at once.
	quotaWindow = 4 * time.Second
	// probeAfter is the time without a word of a replica's limit after which the host
	// that ranks first may begin a call at it all the same, and each further host after
	// as much again: nobody would hear otherwise that a limit is lifted of which no
	// host, or none with work for the replica, has a part.
	probeInterval = 10 * time.Second
	// plannerShare is the part of a limit that the planner of stages has, which makes
	// the calls for pieces for all hosts; the rest is for requests, by rank. What is
	// left of it is room for two planners that follow each other in a window.
	plannerShare = 0.75
)

// Role says what calls a host makes at a replica.
type Role uint8

// The roles.
const (
	// Requester hosts pass requests on, as all others do.
	Requester Role = iota
	// StageRequester hosts pass requests on to a replica that runs stages: another host
	// asks it for pieces.
	StageRequester
	// Planner hosts pass requests on to a replica that runs stages, and ask it for pieces
	// for all hosts.
	Planner
)

// OfRole returns how many calls this host may begin at a replica, of so many over all
// hosts, by what it calls it for.
func (s *Shares) OfRole(replica string, calls int, role Role) int {
	if role == Requester {
		return s.Of(replica, calls)
	}
	plannerCalls := int(math.Ceil(plannerShare * float64(calls)))
	ownCalls := s.Of(replica, calls-plannerCalls)
	if role == Planner {
		ownCalls += plannerCalls
	}
	return ownCalls
}

// OfLimit returns this host's part of the limit that a replica named last at a time.
func (s *Shares) OfLimit(l Limited, role Role) Part {
	perSecond, plannerRate := l.Limit.PerSecond, 0.0
	switch role {
	case Planner:
		perSecond, plannerRate = (1-plannerShare)*perSecond, plannerShare*perSecond
	case StageRequester:
		perSecond = (1 - plannerShare) * perSecond
	}
	rank := s.rank(l.Replica)
	p := quotaOf(s.Of, l.Replica, perSecond)
	if plannerRate > 0 {
		p = p.combine(quotaOf(func(_ string, calls int) int { return calls }, l.Replica, plannerRate))
	}
	if p.Calls < 1 {
		p.ProbeEvery = time.Duration(rank+1) * probeInterval
		p.Probe = l.At.Add(p.ProbeEvery)
	}
	return p.capped()
}

// partOf returns a part of a rate by a share of the calls that it allows.
func quotaOf(share func(replica string, calls int) int, replica string, perSecond float64) Part {
	window := quotaWindow
	if perSecond*window.Seconds() < 1 {
		window = time.Duration(float64(time.Second) / max(perSecond, 1/probeInterval.Seconds()))
	}
	calls := perSecond * window.Seconds()
	const rounding = 1e-9
	return Part{Calls: share(replica, int(math.Min(calls+rounding, math.MaxInt32))), Window: window}
}

// and is a part of both: the calls of either, over the longer window.
func (p Part) combine(o Part) Part {
	if p.Calls < 1 {
		return o
	}
	if o.Calls < 1 {
		return p
	}
	window := max(p.Window, o.Window)
	return Part{Calls: p.callsIn(window) + o.callsIn(window), Window: window}
}

// in is the number of calls that a part allows in a window of at least its own.
func (p Part) callsIn(window time.Duration) int {
	return int(float64(p.Calls) * float64(window) / float64(p.Window))
}

// bounded is the part with no more calls than are kept count of, in a window that is
// so much shorter.
func (p Part) capped() Part {
	if p.Calls > MaxTrackedCalls {
		p.Window = time.Duration(float64(p.Window) * MaxTrackedCalls / float64(p.Calls))
		p.Calls = MaxTrackedCalls
	}
	return p
}

// rank is the number of hosts that rank before this one at a replica.
func (s *Shares) rank(replica string) int {
	replicaHash := xxhash.Sum64String(replica)
	own, rank := hostWeight(s.self, replicaHash), 0
	for _, o := range s.others {
		if hostWeight(o, replicaHash) < own {
			rank++
		}
	}
	return rank
}

// NoPart is the part of a host that does not know its fleet yet.
func NoPart() Part { return Part{Window: quotaWindow} }
