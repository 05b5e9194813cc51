package stage

import (
	"math"
	"time"

	"github.com/wheatseam/wheatseam/core/fairshare"
)

// Jobs that continue streams go ahead of new work of the same priority, since their callers hold a
// part of the answer and have less time left than new callers. They are not charged to their
// customers' shares, which the streams were charged to when they began. Callers may resume without
// limit, so the priority is bounded to a part of each service's capacity, divided among customers
// whether or not Config.FairShares is set. Beyond it such jobs are ordered and charged like new
// ones, and leave a part of the queue to these.

const (
	// continuationShare is the part of a service's capacity that jobs which continue streams may
	// take ahead of new work.
	continuationShare = 0.5
	// excessSlackShare is the part of a new job's slack with which a job that continues a stream
	// beyond continuationShare is admitted.
	excessSlackShare = 0.5
)

// preferContinuation decides whether a job that continues a stream goes ahead of new work. Such a
// job is ordered as if it had been due when it arrived.
func (m *Machine) preferContinuation(now time.Time, j *job) {
	if !j.ContinuesStream {
		return
	}
	j.preferred = true
	m.askShares(now, j)
	if s := m.continuationShareExceeded(now, j); s != nil {
		m.withdrawShares(now, j, s)
		j.preferred = false
		return
	}
	if due := now.Add(m.priorityDelay(j.Rank)); due.Before(j.effectiveDue) {
		j.effectiveDue = due
	}
}

// continuationShareExceeded returns a service at which the job's customer has had its share of the
// capacity for jobs that continue streams; nil if there is none.
func (m *Machine) continuationShareExceeded(now time.Time, j *job) *service {
	for i := range j.stages {
		r, ok := j.shareRequest(i)
		if !ok {
			continue
		}
		s := j.stages[i].service
		m.updateCapacity(now, s)
		if s.continuations.Decide(now, r, continuationShare*s.windowCapacity(), math.Inf(1)).Refused() {
			return s
		}
	}
	return nil
}

// shareTable returns the table that the job is charged to at a service. It is created when it is
// first needed.
func (j *job) shareTable(s *service) *fairshare.Table {
	if j.preferred {
		if s.continuations == nil {
			s.continuations = fairshare.New()
		}
		return s.continuations
	}
	return s.shareTable()
}

// charged reports whether the job is charged to tables of shares.
func (m *Machine) charged(j *job) bool { return m.cfg.FairShares || j.preferred }

// newWorkCapacity returns the part of windowCapacity that jobs which go ahead of new work leave. They
// may have been admitted when there was more capacity.
func (s *service) newWorkCapacity(now time.Time) float64 {
	if s.continuations == nil {
		return s.windowCapacity()
	}
	capacity := s.windowCapacity()
	return max((1-continuationShare)*capacity, capacity-s.continuations.Admitted(now))
}

// Continuations returns, by service, the work of jobs that continue streams and go ahead of new
// work, for operators, with up to maxAccounts accounts for each; empty if there were none.
func (m *Machine) Continuations(now time.Time, maxAccounts int) map[string]fairshare.State {
	out := map[string]fairshare.State{}
	for _, s := range m.sortedServices {
		if s.continuations != nil {
			out[s.name] = s.continuations.Snapshot(now, maxAccounts)
		}
	}
	return out
}
