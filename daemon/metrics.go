package daemon

import (
	"fmt"
	"time"

	"github.com/wheatseam/wheatseam/problem"
)

// kindOK is the label of requests that were answered.
const kindOK = "ok"

// countRequest counts a request that was served to its end. Pipelines and
// customers are the bundle's, so that callers can't name series.
func (d *Daemon) countRequest(customer, pipeline string, e *problem.Error, took time.Duration) {
	kind := kindOK
	if e != nil {
		kind = string(problem.Lookup(e.Kind).Kind)
	}
	d.metrics.GetOrCreateCounter(fmt.Sprintf(
		"wheatseam_requests_total{customer=%q,pipeline=%q,kind=%q}", customer, pipeline, kind)).Inc()
	d.metrics.GetOrCreateHistogram(fmt.Sprintf(
		"wheatseam_request_seconds{pipeline=%q}", pipeline)).Update(took.Seconds())
}

// countRefused counts a request that was refused before it was served.
func (d *Daemon) countRefused(e *problem.Error) {
	d.metrics.GetOrCreateCounter(fmt.Sprintf(
		"wheatseam_refused_early_total{kind=%q}", problem.Lookup(e.Kind).Kind)).Inc()
}

// registerGauges registers the gauges of what this package knows.
func (d *Daemon) registerGauges() {
	gauge := func(name string, f func() float64) { d.metrics.GetOrCreateGauge(name, f) }
	gauge("wheatseam_requests_in_flight", func() float64 { return float64(d.table.Len()) })
	gauge("wheatseam_dropped_events", func() float64 { return float64(d.table.Dropped()) })
	gauge("wheatseam_record_bytes", func() float64 { return float64(d.records.Stats().Bytes) })
	gauge("wheatseam_ready", func() float64 {
		if d.Admittable() != nil {
			return 0
		}
		return 1
	})
	gauge("wheatseam_bundle_version", func() float64 {
		if b := d.bundle.Load(); b != nil {
			return float64(b.Version)
		}
		return 0
	})
}
