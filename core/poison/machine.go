package poison

import (
	"cmp"
	"slices"
	"time"
)

// endsToCondemn are the ends of replicas under a request from which it is refused:
// the users allow three.
const crashThreshold = 3

// doubtEnds are the ends without a request, within doubtWindow, from which a
// verdict on it is doubtful: replicas end for other reasons too.
const (
	unrelatedCrashThreshold = 3
	unrelatedCrashWindow    = 10 * time.Second
)

// Machine holds the evidence and the verdicts. The zero value is ready.
type Machine struct {
	crashes []*End // by time
	// under has the ends under each request, so that a report costs what its own
	// requests were part of and not all that is remembered.
	crashesByRequest map[Fingerprint][]*End
	successes        successTimes
	verdicts         map[Fingerprint]*Verdict
}

// Ended takes a replica's end, as one daemon saw it, and returns the verdicts that
// changed.
func (m *Machine) Ended(now time.Time, e End) []Verdict {
	m.expire(now)
	for _, s := range e.Suspects {
		if !s.Served.IsZero() {
			m.successes.record(s.Served, s.Request)
		}
	}
	i := slices.IndexFunc(m.crashes, func(o *End) bool { return o.Replica == e.Replica && o.At.Sub(e.At).Abs() < sameCrashWindow })
	known := &End{Service: e.Service, Replica: e.Replica, At: e.At}
	if i >= 0 {
		known = m.crashes[i]
		m.removeCrash(i)
	}
	known.mergeSuspects(e.Suspects)
	m.insertCrash(known)
	if len(m.crashes) > MaxCrashes {
		m.removeCrash(0)
	}
	return m.quarantineSuspects(now, e.Suspects)
}

// keep remembers an end.
func (m *Machine) insertCrash(e *End) {
	if m.crashesByRequest == nil {
		m.crashesByRequest = map[Fingerprint][]*End{}
	}
	at, _ := slices.BinarySearchFunc(m.crashes, e, func(a, b *End) int { return a.At.Compare(b.At) })
	m.crashes = slices.Insert(m.crashes, at, e)
	for _, s := range e.Suspects {
		m.crashesByRequest[s.Request] = append(m.crashesByRequest[s.Request], e)
	}
}

// drop forgets an end.
func (m *Machine) removeCrash(i int) {
	e := m.crashes[i]
	m.crashes = slices.Delete(m.crashes, i, i+1)
	for _, s := range e.Suspects {
		remaining := slices.DeleteFunc(m.crashesByRequest[s.Request], func(o *End) bool { return o == e })
		if len(remaining) == 0 {
			delete(m.crashesByRequest, s.Request)
			continue
		}
		m.crashesByRequest[s.Request] = remaining
	}
}

// Served takes a run that ended well, and returns the verdict that it lifts.
func (m *Machine) Served(now time.Time, f Fingerprint) []Verdict {
	m.successes.record(now, f)
	if v, ok := m.verdicts[f]; ok && !v.Lifted {
		v.Lifted = true
		return []Verdict{*v}
	}
	return nil
}

// LastServed is when a run of the request last ended well here; zero when none is
// remembered.
func (m *Machine) LastServed(f Fingerprint) time.Time { return m.successes.last(f) }

// Learn takes verdicts of other machines and returns those that are news here. One
// that a run contradicts which ended well here is news as lifted.
func (m *Machine) Learn(now time.Time, verdicts []Verdict) []Verdict {
	m.expire(now)
	var changed []Verdict
	for _, v := range verdicts {
		old, known := m.verdicts[v.Request]
		if now.Sub(v.At) > Lifetime || known && !v.Supersedes(*old) {
			continue
		}
		if m.successes.last(v.Request).After(v.Since) {
			v.Lifted = true
		}
		m.storeVerdict(v)
		changed = append(changed, v)
	}
	return changed
}

// Condemned returns the verdict by which a request is refused.
func (m *Machine) Condemned(now time.Time, f Fingerprint) (Verdict, bool) {
	v, ok := m.verdicts[f]
	if !ok || v.Lifted || now.Sub(v.At) > Lifetime {
		return Verdict{}, false
	}
	return *v, true
}

// Try grants a trial of a condemned request if one is due, and returns the verdict
// that says so.
func (m *Machine) Try(now time.Time, f Fingerprint) (Verdict, bool) {
	v, ok := m.verdicts[f]
	if !ok || v.Lifted {
		return Verdict{}, false
	}
	due, available := v.nextTrial()
	if !available || now.Before(due) {
		return Verdict{}, false
	}
	v.Trials, v.TriedAt = v.Trials+1, now
	return *v, true
}

// Untried takes a trial back that came to no run, and returns the verdict that says
// so.
func (m *Machine) Untried(f Fingerprint) (Verdict, bool) {
	v, ok := m.verdicts[f]
	if !ok || v.Lifted || v.Untried >= min(v.Trials, MaxUnusedTrials) {
		return Verdict{}, false
	}
	v.Untried++
	return *v, true
}

// judge condemns those of the suspects that have come to enough ends.
func (m *Machine) quarantineSuspects(now time.Time, suspects []Suspect) []Verdict {
	var changed []Verdict
	for {
		strongest, found := m.strongestEvidence(now, suspects)
		if !found {
			return changed
		}
		round := uint32(1)
		if old, ok := m.verdicts[strongest.request]; ok {
			round = old.Round + 1
		}
		v := Verdict{Request: strongest.request, Round: round, At: now, Since: strongest.firstCrash, Doubtful: m.unrelatedCrashes(now, strongest.request) >= unrelatedCrashThreshold}
		m.storeVerdict(v)
		changed = append(changed, v)
		changed = append(changed, m.markDoubtful(now, v.Request)...)
	}
}

// doubt returns earlier verdicts that a new one leaves without their ends: the
// request condemned now was part of them, and the other may have been a bystander.
func (m *Machine) markDoubtful(now time.Time, quarantined Fingerprint) []Verdict {
	var changed []Verdict
	for _, v := range m.Verdicts() {
		if v.Request == quarantined || v.Lifted || v.Doubtful || m.evidenceAgainst(now, v.Request).crashes >= crashThreshold {
			continue
		}
		v.Doubtful = true
		m.storeVerdict(v)
		changed = append(changed, v)
	}
	return changed
}

// charge is what counts against a request.
type evidence struct {
	request    Fingerprint
	crashes    int
	firstCrash time.Time
	// slowest is the longest that one of its runs took to end a replica.
	longestRun time.Duration
}

// worst returns the suspect to condemn next, and false when none has come to
// enough ends.
func (m *Machine) strongestEvidence(now time.Time, suspects []Suspect) (evidence, bool) {
	var strongest evidence
	for _, s := range suspects {
		if _, quarantined := m.Condemned(now, s.Request); quarantined {
			continue
		}
		c := m.evidenceAgainst(now, s.Request)
		if c.crashes >= crashThreshold && (strongest.crashes == 0 || cmp.Or(cmp.Compare(c.crashes, strongest.crashes), cmp.Compare(strongest.longestRun, c.longestRun)) > 0) {
			strongest = c
		}
	}
	return strongest, strongest.crashes > 0
}

// charge counts the ends under a request since a run of it last ended well,
// without those that another request was part of which is condemned.
func (m *Machine) evidenceAgainst(now time.Time, f Fingerprint) evidence {
	c := evidence{request: f}
	lastSuccess := m.successes.last(f)
	for _, e := range m.crashesByRequest[f] {
		if !e.At.After(lastSuccess) || m.attributedToOther(now, e, f) {
			continue
		}
		if c.crashes++; c.crashes == 1 || e.At.Before(c.firstCrash) {
			c.firstCrash = e.At
		}
		s, _ := e.suspectFor(f)
		c.longestRun = max(c.longestRun, s.Ran)
	}
	return c
}

// explained says whether a condemned request other than f was part of an end.
func (m *Machine) attributedToOther(now time.Time, e *End, f Fingerprint) bool {
	if len(m.verdicts) == 0 {
		return false
	}
	return slices.ContainsFunc(e.Suspects, func(s Suspect) bool {
		_, quarantined := m.Condemned(now, s.Request)
		return quarantined && s.Request != f
	})
}

// otherEnds counts the ends of late that a request was no part of.
func (m *Machine) unrelatedCrashes(now time.Time, f Fingerprint) int {
	n := 0
	for _, e := range m.crashes {
		if _, involved := e.suspectFor(f); !involved && now.Sub(e.At) < unrelatedCrashWindow && !m.attributedToOther(now, e, f) {
			n++
		}
	}
	return n
}

// put keeps a verdict, and drops the oldest when there are too many.
func (m *Machine) storeVerdict(v Verdict) {
	if m.verdicts == nil {
		m.verdicts = map[Fingerprint]*Verdict{}
	}
	m.verdicts[v.Request] = &v
	if len(m.verdicts) <= MaxVerdicts {
		return
	}
	all := m.Verdicts()
	oldest := slices.MinFunc(all, func(a, b Verdict) int { return a.At.Compare(b.At) })
	delete(m.verdicts, oldest.Request)
}

// forget drops what no longer counts.
func (m *Machine) expire(now time.Time) {
	for len(m.crashes) > 0 && now.Sub(m.crashes[0].At) > crashRetention {
		m.removeCrash(0)
	}
	for f, v := range m.verdicts {
		if now.Sub(v.At) > Lifetime {
			delete(m.verdicts, f)
		}
	}
}

// EndsUnder returns the ends that are remembered under a request, by time.
func (m *Machine) EndsUnder(f Fingerprint) []End {
	var ends []End
	for _, e := range m.crashesByRequest[f] {
		ends = append(ends, *e)
	}
	slices.SortFunc(ends, func(a, b End) int { return a.At.Compare(b.At) })
	return ends
}

// Stats are figures of a Machine for operators.
type Stats struct {
	Ends     int `json:"ends"`
	Verdicts int `json:"verdicts"`
	Served   int `json:"served"`
}

// Stats returns the figures.
func (m *Machine) Stats() Stats {
	return Stats{Ends: len(m.crashes), Verdicts: len(m.verdicts), Served: len(m.successes.recent) + len(m.successes.earlier)}
}
