package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/wheatseam/wheatseam/core/connections"
	"github.com/wheatseam/wheatseam/core/crash"
	"github.com/wheatseam/wheatseam/core/holdings"
	"github.com/wheatseam/wheatseam/core/retry"
	"github.com/wheatseam/wheatseam/core/stall"
	"github.com/wheatseam/wheatseam/discovery"
	"github.com/wheatseam/wheatseam/fleet"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/internal/httpserver"
	"github.com/wheatseam/wheatseam/quarantine"
	"github.com/wheatseam/wheatseam/stages"
)

// serveMetrics serves metrics and the state dump if an address is set for them. If the port
// is in use, only these are unavailable.
func (g *Gateway) serveMetrics(ctx context.Context, group *errgroup.Group) {
	address := g.settings.Load().Listen.Metrics
	if address == "" {
		return
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		g.metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	mux.HandleFunc("GET /state", g.serveState)
	server, err := httpserver.Listen(httpserver.Config{
		Name: "metrics", Address: address, Handler: mux, Limits: httpserver.SmallLimits, Logger: g.log, Metrics: g.metrics,
	})
	if err != nil {
		g.log.Warn("listening for metrics failed; metrics are not served", zap.Error(err))
		return
	}
	group.Go(server.Serve)
	context.AfterFunc(ctx, func() { _ = server.Close() }) // the listener ends with the process
}

// registerGauges registers the gauges, which are computed when metrics are scraped.
func (g *Gateway) registerGauges() {
	gauge := func(name string, f func() float64) { g.metrics.GetOrCreateGauge(name, f) }
	gauge("wheatseam_in_flight", func() float64 { return float64(g.inFlight.Load()) })
	gauge("wheatseam_hosts", func() float64 { return float64(g.fleet.KnownHostCount()) })
	gauge("wheatseam_view_age_seconds", func() float64 { return clock.Since(g.discovery.View().AsOf).Seconds() })
	gauge("wheatseam_config_behind_seconds", func() float64 { return g.discovery.ConfigLag().Seconds() })
	gauge("wheatseam_config_version", func() float64 {
		if c := g.discovery.View().Config; c != nil {
			return float64(c.Version)
		}
		return 0
	})
	gauge("wheatseam_store_era", func() float64 { return float64(g.discovery.StoreEra()) })
	gauge("wheatseam_replica_entries_refused", func() float64 { return float64(g.discovery.InvalidEntryCount()) })
	gauge("wheatseam_replicas", func() float64 { return float64(g.discovery.View().Replicas.Len()) })
	gauge("wheatseam_replica_lists_total", func() float64 { return float64(g.discovery.ListCount()) })
	gauge("wheatseam_store_calls_total", func() float64 { return float64(g.store.Calls().Total) })
	gauge("wheatseam_store_calls_failed_total", func() float64 { return float64(g.store.Calls().Failed) })
	gauge("wheatseam_replicas_cold", func() float64 { return float64(g.coldCount.Load()) })
	gauge("wheatseam_replicas_limited", func() float64 { return float64(len(g.notices.limitStates(clock.Now()))) })
	gauge("wheatseam_replicas_refusal_limited", func() float64 { return float64(len(g.notices.refusalLimitStates(clock.Now()))) })
	gauge("wheatseam_replicas_said_leaving", func() float64 { return float64(len(g.notices.leavingStates(clock.Now()))) })
	gauge("wheatseam_replicas_resting", func() float64 { return float64(len(g.notices.backoffStates(clock.Now()))) })
	gauge("wheatseam_replica_slowdown_baselines", func() float64 { return float64(g.slowdowns.count()) })
	gauge("wheatseam_replicas_unreachable", func() float64 { return float64(g.reachability.count()) })
	gauge("wheatseam_detours", func() float64 { return float64(g.paths.State().Detours) })
	gauge("wheatseam_tunnels_open", func() float64 { return float64(g.paths.server.Open()) })
	for _, state := range []string{"direct", "cut_off", "stranded"} {
		gauge(fmt.Sprintf("wheatseam_path_state{state=%q}", state), func() float64 { return boolGauge(pathState(g.paths.State()) == state) })
	}
	gauge("wheatseam_domains_evacuated", func() float64 { return float64(len(g.discovery.View().Evacuations.Domains)) })
	gauge("wheatseam_stream_origins", func() float64 { return float64(g.origins.state().Streams) })
	gauge("wheatseam_asleep_seconds", func() float64 { return clock.SuspendedTime().Seconds() })
	gauge("wheatseam_requests_condemned", func() float64 { contents, _ := g.quarantine.QuarantinedCounts(); return float64(contents) })
	gauge("wheatseam_prompt_parts_condemned", func() float64 { _, parts := g.quarantine.QuarantinedCounts(); return float64(parts) })
	g.memory.registerGauges()
	gauge("wheatseam_jobs_planned", func() float64 { return float64(g.stages.Dump().Planned) })
}

// boolGauge is 1 for true.
func boolGauge(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// countAttempt counts an attempt at a replica.
func (g *Gateway) countAttempt(service string, end attemptEnd, took time.Duration) {
	g.metrics.GetOrCreateCounter(fmt.Sprintf("wheatseam_attempts_total{service=%q,end=%q}", service, end)).Inc()
	g.metrics.GetOrCreateHistogram(fmt.Sprintf("wheatseam_attempt_seconds{service=%q}", service)).Update(took.Seconds())
}

// countShareExceeded counts a request refused because its customer has had its share of a
// stage service.
func (g *Gateway) countShareExceeded(service, customer string) {
	g.metrics.GetOrCreateCounter(fmt.Sprintf("wheatseam_shares_exceeded_total{service=%q,customer=%q}", service, customer)).Inc()
}

// countRetryDenied counts a request that ends without an answer since no attempt may
// follow.
func (g *Gateway) countRetryDenied(service string, reason denial) {
	g.metrics.GetOrCreateCounter(fmt.Sprintf("wheatseam_repeats_denied_total{service=%q,reason=%q}", service, reason)).Inc()
}

// countCancelledStall counts a stalled attempt that this host cancelled, by the last known
// status of the run.
func (g *Gateway) countCancelledStall(service string, status stall.RunStatus) {
	g.metrics.GetOrCreateCounter(fmt.Sprintf("wheatseam_attempts_ended_here_total{service=%q,account=%q}", service, status)).Inc()
}

// countRunStatus counts an engine's answer to a query for the status of a run.
func (g *Gateway) countRunStatus(service string, status stall.RunStatus) {
	g.metrics.GetOrCreateCounter(fmt.Sprintf("wheatseam_run_accounts_total{service=%q,account=%q}", service, status)).Inc()
}

// countReplacement counts the result of reserving a replacement: used, released
// ("given_back"), or the reason for which it was denied.
func (g *Gateway) countReplacement(service, result string) {
	g.metrics.GetOrCreateCounter(fmt.Sprintf("wheatseam_replacements_total{service=%q,result=%q}", service, result)).Inc()
}

// countReplicaCrash counts a replica that crashed while requests were running on it.
func (g *Gateway) countReplicaCrash(c crash.Confirmed) {
	if c.Again {
		return
	}
	g.metrics.GetOrCreateCounter(fmt.Sprintf("wheatseam_replicas_ended_total{service=%q}", c.Service)).Inc()
	g.metrics.GetOrCreateCounter(fmt.Sprintf("wheatseam_crashes_confirmed_total{proof=%q}", c.Proof)).Inc()
}

// countOutage counts an outage that took idle replicas of a service.
func (g *Gateway) countOutage(service string) {
	g.metrics.GetOrCreateCounter(fmt.Sprintf("wheatseam_outages_total{service=%q}", service)).Inc()
}

// countCrashCheck counts a check whether a replica has crashed.
func (g *Gateway) countCrashCheck(r crash.CheckResult) {
	g.metrics.GetOrCreateCounter(fmt.Sprintf("wheatseam_crash_checks_total{result=%q}", r)).Inc()
}

// countForged counts headers that callers sent but may not set.
func (g *Gateway) countForged(names []string) {
	for _, name := range names {
		g.metrics.GetOrCreateCounter(fmt.Sprintf("wheatseam_forged_headers_total{header=%q}", name)).Inc()
	}
}

// logEjection logs and counts that the router excludes a replica for a while.
func (g *Gateway) logEjection(service, replica, reason string, until time.Time) {
	g.log.Warn("replica ejected", zap.String("service", service), zap.String("replica", replica),
		zap.String("reason", reason), zap.Duration("for", clock.Until(until)))
	g.metrics.GetOrCreateCounter("wheatseam_ejections_total").Inc()
}

// logSilence counts slow calls that are not held against a replica which was silent for a
// moment, and logs the first one of each silence.
func (g *Gateway) logSilence(service, replica string, delayed int) {
	g.metrics.GetOrCreateCounter("wheatseam_calls_delayed_by_silence_total").Inc()
	if delayed > 1 {
		return
	}
	g.log.Info("replica was silent for a moment; its slow calls count as one", zap.String("service", service), zap.String("replica", replica))
	g.metrics.GetOrCreateCounter("wheatseam_brief_silences_total").Inc()
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
	// Quarantine has the requests that are refused because they crash replicas.
	Quarantine quarantine.Dump `json:"quarantine"`
	// Limits are the rate limits that replicas announce in their answers.
	Limits []LimitState `json:"limits"`
	// Cold are the cold replicas, with the calls that this host may begin at them in a second.
	Cold []ColdState `json:"cold"`
	// Leaving are the replicas that announced in an answer that they are leaving.
	Leaving []LeavingState `json:"leaving"`
	// Backoffs are the replicas that asked this host for a backoff.
	Backoffs []BackoffState `json:"resting"`
	// Slowdowns are the baselines of the replicas that report slowdowns.
	Slowdowns []SlowdownState `json:"slowdowns"`
	// Origins is what this host knows about which software version began streams.
	Origins OriginState `json:"stream_origins"`
	// Unreachable are the replicas that this host or others could not reach lately.
	Unreachable []UnreachableState `json:"unreachable"`
	// Paths are the ways to replicas.
	Paths PathsState `json:"paths"`
	// Memory is the account of the bytes held for others.
	Memory holdings.State `json:"memory"`
	// Connections are those of the callers' listener.
	Connections connections.State `json:"connections"`
	// RefusalLimits are the numbers of calls that replicas can refuse in a second.
	RefusalLimits []LimitState `json:"refusal_limits"`
}

// State returns a snapshot of the gateway's state.
func (g *Gateway) State() State {
	s := State{
		Name: g.settings.Load().Name, Draining: g.draining.Load(), InFlight: g.inFlight.Load(), View: g.discovery.Dump(),
		Hosts: g.fleet.Reachable(), Stages: g.stages.Dump(), Budgets: map[string]retry.Stats{}, Router: g.router.Dump(clock.Now()),
		Quarantine: g.quarantine.Dump(), Limits: g.notices.limitStates(clock.Now()), Cold: g.coldTracker.states(clock.Now()), Leaving: g.notices.leavingStates(clock.Now()), Backoffs: g.notices.backoffStates(clock.Now()),
		Slowdowns: g.slowdowns.states(clock.Now()), Unreachable: g.reachability.states(clock.Now()), Origins: g.origins.state(), Paths: g.pathsState(), Memory: g.memory.state(), RefusalLimits: g.notices.refusalLimitStates(clock.Now()),
	}
	if callers := g.callers.Load(); callers != nil {
		s.Connections = callers.State()
	}
	g.retryBudgets.Range(func(service, b any) bool {
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
		g.log.Warn("writing the state dump failed", zap.Error(err))
	}
}
