package share

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// FullShare is the share that equals a resource's whole limit. Shares are counted in
// millionths of the limit.
const FullShare = 1_000_000

// Kind is the type of object that a resource limits.
type Kind string

// The kinds.
const (
	Pool     Kind = "pool"
	Customer Kind = "customer"
)

// Resource identifies one limit that is divided among the daemons.
type Resource struct {
	Kind Kind
	Name string
}

// ID identifies a resource in messages between daemons. Two resources with equal IDs
// are divided as one, which keeps the limits of both.
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

// hostList is the set of hosts among which resources are divided. Equal sets have
// equal ids.
type hostList struct {
	id    uint32
	hosts map[string]bool
	// equalShare is each host's share without an allocator; minShare is the share
	// that it always keeps.
	equalShare int64
	minShare   int64
}

// minShareDivisor defines the part of its equal share that a daemon never releases,
// 1/minShareDivisor, so that the first requests of a burst need not wait for the
// allocator.
const minShareDivisor = 4

func newHostList(names []string) hostList {
	sorted := slices.Clone(names)
	slices.Sort(sorted)
	sorted = slices.Compact(sorted)
	l := hostList{hosts: make(map[string]bool, len(sorted))}
	for _, n := range sorted {
		l.hosts[n] = true
	}
	l.id = uint32(xxhash.Sum64String(strings.Join(sorted, "\n")))
	l.equalShare = FullShare / int64(max(1, len(sorted)))
	l.minShare = max(1, l.equalShare/minShareDivisor)
	return l
}
