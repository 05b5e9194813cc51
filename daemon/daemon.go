// Package daemon wires the parts of an entry daemon together: it carries out
// the actions of the request machines and feeds their events back.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
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

// tickEvery is how often waits that can no longer succeed are ended.
const admissionTickInterval = 10 * time.Millisecond

// recordBytes bounds the memory of the decision records.
const maxRecordBytes = 32 << 20

// Daemon is one entry daemon.
type Daemon struct {
	settings             *settings.Settings
	log                  *zap.Logger
	bundle               atomic.Pointer[bundle.Bundle]
	upstreamClients      atomic.Pointer[clients]
	draining             atomic.Bool
	activeCallerRequests atomic.Int64 // requests of callers

	table           *request.Table
	sessions        sessionTable
	decisionDeps    request.Deps
	router          *route.Router
	loads           *loadView
	admitter        *admit.Controller
	shares          *shares.Service
	budgets         retry.Budgets
	health          *breaker.Set
	records         *record.Store
	keptResults     *results.Service
	keptResultStore *results.Store
	claims          *claims.Service
	claimsReady     atomic.Bool

	incarnation     uint64 // start of the process in Unix milliseconds
	cluster         *cluster.Cluster
	quarantine      *quarantine.Service
	bundleAppliedAt atomic.Pointer[time.Time]
	metrics         *metrics.Set
	peerMux         *peer.Mux
	peerTransport   *peer.Transport
	dumpSections    *operator.Sections
	operatorServer  *operator.Server
	// leave starts the way out; Run sets it.
	startDrain context.CancelFunc
	// appliers get every bundle that comes into force.
	bundleAppliers []bundleApplier
}

// applier takes a new bundle. Apply is called by one goroutine at a time.
type bundleApplier interface{ Apply(b *bundle.Bundle) }

// New returns a daemon that has not started.
func New(s *settings.Settings, log *zap.Logger) (*Daemon, error) {
	d := &Daemon{
		settings: s, log: log, table: request.NewTable(), records: record.NewStore(maxRecordBytes),
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
	d.addKeptResults()
	return d, nil
}

// Run serves until ctx ends, then drains: requests in flight are finished, at
// the longest for the drain bound of the settings or until cut ends.
func (d *Daemon) Run(ctx, abort context.Context) error {
	ctx, d.startDrain = context.WithCancel(ctx)
	defer d.startDrain()
	listener, err := d.openListeners()
	if err != nil {
		return err
	}
	server := d.newCallerServer(caller.NewServer(caller.Config{Backend: d, MaxBodyBytes: d.settings.Limits.MaxBodyBytes}))
	d.log.Info("listening", zap.String("callers", listener.Addr().String()),
		zap.String("peers", d.peerTransport.Addr()), zap.String("operators", d.operatorServer.Addr()))
	backgroundCtx, stopBackground := context.WithCancel(context.Background())
	defer stopBackground()
	var group errgroup.Group
	group.Go(func() error { return ignoreClosed(server.Serve(listener)) })
	group.Go(d.operatorServer.Serve)
	group.Go(func() error { return d.cluster.Run(backgroundCtx, d.peerTransport) })
	group.Go(func() error { d.shares.Run(backgroundCtx, d.peerTransport); return nil })
	group.Go(func() error { d.tickAdmission(backgroundCtx); return nil })
	group.Go(func() error { clock.Watch(backgroundCtx); return nil })
	group.Go(func() error { d.quarantine.Run(backgroundCtx); return nil })
	group.Go(func() error { d.claims.Run(backgroundCtx); return nil })
	group.Go(func() error { d.expireKeptResults(backgroundCtx); return nil })
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

// open opens the three listeners, all or none.
func (d *Daemon) openListeners() (net.Listener, error) {
	if err := d.openPeers(); err != nil {
		return nil, err
	}
	if err := d.openOperators(); err != nil {
		return nil, errors.Join(err, d.peerTransport.Close())
	}
	listener, err := net.Listen("tcp", d.settings.Listen.Callers)
	if err != nil {
		err = fmt.Errorf("listen for callers: %w", err)
		return nil, errors.Join(err, d.operatorServer.Shutdown(context.Background()), d.peerTransport.Close())
	}
	return listener, nil
}

// closeListeners ends the sessions with fellow daemons, then the operators'
// listener, so that a waiting operator sees the end.
func (d *Daemon) closeListeners(ctx context.Context) {
	if err := d.peerTransport.Shutdown(ctx); err != nil {
		d.log.Warn("peers cut", zap.Error(err))
	}
	if err := d.operatorServer.Shutdown(ctx); err != nil {
		d.log.Warn("operators cut", zap.Error(err))
	}
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// callerServer has the requests of callers served by a handler, and counts them.
func (d *Daemon) newCallerServer(handler http.Handler) *http.Server {
	limits := d.settings.Limits
	return &http.Server{
		Handler:           d.countActive(handler),
		MaxHeaderBytes:    limits.MaxHeaderBytes,
		ReadHeaderTimeout: limits.ReadHeaderTimeout,
		ReadTimeout:       limits.ReadTimeout,
		IdleTimeout:       limits.IdleTimeout,
	}
}

// counted counts the requests that a handler serves, from their head to the last byte
// of their answer.
func (d *Daemon) countActive(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.activeCallerRequests.Add(1)
		defer d.activeCallerRequests.Add(-1)
		handler.ServeHTTP(w, r)
	})
}

// drainPoll is how often a draining daemon looks whether it is done.
const drainPollInterval = 10 * time.Millisecond

func (d *Daemon) drain(abort context.Context) {
	d.draining.Store(true)
	d.cluster.Leave()
	d.log.Info("draining", zap.Int("in_flight", d.table.Len()))
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

// idle says whether no request of a caller is in flight: none is being served, and no
// call outlives the answer of one that was.
func (d *Daemon) idle() bool { return d.activeCallerRequests.Load() == 0 && d.table.Len() == 0 }

// maxCutLogged bounds the requests named in the log when a drain is cut.
const maxAbortedLogged = 100

func (d *Daemon) logAborted() {
	for _, o := range d.table.Overviews(maxAbortedLogged) {
		d.log.Warn("cut", logging.Request(o.ID), zap.String("pipeline", o.Pipeline), zap.String("stage", o.Stage))
	}
}

// tick ends waits that can no longer succeed.
func (d *Daemon) tickAdmission(ctx context.Context) {
	periodic.Do(ctx, admissionTickInterval, func() {
		for _, g := range d.decisionDeps.Admitter.Tick(d.Now()) {
			d.deliverGrant(g)
		}
	})
}

// apply puts a bundle into force. Requests in flight keep theirs.
func (d *Daemon) apply(b *bundle.Bundle) {
	d.upstreamClients.Store(newClients(b, d.upstreamClients.Load(), d.Now))
	for _, a := range d.bundleAppliers {
		a.Apply(b)
	}
	d.bundle.Store(b)
	d.log.Info("bundle in force", zap.Uint64("version", b.Version))
}

// Bundle implements caller.Backend.
func (d *Daemon) Bundle() *bundle.Bundle { return d.bundle.Load() }

// Now implements caller.Backend.
func (d *Daemon) Now() time.Time { return clock.Now() }

// NewRequestID implements caller.Backend. The id names the host, so that any
// host knows whom to ask about it.
func (d *Daemon) NewRequestID() string {
	return d.settings.Host + "." + uuid.Must(uuid.NewV7()).String()
}

// retryElsewhere is told to callers that should go to another host.
const retryElsewhereAfter = time.Second

// Admittable implements caller.Backend.
func (d *Daemon) Admittable() *problem.Error {
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

// The steps that this package records.
const (
	stepReceive record.Step = "receive"
	stepRefuse  record.Step = "refuse"
)

// refusedEntry says why a request was not served at all.
func refusalEntry(now time.Time, e *problem.Error) record.Entry {
	return record.Entry{At: now, Step: stepRefuse, Outcome: string(e.Kind), Fields: []record.Field{
		{Key: "execution", Value: string(e.Execution)}, {Key: "detail", Value: e.Detail},
	}}
}

// Refused implements caller.Backend. What anybody can send without an API key
// is logged and counted only: it must not push other requests' records out.
func (d *Daemon) Refused(id string, e *problem.Error) {
	d.countRefused(e)
	if e.Kind != problem.Unauthorized && e.Kind != problem.NotFound {
		d.records.Begin(id).Add(refusalEntry(d.Now(), e))
	}
	d.log.Info("refused", logging.Request(id), zap.String("kind", string(e.Kind)), zap.String("detail", e.Detail))
}
