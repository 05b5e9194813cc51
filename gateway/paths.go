package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/core/catalog"
	"github.com/wheatseam/wheatseam/core/detour"
	"github.com/wheatseam/wheatseam/discovery"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/internal/periodic"
	"github.com/wheatseam/wheatseam/problem"
	"github.com/wheatseam/wheatseam/replica"
	"github.com/wheatseam/wheatseam/tunnel"
)

// maxTunnels limits the connections that are open for peers, and tunnelsPerMB does so by the
// memory: one takes up to 300 KB if neither side reads.
const (
	maxTunnels   = 512
	tunnelsPerMB = 1
	// tunnelPollInterval is how often a draining daemon checks whether any is open.
	tunnelPollInterval = 20 * time.Millisecond
)

// paths holds the ways from this host to replicas.
type paths struct {
	*tunnel.Paths
	direct replica.DirectDialer
	dialer *tunnel.Dialer
	server *tunnel.Server
	// addresses are those of the replicas of the newest view.
	addresses addressIndex
}

// initPaths sets up connecting for peers, before any peer can call.
func (g *Gateway) initPaths(s *Settings) {
	g.paths.Paths = tunnel.NewPaths(tunnel.PathsConfig{
		Self: s.Host, Peers: g.otherHosts, OnChange: g.logPaths,
		Sample: func(n int) []string { return g.paths.addresses.of(g.discovery.View()).sample(n) },
		Count:  func() int { return g.paths.addresses.of(g.discovery.View()).count() },
		IsReplica: func(address string) bool {
			return g.paths.addresses.of(g.discovery.View()).contains(address)
		},
	})
	g.paths.server = tunnel.NewServer(tunnel.ServerConfig{
		MaxOpen: min(maxTunnels, tunnelsPerMB*s.Limits.MemoryMB), Direct: g.paths.direct.Dial, Paths: g.paths.Paths,
		Accepts: g.acceptsTunnel, OnConnect: g.countTunnelServed,
	})
}

// acceptsTunnel reports whether this host connects to an address for peers.
func (g *Gateway) acceptsTunnel(address string) bool {
	select {
	case <-g.initialized:
	default:
		return false
	}
	return !g.draining.Load() && g.paths.addresses.of(g.discovery.View()).contains(address)
}

// awaitTunnels waits until no connection is open for peers, or ctx ends.
func (g *Gateway) awaitTunnels(ctx context.Context) {
	for g.paths.server.Open() > 0 && periodic.Sleep(ctx, tunnelPollInterval) {
	}
}

// otherHosts returns the names of the hosts that may be called, without this one.
func (g *Gateway) otherHosts() []string {
	var names []string
	self := g.settings.Load().Host
	for _, h := range g.fleet.Reachable() {
		if h.Name != self {
			names = append(names, h.Name)
		}
	}
	return names
}

// SimulateCut makes this host lose the path to all replicas for the given time, for tests.
// New connections are refused, or not answered if silent is set.
func (g *Gateway) SimulateCut(d time.Duration, silent bool) { g.paths.direct.SimulateCut(d, silent) }

// refreshPaths probes the ways to replicas that are due.
func (g *Gateway) refreshPaths(ctx context.Context) { g.paths.dialer.Refresh(ctx) }

// checkPaths refuses a request at once if no replica can be reached.
func (x *exchange) checkPaths() *problem.Error {
	if !x.g.paths.Stranded() {
		return nil
	}
	return withRetryAfter(problem.New(problem.NoUpstream, "this host reaches no replica, directly or through other hosts"), x.retryDelay(refusedRetryAfter))
}

// logPaths logs that this host became or ceased to be cut off or stranded.
func (g *Gateway) logPaths(before, s tunnel.State) {
	switch {
	case s.Stranded:
		g.log.Error("no path to any replica; refusing requests")
	case s.CutOff:
		g.log.Warn("replicas are reached through other hosts only", zap.Int("addresses", s.Detours))
	case before.Stranded && !before.CutOff:
		g.log.Info("a path to replicas is known again")
	default:
		g.log.Info("replicas are reached directly again")
	}
	g.metrics.GetOrCreateCounter(fmt.Sprintf("wheatseam_path_changes_total{state=%q}", pathState(s))).Inc()
}

// pathState is the state in metrics and the state dump.
func pathState(s tunnel.State) string {
	switch {
	case s.Stranded:
		return "stranded"
	case s.CutOff:
		return "cut_off"
	}
	return "direct"
}

// countTunnelAsked counts what a peer answered that was asked to connect.
func (g *Gateway) countTunnelAsked(_ string, r detour.Result) {
	g.metrics.GetOrCreateCounter(fmt.Sprintf("wheatseam_tunnels_asked_total{result=%q}", r)).Inc()
}

// countTunnelServed counts the answers to peers that asked this host to connect.
func (g *Gateway) countTunnelServed(_ string, r detour.Result) {
	g.metrics.GetOrCreateCounter(fmt.Sprintf("wheatseam_tunnels_served_total{result=%q}", r)).Inc()
}

// PathsState is what a host knows about its ways to replicas, as the state dump shows it.
type PathsState struct {
	// State is "direct", "cut_off" or "stranded", and SinceS for how many seconds.
	State  string  `json:"state"`
	SinceS float64 `json:"since_s"`
	// Detours is the number of addresses that are reached through peers.
	Detours int `json:"detours"`
	// ForPeers is the number of connections that are open for peers.
	ForPeers int `json:"for_peers"`
}

// pathsState returns the state for operators.
func (g *Gateway) pathsState() PathsState {
	s := g.paths.State()
	out := PathsState{State: pathState(s), Detours: s.Detours, ForPeers: g.paths.server.Open()}
	if !s.Since.IsZero() {
		out.SinceS = clock.Since(s.Since).Seconds()
	}
	return out
}

// addressIndex holds the addresses of the newest view's replicas. It is safe for concurrent
// use.
type addressIndex struct {
	mu     sync.Mutex
	cached *addressList
}

// addressList holds the addresses of a set of replicas. It is indexed when first needed: hosts
// that reach the replicas only count them.
type addressList struct {
	replicas *catalog.ReplicaSet

	once  sync.Once
	all   []string
	known map[string]struct{}
}

// of returns the addresses of a view.
func (i *addressIndex) of(v *discovery.View) *addressList {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cached == nil || i.cached.replicas != v.Replicas {
		i.cached = &addressList{replicas: v.Replicas}
	}
	return i.cached
}

func (l *addressList) index() {
	l.once.Do(func() {
		l.known = map[string]struct{}{}
		for r := range l.replicas.All() {
			if _, ok := l.known[r.Address]; !ok {
				l.known[r.Address] = struct{}{}
				l.all = append(l.all, r.Address)
			}
		}
	})
}

// exactCountLimit is the number of replicas up to which their addresses are counted exactly. It
// is well above the numbers that a host compares its failures with.
const exactCountLimit = 64

// count returns the number of addresses; of many replicas, it is that of the replicas.
func (l *addressList) count() int {
	if n := l.replicas.Len(); n > exactCountLimit {
		return n
	}
	l.index()
	return len(l.all)
}

func (l *addressList) contains(address string) bool {
	l.index()
	_, ok := l.known[address]
	return ok
}

// sample returns up to n addresses at random.
func (l *addressList) sample(n int) []string {
	l.index()
	if n >= len(l.all) {
		return slices.Clone(l.all)
	}
	out := make([]string, 0, n)
	for len(out) < n {
		if a := l.all[rand.IntN(len(l.all))]; !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	return out
}
