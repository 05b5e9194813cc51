package discovery

import "time"

const (
	// minRefreshInterval is the least time between the starts of two refreshes of one host. All that
	// is demanded in between shares the next one.
	minRefreshInterval = 25 * time.Millisecond
	// refreshIntervalPerHost is the least time, for each host of the fleet, between two reads of the
	// store on demand by a host that no peer asks: all hosts may be doing the same.
	refreshIntervalPerHost = time.Millisecond
)

// refreshDemand merges demands for replicas that are read after given times. It does no I/O, has
// no clock, and is not safe for concurrent use. The zero value holds no demand.
type refreshDemand struct {
	// asOf is the latest time as of which replicas are demanded, and until when somebody waits.
	asOf, until time.Time
	// begunAt is when the last refresh began, and failedAt when the last one that failed did.
	begunAt, failedAt time.Time
}

// add merges a demand for replicas as of a time, for which somebody waits until another one.
func (r *refreshDemand) add(asOf, until time.Time) {
	if asOf.After(r.asOf) {
		r.asOf = asOf
	}
	if until.After(r.until) {
		r.until = until
	}
}

// due returns how long from now the next refresh may begin, and whether one is wanted, if the
// replicas are known as of a time. It may be demanded again before a refresh that is in progress ends:
// one that began before a demand does not meet it.
func (r *refreshDemand) due(now, knownAsOf time.Time, interval time.Duration) (wait time.Duration, wanted bool) {
	if !knownAsOf.Before(r.asOf) || !now.Before(r.until) {
		return 0, false
	}
	return max(0, r.begunAt.Add(interval).Sub(now)), true
}

// begin records that a refresh begins.
func (r *refreshDemand) begin(now time.Time) { r.begunAt = now }

// fail records that the last refresh failed.
func (r *refreshDemand) fail() { r.failedAt = r.begunAt }

// failedSince reports whether a refresh failed that began after a time.
func (r *refreshDemand) failedSince(t time.Time) bool { return r.failedAt.After(t) }

// storeRefreshInterval returns the least time between two reads of the store on demand by one host of
// a fleet.
func storeRefreshInterval(hosts int, servesPeers bool) time.Duration {
	if servesPeers {
		return minRefreshInterval
	}
	return max(minRefreshInterval, time.Duration(hosts)*refreshIntervalPerHost)
}
