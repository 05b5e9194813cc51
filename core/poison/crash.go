package poison

import (
	"cmp"
	"slices"
	"time"
)

// Suspect is a subject of a run that was lost when its replica crashed.
type Suspect struct {
	Subject Fingerprint
	Kind    Kind
	// RunTime is the time from the beginning of the run to the crash.
	RunTime time.Duration
	// LastSuccess is when a run with the subject last survived as far as the reporting
	// daemon knows; zero if never.
	LastSuccess time.Time
}

// Crash is a crash of a replica's process with the subjects of the runs that were lost, as
// observed by one daemon or merged from the reports of several.
type Crash struct {
	Service, Replica string
	At               time.Time
	Suspects         []Suspect
	// Idle are replicas of the service that were found crashed too, at most maxIdle.
	Idle []IdleReplica
}

// IdleReplica is a replica that was found crashed although the reporting daemon had no run on it.
type IdleReplica struct {
	Replica string
	// AnsweredAt is when it last answered the reporting daemon: it crashed after that.
	AnsweredAt time.Time
}

// Bounds of the retained evidence.
const (
	// MaxCrashes is the maximum number of retained crashes, of which the newest are kept.
	// MaxSuspects is the maximum number of contents of each, of which those that began last
	// are kept, and MaxPartSuspects that of parts, of which those that survived longest ago
	// are kept. Together they use about 3 MB.
	MaxCrashes      = 256
	MaxSuspects     = 64
	MaxPartSuspects = 128
	// maxOutagePartSuspects replaces MaxPartSuspects for crashes in an outage.
	maxOutagePartSuspects = 8
	// crashRetention is how long a crash counts. Callers retry within their deadlines, and
	// people or timers resubmit failed jobs minutes later.
	crashRetention = 10 * time.Minute
	// sameCrashWindow is the time within which reports of one replica refer to the same
	// crash. Daemons notice a crash within milliseconds of each other, and a process that
	// restarts under the same ID does not accept requests sooner.
	sameCrashWindow = 500 * time.Millisecond
)

// OutageCrashes is the number of replicas that crash within OutageWindow from which a
// daemon treats the crashes as an outage of a machine or a network. It then reports only
// subjects that were running on more than one of these replicas. Otherwise, 3,000 daemons
// that lose a third of their replicas would send about 50 MB to two of the daemons.
const (
	OutageCrashes = 4
	OutageWindow  = time.Second
	// MinIdle is the number of idle replicas that crashed at the same time from which no subject
	// is the cause, and maxIdle the maximum number retained for a crash.
	MinIdle = OutageCrashes - 1
	maxIdle = 8
)

// Reportable returns the crashes to report out of those that one daemon observed within
// OutageWindow.
func Reportable(crashes []Crash) []Crash {
	if len(crashes) < OutageCrashes {
		return crashes
	}
	replicas := map[Fingerprint]int{}
	for _, e := range crashes {
		for _, s := range e.Suspects {
			replicas[s.Subject]++
		}
	}
	var out []Crash
	for _, e := range crashes {
		e.Suspects = slices.DeleteFunc(slices.Clone(e.Suspects), func(s Suspect) bool { return replicas[s.Subject] < 2 })
		e.limitSuspects(maxOutagePartSuspects)
		if len(e.Suspects) > 0 {
			out = append(out, e)
		}
	}
	return out
}

// suspectFor returns the suspect that is the given subject.
func (e *Crash) suspectFor(f Fingerprint) (Suspect, bool) {
	i := slices.IndexFunc(e.Suspects, func(s Suspect) bool { return s.Subject == f })
	if i < 0 {
		return Suspect{}, false
	}
	return e.Suspects[i], true
}

// LimitSuspects keeps at most MaxSuspects contents, of the runs that began last, and MaxPartSuspects
// parts, those that survived longest ago.
func (e *Crash) LimitSuspects() { e.limitSuspects(MaxPartSuspects) }

func (e *Crash) limitSuspects(maxParts int) {
	contents, parts := 0, 0
	for _, s := range e.Suspects {
		if s.Kind == Part {
			parts++
		} else {
			contents++
		}
	}
	if contents <= MaxSuspects && parts <= maxParts {
		return
	}
	e.Suspects = slices.Concat(
		strongestSuspects(e.Suspects, Content, MaxSuspects, func(a, b Suspect) int { return cmp.Compare(a.RunTime, b.RunTime) }),
		strongestSuspects(e.Suspects, Part, maxParts, func(a, b Suspect) int {
			return cmp.Or(a.LastSuccess.Compare(b.LastSuccess), cmp.Compare(a.RunTime, b.RunTime))
		}))
}

// strongestSuspects returns the first n suspects of a kind in the given order.
func strongestSuspects(all []Suspect, k Kind, n int, order func(a, b Suspect) int) []Suspect {
	out := slices.DeleteFunc(slices.Clone(all), func(s Suspect) bool { return s.Kind != k })
	slices.SortStableFunc(out, order)
	return out[:min(n, len(out))]
}

// mergeSuspects adds the suspects reported by another daemon. Of several runs with the same
// subject, the longest is kept.
func (e *Crash) mergeSuspects(suspects []Suspect) {
	for _, s := range suspects {
		i := slices.IndexFunc(e.Suspects, func(o Suspect) bool { return o.Subject == s.Subject })
		if i < 0 {
			e.Suspects = append(e.Suspects, s)
			continue
		}
		e.Suspects[i].RunTime = max(e.Suspects[i].RunTime, s.RunTime)
	}
	e.LimitSuspects()
}

// mergeIdle adds the idle replicas reported by another daemon. The latest answer of each counts.
func (e *Crash) mergeIdle(idle []IdleReplica) {
	for _, r := range idle {
		i := slices.IndexFunc(e.Idle, func(o IdleReplica) bool { return o.Replica == r.Replica })
		switch {
		case i >= 0 && r.AnsweredAt.After(e.Idle[i].AnsweredAt):
			e.Idle[i] = r
		case i < 0 && len(e.Idle) < maxIdle:
			e.Idle = append(e.Idle, r)
		}
	}
}
