package poison

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// Simultaneous is the time within which crashes of replicas have a common cause. Daemons learn
// of a crash within milliseconds of each other.
const Simultaneous = 100 * time.Millisecond

// attribution assigns crashes to the subjects that account for them. It depends on the evidence
// and the current verdicts only, not on the order in which the evidence came.
type attribution struct {
	// events numbers the crashes: simultaneous ones of a service have the same number. outages
	// holds the number of crashes of each event that is an outage.
	events  map[*Crash]int
	outages map[int]int
	// tookIdle holds the events that took idle replicas too.
	tookIdle map[int]bool
	// explained holds the crashes that are accounted for by the subjects found so far.
	explained map[*Crash]bool
}

// involvement is a crash in which a subject was a suspect.
type involvement struct {
	crash   *Crash
	suspect Suspect
}

// finding is a subject with the crashes that it accounts for.
type finding struct {
	subject Fingerprint
	kind    Kind
	// crashes are ordered by time. weight is their number; for a part, simultaneous ones
	// count once.
	crashes []involvement
	weight  int
	// survivedBefore says that a run with the subject survived before the first of the crashes.
	survivedBefore bool
	// quarantined says that there is a verdict on the subject.
	quarantined bool
	// longestRun is the longest time from the beginning of a run to the crash.
	longestRun time.Duration
}

// attribute returns the subjects that account for enough crashes to be quarantined, the strongest
// first.
func (m *Detector) attribute(now time.Time) (*attribution, []finding) {
	a := newAttribution(m.crashes)
	var candidates []finding
	for f, all := range m.involvements {
		last := m.lastSuccess(f)
		c := finding{subject: f, kind: all[0].suspect.Kind, survivedBefore: !last.IsZero()}
		_, c.quarantined = m.verdictInEffect(now, f)
		if len(all) < c.minWeight() {
			continue
		}
		c.crashes = a.charged(c, all, last)
		if a.weigh(&c) >= c.minWeight() {
			candidates = append(candidates, c)
		}
	}
	return a, a.explain(candidates)
}

// explain picks the strongest candidate, then the strongest of those that account for enough of
// the other crashes, and so on.
func (a *attribution) explain(candidates []finding) (found []finding) {
	queue := findingQueue(candidates)
	heap.Init(&queue)
	for len(queue) > 0 {
		// A candidate only gets weaker as others explain crashes, so that the first one whose
		// weight is still right is the strongest.
		strongest := &queue[0]
		if before := strongest.weight; a.weigh(strongest) != before {
			if strongest.weight < strongest.minWeight() {
				heap.Pop(&queue)
			} else {
				heap.Fix(&queue, 0)
			}
			continue
		}
		c := heap.Pop(&queue).(finding)
		for _, i := range c.crashes {
			a.explained[i.crash] = true
		}
		found = append(found, c)
	}
	return found
}

// findingQueue is a heap of findings, the strongest first.
type findingQueue []finding

func (q findingQueue) Len() int           { return len(q) }
func (q findingQueue) Less(i, j int) bool { return q[i].compare(q[j]) > 0 }
func (q findingQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *findingQueue) Push(x any)        { *q = append(*q, x.(finding)) }
func (q *findingQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// minWeight is the weight from which a subject accounts for crashes; a quarantined one does for
// any.
func (c finding) minWeight() int {
	if c.quarantined {
		return 1
	}
	return c.threshold()
}

// threshold is the weight from which a subject is quarantined.
func (c finding) threshold() int { return threshold(c.kind, c.survivedBefore) }

// weigh drops the crashes that stronger subjects explain, and returns the new weight.
func (a *attribution) weigh(c *finding) int {
	c.crashes = slices.DeleteFunc(c.crashes, func(i involvement) bool { return a.explained[i.crash] })
	c.weight, c.longestRun = 0, 0
	last := -1
	for _, i := range c.crashes {
		if event := a.events[i.crash]; c.kind == Content || event != last {
			c.weight++
			last = event
		}
		c.longestRun = max(c.longestRun, i.suspect.RunTime)
	}
	return c.weight
}

// compare orders findings, the strongest last. A subject that survived before is unlikely to
// have become harmful. Among equals a verdict stands: a quarantined bystander has no later
// crashes, whereas the culprit soon accounts for more.
func (c finding) compare(o finding) int {
	return cmp.Or(
		-compareBool(c.survivedBefore, o.survivedBefore),
		cmp.Compare(c.weight, o.weight),
		compareBool(c.quarantined, o.quarantined),
		c.lastCrash().Compare(o.lastCrash()),
		-cmp.Compare(c.kind, o.kind),
		-cmp.Compare(c.longestRun, o.longestRun),
		slices.Compare(c.subject[:], o.subject[:]),
	)
}

func (c finding) lastCrash() time.Time { return c.crashes[len(c.crashes)-1].crash.At }

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// newAttribution groups the crashes, which are ordered by time, into events.
func newAttribution(crashes []*Crash) *attribution {
	a := &attribution{
		explained: map[*Crash]bool{}, events: make(map[*Crash]int, len(crashes)), outages: map[int]int{},
	}
	type event struct {
		number int
		began  time.Time
	}
	current, sizes := map[string]event{}, map[int]int{}
	for i, e := range crashes {
		last, ok := current[e.Service]
		if !ok || e.At.Sub(last.began) > Simultaneous {
			last = event{i, e.At}
			current[e.Service] = last
		}
		a.events[e] = last.number
		sizes[last.number]++
	}
	for number, size := range sizes {
		if size >= OutageCrashes {
			a.outages[number] = size
		}
	}
	a.tookIdle = a.eventsWithIdle(crashes)
	return a
}

// sighting is a time at which a replica was known to have crashed.
type sighting struct {
	at    time.Time
	event int
	// idle says that no run was lost.
	idle bool
}

// eventsWithIdle returns the events in which MinIdle idle replicas or more crashed.
func (a *attribution) eventsWithIdle(crashes []*Crash) map[int]bool {
	if !slices.ContainsFunc(crashes, func(e *Crash) bool { return len(e.Idle) > 0 }) {
		return nil
	}
	type replica struct{ service, id string }
	sightings := map[replica][]sighting{}
	for _, e := range crashes {
		r := replica{e.Service, e.Replica}
		sightings[r] = append(sightings[r], sighting{at: e.At, event: a.events[e]})
		for _, i := range e.Idle {
			r := replica{e.Service, i.Replica}
			sightings[r] = append(sightings[r], sighting{e.At, a.events[e], true})
		}
	}
	idle := map[int]map[string]bool{}
	for _, e := range crashes {
		event := a.events[e]
		for _, i := range e.Idle {
			if slices.ContainsFunc(sightings[replica{e.Service, i.Replica}], func(s sighting) bool { return s.refutes(i, e.At, event) }) {
				continue
			}
			if idle[event] == nil {
				idle[event] = map[string]bool{}
			}
			idle[event][i.Replica] = true
		}
	}
	out := map[int]bool{}
	for event, replicas := range idle {
		out[event] = len(replicas) >= MinIdle
	}
	return out
}

// refutes reports whether a sighting shows that a replica was not idle when it crashed in an event,
// or that it had crashed before.
func (s sighting) refutes(i IdleReplica, at time.Time, event int) bool {
	switch {
	case !s.at.After(i.AnsweredAt):
		return false
	case s.idle:
		return s.event != event && s.at.Before(at)
	}
	return s.at.Before(at.Add(sameCrashWindow))
}

// charged returns the crashes that count against a subject: those since it last survived. An
// outage counts only against a part that ran on all of its replicas, and not at all if it took idle
// ones.
func (a *attribution) charged(c finding, all []involvement, lastSuccess time.Time) []involvement {
	perEvent := map[int]int{}
	if c.kind == Part && len(a.outages) > 0 {
		for _, i := range all {
			perEvent[a.events[i.crash]]++
		}
	}
	return slices.DeleteFunc(slices.Clone(all), func(i involvement) bool {
		event := a.events[i.crash]
		return !i.crash.At.After(lastSuccess) || a.tookIdle[event] || c.kind == Part && perEvent[event] < a.outages[event]
	})
}
