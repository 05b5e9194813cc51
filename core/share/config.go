package share

import "time"

// Config holds the settings of a Machine. The durations must be equal on every
// daemon of a fleet; NewConfig derives them from the number of hosts.
type Config struct {
	// Host is the name of this daemon's host.
	Host string
	// Incarnation is the start time of this process in Unix milliseconds.
	Incarnation uint64
	// Interval is the time between the reports of a daemon that wants more than
	// its equal share.
	Interval time.Duration
	// LeaseDuration is how long an allocator counts a lease. The daemon uses it for
	// less, by a margin for clock drift.
	LeaseDuration time.Duration
	// CapDuration is how long an allocator relies on a cap. The daemon obeys it for
	// longer, by a margin for clock drift.
	CapDuration time.Duration
	// ReportRequestsPerInterval is the maximum number of hosts that an allocator
	// asks for a report in one Interval.
	ReportRequestsPerInterval int
}

// The interval grows with the number of hosts, which bounds the bytes per second of
// each daemon. All other durations are multiples of the interval.
const (
	minInterval     = 500 * time.Millisecond
	intervalPerHost = 20 * time.Millisecond
	leaseIntervals  = 3
	capIntervals    = 10
	// contendedIntervals is the time between the reports of a daemon that wants no
	// more than its share while another daemon does.
	contendedIntervals = 3
	// uncontendedIntervals is the time between reports while no daemon wants more.
	// These reports only detect a state that differs between daemon and allocator: a
	// daemon that wants a larger share sends a report without waiting for its turn,
	// and the allocator then asks the others for theirs.
	uncontendedIntervals  = 60
	defaultReportRequests = 100
	// driftDivisor defines the maximum difference in rate of two clocks: 1 in 20.
	driftDivisor = 20
)

// NewConfig returns the settings of the daemon on host in a fleet of the given
// number of hosts.
func NewConfig(host string, incarnation uint64, hosts int) Config {
	c := Config{Host: host, Incarnation: incarnation, ReportRequestsPerInterval: defaultReportRequests}
	c.setDurations(hosts)
	return c
}

func (c *Config) setDurations(hosts int) {
	c.Interval = max(minInterval, time.Duration(hosts)*intervalPerHost)
	c.LeaseDuration = leaseIntervals * c.Interval
	c.CapDuration = capIntervals * c.Interval
}
