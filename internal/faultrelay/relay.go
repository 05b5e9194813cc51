// Package faultrelay is a TCP relay on the loopback interface that injects network
// faults between processes under test: connection resets, one-way and two-way
// blackholes, and delay. Faults can be changed while the relay runs.
//
// The faults, as a TCP endpoint sees them:
//
//   - Cut: established connections are reset, and new ones are reset right after
//     they are accepted.
//   - Blackhole of a direction: neither data nor the end of the stream passes in
//     that direction. Because TCP retransmits, the relay buffers the data instead of
//     dropping it and delivers it in order when the fault ends. A new connection is
//     accepted, but its target is dialled only when neither direction is a
//     blackhole, since a handshake needs both.
//   - BlackholeOpenConnections: every connection that is open at that moment
//     becomes a permanent blackhole in both directions, without either side being
//     notified. New connections work.
//   - Delay of a direction: all data arrives later by that time. With up to 512 KiB
//     in flight the delay does not limit the bandwidth.
//
// TCP acknowledgements are not modelled: a one-way blackhole leaves the opposite
// direction working, which in a real network would soon stall for lack of
// acknowledgements.
//
// The relay keeps at most MaxConnections connections, each with at most 512 KiB
// buffered per direction. It resets further connections.
package faultrelay

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"
)

// DefaultMaxConnections is the default of Config.MaxConnections.
const DefaultMaxConnections = 256

const dialTimeout = 2 * time.Second

// Config configures a Relay.
type Config struct {
	// Listen is the ip:port to listen on; default 127.0.0.1:0.
	Listen string
	// Target is the ip:port to forward to. It need not be listening when the relay
	// starts.
	Target string
	// MaxConnections limits the simultaneous connections; default
	// DefaultMaxConnections.
	MaxConnections int
}

// Direction holds the faults of one direction.
type Direction struct {
	Blackhole bool
	Delay     time.Duration
}

// Conditions are the active faults; the zero value means none.
type Conditions struct {
	Cut      bool
	ToTarget Direction
	ToCaller Direction
}

// Stats holds the counters of a relay.
type Stats struct {
	// Accepted counts the connections that the relay accepted and relays. Reset counts
	// those that it reset because of a cut, its connection limit or Close.
	Accepted int
	Reset    int
	// BytesToTarget and BytesToCaller count the delivered bytes.
	BytesToTarget int64
	BytesToCaller int64
}

// Relay forwards TCP connections under Conditions that can change at any time. Its
// methods are safe for concurrent use.
type Relay struct {
	listener       net.Listener
	maxConnections int
	goroutines     sync.WaitGroup

	mu         sync.Mutex
	target     string
	conditions Conditions
	// callerConditions overrides conditions for single callers, by caller IP.
	callerConditions map[string]Conditions
	// changed is closed and replaced whenever the conditions change.
	changed chan struct{}
	links   map[*link]struct{}
	stats   Stats
	closed  bool
}

// New starts a relay; the caller must Close it. It returns an error if it can't
// listen.
func New(cfg Config) (*Relay, error) {
	if cfg.Listen == "" {
		cfg.Listen = "127.0.0.1:0"
	}
	if cfg.MaxConnections <= 0 {
		cfg.MaxConnections = DefaultMaxConnections
	}
	l, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("relay to %s: %w", cfg.Target, err)
	}
	r := &Relay{
		listener:         l,
		maxConnections:   cfg.MaxConnections,
		target:           cfg.Target,
		changed:          make(chan struct{}),
		links:            map[*link]struct{}{},
		callerConditions: map[string]Conditions{},
	}
	r.goroutines.Add(1)
	go r.accept()
	return r, nil
}

// Address returns the ip:port that the relay listens on.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// SetTarget changes the target of connections that the relay dials from now on.
func (r *Relay) SetTarget(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = address
}

// Set applies c to new and established connections. Callers with conditions set by
// SetFrom keep those.
func (r *Relay) Set(c Conditions) {
	r.update(func() { r.conditions = c })
}

// SetFrom applies c to the connections of the caller at ip, in place of those of
// Set.
func (r *Relay) SetFrom(ip string, c Conditions) {
	r.update(func() { r.callerConditions[ip] = c })
}

// BlackholeOpenConnections makes every connection that is open now a permanent
// blackhole in both directions: the endpoints can detect this only by a timeout. It
// returns the number of these connections.
func (r *Relay) BlackholeOpenConnections() int {
	var n int
	r.update(func() {
		n = len(r.links)
		for l := range r.links {
			l.blackholed = true
		}
	})
	return n
}

// Heal ends all faults, but connections that BlackholeOpenConnections affected stay
// blackholes.
func (r *Relay) Heal() {
	r.update(func() {
		r.conditions = Conditions{}
		clear(r.callerConditions)
	})
}

// update changes the conditions with set, wakes the waiting links and resets those
// that are now cut.
func (r *Relay) update(set func()) {
	r.mu.Lock()
	set()
	close(r.changed)
	r.changed = make(chan struct{})
	cut := r.removeLinks(func(l *link) bool { return r.conditionsOf(l).Cut })
	r.mu.Unlock()
	for _, l := range cut {
		l.reset()
	}
}

// fullBlackhole holds the conditions of connections that BlackholeOpenConnections
// affected.
var fullBlackhole = Conditions{ToTarget: Direction{Blackhole: true}, ToCaller: Direction{Blackhole: true}}

// conditionsOf returns the conditions of a link; the caller holds mu.
func (r *Relay) conditionsOf(l *link) Conditions {
	if l.blackholed {
		return fullBlackhole
	}
	if c, ok := r.callerConditions[l.callerIP]; ok {
		return c
	}
	return r.conditions
}

// Stats returns the counters so far.
func (r *Relay) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stats
}

// Close resets all connections and waits for the relay's goroutines.
func (r *Relay) Close() error {
	err := r.listener.Close()
	r.mu.Lock()
	r.closed = true
	links := r.removeLinks(func(*link) bool { return true })
	r.mu.Unlock()
	for _, l := range links {
		l.reset()
	}
	r.goroutines.Wait()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// removeLinks removes the links that satisfy which, counts them as reset and returns
// them. The caller holds mu, and resets them after releasing it.
func (r *Relay) removeLinks(which func(*link) bool) []*link {
	var links []*link
	for l := range r.links {
		if which(l) {
			links = append(links, l)
			delete(r.links, l)
		}
	}
	r.stats.Reset += len(links)
	return links
}

// conditionsAndChange returns the conditions of a link and a channel that is closed
// when any conditions change.
func (r *Relay) conditionsAndChange(l *link) (Conditions, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.conditionsOf(l), r.changed
}

func (r *Relay) accept() {
	defer r.goroutines.Done()
	for {
		conn, err := r.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		l := newLink(r, conn.(*net.TCPConn))
		if !r.startLink(l) {
			l.reset()
		}
	}
}

// startLink starts relaying l. It returns false if l must be reset instead: the
// relay is closed or at its limit, or the caller is cut off.
func (r *Relay) startLink(l *link) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.conditionsOf(l).Cut || len(r.links) >= r.maxConnections {
		r.stats.Reset++
		return false
	}
	r.links[l] = struct{}{}
	r.stats.Accepted++
	r.goroutines.Add(1)
	go func() {
		defer r.goroutines.Done()
		l.run()
		r.removeLink(l)
	}()
	return true
}

func (r *Relay) removeLink(l *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.links, l)
}

// currentTarget returns the ip:port to dial for a new connection.
func (r *Relay) currentTarget() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.target
}

func (r *Relay) addBytes(toTarget, toCaller int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stats.BytesToTarget += int64(toTarget)
	r.stats.BytesToCaller += int64(toCaller)
}
