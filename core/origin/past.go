package origin

import "time"

// heartbeatMargin is the part of a heartbeat's nominal interval that each counts for: intervals
// vary, and an estimate that reaches back too far would claim knowledge that is not there.
const heartbeatMargin = 0.75

// Event is a replica's entry as it was written, or its removal.
type Event struct {
	Key string
	// Service and Version are those of the entry that was written; empty if Removed.
	Service, Version string
	Removed          bool
	// Heartbeat says that the same content was written before.
	Heartbeat bool
}

// entryLife is what events have shown of an entry since it was first written or last removed.
type entryLife struct {
	service, version string
	listed           bool
}

// Past returns what a contiguous sequence of events that ends at a time shows: the versions that
// departed, and since when every version that was listed is among the events' or still listed.
// heartbeat is the interval at which each replica writes its entry. Since is zero if nothing is
// shown.
//
// The events bear no time. It is estimated from the heartbeats of the replicas that lived at
// each of them, as too short rather than too long. A removal whose entry is not among the
// events was of an unknown version: the history is complete from there on only.
func Past(until time.Time, heartbeat time.Duration, events []Event) Summary {
	ages := eventAges(heartbeat, events)
	s := Summary{Until: until}
	lives := map[string]entryLife{}
	departed := map[[2]string]time.Time{}
	begin := 0
	for i, e := range events {
		at := until.Add(-ages[i])
		life, known := lives[e.Key]
		replaced := life.listed && (e.Removed || life.service != e.Service || life.version != e.Version)
		switch {
		case replaced:
			departed[[2]string{life.service, life.version}] = at
		case e.Removed && !known:
			begin = i
		}
		lives[e.Key] = entryLife{e.Service, e.Version, !e.Removed}
	}
	for v, at := range departed {
		s.Versions = append(s.Versions, FormerVersion{Service: v[0], Version: v[1], LastListed: at, LastRemoved: at})
	}
	if len(events) > 0 && ages[begin] > 0 {
		s.Since = until.Add(-ages[begin])
	}
	return s
}

// eventAges estimates how long before the last event each one was. While n replicas live, there
// are n heartbeats in the interval of each.
func eventAges(heartbeat time.Duration, events []Event) []time.Duration {
	ages := make([]time.Duration, len(events))
	living := map[string]bool{}
	elapsed := make([]time.Duration, len(events))
	var sum time.Duration
	for i, e := range events {
		switch {
		case e.Removed:
			delete(living, e.Key)
		case e.Heartbeat && living[e.Key]:
			sum += time.Duration(heartbeatMargin * float64(heartbeat) / float64(len(living)))
		default:
			living[e.Key] = true
		}
		elapsed[i] = sum
	}
	for i := range events {
		ages[i] = sum - elapsed[i]
	}
	return ages
}
