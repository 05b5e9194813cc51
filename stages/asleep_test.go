package stages

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/core/catalog"
	"github.com/wheatseam/wheatseam/core/stage"
	"github.com/wheatseam/wheatseam/internal/clock"
)

// busy replicas make nothing until the test ends, and count what is given up: calls,
// and results.
type busy struct {
	until  chan struct{}
	calls  atomic.Int32
	closed atomic.Int32
	freed  atomic.Int32
}

func (b *busy) RunPieces(ctx context.Context, _ stage.Run) ([]stage.Result, stage.CallOutcome, error) {
	b.calls.Add(1)
	select {
	case <-b.until:
	case <-ctx.Done():
		b.closed.Add(1)
	}
	return nil, stage.CallFailed, context.Canceled
}

func (b *busy) ReleaseResults(context.Context, stage.Release) error {
	b.freed.Add(1)
	return nil
}

func (b *busy) FreeMemory(context.Context, stage.QueryMemory) (stage.FreeMemory, error) {
	return stage.FreeMemory{}, nil
}

// encoding makes pieces of encode at once, and none of render until the test ends.
type encoding struct {
	busy
	mu      sync.Mutex
	handles []string
	given   []string
}

func (e *encoding) RunPieces(ctx context.Context, a stage.Run) ([]stage.Result, stage.CallOutcome, error) {
	if a.Service != "encode" {
		return e.busy.RunPieces(ctx, a)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []stage.Result
	for _, p := range a.Pieces {
		handle := fmt.Sprint(p.Job, "/", p.Index)
		e.handles = append(e.handles, handle)
		out = append(out, stage.Result{Handle: handle})
	}
	return out, stage.CallAnswered, nil
}

func (e *encoding) ReleaseResults(_ context.Context, a stage.Release) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.given = append(e.given, a.Handles...)
	return nil
}

func (e *encoding) made() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.handles)
}

func (e *encoding) givenUp() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.given)
}

var _ = Describe("a planner", func() {
	It("that slept leaves alone what the owners of its jobs were told of, and gives up the rest", func() {
		replicas := &encoding{busy: busy{until: make(chan struct{})}}
		DeferCleanup(func() { close(replicas.until) })
		p := newPlanner(stage.Config{}, replicas, zap.NewNop())
		pieces := &catalog.StageProfile{Concurrency: 2, Batch: 8, CallTime: time.Second, PieceTime: time.Millisecond, ResultCapacityBytes: 1 << 20, ResultTTL: time.Second}
		services := map[string]*catalog.Service{}
		var listed []catalog.Replica
		for _, name := range []string{"encode", "render"} {
			services[name] = &catalog.Service{Name: name, StageProfile: pieces}
			listed = append(listed, catalog.Replica{ID: name, Service: name, Address: "127.0.0.1:1", FailureDomain: "x", Concurrency: 2})
		}
		p.configure(services, listed)
		for _, id := range []string{"told", "untold"} {
			_, ok := p.submit("fellow", stage.Job{
				ID: id, Key: "k", Due: clock.Now().Add(time.Hour), Deadline: clock.Now().Add(time.Hour),
				Stages: []stage.Stage{{Service: "encode", Pieces: 1, ResultBytes: 100}, {Service: "render", DependsOn: []int{0}, Pieces: 1}},
			})
			Expect(ok).To(BeTrue())
			Eventually(replicas.made).Should(ContainElement(id + "/0"))
		}
		Eventually(replicas.calls.Load).Should(BeNumerically(">", 0), "the results have been taken in")
		Eventually(func() int {
			p.mu.Lock()
			defer p.mu.Unlock()
			return len(p.jobs["told"].made) + len(p.jobs["untold"].made)
		}).Should(Equal(2))
		out, _, _ := p.look("fellow", []string{"told"}, true)
		Expect(out.made["told"]).To(HaveLen(1))
		clock.Simulate(2 * orphanAfter)
		p.tick()
		Eventually(replicas.givenUp).Should(Equal([]string{"untold/0"}))
		Consistently(replicas.givenUp, 2*freeDelay).Should(HaveLen(1))
	})

	It("closes a call that waits at its replica once no job waits for it, and not before", func() {
		replicas := &busy{until: make(chan struct{})}
		DeferCleanup(func() { close(replicas.until) })
		p := newPlanner(stage.Config{}, replicas, zap.NewNop())
		pieces := &catalog.StageProfile{Concurrency: 1, Batch: 8, CallTime: 100 * time.Millisecond, PieceTime: time.Millisecond}
		p.configure(map[string]*catalog.Service{"encode": {Name: "encode", StageProfile: pieces}},
			[]catalog.Replica{{ID: "e1", Service: "encode", Address: "127.0.0.1:1", FailureDomain: "x", Concurrency: 1}})
		due := clock.Now().Add(time.Hour)
		_, ok := p.submit("", stage.Job{
			ID: "own", Key: "k", Due: due, Latest: due, Deadline: due, Stages: []stage.Stage{{Service: "encode", Pieces: 1, ResultBytes: 100}},
		})
		Expect(ok).To(BeTrue())
		Eventually(replicas.calls.Load).Should(BeEquivalentTo(1))
		for range 3 {
			clock.Simulate(2 * time.Second)
			p.tick()
		}
		Eventually(replicas.calls.Load).Should(BeEquivalentTo(2), "the pieces are asked for again")
		Consistently(replicas.closed.Load, 20*time.Millisecond).Should(BeZero())
		p.drop("", []string{"own"}, false)
		clock.Simulate(time.Second)
		p.tick()
		Eventually(replicas.closed.Load).Should(BeEquivalentTo(1))
		Consistently(replicas.closed.Load, 20*time.Millisecond).Should(BeEquivalentTo(1), "the replica may be at work on the first")
	})

	It("that slept is one no more for others: they have gone on elsewhere", func() {
		replicas := &busy{until: make(chan struct{})}
		DeferCleanup(func() { close(replicas.until) })
		p := newPlanner(stage.Config{}, replicas, zap.NewNop())
		pieces := &catalog.StageProfile{Concurrency: 1, Batch: 8, CallTime: 10 * time.Second, PieceTime: time.Millisecond, ResultCapacityBytes: 1 << 20, ResultTTL: time.Second}
		p.configure(map[string]*catalog.Service{"encode": {Name: "encode", StageProfile: pieces}},
			[]catalog.Replica{{ID: "e1", Service: "encode", Address: "127.0.0.1:1", FailureDomain: "x", Concurrency: 1}})
		job := func(id string) stage.Job {
			return stage.Job{
				ID: id, Key: "k", Deadline: clock.Now().Add(time.Hour), Latest: clock.Now().Add(time.Hour),
				Stages: []stage.Stage{{Service: "encode", Pieces: 1, ResultBytes: 100}},
			}
		}
		for from, id := range map[string]string{"": "own", "fellow": "theirs"} {
			_, ok := p.submit(from, job(id))
			Expect(ok).To(BeTrue())
		}
		out, _, _ := p.look("fellow", []string{"theirs"}, true)
		Expect(out.unknown).To(BeEmpty())
		clock.Simulate(2 * orphanAfter)
		p.tick()
		out, _, _ = p.look("fellow", []string{"theirs"}, true)
		Expect(out.unknown).To(ConsistOf("theirs"))
		out, _, _ = p.look("", []string{"own"}, true)
		Expect(out.unknown).To(BeEmpty())
		Expect(replicas.freed.Load()).To(BeZero(), "what was made is the next planner's")

		By("not taking a time without jobs for a sleep")
		p.drop("", []string{"own"}, false)
		clock.Simulate(2 * orphanAfter)
		p.tick()
		_, ok := p.submit("fellow", job("later"))
		Expect(ok).To(BeTrue())
		p.tick()
		out, _, _ = p.look("fellow", []string{"later"}, true)
		Expect(out.unknown).To(BeEmpty())
	})
})
