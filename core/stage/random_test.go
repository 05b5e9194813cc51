package stage

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/catalog"
)

// The guarantees of the package hold whatever happens to calls: the bench
// checks inputs, double frees and double ends with each action.
var _ = Describe("random days", func() {
	for seed := range uint64(60) {
		It(fmt.Sprint("keeps its guarantees with seed ", seed), func() { runRandomEvents(seed) })
	}
})

func runRandomEvents(seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 7))
	words := rand.New(rand.NewPCG(seed, 8))
	b := newHarness(pieceParams(4+rng.IntN(20), int64(rng.IntN(3))*20_000), "x", "x", "y", "z")
	submitted := 0
	for range 400 {
		b.now = b.now.Add(time.Duration(rng.IntN(60)) * time.Millisecond)
		switch n := rng.IntN(10); {
		case n < 4:
			submitted++
			j := randomJob(b, rng, fmt.Sprint("j", submitted))
			j.Shared = words.IntN(2) == 0
			b.submit(j)
		case n < 8 && len(b.running) > 0:
			b.endRandom(rng, b.running[rng.IntN(len(b.running))])
		case n == 8:
			b.cancelRandom(rng)
		default:
			b.step(Tick{})
		}
		b.sendRandomProgress(words)
	}
	for id := range b.jobs {
		b.endJob(id, Cancelled{Job: id})
	}
	for len(b.running) > 0 {
		b.answer(b.running[0].Call)
	}
	Expect(b.results).To(BeEmpty(), "every result is freed")
	Expect(b.m.jobs).To(BeEmpty())
	Expect(b.m.refused).To(BeEmpty())
	Expect(b.m.calls).To(BeEmpty())
	for _, r := range b.m.replicas {
		Expect(r.usedBytes).To(BeZero(), "replica %s", r.ID)
	}
}

// tellRandom tells the owner of some job of its progress, and may have it hear that.
func (b *harness) sendRandomProgress(rng *rand.Rand) {
	id := fmt.Sprint("j", rng.IntN(len(b.jobs)+1))
	pieces := b.progress[id]
	if len(pieces) == 0 {
		return
	}
	pieces = pieces[rng.IntN(len(pieces)):]
	b.sendProgress(id, pieces...)
	if rng.IntN(2) == 0 {
		b.ackProgress(id, pieces...)
	}
}

// randomJob has up to four stages; each comes after some of those before it.
func randomJob(b *harness, rng *rand.Rand, id string) Job {
	j := Job{
		ID: id, Key: "key-" + id, Rank: catalog.Rank{Customer: rng.IntN(3), Route: rng.IntN(3)}, Domain: []string{"", "x", "y", "nowhere"}[rng.IntN(4)],
		Due: b.now.Add(time.Duration(500+rng.IntN(4000)) * time.Millisecond),
	}
	j.Deadline = j.Due.Add(time.Duration(rng.IntN(5000)) * time.Millisecond)
	for i := range 1 + rng.IntN(4) {
		s := Stage{Service: []string{"a", "b", "c"}[rng.IntN(3)], Pieces: rng.IntN(6), ResultBytes: int64(rng.IntN(4000))}
		for a := range i {
			if rng.IntN(2) == 0 && j.Stages[a].Pieces > 0 {
				s.After = append(s.After, a)
			}
		}
		j.Stages = append(j.Stages, s)
	}
	return j
}

// endRandom ends a call in one of the ways that calls end.
func (b *harness) endRandom(rng *rand.Rand, r Run) {
	switch rng.IntN(8) {
	case 0:
		b.end(r.Call, CallFailed)
	case 1:
		b.end(r.Call, CallUnreachable)
	case 2:
		b.end(r.Call, CallNotExecuted)
	case 3:
		b.answerPartially(rng, r.Call)
	default:
		b.answer(r.Call)
	}
}

// answerInPart ends a call in which some pieces were not made.
func (b *harness) answerPartially(rng *rand.Rand, call uint64) {
	r := b.removeCall(call)
	e := CallEnded{Call: call}
	for _, p := range r.Pieces {
		kind := []ResultKind{Made, Made, TooLate, NoRoom, Broken}[rng.IntN(5)]
		res := Result{Kind: kind}
		if kind == Made {
			b.made++
			res.Handle = fmt.Sprintf("%s/%d", r.Address, b.made)
			b.results[res.Handle] = p
		}
		e.Results = append(e.Results, res)
	}
	b.step(e)
}

// dropRandom gives up some job, ready or not.
func (b *harness) cancelRandom(rng *rand.Rand) {
	ids := make([]string, 0, len(b.jobs))
	for i := range 1000 {
		if id := fmt.Sprint("j", i); b.jobs[id].ID != "" {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return
	}
	id := ids[rng.IntN(len(ids))]
	b.endJob(id, Cancelled{Job: id})
}
