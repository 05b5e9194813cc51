package share

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Full is the whole of a resource: shares are counted in millionths.
const FullShare = 1_000_000

// Kind says what a resource limits.
type Kind string

// The kinds.
const (
	Pool     Kind = "pool"
	Customer Kind = "customer"
)

// Resource is one limit that the fleet divides.
type Resource struct {
	Kind Kind
	Name string
}

// ID identifies a resource between daemons. Two resources with equal IDs share
// one division, which keeps the limits of both.
type ID uint32

// ID returns the resource's identifier.
func (r Resource) ID() ID { return idOf(r.Kind, r.Name) }

func idOf(k Kind, name string) ID {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(k))
	_, _ = d.WriteString("/")
	_, _ = d.WriteString(name)
	return ID(uint32(d.Sum64()))
}

// hostList is what shares refer to: equal hosts give equal ids.
type hostList struct {
	id    uint32
	hosts map[string]bool
	// equal is each host's share without a word from another; least is what it
	// keeps when it cedes all it can.
	equal int64
	least int64
}

// leastPart is the part of its equal share that a daemon never cedes, so that
// the first requests of a burst need not wait for the allocator.
const leastPart = 4

func newHostList(names []string) hostList {
	sorted := slices.Clone(names)
	slices.Sort(sorted)
	sorted = slices.Compact(sorted)
	l := hostList{hosts: make(map[string]bool, len(sorted))}
	for _, n := range sorted {
		l.hosts[n] = true
	}
	l.id = uint32(xxhash.Sum64String(strings.Join(sorted, "\n")))
	l.equal = FullShare / int64(max(1, len(sorted)))
	l.least = max(1, l.equal/leastPart)
	return l
}
