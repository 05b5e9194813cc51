// Package faultrelay is a TCP relay on loopback that brings about network
// faults between processes under test: cuts, one-way and two-way blackholes,
// and delay, switched at run time.
//
// What a TCP endpoint sees of each fault:
//
//   - Cut: established connections are reset, and new ones are reset right after
//     they are accepted.
//   - Blackhole of a direction: bytes, and the end of the stream, go no further
//     in that direction. TCP retransmits, so they are held and not lost: after
//     the fault they arrive in order. A new connection is accepted, but its
//     target is dialled only when neither direction is a blackhole, since a
//     handshake needs both.
//   - Silence of the open connections: nothing passes on them any more, in either
//     direction and for good, and neither side is told. New connections work.
//   - Delay of a direction: all bytes arrive so much later; it is not a limit
//     of bandwidth up to 512 KiB in flight.
//
// Acknowledgements are not modelled: a one-way blackhole leaves the other
// direction whole, which would stall before long in a real network.
//
// The relay holds at most MaxConnections connections, each with 512 KiB at most
// in a direction; further connections are reset.
package faultrelay

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"
)

// DefaultMaxConnections is the default bound on connections.
const DefaultMaxConnections = 256

const dialTimeout = 2 * time.Second

// Config configures a Relay.
type Config struct {
	// Listen is the ip:port to listen on; default 127.0.0.1:0.
	Listen string
	// Target is the ip:port to forward to; it need not listen yet.
	Target string
	// MaxConnections bounds the connections; default DefaultMaxConnections.
	MaxConnections int
}

// Direction holds the faults of one direction.
type Direction struct {
	Blackhole bool
	Delay     time.Duration
}

// Conditions are the faults in force; the zero value is none.
type Conditions struct {
	Cut      bool
	ToTarget Direction
	ToCaller Direction
}

// Stats counts what a relay did.
type Stats struct {
	// Accepted counts connections that were taken up, Reset those that the
	// relay reset for a cut, for its bound or at its end.
	Accepted int
	Reset    int
	// BytesToTarget and BytesToCaller count the bytes delivered.
	BytesToTarget int64
	BytesToCaller int64
}

// Relay forwards TCP connections under changing conditions. Its methods are
// safe for concurrent use.
type Relay struct {
	listener net.Listener
	limit    int
	tasks    sync.WaitGroup

	mu         sync.Mutex
	target     string
	conditions Conditions
	// from holds the conditions of single callers by their IP.
	from map[string]Conditions
	// changed is closed and replaced when the conditions change.
	changed chan struct{}
	links   map[*link]struct{}
	stats   Stats
	closed  bool
}

// New starts a relay; the caller must Close it.
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
		listener: l,
		limit:    cfg.MaxConnections,
		target:   cfg.Target,
		changed:  make(chan struct{}),
		links:    map[*link]struct{}{},
		from:     map[string]Conditions{},
	}
	r.tasks.Add(1)
	go r.accept()
	return r, nil
}

// Address returns the ip:port that the relay listens on.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// SetTarget changes the target of connections to come.
func (r *Relay) SetTarget(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = address
}

// Set puts c into force, for established connections too. Callers for which
// SetFrom was called keep their own conditions.
func (r *Relay) Set(c Conditions) {
	r.change(func() { r.conditions = c })
}

// SetFrom puts c into force for the connections of the caller at ip.
func (r *Relay) SetFrom(ip string, c Conditions) {
	r.change(func() { r.from[ip] = c })
}

// Silence silences every connection that is open now, for good: only a time-out
// of either side shows it. It returns how many there were.
func (r *Relay) BlackholeOpenConnections() int {
	var n int
	r.change(func() {
		n = len(r.links)
		for l := range r.links {
			l.silenced = true
		}
	})
	return n
}

// Heal ends all faults, but for connections that were silenced.
func (r *Relay) Heal() {
	r.change(func() {
		r.conditions = Conditions{}
		clear(r.from)
	})
}

// change changes the conditions and resets the links that are now cut.
func (r *Relay) change(set func()) {
	r.mu.Lock()
	set()
	close(r.changed)
	r.changed = make(chan struct{})
	cut := r.takeLinks(func(l *link) bool { return r.of(l).Cut })
	r.mu.Unlock()
	for _, l := range cut {
		l.reset()
	}
}

// silent are the conditions of a silenced connection.
var silent = Conditions{ToTarget: Direction{Blackhole: true}, ToCaller: Direction{Blackhole: true}}

// of returns the conditions of a link; the caller holds mu.
func (r *Relay) of(l *link) Conditions {
	if l.silenced {
		return silent
	}
	if c, ok := r.from[l.ip]; ok {
		return c
	}
	return r.conditions
}

// Stats returns the counts so far.
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
	links := r.takeLinks(func(*link) bool { return true })
	r.mu.Unlock()
	for _, l := range links {
		l.reset()
	}
	r.tasks.Wait()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// takeLinks takes the links that satisfy which out of the set and counts them
// as reset; the caller holds mu and resets them.
func (r *Relay) takeLinks(which func(*link) bool) []*link {
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

// state returns the conditions of a link and a channel that is closed when they
// change.
func (r *Relay) state(l *link) (Conditions, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.of(l), r.changed
}

func (r *Relay) accept() {
	defer r.tasks.Done()
	for {
		conn, err := r.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		l := newLink(r, conn.(*net.TCPConn))
		if !r.admit(l) {
			l.reset()
		}
	}
}

// admit starts l, or returns false when it is to be reset.
func (r *Relay) admit(l *link) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.of(l).Cut || len(r.links) >= r.limit {
		r.stats.Reset++
		return false
	}
	r.links[l] = struct{}{}
	r.stats.Accepted++
	r.tasks.Add(1)
	go func() {
		defer r.tasks.Done()
		l.run()
		r.forget(l)
	}()
	return true
}

func (r *Relay) forget(l *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.links, l)
}

// dialAddress returns the target of a connection that is dialled now.
func (r *Relay) dialAddress() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.target
}

func (r *Relay) count(toTarget, toCaller int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stats.BytesToTarget += int64(toTarget)
	r.stats.BytesToCaller += int64(toCaller)
}
