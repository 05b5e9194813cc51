package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/wheatseam/wheatseam/core/poison"
	"github.com/wheatseam/wheatseam/core/retry"
	"github.com/wheatseam/wheatseam/core/stall"
	"github.com/wheatseam/wheatseam/discovery"
	"github.com/wheatseam/wheatseam/fleet"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/quarantine"
	"github.com/wheatseam/wheatseam/stages"
)

// serveMetrics serves metrics and the state dump if they have an address. A
// port that is taken costs these only.
func (g *Gateway) serveMetrics(ctx context.Context, group *errgroup.Group) {
	address := g.settings.Load().Listen.Metrics
	if address == "" {
		return
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		g.log.Warn("metrics not served", zap.Error(err))
		return
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		g.metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	mux.HandleFunc("GET /state", g.serveState)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	group.Go(func() error { return ignoreClosed(server.Serve(listener)) })
	context.AfterFunc(ctx, func() { _ = server.Close() }) // ends with the process
}

// addGauges registers what is read when metrics are asked for.
func (g *Gateway) addGauges() {
	gauge := func(name string, f func() float64) { g.metrics.GetOrCreateGauge(name, f) }
	gauge("wheatseam_in_flight", func() float64 { return float64(g.inFlight.Load()) })
	gauge("wheatseam_hosts", func() float64 { return float64(g.fleet.KnownHostCount()) })
	gauge("wheatseam_view_age_seconds", func() float64 { return clock.Since(g.found.View().AsOf).Seconds() })
	gauge("wheatseam_config_behind_seconds", func() float64 { return g.found.ConfigLag().Seconds() })
	gauge("wheatseam_config_version", func() float64 {
		if c := g.found.View().Config; c != nil {
			return float64(c.Version)
		}
		return 0
	})
	gauge("wheatseam_replica_entries_refused", func() float64 { return float64(g.found.InvalidEntryCount()) })
	gauge("wheatseam_store_calls_total", func() float64 { return float64(g.store.Calls().Total) })
	gauge("wheatseam_store_calls_failed_total", func() float64 { return float64(g.store.Calls().Failed) })
	gauge("wheatseam_replicas_cold", func() float64 { return float64(g.coldCount.Load()) })
	gauge("wheatseam_replicas_limited", func() float64 { return float64(len(g.notices.limits(clock.Now()))) })
	gauge("wheatseam_replicas_said_leaving", func() float64 { return float64(len(g.notices.leaving(clock.Now()))) })
	gauge("wheatseam_replicas_resting", func() float64 { return float64(len(g.notices.resting(clock.Now()))) })
	gauge("wheatseam_domains_evacuated", func() float64 { return float64(len(g.found.View().Evacuations.Domains)) })
	gauge("wheatseam_asleep_seconds", func() float64 { return clock.Asleep().Seconds() })
	gauge("wheatseam_requests_condemned", func() float64 { return float64(g.quarantine.QuarantinedCount()) })
	gauge("wheatseam_jobs_planned", func() float64 { return float64(g.stages.Dump().Planned) })
}

// countAttempt counts an attempt at a replica.
func (g *Gateway) countAttempt(service string, end attemptEnd, took time.Duration) {
	g.metrics.GetOrCreateCounter(fmt.Sprintf("wheatseam_attempts_total{service=%q,end=%q}", service, end)).Inc()
	g.metrics.GetOrCreateHistogram(fmt.Sprintf("wheatseam_attempt_seconds{service=%q}", service)).Update(took.Seconds())
}

// countDenied counts a request that ends without an answer since no attempt may follow.
func (g *Gateway) countDenied(service string, reason denial) {
	g.metrics.GetOrCreateCounter(fmt.Sprintf("wheatseam_repeats_denied_total{service=%q,reason=%q}", service, reason)).Inc()
}

// countEndedHere counts an attempt that this host ended by its own decision, by what
// was known of the run.
func (g *Gateway) countEndedHere(service string, a stall.RunStatus) {
	g.metrics.GetOrCreateCounter(fmt.Sprintf("wheatseam_attempts_ended_here_total{service=%q,account=%q}", service, a)).Inc()
}

// countAccount counts an engine's account of a run that it was asked for.
func (g *Gateway) countAccount(service string, a stall.RunStatus) {
	g.metrics.GetOrCreateCounter(fmt.Sprintf("wheatseam_run_accounts_total{service=%q,account=%q}", service, a)).Inc()
}

// countReplacement counts what became of securing another run: used, given back, or
// why it was denied.
func (g *Gateway) countReplacement(service, result string) {
	g.metrics.GetOrCreateCounter(fmt.Sprintf("wheatseam_replacements_total{service=%q,result=%q}", service, result)).Inc()
}

// countEnd counts a replica that ended under attempts.
func (g *Gateway) countEnd(e poison.Crash) {
	g.metrics.GetOrCreateCounter(fmt.Sprintf("wheatseam_replicas_ended_total{service=%q}", e.Service)).Inc()
}

// countForged counts headers that callers sent and that are not theirs to set.
func (g *Gateway) countForged(names []string) {
	for _, name := range names {
		g.metrics.GetOrCreateCounter(fmt.Sprintf("wheatseam_forged_headers_total{header=%q}", name)).Inc()
	}
}

// ejected logs that the router leaves a replica out for a while.
func (g *Gateway) ejected(service, replica, reason string, until time.Time) {
	g.log.Warn("replica ejected", zap.String("service", service), zap.String("replica", replica),
		zap.String("reason", reason), zap.Duration("for", clock.Until(until)))
	g.metrics.GetOrCreateCounter("wheatseam_ejections_total").Inc()
}

// State is the state of a gateway as GET /state shows it.
type State struct {
	Name     string                 `json:"name"`
	Draining bool                   `json:"draining"`
	InFlight int64                  `json:"in_flight"`
	View     discovery.Dump         `json:"view"`
	Hosts    []fleet.Host           `json:"hosts"`
	Stages   stages.Dump            `json:"stages"`
	Budgets  map[string]retry.Stats `json:"budgets"`
	Router   any                    `json:"router"`
	// Quarantine has the requests that are refused since they crash replicas.
	Quarantine quarantine.Dump `json:"quarantine"`
	// Limits are those that replicas name in their answers.
	Limits []LimitState `json:"limits"`
	// Leaving are the replicas that have said in an answer that they leave.
	Leaving []LeaverState `json:"leaving"`
	// Resting are those that want nothing from this host for a while.
	Resting []RestState `json:"resting"`
}

// State returns the state.
func (g *Gateway) State() State {
	s := State{
		Name: g.settings.Load().Name, Draining: g.draining.Load(), InFlight: g.inFlight.Load(), View: g.found.Dump(),
		Hosts: g.fleet.Reachable(), Stages: g.stages.Dump(), Budgets: map[string]retry.Stats{}, Router: g.router.Dump(clock.Now()),
		Quarantine: g.quarantine.Dump(), Limits: g.notices.limits(clock.Now()), Leaving: g.notices.leaving(clock.Now()), Resting: g.notices.resting(clock.Now()),
	}
	g.budgets.Range(func(service, b any) bool {
		s.Budgets[service.(string)] = b.(*retry.SharedBudget).Stats()
		return true
	})
	return s
}

func (g *Gateway) serveState(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	if err := enc.Encode(g.State()); err != nil {
		g.log.Warn("state not written", zap.Error(err))
	}
}
