package stage

import (
	"cmp"
	"slices"
	"time"
)

// group holds the queued pieces of one stage of a job. They are executed in one call if it
// can hold them, as a stage is complete only with its last piece.
type group struct {
	job    *job
	stage  int
	pieces []*piece
	// preferredDomain is the failure domain in which the pieces are best executed.
	preferredDomain string
	// slack is how long the job may wait in total, calls the number of consecutive calls
	// over which that wait is spread, and late says that the job can no longer be on time;
	// all as of the last pass.
	slack time.Duration
	calls int
	late  bool
}

// compare orders groups by the effective due times of their jobs.
func (g *group) compare(o *group) int {
	return cmp.Or(g.job.effectiveDue.Compare(o.job.effectiveDue), cmp.Compare(g.job.seq, o.job.seq), cmp.Compare(g.stage, o.stage))
}

// resultBytes returns the size of all results of the group.
func (g *group) resultBytes() int64 {
	return int64(len(g.pieces)) * g.job.Stages[g.stage].ResultBytes
}

// queue holds the pieces that wait for a service, in groups that are kept sorted so that a
// pass needs no sorting.
type queue struct {
	groups []*group
	pieces int
}

func (q *queue) add(p *piece) {
	st := &p.job.stages[p.stage]
	if st.group == nil {
		st.group = &group{job: p.job, stage: p.stage, preferredDomain: p.job.preferredDomain(p.stage)}
		at, _ := slices.BinarySearchFunc(q.groups, st.group, (*group).compare)
		q.groups = slices.Insert(q.groups, at, st.group)
	}
	st.group.pieces = append(st.group.pieces, p)
	q.pieces++
}

func (q *queue) remove(p *piece) {
	g := p.job.stages[p.stage].group
	if g == nil {
		return
	}
	before := len(g.pieces)
	g.pieces = slices.DeleteFunc(g.pieces, func(o *piece) bool { return o == p })
	q.pieces -= before - len(g.pieces)
	if len(g.pieces) == 0 {
		q.removeGroup(g)
	}
}

func (q *queue) removeGroup(g *group) {
	q.pieces -= len(g.pieces)
	g.job.stages[g.stage].group = nil
	if at, ok := slices.BinarySearchFunc(q.groups, g, (*group).compare); ok {
		q.groups = slices.Delete(q.groups, at, at+1)
	}
}

// compact removes the groups without pieces.
func (q *queue) compact() {
	q.groups = slices.DeleteFunc(q.groups, func(g *group) bool {
		if len(g.pieces) > 0 {
			return false
		}
		g.job.stages[g.stage].group = nil
		return true
	})
}

// byUrgency returns the groups: those of jobs that can be on time first, then by effective
// due time.
func (q *queue) byUrgency(now time.Time) []*group {
	onTime := make([]*group, 0, len(q.groups))
	var late []*group
	for _, g := range q.groups {
		g.slack, g.calls, g.late = g.job.slack(now)
		if g.late {
			late = append(late, g)
		} else {
			onTime = append(onTime, g)
		}
	}
	return append(onTime, late...)
}

const (
	// unthrottledLength is the number of groups up to which a pass follows each event that
	// may allow a call, and the number of jobs up to which readerLoad is always counted
	// anew.
	unthrottledLength = 32
	// passPausePerItem is the wait until the next pass for each group above
	// unthrottledLength. A pass takes about 0.6 µs for each group, so passes take 3% of a
	// processor for each service however long the queue is. The wait, 10 ms with 500
	// groups, is short compared with a call of 240 ms or more. With 1,000 waiting jobs, one
	// job and one call take 36 µs; with a pass at each event they took 211 µs
	// (BenchmarkOverload).
	passPausePerItem = 20 * time.Microsecond
)

// passPause returns the minimum interval between two passes over n groups or jobs.
func passPause(n int) time.Duration {
	return time.Duration(max(0, n-unthrottledLength)) * passPausePerItem
}

// backlog counts the pieces of jobs that are not completed, by the effective due time of
// the jobs. The time for a sum does not depend on the number of jobs.
type backlog struct {
	buckets []backlogBucket // by slot
}

type backlogBucket struct {
	slot   int64 // effective due time in units of backlogSlotWidth
	pieces int
}

// backlogSlotWidth is the resolution of the backlog: a tenth of a call.
const backlogSlotWidth = 25 * time.Millisecond

func backlogSlot(due time.Time) int64 { return due.UnixNano() / int64(backlogSlotWidth) }

// add counts n further pieces of jobs with an effective due time; n may be negative.
func (b *backlog) add(due time.Time, n int) {
	slot := backlogSlot(due)
	at, ok := slices.BinarySearchFunc(b.buckets, slot, func(o backlogBucket, r int64) int { return cmp.Compare(o.slot, r) })
	if !ok {
		b.buckets = slices.Insert(b.buckets, at, backlogBucket{slot: slot})
	}
	b.buckets[at].pieces += n
	if b.buckets[at].pieces == 0 {
		b.buckets = slices.Delete(b.buckets, at, at+1)
	}
}

// countUpTo returns the number of pieces of jobs whose effective due time is no later than
// due or in the same slot.
func (b *backlog) countUpTo(due time.Time) int {
	last, n := backlogSlot(due), 0
	for _, o := range b.buckets {
		if o.slot > last {
			break
		}
		n += o.pieces
	}
	return n
}
