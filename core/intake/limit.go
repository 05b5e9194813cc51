package intake

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// quotaWindow is the interval for which the calls to a replica that announces a limit
	// are divided among the hosts. With a longer window more hosts get a quota of a small
	// limit, but more calls may begin at once.
	quotaWindow = 4 * time.Second
	// ColdWindow is the interval for which the calls to a cold replica are limited: one
	// second, plus an allowance for the variable delay between picking and sending.
	ColdWindow = 1100 * time.Millisecond
	// probeInterval is the time since a limit was last observed after which the host that
	// ranks first may begin a probe call without a quota; each further host may do so after
	// as much again. Otherwise no host would learn that a limit was lifted if none with a
	// quota of it, or none that has work for the replica, calls the replica.
	probeInterval = 10 * time.Second
	// plannerShare is the fraction of a limit that is reserved for the planner of stages,
	// which makes the calls for pieces on behalf of all hosts; the rest is divided among
	// the hosts for requests. It is below 1 so that the calls of two planners that succeed
	// each other within a window, and both use it, stay within the tolerated excess over
	// the limit. TestTwoConsecutivePlannersStayWithinTheLimit checks that for limits of up
	// to 4 calls a second.
	plannerShare = 0.75
)

// Role is the kind of calls that a host makes to a replica.
type Role uint8

// The roles.
const (
	// Requester hosts forward requests to the replica, like all other hosts.
	Requester Role = iota
	// StageRequester hosts forward requests to a replica that runs stages; another host
	// makes the calls for pieces.
	StageRequester
	// Planner hosts forward requests to a replica that runs stages, and make the calls for
	// pieces on behalf of all hosts.
	Planner
)

// CallsForRole returns how many of the given calls over all hosts this host may begin at a
// replica in its role.
func (s *Shares) CallsForRole(replica string, calls int, role Role) int {
	if role == Requester {
		return s.Calls(replica, calls)
	}
	plannerCalls := int(math.Ceil(plannerShare * float64(calls)))
	ownCalls := s.Calls(replica, calls-plannerCalls)
	if role == Planner {
		ownCalls += plannerCalls
	}
	return ownCalls
}

// LimitQuota returns this host's quota of a replica's limit in its role.
func (s *Shares) LimitQuota(l ReplicaLimit, role Role) Quota {
	perSecond, plannerRate := l.Limit.PerSecond, 0.0
	switch role {
	case Planner:
		perSecond, plannerRate = (1-plannerShare)*perSecond, plannerShare*perSecond
	case StageRequester:
		perSecond = (1 - plannerShare) * perSecond
	}
	rank := s.rank(l.Replica)
	p := quotaOf(s.Calls, l.Replica, perSecond)
	if plannerRate > 0 {
		p = p.combine(quotaOf(func(_ string, calls int) int { return calls }, l.Replica, plannerRate))
	}
	if p.Calls < 1 {
		p.ProbeInterval = time.Duration(rank+1) * probeInterval
		p.ProbeFrom = l.LastObserved.Add(p.ProbeInterval)
	}
	return p.Capped()
}

// quotaOf returns a quota of a rate; share returns this host's number of the calls that the
// rate allows per window. A rate of less than one call per quotaWindow uses a longer window
// that allows one call.
func quotaOf(share func(replica string, calls int) int, replica string, perSecond float64) Quota {
	window := quotaWindow
	if perSecond*window.Seconds() < 1 {
		window = time.Duration(float64(time.Second) / max(perSecond, 1/probeInterval.Seconds()))
	}
	calls := perSecond * window.Seconds()
	const rounding = 1e-9
	return Quota{Calls: share(replica, int(math.Min(calls+rounding, math.MaxInt32))), Window: window}
}

// combine returns a quota that allows the calls of both, over the longer window.
func (p Quota) combine(o Quota) Quota {
	if p.Calls < 1 {
		return o
	}
	if o.Calls < 1 {
		return p
	}
	window := max(p.Window, o.Window)
	return Quota{Calls: p.callsIn(window) + o.callsIn(window), Window: window}
}

// callsIn returns the number of calls that the quota allows in a window that is at least
// its own.
func (p Quota) callsIn(window time.Duration) int {
	return int(float64(p.Calls) * float64(window) / float64(p.Window))
}

// Capped returns the quota with at most MaxTrackedCalls calls and a proportionally shorter
// window.
func (p Quota) Capped() Quota {
	if p.Calls > MaxTrackedCalls {
		p.Window = time.Duration(float64(p.Window) * MaxTrackedCalls / float64(p.Calls))
		p.Calls = MaxTrackedCalls
	}
	return p
}

// rank returns the number of hosts that rank before this one for a replica.
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

// NoQuota returns the quota of a host that does not know its fleet yet.
func NoQuota() Quota { return Quota{Window: quotaWindow} }
