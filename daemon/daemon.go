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
const tickEvery = 10 * time.Millisecond

// recordBytes bounds the memory of the decision records.
const recordBytes = 32 << 20

// Daemon is one entry daemon.
type Daemon struct {
	settings *settings.Settings
	log      *zap.Logger
	bundle   atomic.Pointer[bundle.Bundle]
	upstream atomic.Pointer[clients]
	draining atomic.Bool
	serving  atomic.Int64 // requests of callers

	table         *request.Table
	sessions      sessions
	deps          request.Deps
	router        *route.Router
	loads         *loadView
	admitter      *admit.Controller
	shares        *shares.Service
	budgets       retry.Budgets
	health        *breaker.Set
	records       *record.Store
	kept          *results.Service
	keptStore     *results.Store
	claims        *claims.Service
	claimsSettled atomic.Bool

	incarnation uint64 // start of the process in Unix milliseconds
	cluster     *cluster.Cluster
	quarantine  *quarantine.Service
	inForceFrom atomic.Pointer[time.Time]
	metrics     *metrics.Set
	peerMux     *peer.Mux
	peers       *peer.Transport
	sections    *operator.Sections
	operators   *operator.Server
	// leave starts the way out; Run sets it.
	leave context.CancelFunc
	// appliers get every bundle that comes into force.
	appliers []applier
}

// applier takes a new bundle. Apply is called by one goroutine at a time.
type applier interface{ Apply(b *bundle.Bundle) }

// New returns a daemon that has not started.
func New(s *settings.Settings, log *zap.Logger) (*Daemon, error) {
	d := &Daemon{
		settings: s, log: log, table: request.NewTable(), records: record.NewStore(recordBytes),
		metrics: metrics.NewSet(), peerMux: peer.NewMux(), sections: operator.NewSections(),
	}
	d.incarnation = uint64(d.Now().UnixMilli())
	d.sessions.init()
	d.addDecisionParts()
	if err := d.addCluster(); err != nil {
		return nil, err
	}
	d.addQuarantine()
	d.addClaims()
	d.addKept()
	return d, nil
}

// Run serves until ctx ends, then drains: requests in flight are finished, at
// the longest for the drain bound of the settings or until cut ends.
func (d *Daemon) Run(ctx, cut context.Context) error {
	ctx, d.leave = context.WithCancel(ctx)
	defer d.leave()
	listener, err := d.open()
	if err != nil {
		return err
	}
	server := d.callerServer(caller.NewServer(caller.Config{Backend: d, MaxBodyBytes: d.settings.Limits.MaxBodyBytes}))
	d.log.Info("listening", zap.String("callers", listener.Addr().String()),
		zap.String("peers", d.peers.Addr()), zap.String("operators", d.operators.Addr()))
	running, stop := context.WithCancel(context.Background())
	defer stop()
	var group errgroup.Group
	group.Go(func() error { return ignoreClosed(server.Serve(listener)) })
	group.Go(d.operators.Serve)
	group.Go(func() error { return d.cluster.Run(running, d.peers) })
	group.Go(func() error { d.shares.Run(running, d.peers); return nil })
	group.Go(func() error { d.tick(running); return nil })
	group.Go(func() error { clock.Watch(running); return nil })
	group.Go(func() error { d.quarantine.Run(running); return nil })
	group.Go(func() error { d.claims.Run(running); return nil })
	group.Go(func() error { d.expireKept(running); return nil })
	group.Go(func() error { d.loads.Run(running); return nil })
	group.Go(func() error { d.exchangeLoads(running); return nil })
	<-ctx.Done()
	d.drain(cut)
	shutdown, cancel := clock.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := server.Shutdown(shutdown); err != nil {
		_ = server.Close()
	}
	stop()
	d.closeListeners(shutdown)
	return group.Wait()
}

// open opens the three listeners, all or none.
func (d *Daemon) open() (net.Listener, error) {
	if err := d.openPeers(); err != nil {
		return nil, err
	}
	if err := d.openOperators(); err != nil {
		return nil, errors.Join(err, d.peers.Close())
	}
	listener, err := net.Listen("tcp", d.settings.Listen.Callers)
	if err != nil {
		err = fmt.Errorf("listen for callers: %w", err)
		return nil, errors.Join(err, d.operators.Shutdown(context.Background()), d.peers.Close())
	}
	return listener, nil
}

// closeListeners ends the sessions with fellow daemons, then the operators'
// listener, so that a waiting operator sees the end.
func (d *Daemon) closeListeners(ctx context.Context) {
	if err := d.peers.Shutdown(ctx); err != nil {
		d.log.Warn("peers cut", zap.Error(err))
	}
	if err := d.operators.Shutdown(ctx); err != nil {
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
func (d *Daemon) callerServer(handler http.Handler) *http.Server {
	limits := d.settings.Limits
	return &http.Server{
		Handler:           d.counted(handler),
		MaxHeaderBytes:    limits.MaxHeaderBytes,
		ReadHeaderTimeout: limits.ReadHeaderTimeout,
		ReadTimeout:       limits.ReadTimeout,
		IdleTimeout:       limits.IdleTimeout,
	}
}

// counted counts the requests that a handler serves, from their head to the last byte
// of their answer.
func (d *Daemon) counted(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.serving.Add(1)
		defer d.serving.Add(-1)
		handler.ServeHTTP(w, r)
	})
}

// drainPoll is how often a draining daemon looks whether it is done.
const drainPoll = 10 * time.Millisecond

func (d *Daemon) drain(cut context.Context) {
	d.draining.Store(true)
	d.cluster.Leave()
	d.log.Info("draining", zap.Int("in_flight", d.table.Len()))
	bound, cancel := clock.WithTimeout(cut, d.settings.Drain.Bound)
	defer cancel()
	poll := time.NewTicker(drainPoll)
	defer poll.Stop()
	for !d.idle() {
		select {
		case <-bound.Done():
			d.logCut()
			return
		case <-poll.C:
		}
	}
	d.log.Info("drained")
}

// idle says whether no request of a caller is in flight: none is being served, and no
// call outlives the answer of one that was.
func (d *Daemon) idle() bool { return d.serving.Load() == 0 && d.table.Len() == 0 }

// maxCutLogged bounds the requests named in the log when a drain is cut.
const maxCutLogged = 100

func (d *Daemon) logCut() {
	for _, o := range d.table.Overviews(maxCutLogged) {
		d.log.Warn("cut", logging.Request(o.ID), zap.String("pipeline", o.Pipeline), zap.String("stage", o.Stage))
	}
}

// tick ends waits that can no longer succeed.
func (d *Daemon) tick(ctx context.Context) {
	periodic.Do(ctx, tickEvery, func() {
		for _, g := range d.deps.Admitter.Tick(d.Now()) {
			d.notify(g)
		}
	})
}

// apply puts a bundle into force. Requests in flight keep theirs.
func (d *Daemon) apply(b *bundle.Bundle) {
	d.upstream.Store(newClients(b, d.upstream.Load(), d.Now))
	for _, a := range d.appliers {
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
const retryElsewhere = time.Second

// Admittable implements caller.Backend.
func (d *Daemon) CheckAdmission() *problem.Error {
	var e *problem.Error
	switch {
	case d.draining.Load():
		e = problem.New(problem.Draining, "host %s is leaving", d.settings.Host)
	case d.bundle.Load() == nil:
		e = problem.New(problem.NotReady, "no configuration is in force yet")
	case !d.cluster.Ready():
		e = problem.New(problem.NotReady, "host %s has not heard enough of its fellows yet", d.settings.Host)
	case !d.settled():
		e = problem.New(problem.NotReady, "host %s has not caught up with the claims of its fellows yet", d.settings.Host)
	default:
		return nil
	}
	e.RetryAfter = retryElsewhere
	return e
}

// The steps that this package records.
const (
	stepReceive record.Step = "receive"
	stepRefuse  record.Step = "refuse"
)

// refusedEntry says why a request was not served at all.
func refusedEntry(now time.Time, e *problem.Error) record.Entry {
	return record.Entry{At: now, Step: stepRefuse, Outcome: string(e.Kind), Fields: []record.Field{
		{Key: "execution", Value: string(e.Execution)}, {Key: "detail", Value: e.Detail},
	}}
}

// Refused implements caller.Backend. What anybody can send without an API key
// is logged and counted only: it must not push other requests' records out.
func (d *Daemon) RecordRefusal(id string, e *problem.Error) {
	d.countRefused(e)
	if e.Kind != problem.Unauthorized && e.Kind != problem.NotFound {
		d.records.GetOrCreate(id).Add(refusedEntry(d.Now(), e))
	}
	d.log.Info("refused", logging.Request(id), zap.String("kind", string(e.Kind)), zap.String("detail", e.Detail))
}
