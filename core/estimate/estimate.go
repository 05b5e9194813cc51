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
	// weight is the sum of the weights of the measurements, which decay with age.
	weight float64
	// meanSize and meanSeconds are the weighted means.
	meanSize, meanSeconds float64
	// sizeSpread and coSpread are the weighted sums of (size - meanSize)^2 and of
	// (size - meanSize) * (duration - meanSeconds). They are updated incrementally: the
	// difference of two large sums would leave only rounding errors where sizes are equal.
	sizeSpread, coSpread float64
}

// Observe adds a measured duration for a size.
func (l *LinearModel) Observe(size float64, took time.Duration) {
	const decay = 1 - 1.0/decayCount
	l.weight = decay*l.weight + 1
	sizeChange, secondsChange := size-l.meanSize, took.Seconds()-l.meanSeconds
	l.meanSize += sizeChange / l.weight
	l.meanSeconds += secondsChange / l.weight
	l.sizeSpread = decay*l.sizeSpread + sizeChange*(size-l.meanSize)
	l.coSpread = decay*l.coSpread + sizeChange*(took.Seconds()-l.meanSeconds)
}

// minMeasurements is the weighted number of measurements from which At returns an
// estimate.
const minMeasurements = 5

// At returns the estimated duration for a size, or false while there are too few
// measurements. The estimate never decreases with the size and is never negative.
func (l *LinearModel) At(size float64) (time.Duration, bool) {
	if l.weight < minMeasurements {
		return 0, false
	}
	slope := 0.0
	if l.sizeSpread > 0 {
		slope = max(0, l.coSpread/l.sizeSpread)
	}
	return seconds(max(0, l.meanSeconds+slope*(size-l.meanSize))), true
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
