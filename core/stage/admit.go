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
			return &Refused{Job: j.ID, Reason: ReasonNoReplica, RetryAfter: m.cfg.MinRetryAfter}
		}
	}
	j.predicted = m.predict(now, j)
	j.expected = time.Duration(m.bias * float64(j.predicted))
	excess := j.expected - j.allowed(now)
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

// allowed returns how long the job may be expected to take and still be
// admitted.
func (j *job) allowed(now time.Time) time.Duration {
	left := j.Due.Sub(now)
	if left <= 0 {
		return left
	}
	shortest, _ := j.shortest()
	return max(left, time.Duration(unhurried*float64(shortest)))
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

// predict returns the time until the results of a job would be ready: along
// its chain, each stage starts when its inputs are there and the pieces ranked
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
			drained := st.service.drainTime(now, st.service.backlog.upTo(j.rank))
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
			perSecond += float64(s.figures.Batch*s.figures.Concurrency) / full
		}
	}
	if perSecond == 0 {
		return never
	}
	return time.Duration(float64(n) / perSecond * float64(time.Second))
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
