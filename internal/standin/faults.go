package standin

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Faults are the faults injected into one stand-in. The zero value is none.
type Faults struct {
	// SlowFactor multiplies every service time; 0 and 1 leave it.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// FailRate is the share of executions, 0 to 1, that end with status 500.
	FailRate float64 `json:"fail_rate,omitempty"`
	// Down cuts every connection, those of running requests too.
	Down bool `json:"down,omitempty"`
	// FreezeMS stops all progress for so long, like a paused process.
	FreezeMS int64 `json:"freeze_ms,omitempty"`
	// DropAnswer executes, then cuts the connection.
	DropResponse bool `json:"drop_answer,omitempty"`
	// DuplicateAnswer writes each whole answer twice on its connection.
	DuplicateResponse bool `json:"duplicate_answer,omitempty"`
	// WrongAnswer answers with the whole answer of the request before.
	WrongResponse bool `json:"wrong_answer,omitempty"`
	// LateByMS holds each answer back for so long after its execution.
	ResponseDelayMS int64 `json:"late_by_ms,omitempty"`
	// Leaving is told in load reports; work that still comes is done and
	// marked in the ledger.
	Leaving bool `json:"leaving,omitempty"`
	// Refuse answers 503 without execution.
	Refuse bool `json:"refuse,omitempty"`
	// Stale makes a platform keep serving what it served when this was set.
	Stale bool `json:"stale,omitempty"`
	// DelayMS delays each answer of a platform.
	DelayMS int64 `json:"delay_ms,omitempty"`
}

// Injector holds the faults in force. Its methods are safe for concurrent use.
type Injector struct {
	mu      sync.Mutex
	faults  Faults
	down    chan struct{}
	thawed  time.Time
	random  *rand.Rand
	changed func(Faults)
}

// NewInjector returns an Injector without faults; changed, when not nil, is
// called with each new set.
func NewInjector(seed uint64, changed func(Faults)) *Injector {
	return &Injector{
		down:    make(chan struct{}),
		random:  rand.New(rand.NewPCG(seed, 0)),
		changed: changed,
	}
}

// Set replaces the faults in force.
func (i *Injector) Set(f Faults) {
	i.mu.Lock()
	if f.Down && !i.faults.Down {
		close(i.down)
	}
	if !f.Down && i.faults.Down {
		i.down = make(chan struct{})
	}
	i.thawed = time.Now().Add(time.Duration(f.FreezeMS) * time.Millisecond)
	i.faults = f
	i.mu.Unlock()
	if i.changed != nil {
		i.changed(f)
	}
}

// Get returns the faults in force.
func (i *Injector) Get() Faults {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults
}

// Down returns a channel that is closed while the stand-in is down.
func (i *Injector) Down() <-chan struct{} {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.down
}

// IsDown says whether the stand-in is down.
func (i *Injector) IsDown() bool { return i.Get().Down }

// Slow returns d times the slow factor in force.
func (i *Injector) Slow(d time.Duration) time.Duration {
	if f := i.Get().SlowFactor; f > 0 {
		return time.Duration(float64(d) * f)
	}
	return d
}

// Fails draws whether one execution fails.
func (i *Injector) Fails() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults.FailRate > 0 && i.random.Float64() < i.faults.FailRate
}

// Frozen returns how long all progress is still stopped.
func (i *Injector) Frozen() time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	return max(0, time.Until(i.thawed))
}

// AwaitThaw waits while the stand-in is frozen, until ctx ends.
func (i *Injector) AwaitThaw(ctx context.Context) {
	for d := i.Frozen(); d > 0 && ctx.Err() == nil; d = i.Frozen() {
		Sleep(ctx, d)
	}
}

// Gate applies the faults that come before any execution: it cuts, waits or
// refuses, and returns false when the request is already answered.
func (i *Injector) Gate(w http.ResponseWriter, r *http.Request) bool {
	if i.IsDown() {
		Cut()
	}
	i.AwaitThaw(r.Context())
	if i.IsDown() {
		Cut()
	}
	if i.Get().Refuse {
		Refuse(w, http.StatusServiceUnavailable, "refused by an injected fault")
		return false
	}
	return true
}

// Hold applies the faults that come between execution and answer.
func (i *Injector) Hold(ctx context.Context) {
	f := i.Get()
	if f.DropResponse {
		Cut()
	}
	if f.ResponseDelayMS > 0 {
		Sleep(ctx, time.Duration(f.ResponseDelayMS)*time.Millisecond)
	}
	i.AwaitThaw(ctx)
	if i.IsDown() {
		Cut()
	}
}

// ServeHTTP answers GET and POST /control/faults.
func (i *Injector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		var f Faults
		if err := ReadJSON(w, r, &f); err != nil {
			WriteJSON(w, http.StatusBadRequest, Refusal{Error: err.Error()})
			return
		}
		i.Set(f)
	}
	WriteJSON(w, http.StatusOK, i.Get())
}

// Sleep waits for d, or returns false when ctx ended before.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
