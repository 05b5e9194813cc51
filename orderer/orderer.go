// Package orderer gives engines the orders that core/orders works out, and
// reads back what they did.
package orderer

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/core/orders"
	"github.com/wheatseam/wheatseam/engine"
	"github.com/wheatseam/wheatseam/internal/periodic"
)

const (
	// lookEvery is how often the planner is asked what is due.
	lookEvery = 250 * time.Millisecond
	// engineTimeout bounds one exchange with an engine.
	engineTimeout = 2 * time.Second
	// maxAtOnce bounds the engines that are talked to at the same time.
	maxAtOnce = 8
)

// Engines talks to engines.
type Engines interface {
	State(ctx context.Context, address string) (orders.State, error)
	Order(ctx context.Context, address string, o orders.Order) (orders.State, error)
}

// Config configures an Orderer.
type Config struct {
	Host    string
	Engines Engines
	// Living returns the hosts that are believed to live.
	Living func() map[string]bool
	Now    func() time.Time
	Log    *zap.Logger
}

// Orderer gives orders. It is safe for concurrent use.
type Orderer struct {
	cfg Config

	mu      sync.Mutex
	planner *orders.Planner
	// engines holds what each engine said last.
	engines map[string]Engine
}

// Engine is what an engine said last, for the operators' dump.
type Engine struct {
	Upstream string       `json:"upstream"`
	At       time.Time    `json:"at"`
	State    orders.State `json:"state"`
	Error    string       `json:"error,omitempty"`
}

// New returns an orderer that does nothing until Apply and Run.
func New(cfg Config) *Orderer {
	return &Orderer{cfg: cfg, planner: orders.NewPlanner(cfg.Host), engines: make(map[string]Engine)}
}

// Apply puts a bundle into force.
func (o *Orderer) Apply(b *bundle.Bundle) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.planner.Apply(b)
	clear(o.engines)
}

// Run works until ctx ends.
func (o *Orderer) Run(ctx context.Context) {
	periodic.Do(ctx, lookEvery, func() { o.look(ctx) })
}

func (o *Orderer) look(ctx context.Context) {
	living := o.cfg.Living()
	o.mu.Lock()
	due := o.planner.Due(o.cfg.Now(), func(host string) bool { return living[host] })
	o.mu.Unlock()
	var group errgroup.Group
	group.SetLimit(maxAtOnce)
	for _, t := range due {
		group.Go(func() error {
			o.attend(ctx, t)
			return nil
		})
	}
	_ = group.Wait()
}

// attend asks one engine and gives it the order that it needs.
func (o *Orderer) attend(ctx context.Context, t orders.Target) {
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	state, err := o.cfg.Engines.State(ctx, t.Upstream.Address)
	o.note(t, state, err)
	if err != nil {
		return
	}
	o.mu.Lock()
	order, ok := o.planner.Decide(o.cfg.Now(), t, state)
	o.mu.Unlock()
	if !ok {
		return
	}
	state, err = o.cfg.Engines.Order(ctx, t.Upstream.Address, order)
	fields := []zap.Field{
		zap.String("upstream", t.Upstream.Name), zap.String("order", order.ID),
		zap.String("order_kind", string(order.Kind)), zap.Uint64("fence", order.Fence),
	}
	switch {
	case errors.Is(err, engine.ErrStaleFence):
		o.cfg.Log.Warn("order refused: a later bundle has ordered", fields...)
	case err != nil:
		o.cfg.Log.Warn("order not taken", append(fields, zap.Error(err))...)
	default:
		o.cfg.Log.Info("order taken", fields...)
		o.note(t, state, nil)
	}
}

func (o *Orderer) note(t orders.Target, s orders.State, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	e := Engine{Upstream: t.Upstream.Name, At: o.cfg.Now(), State: s}
	if err != nil {
		e.Error = err.Error()
	}
	o.engines[t.Upstream.Name] = e
}

// Dump returns what the engines that this host orders said last.
func (o *Orderer) Dump() []Engine {
	o.mu.Lock()
	defer o.mu.Unlock()
	all := make([]Engine, 0, len(o.engines))
	for _, e := range o.engines {
		all = append(all, e)
	}
	return all
}
