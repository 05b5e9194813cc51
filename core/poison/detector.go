package poison

import (
	"cmp"
	"slices"
	"time"
)

// crashThreshold is the number of replicas that crash while running a request after which
// it is quarantined. The users' requirements allow three.
const crashThreshold = 3

// unrelatedCrashThreshold is the number of crashes without a request, within
// unrelatedCrashWindow, from which a verdict on it is doubtful, since replicas then also
// crash for other reasons.
const (
	unrelatedCrashThreshold = 3
	unrelatedCrashWindow    = 10 * time.Second
)

// Detector holds the evidence and the verdicts. The zero value is ready to use.
type Detector struct {
	crashes []*Crash // ordered by time
	// crashesByRequest holds the crashes in which each request was involved, so that the
	// cost of a report depends on the crashes of its own requests and not on all retained
	// ones.
	crashesByRequest map[Fingerprint][]*Crash
	successes        successTimes
	verdicts         map[Fingerprint]*Verdict
}

// RecordCrash records a replica's crash as observed by one daemon, and returns the verdicts
// that changed.
func (m *Detector) RecordCrash(now time.Time, e Crash) []Verdict {
	m.expire(now)
	for _, s := range e.Suspects {
		if !s.LastSuccess.IsZero() {
			m.successes.record(s.LastSuccess, s.Request)
		}
	}
	i := slices.IndexFunc(m.crashes, func(o *Crash) bool { return o.Replica == e.Replica && o.At.Sub(e.At).Abs() < sameCrashWindow })
	known := &Crash{Service: e.Service, Replica: e.Replica, At: e.At}
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

// insertCrash adds a crash to the retained ones.
func (m *Detector) insertCrash(e *Crash) {
	if m.crashesByRequest == nil {
		m.crashesByRequest = map[Fingerprint][]*Crash{}
	}
	at, _ := slices.BinarySearchFunc(m.crashes, e, func(a, b *Crash) int { return a.At.Compare(b.At) })
	m.crashes = slices.Insert(m.crashes, at, e)
	for _, s := range e.Suspects {
		m.crashesByRequest[s.Request] = append(m.crashesByRequest[s.Request], e)
	}
}

// removeCrash removes the crash with index i.
func (m *Detector) removeCrash(i int) {
	e := m.crashes[i]
	m.crashes = slices.Delete(m.crashes, i, i+1)
	for _, s := range e.Suspects {
		remaining := slices.DeleteFunc(m.crashesByRequest[s.Request], func(o *Crash) bool { return o == e })
		if len(remaining) == 0 {
			delete(m.crashesByRequest, s.Request)
			continue
		}
		m.crashesByRequest[s.Request] = remaining
	}
}

// RecordSuccess records a successful run, and returns the verdict that it lifts.
func (m *Detector) RecordSuccess(now time.Time, f Fingerprint) []Verdict {
	m.successes.record(now, f)
	if v, ok := m.verdicts[f]; ok && !v.Lifted {
		v.Lifted = true
		return []Verdict{*v}
	}
	return nil
}

// LastSuccess returns when a run of the request last succeeded here; zero if none is
// retained.
func (m *Detector) LastSuccess(f Fingerprint) time.Time { return m.successes.last(f) }

// Merge merges verdicts of other detectors and returns those that change the local ones. A
// verdict is stored and returned as lifted if a run of the request succeeded here after the
// first crash that counts against it.
func (m *Detector) Merge(now time.Time, verdicts []Verdict) []Verdict {
	m.expire(now)
	var changed []Verdict
	for _, v := range verdicts {
		old, known := m.verdicts[v.Request]
		if now.Sub(v.QuarantinedAt) > Lifetime || known && !v.Supersedes(*old) {
			continue
		}
		if m.successes.last(v.Request).After(v.FirstCrash) {
			v.Lifted = true
		}
		m.storeVerdict(v)
		changed = append(changed, v)
	}
	return changed
}

// Quarantined returns the verdict by which a request is currently refused.
func (m *Detector) Quarantined(now time.Time, f Fingerprint) (Verdict, bool) {
	v, ok := m.verdicts[f]
	if !ok || v.Lifted || now.Sub(v.QuarantinedAt) > Lifetime {
		return Verdict{}, false
	}
	return *v, true
}

// GrantTrial grants a trial of a quarantined request if one is due, and returns the updated
// verdict.
func (m *Detector) GrantTrial(now time.Time, f Fingerprint) (Verdict, bool) {
	v, ok := m.verdicts[f]
	if !ok || v.Lifted {
		return Verdict{}, false
	}
	due, available := v.nextTrial()
	if !available || now.Before(due) {
		return Verdict{}, false
	}
	v.Trials, v.LastTrial = v.Trials+1, now
	return *v, true
}

// ReturnTrial takes back a granted trial that led to no run, and returns the updated
// verdict.
func (m *Detector) ReturnTrial(f Fingerprint) (Verdict, bool) {
	v, ok := m.verdicts[f]
	if !ok || v.Lifted || v.UnusedTrials >= min(v.Trials, MaxUnusedTrials) {
		return Verdict{}, false
	}
	v.UnusedTrials++
	return *v, true
}

// quarantineSuspects quarantines the suspects that have reached the crash threshold.
func (m *Detector) quarantineSuspects(now time.Time, suspects []Suspect) []Verdict {
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
		v := Verdict{Request: strongest.request, Round: round, QuarantinedAt: now, FirstCrash: strongest.firstCrash, Doubtful: m.unrelatedCrashes(now, strongest.request) >= unrelatedCrashThreshold}
		m.storeVerdict(v)
		changed = append(changed, v)
		changed = append(changed, m.markDoubtful(now, v.Request)...)
	}
}

// markDoubtful marks earlier verdicts as doubtful that are no longer supported by enough
// crashes, since the newly quarantined request was involved in these: the other request may
// have been a bystander. It returns the changed verdicts.
func (m *Detector) markDoubtful(now time.Time, quarantined Fingerprint) []Verdict {
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

// evidence is the evidence against a request.
type evidence struct {
	request    Fingerprint
	crashes    int
	firstCrash time.Time
	// longestRun is the longest time from the beginning of one of its runs to the crash.
	longestRun time.Duration
}

// strongestEvidence returns the evidence against the suspect to quarantine next, and false
// if no suspect has reached the crash threshold.
func (m *Detector) strongestEvidence(now time.Time, suspects []Suspect) (evidence, bool) {
	var strongest evidence
	for _, s := range suspects {
		if _, quarantined := m.Quarantined(now, s.Request); quarantined {
			continue
		}
		c := m.evidenceAgainst(now, s.Request)
		if c.crashes >= crashThreshold && (strongest.crashes == 0 || cmp.Or(cmp.Compare(c.crashes, strongest.crashes), cmp.Compare(strongest.longestRun, c.longestRun)) > 0) {
			strongest = c
		}
	}
	return strongest, strongest.crashes > 0
}

// evidenceAgainst counts the crashes of replicas that were running a request since a run of
// it last succeeded, except those in which another quarantined request was involved.
func (m *Detector) evidenceAgainst(now time.Time, f Fingerprint) evidence {
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
		c.longestRun = max(c.longestRun, s.RunTime)
	}
	return c
}

// attributedToOther reports whether a quarantined request other than f was involved in a
// crash.
func (m *Detector) attributedToOther(now time.Time, e *Crash, f Fingerprint) bool {
	if len(m.verdicts) == 0 {
		return false
	}
	return slices.ContainsFunc(e.Suspects, func(s Suspect) bool {
		_, quarantined := m.Quarantined(now, s.Request)
		return quarantined && s.Request != f
	})
}

// unrelatedCrashes counts the recent crashes in which a request was not involved, except
// those attributed to another quarantined request.
func (m *Detector) unrelatedCrashes(now time.Time, f Fingerprint) int {
	n := 0
	for _, e := range m.crashes {
		if _, involved := e.suspectFor(f); !involved && now.Sub(e.At) < unrelatedCrashWindow && !m.attributedToOther(now, e, f) {
			n++
		}
	}
	return n
}

// storeVerdict stores a verdict, and removes the oldest one if there are too many.
func (m *Detector) storeVerdict(v Verdict) {
	if m.verdicts == nil {
		m.verdicts = map[Fingerprint]*Verdict{}
	}
	m.verdicts[v.Request] = &v
	if len(m.verdicts) <= MaxVerdicts {
		return
	}
	all := m.Verdicts()
	oldest := slices.MinFunc(all, func(a, b Verdict) int { return a.QuarantinedAt.Compare(b.QuarantinedAt) })
	delete(m.verdicts, oldest.Request)
}

// expire removes crashes and verdicts that are too old to count.
func (m *Detector) expire(now time.Time) {
	for len(m.crashes) > 0 && now.Sub(m.crashes[0].At) > crashRetention {
		m.removeCrash(0)
	}
	for f, v := range m.verdicts {
		if now.Sub(v.QuarantinedAt) > Lifetime {
			delete(m.verdicts, f)
		}
	}
}

// CrashesOf returns the retained crashes of replicas that were running a request, ordered
// by time.
func (m *Detector) CrashesOf(f Fingerprint) []Crash {
	var crashes []Crash
	for _, e := range m.crashesByRequest[f] {
		crashes = append(crashes, *e)
	}
	slices.SortFunc(crashes, func(a, b Crash) int { return a.At.Compare(b.At) })
	return crashes
}

// Stats are the sizes of a Detector's state, for operators.
type Stats struct {
	Crashes   int `json:"ends"`
	Verdicts  int `json:"verdicts"`
	Successes int `json:"served"`
}

// Stats returns the current sizes.
func (m *Detector) Stats() Stats {
	return Stats{Crashes: len(m.crashes), Verdicts: len(m.verdicts), Successes: len(m.successes.recent) + len(m.successes.earlier)}
}
