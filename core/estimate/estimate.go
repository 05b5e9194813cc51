package estimate

import (
	"math"
	"time"
)

// decayCount is the number of measurements after which the weight of an old one has
// decayed to 1/e.
const decayCount = 300

// LinearModel models a duration as a linear function of a size: a constant plus a cost for
// each unit, fitted by least squares. The zero value has no measurements.
type LinearModel struct {
	// Sums over the measurements, weighted by age: the weights, the sizes, the
	// durations in seconds, the squared sizes, and the products of size and duration.
	n, x, y, xx, xy float64
}

// Observe adds a measured duration for a size.
func (l *LinearModel) Observe(size float64, took time.Duration) {
	const decay = 1 - 1.0/decayCount
	y := took.Seconds()
	l.n = decay*l.n + 1
	l.x = decay*l.x + size
	l.y = decay*l.y + y
	l.xx = decay*l.xx + size*size
	l.xy = decay*l.xy + size*y
}

// minMeasurements is the weighted number of measurements from which At returns an
// estimate.
const minMeasurements = 5

// At returns the estimated duration for a size, or false while there are too few
// measurements. The estimate never decreases with the size and is never negative.
func (l *LinearModel) At(size float64) (time.Duration, bool) {
	if l.n < minMeasurements {
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

// Deviation is the exponentially smoothed absolute difference between measurements and
// their estimates. The zero value has no measurements.
type Deviation struct{ mean float64 }

// deviationWeight is the smoothing weight of a new measurement.
const deviationWeight = 0.05

// Observe adds a measured duration and the duration that was estimated for it.
func (d *Deviation) Observe(took, estimated time.Duration) {
	d.mean += deviationWeight * (math.Abs((took - estimated).Seconds()) - d.mean)
}

// Mean returns the smoothed absolute difference.
func (d *Deviation) Mean() time.Duration { return seconds(d.mean) }
