package gateway

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/singleflight"

	"github.com/wheatseam/wheatseam/core/intake"
	"github.com/wheatseam/wheatseam/core/member"
	"github.com/wheatseam/wheatseam/core/retry"
	"github.com/wheatseam/wheatseam/core/route"
	"github.com/wheatseam/wheatseam/core/stage"
	"github.com/wheatseam/wheatseam/discovery"
	"github.com/wheatseam/wheatseam/fleet"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/internal/periodic"
	"github.com/wheatseam/wheatseam/peer"
	"github.com/wheatseam/wheatseam/platform"
	"github.com/wheatseam/wheatseam/quarantine"
	"github.com/wheatseam/wheatseam/replica"
	"github.com/wheatseam/wheatseam/stages"
)

// Gateway is one gateway daemon.
type Gateway struct {
	settings atomic.Pointer[Settings]
	// made is closed when all parts of the gateway are there: fellows may call before.
	made     chan struct{}
	log      *zap.Logger
	metrics  *metrics.Set
	rounds   uint64 // numbers the views; used by the discovery's goroutine only
	draining atomic.Bool
	// preparing ends when requests whose stages are being made are refused,
	// since this daemon leaves.
	preparing     context.Context
	stopPreparing context.CancelFunc
	inFlight      atomic.Int64

	store   *platform.Store
	router  *route.Router
	client  *replica.Client
	fleet   *fleet.Fleet
	found   *discovery.Discovery
	stages  *stages.Service
	budgets sync.Map // service name to *retry.Shared
	inputs  inputsHold
	streams *streamTimes
	// evacuated are the services that are refused; see evacuatedServices.
	evacuated atomic.Pointer[map[string]bool]
	// cold follows the cold replicas, coldCount is their number.
	cold      *coldReplicas
	coldCount atomic.Int64
	// accounts has each engine asked once for all who want its account.
	accounts singleflight.Group

	refusals *refusals
	prompts  prompts
	notices  notices
	// gates bound the calls at replicas, whoever makes them.
	gates *intake.Limiters
	// quarantine keeps requests that crash replicas away from them.
	quarantine *quarantine.Service
}

// New returns a gateway that listens for its fellows but has not started.
func New(s *Settings, log *zap.Logger) (*Gateway, error) {
	g := &Gateway{made: make(chan struct{}), log: log, metrics: metrics.NewSet(), streams: newStreamTimes(), refusals: newRefusals(), cold: newColdReplicas(), gates: intake.NewLimiters()}
	g.client = replica.NewClient(g.hear)
	g.preparing, g.stopPreparing = context.WithCancel(context.Background())
	g.settings.Store(s)
	g.evacuated.Store(&map[string]bool{})
	g.router = route.New(route.Config{
		FailureDomain: s.FailureDomain, Seed: rand.Uint64(), PrefixMinLoad: prefixRoom, PrefixBonus: prefixBonus, BacklogWeight: backlogWeight,
		OnEjected: g.ejected, Gates: g.gates,
	})
	mux := peer.NewMux()
	g.handlePrompts(mux)
	g.handleNotices(mux)
	fellows, err := fleet.New(fleet.Config{
		Self:  fleet.Host{Host: member.Host{Name: s.Host, FailureDomain: s.FailureDomain}, Capacity: int(s.Limits.ProcessorShare * 1000)},
		Seeds: s.Seeds, Listen: s.Listen.Peers, Mux: mux, Logger: log,
		HeartbeatExtensions: []member.SlotConfig{quarantine.Extension()}, OnSlotUpdate: func(h member.SlotReceived) { g.quarantine.DigestReceived(h) },
	})
	if err != nil {
		return nil, err
	}
	g.fleet = fellows
	g.quarantine = quarantine.New(quarantine.Config{
		Self: s.Host, Members: fellows, Replicas: g.client, Caller: fellows.Caller(), Mux: mux, Logger: log, OnReplicaCrash: g.countEnd,
	})
	g.stages = stages.New(stages.Config{
		Self: s.Host, Incarnation: fellows.Incarnation(), Replicas: g.client, Members: fellows, Caller: fellows.Caller(), Mux: mux, Logger: log,
		Plan: stage.Config{Gates: g.gates},
	})
	g.store = platform.NewStore(s.Store.Address)
	g.found = discovery.New(discovery.Config{
		Self: s.Host, Store: g.store, Members: fellows, Caller: fellows.Caller(), Mux: mux,
		Logger: log, PropagationBound: func() time.Duration { return g.settings.Load().Bounds.shortest() }, OnViewChange: g.viewChanged,
	})
	g.addGauges()
	close(g.made)
	return g, nil
}

// How engines are chosen for prompts that share parts with others. Reading a
// shared part again is paid for and keeps other prompts waiting, and a batch
// that is a third full is hardly slower than an empty one.
const (
	prefixRoom  = 0.35
	prefixBonus = 2.0
	// backlogWeight has a prompt leave the engine that holds its shared parts when
	// it would wait half a second there (prefixBonus / backlogWeight): copying the
	// parts takes some 30 ms. With what fellows tell and with copies, mean worth
	// of 48 days of load and trouble rose from 0.712 to 0.725, and the shared
	// tokens that are read again fell by more than half; by own prompts alone,
	// 0.708 for 0.711 on 24 days.
	backlogWeight = 4.0
)

// Run serves until ctx ends and then drains within the grace of the settings.
func (g *Gateway) Run(ctx context.Context) error {
	s := g.settings.Load()
	callers, err := net.Listen("tcp", s.Listen.Callers)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	readiness, err := net.Listen("tcp", s.Listen.Readiness)
	if err != nil {
		return errors.Join(fmt.Errorf("listen for readiness: %w", err), callers.Close())
	}
	running, stop := context.WithCancel(context.Background())
	defer stop()
	server := g.callerServer()
	probes := &http.Server{Handler: g.readinessHandler(), ReadHeaderTimeout: readHeaderTimeout}
	var group errgroup.Group
	group.Go(func() error { return ignoreClosed(server.Serve(callers)) })
	group.Go(func() error { return ignoreClosed(probes.Serve(readiness)) })
	group.Go(func() error { g.found.Run(running); return nil })
	group.Go(func() error { g.stages.Run(running); return nil })
	group.Go(func() error { clock.Watch(running); return nil })
	group.Go(func() error { g.keepBounds(running); return nil })
	group.Go(func() error { g.quarantine.Run(running); return nil })
	group.Go(func() error { return g.fleet.Run(running) })
	g.serveMetrics(running, &group)
	if !clock.CountsSleep() {
		g.log.Warn("this host does not tell for how long it slept; sleeps are not counted")
	}
	g.log.Info("started", zap.String("callers", s.Listen.Callers), zap.String("store", s.Store.Address),
		zap.String("failure_domain", s.FailureDomain), zap.Strings("seeds", s.Seeds))
	<-ctx.Done()
	g.drain(server)
	stop()
	_ = probes.Close() // ends the process; nothing is lost
	err = group.Wait()
	g.log.Info("stopped", zap.Error(err))
	return err
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// viewChanged passes a view on to what decides by it.
func (g *Gateway) viewChanged(v *discovery.View) {
	if !v.Ready() {
		return
	}
	g.rounds++
	g.forgetRefusals(v)
	g.replicasListed(v.Replicas)
	evacuated := evacuatedServices(v)
	g.evacuated.Store(&evacuated)
	g.limitCold(v)
	g.router.Apply(pools(v, g.rounds, g.settings.Load().Regions))
	g.stages.Configure(v.Config.Services, stageReplicas(v))
}

// The caller's side of net/http.
const (
	// readHeaderTimeout bounds the headers of a request. The operator's limit
	// is 3 s; a caller that is slower than this one is not served.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout bounds idle connections. It is over any limit of the
	// configuration, of which callers use four fifths at most.
	idleTimeout = 5 * time.Minute
	// maxHeaderBytes is over the limit of the configuration, 16 KiB.
	maxHeaderBytes = 64 << 10
)

func (g *Gateway) callerServer() *http.Server {
	return &http.Server{
		Handler: http.HandlerFunc(g.serve), ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: zap.NewStdLog(g.log.Named("http")),
	}
}

func (g *Gateway) readinessHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if g.draining.Load() || !g.found.View().Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// The way out, as shares of the grace.
const (
	// acceptShare is how long connections are accepted: the platform needs two
	// missed probes, one a second, to send no more.
	acceptShare = 0.36
	// refuseShare is when requests whose stages are still being made are refused:
	// no replica has them, and their callers can go elsewhere.
	refuseShare = 0.8
	// finishShare is when requests still running are cut.
	finishShare = 0.87
)

// drain serves on until the platform sends no more connections, then waits for
// the requests in flight.
func (g *Gateway) drain(server *http.Server) {
	began := clock.Now()
	grace := g.settings.Load().Drain.Grace
	g.draining.Store(true)
	g.fleet.Leave()
	g.log.Info("draining", zap.Int64("in_flight", g.inFlight.Load()), zap.Duration("grace", grace))
	refuse := clock.AfterFunc(time.Duration(refuseShare*float64(grace)), g.stopPreparing)
	defer refuse.Stop()
	periodic.Sleep(context.Background(), time.Duration(acceptShare*float64(grace)))
	bound, cancel := clock.WithDeadline(context.Background(), began.Add(time.Duration(finishShare*float64(grace))))
	defer cancel()
	if err := server.Shutdown(bound); err != nil {
		g.log.Warn("requests cut", zap.Int64("in_flight", g.inFlight.Load()), zap.Error(err))
		_ = server.Close()
		return
	}
	g.log.Info("drained")
}

// budget returns this daemon's part of the budget of repeats to a service.
func (g *Gateway) budget(service string) *retry.SharedBudget {
	hosts := max(g.fleet.KnownHostCount(), assumedHosts)
	if b, ok := g.budgets.Load(service); ok {
		shared := b.(*retry.SharedBudget)
		shared.SetHosts(hosts)
		return shared
	}
	s := g.settings.Load().Budget
	b, _ := g.budgets.LoadOrStore(service, retry.NewSharedBudget(budgetShare*s.Ratio, budgetShare*s.Slack, s.Window, hosts))
	return b.(*retry.SharedBudget)
}

const (
	// budgetShare is the part of the fleet's budget of repeats that is used:
	// daemons that restart begin with a full part.
	budgetShare = 0.7
	// assumedHosts divides the slack while fewer daemons are known.
	assumedHosts = 6
)
