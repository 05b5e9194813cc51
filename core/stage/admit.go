package stage

import "time"

// unhurried is the multiple of the least time of a job that it may always take:
// one that could hardly be on time if nothing else ran is not refused for that,
// unless it is due already.
const unhurried = 1.3

// admit predicts when the results of a job would be ready and returns a
// refusal when that is too late, unless the job goes on here.
func (m *Machine) admit(now time.Time, j *job) *Refused {
	for i := range j.stages {
		if st := &j.stages[i]; st.left > 0 && !st.service.anyUsable(now) {
			return &Refused{Job: j.ID, Reason: ReasonNoReplica, RetryAfter: max(m.cfg.MinRetryAfter, st.service.opensIn(now))}
		}
	}
	j.predicted = m.predict(now, j)
	j.expected = time.Duration(m.bias * float64(j.predicted))
	excess := j.expected - m.allowed(now, j)
	if excess <= 0 || j.goesOn(now) {
		return nil
	}
	return &Refused{
		Job: j.ID, Reason: ReasonOverload,
		RetryAfter: max(excess, m.cfg.MinRetryAfter), Predicted: j.expected,
	}
}

// goesOn says whether an earlier planner admitted and began the job, and may still
// be at it: what it has made is not given up for a prediction.
func (j *job) goesOn(now time.Time) bool { return len(j.Made) > 0 && now.Before(j.ends) }

// allowed returns how long the job may be expected to take and still be admitted:
// the less of its slack, the more urgent ranks want the same services. What is over
// capacity is so refused when it comes, from the least urgent rank on, and what is
// admitted is made in about the order in which it is due. An order by rank alone has
// less urgent jobs overtaken after they have begun, and wastes their calls and rooms.
func (m *Machine) allowed(now time.Time, j *job) time.Duration {
	left := j.Due.Sub(now)
	if left <= 0 {
		return left
	}
	shortest, _ := j.shortest()
	slack := float64(max(0, left-shortest)) * (1 - m.reserved(now, j))
	return max(shortest+time.Duration(slack), time.Duration(unhurried*float64(shortest)))
}

// reserveMost bounds the part of the slack that is left to more urgent ranks: the
// least urgent have a part of their own.
const reserveMost = 0.6

// reserved is the part of a job's slack that is left to more urgent ranks.
func (m *Machine) reserved(now time.Time, j *job) float64 {
	ranks := 0
	for i := range j.stages {
		if st := &j.stages[i]; st.left > 0 {
			ranks = max(ranks, st.service.ranks.before(now, j.Rank))
		}
	}
	return min(reserveMost, m.cfg.ReservePerRank*float64(ranks))
}

// anyUsable says whether any replica may be called, now or when a suspicion
// ends.
func (s *service) anyUsable(now time.Time) bool {
	for _, r := range s.replicas {
		if r.usable(now) {
			return true
		}
	}
	return false
}

// opensIn is how long it takes at least until a replica is called again that no call may
// be made to for now; 0 where none is of that kind.
func (s *service) opensIn(now time.Time) time.Duration {
	var least time.Duration
	for _, r := range s.replicas {
		if !r.takesWork() || !r.closed(now) {
			continue
		}
		if wait := r.gate.Opens(now).Sub(now); least == 0 || wait < least {
			least = wait
		}
	}
	return least
}

// predict returns the time until the results of a job would be ready: along
// its chain, each stage starts when its inputs are there and the pieces placed
// before it have drained, and takes a call after half a call's wait.
func (m *Machine) predict(now time.Time, j *job) time.Duration {
	var ends [maxStages]time.Duration
	var most time.Duration
	for i := range j.stages {
		var start time.Duration
		for _, a := range j.Stages[i].After {
			start = max(start, ends[a])
		}
		st := &j.stages[i]
		end := start
		if st.left > 0 {
			drained := st.service.drainTime(now, st.service.backlog.upTo(j.place))
			end = max(start, drained) + st.service.callTime(min(st.left, st.service.figures.Batch))
		}
		ends[i] = end
		most = max(most, end)
	}
	return most
}

// drainTime is how long the usable replicas take for n pieces in full calls.
func (s *service) drainTime(now time.Time, n int) time.Duration {
	var perSecond float64
	full := s.callTime(s.figures.Batch).Seconds()
	for _, r := range s.replicas {
		if r.usable(now) && full > 0 {
			calls := float64(s.figures.Concurrency) / full
			if rate, bounded := r.gate.Rate(now); bounded && rate > 0 {
				calls = min(calls, rate)
			}
			perSecond += r.roomShare(now) * calls * float64(s.figures.Batch)
		}
	}
	if perSecond == 0 {
		return never
	}
	return time.Duration(float64(n) / perSecond * float64(time.Second))
}

// leastRoomShare keeps a replica whose room others' results take in the count: they go.
const leastRoomShare = 0.1

// roomShare is the part of a full call for which the replica has room beside the
// results that this planner does not know of.
func (r *replica) roomShare(now time.Time) float64 {
	f := r.service.figures
	full := float64(f.Batch) * r.service.usualBytes
	if f.RoomBytes == 0 || full == 0 {
		return 1
	}
	return min(1, max(leastRoomShare, float64(f.RoomBytes-r.foreignNow(now))/full))
}

// usableByDomain counts the usable replicas of each failure domain.
func (s *service) usableByDomain(now time.Time) map[string]int {
	n := map[string]int{}
	for _, r := range s.replicas {
		if r.usable(now) {
			n[r.FailureDomain]++
		}
	}
	return n
}

// The bounds and the weight of a measurement of the bias.
const (
	biasWeight = 0.05
	biasMin    = 0.7
	biasMax    = 2.0
)

// learn compares the time that a job took with its prediction.
func (m *Machine) learn(now time.Time, j *job) {
	if j.predicted <= 0 {
		return
	}
	ratio := float64(now.Sub(j.submitted)) / float64(j.predicted)
	m.bias += biasWeight * (min(max(ratio, biasMin), biasMax) - m.bias)
}
