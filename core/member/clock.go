package member

import (
	"slices"
	"time"
)

// Samples of the peers' clocks are used for this long, and only when the
// round trip bounds their error well.
const (
	clockSampleAge = 60 * time.Second
	clockMaxTrip   = time.Second
)

// clockSample is one peer's clock against ours.
type clockSample struct {
	offset time.Duration
	at     time.Time
}

// clock estimates how far this host's wall clock is from its peers'.
type clock struct {
	samples map[string]clockSample
	skewed  bool
}

// add takes a peer's wall time that was read between sent and now.
func (c *clock) add(host string, wallUnixMS int64, sent, now time.Time) {
	trip := now.Sub(sent)
	if trip > clockMaxTrip || wallUnixMS == 0 {
		return
	}
	middle := sent.Add(trip / 2).UnixMilli()
	c.samples[host] = clockSample{time.Duration(wallUnixMS-middle) * time.Millisecond, now}
}

// offset returns the median of the peers' clocks minus ours, and the number
// of peers that it rests on.
func (c *clock) offset(now time.Time) (time.Duration, int) {
	offsets := make([]time.Duration, 0, len(c.samples))
	for host, s := range c.samples {
		if now.Sub(s.at) > clockSampleAge {
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
	// The mean of the middle two, which are one for an odd count.
	return (offsets[(n-1)/2] + offsets[n/2]) / 2, n
}

// check re-evaluates the skew and reports whether the verdict changed.
func (c *clock) check(now time.Time, limit time.Duration) (SkewChanged, bool) {
	offset, _ := c.offset(now)
	skewed := offset.Abs() > limit
	changed := skewed != c.skewed
	c.skewed = skewed
	return SkewChanged{skewed, offset}, changed
}
