package catalog

import (
	"cmp"
	"slices"
	"time"

	"github.com/wheatseam/wheatseam/core/position"
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

// lostEvacuationRetention is how long evacuations stay in force after the store came back from
// a copy, unless the operator writes them again or withdraws them: by then it has done so.
const lostEvacuationRetention = 5 * time.Second

// Restoration is what a host knows of the time since the store came back from a copy. Hosts send
// it with the orders, so that one that hears late of a restore keeps what the store lacks no
// longer than the others. The zero value says nothing.
type Restoration struct {
	// Age is the time since the host, or one that told it, learned of the current era.
	Age time.Duration
	// Withdrawn are the domains that are known to have been withdrawn in the current era and
	// not ordered again. It is empty when nothing can be kept any more.
	Withdrawn []string
}

// EvacuationState holds the orders as the store has them, and those that were in force before
// it came back from a copy. It is not safe for concurrent use.
type EvacuationState struct {
	stored Evacuations
	// eraSince is when the era of the stored orders began, as far as this host was told.
	eraSince time.Time
	// withdrawn are domains that were withdrawn in this era and not ordered again.
	withdrawn []string
	// kept are the domains that stay in force until keptUntil although the store lacks them.
	kept []string
}

// Stored returns the orders as the store has them.
func (s *EvacuationState) Stored() Evacuations { return s.stored }

// Restoration returns what other hosts need to know of the current era.
func (s *EvacuationState) Restoration(now time.Time) Restoration {
	age := min(now.Sub(s.eraSince), lostEvacuationRetention)
	if age == lostEvacuationRetention {
		return Restoration{Age: age}
	}
	return Restoration{Age: age, Withdrawn: s.withdrawn}
}

// InForce returns the orders that are in force, at the position of the stored ones.
func (s *EvacuationState) InForce(now time.Time) Evacuations {
	if len(s.kept) == 0 || !now.Before(s.keptUntil()) {
		return s.stored
	}
	return NewEvacuations(s.stored.Revision, slices.Concat(s.stored.Domains, s.kept))
}

// Replace replaces the stored orders unless they are as new. known is what the host that sent
// them knows of their era. restored says that they are the first ones after the store came back
// from a copy.
func (s *EvacuationState) Replace(now time.Time, next Evacuations, known Restoration) (changed, restored bool) {
	if next.Revision <= s.stored.Revision {
		return false, false
	}
	first := s.stored.Revision == 0
	if first || position.Era(next.Revision) > position.Era(s.stored.Revision) {
		s.kept, s.withdrawn, s.eraSince = s.InForce(now).Domains, nil, now
		restored = !first
	}
	if since := now.Add(-known.Age); since.Before(s.eraSince) {
		s.eraSince = since
	}
	s.withdrawn = without(slices.Concat(s.withdrawn, known.Withdrawn), next.Domains)
	s.kept = without(s.kept, s.withdrawn, next.Domains)
	if !now.Before(s.keptUntil()) {
		s.kept, s.withdrawn = nil, nil
	}
	s.stored = next
	return true, restored
}

// Change applies changes of the store, in the order of their revisions.
func (s *EvacuationState) Change(now time.Time, changes []EvacuationChange) (changed bool) {
	var withdrawn []string
	for _, c := range changes {
		if c.Withdrawn && c.Revision > s.stored.Revision {
			withdrawn = append(withdrawn, c.Domain)
		}
	}
	changed, _ = s.Replace(now, s.stored.With(changes), Restoration{Withdrawn: withdrawn})
	return changed
}

// KeptUntil returns until when orders are in force that the store lacks; zero if there are
// none.
func (s *EvacuationState) KeptUntil() time.Time {
	if len(s.kept) == 0 {
		return time.Time{}
	}
	return s.keptUntil()
}

func (s *EvacuationState) keptUntil() time.Time { return s.eraSince.Add(lostEvacuationRetention) }

// without returns the domains that are in none of the others, sorted and unique.
func without(domains []string, others ...[]string) []string {
	excluded := slices.Concat(others...)
	domains = slices.DeleteFunc(slices.Clone(domains), func(d string) bool { return slices.Contains(excluded, d) })
	slices.Sort(domains)
	return slices.Compact(domains)
}
