package engine

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/wheatseam/wheatseam/internal/standin"
)

// maxOrders bounds the orders that a State lists, and those that wait.
const maxOrders = 256

// errTooManyOrders refuses an order while too many wait.
var errTooManyOrders = errors.New("too many orders wait")

// errStaleFence refuses an order with an old fencing number.
var errStaleFence = errors.New("stale fence")

// errUnknownOrder refuses an order of no known kind.
var errUnknownOrder = errors.New("unknown kind of order")

// OrderKind says what an order asks for.
type OrderKind string

// The order kinds.
const (
	OrderLoadModel   OrderKind = "load_model"
	OrderUnloadModel OrderKind = "unload_model"
	OrderLoadAdapter OrderKind = "load_adapter"
	OrderSetRole     OrderKind = "set_role"
)

// Order is the body of POST /v1/orders.
type Order struct {
	OrderID string    `json:"order_id"`
	Fence   uint64    `json:"fence"`
	Kind    OrderKind `json:"kind"`
	Model   string    `json:"model,omitempty"`
	Version string    `json:"version,omitempty"`
	Adapter string    `json:"adapter,omitempty"`
	Role    string    `json:"role,omitempty"`
}

// OrderState says how far an order came.
type OrderState string

// The order states.
const (
	OrderRunning OrderState = "running"
	OrderDone    OrderState = "done"
	OrderFailed  OrderState = "failed"
)

// OrderRecord is one order that the engine took.
type OrderRecord struct {
	Order
	State OrderState `json:"state"`
}

// State is the answer to GET /v1/state and to an accepted order.
type State struct {
	Fence    uint64   `json:"fence"`
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
	Role     string   `json:"role"`
	// Orders are the newest orders taken, oldest first.
	Orders []OrderRecord `json:"orders"`
}

// orderBook takes orders and carries them out one after the other, in one
// goroutine.
type orderBook struct {
	ctx    context.Context
	cfg    Config
	client *http.Client
	todo   chan Order
	done   chan struct{}

	mu    sync.Mutex
	state State
	// any says that the engine serves whatever model is asked for.
	any bool
}

func newOrderBook(ctx context.Context, cfg Config) *orderBook {
	b := &orderBook{
		ctx:    ctx,
		cfg:    cfg,
		client: &http.Client{},
		todo:   make(chan Order, maxOrders),
		done:   make(chan struct{}),
		any:    cfg.Model == "",
		state: State{
			Model:    cfg.Model,
			Version:  cfg.Version,
			Adapters: slices.Clone(cfg.Adapters),
			Role:     cfg.Role,
		},
	}
	go b.work()
	return b
}

// serves says whether requests for model, or for an adapter, can be served.
func (b *orderBook) serves(model string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.any || model == "" || model == b.state.Model || slices.Contains(b.state.Adapters, model)
}

// take accepts o and begins to carry it out. A repeated order id changes
// nothing.
func (b *orderBook) take(o Order) (State, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !slices.Contains([]OrderKind{OrderLoadModel, OrderUnloadModel, OrderLoadAdapter, OrderSetRole}, o.Kind) {
		return b.snapshot(), fmt.Errorf("%q: %w", o.Kind, errUnknownOrder)
	}
	if b.cfg.CheckFence && o.Fence < b.state.Fence {
		return b.snapshot(), fmt.Errorf("order %d, highest seen %d: %w", o.Fence, b.state.Fence, errStaleFence)
	}
	if b.find(o.OrderID) >= 0 {
		return b.snapshot(), nil
	}
	select {
	case b.todo <- o:
	default:
		return b.snapshot(), errTooManyOrders
	}
	b.state.Fence = max(b.state.Fence, o.Fence)
	if len(b.state.Orders) >= maxOrders {
		b.state.Orders = slices.Delete(b.state.Orders, 0, 1)
	}
	b.state.Orders = append(b.state.Orders, OrderRecord{Order: o, State: OrderRunning})
	return b.snapshot(), nil
}

func (b *orderBook) find(id string) int {
	return slices.IndexFunc(b.state.Orders, func(r OrderRecord) bool { return r.OrderID == id })
}

// snapshot copies the state; the caller holds mu.
func (b *orderBook) snapshot() State {
	s := b.state
	s.Adapters = append([]string{}, s.Adapters...)
	s.Orders = append([]OrderRecord{}, s.Orders...)
	return s
}

func (b *orderBook) read() State {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.snapshot()
}

func (b *orderBook) wait() {
	<-b.done
	b.client.CloseIdleConnections()
}

// work carries out the orders in the order they were taken.
func (b *orderBook) work() {
	defer close(b.done)
	for {
		select {
		case o := <-b.todo:
			b.carryOut(o)
		case <-b.ctx.Done():
			return
		}
	}
}

// carryOut loads what an order needs and applies it.
func (b *orderBook) carryOut(o Order) {
	err := b.prepare(o)
	b.mu.Lock()
	defer b.mu.Unlock()
	outcome := OrderDone
	if err != nil {
		outcome = OrderFailed
	} else {
		b.apply(o)
	}
	if i := b.find(o.OrderID); i >= 0 {
		b.state.Orders[i].State = outcome
	}
}

func (b *orderBook) prepare(o Order) error {
	switch o.Kind {
	case OrderLoadModel:
		if err := b.fetch(o.Model); err != nil {
			return err
		}
	case OrderLoadAdapter:
		if err := b.fetch(o.Adapter); err != nil {
			return err
		}
	default:
		return nil
	}
	if !standin.Sleep(b.ctx, time.Duration(float64(b.cfg.LoadTime)*b.cfg.TimeScale)) {
		return b.ctx.Err()
	}
	return nil
}

// fetch reads weights from the platform's store.
func (b *orderBook) fetch(name string) error {
	if b.cfg.WeightStore == "" {
		return nil
	}
	address := "http://" + b.cfg.WeightStore + "/v1/weights/" + url.PathEscape(name)
	req, err := http.NewRequestWithContext(b.ctx, http.MethodGet, address, nil)
	if err != nil {
		return fmt.Errorf("weights of %s: %w", name, err)
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return fmt.Errorf("weights of %s: %w", name, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("weights of %s: status %d", name, resp.StatusCode)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return fmt.Errorf("weights of %s: %w", name, err)
	}
	return nil
}

// apply puts a prepared order into force; the caller holds mu.
func (b *orderBook) apply(o Order) {
	switch o.Kind {
	case OrderLoadModel:
		b.any = false
		b.state.Model, b.state.Version = o.Model, o.Version
	case OrderUnloadModel:
		b.any = false
		b.state.Model, b.state.Version = "", ""
	case OrderLoadAdapter:
		if !slices.Contains(b.state.Adapters, o.Adapter) {
			b.state.Adapters = append(b.state.Adapters, o.Adapter)
		}
	case OrderSetRole:
		b.state.Role = o.Role
	}
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	if !e.faults.Gate(w, r) {
		return
	}
	var o Order
	if err := standin.ReadJSON(w, r, &o); err != nil {
		standin.Refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	state, err := e.orders.take(o)
	switch {
	case errors.Is(err, errStaleFence):
		standin.Refuse(w, http.StatusConflict, err.Error())
	case errors.Is(err, errTooManyOrders):
		standin.Refuse(w, http.StatusTooManyRequests, err.Error())
	case err != nil:
		standin.Refuse(w, http.StatusBadRequest, err.Error())
	default:
		standin.WriteJSON(w, http.StatusOK, state)
	}
}

func (e *Engine) state(w http.ResponseWriter, r *http.Request) {
	if e.faults.Gate(w, r) {
		standin.WriteJSON(w, http.StatusOK, e.orders.read())
	}
}
