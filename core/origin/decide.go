package origin

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Stream is what is known of a stream that a caller takes up, besides the answers of hosts.
type Stream struct {
	// Service is the one that is asked about.
	Service string
	// Lifetime is the longest time for which a stream of the route may be taken up.
	Lifetime time.Duration
	// Waited is for how long the decision has waited for a newer view.
	Waited time.Duration
	// ReplicasAsked says that replicas are asked whether they keep the prompt: silent ones may answer later.
	ReplicasAsked bool
}

// Answer is what one host knows about a stream and its service.
type Answer struct {
	// Service and Version are the recorded ones; Known says that there is a record.
	Known            bool
	Service, Version string
	// Versions are those that the replicas of the service have, or had as far as the host
	// remembers.
	Versions []string
	// History is for how long before now Versions are complete, up to the host's view, which
	// is ViewAge old.
	History, ViewAge time.Duration
	// Moved is how long ago a route was led to the service from another one; 0 if the host knows
	// of none.
	Moved time.Duration
	// Readers are the versions that are known to have read the last part of the prompt for other
	// streams, or for attempts of this one at several versions (Readers.AmbiguousReaders).
	// HoldsReaders says that all hosts tell this one of them; ReadersFor is for how long before now
	// it has missed none.
	Readers      []ServiceVersion
	HoldsReaders bool
	ReadersFor   time.Duration
	// PartsShared says that requests of different content are known to have shared last parts.
	PartsShared bool
}

// ServiceVersion is a version of a service.
type ServiceVersion struct{ Service, Version string }

// Verdict is what is known about the version of a stream. Service is the one of a record, "" for
// the one that was asked about.
type Verdict struct {
	Known            bool
	Service, Version string
	// MayCome says that it may become known: a host that did not answer may know it, a replica
	// that did not may tell which version keeps the prompt, or a newer view or a longer history may
	// tell. After is the time until the history is long enough; 0 if it is not known.
	MayCome  bool
	After    time.Duration
	Reason   Reason
	Evidence Evidence
}

// Reason says what decided, in logs and metrics.
type Reason string

// The reasons.
const (
	// Recorded, OneVersion and PromptKept: a record, the only version that the service has had,
	// or the only one whose replicas keep the stream's prompt.
	Recorded   Reason = "record"
	OneVersion Reason = "one_version"
	PromptKept Reason = "prompt_kept"
	// Conflict: hosts have records of different versions.
	Conflict Reason = "conflict"
	// SeveralVersions: there is no record, and the service has had several versions.
	SeveralVersions Reason = "several_versions"
	// ShortHistory: the hosts that answered do not remember long enough which versions the
	// service has had.
	ShortHistory Reason = "short_history"
	// OldView: the stream may have begun at a version that is newer than all views, none of which
	// was read after the resume came.
	OldView Reason = "old_view"
	// SeveralServices: there is no record, and the route is split between services.
	SeveralServices Reason = "several_services"
	// SharedPrompt: the only version whose replicas keep the prompt has read its last part for
	// another request, or several have for the stream's own attempts. UnknownReaders: it may have,
	// since requests share parts, and the service has had other versions.
	SharedPrompt   Reason = "shared_prompt"
	UnknownReaders Reason = "unknown_readers"
	// NoEvidence: the service has no replicas that are known.
	NoEvidence Reason = "no_evidence"
)

// Evidence is what a verdict was reached from, for logs.
type Evidence struct {
	// Versions are those that the answers list, sorted.
	Versions []string
	// History is for how long before now the answers together are complete, and ViewAge the
	// age of the newest view.
	History, ViewAge time.Duration
	// Remembered is History but for moves of routes, which say nothing about readers.
	Remembered time.Duration
	// Answered and Unanswered are the numbers of hosts that answered, this one included, and
	// of those that did not.
	Answered, Unanswered int
	// Memory is what replicas keep of the prompt; nil if they were not asked.
	Memory *Memory
	// Readers are the versions that have read the last part of the prompt for other requests, or for
	// attempts at several versions, sorted, and ReadersFor is for how long before now none is missing.
	Readers    []ServiceVersion
	ReadersFor time.Duration
	// PartsShared says that requests of different content are known to have shared last parts, and
	// SharingFor is for how long before now a host would know.
	PartsShared bool
	SharingFor  time.Duration
}

// String describes the evidence in one line.
func (e Evidence) String() string {
	s := fmt.Sprintf("versions %s in a history of %s, view %s old, %d hosts answered, %d did not",
		strings.Join(e.Versions, ","), e.History.Round(time.Millisecond), e.ViewAge.Round(time.Millisecond), e.Answered, e.Unanswered)
	if e.Memory != nil {
		s += fmt.Sprintf("; prompt kept at versions %s, not known of %s", strings.Join(e.Memory.Holding, ","), strings.Join(e.Memory.Silent, ","))
		s += fmt.Sprintf("; read for others at %v in %s", e.Readers, e.ReadersFor.Round(time.Millisecond))
	}
	return s
}

// Decide decides which version began a stream. answers include that of this host, as the first
// one; unanswered is the number of asked hosts that did not answer; memory is nil while the
// replicas have not been asked.
//
// Without a record, two kinds of evidence decide:
//
//   - The only version whose replicas keep the stream's whole prompt, if all replicas of other
//     versions answered that they keep none of it, and no other request is known to have had it
//     read there (keptForStream).
//   - The only version that the service has had for a stream's lifetime. This needs a complete
//     history: that a host does not remember another version proves nothing about the time
//     before it began to observe, nor about the time after its view. That no host has a record
//     proves nothing: the one that began the stream may be cut off, or its record under way.
func Decide(s Stream, answers []Answer, unanswered int, memory *Memory) Verdict {
	e := evidenceOf(answers, unanswered)
	e.Memory = memory
	v := decide(s, answers, e)
	v.Evidence = e
	return v
}

func decide(s Stream, answers []Answer, e Evidence) Verdict {
	recorded, agree := recordedAnswer(answers)
	switch {
	case recorded != nil && agree:
		return Verdict{Known: true, Service: recorded.Service, Version: recorded.Version, Reason: Recorded}
	case recorded != nil:
		return Verdict{Reason: Conflict}
	case len(e.Versions) == 0:
		return Verdict{MayCome: e.Unanswered > 0, Reason: NoEvidence}
	}
	kept, ok := decideKept(s, e, map[string]Memory{s.Service: memoryOf(e)})
	kept.Service = ""
	switch {
	case kept.Known || ok && (len(e.Versions) > 1 || e.History < s.Lifetime):
		return kept
	case len(e.Versions) > 1:
		return Verdict{MayCome: e.Unanswered > 0 || s.ReplicasAsked && silentMayDecide(map[string]Memory{s.Service: memoryOf(e)}), Reason: SeveralVersions}
	case e.ViewAge > s.Waited:
		return Verdict{MayCome: true, Reason: OldView}
	case e.History < s.Lifetime:
		return Verdict{MayCome: true, After: s.Lifetime - e.History, Reason: ShortHistory}
	}
	return Verdict{Known: true, Version: e.Versions[0], Reason: OneVersion}
}

// DecideAmong decides which version of which service began a stream of a route that is split between
// services, from what their replicas keep of its prompt. Which versions a service has had says
// nothing here: the stream may have begun at another one. e is the evidence of a Verdict that did
// not decide.
func DecideAmong(s Stream, e Evidence, memories map[string]Memory) Verdict {
	v, ok := decideKept(s, e, memories)
	if !ok {
		v = Verdict{MayCome: e.Unanswered > 0 || s.ReplicasAsked && silentMayDecide(memories), Reason: SeveralServices}
	}
	v.Evidence = e
	if v.Known {
		memory := memories[v.Service]
		v.Evidence.Versions, v.Evidence.Memory = []string{v.Version}, &memory
	}
	return v
}

// decideKept decides from what the replicas of services keep of a stream's prompt; false if that
// leaves it open.
func decideKept(s Stream, e Evidence, memories map[string]Memory) (Verdict, bool) {
	service, version, ok := keptAmong(memories)
	if !ok {
		return Verdict{}, false
	}
	return keptForStream(s, e, ServiceVersion{service, version}, len(memories) > 1 || len(e.Versions) > 1), true
}

const (
	// readersMargin is by how much less time than the versions the readers of a part may be known:
	// hosts that start together do so one after the other.
	readersMargin = 500 * time.Millisecond
	// minReadersHistory is for how long readers must have been known before it counts that no
	// requests share parts.
	minReadersHistory = 5 * time.Second
)

// keptForStream decides whether the only version whose replicas keep the prompt of a stream began
// it. The last part of the prompt may belong to a session, and have been read there for another of
// its requests. Where requests share parts, the readers must be known for a stream's lifetime: all
// hosts may have been lost several times since it began. Where that is not known, they must be known
// for as long as the hosts remember versions. several says that there are, or were, other versions.
func keptForStream(s Stream, e Evidence, kept ServiceVersion, several bool) Verdict {
	switch {
	case slices.Contains(e.Readers, kept):
		return Verdict{Reason: SharedPrompt}
	case e.PartsShared && e.ReadersFor+readersMargin < s.Lifetime:
		return Verdict{MayCome: true, After: s.Lifetime - e.ReadersFor, Reason: UnknownReaders}
	case several && e.SharingFor < minReadersHistory && e.ReadersFor+readersMargin < min(s.Lifetime, e.Remembered):
		return Verdict{MayCome: e.Unanswered > 0, Reason: UnknownReaders}
	}
	return Verdict{Known: true, Service: kept.Service, Version: kept.Version, Reason: PromptKept}
}

func memoryOf(e Evidence) Memory {
	if e.Memory == nil {
		return Memory{}
	}
	return *e.Memory
}

// recordedAnswer returns an answer with a record, nil if there is none, and whether all records
// agree.
func recordedAnswer(answers []Answer) (recorded *Answer, agree bool) {
	for i := range answers {
		a := &answers[i]
		switch {
		case !a.Known:
		case recorded == nil:
			recorded = a
		case a.Version != recorded.Version || a.Service != recorded.Service && a.Service != "" && recorded.Service != "":
			return recorded, false // earlier daemons name no service
		}
	}
	return recorded, true
}

func evidenceOf(answers []Answer, unanswered int) Evidence {
	e := Evidence{Answered: len(answers), Unanswered: unanswered}
	byView := slices.Clone(answers)
	slices.SortFunc(byView, func(a, b Answer) int { return int(a.ViewAge - b.ViewAge) })
	for i, a := range byView {
		e.Versions = append(e.Versions, a.Versions...)
		if i == 0 {
			e.ViewAge = a.ViewAge
		}
		// A history that ends before those of the newer views begin leaves a gap.
		if i == 0 || a.ViewAge <= e.History {
			e.History = max(e.History, a.History)
		}
	}
	e.Remembered = e.History
	for _, a := range answers {
		if a.Moved > 0 {
			e.History = min(e.History, a.Moved)
		}
		e.Readers = append(e.Readers, a.Readers...)
		e.PartsShared = e.PartsShared || a.PartsShared
		e.SharingFor = max(e.SharingFor, a.ReadersFor)
		if a.HoldsReaders {
			e.ReadersFor = max(e.ReadersFor, a.ReadersFor)
		}
	}
	e.Versions = unique(e.Versions)
	slices.SortFunc(e.Readers, func(a, b ServiceVersion) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version))
	})
	e.Readers = slices.Compact(e.Readers)
	return e
}

func unique(versions []string) []string {
	slices.Sort(versions)
	return slices.Compact(versions)
}
