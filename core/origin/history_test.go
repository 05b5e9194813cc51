package origin_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/origin"
)

func added(version string) origin.Change { return origin.Change{Service: "llm", Version: version} }

func removed(version string) origin.Change {
	return origin.Change{Service: "llm", Version: version, Removed: true}
}

// Guards against a history that counts as complete over a time in which versions may have been
// listed that it does not have.
func TestHistoryCompleteness(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	summary := func(since, until float64) origin.Summary {
		return origin.Summary{Since: at(since), Until: at(until)}
	}
	for _, c := range []struct {
		name string
		do   func(h *origin.History)
		want time.Duration // before 60 s
	}{
		{"nothing observed", func(*origin.History) {}, 0},
		{"replicas known, but not whether all are", func(h *origin.History) { h.Record(at(10), []origin.Change{added("v1")}) }, 0},
		{"views that continue each other", func(h *origin.History) { h.Restart(at(10), at(10)); h.Continue(at(60)) }, 50 * time.Second},
		{"a gap", func(h *origin.History) { h.Restart(at(10), at(10)); h.Continue(at(20)); h.Restart(at(40), at(39)) }, 20 * time.Second},
		{"a peer knows more", func(h *origin.History) { h.Restart(at(40), at(50)); h.Merge(at(60), summary(5, 45), true) }, 55 * time.Second},
		{"a peer knows more, but not all of its replicas have come", func(h *origin.History) { h.Restart(at(40), at(50)); h.Merge(at(60), summary(5, 45), false) }, 20 * time.Second},
		{"a peer knows less", func(h *origin.History) { h.Restart(at(5), at(50)); h.Merge(at(60), summary(40, 55), true) }, 55 * time.Second},
		{"a peer began after this host's last view", func(h *origin.History) { h.Restart(at(5), at(30)); h.Merge(at(60), summary(40, 55), true) }, 20 * time.Second},
		{"a peer's last view is from before this host's first one", func(h *origin.History) { h.Restart(at(40), at(50)); h.Merge(at(60), summary(5, 30), true) }, 20 * time.Second},
		{"a peer knows more, this host's first list has taken a while", func(h *origin.History) { h.Restart(at(50), at(48)); h.Merge(at(60), summary(5, 55), true) }, 55 * time.Second},
		{"a peer without a history", func(h *origin.History) { h.Restart(at(40), at(50)); h.Merge(at(60), origin.Summary{}, true) }, 20 * time.Second},
		{"longer than versions are remembered", func(h *origin.History) { h.Restart(at(-1000), at(50)) }, origin.MaxHistory},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			h := &origin.History{}
			c.do(h)
			g.Expect(h.CompleteFor(at(60))).To(Equal(c.want))
		})
	}
}

// Guards against versions that are forgotten, or named to have departed though none did.
func TestHistoryRemembersDepartures(t *testing.T) {
	g := NewWithT(t)
	h, now := &origin.History{}, time.Unix(1000, 0)
	h.Restart(now, now)
	g.Expect(h.Record(now, []origin.Change{added("v1"), added("v1"), added("v2")})).To(ConsistOf("llm"))
	g.Expect(h.Departed(now, "llm", time.Minute)).To(BeEmpty())
	now = now.Add(10 * time.Second)
	h.Record(now, []origin.Change{removed("v1"), added("v3"), removed("v3")}) // v3 came and went
	now = now.Add(5 * time.Second)
	g.Expect(h.Versions(now, "llm", time.Second)).To(ConsistOf("v1", "v2"))
	g.Expect(h.Versions(now, "llm", 5*time.Second)).To(ConsistOf("v1", "v2", "v3"))
	g.Expect(h.Departed(now, "llm", 5*time.Second)).To(Equal([]origin.Departure{{Version: "v1", Ago: 5 * time.Second}, {Version: "v3", Ago: 5 * time.Second}}))
	g.Expect(h.Departed(now, "llm", 4*time.Second)).To(BeEmpty())
	h.Restart(now, now)
	g.Expect(h.Versions(now, "llm", time.Minute)).To(ContainElement("v3"), "after a gap")
	g.Expect(h.Versions(now, "another", time.Minute)).To(BeEmpty())
}

// Guards against memory that grows with the versions and services that there ever were, and
// against a history that counts as complete though it forgot some.
func TestHistoryIsBounded(t *testing.T) {
	g := NewWithT(t)
	h, now := &origin.History{}, time.Unix(1000, 0)
	h.Restart(now, now)
	for i := range 100 {
		now = now.Add(time.Second)
		v := fmt.Sprint("v", i)
		h.Record(now, []origin.Change{added(v), removed(v)})
	}
	g.Expect(h.Versions(now, "llm", time.Hour)).To(HaveLen(origin.MaxVersions))
	g.Expect(h.CompleteFor(now)).To(BeNumerically("<", origin.MaxVersions*time.Second))
	listed := make([]origin.Change, 0, 50)
	for i := range 50 {
		listed = append(listed, added(fmt.Sprint("listed", i)))
	}
	h.Record(now, listed)
	g.Expect(h.Versions(now, "llm", 0)).To(HaveLen(51), "versions that are listed are not forgotten; one left just now")
	for i := range listed {
		listed[i].Removed = true
	}
	h.Record(now, listed)
	g.Expect(h.CompleteFor(now)).To(BeZero())
	now = now.Add(origin.MaxHistory + time.Second)
	h.Record(now, nil)
	g.Expect(h.Services()).To(BeEmpty())
	for i := range 1000 {
		now = now.Add(time.Second)
		c := origin.Change{Service: fmt.Sprint("s", i), Version: "v"}
		h.Record(now, []origin.Change{c, {Service: c.Service, Version: "v", Removed: true}})
	}
	g.Expect(len(h.Services())).To(BeNumerically("<=", int(origin.MaxHistory/time.Second)+2))
}

// facts is what was really listed: for each service and version, the times at which a replica
// was added and removed.
type facts struct {
	rng   *rand.Rand
	now   time.Time
	lives []life
	// listed are the indexes of the lives that have not ended.
	listed []int
}

type life struct {
	service, version string
	from, to         time.Time // to is zero while it is listed
}

func (l life) change(removed bool) origin.Change {
	return origin.Change{Service: l.service, Version: l.version, Removed: removed}
}

// step makes some time pass, in which replicas come and go.
func (f *facts) step() {
	for range f.rng.IntN(4) {
		f.now = f.now.Add(time.Duration(1+f.rng.IntN(1500)) * time.Millisecond)
		if n := len(f.listed); n > 0 && (n > 6 || f.rng.IntN(2) == 0) {
			i := f.rng.IntN(n)
			f.lives[f.listed[i]].to = f.now
			f.listed = slices.Delete(f.listed, i, i+1)
			continue
		}
		f.lives = append(f.lives, life{service: fmt.Sprint("s", f.rng.IntN(2)), version: fmt.Sprint("v", f.rng.IntN(12)), from: f.now})
		f.listed = append(f.listed, len(f.lives)-1)
	}
	f.now = f.now.Add(time.Millisecond)
}

// simView is the history of one host, which has the replicas that were listed at a time.
type simView struct {
	origin.History
	listed []int
	asOf   time.Time
}

// observe has a host see what is listed. If it read all changes since its former view, or has
// none, it sees also what came and went; otherwise it restarts its history.
func (v *simView) observe(f *facts, allChanges bool) {
	var changes []origin.Change
	for i, l := range f.lives {
		before, now := slices.Contains(v.listed, i), slices.Contains(f.listed, i)
		cameAndWent := allChanges && !before && !now && l.from.After(v.asOf)
		if now && !before || cameAndWent {
			changes = append(changes, l.change(false))
		}
		if before && !now || cameAndWent {
			changes = append(changes, l.change(true))
		}
	}
	if allChanges && !v.asOf.IsZero() {
		v.Continue(f.now)
	} else {
		v.Restart(f.now, f.now)
	}
	v.Record(f.now, changes)
	v.listed, v.asOf = slices.Clone(f.listed), f.now
}

// take has a host take the replicas and the summary of a peer.
func (v *simView) take(f *facts, peer *simView) {
	var changes []origin.Change
	for i, l := range f.lives {
		before, now := slices.Contains(v.listed, i), slices.Contains(peer.listed, i)
		if before != now {
			changes = append(changes, l.change(before))
		}
	}
	v.Record(f.now, changes)
	v.Merge(f.now, peer.Summary(f.now, time.Time{}), true)
	v.listed, v.asOf = slices.Clone(peer.listed), peer.asOf
}

// check returns what a history claims that is not so; "" if all is true.
func (v *simView) check(f *facts) string {
	completeSince := f.now.Add(-v.CompleteFor(f.now))
	for _, service := range []string{"s0", "s1"} {
		known := v.Versions(f.now, service, v.CompleteFor(f.now))
		departed := map[string]time.Duration{}
		for _, d := range v.Departed(f.now, service, v.CompleteFor(f.now)) {
			departed[d.Version] = d.Ago
		}
		for _, l := range f.lives {
			if l.service != service || l.from.After(v.Until()) || !l.to.IsZero() && l.to.Before(completeSince) || v.CompleteFor(f.now) == 0 {
				continue
			}
			if !slices.Contains(known, l.version) {
				return fmt.Sprintf("%s of %s was listed from %v to %v, and is not in %v, said to be complete from %v to %v", l.version, service, l.from, l.to, known, completeSince, v.Until())
			}
			if ago, ok := departed[l.version]; !l.to.IsZero() && !l.to.After(v.Until()) && (!ok || f.now.Sub(l.to) < ago) {
				return fmt.Sprintf("%s of %s was removed at %v, which is not in %v, said to be complete from %v", l.version, service, l.to, departed, completeSince)
			}
		}
	}
	return ""
}

// Guards against histories that claim more than is true, after any sequence of gaps, of merges
// and of replicas that come and go, and against merges that depend on their order.
func TestHistoriesNeverClaimMoreThanIsTrue(t *testing.T) {
	g := NewWithT(t)
	longest, merges := time.Duration(0), 0
	for seed := range uint64(200) {
		f := &facts{rng: rand.New(rand.NewPCG(1, seed)), now: time.Unix(1000, 0)}
		hosts := make([]*simView, 4)
		for i := range hosts {
			hosts[i] = &simView{}
		}
		for range 120 {
			f.step()
			h, peer := hosts[f.rng.IntN(len(hosts))], hosts[f.rng.IntN(len(hosts))]
			switch k := f.rng.IntN(20); {
			case k == 0:
				*h = simView{} // it starts again
			case k == 1:
				h.observe(f, false)
			case k < 8 && peer != h && peer.asOf.After(h.asOf):
				h.take(f, peer)
				merges++
			default:
				h.observe(f, true)
			}
			for i, h := range hosts {
				g.Expect(h.check(f)).To(BeEmpty(), "host %d, seed %d", i, seed)
				longest = max(longest, h.CompleteFor(f.now))
			}
		}
		a, b := hosts[0], hosts[1]
		var ab, ba origin.History
		for _, m := range []struct {
			into *origin.History
			from [2]*simView
		}{{&ab, [2]*simView{a, b}}, {&ba, [2]*simView{b, a}}} {
			for _, from := range m.from {
				m.into.Merge(f.now, from.Summary(f.now, time.Time{}), true)
			}
		}
		for _, service := range []string{"s0", "s1"} {
			g.Expect(ab.Versions(f.now, service, time.Hour)).To(Equal(ba.Versions(f.now, service, time.Hour)), "seed %d", seed)
			g.Expect(ab.Departed(f.now, service, time.Hour)).To(Equal(ba.Departed(f.now, service, time.Hour)), "seed %d", seed)
		}
		g.Expect(ab.CompleteFor(f.now)).To(Equal(ba.CompleteFor(f.now)), "seed %d", seed)
	}
	g.Expect(longest).To(BeNumerically(">", 30*time.Second), "the schedules show something")
	g.Expect(merges).To(BeNumerically(">", 1000))
}
