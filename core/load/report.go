package load

import "time"

// Report is the load that an upstream had at a moment, by its own account.
type Report struct {
	// Upstream is the name of the upstream.
	Upstream string `json:"upstream"`
	// AsOf is the upstream's clock when it took the figures.
	AsOf time.Time `json:"as_of"`
	// Running and Queued count calls at the upstream. A report heard from a
	// fellow daemon has both in Running.
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// Leaving says that the upstream wants no new work.
	Leaving bool `json:"leaving"`
}
