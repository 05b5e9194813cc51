// Package daemon connects the components of an entry daemon. It performs the
// actions that the requests' state machines return and delivers the resulting
// events to them.
package daemon

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/caller"
	"github.com/wheatseam/wheatseam/claims"
	"github.com/wheatseam/wheatseam/cluster"
	"github.com/wheatseam/wheatseam/core/admit"
	"github.com/wheatseam/wheatseam/core/breaker"
	"github.com/wheatseam/wheatseam/core/request"
	"github.com/wheatseam/wheatseam/core/retry"
	"github.com/wheatseam/wheatseam/core/route"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/internal/httpserver"
	"github.com/wheatseam/wheatseam/internal/periodic"
	"github.com/wheatseam/wheatseam/logging"
	"github.com/wheatseam/wheatseam/operator"
	"github.com/wheatseam/wheatseam/peer"
	"github.com/wheatseam/wheatseam/problem"
	"github.com/wheatseam/wheatseam/quarantine"
	"github.com/wheatseam/wheatseam/record"
	"github.com/wheatseam/wheatseam/results"
	"github.com/wheatseam/wheatseam/settings"
	"github.com/wheatseam/wheatseam/shares"
)

// admissionTickInterval is the interval at which admission ends the waits of requests
// that can no longer get a slot in time.
const admissionTickInterval = 10 * time.Millisecond

// maxRecordBytes bounds the memory of the decision records.
const maxRecordBytes = 32 << 20

// Daemon is one entry daemon.
type Daemon struct {
	settings             *settings.Settings
	log                  *zap.Logger
	bundle               atomic.Pointer[bundle.Bundle]
	upstreamClients      atomic.Pointer[clients]
	draining             atomic.Bool
	activeCallerRequests atomic.Int64 // requests of callers being served

	requestTable  *request.Table
	sessions      sessionTable
	decisionDeps  request.Deps
	router        *route.Router
	loads         *loadView
	admitter      *admit.Controller
	shares        *shares.Service
	budgets       retry.Budgets
	breakers      *breaker.Set
	records       *record.Store
	resultService *results.Service
	resultStore   *results.Store
	claims        *claims.Service
	claimsReady   atomic.Bool

	incarnation     uint64 // start time of the process in Unix milliseconds
	cluster         *cluster.Cluster
	quarantine      *quarantine.Service
	bundleAppliedAt atomic.Pointer[time.Time]
	metrics         *metrics.Set
	peerMux         *peer.Mux
	peerTransport   *peer.Transport
	dumpSections    *operator.Sections
	operatorServer  *operator.Server
	// startDrain makes Run drain and return. It is set by Run.
	startDrain context.CancelFunc
	// bundleAppliers are given every bundle that becomes active, in this order.
	bundleAppliers []bundleApplier
}

// bundleApplier applies a new bundle. Apply is called by one goroutine at a time.
type bundleApplier interface{ Apply(b *bundle.Bundle) }

// New returns a daemon. Run starts it.
func New(s *settings.Settings, log *zap.Logger) (*Daemon, error) {
	d := &Daemon{
		settings: s, log: log, requestTable: request.NewTable(), records: record.NewStore(maxRecordBytes),
		metrics: metrics.NewSet(), peerMux: peer.NewMux(), dumpSections: operator.NewSections(),
	}
	d.incarnation = uint64(d.Now().UnixMilli())
	d.sessions.init()
	d.addDecisionComponents()
	if err := d.addCluster(); err != nil {
		return nil, err
	}
	d.addQuarantine()
	d.addClaims()
	d.addStoredResults()
	return d, nil
}

// Run serves until ctx ends and then drains: it waits for the requests in flight
// until the drain bound of the settings has passed or abort ends.
func (d *Daemon) Run(ctx, abort context.Context) error {
	ctx, d.startDrain = context.WithCancel(ctx)
	defer d.startDrain()
	server, err := d.openListeners()
	if err != nil {
		return err
	}
	d.log.Info("listening", zap.String("callers", server.Addr()),
		zap.String("peers", d.peerTransport.Addr()), zap.String("operators", d.operatorServer.Addr()))
	backgroundCtx, stopBackground := context.WithCancel(context.Background())
	defer stopBackground()
	var group errgroup.Group
	group.Go(server.Serve)
	group.Go(d.operatorServer.Serve)
	group.Go(func() error { return d.cluster.Run(backgroundCtx, d.peerTransport) })
	group.Go(func() error { d.shares.Run(backgroundCtx, d.peerTransport); return nil })
	group.Go(func() error { d.tickAdmission(backgroundCtx); return nil })
	group.Go(func() error { clock.Watch(backgroundCtx); return nil })
	group.Go(func() error { d.quarantine.Run(backgroundCtx); return nil })
	group.Go(func() error { d.claims.Run(backgroundCtx); return nil })
	group.Go(func() error { d.expireStoredResults(backgroundCtx); return nil })
	group.Go(func() error { d.loads.Run(backgroundCtx); return nil })
	group.Go(func() error { d.exchangeLoads(backgroundCtx); return nil })
	<-ctx.Done()
	d.drain(abort)
	shutdownCtx, cancel := clock.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := server.Shutdown(shutdownCtx); err != nil {
		_ = server.Close()
	}
	stopBackground()
	d.closeListeners(shutdownCtx)
	return group.Wait()
}

// openListeners opens the listeners for peers, operators and callers, all or none.
func (d *Daemon) openListeners() (*httpserver.Server, error) {
	if err := d.openPeers(); err != nil {
		return nil, err
	}
	if err := d.openOperators(); err != nil {
		return nil, errors.Join(err, d.peerTransport.Close())
	}
	server, err := d.listenCallers(caller.NewServer(caller.Config{Backend: d, MaxBodyBytes: d.settings.Limits.MaxBodyBytes}))
	if err != nil {
		return nil, errors.Join(err, d.operatorServer.Shutdown(context.Background()), d.peerTransport.Close())
	}
	return server, nil
}

// closeListeners closes the sessions with peer daemons first and the operators'
// listener last, so that operators can follow the drain to its end.
func (d *Daemon) closeListeners(ctx context.Context) {
	if err := d.peerTransport.Shutdown(ctx); err != nil {
		d.log.Warn("shutdown of the peer sessions was not graceful", zap.Error(err))
	}
	if err := d.operatorServer.Shutdown(ctx); err != nil {
		d.log.Warn("shutdown of the operator listener was not graceful", zap.Error(err))
	}
}

// listenCallers opens the callers' listener, whose server counts the requests that handler is
// serving.
func (d *Daemon) listenCallers(handler http.Handler) (*httpserver.Server, error) {
	limits := callerLimits(d.settings.Limits)
	return httpserver.Listen(httpserver.Config{
		Name: "callers", Address: d.settings.Listen.Callers, Handler: d.countActive(handler),
		Limits: func() httpserver.Limits { return limits }, Logger: d.log, Metrics: d.metrics,
	})
}

func callerLimits(l settings.Limits) httpserver.Limits {
	return httpserver.Limits{
		Connections: min(l.MaxConnections, httpserver.MaxConnections(0)), HeadMemory: l.MaxHeaderMemory, MaxHeadBytes: l.MaxHeaderBytes,
		HeaderTimeout: l.ReadHeaderTimeout, IdleTimeout: l.IdleTimeout, KeepIdle: l.IdleTimeout,
		ReadTimeout: l.ReadTimeout, WriteTimeout: l.WriteTimeout,
	}
}

// countActive wraps a handler to count the requests that it is serving, from the end
// of the request header to the last byte of the response.
func (d *Daemon) countActive(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.activeCallerRequests.Add(1)
		defer d.activeCallerRequests.Add(-1)
		handler.ServeHTTP(w, r)
	})
}

// drainPollInterval is the interval at which a draining daemon checks whether it is
// idle.
const drainPollInterval = 10 * time.Millisecond

func (d *Daemon) drain(abort context.Context) {
	d.draining.Store(true)
	d.cluster.Leave()
	d.log.Info("draining", zap.Int("in_flight", d.requestTable.Len()))
	drainCtx, cancel := clock.WithTimeout(abort, d.settings.Drain.Bound)
	defer cancel()
	poll := time.NewTicker(drainPollInterval)
	defer poll.Stop()
	for !d.idle() {
		select {
		case <-drainCtx.Done():
			d.logAborted()
			return
		case <-poll.C:
		}
	}
	d.log.Info("drained")
}

// idle reports whether no request of a caller is in flight: none is being served,
// and no upstream call is still running for a request that has been answered.
func (d *Daemon) idle() bool { return d.activeCallerRequests.Load() == 0 && d.requestTable.Len() == 0 }

// maxAbortedLogged bounds the requests that are logged when a drain ends before all
// requests have finished.
const maxAbortedLogged = 100

func (d *Daemon) logAborted() {
	for _, o := range d.requestTable.Overviews(maxAbortedLogged) {
		d.log.Warn("cut", logging.Request(o.ID), zap.String("pipeline", o.Pipeline), zap.String("stage", o.Stage))
	}
}

// tickAdmission ticks the admission controller, which ends the waits of requests that
// can no longer get a slot in time, until ctx ends.
func (d *Daemon) tickAdmission(ctx context.Context) {
	periodic.Every(ctx, admissionTickInterval, func() {
		for _, g := range d.decisionDeps.Admitter.Tick(d.Now()) {
			d.deliverGrant(g)
		}
	})
}

// apply makes a bundle the active one. Requests in flight keep the bundle under
// which they arrived.
func (d *Daemon) apply(b *bundle.Bundle) {
	d.upstreamClients.Store(newClients(b, d.upstreamClients.Load(), d.Now))
	for _, a := range d.bundleAppliers {
		a.Apply(b)
	}
	d.bundle.Store(b)
	d.log.Info("bundle applied", zap.Uint64("version", b.Version))
}

// Bundle implements caller.Backend.
func (d *Daemon) Bundle() *bundle.Bundle { return d.bundle.Load() }

// Now implements caller.Backend.
func (d *Daemon) Now() time.Time { return clock.Now() }

// NewRequestID implements caller.Backend. The id starts with the name of this host,
// so that any host knows which host has the request's records.
func (d *Daemon) NewRequestID() string {
	return d.settings.Host + "." + uuid.Must(uuid.NewV7()).String()
}

// retryElsewhereAfter is the retry delay returned to callers that should retry at
// another host.
const retryElsewhereAfter = time.Second

// CheckAdmission implements caller.Backend.
func (d *Daemon) CheckAdmission() *problem.Error {
	var e *problem.Error
	switch {
	case d.draining.Load():
		e = problem.New(problem.Draining, "host %s is leaving", d.settings.Host)
	case d.bundle.Load() == nil:
		e = problem.New(problem.NotReady, "no configuration is in force yet")
	case !d.cluster.Ready():
		e = problem.New(problem.NotReady, "host %s has not heard enough of its fellows yet", d.settings.Host)
	case !d.claimsReadyOrTimedOut():
		e = problem.New(problem.NotReady, "host %s has not caught up with the claims of its fellows yet", d.settings.Host)
	default:
		return nil
	}
	e.RetryAfter = retryElsewhereAfter
	return e
}

// The steps that this package adds to decision records.
const (
	stepReceive record.Step = "receive"
	stepRefuse  record.Step = "refuse"
)

// refusalEntry returns the record entry of a request that was refused before it was
// served.
func refusalEntry(now time.Time, e *problem.Error) record.Entry {
	return record.Entry{At: now, Step: stepRefuse, Outcome: string(e.Kind), Fields: []record.Field{
		{Key: "execution", Value: string(e.Execution)}, {Key: "detail", Value: e.Detail},
	}}
}

// RecordRefusal implements caller.Backend. Refusals that a client can cause without an
// API key are only logged and counted, since recording them would let such clients
// evict the records of other requests.
func (d *Daemon) RecordRefusal(id string, e *problem.Error) {
	d.countRefused(e)
	if e.Kind != problem.Unauthorized && e.Kind != problem.NotFound {
		d.records.GetOrCreate(id).Add(refusalEntry(d.Now(), e))
	}
	d.log.Info("refused", logging.Request(id), zap.String("kind", string(e.Kind)), zap.String("detail", e.Detail))
}
