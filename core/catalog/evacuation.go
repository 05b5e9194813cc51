package catalog

import (
	"cmp"
	"slices"
)

// Evacuations are the failure domains that the operator has ordered to be evacuated: their
// replicas get no new work until the order is withdrawn. Requests that already run there
// complete, and results that are held there may still be read. The zero value contains no
// orders and is older than any other value.
type Evacuations struct {
	// Revision is the store revision from which the domains were read.
	Revision uint64
	// Domains are sorted and unique.
	Domains []string
}

// EvacuationChange is an order to evacuate a failure domain, or the withdrawal of one.
type EvacuationChange struct {
	Domain    string
	Withdrawn bool
	// Revision is the store revision that the change created.
	Revision uint64
}

// NewEvacuations returns the orders for the given failure domains as of a store revision.
func NewEvacuations(revision uint64, domains []string) Evacuations {
	domains = slices.Clone(domains)
	slices.Sort(domains)
	return Evacuations{Revision: revision, Domains: slices.Compact(domains)}
}

// Has reports whether a failure domain is evacuated.
func (e Evacuations) Has(domain string) bool {
	_, found := slices.BinarySearch(e.Domains, domain)
	return found
}

// SameDomains reports whether the same failure domains are evacuated, regardless of the
// revisions.
func (e Evacuations) SameDomains(o Evacuations) bool { return slices.Equal(e.Domains, o.Domains) }

// With returns the orders after applying changes, which may be unordered and contain
// duplicates. Changes up to the current revision are ignored, since the orders already
// include them.
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
