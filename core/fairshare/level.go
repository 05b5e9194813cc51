package fairshare

import (
	"math"
	"slices"
)

// Level returns the max-min fair level for a capacity: the sum of min(asked, level) over all
// customers is the capacity. It is +Inf if the capacity suffices for all that is asked.
// asked is sorted in place.
func Level(asked []float64, capacity float64) float64 {
	slices.Sort(asked)
	for i, a := range asked {
		equal := max(0, capacity) / float64(len(asked)-i)
		if a > equal {
			return equal
		}
		capacity -= a
	}
	return math.Inf(1)
}
