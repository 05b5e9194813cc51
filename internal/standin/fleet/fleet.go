// Package fleet serves fakes of all upstreams of a bundle in one process. Each
// upstream has its own listener. All share a ledger and a control listener:
//
//	GET, DELETE /control/ledger
//	GET, POST /control/faults?upstream=NAME   the faults of one upstream
//	GET /control/upstreams                    names, pools and addresses
//
// The replicas of a service pool share their store of idempotency keys.
package fleet

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/internal/standin"
	"github.com/wheatseam/wheatseam/internal/standin/engine"
	"github.com/wheatseam/wheatseam/internal/standin/ledger"
	"github.com/wheatseam/wheatseam/internal/standin/service"
)

// Config configures a Fleet. Names, pools, models, slots and the features that
// replicas support come from the bundle, all other values from Engine and Service.
type Config struct {
	Bundle  *bundle.Bundle
	Engine  engine.Config
	Service service.Config
	// Medians maps pools to their median service time. For other pools it is
	// the mean of the expected durations of the stages that use the pool.
	Medians map[string]time.Duration
}

// replica is a running fake.
type replica interface {
	http.Handler
	Close()
	Faults() *standin.Injector
}

// Upstream is a replica of a Fleet.
type Upstream struct {
	Name    string `json:"name"`
	Pool    string `json:"pool"`
	Address string `json:"address"`
	replica replica
}

// Fleet runs all replicas of a bundle. It is safe for concurrent use.
type Fleet struct {
	ledger *ledger.Ledger
	byName map[string]replica
	mux    *http.ServeMux

	mu        sync.Mutex
	upstreams []Upstream
}

// New returns a Fleet whose replicas are running but do not listen yet.
func New(cfg Config) *Fleet {
	f := &Fleet{
		ledger: ledger.New(0),
		byName: map[string]replica{},
		mux:    http.NewServeMux(),
	}
	for _, p := range cfg.Bundle.Pools {
		keys := service.NewKeyStore(0)
		for _, u := range p.Upstreams {
			seed := cfg.Engine.Seed + uint64(len(f.upstreams))
			f.add(p.Name, u, f.newReplica(cfg, p, u, keys, seed))
		}
	}
	f.mux.Handle("/control/ledger", f.ledger)
	f.mux.HandleFunc("/control/faults", f.faults)
	f.mux.HandleFunc("GET /control/upstreams", f.listUpstreams)
	return f
}

func (f *Fleet) add(pool string, u bundle.Upstream, r replica) {
	f.upstreams = append(f.upstreams, Upstream{Name: u.Name, Pool: pool, Address: u.Address, replica: r})
	f.byName[u.Name] = r
}

func (f *Fleet) newReplica(cfg Config, p bundle.Pool, u bundle.Upstream, keys *service.KeyStore, seed uint64) replica {
	if p.Kind == bundle.PoolEngine {
		e := cfg.Engine
		e.Name, e.Model, e.Version, e.Role, e.Adapters = u.Name, p.Model, p.Version, p.Role, p.Adapters
		e.Slots = p.Concurrency
		e.Priority = p.Supports.Priority
		e.NoCancellation = !p.Supports.Cancellation
		e.Seed, e.Ledger = seed, f.ledger
		return engine.New(e)
	}
	s := cfg.Service
	s.Name = u.Name
	s.Slots = p.Concurrency
	s.Cancellation = p.Supports.Cancellation
	s.Deduplicate = p.Supports.IdempotencyKeys
	s.NoStatusLookup = !p.Supports.StatusLookup
	s.Seed, s.Ledger, s.Keys = seed, f.ledger, keys
	if m := medianServiceTime(cfg, p.Name); m > 0 {
		s.Median = m
	}
	return service.New(s)
}

// medianServiceTime returns the median service time of a pool, or 0 if it is
// neither configured nor used by a stage.
func medianServiceTime(cfg Config, pool string) time.Duration {
	if m, ok := cfg.Medians[pool]; ok {
		return m
	}
	var sum time.Duration
	n := 0
	for _, p := range cfg.Bundle.Pipelines {
		for _, s := range p.Stages {
			if s.Pool == pool {
				sum += s.Expected
				n++
			}
		}
	}
	if n == 0 {
		return 0
	}
	return sum / time.Duration(n)
}

// ServeHTTP serves the control endpoints.
func (f *Fleet) ServeHTTP(w http.ResponseWriter, r *http.Request) { f.mux.ServeHTTP(w, r) }

// Close closes all replicas.
func (f *Fleet) Close() {
	for _, u := range f.Upstreams() {
		u.replica.Close()
	}
}

// Ledger returns the ledger shared by all replicas.
func (f *Fleet) Ledger() *ledger.Ledger { return f.ledger }

// Upstreams returns all replicas with their addresses.
func (f *Fleet) Upstreams() []Upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.upstreams)
}

// Handler returns the replica of an upstream, or nil if there is none.
func (f *Fleet) Handler(name string) http.Handler { return f.byName[name] }

// Faults returns the fault injector of an upstream, or nil if there is none.
func (f *Fleet) Faults(name string) *standin.Injector {
	r, ok := f.byName[name]
	if !ok {
		return nil
	}
	return r.Faults()
}

// Serve listens on the addresses of all upstreams and on the address control, and
// serves until ctx is cancelled. For each listener it prints a line to out, in the
// order of the bundle with the control listener last. When the last line is printed,
// all listeners are open. Serve must be called at most once.
func (f *Fleet) Serve(ctx context.Context, control string, out io.Writer) error {
	listeners, err := f.listen(control, out)
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	for i, u := range f.Upstreams() {
		group.Go(func() error { return standin.Serve(ctx, listeners[i], u.replica) })
	}
	group.Go(func() error { return standin.Serve(ctx, listeners[len(listeners)-1], f) })
	return group.Wait()
}

// listen opens all listeners, the control listener last, and records the addresses
// of the upstreams.
func (f *Fleet) listen(control string, out io.Writer) ([]net.Listener, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var listeners []net.Listener
	for i, u := range f.upstreams {
		l, err := standin.Listen(u.Address, out)
		if err != nil {
			closeListeners(listeners)
			return nil, fmt.Errorf("upstream %s: %w", u.Name, err)
		}
		listeners = append(listeners, l)
		f.upstreams[i].Address = l.Addr().String()
	}
	l, err := standin.Listen(control, out)
	if err != nil {
		closeListeners(listeners)
		return nil, fmt.Errorf("control listener: %w", err)
	}
	return append(listeners, l), nil
}

func closeListeners(listeners []net.Listener) {
	for _, l := range listeners {
		_ = l.Close()
	}
}

func (f *Fleet) faults(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get("upstream")
	i := f.Faults(name)
	if i == nil {
		var names []string
		for _, u := range f.Upstreams() {
			names = append(names, u.Name)
		}
		standin.WriteJSON(w, http.StatusNotFound, standin.ErrorBody{
			Error: fmt.Sprintf("no upstream %q; there are %s", name, strings.Join(names, ", ")),
		})
		return
	}
	i.ServeHTTP(w, r)
}

func (f *Fleet) listUpstreams(w http.ResponseWriter, _ *http.Request) {
	standin.WriteJSON(w, http.StatusOK, f.Upstreams())
}
