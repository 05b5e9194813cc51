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
	// maxHosts limits the number of hosts that are kept.
	maxHosts = 4096
	// deadRetention is how long a dead host is kept: it may come back after a restart, and
	// keeping its name costs little.
	deadRetention = 2 * time.Minute
)

// roster is the set of known hosts. It is safe for concurrent use.
type roster struct {
	mu    sync.Mutex
	hosts map[string]Host
	// sorted holds the hosts by name, and digest their digest. Both are computed when they
	// are needed and dropped with every change: seeds answer all hosts of the fleet, which
	// rarely changes.
	sorted []Host
	digest bucket.Digest
}

// Host is a host as its peers know it.
type Host struct {
	member.Host
	// Capacity is the processing capacity of the machine in thousandths of a processor.
	Capacity int
	// Incarnation is the start time of the process in Unix milliseconds.
	Incarnation uint64
}

// Compare orders hosts by rank; the first one does the work that a single host does for
// the fleet. The host with the most capacity ranks first, then the one that has run for
// longest, so that a restarted host does not displace another. All hosts with the same
// view of the fleet agree on the order.
func (h Host) Compare(o Host) int {
	if c := cmp.Or(cmp.Compare(o.Capacity, h.Capacity), cmp.Compare(h.Incarnation, o.Incarnation)); c != 0 {
		return c
	}
	return cmp.Compare(xxhash.Sum64String(h.Name), xxhash.Sum64String(o.Name))
}

func newRoster(self Host) *roster {
	return &roster{hosts: map[string]Host{self.Name: self}}
}

// add adds or updates hosts and reports whether any of them is new or has a newer
// incarnation.
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
	if changed {
		r.sorted = nil
	}
	return changed
}

// updateIncarnation records a newer incarnation of a known host.
func (r *roster) updateIncarnation(name string, incarnation uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if h, ok := r.hosts[name]; ok && incarnation > h.Incarnation {
		h.Incarnation = incarnation
		r.hosts[name] = h
		r.sorted = nil
	}
}

func (r *roster) remove(names []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range names {
		delete(r.hosts, n)
	}
	r.sorted = nil
}

func (r *roster) has(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, known := r.hosts[name]
	return known
}

func (r *roster) size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.hosts)
}

// topRanked returns the n highest-ranked hosts in order. It does not sort all hosts, since
// a seed answers hundreds of hosts that start at once.
func (r *roster) topRanked(n int) []Host {
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

// all returns the hosts sorted by name. The slice must not be modified.
func (r *roster) all() []Host {
	hosts, _ := r.snapshot()
	return hosts
}

// snapshot returns the hosts sorted by name, which must not be modified, and their digest.
func (r *roster) snapshot() ([]Host, bucket.Digest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sorted == nil {
		r.sorted = slices.SortedFunc(maps.Values(r.hosts), func(a, b Host) int { return cmp.Compare(a.Name, b.Name) })
		r.digest = rosterDigest(r.sorted)
	}
	return r.sorted, r.digest
}

// rosterDigest returns a digest that is equal for rosters with the same hosts and
// incarnations.
func rosterDigest(hosts []Host) bucket.Digest {
	var d bucket.Digest
	for _, h := range hosts {
		d.Add(h.Name, xxhash.Sum64String(h.Name+"\x00"+strconv.FormatUint(h.Incarnation, 36)))
	}
	return d
}

// maxReplyHosts limits the hosts in one reply to some 16 kB. Without the limit, a seed
// behind a link of 10 Mbit/s whose fleet of 1,000 hosts starts at once would be asked for
// twice what the link carries, and no reply would arrive. Later replies contain the
// remaining hosts.
const maxReplyHosts = 300

// differingHosts returns the hosts of a roster in buckets that differ from a peer's digest, starting
// at a random bucket, so that buckets which never become equal do not keep others from
// being sent.
func differingHosts(r *roster, peerDigest []uint64) []Host {
	hosts, d := r.snapshot()
	if d.Equal(peerDigest) {
		return nil
	}
	byBucket := make([][]Host, bucket.Count)
	for _, h := range hosts {
		b := bucket.Of(h.Name)
		byBucket[b] = append(byBucket[b], h)
	}
	var out []Host
	for _, b := range d.Differing(peerDigest, rand.IntN(bucket.Count)) {
		if len(out) > 0 && len(out)+len(byBucket[b]) > maxReplyHosts {
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

// memberHosts converts hosts to the type that package core/member uses.
func memberHosts(hosts []Host) []member.Host {
	out := make([]member.Host, 0, len(hosts))
	for _, h := range hosts {
		out = append(out, h.Host)
	}
	return out
}
