package stages_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/wheatseam/wheatseam/core/stage"
	"github.com/wheatseam/wheatseam/internal/faultrelay"
	"github.com/wheatseam/wheatseam/peer"
	"github.com/wheatseam/wheatseam/stages"
)

var _ = Describe("a planner that is unreachable for a while", func() {
	It("does not release results that another planner continues with, once it is reachable again", func() {
		r := newReplicas()
		nodes, _ := newNodes(r, 3)
		silent := faultrelay.Direction{Blackhole: true}
		time.AfterFunc(200*time.Millisecond, func() {
			nodes[0].relay.Set(faultrelay.Conditions{ToTarget: silent, ToCaller: silent})
			time.AfterFunc(900*time.Millisecond, nodes[0].relay.Heal)
		})
		var jobs sync.WaitGroup
		for i := range 40 {
			jobs.Go(func() {
				time.Sleep(time.Duration(20*i) * time.Millisecond)
				id := fmt.Sprint("job-", i)
				if end := nodes[2].service.Prepare(context.Background(), job(id)); end != nil && end.Refused == nil {
					nodes[2].service.Release(id)
				}
			})
		}
		jobs.Wait()
		time.Sleep(2500 * time.Millisecond) // by then the first planner has dropped the jobs that their owner no longer polls for
		r.mu.Lock()
		defer r.mu.Unlock()
		Expect(r.violations).To(BeEmpty())
	})
})

// fault is a fault that affects the calls between two hosts.
type fault int

const (
	noFault fault = iota
	// With dropRequests and dropReplies the caller gets no answer; with dropReplies the
	// call was executed.
	dropRequests
	dropReplies
	// With failBefore and failAfter a call fails at once; with failAfter it was executed.
	failBefore
	failAfter
	// A suspended host answers nothing; it executes what is due when it resumes.
	suspended
	faultCount
)

// faultPeriod is a period in which one host has a fault. from is the only host whose calls
// are affected, or empty if all are.
type faultPeriod struct {
	host, from string
	fault      fault
	begins     time.Time
	ends       time.Time
}

// fakeNetwork carries the calls between hosts, and from hosts to replicas, in memory.
type fakeNetwork struct {
	muxes  map[string]*peer.Mux
	faults []faultPeriod
	// runningCalls counts the calls to replicas that are in progress.
	runningCalls atomic.Int32
	// slots, if set, limits each replica to executing one call at a time.
	slots map[string]chan struct{}
}

// acquire waits for the slot of a replica and returns whether the call got it before ctx
// ended.
func (w *fakeNetwork) acquire(ctx context.Context, replica string) bool {
	if w.slots == nil {
		return true
	}
	select {
	case w.slots[replica] <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// release frees the slot of a replica.
func (w *fakeNetwork) release(replica string) {
	if w.slots != nil {
		<-w.slots[replica]
	}
}

// faultOf returns the current fault of calls between two hosts, and when it ends.
func (w *fakeNetwork) faultOf(from, to string) (fault, time.Time) {
	now := time.Now()
	for _, s := range w.faults {
		applies := s.host == to && (s.from == "" || s.from == from) || s.host == from && s.fault == suspended
		if applies && !now.Before(s.begins) && now.Before(s.ends) {
			return s.fault, s.ends
		}
	}
	return noFault, now
}

// fakeCaller is the peer.Caller of one host.
type fakeCaller struct {
	*fakeNetwork
	self string
}

var errConnectionCut = errors.New("connection cut")

const oneWayDelay = time.Millisecond

// Call implements peer.Caller.
func (w fakeCaller) Call(ctx context.Context, host, method string, req, resp proto.Message) error {
	time.Sleep(oneWayDelay)
	switch what, ends := w.faultOf(w.self, host); what {
	case dropRequests:
		<-ctx.Done()
		return ctx.Err()
	case failBefore:
		return errConnectionCut
	case suspended:
		select {
		case <-time.After(time.Until(ends)):
		case <-ctx.Done():
			// A host that resumes reads the requests that arrived meanwhile.
			go func() {
				time.Sleep(time.Until(ends))
				_ = peer.CallLocal(context.Background(), w.muxes[host], w.self, method, req, proto.Clone(resp))
			}()
			return ctx.Err()
		}
	}
	if err := peer.CallLocal(ctx, w.muxes[host], w.self, method, req, resp); err != nil {
		return err
	}
	time.Sleep(oneWayDelay)
	switch what, _ := w.faultOf(w.self, host); what {
	case dropReplies, dropRequests, suspended:
		<-ctx.Done()
		return ctx.Err()
	case failBefore, failAfter:
		return errConnectionCut
	}
	return ctx.Err()
}

// networkedReplicas is the replica client of one planner, which makes no calls while its
// host is suspended.
type networkedReplicas struct {
	replicaClient
	network *fakeNetwork
	work    func() time.Duration
}

func (r networkedReplicas) awaitResumed() {
	for {
		what, ends := r.network.faultOf(r.planner, "")
		if what != suspended {
			return
		}
		time.Sleep(time.Until(ends))
	}
}

func (r networkedReplicas) RunPieces(ctx context.Context, a stage.Run) ([]stage.Result, stage.CallOutcome, error) {
	r.network.runningCalls.Add(1)
	defer r.network.runningCalls.Add(-1)
	r.awaitResumed()
	if !r.network.acquire(ctx, a.Replica) {
		return nil, stage.CallFailed, ctx.Err()
	}
	// A replica completes a call that it is executing even if the caller has cancelled it.
	time.Sleep(r.work())
	results, outcome, err := r.replicaClient.RunPieces(context.WithoutCancel(ctx), a)
	r.network.release(a.Replica)
	r.awaitResumed()
	if ctx.Err() != nil {
		return nil, stage.CallFailed, ctx.Err()
	}
	return results, outcome, err
}

func (r networkedReplicas) ReleaseResults(ctx context.Context, a stage.Release) error {
	r.awaitResumed()
	return r.replicaClient.ReleaseResults(ctx, a)
}

// fakeFleet is a fleet of hosts that share the same replicas.
type fakeFleet struct {
	*fakeNetwork
	replicas *replicas
	names    []string
	services map[string]*stages.Service
}

// newFakeFleet starts hosts in rank order. Each call for pieces takes the time that work
// returns. The fleet stops at the end of the test.
func newFakeFleet(t *testing.T, hosts int, work func() time.Duration, faults ...faultPeriod) *fakeFleet {
	f := &fakeFleet{
		fakeNetwork: &fakeNetwork{muxes: map[string]*peer.Mux{}, faults: faults},
		replicas:    newReplicas(), services: map[string]*stages.Service{},
	}
	f.replicas.work = 0
	for i := range hosts {
		f.names = append(f.names, fmt.Sprint("host-", i))
	}
	m := &members{}
	m.names.Store(&f.names)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, name := range f.names {
		f.muxes[name] = peer.NewMux()
		s := stages.New(stages.Config{
			Self: name, Replicas: networkedReplicas{replicaClient{f.replicas, name}, f.fakeNetwork, work}, Members: m, Caller: fakeCaller{f.fakeNetwork, name},
			Mux: f.muxes[name], Logger: zap.NewNop(),
		})
		s.Configure(services(), listedReplicas)
		f.services[name] = s
		running.Go(func() { s.Run(ctx) })
	}
	t.Cleanup(func() { cancel(); running.Wait(); f.awaitCalls() })
	return f
}

// awaitCalls waits until no call to a replica is in progress.
func (f *fakeFleet) awaitCalls() {
	for f.runningCalls.Load() > 0 {
		time.Sleep(settleTime)
	}
}

// planned returns the number of jobs that all hosts still plan.
func (f *fakeFleet) planned() int {
	n := 0
	for _, s := range f.services {
		n += s.Dump().Planned
	}
	return n
}

// chainedJob returns a job of three stages, each of which reads the results of the previous
// one.
func chainedJob(id string, due time.Duration) stage.Job {
	now := time.Now()
	return stage.Job{
		ID: id, Key: "k", Due: now.Add(due), Deadline: now.Add(due + time.Second),
		Stages: []stage.Stage{
			{Service: "a", Pieces: 2}, {Service: "b", DependsOn: []int{0}, Pieces: 3}, {Service: "a", DependsOn: []int{1}, Pieces: 2},
		},
	}
}

// TestJobsHandedOverUnderFaults runs random loads with random faults between hosts. It
// guards against planners that release a result twice, use a result of another job or never
// drop a job.
func TestJobsHandedOverUnderFaults(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runHandoverFaults(t, seed) })
		})
	}
}

func runHandoverFaults(t *testing.T, seed uint64) {
	const hosts, jobs = 4, 60
	g := NewWithT(t)
	rng := rand.New(rand.NewPCG(seed, 11))
	var lock sync.Mutex
	draw := func(most time.Duration) time.Duration {
		lock.Lock()
		defer lock.Unlock()
		return time.Duration(rng.Int64N(int64(most)))
	}
	var faults []faultPeriod
	for range 6 {
		s := faultPeriod{host: fmt.Sprint("host-", rng.IntN(3)), fault: 1 + fault(rng.IntN(int(faultCount)-1))}
		if rng.IntN(2) == 0 && s.fault != suspended {
			s.from = fmt.Sprint("host-", rng.IntN(hosts))
		}
		s.begins = time.Now().Add(draw(3 * time.Second))
		s.ends = s.begins.Add(50*time.Millisecond + draw(2*time.Second))
		faults = append(faults, s)
	}
	f := newFakeFleet(t, hosts, func() time.Duration { return 10*time.Millisecond + draw(400*time.Millisecond) }, faults...)
	var preparing sync.WaitGroup
	ready := 0
	for i := range jobs {
		preparing.Go(func() {
			time.Sleep(draw(3 * time.Second))
			id := fmt.Sprint("job-", i)
			s := f.services[f.names[i%hosts]]
			ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond+draw(5*time.Second))
			defer cancel()
			end := s.Prepare(ctx, chainedJob(id, time.Second+draw(4*time.Second)))
			if end == nil || end.Refused != nil {
				return
			}
			lock.Lock()
			ready++
			lock.Unlock()
			time.Sleep(draw(500 * time.Millisecond))
			s.Release(id)
		})
	}
	preparing.Wait()
	time.Sleep(30 * time.Second) // by then planners have dropped the jobs that their owners no longer poll for
	f.replicas.mu.Lock()
	defer f.replicas.mu.Unlock()
	g.Expect(f.replicas.violations).To(BeEmpty())
	g.Expect(f.planned()).To(BeZero())
	g.Expect(ready).To(BeNumerically(">", 0))
}

// settleTime is long enough for a few messages and the delay before a release of results,
// but shorter than the time for which a planner holds a poll.
const settleTime = 150 * time.Millisecond

// TestReadResultsAreReleasedPromptly guards against results that stay at a replica after
// they have been read, in particular results that were reported to the job's owner.
func TestReadResultsAreReleasedPromptly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFakeFleet(t, 2, func() time.Duration { return slowWork })
		owner := f.services[f.names[1]]
		ready := make(chan *stages.JobOutcome, 1)
		go func() { ready <- owner.Prepare(context.Background(), chainedJob("job", 20*time.Second)) }()
		time.Sleep(2*slowWork + settleTime)
		g.Expect(f.replicas.resultCount()).To(Equal(3), "the results of the second stage, which has read the first")
		end := <-ready
		g.Expect(end).NotTo(BeNil())
		g.Expect(end.Refused).To(BeNil())
		time.Sleep(settleTime)
		g.Expect(f.replicas.resultCount()).To(Equal(2), "the results of the last stage")
		owner.Release("job")
		time.Sleep(settleTime)
		g.Expect(f.replicas.resultCount()).To(BeZero())
	})
}

// TestResultsOfTimedOutCallsAreReleased guards against leaking the results of timed-out
// calls that are answered after the job is ready. Pieces of timed-out calls run again, so
// that their results exist twice.
func TestResultsOfTimedOutCallsAreReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const work = 2500 * time.Millisecond // several times the timeout of a call
		f := newFakeFleet(t, 2, func() time.Duration { return work })
		f.slots = map[string]chan struct{}{}
		for _, r := range listedReplicas() {
			f.slots[r.ID] = make(chan struct{}, 1)
		}
		owner := f.services[f.names[1]]
		end := owner.Prepare(context.Background(), chainedJob("job", 20*time.Second))
		g.Expect(end).NotTo(BeNil())
		g.Expect(end.Refused).To(BeNil())
		owner.Release("job")
		f.awaitCalls()
		time.Sleep(settleTime)
		g.Expect(f.replicas.completed).To(BeNumerically(">", 7), "some of its seven pieces ran again")
		g.Expect(f.replicas.resultCount()).To(BeZero())
	})
}
