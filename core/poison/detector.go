package poison

import (
	"slices"
	"time"
)

// unrelatedCrashThreshold is the number of crashes without a subject, within
// unrelatedCrashWindow, from which a verdict on it is doubtful, since replicas then also
// crash for other reasons.
const (
	unrelatedCrashThreshold = 3
	unrelatedCrashWindow    = 10 * time.Second
)

// Detector holds the evidence and the verdicts. The zero value is ready to use.
type Detector struct {
	crashes []*Crash // ordered by time
	// involvements holds the crashes in which each subject was a suspect, ordered by time, so
	// that the cost of a report that changes nothing depends on the crashes of its own subjects
	// and not on all retained ones.
	involvements map[Fingerprint][]involvement
	// successes and survivals are the last runs of contents and parts that survived.
	successes, survivals successTimes
	verdicts             map[Fingerprint]*Verdict
}

// RecordCrash records a replica's crash as observed by one daemon, and returns the verdicts
// that changed.
func (m *Detector) RecordCrash(now time.Time, e Crash) []Verdict {
	m.expire(now)
	for _, s := range e.Suspects {
		if !s.LastSuccess.IsZero() {
			m.successesOf(s.Kind).record(s.LastSuccess, s.Subject)
		}
	}
	i := slices.IndexFunc(m.crashes, func(o *Crash) bool { return o.Replica == e.Replica && o.At.Sub(e.At).Abs() < sameCrashWindow })
	known := &Crash{Service: e.Service, Replica: e.Replica, At: e.At}
	if i >= 0 {
		known = m.crashes[i]
		m.removeCrash(i)
	}
	known.mergeSuspects(e.Suspects)
	known.mergeIdle(e.Idle)
	m.insertCrash(known)
	if len(m.crashes) > MaxCrashes {
		m.removeCrash(0)
	}
	if len(e.Idle) == 0 && !slices.ContainsFunc(e.Suspects, func(s Suspect) bool { return m.mayReachThreshold(now, s) }) {
		return nil
	}
	return m.review(now)
}

// mayReachThreshold reports whether a suspect that is not quarantined was in enough crashes since
// it last survived. Crashes that other subjects account for are included, so that no attribution
// is needed to find out that there is nothing to quarantine.
func (m *Detector) mayReachThreshold(now time.Time, s Suspect) bool {
	if _, quarantined := m.verdictInEffect(now, s.Subject); quarantined {
		return false
	}
	last, n := m.lastSuccess(s.Subject), 0
	var event time.Time
	for _, i := range m.involvements[s.Subject] {
		at := i.crash.At
		if !at.After(last) || s.Kind == Part && n > 0 && at.Sub(event) <= Simultaneous {
			continue
		}
		n++
		event = at
	}
	return n >= threshold(s.Kind, !last.IsZero())
}

// insertCrash adds a crash to the retained ones.
func (m *Detector) insertCrash(e *Crash) {
	if m.involvements == nil {
		m.involvements = map[Fingerprint][]involvement{}
	}
	at, _ := slices.BinarySearchFunc(m.crashes, e, func(a, b *Crash) int { return a.At.Compare(b.At) })
	m.crashes = slices.Insert(m.crashes, at, e)
	for _, s := range e.Suspects {
		all := m.involvements[s.Subject]
		at, _ := slices.BinarySearchFunc(all, e, func(a involvement, e *Crash) int { return a.crash.At.Compare(e.At) })
		m.involvements[s.Subject] = slices.Insert(all, at, involvement{e, s})
	}
}

// removeCrash removes the crash with index i.
func (m *Detector) removeCrash(i int) {
	e := m.crashes[i]
	m.crashes = slices.Delete(m.crashes, i, i+1)
	for _, s := range e.Suspects {
		remaining := slices.DeleteFunc(m.involvements[s.Subject], func(o involvement) bool { return o.crash == e })
		if len(remaining) == 0 {
			delete(m.involvements, s.Subject)
			continue
		}
		m.involvements[s.Subject] = remaining
	}
}

// successesOf returns the last successes of a kind of subjects.
func (m *Detector) successesOf(k Kind) *successTimes {
	if k == Part {
		return &m.survivals
	}
	return &m.successes
}

// lastSuccess returns when a run with the subject last survived as far as is known here; zero if
// never.
func (m *Detector) lastSuccess(f Fingerprint) time.Time {
	if at := m.successes.last(f); !at.IsZero() {
		return at
	}
	return m.survivals.last(f)
}

// LastSuccess returns when a run with the subject last survived here; zero if none is retained.
func (m *Detector) LastSuccess(f Fingerprint) time.Time { return m.lastSuccess(f) }

// RecordSuccess records a successful run of a request, and returns the verdicts that change: a
// verdict on it is lifted.
func (m *Detector) RecordSuccess(now time.Time, f Fingerprint) []Verdict {
	m.successes.record(now, f)
	return m.liftSurvivors(now, f)
}

// RecordSurvival records that a run which began to write its answer at the given time survived
// the parts of its prompt, and returns the verdicts that change: those on the parts are lifted,
// unless the crashes came later.
func (m *Detector) RecordSurvival(now, at time.Time, parts []Fingerprint) []Verdict {
	for _, f := range parts {
		m.survivals.record(at, f)
	}
	return m.liftSurvivors(now, parts...)
}

// liftSurvivors lifts the verdicts on subjects that survived since the crashes, and attributes
// these crashes again.
func (m *Detector) liftSurvivors(now time.Time, subjects ...Fingerprint) []Verdict {
	if len(m.verdicts) == 0 {
		return nil
	}
	var changed []Verdict
	for _, f := range subjects {
		if v, ok := m.verdicts[f]; ok && !v.Lifted && m.lastSuccess(f).After(v.FirstCrash) {
			v.Lifted, v.LastSuccess = true, m.lastSuccess(f)
			changed = append(changed, *v)
		}
	}
	if len(changed) == 0 {
		return nil
	}
	return append(changed, m.review(now)...)
}

// Merge merges verdicts of other detectors and returns those that change the local ones. A
// verdict is stored and returned as lifted if a run with the subject survived here after the
// first crash that counts against it.
func (m *Detector) Merge(now time.Time, verdicts []Verdict) []Verdict {
	m.expire(now)
	var changed []Verdict
	for _, v := range verdicts {
		old, known := m.verdicts[v.Subject]
		if now.Sub(v.QuarantinedAt) > Lifetime || known && !v.Supersedes(*old) {
			continue
		}
		v.own = known && old.own && old.Round == v.Round
		if v.Lifted && !v.LastSuccess.IsZero() {
			m.successesOf(v.Kind).record(v.LastSuccess, v.Subject)
		}
		if last := m.lastSuccess(v.Subject); !v.Lifted && last.After(v.FirstCrash) {
			v.Lifted, v.LastSuccess = true, last
		}
		m.storeVerdict(v)
		changed = append(changed, v)
	}
	if len(changed) == 0 {
		return nil
	}
	return append(changed, m.review(now)...)
}

// verdictInEffect returns the verdict on a subject, whether or not it is in force yet.
func (m *Detector) verdictInEffect(now time.Time, f Fingerprint) (Verdict, bool) {
	v, ok := m.verdicts[f]
	if !ok || v.Lifted || now.Sub(v.QuarantinedAt) > Lifetime {
		return Verdict{}, false
	}
	return *v, true
}

// Quarantined returns the verdict by which requests with a subject are currently refused.
func (m *Detector) Quarantined(now time.Time, f Fingerprint) (Verdict, bool) {
	v, ok := m.verdictInEffect(now, f)
	if !ok || now.Before(v.InForceAt()) {
		return Verdict{}, false
	}
	return v, true
}

// GrantTrial grants a trial of a quarantined subject if one is due, and returns the updated
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

// review attributes the crashes again, and returns the verdicts that change: on subjects that now
// account for enough crashes, and on those that no longer do.
func (m *Detector) review(now time.Time) []Verdict {
	if len(m.crashes) == 0 {
		return nil
	}
	a, found := m.attribute(now)
	return append(m.quarantine(now, found), m.reviewUnsupported(now, a, found)...)
}

// quarantine makes verdicts on the subjects to which crashes are attributed.
func (m *Detector) quarantine(now time.Time, found []finding) []Verdict {
	var changed []Verdict
	for _, c := range found {
		if c.quarantined {
			continue
		}
		round := uint32(1)
		if old, ok := m.verdicts[c.subject]; ok {
			if old.Lifted && !c.lastCrash().After(old.QuarantinedAt) {
				continue // lifted by a detector that knows more of the same crashes
			}
			round = old.Round + 1
		}
		v := Verdict{
			Subject: c.subject, Kind: c.kind, Round: round, QuarantinedAt: now, FirstCrash: c.crashes[0].crash.At,
			LastSuccess: m.lastSuccess(c.subject), Doubtful: m.unrelatedCrashes(now, c.subject) >= unrelatedCrashThreshold, own: true,
		}
		m.storeVerdict(v)
		changed = append(changed, v)
	}
	return changed
}

// reviewUnsupported reviews verdicts that are no longer supported by enough crashes. If an outage
// that took idle replicas explains these, the verdict is lifted. If stronger subjects do, the subject
// may have been a bystander: a verdict on a part that had survived before is lifted, any other one is
// marked doubtful. Verdicts of other detectors on subjects of which no crash is known here are left
// alone.
func (m *Detector) reviewUnsupported(now time.Time, a *attribution, found []finding) []Verdict {
	explained, bySubject := map[*Crash]Fingerprint{}, map[Fingerprint]finding{}
	for _, c := range found {
		bySubject[c.subject] = c
		for _, i := range c.crashes {
			explained[i.crash] = c.subject
		}
	}
	var changed []Verdict
	for _, v := range m.Verdicts() {
		own := bySubject[v.Subject]
		if _, inEffect := m.verdictInEffect(now, v.Subject); !inEffect || own.weight > 0 && own.weight >= own.threshold() {
			continue
		}
		switch byOthers := m.explainedByOthers(v, explained); {
		case m.explainedByOutage(v, a), byOthers && v.Kind == Part && !v.LastSuccess.IsZero():
			v.Lifted = true
		case !byOthers, v.Doubtful:
			continue
		default:
			v.Doubtful = true
		}
		m.storeVerdict(v)
		changed = append(changed, v)
	}
	return changed
}

// explainedByOutage reports whether outages that took idle replicas account for crashes of a
// quarantined subject, so that the others are below its threshold. Only the detector that made the
// verdict can tell, while it retains all crashes behind it: another one may lack some of these.
func (m *Detector) explainedByOutage(v Verdict, a *attribution) bool {
	known, tookIdle := 0, false
	for _, i := range m.involvements[v.Subject] {
		if !i.crash.At.Before(v.FirstCrash) {
			known++
			tookIdle = tookIdle || a.tookIdle[a.events[i.crash]]
		}
	}
	return v.own && tookIdle && known >= threshold(v.Kind, !v.LastSuccess.IsZero())
}

// explainedByOthers reports whether stronger subjects account for crashes of a quarantined one.
func (m *Detector) explainedByOthers(v Verdict, explained map[*Crash]Fingerprint) bool {
	return slices.ContainsFunc(m.involvements[v.Subject], func(i involvement) bool {
		by, ok := explained[i.crash]
		return ok && by != v.Subject
	})
}

// attributedToOther reports whether a quarantined subject other than f was involved in a
// crash.
func (m *Detector) attributedToOther(now time.Time, e *Crash, f Fingerprint) bool {
	if len(m.verdicts) == 0 {
		return false
	}
	return slices.ContainsFunc(e.Suspects, func(s Suspect) bool {
		_, quarantined := m.verdictInEffect(now, s.Subject)
		return quarantined && s.Subject != f
	})
}

// unrelatedCrashes counts the recent crashes in which a subject was not involved, except
// those attributed to another quarantined one.
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
	m.verdicts[v.Subject] = &v
	if len(m.verdicts) <= MaxVerdicts {
		return
	}
	all := m.Verdicts()
	oldest := slices.MinFunc(all, func(a, b Verdict) int { return a.QuarantinedAt.Compare(b.QuarantinedAt) })
	delete(m.verdicts, oldest.Subject)
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

// CrashesOf returns the retained crashes of replicas that were running a subject, ordered
// by time.
func (m *Detector) CrashesOf(f Fingerprint) []Crash {
	var crashes []Crash
	for _, i := range m.involvements[f] {
		crashes = append(crashes, *i.crash)
	}
	return crashes
}

// Stats are the sizes of a Detector's state, for operators.
type Stats struct {
	Crashes   int `json:"ends"`
	Verdicts  int `json:"verdicts"`
	Successes int `json:"served"`
	// Parts is the number of parts of prompts whose last survival is retained.
	Parts int `json:"parts"`
}

// Stats returns the current sizes.
func (m *Detector) Stats() Stats {
	return Stats{Crashes: len(m.crashes), Verdicts: len(m.verdicts), Successes: m.successes.len(), Parts: m.survivals.len()}
}
