package catalog

import (
	"cmp"
	"slices"
)

// Evacuations are the failure domains whose replicas the operator wants to get no
// new work until the order is taken back. What runs there ends by itself, and what
// is held there may be read. The zero value has none and is older than any other.
type Evacuations struct {
	// Revision is the store's revision of which the domains were read.
	Revision uint64
	// Domains are sorted.
	Domains []string
}

// EvacuationChange is an order for a failure domain, or its withdrawal.
type EvacuationChange struct {
	Domain    string
	Withdrawn bool
	// Revision is the store's revision that the change made.
	Revision uint64
}

// NewEvacuations returns the orders for some failure domains as of a revision.
func NewEvacuations(revision uint64, domains []string) Evacuations {
	domains = slices.Clone(domains)
	slices.Sort(domains)
	return Evacuations{Revision: revision, Domains: slices.Compact(domains)}
}

// Has says whether a failure domain is evacuated.
func (e Evacuations) Has(domain string) bool {
	_, found := slices.BinarySearch(e.Domains, domain)
	return found
}

// Same says whether the same failure domains are evacuated, whatever the revisions.
func (e Evacuations) Same(o Evacuations) bool { return slices.Equal(e.Domains, o.Domains) }

// With returns the orders after some changes, which may come in any order and more
// than once. What is older than the orders is part of them already.
func (e Evacuations) With(changes []EvacuationChange) Evacuations {
	changes = slices.DeleteFunc(slices.Clone(changes), func(c EvacuationChange) bool { return c.Revision <= e.Revision })
	slices.SortFunc(changes, func(a, b EvacuationChange) int { return cmp.Compare(a.Revision, b.Revision) })
	domains := slices.Clone(e.Domains)
	revision := e.Revision
	for _, c := range changes {
		domains = slices.DeleteFunc(domains, func(d string) bool { return d == c.Domain })
		if !c.Withdrawn {
			domains = append(domains, c.Domain)
		}
		revision = c.Revision
	}
	return NewEvacuations(revision, domains)
}
