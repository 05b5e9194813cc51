package reach

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// OwnPeriod is how long a replica is avoided after a failed attempt of this host, and
	// MaxOwnPeriod the limit up to which it doubles: heartbeats of replicas that have ended
	// expire after 3.6 s.
	OwnPeriod    = time.Second
	MaxOwnPeriod = 4 * time.Second
	// ReportPeriod is how long a report of another host counts, together with that of a second
	// one. Recoveries are not reported, so that it is also how long a replica that is back may
	// be avoided.
	ReportPeriod = 2 * time.Second
	// MaxReportedPeriod is how long reports hold without an own attempt. This host tries the
	// replica confirmationLead before, which leaves time for two attempts.
	MaxReportedPeriod = 4 * time.Second
	confirmationLead  = 1200 * time.Millisecond
	// AnnounceInterval is the shortest interval at which the failures of one host at one
	// replica are passed on.
	AnnounceInterval = 500 * time.Millisecond
	// ProbeInterval is the interval of connection attempts to a replica that this host could
	// not reach. Reports that are repeated at this interval do not expire in between.
	ProbeInterval = time.Second
	// MaxReporters limits the reports on one replica, and MaxDomainReporters those of one
	// failure domain that are accepted within ProbeInterval. A second one allows for a reporter
	// that recovers or fails.
	MaxReporters       = 8
	MaxDomainReporters = 2
	// Retention is how long an entry is kept without news.
	Retention = 10 * time.Second
	// MaxReplicas limits the entries, at about 1 KB each.
	MaxReplicas = 4096
	// maxDoublings limits the shift that computes the own period.
	maxDoublings = 8
)

// Report is a failed connection attempt of a host at a replica.
type Report struct {
	// Replica is the ID of the replica's start.
	Replica string
	// Reporter is the name of the host, and Domain its failure domain; "" if it is not known.
	Reporter, Domain string
	// At is when the attempt began.
	At time.Time
}

// Attempt is a connection attempt of this host that failed.
type Attempt struct {
	Replica, Service string
	Began            time.Time
	// Listed is the number of listed replicas of the service, and IsListed reports whether a
	// replica is one of the listed ones; nil if all are.
	Listed   int
	IsListed func(replica string) bool
}

// Verdict says whether a replica is to be avoided.
type Verdict struct {
	// Until is when the replica is next to be tried: it is unreachable before, and on
	// probation from then on. It is zero if there is no evidence that counts.
	Until time.Time
	// Own says that the verdict is by an attempt of this host.
	Own bool
	// Reporters are the other hosts whose reports count, sorted.
	Reporters []string
}

// Unreachable reports whether the replica is to be avoided at now.
func (v *Verdict) Unreachable(now time.Time) bool { return now.Before(v.Until) }

// Table holds the evidence that one host has.
type Table struct {
	self    string
	entries map[string]*entry
	// cutOff are the services whose own evidence says more about this host's network.
	cutOff map[string]bool
	// severalDomains says that the deployment has several failure domains.
	severalDomains bool
}

// New returns an empty table of the named host.
func New(self string) *Table {
	return &Table{self: self, entries: map[string]*entry{}, cutOff: map[string]bool{}}
}

// SetSeveralDomains sets whether the deployment has several failure domains, as far as this host
// knows. Reports then count only from two of them.
func (t *Table) SetSeveralDomains(several bool) { t.severalDomains = several }

type entry struct {
	service string
	// failures counts the failed attempts of this host since the last success.
	failures           int
	failedAt, ownUntil time.Time
	// announcedAt is when a failure of this host was last passed on.
	announcedAt time.Time
	// triedAt is when the last failed attempt or probe of this host began.
	triedAt time.Time
	reports []Report
	// reportedSince is since when enough reports count without a gap; zero if they do not.
	reportedSince time.Time
	// disproved says that this host has reached the replica after a report: reports are then
	// ignored until an attempt of this host fails.
	disproved bool
	// reportedUntil is until when the reports that counted last hold; zero if none have counted
	// since the last success.
	reportedUntil time.Time
	newsAt        time.Time
}

// entry returns the entry of a replica; nil if it is new and the table is full.
func (t *Table) entry(replica string) *entry {
	e := t.entries[replica]
	if e == nil && len(t.entries) < MaxReplicas {
		e = &entry{}
		t.entries[replica] = e
	}
	return e
}

// Failed processes a failed attempt of this host. It returns the report for other hosts, and
// false if none is to be sent.
func (t *Table) Failed(now time.Time, a Attempt) (Report, bool) {
	e := t.entry(a.Replica)
	if e == nil {
		return Report{}, false
	}
	e.service, e.newsAt = a.Service, now
	if a.Began.After(e.triedAt) {
		e.triedAt = a.Began
	}
	if e.failures == 0 || !a.Began.Before(e.failedAt) {
		period := min(MaxOwnPeriod, OwnPeriod<<min(e.failures, maxDoublings))
		e.failures++
		e.failedAt, e.ownUntil = now, now.Add(period)
		e.disproved = false
		if !e.reportedSince.IsZero() {
			e.reportedSince = now
		}
	}
	t.updateCutOff(&a)
	confirmed := !e.reportsUntil(now, ProbeInterval, t.severalDomains).IsZero()
	if t.cutOff[a.Service] || confirmed || now.Sub(e.announcedAt) < AnnounceInterval {
		return Report{}, false
	}
	e.announcedAt = now
	return Report{Replica: a.Replica, Reporter: t.self, At: a.Began}, true
}

// updateCutOff determines whether over half of a service's listed replicas look unreachable.
// Earlier starts of replicas, which refuse connections, do not count.
func (t *Table) updateCutOff(a *Attempt) {
	failed := 0
	for id, e := range t.entries {
		if e.service == a.Service && e.failures > 0 && (a.IsListed == nil || a.IsListed(id)) {
			failed++
		}
	}
	if 2*failed > a.Listed {
		t.cutOff[a.Service] = true
		return
	}
	delete(t.cutOff, a.Service)
}

// Succeeded processes a connection or a response of a replica to this host.
func (t *Table) Succeeded(now time.Time, replica string) {
	e := t.entries[replica]
	if e == nil {
		return
	}
	e.dropExpired(now)
	e.failures, e.ownUntil = 0, time.Time{}
	e.disproved = e.disproved || len(e.reports) > 0
	e.reportedSince, e.reportedUntil = time.Time{}, time.Time{}
	if len(e.reports) == 0 {
		delete(t.entries, replica)
	}
}

func (e *entry) dropExpired(now time.Time) {
	e.reports = slices.DeleteFunc(e.reports, func(r Report) bool { return now.Sub(r.At) >= ReportPeriod })
}

// Has reports whether there is an entry for a replica.
func (t *Table) Has(replica string) bool { return t.entries[replica] != nil }

// Merge processes the reports of other hosts and returns those to be passed on: the ones that
// were new here, and of these as urgent the ones on replicas against which there were not enough
// reports yet. Reports that are older than ReportPeriod, of the future, or by this host are
// dropped.
func (t *Table) Merge(now time.Time, received []Report) (urgent, others []Report) {
	for _, r := range received {
		if r.Replica == "" || r.Reporter == "" || r.Reporter == t.self || r.At.After(now) || now.Sub(r.At) >= ReportPeriod {
			continue
		}
		e := t.entry(r.Replica)
		if e == nil {
			continue
		}
		counted := e.reportsUntil(now, ReportPeriod, t.severalDomains)
		switch {
		case !e.add(now, r):
			continue
		case counted.IsZero():
			urgent = append(urgent, r)
		default:
			others = append(others, r)
		}
		e.newsAt = now
	}
	return urgent, others
}

// add stores a report, and reports whether it is news.
func (e *entry) add(now time.Time, r Report) bool {
	e.dropExpired(now)
	i := slices.IndexFunc(e.reports, func(o Report) bool { return o.Reporter == r.Reporter })
	switch {
	case i >= 0 && r.At.Sub(e.reports[i].At) < AnnounceInterval, e.enoughReports(now, r):
		return false
	case i >= 0:
		e.reports[i] = r
		return true
	case len(e.reports) == MaxReporters:
		// A report that replaced another one would make that one news again at this host, and
		// neighbours would pass the two on to each other until they expire.
		return false
	}
	e.reports = append(e.reports, r)
	return true
}

// enoughReports reports whether other hosts of the failure domain of a report have reported
// within ProbeInterval.
func (e *entry) enoughReports(now time.Time, report Report) bool {
	n := 0
	for _, r := range e.reports {
		if now.Sub(r.At) < ProbeInterval && r.Domain == report.Domain && r.Reporter != report.Reporter {
			n++
		}
	}
	return n >= MaxDomainReporters
}

// counts reports whether a report counts at now, if reports count for period.
func (r *Report) counts(now time.Time, period time.Duration, severalDomains bool) bool {
	return now.Sub(r.At) < period && (!severalDomains || r.Domain != "")
}

// reportsUntil returns when the reports stop to count, with the given period, unless others
// arrive: when the second newest of two hosts or failure domains expires. It returns zero if
// they do not count.
func (e *entry) reportsUntil(now time.Time, period time.Duration, severalDomains bool) time.Time {
	var newest, second *Report
	for i := range e.reports {
		r := &e.reports[i]
		switch {
		case !r.counts(now, period, severalDomains):
		case newest == nil:
			newest = r
		case severalDomains && r.Domain == newest.Domain:
			if r.At.After(newest.At) {
				newest = r
			}
		case r.At.After(newest.At):
			newest, second = r, newest
		case second == nil || r.At.After(second.At):
			second = r
		}
	}
	if second == nil {
		return time.Time{}
	}
	return second.At.Add(period)
}

// reporters returns the hosts whose reports count, sorted.
func (e *entry) reporters(now time.Time, severalDomains bool) []string {
	var hosts []string
	for i := range e.reports {
		if r := &e.reports[i]; r.counts(now, ReportPeriod, severalDomains) {
			hosts = append(hosts, r.Reporter)
		}
	}
	slices.Sort(hosts)
	return hosts
}

// Verdict returns the verdict on a replica. It also records since when reports count without a
// gap, and is therefore to be called after changes and every few hundred milliseconds.
func (t *Table) Verdict(now time.Time, replica string) Verdict {
	var v Verdict
	e := t.entries[replica]
	if e == nil {
		return v
	}
	if e.failures > 0 && !t.cutOff[e.service] {
		v.Own, v.Until = true, e.ownUntil
	}
	if e.disproved {
		return v
	}
	e.updateReported(now, t.severalDomains, &v)
	if e.reportedUntil.After(v.Until) {
		v.Until = e.reportedUntil
	}
	return v
}

// updateReported determines until when the replica is avoided by reports.
func (e *entry) updateReported(now time.Time, severalDomains bool, v *Verdict) {
	until := e.reportsUntil(now, ReportPeriod, severalDomains)
	if until.IsZero() {
		e.reportedSince = time.Time{}
		return
	}
	if e.reportedSince.IsZero() {
		e.reportedSince = now
	}
	v.Reporters = e.reporters(now, severalDomains)
	e.reportedUntil = until
	if end := e.reportedSince.Add(MaxReportedPeriod); end.Before(until) {
		e.reportedUntil = end
	}
}

// Len returns the number of entries.
func (t *Table) Len() int { return len(t.entries) }

// Replicas returns the replicas that have an entry, sorted.
func (t *Table) Replicas() []string { return slices.Sorted(maps.Keys(t.entries)) }

// InService returns the replicas of a service that this host could not reach.
func (t *Table) InService(service string) []string {
	var ids []string
	for id, e := range t.entries {
		if e.service == service && e.failures > 0 {
			ids = append(ids, id)
		}
	}
	return ids
}

// CutOff reports whether this host's own evidence on a service is ignored.
func (t *Table) CutOff(service string) bool { return t.cutOff[service] }

// probeDue reports whether nobody but this host can be expected to notice that the replica is
// still unreachable.
func (e *entry) probeDue(now time.Time, severalDomains bool) bool {
	return e.failures > 0 && e.reportsUntil(now, ProbeInterval, severalDomains).IsZero()
}

// confirmationDue reports whether reports have held for so long that this host has to try.
func (e *entry) confirmationDue(now time.Time) bool {
	return !e.reportedSince.IsZero() && !e.disproved && now.Sub(e.reportedSince) >= MaxReportedPeriod-confirmationLead
}

// DueProbes returns the replicas to which this host should open a connection now, the ones that
// were tried longest ago at first, at most limit and only listed ones: those that this host could
// not reach, unless enough others have tried within ProbeInterval, and those of which it has
// only reports that are about to hold no longer. The caller reports the results as attempts.
func (t *Table) DueProbes(now time.Time, limit int, listed func(replica string) bool) []string {
	var due []string
	for id, e := range t.entries {
		if now.Sub(e.triedAt) >= ProbeInterval && (e.probeDue(now, t.severalDomains) || e.confirmationDue(now)) && listed(id) {
			due = append(due, id)
		}
	}
	slices.SortFunc(due, func(a, b string) int {
		return cmp.Or(t.entries[a].triedAt.Compare(t.entries[b].triedAt), cmp.Compare(a, b))
	})
	due = due[:min(len(due), limit)]
	for _, id := range due {
		t.entries[id].triedAt = now
	}
	return due
}

// Prune drops the entries without news for Retention and returns their replicas. listed returns
// the number of listed replicas of a service. Entries of replicas that are not listed are kept,
// since reports on them would otherwise be passed on each time they arrive.
func (t *Table) Prune(now time.Time, listed func(service string) int) []string {
	var dropped []string
	for id, e := range t.entries {
		if now.Sub(e.newsAt) >= Retention {
			delete(t.entries, id)
			dropped = append(dropped, id)
		}
	}
	for service := range t.cutOff {
		t.updateCutOff(&Attempt{Service: service, Listed: listed(service)})
	}
	return dropped
}
