package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/wheatseam/wheatseam/internal/standin/site"
)

// The figures of a soak.
const (
	// grace is the daemons' time from SIGTERM to their end.
	grace = 4 * time.Second
	// lastOfGrace is the part of it at whose beginning they may end what still runs.
	lastOfGrace = grace / 6
	// budgetSlack and the ratio of 0.2 bound repeats in 10 s over all daemons.
	budgetSlack = 40
	budgetRatio = 0.2
	// drainBound is when a draining replica gets no new work any more, with a
	// second for requests on the way and for a busy machine.
	drainBound = 3 * time.Second
	// settle is how long a daemon must have been undisturbed for the checks
	// that hold for undisturbed ones.
	settle = 3 * time.Second
	// callDeadline is what callers give a request.
	callDeadline = 2500 * time.Millisecond
)

// Config is what a run needs.
type Config struct {
	// Binary is wheatseamd, Dir an empty folder for settings and logs.
	Binary, Dir string
	Seed        uint64
	// Duration is how long faults are injected.
	Duration time.Duration
	// Daemons and Callers are their numbers.
	Daemons, Callers int
}

// Run is one soak.
type Run struct {
	cfg     Config
	rng     *rand.Rand
	began   time.Time
	store   *site.Store
	ledger  *site.Ledger
	daemons []*daemon
	server  *http.Server

	mu       sync.Mutex
	replicas []*site.Replica
	// draining maps replicas to when they said so.
	draining map[string]time.Time
	// crashed maps culprits to when replicas crashed under them.
	crashed map[string][]time.Time
	version int
	keys    []string
	// revoked maps keys to when they were taken away.
	revoked map[string]time.Time
	// evacuations are the operator's orders, in their order.
	evacuations []evacuation
	// limits are those that replicas named, in their order.
	limits []limitSpell
	// leavers maps replicas to when they first said in their answers that they leave.
	leavers map[string]time.Time
	report  Report
	calls   []done
}

// done is one attempt of a caller and what came of it.
type done struct {
	call   site.Call
	heard  site.CallResponse
	daemon *daemon
	life   int
	began  time.Time
	ended  time.Time
	// left says that the caller gave up first.
	left bool
}

// inTime says whether a moment is before the caller's deadline.
func (x done) inTime(at time.Time) bool { return at.Before(x.began.Add(callDeadline)) }

// Do plays a soak and returns its report. The error says that it could not be
// played.
func Do(ctx context.Context, cfg Config) (Report, error) {
	r := &Run{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 1)), began: time.Now(), store: site.NewStore(), ledger: site.NewLedger(),
		draining: map[string]time.Time{}, crashed: map[string][]time.Time{}, revoked: map[string]time.Time{}, leavers: map[string]time.Time{}, keys: []string{"key-0", "key-1"},
	}
	r.report = Report{Seed: cfg.Seed, Dir: cfg.Dir, Daemons: cfg.Daemons, Duration: cfg.Duration}
	defer r.close()
	if err := r.start(); err != nil {
		return r.report, err
	}
	playing, cancel := context.WithTimeout(ctx, cfg.Duration)
	defer cancel()
	var wg sync.WaitGroup
	for i := range cfg.Callers {
		rng := rand.New(rand.NewPCG(cfg.Seed, uint64(100+i)))
		wg.Go(func() { r.caller(playing, rng, i) })
	}
	// Sources of randomness of their own: the faults of a seed stay what they were.
	wg.Go(func() { r.sendCulprits(playing, rand.New(rand.NewPCG(cfg.Seed, 2))) })
	wg.Go(func() { r.suspendHosts(playing, rand.New(rand.NewPCG(cfg.Seed, 3))) })
	wg.Go(func() { r.pauseEngines(playing, rand.New(rand.NewPCG(cfg.Seed, 4))) })
	wg.Go(func() { r.evacuateDomains(playing, rand.New(rand.NewPCG(cfg.Seed, 5))) })
	wg.Go(func() { r.nameLimits(playing, rand.New(rand.NewPCG(cfg.Seed, 6))) })
	wg.Go(func() { r.leaveUnregistered(playing, rand.New(rand.NewPCG(cfg.Seed, 7))) })
	wg.Go(func() { r.askForRest(playing, rand.New(rand.NewPCG(cfg.Seed, 8))) })
	r.inject(playing)
	wg.Wait()
	r.recover()
	r.check()
	return r.report, nil
}

// start starts store, replicas and daemons and waits until all take requests.
func (r *Run) start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.server = &http.Server{Handler: r.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = r.server.Serve(l) }() // ends with close
	for i, service := range []string{"plain", "plain", "plain", "llm", "llm", "llm", "encode", "encode", "encode"} {
		kind := map[string]site.Kind{"plain": site.Plain, "llm": site.Engine, "encode": site.Stage}[service]
		if err := r.addReplica(fmt.Sprintf("%s%d", service, i), service, kind); err != nil {
			return err
		}
	}
	r.configure()
	var seeds []string
	for i := range r.cfg.Daemons {
		d, err := newDaemon(fmt.Sprintf("d%d", i), r.cfg.Binary, r.cfg.Dir, l.Addr().String())
		if err != nil {
			return err
		}
		r.daemons = append(r.daemons, d)
		if len(seeds) < 3 {
			seeds = append(seeds, d.host())
		}
	}
	for _, d := range r.daemons {
		if err := errors.Join(d.writeSettings(seeds), d.start()); err != nil {
			return err
		}
	}
	return r.awaitReady(10 * time.Second)
}

var errNotReady = errors.New("soak: daemons do not become ready")

func (r *Run) awaitReady(within time.Duration) error {
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

func (r *Run) addReplica(id, service string, kind site.Kind) error {
	rep, err := site.StartReplica(r.ledger, id, service, kind, "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.replicas = append(r.replicas, rep)
	rep.StartUnixMS = time.Now().UnixMilli()
	rep.FailureDomain = domains[len(r.replicas)%len(domains)]
	rep.SetPoisonRequest(poison(rep, rand.New(rand.NewPCG(r.cfg.Seed, uint64(1000+len(r.replicas)))), r.noteCrash))
	rep.OnRestart = r.returned
	r.store.Put("servers/"+id, site.StoreEntry(rep, "ready"))
	return nil
}

// configure puts the next version of the configuration in the store.
func (r *Run) configure() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version++
	r.store.Put("op/config", site.GatewayConfig(r.version, r.keys))
}

// recover ends all faults and holds the daemons to serving again.
func (r *Run) recover() {
	r.store.SetFailure(0)
	r.store.SetDelay(0)
	r.mu.Lock()
	for _, rep := range r.replicas {
		rep.SetBehaviour(site.Behaviour{})
		rep.PauseStreams(0, 0)
	}
	r.mu.Unlock()
	for _, d := range r.daemons {
		d.store.Heal()
		d.peers.Heal()
		d.signal(syscall.SIGCONT)
	}
	if err := r.awaitReady(15 * time.Second); err != nil {
		r.violate("recovery: %v", err)
		return
	}
	for i, d := range r.daemons {
		ok := false
		for n := range 20 {
			c := site.Call{ID: fmt.Sprintf("recover-%d-%d", i, n), Path: site.SafePath, Key: r.goodKey(), Deadline: callDeadline}
			if site.Send(context.Background(), http.DefaultClient, d.callers(), c).Status == http.StatusOK {
				ok = true
				break
			}
			time.Sleep(200 * time.Millisecond)
		}
		if !ok {
			r.violate("recovery: %s serves nothing 4 s after the last fault", d.name)
		}
	}
}

// goodKey returns a key that is in force.
func (r *Run) goodKey() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.keys[len(r.keys)-1]
}

func (r *Run) close() {
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

// violate notes a broken promise.
func (r *Run) violate(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Violations = append(r.report.Violations, fmt.Sprintf(format, args...))
}
