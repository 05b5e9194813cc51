// Package load holds what daemons know of the load of upstreams: which daemon
// polls which upstream, what it tells the others, and what a daemon believes.
//
// The package is decision core: no I/O, no clock, no goroutine.
package load

import "time"

// Report is the load that an upstream had at a moment, by its own account.
type Report struct {
	// Upstream is the name of the upstream.
	Upstream string
	// AsOf is the upstream's clock when it took the figures.
	AsOf time.Time
	// Running and Queued count calls at the upstream.
	Running int
	Queued  int
	// Slots is the number of calls that the upstream runs at a time; 0 when it
	// is not known.
	Slots int
	// Leaving says that the upstream wants no new work.
	Leaving bool
}
