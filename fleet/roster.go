package fleet

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wheatseam/wheatseam/core/bucket"
	"github.com/wheatseam/wheatseam/core/member"
	"github.com/wheatseam/wheatseam/wire"
)

const (
	// maxHosts bounds the hosts that are kept.
	maxHosts = 4096
	// forgetAfter is how long a host that is held dead is kept: it may be back
	// after a restart, and its name is cheap.
	forgetAfter = 2 * time.Minute
)

// roster is the set of hosts that were heard of. It is safe for concurrent use.
type roster struct {
	mu    sync.Mutex
	hosts map[string]Host
}

// Host is a host as its fellows know it.
type Host struct {
	member.Host
	// Capacity is what its machine can do, in thousandths of a processor.
	Capacity int
	// Incarnation is the start of its process in Unix milliseconds.
	Incarnation uint64
}

// Compare ranks hosts; the first does what one host does for all. It is the host
// with the most capacity, then the one that has run for longest, so that a host
// that is back takes nothing over. All hosts with like views agree on it.
func (h Host) Compare(o Host) int {
	if c := cmp.Or(cmp.Compare(o.Capacity, h.Capacity), cmp.Compare(h.Incarnation, o.Incarnation)); c != 0 {
		return c
	}
	return cmp.Compare(xxhash.Sum64String(h.Name), xxhash.Sum64String(o.Name))
}

func newRoster(self Host) *roster {
	return &roster{hosts: map[string]Host{self.Name: self}}
}

// add takes hosts and says whether one of them is new or has moved.
func (r *roster) add(hosts ...Host) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := false
	for _, h := range hosts {
		old, known := r.hosts[h.Name]
		if h.Name == "" || known && h.Incarnation <= old.Incarnation || !known && len(r.hosts) >= maxHosts {
			continue
		}
		r.hosts[h.Name] = h
		changed = true
	}
	return changed
}

// restarted notes a later start of a known host's process.
func (r *roster) restarted(name string, incarnation uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if h, ok := r.hosts[name]; ok && incarnation > h.Incarnation {
		h.Incarnation = incarnation
		r.hosts[name] = h
	}
}

// remove forgets hosts.
func (r *roster) remove(names []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range names {
		delete(r.hosts, n)
	}
}

// size returns the number of hosts.
func (r *roster) size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.hosts)
}

// first returns the n hosts that rank first, in order. It does not sort all: a
// seed answers hundreds of hosts that start at once.
func (r *roster) first(n int) []Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	best := make([]Host, 0, n+1)
	for _, h := range r.hosts {
		at := len(best)
		for at > 0 && h.Compare(best[at-1]) < 0 {
			at--
		}
		if at < n {
			best = slices.Insert(best, at, h)
			best = best[:min(n, len(best))]
		}
	}
	return best
}

// all returns the hosts sorted by name.
func (r *roster) all() []Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.SortedFunc(maps.Values(r.hosts), func(a, b Host) int { return cmp.Compare(a.Name, b.Name) })
}

// digestOf is the same for rosters with the same hosts.
func digestOf(hosts []Host) bucket.Digest {
	var d bucket.Digest
	for _, h := range hosts {
		d.Add(h.Name, xxhash.Sum64String(h.Name+"\x00"+strconv.FormatUint(h.Incarnation, 36)))
	}
	return d
}

// maxNamed bounds the hosts of one answer, some 16 kB: a seed whose fleet of
// 1,000 starts at once behind a link of 10 Mbit/s would else be asked for twice
// what the link carries, and answer nobody. The rest comes with the next answers.
const maxNamed = 300

// unlike returns hosts of buckets that differ from a peer's, from a random one
// on: buckets that go on to differ must not keep others back.
func unlike(hosts []Host, theirs []uint64) []Host {
	d := digestOf(hosts)
	byBucket := make([][]Host, bucket.Count)
	for _, h := range hosts {
		b := bucket.Of(h.Name)
		byBucket[b] = append(byBucket[b], h)
	}
	var out []Host
	for _, b := range d.Differing(theirs, rand.IntN(bucket.Count)) {
		if len(out) > 0 && len(out)+len(byBucket[b]) > maxNamed {
			break
		}
		out = append(out, byBucket[b]...)
	}
	return out
}

func toWire(hosts []Host) []*wire.RosterHost {
	out := make([]*wire.RosterHost, 0, len(hosts))
	for _, h := range hosts {
		out = append(out, &wire.RosterHost{Host: h.Name, FailureDomain: h.FailureDomain, Capacity: uint32(max(0, h.Capacity)), Incarnation: h.Incarnation})
	}
	return out
}

func fromWire(hosts []*wire.RosterHost) []Host {
	out := make([]Host, 0, len(hosts))
	for _, h := range hosts {
		out = append(out, Host{
			Host:     member.Host{Name: h.GetHost(), FailureDomain: h.GetFailureDomain()},
			Capacity: int(h.GetCapacity()), Incarnation: h.GetIncarnation(),
		})
	}
	return out
}

// members are the hosts as membership takes them.
func members(hosts []Host) []member.Host {
	out := make([]member.Host, 0, len(hosts))
	for _, h := range hosts {
		out = append(out, h.Host)
	}
	return out
}
