package stage

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/wheatseam/wheatseam/core/catalog"
)

// loadSim simulates the load of a fleet on a Machine in simulated time: callers that arrive
// at random and retry once when refused, replicas whose calls take time and whose memory
// fills up, and engines that read the results.
type loadSim struct {
	m          *Machine
	rng        *rand.Rand
	now        time.Time
	start      time.Time
	events     simEvents
	seq        int
	replicas   map[string]*simReplica
	kinds      []*simKind
	jobs       map[string]*simJob
	handles    int
	configured Configured
	// powerLost says that all hosts are down.
	powerLost bool
	// outOfMemory and missingInputs count the pieces that found no memory or no inputs.
	outOfMemory, missingInputs int
	// refusedAfterAdmission counts the jobs that were refused after they had been admitted.
	refusedAfterAdmission int
	// completed holds the pieces that were completed, by job.
	completed map[string][]CompletedPiece
	// config is the configuration of the machine.
	config Config
	// customers holds the outcomes by customer; requests have no customers if it is empty.
	customers []*simCustomer
	// arrivals chooses when requests arrive and what they need, customerRNG their customers.
	arrivals, customerRNG *rand.Rand
}

// simCustomer is a customer with the outcomes of its requests by kind.
type simCustomer struct {
	name   string
	weight float64
	kinds  map[string]tallies
}

// tallies counts outcomes by the second in which the requests arrived.
type tallies map[int]*simTally

func (b tallies) add(second int, o simTally) {
	if b[second] == nil {
		b[second] = &simTally{}
	}
	b[second].add(o)
}

type simKind struct {
	name string
	// rate returns the number of requests a second.
	rate                func(at time.Duration) float64
	priority            int
	objective, deadline time.Duration
	// engine is the usual time from the results to the first event of the answer.
	engine time.Duration
	// onTimeValue and lateValue are the values of an answer.
	onTimeValue, lateValue float64
	stages                 func(*rand.Rand) []Stage
	// continues says that the requests continue streams, which are of use until their deadline.
	continues bool
	// domain says that the results are to be read in a given, random failure domain.
	domain bool
	// customer is the only customer that sends such requests; nil if all customers do.
	customer *simCustomer

	buckets tallies
}

// simTally counts the outcomes of the requests of a kind that arrived within one second.
type simTally struct{ arrived, onTime, late, refused int }

func (t *simTally) add(o simTally) {
	t.arrived += o.arrived
	t.onTime += o.onTime
	t.late += o.late
	t.refused += o.refused
}

type simJob struct {
	kind *simKind
	// customer is nil if the deployment has none.
	customer *simCustomer
	arrived  time.Time
	retries  int
	job      Job
	// answered says that the first event of the answer was sent.
	answered bool
}

// simReplica is a replica that runs one call at a time.
type simReplica struct {
	catalog.Replica
	params catalog.StageProfile
	// usedBytes is the memory taken by results.
	usedBytes int64
	// reportedBytes is usedBytes as of the last report.
	reportedBytes int64
	// slowFactor scales the call times while the replica is slow, baseFactor always.
	slowFactor float64
	down       bool
	results    map[string]int64
	// incarnation counts the times that the replica went down.
	incarnation int
	baseFactor  float64
}

type simEvent struct {
	at  time.Time
	seq int
	do  func()
}

type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	return cmp.Or(e[i].at.Compare(e[j].at), cmp.Compare(e[i].seq, e[j].seq)) < 0
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// networkDelay is the time between two hosts, including processing.
const networkDelay = 4 * time.Millisecond

func newLoadSim(seed uint64) *loadSim { return newConfiguredLoadSim(seed, Config{}) }

func newConfiguredLoadSim(seed uint64, c Config) *loadSim {
	rng := rand.New(rand.NewPCG(seed, 11))
	return &loadSim{
		m: New(c), config: c, completed: map[string][]CompletedPiece{}, arrivals: rng, customerRNG: rand.New(rand.NewPCG(seed, 12)), rng: rng, now: time.Unix(1000, 0), start: time.Unix(1000, 0),
		replicas: map[string]*simReplica{}, jobs: map[string]*simJob{},
	}
}

func (s *loadSim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, simEvent{s.now.Add(d), s.seq, do})
}

// at schedules a function at a time after the start.
func (s *loadSim) at(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, simEvent{s.start.Add(d), s.seq, do})
}

// service adds the replicas of a service, spread evenly over the failure domains.
func (s *loadSim) service(e *Configured, name string, f catalog.StageProfile, n int, domains []string) {
	e.Services[name] = &catalog.Service{Name: name, StageProfile: &f}
	for i := range n {
		id := fmt.Sprintf("%s-%02d", name, i)
		r := catalog.Replica{ID: id, Service: name, Address: id + ":80", FailureDomain: domains[i%len(domains)], Concurrency: 1}
		e.Replicas = append(e.Replicas, r)
		s.replicas[id] = &simReplica{Replica: r, params: f, slowFactor: 1, baseFactor: []float64{1, 1, 1.3}[i%3], results: map[string]int64{}}
	}
}

func (s *loadSim) step(e Event) {
	if s.powerLost {
		return
	}
	for _, a := range s.m.Step(s.now, e) {
		switch a := a.(type) {
		case Progress:
			s.completed[a.Job] = append(s.completed[a.Job], a.Piece)
		case Run:
			s.after(networkDelay, func() { s.startCall(a) })
		case Release:
			s.after(networkDelay/2, func() {
				for _, h := range a.Handles {
					s.release(s.replicas[a.Replica], h)
				}
			})
		case QueryMemory:
			s.queryMemory(a)
		case Ready:
			s.after(networkDelay, func() { s.ready(a) })
		case Refused:
			if _, submitted := e.(Submitted); !submitted {
				s.refusedAfterAdmission++
			}
			s.after(networkDelay, func() { s.refused(a) })
		}
	}
}

// queryMemory asks a replica for its free memory; the answer is up to memoryReportInterval
// old.
func (s *loadSim) queryMemory(a QueryMemory) {
	r, queriedAt, planner := s.replicas[a.Replica], s.now, s.m
	s.after(networkDelay, func() {
		if r.down || s.m != planner {
			return
		}
		minFree := (r.params.ResultCapacityBytes - r.reportedBytes) / memoryReportUnit * memoryReportUnit
		s.step(MemoryReported{Replica: a.Replica, QueriedAt: queriedAt, Free: FreeMemory{minFree, min(minFree+memoryReportUnit, r.params.ResultCapacityBytes)}})
	})
}

// reportMemory updates what all replicas report as their free memory, every
// memoryReportInterval.
func (s *loadSim) reportMemory() {
	for _, r := range s.replicas {
		r.reportedBytes = r.usedBytes
	}
	if len(s.events) > 0 {
		s.after(memoryReportInterval, s.reportMemory)
	}
}

// memoryReportUnit is the unit in which replicas report their free memory, in bytes.
const memoryReportUnit = 1_000_000

// memoryReportInterval is the largest age of the free memory that replicas report.
const memoryReportInterval = 200 * time.Millisecond

func (s *loadSim) release(r *simReplica, h string) {
	r.usedBytes -= r.results[h]
	delete(r.results, h)
}

// startCall executes a call at a replica.
func (s *loadSim) startCall(a Run) {
	r := s.replicas[a.Replica]
	incarnation := r.incarnation
	if r.down {
		s.after(networkDelay, func() { s.step(CallEnded{Call: a.Call, Outcome: CallUnreachable}) })
		return
	}
	end := CallEnded{Call: a.Call, Outcome: CallAnswered}
	duration := r.params.CallTime
	for _, p := range a.Pieces {
		j := s.jobs[p.Job]
		if j == nil {
			end.Results = append(end.Results, Result{Kind: PieceExpired})
			continue
		}
		size := j.job.Stages[p.Stage].ResultBytes
		if !s.inputsExist(p.Inputs) {
			s.missingInputs++
			end.Results = append(end.Results, Result{Kind: PieceInputMissing})
			continue
		}
		if len(r.results) > 0 && r.usedBytes+size > r.params.ResultCapacityBytes {
			s.outOfMemory++
			end.Results = append(end.Results, Result{Kind: PieceOutOfMemory})
			continue
		}
		s.handles++
		h := fmt.Sprintf("%s/%d", r.Address, s.handles)
		r.usedBytes += size
		r.results[h] = size
		// A piece with a small result takes less time.
		sizeFactor := 1.0
		if size == smallResult {
			sizeFactor = 0.3
		}
		duration += time.Duration(sizeFactor * (0.8 + 0.4*s.rng.Float64()) * float64(r.params.PieceTime))
		end.Results = append(end.Results, Result{Handle: h})
	}
	duration = time.Duration(float64(duration) * r.slowFactor * r.baseFactor)
	planner := s.m
	s.after(duration, func() {
		if r.incarnation != incarnation {
			if s.m == planner {
				s.step(CallEnded{Call: a.Call, Outcome: CallFailed})
			}
			return
		}
		for _, res := range end.Results {
			if h := res.Handle; h != "" {
				s.after(r.params.ResultTTL, func() { s.release(r, h) })
			}
		}
		s.after(networkDelay/2, func() {
			if s.m == planner {
				s.step(end)
			}
		})
	})
}

// inputsExist reports whether all inputs are held by some replica.
func (s *loadSim) inputsExist(inputs []string) bool {
	for _, h := range inputs {
		holder, _, _ := strings.Cut(h, ":")
		if _, ok := s.replicas[holder].results[h]; !ok {
			return false
		}
	}
	return true
}

// count counts an outcome of a request.
func (s *loadSim) count(j *simJob, o simTally) {
	second := int(j.arrived.Sub(s.start) / time.Second)
	j.kind.buckets.add(second, o)
	if j.customer != nil {
		if j.customer.kinds[j.kind.name] == nil {
			j.customer.kinds[j.kind.name] = tallies{}
		}
		j.customer.kinds[j.kind.name].add(second, o)
	}
}

// chooseCustomer returns the customer of a new request; nil if the deployment has none.
func (s *loadSim) chooseCustomer(k *simKind) *simCustomer {
	if k.customer != nil || len(s.customers) == 0 {
		return k.customer
	}
	var sum float64
	for _, c := range s.customers {
		sum += c.weight
	}
	at := sum * s.customerRNG.Float64()
	for _, c := range s.customers {
		if at -= c.weight; at < 0 {
			return c
		}
	}
	return s.customers[0]
}

// arrive creates a new request of a kind.
func (s *loadSim) arrive(k *simKind, n int) {
	j := &simJob{kind: k, arrived: s.now, customer: s.chooseCustomer(k)}
	j.job = Job{Key: "key", Rank: catalog.Rank{Customer: 1, Route: k.priority}, Stages: k.stages(s.arrivals)}
	if j.customer != nil {
		j.job.Customer = j.customer.name
	}
	s.count(j, simTally{arrived: 1})
	s.submit(j, fmt.Sprintf("%s-%d", k.name, n))
}

// submit submits a request for the first or the second time.
func (s *loadSim) submit(j *simJob, id string) {
	k := j.kind
	if s.powerLost {
		s.retry(j, id)
		return
	}
	if len(j.job.Stages) == 0 {
		s.recordAnswer(j, s.engineTime(k))
		return
	}
	arrived := s.now
	j.job.ID = id
	j.job.Due = arrived.Add(k.objective - k.engine - k.engine/4)
	j.job.Latest = arrived.Add(k.objective - k.engine)
	j.job.Deadline = j.arrived.Add(k.deadline)
	if j.job.ContinuesStream = k.continues; k.continues {
		j.job.Latest = j.job.Deadline.Add(-k.engine)
	}
	if k.domain {
		j.job.Domain = fmt.Sprint("d", s.rng.IntN(6))
	}
	s.jobs[id] = j
	s.after(networkDelay, func() { s.step(Submitted{j.job}) })
}

func (s *loadSim) engineTime(k *simKind) time.Duration {
	return time.Duration((0.7 + 0.6*s.rng.Float64()) * float64(k.engine))
}

// recordAnswer records the first event of an answer.
func (s *loadSim) recordAnswer(j *simJob, in time.Duration) {
	j.answered = true
	if s.now.Add(in).Sub(j.arrived) <= j.kind.objective {
		s.count(j, simTally{onTime: 1})
	} else {
		s.count(j, simTally{late: 1})
	}
}

func (s *loadSim) ready(a Ready) {
	j := s.jobs[a.Job]
	if j == nil {
		return
	}
	in := s.engineTime(j.kind)
	s.recordAnswer(j, in)
	s.after(in+networkDelay, func() {
		delete(s.jobs, a.Job)
		s.step(Cancelled{Job: a.Job})
	})
}

// The delay before a refused caller retries, as shares of its remaining time.
const (
	minRetryShare = 0.2
	maxRetryShare = 0.32
)

func (s *loadSim) refused(a Refused) {
	if j := s.jobs[a.Job]; j != nil {
		delete(s.jobs, a.Job)
		s.retry(j, a.Job)
	}
}

// retry has a caller retry once after a delay.
func (s *loadSim) retry(j *simJob, id string) {
	if j.answered {
		return
	}
	left := float64(j.arrived.Add(j.kind.deadline).Sub(s.now))
	if j.retries > 0 || left <= 0 {
		s.count(j, simTally{refused: 1})
		return
	}
	j.retries++
	wait := time.Duration(left * (minRetryShare + (maxRetryShare-minRetryShare)*s.rng.Float64()))
	s.after(wait, func() { s.submit(j, id+"-again") })
}

// generateArrivals generates the arrivals of a kind until the end.
func (s *loadSim) generateArrivals(k *simKind, end time.Duration, n int) {
	at := s.now.Sub(s.start)
	if at >= end {
		return
	}
	s.arrive(k, n)
	wait := -math.Log(1-s.arrivals.Float64()) / k.rate(at)
	s.after(time.Duration(wait*float64(time.Second)), func() { s.generateArrivals(k, end, n+1) })
}

// run simulates arrivals until end and continues until all requests are finished.
func (s *loadSim) run(end time.Duration) {
	for _, k := range s.kinds {
		k.buckets = tallies{}
		s.generateArrivals(k, end, 0)
	}
	s.reportMemory()
	for len(s.events) > 0 {
		next := s.events[0].at
		if tick, ok := s.m.NextTick(s.now); ok && tick.Before(next) {
			s.now = tick
			s.step(Tick{})
			continue
		}
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.do()
	}
}
