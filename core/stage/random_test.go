package stage

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/catalog"
)

// The guarantees of the package hold for any outcome of the calls: with each action the
// harness checks that inputs exist, that no result is released twice and that no job ends
// twice.
var _ = Describe("random events", func() {
	for seed := range uint64(60) {
		It(fmt.Sprint("keeps its guarantees with seed ", seed), func() { runRandomEvents(seed) })
	}
})

func runRandomEvents(seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 7))
	messageRNG := rand.New(rand.NewPCG(seed, 8))
	h := newHarness(pieceParams(4+rng.IntN(20), int64(rng.IntN(3))*20_000), "x", "x", "y", "z")
	submitted := 0
	for range 400 {
		h.now = h.now.Add(time.Duration(rng.IntN(60)) * time.Millisecond)
		switch n := rng.IntN(10); {
		case n < 4:
			submitted++
			j := randomJob(h, rng, fmt.Sprint("j", submitted))
			j.Transferable, j.ContinuesStream = messageRNG.IntN(2) == 0, submitted%4 == 0
			h.submit(j)
		case n < 8 && len(h.running) > 0:
			h.endRandom(rng, h.running[rng.IntN(len(h.running))])
		case n == 8:
			h.cancelRandom(rng)
		default:
			h.step(Tick{})
		}
		h.sendRandomProgress(messageRNG)
	}
	for id := range h.jobs {
		h.endJob(id, Cancelled{Job: id})
	}
	for len(h.running) > 0 {
		h.answer(h.running[0].Call)
	}
	Expect(h.results).To(BeEmpty(), "every result is released")
	Expect(h.m.jobs).To(BeEmpty())
	Expect(h.m.refused).To(BeEmpty())
	Expect(h.m.calls).To(BeEmpty())
	for _, r := range h.m.replicas {
		Expect(r.usedBytes).To(BeZero(), "replica %s", r.ID)
	}
}

// sendRandomProgress sends progress to the owner of a random job, which may acknowledge it.
func (h *harness) sendRandomProgress(rng *rand.Rand) {
	id := fmt.Sprint("j", rng.IntN(len(h.jobs)+1))
	pieces := h.progress[id]
	if len(pieces) == 0 {
		return
	}
	pieces = pieces[rng.IntN(len(pieces)):]
	h.sendProgress(id, pieces...)
	if rng.IntN(2) == 0 {
		h.ackProgress(id, pieces...)
	}
}

// randomJob returns a job of up to four stages; each depends on some of those before it.
func randomJob(h *harness, rng *rand.Rand, id string) Job {
	j := Job{
		ID: id, Key: "key-" + id, Rank: catalog.Rank{Customer: rng.IntN(3), Route: rng.IntN(3)}, Domain: []string{"", "x", "y", "nowhere"}[rng.IntN(4)],
		Due: h.now.Add(time.Duration(500+rng.IntN(4000)) * time.Millisecond),
	}
	j.Deadline = j.Due.Add(time.Duration(rng.IntN(5000)) * time.Millisecond)
	for i := range 1 + rng.IntN(4) {
		s := Stage{Service: []string{"a", "b", "c"}[rng.IntN(3)], Pieces: rng.IntN(6), ResultBytes: int64(rng.IntN(4000))}
		for a := range i {
			if rng.IntN(2) == 0 && j.Stages[a].Pieces > 0 {
				s.DependsOn = append(s.DependsOn, a)
			}
		}
		j.Stages = append(j.Stages, s)
	}
	return j
}

// endRandom ends a call in a random way.
func (h *harness) endRandom(rng *rand.Rand, r Run) {
	switch rng.IntN(8) {
	case 0:
		h.end(r.Call, CallFailed)
	case 1:
		h.end(r.Call, CallUnreachable)
	case 2:
		h.end(r.Call, CallNotExecuted)
	case 3:
		h.answerPartially(rng, r.Call)
	default:
		h.answer(r.Call)
	}
}

// answerPartially ends a call in which some pieces were not executed.
func (h *harness) answerPartially(rng *rand.Rand, call uint64) {
	r := h.removeCall(call)
	e := CallEnded{Call: call}
	for _, p := range r.Pieces {
		kind := []ResultKind{PieceCompleted, PieceCompleted, PieceExpired, PieceOutOfMemory, PieceFailed}[rng.IntN(5)]
		res := Result{Kind: kind}
		if kind == PieceCompleted {
			h.completedPieces++
			res.Handle = fmt.Sprintf("%s/%d", r.Address, h.completedPieces)
			h.results[res.Handle] = p
		}
		e.Results = append(e.Results, res)
	}
	h.step(e)
}

// cancelRandom cancels a random job, ready or not.
func (h *harness) cancelRandom(rng *rand.Rand) {
	ids := make([]string, 0, len(h.jobs))
	for i := range 1000 {
		if id := fmt.Sprint("j", i); h.jobs[id].ID != "" {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return
	}
	id := ids[rng.IntN(len(ids))]
	h.endJob(id, Cancelled{Job: id})
}
