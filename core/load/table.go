package load

import (
	"cmp"
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Config parametrises a Table. The zero value of a field takes its default.
type Config struct {
	// Self is the name of this host.
	Self string
	// Interval is the wanted time between polls of an upstream by one daemon.
	// Default 1 s. With more upstreams than PollsPerSecond allows it grows.
	Interval time.Duration
	// PollsPerSecond bounds this daemon's polls. Default 6.
	PollsPerSecond float64
	// MaxPollers bounds the daemons that poll one upstream. Default 3.
	MaxPollers int
	// MaxAge is the age from which reports are not passed on, 23 s at most.
	// Default 20 s.
	MaxAge time.Duration
}

// maxAhead is how far ahead of this daemon's clock an as-of may lie; a later
// one is cut, so that one faulty clock does not silence later reports.
const maxAhead = 2 * time.Second

func (c Config) withDefaults() Config {
	c.Interval = cmp.Or(c.Interval, time.Second)
	c.PollsPerSecond = cmp.Or(c.PollsPerSecond, 6)
	c.MaxPollers = cmp.Or(c.MaxPollers, 3)
	c.MaxAge = min(cmp.Or(c.MaxAge, 20*time.Second), maxPassedAge)
	return c
}

// entry is what a Table knows of one upstream.
type entry struct {
	name  string
	place uint16
	known bool
	// report is the newest one.
	report Report
	// sent counts the digests that carried the report.
	sent int
	// mine says that this daemon polls the upstream, next at due.
	mine bool
	due  time.Time
}

// Table is what one daemon knows of all upstreams. It may be used concurrently.
type Table struct {
	config Config

	mu       sync.Mutex
	entries  []*entry // by name
	byName   map[string]*entry
	list     uint32 // hash of the names in entries
	interval time.Duration
	order    []*entry // scratch of Digest
}

// NewTable returns a Table that knows no upstream until Configure.
func NewTable(c Config) *Table {
	return &Table{config: c.withDefaults(), byName: map[string]*entry{}}
}

// Configure sets the upstreams and the live hosts, self among them; the order
// does not matter. Reports on upstreams that stay are kept. It is called with
// each new bundle and when the membership changes.
func (t *Table) Configure(now time.Time, upstreams []string, hosts []Host) {
	names := slices.Compact(slices.Sorted(slices.Values(upstreams)))
	names = names[:min(len(names), maxUpstreams)]
	pollers := t.config.pollers(len(hosts), len(names))
	mine := planFor(t.config.Self, hosts, names, pollers)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.interval = t.config.Interval
	if least := time.Duration(float64(len(mine)) / t.config.PollsPerSecond * float64(time.Second)); least > t.interval {
		t.interval = least
	}
	t.setEntries(names)
	for _, e := range t.entries {
		was := e.mine
		_, e.mine = slices.BinarySearch(mine, e.name)
		if e.mine && !was {
			e.due = now.Add(t.phase(e))
		}
	}
}

// setEntries keeps the entries of names and drops the others.
func (t *Table) setEntries(names []string) {
	old := t.byName
	t.entries = make([]*entry, 0, len(names))
	t.byName = make(map[string]*entry, len(names))
	t.list = listHash(names)
	for place, name := range names {
		e := old[name]
		if e == nil {
			e = &entry{name: name}
		}
		e.place = uint16(place)
		t.entries = append(t.entries, e)
		t.byName[name] = e
	}
}

// phase spreads the polls of an upstream by several daemons, and of several
// upstreams by one, over the interval.
func (t *Table) phase(e *entry) time.Duration {
	share := float64(mix(xxhash.Sum64String(e.name)^xxhash.Sum64String(t.config.Self))>>11) / (1 << 53)
	return time.Duration(share * float64(t.interval))
}

// Due returns the upstreams to poll now. Each is due again after the interval,
// whatever becomes of the poll.
func (t *Table) Due(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var due []string
	for _, e := range t.entries {
		if !e.mine || now.Before(e.due) {
			continue
		}
		due = append(due, e.name)
		if e.due = e.due.Add(t.interval); !e.due.After(now) {
			e.due = now.Add(t.phase(e)) // after a pause, spread again
		}
	}
	return due
}

// Polled takes the report of a poll and says whether it was news.
func (t *Table) Polled(now time.Time, r Report) bool {
	if r.AsOf.After(now.Add(maxAhead)) {
		r.AsOf = now
	}
	r.AsOf = truncate(r.AsOf)
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.byName[r.Upstream]
	return e != nil && e.take(r)
}

// take takes r if it is newer than what is known.
func (e *entry) take(r Report) bool {
	if e.known && !r.AsOf.After(e.report.AsOf) {
		return false
	}
	e.report, e.known, e.sent = r, true, 0
	return true
}

// Digest returns a digest of at most size bytes: the reports that were passed
// on least often, of these the newest. It counts them as passed on.
func (t *Table) Digest(now time.Time, size int) []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.order = t.order[:0]
	for _, e := range t.entries {
		if e.known && now.Sub(e.report.AsOf) <= t.config.MaxAge {
			t.order = append(t.order, e)
		}
	}
	slices.SortFunc(t.order, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), b.report.AsOf.Compare(a.report.AsOf), cmp.Compare(a.place, b.place))
	})
	n := min(max(size-listBytes, 0)/entryBytes, len(t.order))
	digest := make([]byte, 0, listBytes+n*entryBytes)
	digest = binary.BigEndian.AppendUint32(digest, t.list)
	for _, e := range t.order[:n] {
		digest = appendEntry(digest, e.place, &e.report)
		e.sent++
	}
	return digest
}

// Merge takes the digest of a fellow daemon and returns the reports that were
// news. A digest over another list of upstreams has none.
func (t *Table) Merge(now time.Time, digest []byte) ([]Report, error) {
	if len(digest) < listBytes || (len(digest)-listBytes)%entryBytes != 0 {
		return nil, errDigest
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if binary.BigEndian.Uint32(digest) != t.list {
		return nil, nil
	}
	var news []Report
	for rest := digest[listBytes:]; len(rest) > 0; rest = rest[entryBytes:] {
		place, r := readEntry(now, rest)
		if int(place) >= len(t.entries) {
			continue
		}
		e := t.entries[place]
		r.Upstream = e.name
		if e.take(r) {
			news = append(news, r)
		}
	}
	return news, nil
}

// Reports returns the newest report of each upstream that has one, by name.
func (t *Table) Reports() []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	reports := make([]Report, 0, len(t.entries))
	for _, e := range t.entries {
		if e.known {
			reports = append(reports, e.report)
		}
	}
	return reports
}

// Polling returns the upstreams that this daemon polls and how often.
func (t *Table) Polling() (upstreams []string, interval time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.entries {
		if e.mine {
			upstreams = append(upstreams, e.name)
		}
	}
	return upstreams, t.interval
}
