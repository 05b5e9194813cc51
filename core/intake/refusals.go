package intake

import "time"

const (
	// refusalFraction is the fraction of the refusals that a replica can take which hosts
	// divide among themselves.
	refusalFraction = 1.0 / 3
	// maxRefusalWindow bounds the time in which a host may meet one refusal.
	maxRefusalWindow = 30 * time.Second
)

// RefusalQuotas returns this host's quotas, by replica, at the replicas of one service that can
// refuse a number of calls in one second; slots is how many calls each works on at a time.
func (s *Shares) RefusalQuotas(limits []ReplicaLimit, slots func(replica string) int, role Role) map[string]Quota {
	quotas := make(map[string]Quota, len(limits))
	total, lowestRank, closest := 0, 0, ""
	for _, l := range limits {
		q := s.refusalQuota(l, slots(l.Replica), role)
		quotas[l.Replica] = Quota{InFlight: q}
		total += q.Calls
		if total > 0 {
			continue
		}
		if rank := s.rank(l.Replica); closest == "" || rank < lowestRank {
			lowestRank, closest = rank, l.Replica
		}
	}
	if total == 0 && closest != "" {
		// The service has fewer slots than there are hosts.
		quotas[closest].InFlight.Calls = 1
	}
	return quotas
}

func (s *Shares) refusalQuota(l ReplicaLimit, slots int, role Role) *InFlightQuota {
	hosts := len(s.others) + 1
	shared := int(min(refusalFraction*l.Limit.PerSecond, float64(MaxTrackedCalls*hosts)))
	q := &InFlightQuota{Calls: s.Calls(l.Replica, slots), Refusals: s.Calls(l.Replica, shared), Window: time.Second}
	if role == Planner {
		q.Calls, q.Refusals = slots, shared
	}
	q.Calls += q.Refusals
	if q.Refusals == 0 {
		q.Refusals, q.Window = 1, maxRefusalWindow
		if shared > 0 {
			q.Window = min(maxRefusalWindow, time.Duration(hosts)*time.Second/time.Duration(shared))
		}
	}
	return q
}

// NoRefusalQuota returns the quota of a host that does not know its fleet yet.
func NoRefusalQuota() Quota {
	return Quota{InFlight: &InFlightQuota{Calls: 1, Refusals: 1, Window: maxRefusalWindow}}
}
