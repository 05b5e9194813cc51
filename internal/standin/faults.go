package standin

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Faults are the faults injected into one fake. The zero value injects none.
type Faults struct {
	// SlowFactor multiplies every service time; 0 and 1 have no effect.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// FailRate is the fraction of executions, 0 to 1, that end with status 500.
	// A streamed response ends with a closed connection instead.
	FailRate float64 `json:"fail_rate,omitempty"`
	// Down closes every connection, including those of running requests.
	Down bool `json:"down,omitempty"`
	// FreezeMS stops all progress for this many milliseconds, like a paused
	// process.
	FreezeMS int64 `json:"freeze_ms,omitempty"`
	// DropResponse executes the request, then closes the connection without a
	// response. A stream ends without its final event and [DONE].
	DropResponse bool `json:"drop_answer,omitempty"`
	// DuplicateResponse writes each complete response twice on its connection.
	DuplicateResponse bool `json:"duplicate_answer,omitempty"`
	// WrongResponse responds with the complete response to the previous request.
	WrongResponse bool `json:"wrong_answer,omitempty"`
	// ResponseDelayMS delays each response by this many milliseconds after its
	// execution.
	ResponseDelayMS int64 `json:"late_by_ms,omitempty"`
	// Leaving is set in load reports. Requests that still arrive are executed
	// and marked in the ledger.
	Leaving bool `json:"leaving,omitempty"`
	// Refuse responds with status 503 without executing the request.
	Refuse bool `json:"refuse,omitempty"`
	// Stale makes a fake platform keep serving the data that it served when
	// Stale was set.
	Stale bool `json:"stale,omitempty"`
	// DelayMS delays each response of a fake platform, in milliseconds.
	DelayMS int64 `json:"delay_ms,omitempty"`
}

// Injector holds the active faults. Its methods are safe for concurrent use.
type Injector struct {
	mu          sync.Mutex
	faults      Faults
	down        chan struct{}
	frozenUntil time.Time
	random      *rand.Rand
	onChange    func(Faults)
}

// NewInjector returns an Injector without faults. If onChange is not nil, it is
// called with each new set of faults.
func NewInjector(seed uint64, onChange func(Faults)) *Injector {
	return &Injector{
		down:     make(chan struct{}),
		random:   rand.New(rand.NewPCG(seed, 0)),
		onChange: onChange,
	}
}

// Set replaces the active faults.
func (i *Injector) Set(f Faults) {
	i.mu.Lock()
	if f.Down && !i.faults.Down {
		close(i.down)
	}
	if !f.Down && i.faults.Down {
		i.down = make(chan struct{})
	}
	i.frozenUntil = time.Now().Add(time.Duration(f.FreezeMS) * time.Millisecond)
	i.faults = f
	i.mu.Unlock()
	if i.onChange != nil {
		i.onChange(f)
	}
}

// Get returns the active faults.
func (i *Injector) Get() Faults {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults
}

// Down returns a channel that is closed while the fake is down.
func (i *Injector) Down() <-chan struct{} {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.down
}

// IsDown reports whether the fake is down.
func (i *Injector) IsDown() bool { return i.Get().Down }

// ScaleServiceTime returns d times the active slow factor.
func (i *Injector) ScaleServiceTime(d time.Duration) time.Duration {
	if f := i.Get().SlowFactor; f > 0 {
		return time.Duration(float64(d) * f)
	}
	return d
}

// DrawFailure decides at random, with probability FailRate, whether an execution
// fails.
func (i *Injector) DrawFailure() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults.FailRate > 0 && i.random.Float64() < i.faults.FailRate
}

// FreezeRemaining returns for how much longer all progress is stopped.
func (i *Injector) FreezeRemaining() time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	return max(0, time.Until(i.frozenUntil))
}

// WaitWhileFrozen waits until the fake is no longer frozen or ctx is done.
func (i *Injector) WaitWhileFrozen(ctx context.Context) {
	for d := i.FreezeRemaining(); d > 0 && ctx.Err() == nil; d = i.FreezeRemaining() {
		Sleep(ctx, d)
	}
}

// ApplyRequestFaults applies the faults that occur before execution: it closes
// the connection, waits or refuses the request. It returns false if it has
// written a response.
func (i *Injector) ApplyRequestFaults(w http.ResponseWriter, r *http.Request) bool {
	if i.IsDown() {
		AbortConnection()
	}
	i.WaitWhileFrozen(r.Context())
	if i.IsDown() {
		AbortConnection()
	}
	if i.Get().Refuse {
		Refuse(w, http.StatusServiceUnavailable, "refused by an injected fault")
		return false
	}
	return true
}

// ApplyResponseFaults applies the faults that occur between execution and
// response. It may close the connection instead of returning.
func (i *Injector) ApplyResponseFaults(ctx context.Context) {
	f := i.Get()
	if f.DropResponse {
		AbortConnection()
	}
	if f.ResponseDelayMS > 0 {
		Sleep(ctx, time.Duration(f.ResponseDelayMS)*time.Millisecond)
	}
	i.WaitWhileFrozen(ctx)
	if i.IsDown() {
		AbortConnection()
	}
}

// ServeHTTP serves GET and POST /control/faults.
func (i *Injector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		var f Faults
		if err := ReadJSON(w, r, &f); err != nil {
			WriteJSON(w, http.StatusBadRequest, ErrorBody{Error: err.Error()})
			return
		}
		i.Set(f)
	}
	WriteJSON(w, http.StatusOK, i.Get())
}

// Sleep waits for d. It returns false if ctx is done first.
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
