package report

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The histograms hold values from 1 microsecond to one hour with 3 significant digits.
const (
	minMicros         = 1
	maxMicros         = int64(time.Hour / time.Microsecond)
	significantDigits = 3
)

// Quantiles summarizes a distribution of durations, in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minMicros, maxMicros, significantDigits)
}

func observe(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), minMicros), maxMicros)) // cannot fail for a value in this range
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	if h.TotalCount() == 0 {
		return Quantiles{}
	}
	at := func(q float64) float64 { return milliseconds(h.ValueAtQuantile(q)) }
	return Quantiles{
		Count: h.TotalCount(), P50: at(50), P90: at(90), P95: at(95), P99: at(99), Max: milliseconds(h.Max()),
	}
}

func milliseconds(micros int64) float64 { return float64(micros) / 1000 }
