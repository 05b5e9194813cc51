package stage

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/catalog"
)

// bench drives a Machine by hand and keeps an account of what it asks for.
type harness struct {
	m   *Machine
	now time.Time

	running []Run
	ready   map[string]Ready
	refused map[string]Refused
	// held maps the results that exist to the piece that they are of.
	results  map[string]Piece
	released int
	jobs     map[string]Job
	made     int
	// progress is what was told of jobs, informs how often their owners were to be
	// told at once.
	progress     map[string][]MadePiece
	ownerNotices map[string]int
}

func pieceParams(batch int, room int64) *catalog.Service {
	return &catalog.Service{Pieces: &catalog.Pieces{
		Concurrency: 1, Batch: batch, CallTime: 240 * time.Millisecond, PieceTime: 10 * time.Millisecond,
		RoomBytes: room,
	}}
}

// newBench returns a bench with services a, b and c of the same figures, and
// replicas per failure domain as given.
func newHarness(service *catalog.Service, domains ...string) *harness {
	b := &harness{
		m: New(Config{}), now: time.Unix(1000, 0), ready: map[string]Ready{}, refused: map[string]Refused{},
		results: map[string]Piece{}, jobs: map[string]Job{}, progress: map[string][]MadePiece{}, ownerNotices: map[string]int{},
	}
	e := Configured{Services: map[string]*catalog.Service{}}
	for _, name := range []string{"a", "b", "c"} {
		e.Services[name] = &catalog.Service{Name: name, Pieces: service.Pieces}
		for i, d := range domains {
			id := fmt.Sprintf("%s%d", name, i+1)
			e.Replicas = append(e.Replicas, catalog.Replica{ID: id, Service: name, Address: id + ":80", FailureDomain: d, Concurrency: 1})
		}
	}
	b.step(e)
	return b
}

// step passes an event and takes the actions into the account.
func (b *harness) step(e Event) []Run {
	var runs []Run
	for _, a := range b.m.Step(b.now, e) {
		switch a := a.(type) {
		case Run:
			b.check(a)
			runs = append(runs, a)
			b.running = append(b.running, a)
		case Abandon:
			b.removeCall(a.Call)
		case Free:
			for _, h := range a.Handles {
				Expect(b.results).To(HaveKey(h), "freed twice or never made: %s", h)
				delete(b.results, h)
				b.released++
			}
		case Progress:
			b.progress[a.Job] = append(b.progress[a.Job], a.Piece)
		case Inform:
			b.ownerNotices[a.Job]++
		case Ready:
			Expect(b.ready).NotTo(HaveKey(a.Job))
			Expect(b.refused).NotTo(HaveKey(a.Job))
			b.ready[a.Job] = a
		case Refused:
			Expect(b.ready).NotTo(HaveKey(a.Job))
			Expect(b.refused).NotTo(HaveKey(a.Job))
			b.refused[a.Job] = a
		}
	}
	return runs
}

// check holds a call against what the package guarantees.
func (b *harness) check(a Run) {
	Expect(a.Pieces).NotTo(BeEmpty())
	Expect(a.Timeout).To(BeNumerically(">", 0))
	for _, p := range a.Pieces {
		j, known := b.jobs[p.Job]
		Expect(known).To(BeTrue(), "call for a job that was given up: %s", p.Job)
		after := j.Stages[p.Stage].After
		if len(after) == 0 {
			Expect(p.Key).To(Equal(j.Key))
			Expect(p.Inputs).To(BeEmpty())
			continue
		}
		Expect(p.Key).To(BeEmpty())
		seen := map[string]bool{}
		want := 0
		for _, s := range after {
			want += j.Stages[s].Pieces
		}
		Expect(p.Inputs).To(HaveLen(want))
		for _, h := range p.Inputs {
			Expect(seen).NotTo(HaveKey(h))
			seen[h] = true
			in, exists := b.results[h]
			Expect(exists).To(BeTrue(), "input %s no longer exists", h)
			Expect(in.Job).To(Equal(p.Job))
			Expect(after).To(ContainElement(in.Stage))
		}
	}
}

func (b *harness) submit(j Job) []Run {
	b.jobs[j.ID] = j
	return b.step(Submitted{j})
}

func (b *harness) endJob(id string, e Event) []Run {
	delete(b.jobs, id)
	return b.step(e)
}

// pass lets time pass.
func (b *harness) advance(d time.Duration) []Run {
	b.now = b.now.Add(d)
	return b.step(Tick{})
}

// take removes a running call.
func (b *harness) removeCall(call uint64) Run {
	for i, r := range b.running {
		if r.Call == call {
			b.running = append(b.running[:i], b.running[i+1:]...)
			return r
		}
	}
	Expect(call).To(BeZero(), "no such call is running")
	return Run{}
}

// answer ends a call well.
func (b *harness) answer(call uint64) []Run {
	r := b.removeCall(call)
	e := CallEnded{Call: call}
	for _, p := range r.Pieces {
		b.made++
		h := fmt.Sprintf("%s/%d", r.Address, b.made)
		b.results[h] = p
		e.Results = append(e.Results, Result{Handle: h})
	}
	return b.step(e)
}

// end ends a call without results.
func (b *harness) end(call uint64, o CallOutcome) []Run {
	b.removeCall(call)
	return b.step(CallEnded{Call: call, Outcome: o})
}

// finish answers calls, oldest first, each after its time, until none runs.
func (b *harness) answerAll() {
	for len(b.running) > 0 {
		b.now = b.now.Add(300 * time.Millisecond)
		b.answer(b.running[0].Call)
	}
}

// job is a job with stages given as service and pieces, each after the one
// before.
func (b *harness) newChain(id string, stages ...Stage) Job {
	j := Job{ID: id, Key: "key-" + id, Due: b.now.Add(5 * time.Second), Deadline: b.now.Add(10 * time.Second)}
	for i, s := range stages {
		if i > 0 && s.After == nil {
			s.After = []int{i - 1}
		}
		j.Stages = append(j.Stages, s)
	}
	return j
}

// shared is a chain that its owner may hand to another planner.
func (b *harness) newTransferableChain(id string, stages ...Stage) Job {
	j := b.newChain(id, stages...)
	j.Shared = true
	return j
}

// resultsOf returns the results of a job that exist, as they were told.
func (b *harness) existingResults(id string) []MadePiece {
	return slices.DeleteFunc(slices.Clone(b.progress[id]), func(p MadePiece) bool {
		_, held := b.results[p.Handle]
		return !held
	})
}

// tell has the owner of a job told of pieces; hear has it heard of them.
func (b *harness) sendProgress(id string, pieces ...MadePiece) { b.step(Told{toProgress(id, pieces)}) }

func (b *harness) ackProgress(id string, pieces ...MadePiece) { b.step(Known{toProgress(id, pieces)}) }

func toProgress(id string, pieces []MadePiece) []Progress {
	var out []Progress
	for _, p := range pieces {
		out = append(out, Progress{Job: id, Piece: p})
	}
	return out
}
