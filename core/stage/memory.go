package stage

import "time"

// Results of other planners, earlier or concurrent ones, take up memory at the replicas
// that this planner does not know of. Replicas report their free memory, with some delay.
// Replicas are queried when the first job is admitted, since another planner may have used
// them before, when a replica had no memory for a result, and for as long as other planners'
// results are present.
const (
	// memoryQueryInterval is the interval at which a replica is queried while it holds
	// other planners' results. Replicas keep results for a few seconds.
	memoryQueryInterval = 250 * time.Millisecond
	// memoryQueriesPerCall limits the queries in proportion to the calls made. A host that
	// is disconnected plans for itself beside the fleet's planner, finds other planners'
	// results at all replicas and has little work of its own: without the limit, a hundred
	// such hosts of 295 made 877,000 queries in a day, which cost 0.09 of the attained
	// value. A planner that takes a fleet over makes more than two calls a second to each
	// replica.
	memoryQueriesPerCall = 2
	// memoryReportLag is how old the free memory that a replica reports may be.
	memoryReportLag = 300 * time.Millisecond
	// memoryQueryTimeout is the time after which a query without an answer is retried.
	memoryQueryTimeout = time.Second
)

// queryOnFirstJob queries all replicas when the first job is admitted, but only some of a
// large service: a host that is disconnected, and plans a few jobs, uses few of them. The
// others are queried when they are first used.
func (m *Machine) queryOnFirstJob(now time.Time) {
	if m.firstJobSeen {
		return
	}
	m.firstJobSeen = true
	for _, s := range m.sortedServices {
		n := len(s.replicas)
		if s.large() {
			n = sampledReplicas
		}
		start := 0
		if n < len(s.replicas) {
			start = m.rng.IntN(len(s.replicas))
		}
		for i := range n {
			m.queryReplica(now, s.replicas[(start+i)%len(s.replicas)])
		}
	}
}

// askOnFirstUse schedules the first query of a replica when it gets its first call.
func (m *Machine) askOnFirstUse(now time.Time, r *replica) {
	if !r.memoryAsked && r.service.large() {
		m.scheduleQuery(r, now)
	}
}

// scheduleQuery has a replica queried at a time.
func (m *Machine) scheduleQuery(r *replica, at time.Time) {
	r.queryAt = at
	if !r.queryScheduled {
		r.queryScheduled = true
		m.memoryQueries = append(m.memoryQueries, r)
	}
	m.nextMemoryQuery.schedule(at)
}

// queryMemoryIfDue queries the replicas whose query is due.
func (m *Machine) queryMemoryIfDue(now time.Time) {
	if !m.nextMemoryQuery.due(now) {
		return
	}
	scheduled := m.memoryQueries
	m.memoryQueries = nil
	for _, r := range scheduled {
		r.queryScheduled = false
		if m.replicas[r.ID] != r {
			continue
		}
		m.queryReplicaIfDue(now, r)
		if !r.queryAt.IsZero() && !r.queryScheduled {
			r.queryScheduled = true
			m.memoryQueries = append(m.memoryQueries, r)
		}
	}
}

func (m *Machine) queryReplicaIfDue(now time.Time, r *replica) {
	if r.queryAt.IsZero() || r.service.queryBudget == 0 || !r.usable(now) {
		return
	}
	due := r.queryAt
	if retryAt := r.queriedAt.Add(memoryQueryTimeout); !r.queriedAt.IsZero() && retryAt.After(due) {
		due = retryAt
	}
	if now.Before(due) {
		m.nextMemoryQuery.schedule(due)
		return
	}
	r.service.queryBudget--
	m.queryReplica(now, r)
}

// addQueryBudget allows further queries when a call is made.
func (m *Machine) addQueryBudget(now time.Time, s *service) {
	s.queryBudget = min(s.queryBudget+memoryQueriesPerCall, memoryQueriesPerCall*len(s.replicas))
	m.nextMemoryQuery.schedule(now)
}

// queryReplica queries a replica for its free memory.
func (m *Machine) queryReplica(now time.Time, r *replica) {
	if !r.usable(now) || r.service.params.ResultCapacityBytes == 0 {
		return
	}
	r.queryAt, r.queriedAt, r.memoryAsked = time.Time{}, now, true
	m.emit(QueryMemory{Service: r.service.name, Replica: r.ID, Address: r.Address})
}

// memoryReported handles a replica's report of its free memory: memory that is used,
// but not by this planner's results, is used by those of other planners. The previous
// estimate of the latter is clamped to the bounds that follow from the report.
func (m *Machine) memoryReported(now time.Time, e MemoryReported) {
	r := m.replicas[e.Replica]
	if r == nil || r.replaced {
		return
	}
	r.queriedAt = time.Time{}
	capacity := r.service.params.ResultCapacityBytes
	if e.Free.Max-e.Free.Min > int64(maxReportSpread*float64(capacity)) {
		return
	}
	own := r.ownBytesAt(e.QueriedAt.Add(-memoryReportLag))
	previous := r.currentForeignBytes(now)
	r.foreignBytes = min(max(previous, capacity-e.Free.Max-own, 0), max(0, capacity-e.Free.Min-own))
	r.foreignBytesAt = now
	r.service.dirty = true
	if r.foreignBytes < int64(minForeignShare*float64(capacity)) {
		r.foreignBytes, r.noMemoryUntil = 0, time.Time{}
		return
	}
	m.scheduleQuery(r, now.Add(memoryQueryInterval))
}

// ownBytesAt returns the bytes of this planner's results that a report as of a given time
// certainly includes: not those of calls that started later.
func (r *replica) ownBytesAt(asOf time.Time) int64 {
	own := r.usedBytes
	for _, c := range r.calls {
		if !c.started.After(asOf) {
			continue
		}
		for _, p := range c.pieces {
			own -= p.resultBytes()
		}
	}
	return max(0, own)
}

const (
	// minForeignShare is the share of a replica's memory below which it is no longer
	// queried for other planners' results: sizes are approximate.
	minForeignShare = 0.1
	// maxReportSpread is the largest difference between the bounds of a report, as a share
	// of the replica's memory, with which the report is used.
	maxReportSpread = 0.3
)
