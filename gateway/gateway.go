package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/singleflight"

	"github.com/wheatseam/wheatseam/core/holdings"
	"github.com/wheatseam/wheatseam/core/intake"
	"github.com/wheatseam/wheatseam/core/member"
	"github.com/wheatseam/wheatseam/core/reach"
	"github.com/wheatseam/wheatseam/core/retry"
	"github.com/wheatseam/wheatseam/core/route"
	"github.com/wheatseam/wheatseam/core/stage"
	"github.com/wheatseam/wheatseam/discovery"
	"github.com/wheatseam/wheatseam/fleet"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/internal/httpserver"
	"github.com/wheatseam/wheatseam/internal/periodic"
	"github.com/wheatseam/wheatseam/peer"
	"github.com/wheatseam/wheatseam/platform"
	"github.com/wheatseam/wheatseam/quarantine"
	"github.com/wheatseam/wheatseam/replica"
	"github.com/wheatseam/wheatseam/stages"
	"github.com/wheatseam/wheatseam/tunnel"
)

// Gateway is one gateway daemon.
type Gateway struct {
	settings atomic.Pointer[Settings]
	// started is when this daemon started.
	started time.Time
	// initialized is closed when New has set all fields: peers may call before that.
	initialized chan struct{}
	log         *zap.Logger
	metrics     *metrics.Set
	// The fields about the last view are used by one goroutine of the discovery at a time:
	// the view, the number of the last one that set up all pools, and the concurrency of
	// these pools.
	appliedView     *discovery.View
	viewVersion     uint64
	poolConcurrency map[string]int
	draining        atomic.Bool
	// prepareCtx ends when this daemon, which is shutting down, refuses the requests whose
	// stages are still running.
	prepareCtx    context.Context
	cancelPrepare context.CancelFunc
	inFlight      atomic.Int64

	store          *platform.Store
	router         *route.Router
	client         *replica.Client
	fleet          *fleet.Fleet
	discovery      *discovery.Discovery
	stages         *stages.Service
	retryBudgets   sync.Map // service name to *retry.SharedBudget
	inputRetention inputRetention
	streamTimes    *streamTimeEstimator
	eventCounts    *eventCountEstimator
	eventSteps     *eventSteps
	// evacuatedServices are the services that are refused; see the function of that name.
	evacuatedServices atomic.Pointer[map[string]bool]
	// coldTracker follows the cold replicas, coldCount is their number.
	coldTracker *coldReplicaTracker
	coldCount   atomic.Int64
	// runQueries merges concurrent queries to one engine for its list of runs.
	runQueries singleflight.Group

	refusals *refusalMonitor
	prompts  promptIndex
	notices  notices
	// shortages are the services that lately had no replica for a request of this host.
	shortages shortages
	// slowdowns holds how slow the machines of replicas are.
	slowdowns slowdowns
	// paths holds the ways to replicas, directly and through peers.
	paths paths
	// origins holds which software versions began streams.
	origins streamOrigins
	// promptMemory finds out which replicas keep the parts of prompts.
	promptMemory promptMemory
	// reachability holds which replicas can't be reached.
	reachability reachability
	// memory is the account of the bytes held for others.
	memory *memory
	// limiters limit the calls to each replica, across all components of this daemon that
	// make calls.
	limiters *intake.Limiters
	// quarantine keeps requests that crash replicas away from them.
	quarantine *quarantine.Service
	// maxConnections is the largest number of connections of callers.
	maxConnections int
	// callers is the server of the callers' listener; nil before Run.
	callers atomic.Pointer[httpserver.Server]
}

// New returns a gateway that listens for its peers but has not started.
func New(s *Settings, log *zap.Logger) (*Gateway, error) {
	g := &Gateway{started: clock.Now(), initialized: make(chan struct{}), log: log, metrics: metrics.NewSet(), streamTimes: newStreamTimeEstimator(), eventCounts: newEventCountEstimator(), eventSteps: newEventSteps(), refusals: newRefusalMonitor(), coldTracker: newColdReplicaTracker(), notices: notices{loans: intake.NewAnnouncedLoans()}, promptMemory: newPromptMemory(), origins: newStreamOrigins(), maxConnections: s.Limits.maxConnections()}
	g.prepareCtx, g.cancelPrepare = context.WithCancel(context.Background())
	g.settings.Store(s)
	g.limiters = intake.NewLimiters(g.recordedSince())
	g.memory = newMemory(heldBytes(s), g.metrics)
	g.evacuatedServices.Store(&map[string]bool{})
	g.router = route.New(route.Config{
		FailureDomain: s.FailureDomain, Seed: rand.Uint64(), PrefixMinLoad: prefixMinLoad, PrefixBonus: prefixBonus, BacklogWeight: backlogWeight,
		OnEjected: g.logEjection, OnSilence: g.logSilence, Limiters: g.limiters,
	})
	g.slowdowns.router = g.router
	g.reachability.router, g.reachability.table, g.reachability.avoided = g.router, reach.New(s.Host), map[string]bool{}
	mux := peer.NewMux()
	g.registerPromptHandler(mux)
	g.registerNoticeHandler(mux)
	g.registerLoanHandler(mux)
	g.registerOriginHandlers(mux)
	g.registerLookupHandler(mux)
	g.initPaths(s)
	g.paths.server.Register(mux)
	members, err := fleet.New(fleet.Config{
		Self:  fleet.Host{Host: member.Host{Name: s.Host, FailureDomain: s.FailureDomain}, Capacity: int(s.Limits.ProcessorShare * 1000)},
		Seeds: s.Seeds, FirstStart: s.FirstStart, Listen: s.Listen.Peers, Mux: mux, Logger: log,
		HeartbeatSlots: []member.SlotConfig{quarantine.HeartbeatSlot()}, OnSlotUpdate: func(h member.SlotReceived) { g.quarantine.DigestReceived(h) },
	})
	if err != nil {
		return nil, err
	}
	g.fleet = members
	g.paths.dialer = tunnel.NewDialer(tunnel.DialerConfig{
		Direct: g.paths.direct.Dial, Paths: g.paths.Paths, Streams: members.Streams(), OnReply: g.countTunnelAsked,
	})
	g.client = replica.NewClient(g.paths.dialer.Dial, g.observeResponse)
	g.quarantine = quarantine.New(quarantine.Config{
		Self: s.Host, Members: members, Replicas: g.client, Caller: members.Caller(), Mux: mux, Logger: log, OnReplicaCrash: g.countReplicaCrash, OnCrashCheck: g.countCrashCheck, OnOutage: g.countOutage,
	})
	g.stages = stages.New(stages.Config{
		Self: s.Host, Incarnation: members.Incarnation(), Replicas: g.client, Members: members, Caller: members.Caller(), Mux: mux, Logger: log,
		Plan: stage.Config{Limiters: g.limiters, FairShares: s.Stages.FairShares, MaxPieces: maxPieces(s)},
	})
	g.store = platform.NewStore(s.Store.Address)
	g.discovery = discovery.New(discovery.Config{
		Self: s.Host, Store: g.store, Members: members, Caller: members.Caller(), Mux: mux,
		Logger: log, PropagationBound: func() time.Duration { return g.settings.Load().Bounds.shortest() }, OnViewChange: g.applyView, OnNewVersions: g.recordOpenStreams,
	})
	g.memory.measure = func(a *holdings.Account) {
		a.Measured(holdings.Pieces, int64(g.stages.PieceCount())*stage.PieceBytes)
		a.Measured(holdings.Tunnels, int64(g.paths.server.Open())*tunnel.BufferBytes)
	}
	g.registerGauges()
	close(g.initialized)
	return g, nil
}

// How engines are chosen for prompts that share a prefix with others. Reading a shared
// prefix again costs money and delays other prompts, and a batch that is a third full is
// hardly slower than an empty one.
const (
	prefixMinLoad = 0.35
	prefixBonus   = 2.0
	// With backlogWeight a prompt leaves the engine that holds its prefix when it would
	// wait there for more than half a second (prefixBonus / backlogWeight); copying the
	// prefix takes about 30 ms. With prompt announcements from peers and with copies, the
	// weight raises the mean score over 48 days of load and faults from 0.712 to 0.725 and
	// cuts the shared tokens that are read again by more than half. With this host's own
	// prompts alone, the score over 24 days is 0.708 instead of 0.711.
	backlogWeight = 4.0
)

// Run serves until ctx ends and then drains within the grace period of the settings.
func (g *Gateway) Run(ctx context.Context) error {
	s := g.settings.Load()
	callers, readiness, err := g.openListeners()
	if err != nil {
		return err
	}
	g.callers.Store(callers)
	runCtx, stop := context.WithCancel(context.Background())
	defer stop()
	var group errgroup.Group
	group.Go(callers.Serve)
	group.Go(readiness.Serve)
	group.Go(func() error { g.discovery.Run(runCtx); return nil })
	group.Go(func() error { g.stages.Run(runCtx); return nil })
	group.Go(func() error { clock.Watch(runCtx); return nil })
	group.Go(func() error { g.refreshLimitsPeriodically(runCtx); return nil })
	group.Go(func() error { g.quarantine.Run(runCtx); return nil })
	group.Go(func() error { return g.fleet.Run(runCtx) })
	group.Go(func() error { g.inheritOrigins(runCtx); return nil })
	g.serveMetrics(runCtx, &group)
	if !clock.DetectsSuspension() {
		g.log.Warn("the time that this host spent suspended cannot be read; suspensions are not accounted for")
	}
	g.log.Info("started", zap.String("callers", s.Listen.Callers), zap.Int("max_connections", g.maxConnections), zap.String("store", s.Store.Address),
		zap.String("failure_domain", s.FailureDomain), zap.Strings("seeds", s.Seeds))
	<-ctx.Done()
	g.drain(callers)
	stop()
	_ = readiness.Close() // the process ends; only readiness probes are lost
	err = group.Wait()
	g.log.Info("stopped", zap.Error(err))
	return err
}

// The phases of a shutdown, as fractions of the grace period.
const (
	// acceptFraction is how long connections are still accepted: the platform stops sending
	// requests after two missed probes, one a second.
	acceptFraction = 0.36
	// refuseFraction is when requests whose stages are still running are refused: no
	// replica has received them, and their callers can go elsewhere.
	refuseFraction = 0.8
	// cutoffFraction is when requests that are still running are aborted.
	cutoffFraction = 0.87
)

// drain keeps serving until the platform sends no more connections, then waits for the
// requests in flight.
func (g *Gateway) drain(server *httpserver.Server) {
	began := clock.Now()
	grace := g.settings.Load().Drain.Grace
	g.draining.Store(true)
	g.fleet.Leave()
	g.handOverOrigins()
	g.log.Info("draining", zap.Int64("in_flight", g.inFlight.Load()), zap.Duration("grace", grace))
	refuseTimer := clock.AfterFunc(time.Duration(refuseFraction*float64(grace)), g.cancelPrepare)
	defer refuseTimer.Stop()
	periodic.Sleep(context.Background(), time.Duration(acceptFraction*float64(grace)))
	shutdownCtx, cancel := clock.WithDeadline(context.Background(), began.Add(time.Duration(cutoffFraction*float64(grace))))
	defer cancel()
	if err := server.Shutdown(shutdownCtx); err != nil {
		g.log.Warn("drain timed out; aborting requests in flight", zap.Int64("in_flight", g.inFlight.Load()), zap.Error(err))
		_ = server.Close()
		return
	}
	g.awaitTunnels(shutdownCtx)
	g.log.Info("drained")
}

// retryBudget returns this daemon's share of the fleet's retry budget for a service.
func (g *Gateway) retryBudget(service string) *retry.SharedBudget {
	hosts := max(g.fleet.KnownHostCount(), minBudgetHosts)
	b, ok := g.retryBudgets.Load(service)
	if !ok {
		s := g.settings.Load().Budget
		b, _ = g.retryBudgets.LoadOrStore(service, retry.NewSharedBudget(budgetFraction*s.Ratio, budgetFraction*s.Slack, s.Window, hosts, g.recordedSince()))
	}
	shared := b.(*retry.SharedBudget)
	shared.SetHosts(hosts, func(total int) int {
		names, complete := g.fleet.KnownHosts()
		if !complete {
			return 0
		}
		return intake.NewShares(g.settings.Load().Host, names).Calls(service, total)
	})
	return shared
}

// recordedSince returns the time since which this daemon remembers what its host has done: its
// start, or the zero time if no earlier process has run.
func (g *Gateway) recordedSince() time.Time {
	if g.settings.Load().FirstStart {
		return time.Time{}
	}
	return g.started
}

const (
	// budgetFraction is the fraction of the fleet's retry budget that is used. Daemons that
	// learn late of hosts that have left or joined divide the slack by different numbers.
	budgetFraction = 0.7
	// minBudgetHosts divides the slack while fewer daemons are known.
	minBudgetHosts = 6
)
