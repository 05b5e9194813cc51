package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/wheatseam/wheatseam/internal/standin/site"
)

// Bounds that the checks apply.
const (
	// shutdownGrace is the time that the daemons have between SIGTERM and their exit.
	shutdownGrace = 4 * time.Second
	// shutdownGraceTail is the last part of shutdownGrace, in which daemons may end
	// requests that are still running.
	shutdownGraceTail = shutdownGrace / 6
	// budgetRatio and budgetSlack limit the retries of a service by all daemons together,
	// over the whole run: budgetRatio (0.2) times its requests, plus budgetSlack for every 10 s
	// of the run (at least 10 s) and once more.
	budgetSlack = 40
	budgetRatio = 0.2
	// drainBound is the time after which a draining replica gets no new work. It
	// includes a second for requests in transit and for a busy machine.
	drainBound = 3 * time.Second
	// unlistedBound is the time for which a daemon may use a replica that a restored store lacks.
	unlistedBound = 2 * time.Second
	// undisturbedMargin is how long before the event being checked a daemon must have
	// been free of faults, for the checks that hold only for undisturbed daemons.
	undisturbedMargin = 3 * time.Second
	// callDeadline is the deadline that callers set for a request.
	callDeadline = 2500 * time.Millisecond
	// shortCallDeadline is the deadline of requests under site.ShortResumablePath.
	shortCallDeadline = 1800 * time.Millisecond
)

// Config configures a run.
type Config struct {
	// Binary is the path of wheatseamd, Dir that of an empty folder for settings and
	// logs.
	Binary, Dir string
	Seed        uint64
	// Duration is how long faults are injected.
	Duration time.Duration
	// Daemons and Callers are the numbers of daemons and of concurrent callers.
	Daemons, Callers int
	// Sessions is the number of sessions to which the last parts of prompts belong; 0 if each
	// request has one of its own.
	Sessions int
	// Losses adds losses of all or several daemons during releases, and callers that keep their
	// streams longer. With an even seed there are few other faults.
	Losses bool
	// LossInterval, if not 0, is the least time between two losses of all daemons, each of which
	// comes beside a release. There are few other faults then, and callers give their requests more
	// time. It needs Losses.
	LossInterval time.Duration
	// MaxMemoryMB is the resident memory that a daemon may have, in units of 2^20 bytes; 0 for no
	// limit: the race detector needs several times as much.
	MaxMemoryMB int
}

// runner holds the state of one run.
type runner struct {
	cfg       Config
	faultRNG  *rand.Rand
	startedAt time.Time
	store     *site.Store
	ledger    *site.Ledger
	daemons   []*daemon
	server    *http.Server

	// wrapTransport, if not nil, wraps the connections of callers.
	wrapTransport func(http.RoundTripper) http.RoundTripper

	// favoured is the daemon to which most new connections go at the moment; nil for none.
	favoured atomic.Pointer[daemon]

	mu       sync.Mutex
	replicas []*site.Replica
	// drainingSince maps a replica to the time at which its entry in the store was set
	// to draining.
	drainingSince map[string]time.Time
	// crashTimes maps the cause of crashes, a content or a part of prompts, to the times at
	// which replicas crashed.
	crashTimes    map[string][]time.Time
	configVersion int
	apiKeys       []string
	// revokedAt maps an API key to the time at which it was revoked.
	revokedAt map[string]time.Time
	// evacuations are the operator's evacuation orders, oldest first.
	evacuations []evacuation
	// limits are the limits that replicas announced, oldest first.
	limits []limitPeriod
	// cuts are the periods during which daemons reached no replica, and refusalPeriods those
	// during which replicas announced how many calls they can refuse, oldest first.
	cuts           []cutPeriod
	refusalPeriods []refusalPeriod
	// leavingSince maps a replica to the time from which its answers announce that it
	// is leaving.
	leavingSince map[string]time.Time
	// addedAt maps a replica to the time at which it was added, and restores are the restores of
	// the store, oldest first.
	addedAt  map[string]time.Time
	restores []restore
	// versions are the software versions of new engines, the oldest one first, and releases is
	// the number of those that joined during the run.
	versions []string
	releases int
	// eventInterval is the interval between the events of all engines; 0 for the default.
	eventInterval time.Duration
	// losses are the losses of several daemons, in order.
	losses   []loss
	report   Report
	attempts []attempt
}

// attempt is one request of a caller and its outcome.
type attempt struct {
	call        site.Call
	response    site.CallResponse
	daemon      *daemon
	incarnation int
	startedAt   time.Time
	endedAt     time.Time
	// abandoned is set when the caller disconnected before it had an answer.
	abandoned bool
}

// beforeDeadline reports whether at is before the caller's deadline.
func (att attempt) beforeDeadline(at time.Time) bool {
	return at.Before(att.startedAt.Add(att.call.Deadline))
}

// newRunner returns a runner that has not started.
func newRunner(cfg Config) *runner {
	r := &runner{
		cfg: cfg, faultRNG: rand.New(rand.NewPCG(cfg.Seed, 1)), startedAt: time.Now(), store: site.NewStore(), ledger: site.NewLedger(),
		drainingSince: map[string]time.Time{}, crashTimes: map[string][]time.Time{}, revokedAt: map[string]time.Time{}, leavingSince: map[string]time.Time{}, addedAt: map[string]time.Time{},
		versions: slices.Clone(softwareVersions[:]), apiKeys: []string{"key-0", "key-1"},
	}
	r.report = Report{Seed: cfg.Seed, Dir: cfg.Dir, Daemons: cfg.Daemons, Duration: cfg.Duration, Sessions: cfg.Sessions, WithLosses: cfg.Losses, Streams: newStreamCounts()}
	return r
}

// Execute runs a soak and returns its report. It returns an error if the soak could not
// be run; violated guarantees are in the report.
func Execute(ctx context.Context, cfg Config) (Report, error) {
	r := newRunner(cfg)
	defer r.close()
	if err := r.start(); err != nil {
		return r.report, err
	}
	faultCtx, cancel := context.WithTimeout(ctx, cfg.Duration)
	defer cancel()
	var wg sync.WaitGroup
	for i := range cfg.Callers {
		wg.Go(func() { r.runCaller(faultCtx, i) })
	}
	r.startFaults(faultCtx, &wg)
	if r.onlyLosses() {
		<-faultCtx.Done()
	} else {
		r.injectFaults(faultCtx)
	}
	wg.Wait()
	r.checkRecovery()
	r.checkGuarantees()
	return r.report, nil
}

// startFaults starts the faults that have a schedule of their own, until ctx ends. Each has its
// own random source, so that adding one does not change the fault schedule of existing seeds.
func (r *runner) startFaults(ctx context.Context, wg *sync.WaitGroup) {
	faults := []struct {
		stream uint64
		inject func(context.Context, *rand.Rand)
		// withLosses is set for faults of runs that have losses and little else.
		withLosses bool
	}{
		{2, r.sendPoisonRequests, false},
		{3, r.suspendHosts, !r.lossesApart()},
		{4, r.pauseEngines, true},
		{5, r.evacuateDomains, false},
		{6, r.announceLimits, false},
		{7, r.announceLeaving, false},
		{8, r.requestBackoffs, false},
		{9, r.reportSlowdowns, true},
		{10, r.cutReplicas, false},
		{11, r.announceRefusalLimits, false},
		{13, r.restoreStore, !r.lossesApart()},
		{12, r.silenceReplicas, false},
		{14, r.sendPoisonPart, false},
		{15, r.skewConnections, true},
		{17, r.sendEndlessBytes, false},
	}
	wg.Go(func() { r.watchMemory(ctx) })
	if r.cfg.Losses {
		lose := r.loseDaemons
		if r.lossesApart() {
			lose = r.loseAllInIntervals
		}
		wg.Go(func() { lose(ctx, rand.New(rand.NewPCG(r.cfg.Seed, 16))) })
	}
	for _, f := range faults {
		if f.withLosses || !r.onlyLosses() {
			wg.Go(func() { f.inject(ctx, rand.New(rand.NewPCG(r.cfg.Seed, f.stream))) })
		}
	}
}

// onlyLosses reports whether the run has losses and few other faults, so that many streams are
// taken up after them: those with losses and an even seed, or with an interval between the losses.
func (r *runner) onlyLosses() bool {
	return r.cfg.Losses && (r.cfg.Seed%2 == 0 || r.lossesApart())
}

// start starts the store, the replicas and the daemons and waits until all daemons
// are ready.
func (r *runner) start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.server = &http.Server{Handler: r.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = r.server.Serve(l) }() // returns after close
	for i, service := range []string{"plain", "plain", "plain", "llm", "llm", "llm", "llm", "llm", "llm", "encode", "encode", "encode"} {
		kind := map[string]site.Kind{"plain": site.Plain, "llm": site.Engine, "encode": site.Stage}[service]
		if err := r.addReplica(fmt.Sprintf("%s%d", service, i), service, kind); err != nil {
			return err
		}
	}
	r.publishConfiguration()
	var seeds []string
	for i := range r.cfg.Daemons {
		d, err := newDaemon(fmt.Sprintf("d%d", i), r.cfg.Binary, r.cfg.Dir, l.Addr().String())
		if err != nil {
			return err
		}
		if r.cfg.Losses {
			d.failureDomain = failureDomains[i%len(failureDomains)]
		}
		r.daemons = append(r.daemons, d)
		if len(seeds) < 3 {
			seeds = append(seeds, d.peerAddress())
		}
	}
	for _, d := range r.daemons {
		if err := errors.Join(d.writeSettings(seeds), d.start()); err != nil {
			return err
		}
	}
	if r.lossesApart() {
		r.delayPeers()
	}
	return r.awaitReady(10 * time.Second)
}

var errNotReady = errors.New("soak: daemon is not ready in time")

func (r *runner) awaitReady(within time.Duration) error {
	deadline := time.Now().Add(within)
	for _, d := range r.daemons {
		for !d.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%w: %s", errNotReady, d.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

func (r *runner) addReplica(id, service string, kind site.Kind) error {
	rep, err := site.StartReplica(r.ledger, id, service, kind, "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.replicas = append(r.replicas, rep)
	rep.StartUnixMS = time.Now().UnixMilli()
	r.addedAt[id] = time.Now()
	if kind == site.Engine {
		rep.Version = r.versions[len(r.replicas)%len(r.versions)]
		rep.KeepsGenerated = true
	}
	rep.FailureDomain = failureDomains[len(r.replicas)%len(failureDomains)]
	rep.SetPoisonRequest(poisonFor(rep, rand.New(rand.NewPCG(r.cfg.Seed, uint64(1000+len(r.replicas)))), r.recordCrash)...)
	rep.OnRestart = r.registerRestarted
	rep.SlowStreams(r.eventInterval)
	r.store.Put("servers/"+id, site.StoreEntry(rep, "ready"))
	return nil
}

// publishConfiguration writes the next version of the configuration to the store.
func (r *runner) publishConfiguration() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.configVersion++
	r.store.Put("op/config", site.GatewayConfigWithTimeouts(r.configVersion, r.apiKeys, r.timeouts()))
}

// checkRecovery ends all faults and checks that every daemon serves requests again.
func (r *runner) checkRecovery() {
	r.store.SetFailure(0)
	r.store.SetDelay(0)
	r.mu.Lock()
	for _, rep := range r.replicas {
		rep.SetBehaviour(site.Behaviour{})
		rep.PauseStreams(0, 0)
	}
	r.mu.Unlock()
	for _, d := range r.daemons {
		d.storeRelay.Heal()
		d.peerRelay.Heal()
		d.signal(syscall.SIGCONT)
	}
	if err := r.awaitReady(15 * time.Second); err != nil {
		r.recordViolation("recovery: %v", err)
		return
	}
	for i, d := range r.daemons {
		ok := false
		for n := range 20 {
			c := site.Call{ID: fmt.Sprintf("recover-%d-%d", i, n), Path: site.SafePath, Key: r.newestKey(), Deadline: callDeadline}
			if site.Send(context.Background(), http.DefaultClient, d.callerAddress(), c).Status == http.StatusOK {
				ok = true
				break
			}
			time.Sleep(200 * time.Millisecond)
		}
		if !ok {
			r.recordViolation("recovery: %s serves no request within 4 s after the last fault", d.name)
		}
	}
}

// newestKey returns the API key that was added last, which is not revoked.
func (r *runner) newestKey() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.apiKeys[len(r.apiKeys)-1]
}

func (r *runner) close() {
	for _, d := range r.daemons {
		d.close()
	}
	for _, rep := range r.replicas {
		rep.Close()
	}
	if r.server != nil {
		_ = r.server.Close()
	}
}

// recordViolation adds a violated guarantee to the report.
func (r *runner) recordViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Violations = append(r.report.Violations, fmt.Sprintf(format, args...))
}
