package stage

import "time"

// alwaysAllowedFactor is the multiple of a job's minimum time that admission always allows.
// A job that could hardly be on time on an idle fleet is not refused for that, unless it is
// already due.
const alwaysAllowedFactor = 1.3

// admit predicts when the results of a job would be ready. It returns a refusal if that is
// too late, or if the job exceeds its customer's share, unless the job was already started
// by an earlier planner.
func (m *Machine) admit(now time.Time, j *job) *Refused {
	for i := range j.stages {
		if st := &j.stages[i]; st.remaining > 0 && st.service.usableAt(now, m.cfg.maxSuspectWait()).IsZero() {
			m.withdrawShares(now, j, st.service)
			return &Refused{Job: j.ID, Reason: ReasonNoReplica, RetryAfter: max(m.cfg.MinRetryAfter, st.service.unblockDelay(now))}
		}
	}
	j.predicted = m.predict(now, j)
	j.expected = time.Duration(m.bias * float64(j.predicted))
	allowed := m.allowedTime(now, j)
	excess := j.expected - allowed
	if excess <= 0 || j.resumable(now) {
		return m.checkShares(now, j, allowed)
	}
	return m.noteOverload(now, j, &Refused{
		Job: j.ID, Reason: ReasonOverload,
		RetryAfter: max(excess, m.cfg.MinRetryAfter), Predicted: j.expected,
	})
}

// resumable reports whether an earlier planner admitted and started the job, and the job
// may still be in time: completed pieces are not discarded because of a prediction.
func (j *job) resumable(now time.Time) bool { return len(j.Completed) > 0 && now.Before(j.refuseAt) }

// allowedTime returns the longest predicted time with which a job is admitted: until it is due or,
// if it goes ahead of new work, until the rest would no longer reach the caller in time. The more
// ranks of higher priority use the same services, the less of its slack a job may use. Load
// above capacity is therefore refused on arrival, starting with the lowest priority, and
// admitted jobs run roughly in the order in which they are due. Ordering by rank alone
// would let started jobs be overtaken, which wastes their calls and the memory that their
// results take.
func (m *Machine) allowedTime(now time.Time, j *job) time.Duration {
	if j.preferred {
		return j.Latest.Sub(now)
	}
	left := j.Due.Sub(now)
	if left <= 0 {
		return left
	}
	shortest, _ := j.minTime()
	slack := float64(max(0, left-shortest)) * (1 - m.reservedShare(now, j))
	if j.ContinuesStream {
		slack *= excessSlackShare
	}
	return max(shortest+time.Duration(slack), time.Duration(alwaysAllowedFactor*float64(shortest)))
}

// maxReservedShare bounds the share of the slack that is reserved for ranks of higher
// priority, so that the lowest priority keeps a share.
const maxReservedShare = 0.6

// reservedShare returns the share of a job's slack that is reserved for ranks of higher
// priority.
func (m *Machine) reservedShare(now time.Time, j *job) float64 {
	ranks := 0
	for i := range j.stages {
		if st := &j.stages[i]; st.remaining > 0 {
			ranks = max(ranks, st.service.recentRanks.countMoreUrgent(now, j.Rank))
		}
	}
	return min(maxReservedShare, m.cfg.ReservedSharePerRank*float64(ranks))
}

// maxSuspectWait is the longest time for which jobs wait for the only replicas of a service while
// these are suspected: a replica that was silent for a moment answers again before.
func (c Config) maxSuspectWait() time.Duration { return 2 * c.SuspectBase }

// usableAt returns when a replica of the service is usable: now, or within maxWait if all of them
// are suspected, though not because connections to them failed. It is zero if none is.
func (s *service) usableAt(now time.Time, maxWait time.Duration) time.Time {
	for _, r := range s.replicas {
		if r.usable(now) {
			return now
		}
	}
	return s.returnAt(now, maxWait)
}

// returnAt returns when the first suspected replica is usable again, unless it is suspected for
// longer than maxWait or because connections to it failed. It is zero if there is none.
func (s *service) returnAt(now time.Time, maxWait time.Duration) time.Time {
	var first time.Time
	for _, r := range s.replicas {
		at := r.suspectUntil
		if !at.After(now) || at.Sub(now) > maxWait || r.unreachable || !r.usable(at) {
			continue
		}
		if first.IsZero() || at.Before(first) {
			first = at
		}
	}
	return first
}

// unblockDelay returns the shortest time until a replica that currently accepts no calls of
// this host accepts them again; 0 if there is no such replica.
func (s *service) unblockDelay(now time.Time) time.Duration {
	var least time.Duration
	for _, r := range s.replicas {
		if !r.acceptsWork() || !r.blockedForLong(now) {
			continue
		}
		if wait := r.limiter.NextAllowed(now).Sub(now); least == 0 || wait < least {
			least = wait
		}
	}
	return least
}

// predict returns the time until the results of a job would be ready. Along the chain of
// stages, each stage starts once its inputs are there and the pieces that are ordered
// before it have drained, and then takes one call.
func (m *Machine) predict(now time.Time, j *job) time.Duration {
	var ends [maxStages]time.Duration
	var most time.Duration
	for i := range j.stages {
		var start time.Duration
		for _, a := range j.Stages[i].DependsOn {
			start = max(start, ends[a])
		}
		st := &j.stages[i]
		end := start
		if st.remaining > 0 {
			drained := m.drainTime(now, st.service, j.effectiveDue)
			end = max(start, drained) + st.service.callTime(min(st.remaining, st.service.params.Batch))
		}
		ends[i] = end
		most = max(most, end)
	}
	return most
}

// drainTime returns how long the replicas of a service take, in full calls, for the queued pieces of
// jobs that are due no later than the given time. It includes the wait for the first usable replica.
// If the calls to all usable replicas are limited, suspected ones count from when the first of them
// is usable again.
func (m *Machine) drainTime(now time.Time, s *service, due time.Time) time.Duration {
	usableAt := m.updateCapacity(now, s)
	queued := s.backlog.countUpTo(due)
	drained := usableAt.Sub(now) + s.drainTimeAt(s.capacity, queued)
	untilReturn := s.returnsAt.Sub(now)
	if s.returnsAt.IsZero() || untilReturn <= 0 || drained <= untilReturn {
		return drained
	}
	left := queued - int(s.capacity*untilReturn.Seconds())
	return min(drained, untilReturn+s.drainTimeAt(s.capacityAtReturn, left))
}

// updateCapacity computes the capacity of a service, unless that was done a moment ago. It returns
// when the first replica is usable, or now if none will be.
func (m *Machine) updateCapacity(now time.Time, s *service) (usableAt time.Time) {
	if usableAt = s.usableAt(now, m.cfg.maxSuspectWait()); usableAt.IsZero() {
		usableAt = now
	}
	if !s.capacityAt.IsZero() && now.Before(s.capacityAt.Add(s.scanPause())) {
		return usableAt
	}
	s.capacityAt, s.capacity = now, s.piecesPerSecond(usableAt)
	s.returnsAt = time.Time{}
	if !s.limited(now) {
		return usableAt
	}
	if s.returnsAt = s.returnAt(now, m.cfg.maxSuspectWait()); !s.returnsAt.IsZero() {
		s.capacityAtReturn = s.piecesPerSecond(s.returnsAt)
	}
	return usableAt
}

// limited reports whether there are usable replicas, and the calls to all of them are limited.
func (s *service) limited(now time.Time) bool {
	limited := false
	for _, r := range s.replicas {
		if !r.usable(now) {
			continue
		}
		if _, bounded := r.limiter.Rate(now); !bounded {
			return false
		}
		limited = true
	}
	return limited
}

// drainTimeAt returns how long n pieces take at a number of pieces per second.
func (s *service) drainTimeAt(perSecond float64, n int) time.Duration {
	if perSecond == 0 {
		return unavailableWait
	}
	return time.Duration(float64(n) / perSecond * float64(time.Second))
}

// piecesPerSecond returns how many pieces the usable replicas run per second in full calls.
func (s *service) piecesPerSecond(now time.Time) float64 {
	var perSecond float64
	full := s.callTime(s.params.Batch).Seconds()
	for _, r := range s.replicas {
		if r.usable(now) && full > 0 {
			calls := float64(s.params.Concurrency) / full
			if rate, bounded := r.limiter.Rate(now); bounded && rate > 0 {
				calls = min(calls, rate)
			}
			perSecond += r.freeMemoryShare(now) * calls * float64(s.params.Batch)
		}
	}
	return perSecond
}

// minFreeMemoryShare is the share that a replica counts for even if its memory is full of
// other planners' results, since these are released in time.
const minFreeMemoryShare = 0.1

// freeMemoryShare returns the share of a full call's results that fits into the replica's
// memory beside the results of other planners.
func (r *replica) freeMemoryShare(now time.Time) float64 {
	f := r.service.params
	full := float64(f.Batch) * r.service.meanResultBytes
	if f.ResultCapacityBytes == 0 || full == 0 {
		return 1
	}
	return min(1, max(minFreeMemoryShare, float64(f.ResultCapacityBytes-r.currentForeignBytes(now))/full))
}

func (s *service) usableByDomain(now time.Time) map[string]int {
	n := map[string]int{}
	for _, r := range s.replicas {
		if r.usable(now) {
			n[r.FailureDomain]++
		}
	}
	return n
}

// The weight of a new sample of the prediction bias, and the bounds of a sample.
const (
	biasWeight = 0.05
	biasMin    = 0.7
	biasMax    = 2.0
)

// updateBias updates the prediction bias with the ratio of a job's actual to its predicted
// time.
func (m *Machine) updateBias(now time.Time, j *job) {
	if j.predicted <= 0 {
		return
	}
	ratio := float64(now.Sub(j.submitted)) / float64(j.predicted)
	m.bias += biasWeight * (min(max(ratio, biasMin), biasMax) - m.bias)
}
