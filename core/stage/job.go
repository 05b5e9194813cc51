package stage

import "time"

// pieceState says where a piece is.
type pieceState uint8

const (
	// blocked pieces wait for earlier stages.
	blocked pieceState = iota
	queued
	running
	made
)

// piece is one piece of a job.
type piece struct {
	job   *job
	stage int
	index int
	state pieceState
	// calls counts the running calls that the piece is in, heard the lapsed ones.
	calls int
	heard int
	tries int
	// handle and holder are set once the piece is made, holder until its result is
	// given up or left to another planner; at is where it was last asked for.
	handle string
	holder *replica
	at     *replica
	// told says that the job's owner is being told of the result, or knows of it,
	// and known that it does.
	told, known bool
}

// bytes returns the usual size of the piece's result.
func (p *piece) bytes() int64 { return p.job.Stages[p.stage].ResultBytes }

// enqueue puts the piece into the queue of its service.
func (p *piece) enqueue() {
	p.state = queued
	s := p.job.stages[p.stage].service
	s.queue.add(p)
	s.dirty = true
}

// stageState is the state of one stage of a job.
type stageState struct {
	service *service
	pieces  []piece
	// left is the number of pieces that are not made.
	left int
	// group is the queued pieces; nil without any.
	group *group
	// readers lists the stages that read this one's results.
	readers []int
	// freed says that the results have been given up or are of no more use; those
	// that still have a holder wait for the word of the job's owner.
	freed bool
	// queuedAt is when the inputs were there, startedAt when the last call with
	// a piece began and madeAt when the last piece was made.
	queuedAt, startedAt, madeAt time.Time
	// home is where the pieces were best made when they were queued.
	home string
}

// timing is the course of stage i.
func (j *job) timing(i int) Timing {
	st := &j.stages[i]
	t := Timing{Stage: i, Wait: st.startedAt.Sub(st.queuedAt), Work: st.madeAt.Sub(st.startedAt)}
	for k := range st.pieces {
		if h := st.pieces[k].holder; h != nil && st.home != "" && h.FailureDomain != st.home {
			t.Crossed = true
		}
	}
	return t
}

// job is the state of a Job.
type job struct {
	Job
	seq    uint64
	stages []stageState
	// place orders jobs: Due, later for less urgent customers and routes.
	place time.Time
	// ends is when the job is refused if it is not ready.
	ends time.Time
	// remakes counts how often lost inputs were made again.
	remakes int
	ready   bool
	// admitted says that the pieces left count in the backlogs of their services.
	admitted bool
	// submitted is when the job came, predicted the time that it was expected
	// to take before the machine's bias and expected that after it.
	submitted           time.Time
	predicted, expected time.Duration
}

// routeStep is how much later a job is made whose route is the next less urgent: of
// jobs that are due at about the same time the more urgent one goes first. It is short
// beside the time that jobs have, so that few are overtaken once they have begun.
const routeStep = 200 * time.Millisecond

// newJob returns the state of j, or nil when it needs a service that is not
// known or has too many stages.
func (m *Machine) newJob(j Job) *job {
	if len(j.Stages) > maxStages {
		return nil
	}
	m.seq++
	if j.Latest.Before(j.Due) {
		j.Latest = j.Due
	}
	s := &job{Job: j, seq: m.seq, stages: make([]stageState, len(j.Stages))}
	if s.ends = j.Latest.Add(m.cfg.LateGrace); j.Deadline.Before(s.ends) {
		s.ends = j.Deadline
	}
	s.place = j.Due.Add(time.Duration(j.Rank.Customer)*m.cfg.CustomerStep + time.Duration(j.Rank.Route)*routeStep)
	for i := range j.Stages {
		st := &j.Stages[i]
		v := m.services[st.Service]
		if v == nil && st.Pieces > 0 {
			return nil
		}
		s.stages[i] = stageState{service: v, pieces: make([]piece, st.Pieces), left: st.Pieces}
		for k := range s.stages[i].pieces {
			s.stages[i].pieces[k] = piece{job: s, stage: i, index: k}
		}
		for _, a := range st.After {
			s.stages[a].readers = append(s.stages[a].readers, i)
		}
	}
	return s
}

// count changes the number of pieces of stage i that are not made by n.
func (j *job) count(i, n int) {
	st := &j.stages[i]
	st.left += n
	if j.admitted {
		st.service.backlog.add(j.place, n)
	}
}

// admit counts what is left of the job in the backlogs of its services, or, when
// it is dropped, counts it no more.
func (j *job) admit(admitted bool) {
	if j.admitted == admitted {
		return
	}
	j.admitted = admitted
	for i := range j.stages {
		n := j.stages[i].left
		if !admitted {
			n = -n
		}
		if n != 0 {
			j.stages[i].service.backlog.add(j.place, n)
		}
	}
}

// canStart says whether all stages that stage i comes after are complete.
func (j *job) canStart(i int) bool {
	for _, a := range j.Stages[i].After {
		if j.stages[a].left > 0 {
			return false
		}
	}
	return true
}

// earlyCalls is how many times of its own call a stage is started before the
// rest of the job is expected to be ready: one call, and a wait of another. With
// one or three, mean worth of a deployment whose rooms are tight was lower by
// 0.012 and 0.006.
const earlyCalls = 2

// tooEarly says whether stage i would be ready long before other stages of the
// job that do not read it: its results would take up room until those are made,
// and with many such jobs the chains beside them find none. It starts when one of
// the others is complete and the rest is short enough. Mean worth with tight
// rooms: 0.692 without, 0.711 with (24 days of load and trouble).
func (j *job) tooEarly(i int) bool {
	st := &j.stages[i]
	if len(st.readers) > 0 {
		return false
	}
	rest, _ := j.shortestBut(i)
	return rest > time.Duration(earlyCalls)*st.service.usualTime(st.left)
}

// wasRead says whether the results of stage i have all been read: its readers are
// complete.
func (j *job) wasRead(i int) bool {
	st := &j.stages[i]
	if st.left > 0 || len(st.pieces) == 0 || len(st.readers) == 0 {
		return false
	}
	for _, k := range st.readers {
		if j.stages[k].left > 0 {
			return false
		}
	}
	return true
}

// complete says whether every stage is.
func (j *job) complete() bool {
	for i := range j.stages {
		if j.stages[i].left > 0 {
			return false
		}
	}
	return true
}

// underWay says whether calls that run, or are still heard, have every piece that is
// not made.
func (j *job) underWay() bool {
	for i := range j.stages {
		for k := range j.stages[i].pieces {
			if p := &j.stages[i].pieces[k]; p.state != made && p.state != running {
				return false
			}
		}
	}
	return true
}

// inputs returns the handles that a piece of stage i reads.
func (j *job) inputs(i int) []string {
	var handles []string
	for _, a := range j.Stages[i].After {
		for k := range j.stages[a].pieces {
			handles = append(handles, j.stages[a].pieces[k].handle)
		}
	}
	return handles
}

// home returns the failure domain in which a piece of stage i is best made:
// where most bytes of its inputs lie, if they are more than it makes for its
// readers, else the job's.
func (j *job) home(i int) string {
	w := weights{bytes: map[string]int64{}, domain: j.Domain}
	for _, a := range j.Stages[i].After {
		for k := range j.stages[a].pieces {
			if p := &j.stages[a].pieces[k]; p.holder != nil {
				w.add(p)
			}
		}
	}
	if w.most < j.made(i) {
		return j.Domain
	}
	return w.domain
}

// weights are the bytes of results by the failure domain in which they lie, and
// the domain with the most of them.
type weights struct {
	bytes  map[string]int64
	domain string
	most   int64
}

// add counts the result of a piece that is made.
func (w *weights) add(p *piece) {
	d := p.holder.FailureDomain
	w.bytes[d] += p.bytes()
	if w.bytes[d] > w.most {
		w.domain, w.most = d, w.bytes[d]
	}
}

// comesTo returns the failure domain in which stage i will best be made as far
// as that can be seen: where its inputs are or are being made.
func (j *job) comesTo(i int) string {
	for _, a := range j.Stages[i].After {
		for k := range j.stages[a].pieces {
			if at := j.stages[a].pieces[k].at; at != nil {
				return at.FailureDomain
			}
		}
	}
	return j.Domain
}

// made returns the bytes that the readers of one piece of stage i fetch.
func (j *job) made(i int) int64 {
	readers := j.stages[i].readers
	if len(readers) == 0 {
		return j.Stages[i].ResultBytes
	}
	var n int64
	for _, k := range readers {
		n += j.Stages[i].ResultBytes * int64(max(1, j.Stages[k].Pieces))
	}
	return n
}

// moved returns the bytes that may cross failure domains when one piece of
// stage i is made away from its home.
func (j *job) moved(i int) int64 {
	n := j.made(i)
	for _, a := range j.Stages[i].After {
		n += j.Stages[a].ResultBytes * int64(j.Stages[a].Pieces)
	}
	return n
}

// slack returns how long the job's stages may wait altogether and still be done
// when they are due, over how many calls in a row that wait is spread, and
// whether the job cannot be on time any more.
func (j *job) slack(now time.Time) (slack time.Duration, calls int, late bool) {
	shortest, calls := j.shortest()
	done := now.Add(shortest)
	return j.Due.Sub(done), calls, done.After(j.Latest)
}

// shortest returns the least time that the stages left need, the longest chain
// of one call each, and the calls of that chain.
func (j *job) shortest() (time.Duration, int) { return j.shortestBut(-1) }

// shortestBut is shortest without stage but.
func (j *job) shortestBut(but int) (time.Duration, int) {
	var most time.Duration
	var ends [maxStages]time.Duration
	var depth [maxStages]int
	deepest := 0
	for i := range j.stages {
		var start time.Duration
		for _, a := range j.Stages[i].After {
			start, depth[i] = max(start, ends[a]), max(depth[i], depth[a])
		}
		end := start
		if n := j.stages[i].left; n > 0 && i != but {
			s := j.stages[i].service
			end += s.usualTime(n)
			depth[i]++
		}
		ends[i] = end
		most, deepest = max(most, end), max(deepest, depth[i])
	}
	return most, deepest
}

// maxStages bounds the stages of a job.
const maxStages = 16
