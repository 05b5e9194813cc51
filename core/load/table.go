package load

import (
	"cmp"
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Config configures a Table. A zero field takes its default value.
type Config struct {
	// Self is the name of this host.
	Self string
	// Interval is the intended time between two polls of an upstream by the same
	// daemon. It is extended if the daemon polls more upstreams than PollsPerSecond
	// allows. Default 1 s.
	Interval time.Duration
	// PollsPerSecond limits the polls of this daemon. Default 6.
	PollsPerSecond float64
	// MaxPollers limits the number of daemons that poll the same upstream. Default 3.
	MaxPollers int
	// MaxForwardAge is the maximum age of a report that is still forwarded; it is
	// capped at 23 s. Default 20 s.
	MaxForwardAge time.Duration
}

// maxClockSkew is how far ahead of this daemon's clock AsOf may be. A later AsOf is
// replaced by the current time, so that an upstream whose clock is wrong once cannot
// suppress its later reports.
const maxClockSkew = 2 * time.Second

func (c Config) withDefaults() Config {
	c.Interval = cmp.Or(c.Interval, time.Second)
	c.PollsPerSecond = cmp.Or(c.PollsPerSecond, 6)
	c.MaxPollers = cmp.Or(c.MaxPollers, 3)
	c.MaxForwardAge = min(cmp.Or(c.MaxForwardAge, 20*time.Second), maxForwardAge)
	return c
}

// entry is the state that a Table holds of one upstream.
type entry struct {
	name      string
	index     uint16
	hasReport bool
	// report is the newest report, valid if hasReport is set.
	report Report
	// timesSent counts the digests that contained the report.
	timesSent int
	// polledHere is set if this daemon polls the upstream. nextPoll is the time of its
	// next poll.
	polledHere bool
	nextPoll   time.Time
}

// Table holds what one daemon knows about the load of all upstreams. It is safe for
// concurrent use.
type Table struct {
	config Config

	mu          sync.Mutex
	entries     []*entry // sorted by name
	byName      map[string]*entry
	listHash    uint32 // hash of the names in entries
	interval    time.Duration
	digestOrder []*entry // scratch buffer of Digest
}

// NewTable returns a Table without upstreams. Configure sets them.
func NewTable(c Config) *Table {
	return &Table{config: c.withDefaults(), byName: map[string]*entry{}}
}

// Configure sets the upstreams and the live hosts, including this one, in any order.
// Reports about upstreams that remain are kept. It is called for each new bundle and
// when the membership changes.
func (t *Table) Configure(now time.Time, upstreams []string, hosts []Host) {
	names := slices.Compact(slices.Sorted(slices.Values(upstreams)))
	names = names[:min(len(names), maxUpstreams)]
	pollers := t.config.pollersPerUpstream(len(hosts), len(names))
	assigned := assignedUpstreams(t.config.Self, hosts, names, pollers)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.interval = t.config.Interval
	if minInterval := time.Duration(float64(len(assigned)) / t.config.PollsPerSecond * float64(time.Second)); minInterval > t.interval {
		t.interval = minInterval
	}
	t.setEntries(names)
	for _, e := range t.entries {
		polledBefore := e.polledHere
		_, e.polledHere = slices.BinarySearch(assigned, e.name)
		if e.polledHere && !polledBefore {
			e.nextPoll = now.Add(t.pollOffset(e))
		}
	}
}

// setEntries keeps the entries of the given names, adds missing ones and drops all
// others.
func (t *Table) setEntries(names []string) {
	old := t.byName
	t.entries = make([]*entry, 0, len(names))
	t.byName = make(map[string]*entry, len(names))
	t.listHash = listHash(names)
	for index, name := range names {
		e := old[name]
		if e == nil {
			e = &entry{name: name}
		}
		e.index = uint16(index)
		t.entries = append(t.entries, e)
		t.byName[name] = e
	}
}

// pollOffset returns the time of e's poll within the interval. It spreads the polls of
// an upstream by several daemons, and of several upstreams by one daemon, over the
// interval.
func (t *Table) pollOffset(e *entry) time.Duration {
	share := float64(mix64(xxhash.Sum64String(e.name)^xxhash.Sum64String(t.config.Self))>>11) / (1 << 53)
	return time.Duration(share * float64(t.interval))
}

// DuePolls returns the upstreams to poll now. Each of them is due again after the interval,
// regardless of the outcome of the poll.
func (t *Table) DuePolls(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var due []string
	for _, e := range t.entries {
		if !e.polledHere || now.Before(e.nextPoll) {
			continue
		}
		due = append(due, e.name)
		if e.nextPoll = e.nextPoll.Add(t.interval); !e.nextPoll.After(now) {
			e.nextPoll = now.Add(t.pollOffset(e)) // the caller was late by an interval or more: spread the polls again
		}
	}
	return due
}

// ObservePoll stores the report that a poll returned. It reports whether it is newer than
// the stored one.
func (t *Table) ObservePoll(now time.Time, r Report) bool {
	if r.AsOf.After(now.Add(maxClockSkew)) {
		r.AsOf = now
	}
	r.AsOf = truncateAsOf(r.AsOf)
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.byName[r.Upstream]
	return e != nil && e.update(r)
}

// update stores r if it is newer than the stored report, and reports whether it is.
func (e *entry) update(r Report) bool {
	if e.hasReport && !r.AsOf.After(e.report.AsOf) {
		return false
	}
	e.report, e.hasReport, e.timesSent = r, true, 0
	return true
}

// Digest returns a digest of at most size bytes. It contains the reports that were sent
// the fewest times and, among these, the newest. It counts them as sent.
func (t *Table) Digest(now time.Time, size int) []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.digestOrder = t.digestOrder[:0]
	for _, e := range t.entries {
		if e.hasReport && now.Sub(e.report.AsOf) <= t.config.MaxForwardAge {
			t.digestOrder = append(t.digestOrder, e)
		}
	}
	slices.SortFunc(t.digestOrder, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.timesSent, b.timesSent), b.report.AsOf.Compare(a.report.AsOf), cmp.Compare(a.index, b.index))
	})
	n := min(max(size-listHashBytes, 0)/entryBytes, len(t.digestOrder))
	digest := make([]byte, 0, listHashBytes+n*entryBytes)
	digest = binary.BigEndian.AppendUint32(digest, t.listHash)
	for _, e := range t.digestOrder[:n] {
		digest = appendEntry(digest, e.index, &e.report)
		e.timesSent++
	}
	return digest
}

// Merge stores the reports in another daemon's digest and returns those that are newer
// than the stored ones. A digest for a different list of upstreams is ignored. The
// error is errDigestLength.
func (t *Table) Merge(now time.Time, digest []byte) ([]Report, error) {
	if len(digest) < listHashBytes || (len(digest)-listHashBytes)%entryBytes != 0 {
		return nil, errDigestLength
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if binary.BigEndian.Uint32(digest) != t.listHash {
		return nil, nil
	}
	var updated []Report
	for remaining := digest[listHashBytes:]; len(remaining) > 0; remaining = remaining[entryBytes:] {
		index, r := readEntry(now, remaining)
		if int(index) >= len(t.entries) {
			continue
		}
		e := t.entries[index]
		r.Upstream = e.name
		if e.update(r) {
			updated = append(updated, r)
		}
	}
	return updated, nil
}

// Reports returns the newest report of each upstream that has one, sorted by name.
func (t *Table) Reports() []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	reports := make([]Report, 0, len(t.entries))
	for _, e := range t.entries {
		if e.hasReport {
			reports = append(reports, e.report)
		}
	}
	return reports
}

// AssignedPolls returns the upstreams that this daemon polls and the interval between two
// polls of the same upstream.
func (t *Table) AssignedPolls() (upstreams []string, interval time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.entries {
		if e.polledHere {
			upstreams = append(upstreams, e.name)
		}
	}
	return upstreams, t.interval
}
