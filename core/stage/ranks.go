package stage

import (
	"time"

	"github.com/wheatseam/wheatseam/core/catalog"
)

// recentRanks holds the ranks of the jobs that used a service recently, with the time of
// the last job of each.
type recentRanks map[catalog.Rank]time.Time

// rankRetention is how long a rank is counted after its last job.
const rankRetention = 10 * time.Second

// countMoreUrgent returns the number of ranks with the same customer priority and a more
// urgent route than the given rank. More urgent customers are preferred by the effective
// due time instead.
func (r recentRanks) countMoreUrgent(now time.Time, than catalog.Rank) int {
	n := 0
	for rank, last := range r {
		switch {
		case now.Sub(last) > rankRetention:
			delete(r, rank)
		case rank.Customer == than.Customer && rank.Route < than.Route:
			n++
		}
	}
	return n
}

// recordRanks records the job's rank at the services that it uses.
func (j *job) recordRanks(now time.Time) {
	for i := range j.stages {
		if st := &j.stages[i]; st.remaining > 0 {
			st.service.recentRanks[j.Rank] = now
		}
	}
}
