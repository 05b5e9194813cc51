package estimate

import (
	"math"
	"time"
)

// memory is the number of measurements after which an old one counts for 1/e.
const memory = 300

// Line estimates a duration that grows with a size: a fixed part and a part for
// each unit, fitted by least squares. The zero value has seen no measurement.
type Line struct {
	// Sums over the measurements, each weighted by its age.
	n, x, y, xx, xy float64
}

// Observe takes a measurement of the duration for a size.
func (l *Line) Observe(size float64, took time.Duration) {
	const keep = 1 - 1.0/memory
	y := took.Seconds()
	l.n = keep*l.n + 1
	l.x = keep*l.x + size
	l.y = keep*l.y + y
	l.xx = keep*l.xx + size*size
	l.xy = keep*l.xy + size*y
}

// leastMeasured is the number of measurements that count before the estimate
// does.
const leastMeasured = 5

// At returns the estimate for a size, and false before there are enough
// measurements. It never falls with the size and is never negative.
func (l *Line) At(size float64) (time.Duration, bool) {
	if l.n < leastMeasured {
		return 0, false
	}
	base, slope := l.y/l.n, 0.0
	meanSize := l.x / l.n
	if spread := l.xx/l.n - meanSize*meanSize; spread > 0 {
		slope = max(0, (l.xy/l.n-meanSize*base)/spread)
	}
	return seconds(max(0, base+slope*(size-meanSize))), true
}

func seconds(s float64) time.Duration {
	return time.Duration(math.Round(s * float64(time.Second)))
}

// Deviation is the smoothed distance of measurements from their estimates. The
// zero value has seen none.
type Deviation struct{ mean float64 }

// deviationWeight is the weight of a new measurement.
const deviationWeight = 0.05

// Observe takes a measurement and what was estimated for it.
func (d *Deviation) Observe(took, estimated time.Duration) {
	d.mean += deviationWeight * (math.Abs((took - estimated).Seconds()) - d.mean)
}

// Mean returns the mean distance.
func (d *Deviation) Mean() time.Duration { return seconds(d.mean) }
