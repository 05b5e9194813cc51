package poison

import (
	"cmp"
	"slices"
	"time"
)

// Suspect is a run that a replica's end took along.
type Suspect struct {
	Request Fingerprint
	// Ran is how long ago the run began when the replica ended.
	Ran time.Duration
	// Served is when a run of the request last ended well, as far as the reporting
	// daemon knows; zero for never.
	Served time.Time
}

// End is the end of a replica's process with the runs that it took along, as one
// daemon saw it or as several did together.
type End struct {
	Service, Replica string
	At               time.Time
	Suspects         []Suspect
}

// The bounds of what is remembered.
const (
	// MaxEnds bounds the ends that are remembered, the newest; MaxSuspects the runs
	// of each, those that had begun last: some 400 kB in all.
	MaxCrashes  = 256
	MaxSuspects = 32
	// memory is how long an end counts. Callers come back within their deadlines,
	// and jobs that fail are put in again by people or timers minutes later.
	crashRetention = 10 * time.Minute
	// sameEnd is the time within which reports of one replica are of the same end:
	// daemons hear of it within milliseconds, and a process that starts again under
	// its id does not take requests sooner.
	sameCrashWindow = 500 * time.Millisecond
)

// MassEnds is the number of replicas that end within MassWindow from which a
// daemon takes them for an outage, of a machine or a network: it then reports only
// requests that more than one of them took along. 3,000 daemons that lose a third
// of their replicas would else send two of them some 50 MB.
const (
	OutageCrashes = 4
	MassWindow    = time.Second
)

// Reportable returns what is worth reporting of the ends that one daemon saw
// within MassWindow.
func Reportable(ends []End) []End {
	if len(ends) < OutageCrashes {
		return ends
	}
	replicas := map[Fingerprint]int{}
	for _, e := range ends {
		for _, s := range e.Suspects {
			replicas[s.Request]++
		}
	}
	var out []End
	for _, e := range ends {
		e.Suspects = slices.DeleteFunc(slices.Clone(e.Suspects), func(s Suspect) bool { return replicas[s.Request] < 2 })
		if len(e.Suspects) > 0 {
			out = append(out, e)
		}
	}
	return out
}

// involves returns the request's run that the end took along.
func (e *End) suspectFor(f Fingerprint) (Suspect, bool) {
	i := slices.IndexFunc(e.Suspects, func(s Suspect) bool { return s.Request == f })
	if i < 0 {
		return Suspect{}, false
	}
	return e.Suspects[i], true
}

// add takes another daemon's suspects; of several runs of a request the longest
// stands.
func (e *End) mergeSuspects(suspects []Suspect) {
	for _, s := range suspects {
		i := slices.IndexFunc(e.Suspects, func(o Suspect) bool { return o.Request == s.Request })
		if i < 0 {
			e.Suspects = append(e.Suspects, s)
			continue
		}
		e.Suspects[i].Ran = max(e.Suspects[i].Ran, s.Ran)
	}
	if len(e.Suspects) > MaxSuspects {
		slices.SortFunc(e.Suspects, func(a, b Suspect) int { return cmp.Compare(a.Ran, b.Ran) })
		e.Suspects = e.Suspects[:MaxSuspects]
	}
}
