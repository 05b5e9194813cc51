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

// blockedReplicas complete no call until unblock is closed. They count calls, cancelled
// calls and releases of results.
type blockedReplicas struct {
	unblock   chan struct{}
	calls     atomic.Int32
	cancelled atomic.Int32
	releases  atomic.Int32
}

func (b *blockedReplicas) RunPieces(ctx context.Context, _ stage.Run) ([]stage.Result, stage.CallOutcome, error) {
	b.calls.Add(1)
	select {
	case <-b.unblock:
	case <-ctx.Done():
		b.cancelled.Add(1)
	}
	return nil, stage.CallFailed, context.Canceled
}

func (b *blockedReplicas) ReleaseResults(context.Context, stage.Release) error {
	b.releases.Add(1)
	return nil
}

// FreeMemory reports more free memory than any test's replica has.
func (b *blockedReplicas) FreeMemory(context.Context, stage.QueryMemory) (stage.FreeMemory, error) {
	const free = 1 << 30
	return stage.FreeMemory{Min: free, Max: free}, nil
}

// encodingReplicas complete pieces of the service encode at once, and pieces of other
// services like blockedReplicas.
type encodingReplicas struct {
	blockedReplicas
	mu              sync.Mutex
	handles         []string
	releasedHandles []string
}

func (e *encodingReplicas) RunPieces(ctx context.Context, a stage.Run) ([]stage.Result, stage.CallOutcome, error) {
	if a.Service != "encode" {
		return e.blockedReplicas.RunPieces(ctx, a)
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

func (e *encodingReplicas) ReleaseResults(_ context.Context, a stage.Release) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.releasedHandles = append(e.releasedHandles, a.Handles...)
	return nil
}

func (e *encodingReplicas) completedHandles() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.handles)
}

func (e *encodingReplicas) released() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.releasedHandles)
}

var _ = Describe("a planner", func() {
	It("releases only unreported results of other daemons' jobs after it was suspended", func() {
		replicas := &encodingReplicas{blockedReplicas: blockedReplicas{unblock: make(chan struct{})}}
		DeferCleanup(func() { close(replicas.unblock) })
		p := newPlanner(stage.Config{}, replicas, zap.NewNop())
		pieces := &catalog.StageProfile{Concurrency: 2, Batch: 8, CallTime: time.Second, PieceTime: time.Millisecond, ResultCapacityBytes: 1 << 20, ResultTTL: time.Second}
		services := map[string]*catalog.Service{}
		var listed []catalog.Replica
		for _, name := range []string{"encode", "render"} {
			services[name] = &catalog.Service{Name: name, StageProfile: pieces}
			listed = append(listed, catalog.Replica{ID: name, Service: name, Address: "127.0.0.1:1", FailureDomain: "x", Concurrency: 2})
		}
		p.configure(services, func() []catalog.Replica { return listed })
		for _, id := range []string{"reported", "unreported"} {
			_, ok := p.submit("peer", stage.Job{
				ID: id, Key: "k", Due: clock.Now().Add(time.Hour), Deadline: clock.Now().Add(time.Hour),
				Stages: []stage.Stage{{Service: "encode", Pieces: 1, ResultBytes: 100}, {Service: "render", DependsOn: []int{0}, Pieces: 1}},
			})
			Expect(ok).To(BeTrue())
			Eventually(replicas.completedHandles).Should(ContainElement(id + "/0"))
		}
		Eventually(replicas.calls.Load).Should(BeNumerically(">", 0), "the results have been accepted")
		Eventually(func() int {
			p.mu.Lock()
			defer p.mu.Unlock()
			return len(p.jobs["reported"].unreported) + len(p.jobs["unreported"].unreported)
		}).Should(Equal(2))
		out, _, _ := p.checkJobs("peer", []string{"reported"}, true)
		Expect(out.completed["reported"]).To(HaveLen(1))
		clock.SimulateSuspension(2 * orphanTimeout)
		p.tick()
		Eventually(replicas.released).Should(Equal([]string{"unreported/0"}))
		Consistently(replicas.released, 2*releaseDelay).Should(HaveLen(1))
	})

	It("cancels a call that is queued at its replica once no job waits for it, and not before", func() {
		replicas := &blockedReplicas{unblock: make(chan struct{})}
		DeferCleanup(func() { close(replicas.unblock) })
		p := newPlanner(stage.Config{}, replicas, zap.NewNop())
		pieces := &catalog.StageProfile{Concurrency: 1, Batch: 8, CallTime: 100 * time.Millisecond, PieceTime: time.Millisecond}
		p.configure(map[string]*catalog.Service{"encode": {Name: "encode", StageProfile: pieces}},
			func() []catalog.Replica {
				return []catalog.Replica{{ID: "e1", Service: "encode", Address: "127.0.0.1:1", FailureDomain: "x", Concurrency: 1}}
			})
		due := clock.Now().Add(time.Hour)
		_, ok := p.submit("", stage.Job{
			ID: "own", Key: "k", Due: due, Latest: due, Deadline: due, Stages: []stage.Stage{{Service: "encode", Pieces: 1, ResultBytes: 100}},
		})
		Expect(ok).To(BeTrue())
		Eventually(replicas.calls.Load).Should(BeEquivalentTo(1))
		for range 3 {
			clock.SimulateSuspension(2 * time.Second)
			p.tick()
		}
		Eventually(replicas.calls.Load).Should(BeEquivalentTo(2), "the pieces are requested again")
		Consistently(replicas.cancelled.Load, 20*time.Millisecond).Should(BeZero())
		p.dropJobs("", []string{"own"}, false)
		clock.SimulateSuspension(time.Second)
		p.tick()
		Eventually(replicas.cancelled.Load).Should(BeEquivalentTo(1))
		Consistently(replicas.cancelled.Load, 20*time.Millisecond).Should(BeEquivalentTo(1), "the replica may be executing the first call")
	})

	It("drops the jobs of other daemons after it was suspended, since they were handed over", func() {
		replicas := &blockedReplicas{unblock: make(chan struct{})}
		DeferCleanup(func() { close(replicas.unblock) })
		p := newPlanner(stage.Config{}, replicas, zap.NewNop())
		pieces := &catalog.StageProfile{Concurrency: 1, Batch: 8, CallTime: 10 * time.Second, PieceTime: time.Millisecond, ResultCapacityBytes: 1 << 20, ResultTTL: time.Second}
		p.configure(map[string]*catalog.Service{"encode": {Name: "encode", StageProfile: pieces}},
			func() []catalog.Replica {
				return []catalog.Replica{{ID: "e1", Service: "encode", Address: "127.0.0.1:1", FailureDomain: "x", Concurrency: 1}}
			})
		job := func(id string) stage.Job {
			return stage.Job{
				ID: id, Key: "k", Deadline: clock.Now().Add(time.Hour), Latest: clock.Now().Add(time.Hour),
				Stages: []stage.Stage{{Service: "encode", Pieces: 1, ResultBytes: 100}},
			}
		}
		for from, id := range map[string]string{"": "own", "peer": "theirs"} {
			_, ok := p.submit(from, job(id))
			Expect(ok).To(BeTrue())
		}
		out, _, _ := p.checkJobs("peer", []string{"theirs"}, true)
		Expect(out.unknown).To(BeEmpty())
		clock.SimulateSuspension(2 * orphanTimeout)
		p.tick()
		out, _, _ = p.checkJobs("peer", []string{"theirs"}, true)
		Expect(out.unknown).To(ConsistOf("theirs"))
		out, _, _ = p.checkJobs("", []string{"own"}, true)
		Expect(out.unknown).To(BeEmpty())
		Expect(replicas.releases.Load()).To(BeZero(), "the results now belong to the next planner")

		By("not treating a period without jobs as a suspension")
		p.dropJobs("", []string{"own"}, false)
		clock.SimulateSuspension(2 * orphanTimeout)
		p.tick()
		_, ok := p.submit("peer", job("later"))
		Expect(ok).To(BeTrue())
		p.tick()
		out, _, _ = p.checkJobs("peer", []string{"later"}, true)
		Expect(out.unknown).To(BeEmpty())
	})
})
