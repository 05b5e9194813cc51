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

var _ = Describe("a planner that cannot be reached for a while", func() {
	It("leaves results alone that another planner goes on with, once it can be reached again", func() {
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
		time.Sleep(2500 * time.Millisecond) // by then the first planner has given up what it was not told of
		r.mu.Lock()
		defer r.mu.Unlock()
		Expect(r.faults).To(BeEmpty())
	})
})

// trouble is what happens to the calls between two hosts.
type trouble int

const (
	none trouble = iota
	// requestsLost and answersLost calls hear nothing; the latter were carried out.
	requestsLost
	answersLost
	// cutBefore and cutAfter calls fail at once; the latter were carried out.
	cutBefore
	cutAfter
	// still hosts answer nothing, and what they do is done when they go on.
	still
	troubles
)

// spell is a time of trouble for one host; from is the only host whose calls have
// it, or empty for all.
type spell struct {
	host, from string
	what       trouble
	begins     time.Time
	ends       time.Time
}

// wires are the ways between hosts, and from hosts to replicas, without a network.
type wires struct {
	muxes  map[string]*peer.Mux
	spells []spell
	// calling counts the calls to replicas that have not ended.
	calling atomic.Int32
	// places has the calls that a replica works on, one at a time, where it is set.
	places map[string]chan struct{}
}

// queue has a call wait for its turn at a replica, and says whether it came.
func (w *wires) queue(ctx context.Context, replica string) bool {
	if w.places == nil {
		return true
	}
	select {
	case w.places[replica] <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// leave ends a call's turn at a replica.
func (w *wires) leave(replica string) {
	if w.places != nil {
		<-w.places[replica]
	}
}

// trouble returns that of a call between two hosts now, and when it ends.
func (w *wires) trouble(from, to string) (trouble, time.Time) {
	now := time.Now()
	for _, s := range w.spells {
		concerns := s.host == to && (s.from == "" || s.from == from) || s.host == from && s.what == still
		if concerns && !now.Before(s.begins) && now.Before(s.ends) {
			return s.what, s.ends
		}
	}
	return none, now
}

// wire is one host's way to the others.
type wire struct {
	*wires
	self string
}

var errWireCut = errors.New("cut")

const oneWay = time.Millisecond

// Call implements peer.Caller.
func (w wire) Call(ctx context.Context, host, method string, req, resp proto.Message) error {
	time.Sleep(oneWay)
	switch what, ends := w.trouble(w.self, host); what {
	case requestsLost:
		<-ctx.Done()
		return ctx.Err()
	case cutBefore:
		return errWireCut
	case still:
		select {
		case <-time.After(time.Until(ends)):
		case <-ctx.Done():
			// A host that goes on reads what came meanwhile.
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
	time.Sleep(oneWay)
	switch what, _ := w.trouble(w.self, host); what {
	case answersLost, requestsLost, still:
		<-ctx.Done()
		return ctx.Err()
	case cutBefore, cutAfter:
		return errWireCut
	}
	return ctx.Err()
}

// reached is one planner's way to replicas: while its host stands still it calls none.
type reached struct {
	asked
	wires *wires
	work  func() time.Duration
}

func (r reached) await() {
	for {
		what, ends := r.wires.trouble(r.planner, "")
		if what != still {
			return
		}
		time.Sleep(time.Until(ends))
	}
}

func (r reached) RunPieces(ctx context.Context, a stage.Run) ([]stage.Result, stage.CallOutcome, error) {
	r.wires.calling.Add(1)
	defer r.wires.calling.Add(-1)
	r.await()
	if !r.wires.queue(ctx, a.Replica) {
		return nil, stage.CallFailed, ctx.Err()
	}
	// A replica goes on with a call that it works on, whoever listens.
	time.Sleep(r.work())
	results, outcome, err := r.asked.RunPieces(context.WithoutCancel(ctx), a)
	r.wires.leave(a.Replica)
	r.await()
	if ctx.Err() != nil {
		return nil, stage.CallFailed, ctx.Err()
	}
	return results, outcome, err
}

func (r reached) ReleaseResults(ctx context.Context, a stage.Release) error {
	r.await()
	return r.asked.ReleaseResults(ctx, a)
}

// wired is a fleet before the same replicas.
type wired struct {
	*wires
	replicas *replicas
	names    []string
	services map[string]*stages.Service
}

// newWired starts hosts, the first in rank first. Each call for pieces takes work.
// The fleet ends with the test.
func newWired(t *testing.T, hosts int, work func() time.Duration, spells ...spell) *wired {
	f := &wired{
		wires:    &wires{muxes: map[string]*peer.Mux{}, spells: spells},
		replicas: newReplicas(), services: map[string]*stages.Service{},
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
			Self: name, Replicas: reached{asked{f.replicas, name}, f.wires, work}, Members: m, Caller: wire{f.wires, name},
			Mux: f.muxes[name], Logger: zap.NewNop(),
		})
		s.Configure(services(), listed())
		f.services[name] = s
		running.Go(func() { s.Run(ctx) })
	}
	t.Cleanup(func() { cancel(); running.Wait(); f.await() })
	return f
}

// await waits until no call to a replica is under way.
func (f *wired) await() {
	for f.calling.Load() > 0 {
		time.Sleep(soon)
	}
}

// planned is the number of jobs that hosts still plan.
func (f *wired) planned() int {
	n := 0
	for _, s := range f.services {
		n += s.Dump().Planned
	}
	return n
}

// chain is a job of three stages, each read by the next.
func chain(id string, due time.Duration) stage.Job {
	now := time.Now()
	return stage.Job{
		ID: id, Key: "k", Due: now.Add(due), Deadline: now.Add(due + time.Second),
		Stages: []stage.Stage{
			{Service: "a", Pieces: 2}, {Service: "b", DependsOn: []int{0}, Pieces: 3}, {Service: "a", DependsOn: []int{1}, Pieces: 2},
		},
	}
}

// TestMovedJobs plays short days on which hosts lose each other in every way, and
// holds their planners to giving no result up twice, and every job in the end.
func TestMovedJobs(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playMoved(t, seed) })
		})
	}
}

func playMoved(t *testing.T, seed uint64) {
	const hosts, jobs = 4, 60
	g := NewWithT(t)
	rng := rand.New(rand.NewPCG(seed, 11))
	var lock sync.Mutex
	draw := func(most time.Duration) time.Duration {
		lock.Lock()
		defer lock.Unlock()
		return time.Duration(rng.Int64N(int64(most)))
	}
	var spells []spell
	for range 6 {
		s := spell{host: fmt.Sprint("host-", rng.IntN(3)), what: 1 + trouble(rng.IntN(int(troubles)-1))}
		if rng.IntN(2) == 0 && s.what != still {
			s.from = fmt.Sprint("host-", rng.IntN(hosts))
		}
		s.begins = time.Now().Add(draw(3 * time.Second))
		s.ends = s.begins.Add(50*time.Millisecond + draw(2*time.Second))
		spells = append(spells, s)
	}
	f := newWired(t, hosts, func() time.Duration { return 10*time.Millisecond + draw(400*time.Millisecond) }, spells...)
	var asked sync.WaitGroup
	ready := 0
	for i := range jobs {
		asked.Go(func() {
			time.Sleep(draw(3 * time.Second))
			id := fmt.Sprint("job-", i)
			s := f.services[f.names[i%hosts]]
			ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond+draw(5*time.Second))
			defer cancel()
			end := s.Prepare(ctx, chain(id, time.Second+draw(4*time.Second)))
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
	asked.Wait()
	time.Sleep(30 * time.Second) // jobs of which no word came are given up by then
	f.replicas.mu.Lock()
	defer f.replicas.mu.Unlock()
	g.Expect(f.replicas.faults).To(BeEmpty())
	g.Expect(f.planned()).To(BeZero())
	g.Expect(ready).To(BeNumerically(">", 0))
}

// soon is a few messages, and the time for which results are kept back so that one call
// gives many up; a poll is held for longer.
const soon = 150 * time.Millisecond

// TestReadResults holds planners to giving results up soon after they have been read,
// also those that the job's owner was told of meanwhile.
func TestReadResults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newWired(t, 2, func() time.Duration { return slowWork })
		owner := f.services[f.names[1]]
		ready := make(chan *stages.JobOutcome, 1)
		go func() { ready <- owner.Prepare(context.Background(), chain("job", 20*time.Second)) }()
		time.Sleep(2*slowWork + soon)
		g.Expect(f.replicas.holds()).To(Equal(3), "the results of the second stage, which has read the first")
		end := <-ready
		g.Expect(end).NotTo(BeNil())
		g.Expect(end.Refused).To(BeNil())
		time.Sleep(soon)
		g.Expect(f.replicas.holds()).To(Equal(2), "the results of the last stage")
		owner.Release("job")
		time.Sleep(soon)
		g.Expect(f.replicas.holds()).To(BeZero())
	})
}

// TestResultsOfLapsedCalls holds planners to giving up what calls bring that are too
// late to be counted on, once a job's results are there: such calls make them all anew.
func TestResultsOfLapsedCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const work = 2500 * time.Millisecond // several times that after which a call lapses
		f := newWired(t, 2, func() time.Duration { return work })
		f.places = map[string]chan struct{}{}
		for _, r := range listed() {
			f.places[r.ID] = make(chan struct{}, 1)
		}
		owner := f.services[f.names[1]]
		end := owner.Prepare(context.Background(), chain("job", 20*time.Second))
		g.Expect(end).NotTo(BeNil())
		g.Expect(end.Refused).To(BeNil())
		owner.Release("job")
		f.await()
		time.Sleep(soon)
		g.Expect(f.replicas.made).To(BeNumerically(">", 7), "some of its seven pieces were made anew")
		g.Expect(f.replicas.holds()).To(BeZero())
	})
}
