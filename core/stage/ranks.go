package stage

import (
	"time"

	"github.com/wheatseam/wheatseam/core/catalog"
)

// ranks are those of the jobs that have asked for a service lately, with the time of
// the last one.
type ranks map[catalog.Rank]time.Time

// rankMemory is how long a rank counts after its last job.
const rankMemory = 10 * time.Second

// before counts the ranks of customers alike that are more urgent than one. Customers
// that are more urgent go first by the order of work.
func (r ranks) before(now time.Time, than catalog.Rank) int {
	n := 0
	for rank, last := range r {
		switch {
		case now.Sub(last) > rankMemory:
			delete(r, rank)
		case rank.Customer == than.Customer && rank.Route < than.Route:
			n++
		}
	}
	return n
}

// noteRanks has the services of a job count its rank.
func (j *job) noteRanks(now time.Time) {
	for i := range j.stages {
		if st := &j.stages[i]; st.left > 0 {
			st.service.ranks[j.Rank] = now
		}
	}
}
