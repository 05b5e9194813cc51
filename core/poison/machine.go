package poison

import (
	"cmp"
	"slices"
	"time"
)

// endsToCondemn are the ends of replicas under a request from which it is refused:
// the users allow three.
const endsToCondemn = 3

// doubtEnds are the ends without a request, within doubtWindow, from which a
// verdict on it is doubtful: replicas end for other reasons too.
const (
	doubtEnds   = 3
	doubtWindow = 10 * time.Second
)

// Machine holds the evidence and the verdicts. The zero value is ready.
type Machine struct {
	ends []*End // by time
	// under has the ends under each request, so that a report costs what its own
	// requests were part of and not all that is remembered.
	under    map[Fingerprint][]*End
	served   served
	verdicts map[Fingerprint]*Verdict
}

// Ended takes a replica's end, as one daemon saw it, and returns the verdicts that
// changed.
func (m *Machine) Ended(now time.Time, e End) []Verdict {
	m.forget(now)
	for _, s := range e.Suspects {
		if !s.Served.IsZero() {
			m.served.note(s.Served, s.Request)
		}
	}
	i := slices.IndexFunc(m.ends, func(o *End) bool { return o.Replica == e.Replica && o.At.Sub(e.At).Abs() < sameEnd })
	known := &End{Service: e.Service, Replica: e.Replica, At: e.At}
	if i >= 0 {
		known = m.ends[i]
		m.drop(i)
	}
	known.add(e.Suspects)
	m.keep(known)
	if len(m.ends) > MaxEnds {
		m.drop(0)
	}
	return m.judge(now, e.Suspects)
}

// keep remembers an end.
func (m *Machine) keep(e *End) {
	if m.under == nil {
		m.under = map[Fingerprint][]*End{}
	}
	at, _ := slices.BinarySearchFunc(m.ends, e, func(a, b *End) int { return a.At.Compare(b.At) })
	m.ends = slices.Insert(m.ends, at, e)
	for _, s := range e.Suspects {
		m.under[s.Request] = append(m.under[s.Request], e)
	}
}

// drop forgets an end.
func (m *Machine) drop(i int) {
	e := m.ends[i]
	m.ends = slices.Delete(m.ends, i, i+1)
	for _, s := range e.Suspects {
		left := slices.DeleteFunc(m.under[s.Request], func(o *End) bool { return o == e })
		if len(left) == 0 {
			delete(m.under, s.Request)
			continue
		}
		m.under[s.Request] = left
	}
}

// Served takes a run that ended well, and returns the verdict that it lifts.
func (m *Machine) Served(now time.Time, f Fingerprint) []Verdict {
	m.served.note(now, f)
	if v, ok := m.verdicts[f]; ok && !v.Lifted {
		v.Lifted = true
		return []Verdict{*v}
	}
	return nil
}

// LastServed is when a run of the request last ended well here; zero when none is
// remembered.
func (m *Machine) LastServed(f Fingerprint) time.Time { return m.served.last(f) }

// Learn takes verdicts of other machines and returns those that are news here. One
// that a run contradicts which ended well here is news as lifted.
func (m *Machine) Learn(now time.Time, verdicts []Verdict) []Verdict {
	m.forget(now)
	var changed []Verdict
	for _, v := range verdicts {
		old, known := m.verdicts[v.Request]
		if now.Sub(v.At) > Lifetime || known && !v.Supersedes(*old) {
			continue
		}
		if m.served.last(v.Request).After(v.Since) {
			v.Lifted = true
		}
		m.put(v)
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
	due, left := v.trialDue()
	if !left || now.Before(due) {
		return Verdict{}, false
	}
	v.Trials, v.TriedAt = v.Trials+1, now
	return *v, true
}

// Untried takes a trial back that came to no run, and returns the verdict that says
// so.
func (m *Machine) Untried(f Fingerprint) (Verdict, bool) {
	v, ok := m.verdicts[f]
	if !ok || v.Lifted || v.Untried >= min(v.Trials, MaxUntried) {
		return Verdict{}, false
	}
	v.Untried++
	return *v, true
}

// judge condemns those of the suspects that have come to enough ends.
func (m *Machine) judge(now time.Time, suspects []Suspect) []Verdict {
	var changed []Verdict
	for {
		worst, found := m.worst(now, suspects)
		if !found {
			return changed
		}
		round := uint32(1)
		if old, ok := m.verdicts[worst.request]; ok {
			round = old.Round + 1
		}
		v := Verdict{Request: worst.request, Round: round, At: now, Since: worst.since, Doubtful: m.otherEnds(now, worst.request) >= doubtEnds}
		m.put(v)
		changed = append(changed, v)
		changed = append(changed, m.doubt(now, v.Request)...)
	}
}

// doubt returns earlier verdicts that a new one leaves without their ends: the
// request condemned now was part of them, and the other may have been a bystander.
func (m *Machine) doubt(now time.Time, condemned Fingerprint) []Verdict {
	var changed []Verdict
	for _, v := range m.Verdicts() {
		if v.Request == condemned || v.Lifted || v.Doubtful || m.charge(now, v.Request).ends >= endsToCondemn {
			continue
		}
		v.Doubtful = true
		m.put(v)
		changed = append(changed, v)
	}
	return changed
}

// charge is what counts against a request.
type charge struct {
	request Fingerprint
	ends    int
	since   time.Time
	// slowest is the longest that one of its runs took to end a replica.
	slowest time.Duration
}

// worst returns the suspect to condemn next, and false when none has come to
// enough ends.
func (m *Machine) worst(now time.Time, suspects []Suspect) (charge, bool) {
	var worst charge
	for _, s := range suspects {
		if _, condemned := m.Condemned(now, s.Request); condemned {
			continue
		}
		c := m.charge(now, s.Request)
		if c.ends >= endsToCondemn && (worst.ends == 0 || cmp.Or(cmp.Compare(c.ends, worst.ends), cmp.Compare(worst.slowest, c.slowest)) > 0) {
			worst = c
		}
	}
	return worst, worst.ends > 0
}

// charge counts the ends under a request since a run of it last ended well,
// without those that another request was part of which is condemned.
func (m *Machine) charge(now time.Time, f Fingerprint) charge {
	c := charge{request: f}
	good := m.served.last(f)
	for _, e := range m.under[f] {
		if !e.At.After(good) || m.explained(now, e, f) {
			continue
		}
		if c.ends++; c.ends == 1 || e.At.Before(c.since) {
			c.since = e.At
		}
		s, _ := e.involves(f)
		c.slowest = max(c.slowest, s.Ran)
	}
	return c
}

// explained says whether a condemned request other than f was part of an end.
func (m *Machine) explained(now time.Time, e *End, f Fingerprint) bool {
	if len(m.verdicts) == 0 {
		return false
	}
	return slices.ContainsFunc(e.Suspects, func(s Suspect) bool {
		_, condemned := m.Condemned(now, s.Request)
		return condemned && s.Request != f
	})
}

// otherEnds counts the ends of late that a request was no part of.
func (m *Machine) otherEnds(now time.Time, f Fingerprint) int {
	n := 0
	for _, e := range m.ends {
		if _, involved := e.involves(f); !involved && now.Sub(e.At) < doubtWindow && !m.explained(now, e, f) {
			n++
		}
	}
	return n
}

// put keeps a verdict, and drops the oldest when there are too many.
func (m *Machine) put(v Verdict) {
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
func (m *Machine) forget(now time.Time) {
	for len(m.ends) > 0 && now.Sub(m.ends[0].At) > memory {
		m.drop(0)
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
	for _, e := range m.under[f] {
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
	return Stats{Ends: len(m.ends), Verdicts: len(m.verdicts), Served: len(m.served.recent) + len(m.served.earlier)}
}
