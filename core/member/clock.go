package member

import (
	"slices"
	"time"
)

// A sample of a peer's clock is used for maxClockSampleAge. Samples with a
// round trip above maxClockRoundTrip are discarded, because half the round trip
// bounds their error.
const (
	maxClockSampleAge = 60 * time.Second
	maxClockRoundTrip = time.Second
)

// clockSample is the offset of one peer's clock from the local clock.
type clockSample struct {
	offset time.Duration
	at     time.Time
}

// clockEstimator estimates the offset of the peers' wall clocks from the local
// one.
type clockEstimator struct {
	samples map[string]clockSample
	skewed  bool
}

// add records a peer's wall time, which the peer read between sent and now.
func (c *clockEstimator) add(host string, wallUnixMS int64, sent, now time.Time) {
	roundTrip := now.Sub(sent)
	if roundTrip > maxClockRoundTrip || wallUnixMS == 0 {
		return
	}
	midpoint := sent.Add(roundTrip / 2).UnixMilli()
	c.samples[host] = clockSample{time.Duration(wallUnixMS-midpoint) * time.Millisecond, now}
}

// offset returns the median of the peers' clocks minus the local clock, and the
// number of peers it is computed from.
func (c *clockEstimator) offset(now time.Time) (time.Duration, int) {
	offsets := make([]time.Duration, 0, len(c.samples))
	for host, s := range c.samples {
		if now.Sub(s.at) > maxClockSampleAge {
			delete(c.samples, host)
			continue
		}
		offsets = append(offsets, s.offset)
	}
	if len(offsets) == 0 {
		return 0, 0
	}
	slices.Sort(offsets)
	n := len(offsets)
	// The mean of the two middle values, which coincide for an odd count.
	return (offsets[(n-1)/2] + offsets[n/2]) / 2, n
}

// updateSkew compares the offset with limit and reports whether the host became
// skewed or stopped being skewed.
func (c *clockEstimator) updateSkew(now time.Time, limit time.Duration) (SkewChanged, bool) {
	offset, _ := c.offset(now)
	skewed := offset.Abs() > limit
	changed := skewed != c.skewed
	c.skewed = skewed
	return SkewChanged{skewed, offset}, changed
}
