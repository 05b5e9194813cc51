package catalog

import "cmp"

// Rank orders requests that compete for the same resource; 0 is the highest in both fields.
// The customer's priority is compared first; the route's priority orders requests of
// customers with the same priority.
type Rank struct{ Customer, Route int }

// RankOf returns the rank of a customer's request; customer may be nil. If the customer has
// no priority, the route's priority is used for both fields.
func RankOf(customer *CustomerConfig, route *Route) Rank {
	r := Rank{Customer: max(0, route.Priority), Route: max(0, route.Priority)}
	if customer != nil && customer.Priority != nil {
		r.Customer = max(0, *customer.Priority)
	}
	return r
}

// Compare orders ranks by descending urgency.
func (r Rank) Compare(o Rank) int {
	return cmp.Or(cmp.Compare(r.Customer, o.Customer), cmp.Compare(r.Route, o.Route))
}

const (
	// NumLevels is the number of levels to which a rank is reduced where it has to be
	// expressed as one number.
	NumLevels = 10
	// routeLevels is the number of levels per customer priority.
	routeLevels = 3
)

// Level returns the rank as one number below NumLevels; ranks beyond the range share the
// last level.
func (r Rank) Level() int {
	return min(NumLevels-1, r.Customer*routeLevels+min(r.Route, routeLevels-1))
}
