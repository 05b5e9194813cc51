package stage

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/catalog"
)

// harness drives a Machine step by step and tracks the actions that it returns.
type harness struct {
	m   *Machine
	now time.Time

	running []Run
	ready   map[string]Ready
	refused map[string]Refused
	// results maps the handles of the results that exist to their pieces.
	results         map[string]Piece
	released        int
	jobs            map[string]Job
	completedPieces int
	// progress holds the reported pieces by job, ownerNotices counts the NotifyOwner
	// actions by job.
	progress     map[string][]CompletedPiece
	ownerNotices map[string]int
}

func pieceParams(batch int, memoryBytes int64) *catalog.Service {
	return &catalog.Service{StageProfile: &catalog.StageProfile{
		Concurrency: 1, Batch: batch, CallTime: 240 * time.Millisecond, PieceTime: 10 * time.Millisecond,
		ResultCapacityBytes: memoryBytes,
	}}
}

// newHarness returns a harness with services a, b and c, which have the same parameters and
// one replica for each given failure domain.
func newHarness(service *catalog.Service, domains ...string) *harness {
	return newConfiguredHarness(Config{}, service, domains...)
}

// newConfiguredHarness is newHarness for a Machine with a configuration.
func newConfiguredHarness(c Config, service *catalog.Service, domains ...string) *harness {
	h := &harness{
		m: New(c), now: time.Unix(1000, 0), ready: map[string]Ready{}, refused: map[string]Refused{},
		results: map[string]Piece{}, jobs: map[string]Job{}, progress: map[string][]CompletedPiece{}, ownerNotices: map[string]int{},
	}
	e := Configured{Services: map[string]*catalog.Service{}}
	for _, name := range []string{"a", "b", "c"} {
		e.Services[name] = &catalog.Service{Name: name, StageProfile: service.StageProfile}
		for i, d := range domains {
			id := fmt.Sprintf("%s%d", name, i+1)
			e.Replicas = append(e.Replicas, catalog.Replica{ID: id, Service: name, Address: id + ":80", FailureDomain: d, Concurrency: 1})
		}
	}
	h.step(e)
	return h
}

// step passes an event to the machine and records the actions.
func (h *harness) step(e Event) []Run {
	var runs []Run
	for _, a := range h.m.Step(h.now, e) {
		switch a := a.(type) {
		case Run:
			h.check(a)
			runs = append(runs, a)
			h.running = append(h.running, a)
		case Abandon:
			h.removeCall(a.Call)
		case Release:
			for _, handle := range a.Handles {
				Expect(h.results).To(HaveKey(handle), "released twice or never produced: %s", handle)
				delete(h.results, handle)
				h.released++
			}
		case Progress:
			h.progress[a.Job] = append(h.progress[a.Job], a.Piece)
		case NotifyOwner:
			h.ownerNotices[a.Job]++
		case Ready:
			Expect(h.ready).NotTo(HaveKey(a.Job))
			Expect(h.refused).NotTo(HaveKey(a.Job))
			h.ready[a.Job] = a
		case Refused:
			Expect(h.ready).NotTo(HaveKey(a.Job))
			Expect(h.refused).NotTo(HaveKey(a.Job))
			h.refused[a.Job] = a
		}
	}
	return runs
}

// check verifies a call against the guarantees of the package.
func (h *harness) check(a Run) {
	Expect(a.Pieces).NotTo(BeEmpty())
	Expect(a.Timeout).To(BeNumerically(">", 0))
	for _, p := range a.Pieces {
		j, known := h.jobs[p.Job]
		Expect(known).To(BeTrue(), "call for a job that has ended: %s", p.Job)
		after := j.Stages[p.Stage].DependsOn
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
		for _, handle := range p.Inputs {
			Expect(seen).NotTo(HaveKey(handle))
			seen[handle] = true
			in, exists := h.results[handle]
			Expect(exists).To(BeTrue(), "input %s no longer exists", handle)
			Expect(in.Job).To(Equal(p.Job))
			Expect(after).To(ContainElement(in.Stage))
		}
	}
}

func (h *harness) submit(j Job) []Run {
	h.jobs[j.ID] = j
	return h.step(Submitted{j})
}

func (h *harness) endJob(id string, e Event) []Run {
	delete(h.jobs, id)
	return h.step(e)
}

// advance advances the time and passes a Tick.
func (h *harness) advance(d time.Duration) []Run {
	h.now = h.now.Add(d)
	return h.step(Tick{})
}

// removeCall removes a running call and returns it.
func (h *harness) removeCall(call uint64) Run {
	for i, r := range h.running {
		if r.Call == call {
			h.running = append(h.running[:i], h.running[i+1:]...)
			return r
		}
	}
	Expect(call).To(BeZero(), "no such call is running")
	return Run{}
}

// answer ends a call with a result for each piece.
func (h *harness) answer(call uint64) []Run {
	r := h.removeCall(call)
	e := CallEnded{Call: call}
	for _, p := range r.Pieces {
		h.completedPieces++
		handle := fmt.Sprintf("%s/%d", r.Address, h.completedPieces)
		h.results[handle] = p
		e.Results = append(e.Results, Result{Handle: handle})
	}
	return h.step(e)
}

// end ends a call without results.
func (h *harness) end(call uint64, o CallOutcome) []Run {
	h.removeCall(call)
	return h.step(CallEnded{Call: call, Outcome: o})
}

// answerAll answers the running calls, oldest first, 300 ms apart, until none is left.
func (h *harness) answerAll() {
	for len(h.running) > 0 {
		h.now = h.now.Add(300 * time.Millisecond)
		h.answer(h.running[0].Call)
	}
}

// newChain returns a job whose stages each depend on the one before, unless they name
// others.
func (h *harness) newChain(id string, stages ...Stage) Job {
	j := Job{ID: id, Key: "key-" + id, Due: h.now.Add(5 * time.Second), Deadline: h.now.Add(10 * time.Second)}
	for i, s := range stages {
		if i > 0 && s.DependsOn == nil {
			s.DependsOn = []int{i - 1}
		}
		j.Stages = append(j.Stages, s)
	}
	return j
}

// newTransferableChain returns a chain that its owner may hand to another planner.
func (h *harness) newTransferableChain(id string, stages ...Stage) Job {
	j := h.newChain(id, stages...)
	j.Transferable = true
	return j
}

// existingResults returns the reported results of a job that still exist.
func (h *harness) existingResults(id string) []CompletedPiece {
	return slices.DeleteFunc(slices.Clone(h.progress[id]), func(p CompletedPiece) bool {
		_, held := h.results[p.Handle]
		return !held
	})
}

// sendProgress has progress sent to the owner of a job; ackProgress has the owner
// acknowledge it.
func (h *harness) sendProgress(id string, pieces ...CompletedPiece) {
	h.step(ProgressSent{toProgress(id, pieces)})
}

func (h *harness) ackProgress(id string, pieces ...CompletedPiece) {
	h.step(ProgressAcked{toProgress(id, pieces)})
}

func toProgress(id string, pieces []CompletedPiece) []Progress {
	var out []Progress
	for _, p := range pieces {
		out = append(out, Progress{Job: id, Piece: p})
	}
	return out
}
