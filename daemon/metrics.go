package daemon

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/wheatseam/wheatseam/core/retry"
	"github.com/wheatseam/wheatseam/problem"
)

// outcomeKindOK is the kind label of requests that were answered.
const outcomeKindOK = "ok"

// countRequest counts a request that was served, with its outcome. The pipeline and
// customer labels come from the bundle, so that callers can't create series.
func (d *Daemon) countRequest(customer, pipeline string, e *problem.Error, took time.Duration) {
	kind := outcomeKindOK
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

func (d *Daemon) registerGauges() {
	gauge := func(name string, f func() float64) { d.metrics.GetOrCreateGauge(name, f) }
	gauge("wheatseam_requests_in_flight", func() float64 { return float64(d.requestTable.Len()) })
	gauge("wheatseam_dropped_events", func() float64 { return float64(d.requestTable.Dropped()) })
	gauge("wheatseam_record_bytes", func() float64 { return float64(d.records.Stats().Bytes) })
	gauge("wheatseam_ready", func() float64 {
		if d.CheckAdmission() != nil {
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

// writeDynamicMetrics writes the series whose labels change with the bundle, the
// budgets and the members.
func (d *Daemon) writeDynamicMetrics(w io.Writer) {
	for _, p := range d.admitter.State(d.Now()) {
		gauge := func(name string, v float64) {
			metrics.WriteGaugeFloat64(w, fmt.Sprintf("wheatseam_pool_%s{pool=%q}", name, p.Pool), v)
		}
		gauge("limit", p.Limit)
		gauge("share", p.Share)
		gauge("in_flight", float64(p.InFlight))
		gauge("queued", float64(p.Queued))
	}
	writeBudget(w, "retry", d.budgets.Retry.Stats())
	writeBudget(w, "hedge", d.budgets.Hedge.Stats())
	states := make(map[string]uint64)
	for _, m := range d.cluster.Members() {
		states[m.State.String()]++
	}
	for state, n := range states {
		metrics.WriteGaugeUint64(w, fmt.Sprintf("wheatseam_members{state=%q}", state), n)
	}
	metrics.WriteCounterUint64(w, "wheatseam_records_evicted_total", d.records.Stats().Evicted)
}

func writeBudget(w io.Writer, name string, st retry.Stats) {
	metrics.WriteCounterUint64(w, fmt.Sprintf("wheatseam_budget_total{budget=%q,result=\"taken\"}", name), st.Taken)
	metrics.WriteCounterUint64(w, fmt.Sprintf("wheatseam_budget_total{budget=%q,result=\"denied\"}", name), st.Denied)
}
