package origin

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// holderCount is the number of other hosts that hold a record, and MaxAsked the number of
	// hosts that are asked for it: after hosts have joined, holders may rank lower.
	holderCount = 2
	MaxAsked    = 4
	// maxViewAge is the age up to which a view can show that a service has one version only:
	// streams may have begun at a version that is newer than the view.
	maxViewAge = time.Second
)

// Host is a host that may hold records.
type Host struct{ Name, FailureDomain string }

// weight ranks a host for a stream: rendezvous hashing.
func weight(k Key, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(k[:]) // writing to an xxhash.Digest never fails
	_, _ = d.WriteString(name)
	return d.Sum64()
}

// Asked returns the hosts that are asked for the record of a stream, in rank order. The first
// holderCount of them hold it, in different failure domains if there are several. Each host
// holds about as many records as any other.
func Asked(k Key, hosts []Host) []Host {
	type weighted struct {
		Host
		weight uint64
	}
	before := func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.Name, b.Name))
	}
	all := make([]weighted, 0, len(hosts))
	first := make([]weighted, 0, MaxAsked+1)
	for _, h := range hosts {
		w := weighted{h, weight(k, h.Name)}
		all = append(all, w)
		if i, _ := slices.BinarySearchFunc(first, w, before); i < MaxAsked {
			first = slices.Insert(first, i, w)
			first = first[:min(MaxAsked, len(first))]
		}
	}
	var second *weighted
	for i := range all {
		if all[i].FailureDomain != first[0].FailureDomain && (second == nil || before(all[i], *second) < 0) {
			second = &all[i]
		}
	}
	if second != nil {
		first = slices.DeleteFunc(first, func(w weighted) bool { return w.Name == second.Name })
		first = slices.Insert(first, 1, *second)
		first = first[:min(MaxAsked, len(first))]
	}
	out := make([]Host, 0, len(first))
	for _, w := range first {
		out = append(out, w.Host)
	}
	return out
}

// Holders returns the hosts that hold the record of a stream.
func Holders(k Key, hosts []Host) []Host {
	asked := Asked(k, hosts)
	return asked[:min(holderCount, len(asked))]
}

// Spares returns the hosts that hold the record of a stream in place of a holder that does not
// answer, in rank order. They are asked, too.
func Spares(k Key, hosts []Host) []Host {
	asked := Asked(k, hosts)
	return asked[min(holderCount, len(asked)):]
}

// Answer is what one host knows about a stream and its service.
type Answer struct {
	// Version is the recorded one; Known says that there is a record.
	Known   bool
	Version string
	// Versions are those that the service has had within the lifetime of a stream, as far as
	// the host's views go back (History).
	Versions []string
	History  time.Duration
	// ViewAge is the age of the host's view.
	ViewAge time.Duration
}

// Verdict is what is known about the version of a stream.
type Verdict struct {
	Known   bool
	Version string
	// MayCome says that a host which did not answer may know it.
	MayCome  bool
	Reason   Reason
	Evidence Evidence
}

// Evidence is what a verdict was reached from, for logs.
type Evidence struct {
	// Versions are those that the answers list, sorted.
	Versions []string
	// History is the longest history among the answers, and ViewAge the age of the newest view.
	History, ViewAge time.Duration
	// Answered and Unanswered are the numbers of hosts that answered, this one included, and
	// of those that did not.
	Answered, Unanswered int
}

// Reason says what decided, in logs and metrics.
type Reason string

// The reasons.
const (
	// Recorded and OneVersion: a record, or the only version that the service has had.
	Recorded   Reason = "record"
	OneVersion Reason = "one_version"
	// Conflict: hosts have records of different versions.
	Conflict Reason = "conflict"
	// SeveralVersions and NoEvidence: there is no record, and the service has had several
	// versions, or it is not known which it has had.
	SeveralVersions Reason = "several_versions"
	NoEvidence      Reason = "no_evidence"
)

// String describes the evidence in one line.
func (e Evidence) String() string {
	return fmt.Sprintf("versions %s in a history of %s, view %s old, %d hosts answered, %d did not",
		strings.Join(e.Versions, ","), e.History.Round(time.Millisecond), e.ViewAge.Round(time.Millisecond), e.Answered, e.Unanswered)
}

// Decide decides which version began a stream that may last for the given lifetime. answers
// include that of this host, as the first one; unanswered is the number of asked hosts that did
// not answer.
//
// Without a record, the only version that the service has had decides. Streams may have begun
// at a version that no view lists yet, so that one view has to be new, or as new as those of all
// hosts that were asked. They may have begun at a version that was gone when the answering hosts
// started; if none has run for a lifetime, at least one other host has to answer, where the
// record would be unless all holders have been lost.
func Decide(lifetime time.Duration, answers []Answer, unanswered int) Verdict {
	e := evidenceOf(answers, unanswered)
	v := decide(lifetime, answers, e)
	v.Evidence = e
	return v
}

func evidenceOf(answers []Answer, unanswered int) Evidence {
	e := Evidence{Answered: len(answers), Unanswered: unanswered}
	for i, a := range answers {
		e.Versions = append(e.Versions, a.Versions...)
		e.History = max(e.History, a.History)
		if i == 0 || a.ViewAge < e.ViewAge {
			e.ViewAge = a.ViewAge
		}
	}
	e.Versions = unique(e.Versions)
	return e
}

func decide(lifetime time.Duration, answers []Answer, e Evidence) Verdict {
	var recorded []string
	for _, a := range answers {
		if a.Known {
			recorded = append(recorded, a.Version)
		}
	}
	recorded = unique(recorded)
	listed, longest, unanswered := e.Versions, e.History, e.Unanswered
	fresh, alone := e.ViewAge <= maxViewAge, e.Answered == 1
	switch {
	case len(recorded) == 1:
		return Verdict{Known: true, Version: recorded[0], Reason: Recorded}
	case len(recorded) > 1:
		return Verdict{Reason: Conflict}
	case len(listed) > 1:
		return Verdict{MayCome: unanswered > 0, Reason: SeveralVersions}
	case len(listed) == 0, !fresh && (alone || unanswered > 0), longest < lifetime && alone && unanswered > 0:
		return Verdict{MayCome: unanswered > 0, Reason: NoEvidence}
	}
	return Verdict{Known: true, Version: listed[0], Reason: OneVersion}
}

func unique(versions []string) []string {
	slices.Sort(versions)
	return slices.Compact(versions)
}
