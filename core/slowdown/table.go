package slowdown

import (
	"iter"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Window is how long an observation counts as recent. It holds several intervals of the
	// fast-changing component, which changes about every 600 ms.
	Window = 3 * time.Second
	// ResendInterval is the interval at which a host sends its neighbours the baselines that
	// were confirmed lately, and ResendSize about how many it sends at once: they fill one
	// call. A table with more baselines is sent in parts, one after the other.
	ResendInterval = 3 * time.Second
	ResendSize     = 1000
	// ResendOverlap is how much older than the last resend the baselines in the next one may
	// be, because a confirmation arrives some time after the observation.
	ResendOverlap = 3 * time.Second
	// ConfirmationResends is the number of resends within which confirmations by other hosts
	// arrive. With 2, each host of simulated fleets of 82 and 985 changed baselines wrongly 0.2
	// and 0.5 times a second where replicas were observed twice a second; with 3, none did in
	// 20 s.
	ConfirmationResends = 3
	// RaiseSamples is the number of consecutive own observations above a baseline that raise
	// it early, as many as the intervals of the fast-changing component within Window.
	// Machines are slowed down in 15 of 100 intervals, so that one observation in 13,000
	// raises a baseline wrongly.
	RaiseSamples = 5
	// SampleInterval is the interval within which several observations count as one sample,
	// because they show the same state of the fast-changing component.
	SampleInterval = Window / RaiseSamples
	// MinChange is the relative difference from which a change is reported.
	MinChange = 0.1
	// MinSlowdown and MaxSlowdown limit the values that are accepted. A value in whole
	// percent has at least the former; the latter is the platform's limit.
	MinSlowdown = 0.01
	MaxSlowdown = 100
	// MaxReplicas limits the replicas in a Table, at about 150 bytes each. Up to 10,000
	// replicas are planned for.
	MaxReplicas = 1 << 14
)

// Baseline is the lowest recent slowdown of a replica.
type Baseline struct {
	// Replica is the ID of the replica's start.
	Replica string
	// Slowdown is a multiple of the usual time, from MinSlowdown to MaxSlowdown.
	Slowdown float64
	// ObservedAt is when the value was last observed.
	ObservedAt time.Time
}

const (
	// staleAfter is the age from which a baseline counts less, longer than confirmed ones get,
	// and staleHalfLife the time in which what it adds to the usual time then halves.
	staleAfter    = 10 * time.Second
	staleHalfLife = 5 * time.Second
)

// Expected returns the slowdown that is to be expected. That of a replica which nobody has
// heard of for staleAfter approaches 1 if it is above: under little load a slow replica gets no
// calls, and would otherwise never show that it has become faster.
func (b Baseline) Expected(now time.Time) float64 {
	age := now.Sub(b.ObservedAt) - staleAfter
	if age <= 0 || b.Slowdown <= 1 {
		return b.Slowdown
	}
	return 1 + (b.Slowdown-1)*math.Exp2(-float64(age)/float64(staleHalfLife))
}

// valid reports whether a baseline can have been observed.
func (b Baseline) valid(now time.Time) bool {
	return b.Replica != "" && validSlowdown(b.Slowdown) && !b.ObservedAt.After(now)
}

// validSlowdown is false for NaN.
func validSlowdown(s float64) bool { return s >= MinSlowdown && s <= MaxSlowdown }

func (b Baseline) recent(now time.Time) bool { return now.Sub(b.ObservedAt) <= Window }

// supersedes reports whether b comes before o in the order of the package's contract.
func (b Baseline) supersedes(now time.Time, o Baseline) bool {
	recent := b.recent(now)
	switch {
	case recent != o.recent(now):
		return recent
	case recent && b.Slowdown != o.Slowdown:
		return b.Slowdown < o.Slowdown
	case !b.ObservedAt.Equal(o.ObservedAt):
		return b.ObservedAt.After(o.ObservedAt)
	}
	return b.Slowdown < o.Slowdown
}

// Table holds the baselines that one host knows. The zero value is ready to use.
type Table struct {
	entries map[string]*entry
	resends uint64
}

type entry struct {
	Baseline
	// reported is the slowdown that was last reported as changed.
	reported float64
	higher   samples
}

// samples are consecutive own observations above the baseline.
type samples struct {
	lowest float64
	count  int
	// countedAt is the time of the last observation that was counted.
	countedAt time.Time
}

func (s *samples) add(now time.Time, slowdown float64) {
	if s.count == 0 || slowdown < s.lowest {
		s.lowest = slowdown
	}
	if s.count == 0 || now.Sub(s.countedAt) >= SampleInterval {
		s.count++
		s.countedAt = now
	}
}

// set replaces the baseline, and reports whether the change has to be reported.
func (e *entry) set(b Baseline) (changed bool) {
	e.Baseline, e.higher = b, samples{}
	if b.Slowdown > e.reported*(1-MinChange) && b.Slowdown < e.reported*(1+MinChange) {
		return false
	}
	e.reported = b.Slowdown
	return true
}

// Observe processes a slowdown that a replica has reported to this host. It returns the
// replica's baseline and whether it changed by MinChange or more. Values that no replica can
// report are dropped.
func (t *Table) Observe(now time.Time, replica string, slowdown float64) (b Baseline, changed bool) {
	observed := Baseline{Replica: replica, Slowdown: slowdown, ObservedAt: now}
	e := t.entries[replica]
	switch {
	case !observed.valid(now):
	case e == nil:
		return observed, t.add(observed)
	case slowdown <= e.Slowdown:
		return observed, e.set(observed)
	default:
		e.higher.add(now, slowdown)
		if t.mayRaise(now, e) {
			changed = e.set(Baseline{Replica: replica, Slowdown: e.higher.lowest, ObservedAt: now})
		}
	}
	if e == nil {
		return Baseline{}, false
	}
	return e.Baseline, changed
}

// mayRaise reports whether no host can be expected to have observed the baseline of an entry
// within Window.
func (t *Table) mayRaise(now time.Time, e *entry) bool {
	if e.higher.count >= RaiseSamples {
		return !e.recent(now)
	}
	return now.Sub(e.ObservedAt) > t.confirmationTime()
}

// confirmationTime is the age from which a baseline counts as not confirmed by any host.
func (t *Table) confirmationTime() time.Duration {
	return ConfirmationResends * time.Duration(t.resendParts()) * ResendInterval
}

// resendParts is the number of parts in which the table is resent.
func (t *Table) resendParts() int { return max(1, (len(t.entries)+ResendSize-1)/ResendSize) }

// Resend returns the baselines to send to the neighbours: the next part of the table, without
// those that were not confirmed lately. It must be called once every ResendInterval.
func (t *Table) Resend(now time.Time) []Baseline {
	t.resends++
	parts := uint64(t.resendParts())
	after := now.Add(-time.Duration(parts)*ResendInterval - ResendOverlap)
	return t.filter(func(b Baseline) bool {
		return b.ObservedAt.After(after) && xxhash.Sum64String(b.Replica)%parts == t.resends%parts
	})
}

// add inserts a replica; it returns false if the table is full.
func (t *Table) add(b Baseline) bool {
	if len(t.entries) >= MaxReplicas {
		return false
	}
	if t.entries == nil {
		t.entries = map[string]*entry{}
	}
	e := &entry{}
	t.entries[b.Replica] = e
	return e.set(b)
}

// Merge merges baselines that a peer knows, and returns those that changed here by MinChange
// or more. Values that no replica can report, and observations in the future, are dropped.
func (t *Table) Merge(now time.Time, received []Baseline) (changed []Baseline) {
	for _, b := range received {
		e := t.entries[b.Replica]
		switch {
		case !b.valid(now):
		case e == nil && t.add(b), e != nil && b.supersedes(now, e.Baseline) && e.set(b):
			changed = append(changed, b)
		}
	}
	return changed
}

// Get returns the baseline of a replica, and false if it has none.
func (t *Table) Get(replica string) (Baseline, bool) {
	e := t.entries[replica]
	if e == nil {
		return Baseline{}, false
	}
	return e.Baseline, true
}

// Len returns the number of replicas that have a baseline.
func (t *Table) Len() int { return len(t.entries) }

// All returns the baselines of all replicas in any order.
func (t *Table) All() iter.Seq[Baseline] {
	return func(yield func(Baseline) bool) {
		for _, e := range t.entries {
			if !yield(e.Baseline) {
				return
			}
		}
	}
}

// ObservedAfter returns the baselines observed after a time, here or by a peer, ordered by
// replica.
func (t *Table) ObservedAfter(after time.Time) []Baseline {
	return t.filter(func(b Baseline) bool { return b.ObservedAt.After(after) })
}

func (t *Table) filter(include func(Baseline) bool) []Baseline {
	var out []Baseline
	for b := range t.All() {
		if include(b) {
			out = append(out, b)
		}
	}
	slices.SortFunc(out, func(a, b Baseline) int { return strings.Compare(a.Replica, b.Replica) })
	return out
}

// Prune removes the baselines that keep does not select.
func (t *Table) Prune(keep func(Baseline) bool) {
	maps.DeleteFunc(t.entries, func(_ string, e *entry) bool { return !keep(e.Baseline) })
}
