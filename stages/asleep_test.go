package stages

import (
	"context"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/core/catalog"
	"github.com/wheatseam/wheatseam/core/stage"
	"github.com/wheatseam/wheatseam/internal/clock"
)

// busy replicas make nothing until the test ends, and count what is given up.
type busy struct {
	until chan struct{}
	calls atomic.Int32
	freed atomic.Int32
}

func (b *busy) RunPieces(ctx context.Context, _ stage.Run) ([]stage.Result, stage.CallOutcome, error) {
	b.calls.Add(1)
	select {
	case <-b.until:
	case <-ctx.Done():
	}
	return nil, stage.CallFailed, context.Canceled
}

func (b *busy) FreeResults(context.Context, stage.Free) error {
	b.freed.Add(1)
	return nil
}

func (b *busy) Room(context.Context, stage.Inspect) (stage.Room, error) { return stage.Room{}, nil }

var _ = Describe("a planner", func() {
	It("that slept is one no more for others: they have gone on elsewhere", func() {
		replicas := &busy{until: make(chan struct{})}
		DeferCleanup(func() { close(replicas.until) })
		p := newPlanner(stage.Config{}, replicas, func(string) bool { return false }, zap.NewNop())
		pieces := &catalog.Pieces{Concurrency: 1, Batch: 8, CallTime: 10 * time.Second, PieceTime: time.Millisecond, RoomBytes: 1 << 20, ResultLife: time.Second}
		p.configure(map[string]*catalog.Service{"encode": {Name: "encode", Pieces: pieces}},
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
		out, _ := p.ends("fellow", []string{"theirs"})
		Expect(out.unknown).To(BeEmpty())
		clock.Simulate(2 * orphanAfter)
		p.tick()
		out, _ = p.ends("fellow", []string{"theirs"})
		Expect(out.unknown).To(ConsistOf("theirs"))
		out, _ = p.ends("", []string{"own"})
		Expect(out.unknown).To(BeEmpty())
		Expect(replicas.freed.Load()).To(BeZero(), "what was made is the next planner's")

		By("not taking a time without jobs for a sleep")
		p.drop("", []string{"own"}, false)
		clock.Simulate(2 * orphanAfter)
		p.tick()
		_, ok := p.submit("fellow", job("later"))
		Expect(ok).To(BeTrue())
		p.tick()
		out, _ = p.ends("fellow", []string{"later"})
		Expect(out.unknown).To(BeEmpty())
	})
})
