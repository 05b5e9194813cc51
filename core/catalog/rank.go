package catalog

import "cmp"

// Rank orders requests that want the same thing; 0 is the highest in both parts. What
// the operator says of a customer goes first: the route's part tells the requests of
// customers that rank alike apart.
type Rank struct{ Customer, Route int }

// RankOf is the rank of a customer's request; the customer may be nil. Where the
// operator says nothing of the customer, the route's priority counts for both.
func RankOf(customer *Tenant, route *Route) Rank {
	r := Rank{Customer: max(0, route.Priority), Route: max(0, route.Priority)}
	if customer != nil && customer.Priority != nil {
		r.Customer = max(0, *customer.Priority)
	}
	return r
}

// Compare orders ranks, the more urgent one first.
func (r Rank) Compare(o Rank) int {
	return cmp.Or(cmp.Compare(r.Customer, o.Customer), cmp.Compare(r.Route, o.Route))
}

const (
	// Levels is the number of levels that a rank is told in where one number has to do.
	NumLevels = 10
	// routeLevels is the number of levels of each customer's part.
	routeLevels = 3
)

// Level is the rank as one number under Levels; ranks beyond share the last ones.
func (r Rank) Level() int {
	return min(NumLevels-1, r.Customer*routeLevels+min(r.Route, routeLevels-1))
}
