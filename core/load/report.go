package load

import "time"

// Report is the load of an upstream at one moment, as the upstream itself reported it.
type Report struct {
	// Upstream is the name of the upstream.
	Upstream string `json:"upstream"`
	// AsOf is the time of the upstream's clock at which it took the counts.
	AsOf time.Time `json:"as_of"`
	// Running and Queued count the calls at the upstream. In a report from another
	// daemon's digest, Running is the sum of both.
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// Slowdown is how long work takes on the upstream's machine at this moment, as a
	// multiple of the usual time; 0 if it is not reported.
	Slowdown float64 `json:"slowdown,omitempty"`
	// Leaving means that the upstream accepts no new work.
	Leaving bool `json:"leaving"`
}
