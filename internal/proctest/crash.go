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

// Crashes has the upstreams of a fleet end under a text. The zero value has none do.
type Crashes struct {
	mu    sync.Mutex
	text  string
	down  time.Duration
	count int
}

// Under has an upstream's process end, with all its connections, when it is sent a
// body with the text, and start again after a while; "" ends that.
func (c *Crashes) Under(text string, down time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.text, c.down = text, down
}

// Count returns the number of crashes.
func (c *Crashes) Count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count
}

// crashAfter is how long an upstream has begun to run a request when it crashes.
const crashAfter = 20 * time.Millisecond

// serve serves an upstream, from one crash to the next, until ctx ends.
func (c *Crashes) serve(ctx context.Context, l net.Listener, h http.Handler) error {
	address := l.Addr().String()
	for {
		crashed := make(chan time.Duration, 1)
		s := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if c.crashes(r) {
				time.Sleep(crashAfter)
				c.crash(crashed)
				panic(http.ErrAbortHandler)
			}
			h.ServeHTTP(w, r)
		})}
		go func() { _ = s.Serve(l) }() // ends with Close
		select {
		case <-ctx.Done():
			return s.Close()
		case down := <-crashed:
			_ = s.Close() // a crash asks nobody
			time.Sleep(down)
		}
		var err error
		if l, err = net.Listen("tcp", address); err != nil {
			return fmt.Errorf("start again after a crash: %w", err)
		}
	}
}

// crashes says whether a request crashes its upstream. Questions about earlier
// requests have no body.
func (c *Crashes) crashes(r *http.Request) bool {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return false
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.text != "" && bytes.Contains(body, []byte(c.text))
}

// crash counts a crash and tells the server of it, once.
func (c *Crashes) crash(crashed chan<- time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case crashed <- c.down:
		c.count++
	default: // it crashes already
	}
}
