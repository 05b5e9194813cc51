package proctest

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// CrashInjector makes the upstreams of a fleet crash when they receive a given text.
// The zero value injects no crashes.
type CrashInjector struct {
	mu       sync.Mutex
	trigger  string
	downtime time.Duration
	count    int
}

// CrashOn makes an upstream close all its connections when it receives a body that
// contains text, and listen again after the time down; "" turns this off.
func (c *CrashInjector) CrashOn(text string, down time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.trigger, c.downtime = text, down
}

// Count returns the number of crashes so far.
func (c *CrashInjector) Count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count
}

// crashDelay is the time between the arrival of a request and the crash.
const crashDelay = 20 * time.Millisecond

// serve serves an upstream until ctx ends and restarts the server after each crash.
func (c *CrashInjector) serve(ctx context.Context, l net.Listener, h http.Handler) error {
	address := l.Addr().String()
	for {
		crashed := make(chan time.Duration, 1)
		s := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if c.triggersCrash(r) {
				time.Sleep(crashDelay)
				c.reportCrash(crashed)
				panic(http.ErrAbortHandler)
			}
			h.ServeHTTP(w, r)
		})}
		go func() { _ = s.Serve(l) }() // returns after Close
		select {
		case <-ctx.Done():
			return s.Close()
		case down := <-crashed:
			_ = s.Close() // an error here does not matter: the server is crashing
			time.Sleep(down)
		}
		var err error
		if l, err = net.Listen("tcp", address); err != nil {
			return fmt.Errorf("listen again after a crash: %w", err)
		}
	}
}

// triggersCrash reports whether the body of a request contains the trigger. Status
// lookups of earlier requests have no body and never do.
func (c *CrashInjector) triggersCrash(r *http.Request) bool {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return false
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.trigger != "" && bytes.Contains(body, []byte(c.trigger))
}

// reportCrash counts a crash and sends its downtime to the server. It has no effect
// while an earlier crash of that server is pending.
func (c *CrashInjector) reportCrash(crashed chan<- time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case crashed <- c.downtime:
		c.count++
	default: // already crashing
	}
}
