// Package orders works out which orders engines need so that they serve what
// the bundle says: models, versions, adapters and roles.
//
// Next is a pure function of the bundle and of what an engine says of itself:
// two daemons that order in a partition give the same order with the same id,
// never conflicting ones. The fencing number of an order is the bundle's
// version, so that an engine which checks it refuses an order of an older
// bundle that comes late. An engine that does not check gets only orders that
// are harmless when they come late or twice: an adapter more. Loading another
// model there would let a late order bring an old version back.
//
// Planner says which of its orders a daemon sends now: each engine is ordered
// by the first living host of its rendezvous order, and loads are paced so that
// all hosts together keep the weight store's limit without a shared counter.
//
// Nothing here does I/O or reads a clock. A Planner is not safe for concurrent
// use.
package orders

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/wheatseam/wheatseam/bundle"
)

// Kind says what an order asks for.
type Kind string

// The order kinds that are sent.
const (
	LoadModel   Kind = "load_model"
	LoadAdapter Kind = "load_adapter"
	SetRole     Kind = "set_role"
)

// Order is one order to an engine.
type Order struct {
	// ID is the same for the same need of the same engine, whoever orders.
	ID      string `json:"order_id"`
	Fence   uint64 `json:"fence"`
	Kind    Kind   `json:"kind"`
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
}

// Fetches reports whether the order reads from the weight store.
func (o Order) Fetches() bool { return o.Kind == LoadModel || o.Kind == LoadAdapter }

// Progress says how far an order came.
type Progress string

// The progress of an order.
const (
	ProgressRunning Progress = "running"
	ProgressDone    Progress = "done"
	ProgressFailed  Progress = "failed"
)

// Taken is an order that an engine says it took.
type Taken struct {
	Order
	State Progress `json:"state"`
}

// State is what an engine says of itself.
type State struct {
	Fence    uint64   `json:"fence"`
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
	Role     string   `json:"role"`
	Orders   []Taken  `json:"orders"`
}

// maxFailures is how often an order is given again after it failed.
const maxFailures = 5

// Next returns the one order that upstream needs next, and false when it needs
// none, still works on one, or may not get the one it needs.
func Next(version uint64, p bundle.Pool, upstream string, s State) (Order, bool) {
	if slices.ContainsFunc(s.Orders, func(t Taken) bool { return t.State == ProgressRunning }) {
		return Order{}, false
	}
	o, needed := need(p, s)
	if !needed {
		return Order{}, false
	}
	if !p.Supports.Fencing && o.Kind != LoadAdapter {
		return Order{}, false
	}
	failures := failuresOf(o, version, s)
	if failures >= maxFailures {
		return Order{}, false
	}
	o.Fence = version
	o.ID = identity(o, upstream, failures)
	return o, true
}

// need is the first difference between what the pool wants and the engine has.
func need(p bundle.Pool, s State) (Order, bool) {
	if p.Model != "" && (s.Model != p.Model || p.Version != "" && s.Version != p.Version) {
		return Order{Kind: LoadModel, Model: p.Model, Version: p.Version}, true
	}
	if p.Role != "" && s.Role != p.Role {
		return Order{Kind: SetRole, Role: p.Role}, true
	}
	for _, a := range p.Adapters {
		if !slices.Contains(s.Adapters, a) {
			return Order{Kind: LoadAdapter, Model: p.Model, Adapter: a}, true
		}
	}
	return Order{}, false
}

// failuresOf counts how often the engine failed at the order under the same
// bundle; the count makes the next try a new order.
func failuresOf(o Order, version uint64, s State) int {
	n := 0
	for _, t := range s.Orders {
		o.ID, o.Fence = t.ID, version
		if t.State == ProgressFailed && t.Order == o {
			n++
		}
	}
	return n
}

func identity(o Order, upstream string, failures int) string {
	text := fmt.Sprintf("%s\x00%d\x00%s\x00%s\x00%s\x00%s\x00%s\x00%d",
		upstream, o.Fence, o.Kind, o.Model, o.Version, o.Adapter, o.Role, failures)
	return fmt.Sprintf("%d-%016x", o.Fence, xxhash.Sum64String(text))
}
