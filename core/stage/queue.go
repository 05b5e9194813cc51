package stage

import (
	"cmp"
	"slices"
	"time"
)

// group is the queued pieces of one stage of a job. They are made in one call
// where that can hold them: the stage is complete with its last piece only.
type group struct {
	job    *job
	stage  int
	pieces []*piece
	// home is the failure domain in which the pieces are best made.
	home string
	// slack is how long the job may wait over so many calls, and late says that
	// it cannot be on time any more; as of the last pass.
	slack time.Duration
	calls int
	late  bool
}

// compare orders groups by the places of their jobs.
func (g *group) compare(o *group) int {
	return cmp.Or(g.job.place.Compare(o.job.place), cmp.Compare(g.job.seq, o.job.seq), cmp.Compare(g.stage, o.stage))
}

// bytes is the size of all results of the group.
func (g *group) bytes() int64 {
	return int64(len(g.pieces)) * g.job.Stages[g.stage].ResultBytes
}

// queue holds the pieces that wait for a service, in groups that are kept in
// order: a pass over it sorts nothing.
type queue struct {
	groups []*group
	// pieces is the number of pieces in all groups.
	pieces int
}

// add queues a piece.
func (q *queue) add(p *piece) {
	st := &p.job.stages[p.stage]
	if st.group == nil {
		st.group = &group{job: p.job, stage: p.stage, home: p.job.home(p.stage)}
		at, _ := slices.BinarySearchFunc(q.groups, st.group, (*group).compare)
		q.groups = slices.Insert(q.groups, at, st.group)
	}
	st.group.pieces = append(st.group.pieces, p)
	q.pieces++
}

// remove takes one piece out.
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

// removeGroup takes a group out.
func (q *queue) removeGroup(g *group) {
	q.pieces -= len(g.pieces)
	g.job.stages[g.stage].group = nil
	if at, ok := slices.BinarySearchFunc(q.groups, g, (*group).compare); ok {
		q.groups = slices.Delete(q.groups, at, at+1)
	}
}

// compact takes out the groups whose pieces have all been taken.
func (q *queue) compact() {
	q.groups = slices.DeleteFunc(q.groups, func(g *group) bool {
		if len(g.pieces) > 0 {
			return false
		}
		g.job.stages[g.stage].group = nil
		return true
	})
}

// order returns the groups: those of jobs that can be on time first, then by
// place.
func (q *queue) order(now time.Time) []*group {
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
	// shortQueue is the number of groups up to which a pass follows each event that
	// may matter to the queue, and jobs up to which their work is counted anew.
	shortQueue = 32
	// pausePerGroup is the pause for each further group until the next pass over the
	// queue. A pass takes some 0.6 µs a group, so that passes take 3% of a processor
	// for each service, however long the queue is; the pause, 10 ms with 500 groups,
	// is short beside a call of 240 ms or more. A job and a call before 1,000 jobs that
	// wait take 36 µs, and took 211 with a pass at each event (BenchmarkOverload).
	pausePerGroup = 20 * time.Microsecond
)

// pauseFor is the least time between two passes over n things.
func pauseFor(n int) time.Duration { return time.Duration(max(0, n-shortQueue)) * pausePerGroup }

// backlog counts the pieces of jobs that are not made, by the rank of the jobs.
// How long a sum takes does not depend on the number of jobs.
type backlog struct {
	buckets []backlogBucket // by rank
}

type backlogBucket struct {
	rank   int64 // in units of backlogStep
	pieces int
}

// backlogStep is how closely ranks are told apart: a tenth of a call.
const backlogStep = 25 * time.Millisecond

func rankBucket(rank time.Time) int64 { return rank.UnixNano() / int64(backlogStep) }

// add counts n further pieces of a rank; n may be negative.
func (b *backlog) add(rank time.Time, n int) {
	want := rankBucket(rank)
	at, ok := slices.BinarySearchFunc(b.buckets, want, func(o backlogBucket, r int64) int { return cmp.Compare(o.rank, r) })
	if !ok {
		b.buckets = slices.Insert(b.buckets, at, backlogBucket{rank: want})
	}
	b.buckets[at].pieces += n
	if b.buckets[at].pieces == 0 {
		b.buckets = slices.Delete(b.buckets, at, at+1)
	}
}

// upTo sums the pieces that do not rank after rank.
func (b *backlog) upTo(rank time.Time) int {
	last, n := rankBucket(rank), 0
	for _, o := range b.buckets {
		if o.rank > last {
			break
		}
		n += o.pieces
	}
	return n
}
