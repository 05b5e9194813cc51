package share

import "time"

// Config holds the settings of a Machine. Every daemon of a fleet must have
// equal times; NewConfig derives them from the number of hosts.
type Config struct {
	// Host is this daemon's name.
	Host string
	// Incarnation is the start of this process in Unix milliseconds.
	Incarnation uint64
	// Interval is the time between the reports of a daemon that wants more.
	Interval time.Duration
	// Loan is how long a loan lasts.
	LeaseDuration time.Duration
	// Cession is how long a daemon binds itself.
	CapDuration time.Duration
	// NudgesPerInterval bounds how many hosts an allocator asks for a report
	// in an interval.
	ReportRequestsPerInterval int
}

// Times in intervals, and their growth with the fleet, which bounds the bytes
// a second of each daemon.
const (
	minInterval     = 500 * time.Millisecond
	intervalPerHost = 20 * time.Millisecond
	leaseIntervals  = 3
	capIntervals    = 10
	// cedingIntervals is between the reports of a daemon that wants no more
	// than it has while another does.
	contendedIntervals = 3
	// quietIntervals is between reports while nobody wants more. They serve to
	// find lost agreement only: whoever wants more reports at once, and the
	// allocator then asks the others.
	uncontendedIntervals  = 60
	defaultReportRequests = 100
	// driftPart bounds the difference in rate of two clocks: 1 in 20.
	driftDivisor = 20
)

// NewConfig returns the settings for a fleet of hosts.
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
