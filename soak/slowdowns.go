package soak

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"
)

const (
	// slowdownInterval is the interval at which the reported slowdowns change.
	slowdownInterval = 600 * time.Millisecond
	// plainReportRuns is the inverse of the fraction of runs in which no replica reports its
	// slowdown.
	plainReportRuns = 4
)

// reportSlowdowns lets replicas report slowdowns that change, until ctx ends. In some runs no
// replica does, like in deployments whose replicas report three fields.
func (r *runner) reportSlowdowns(ctx context.Context, rng *rand.Rand) {
	if rng.IntN(plainReportRuns) == 0 {
		return
	}
	r.recordFault("replicas report changing slowdowns from now on")
	for ctx.Err() == nil {
		r.mu.Lock()
		for i, rep := range r.replicas {
			rep.ReportSlowdown(drawSlowdown(rng, i))
		}
		r.mu.Unlock()
		sleep(ctx, slowdownInterval)
	}
}

// drawSlowdown draws the fourth field of a load report: mostly the value of the replica's
// machine, sometimes more for one interval, and rarely a false or an invalid value.
func drawSlowdown(rng *rand.Rand, replica int) string {
	machine := []int{60, 100, 160}[replica%3]
	switch draw := rng.IntN(100); {
	case draw < 3:
		return []string{"1", "10000"}[rng.IntN(2)]
	case draw < 6:
		return []string{"0", "-5", "slow", "1e9", "100,7"}[rng.IntN(5)]
	case draw < 8:
		return ""
	case draw < 23:
		return strconv.Itoa(machine * 5 / 2)
	}
	return strconv.Itoa(machine)
}
