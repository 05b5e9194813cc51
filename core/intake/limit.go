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
	limitWindow = 4 * time.Second
	// probeAfter is the time without a word of a replica's limit after which the host
	// that ranks first may begin a call at it all the same, and each further host after
	// as much again: nobody would hear otherwise that a limit is lifted of which no
	// host, or none with work for the replica, has a part.
	probeAfter = 10 * time.Second
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
	planned := int(math.Ceil(plannerShare * float64(calls)))
	part := s.Of(replica, calls-planned)
	if role == Planner {
		part += planned
	}
	return part
}

// OfLimit returns this host's part of the limit that a replica named last at a time.
func (s *Shares) OfLimit(l Limited, role Role) Part {
	perSecond, planned := l.Limit.PerSecond, 0.0
	switch role {
	case Planner:
		perSecond, planned = (1-plannerShare)*perSecond, plannerShare*perSecond
	case StageRequester:
		perSecond = (1 - plannerShare) * perSecond
	}
	rank := s.rank(l.Replica)
	p := partOf(s.Of, l.Replica, perSecond)
	if planned > 0 {
		p = p.and(partOf(func(_ string, calls int) int { return calls }, l.Replica, planned))
	}
	if p.Calls < 1 {
		p.ProbeEvery = time.Duration(rank+1) * probeAfter
		p.Probe = l.At.Add(p.ProbeEvery)
	}
	return p.bounded()
}

// partOf returns a part of a rate by a share of the calls that it allows.
func partOf(share func(replica string, calls int) int, replica string, perSecond float64) Part {
	window := limitWindow
	if perSecond*window.Seconds() < 1 {
		window = time.Duration(float64(time.Second) / max(perSecond, 1/probeAfter.Seconds()))
	}
	calls := perSecond * window.Seconds()
	const rounding = 1e-9
	return Part{Calls: share(replica, int(math.Min(calls+rounding, math.MaxInt32))), Window: window}
}

// and is a part of both: the calls of either, over the longer window.
func (p Part) and(o Part) Part {
	if p.Calls < 1 {
		return o
	}
	if o.Calls < 1 {
		return p
	}
	window := max(p.Window, o.Window)
	return Part{Calls: p.in(window) + o.in(window), Window: window}
}

// in is the number of calls that a part allows in a window of at least its own.
func (p Part) in(window time.Duration) int {
	return int(float64(p.Calls) * float64(window) / float64(p.Window))
}

// bounded is the part with no more calls than are kept count of, in a window that is
// so much shorter.
func (p Part) bounded() Part {
	if p.Calls > MaxCalls {
		p.Window = time.Duration(float64(p.Window) * MaxCalls / float64(p.Calls))
		p.Calls = MaxCalls
	}
	return p
}

// rank is the number of hosts that rank before this one at a replica.
func (s *Shares) rank(replica string) int {
	at := xxhash.Sum64String(replica)
	own, rank := weigh(s.self, at), 0
	for _, o := range s.others {
		if weigh(o, at) < own {
			rank++
		}
	}
	return rank
}

// NoPart is the part of a host that does not know its fleet yet.
func NoPart() Part { return Part{Window: limitWindow} }
