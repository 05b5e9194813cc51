package gateway

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/core/origin"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/internal/periodic"
	"github.com/wheatseam/wheatseam/peer"
	"github.com/wheatseam/wheatseam/wire"
)

// methodInherit is the method by which a host that has started gets the records and readers that it
// holds for all hosts.
const methodInherit = "origins.inherit"

const (
	// maxGivers is the number of hosts beyond which a host that starts asks none: both holders of a
	// record rarely restart within the life of a stream then.
	maxGivers = 64
	// inheritRounds is how often they are asked, until all have answered, inheritInterval apart.
	inheritRounds   = 4
	inheritInterval = 250 * time.Millisecond
)

// registerInheritHandler handles the calls of hosts that have started.
func (g *Gateway) registerInheritHandler(mux *peer.Mux) {
	peer.Handle(mux, methodInherit, func(_ context.Context, from peer.Sender, m *wire.InheritRequest) (*wire.Inheritance, error) {
		select {
		case <-g.initialized:
		default:
			return nil, errNotInitialized
		}
		return g.giveOrigins(origin.Host{Name: from.Host, FailureDomain: m.GetFailureDomain()}), nil
	})
}

// giveOrigins returns the records and readers that a host inherits from this one.
func (g *Gateway) giveOrigins(heir origin.Host) *wire.Inheritance {
	hosts := []origin.Host{heir, g.self()}
	for _, h := range g.originHosts() {
		if h.Name != heir.Name {
			hosts = append(hosts, h)
		}
	}
	now := clock.Now()
	s := &g.origins
	s.mu.Lock()
	s.noteSuspension(now)
	all := origin.Inheritance{
		Records: s.records.All(now, func(string) bool { return true }), Readers: s.readers.All(now), ReadersFor: s.readers.CompleteFor(now),
	}
	s.mu.Unlock()
	given := origin.Inherit(heir.Name, hosts, all)
	out := &wire.Inheritance{ReadersMs: uint32(given.ReadersFor.Milliseconds())}
	for _, r := range given.Records {
		out.Origins = append(out.Origins, encodeOrigin(now, r))
	}
	for _, r := range given.Readers {
		out.Readers = append(out.Readers, encodeReader(now, r))
	}
	return out
}

// inheritOrigins gets the records and readers that this host holds for others, once the fleet has
// formed, until all other hosts have answered.
func (g *Gateway) inheritOrigins(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-g.fleet.Formed():
	}
	for range inheritRounds {
		if g.inheritOnce(ctx) || !periodic.Sleep(ctx, inheritInterval) {
			return
		}
	}
}

// inheritOnce asks all other hosts, and reports whether there is nothing left to ask for.
func (g *Gateway) inheritOnce(ctx context.Context) (done bool) {
	known, complete := g.fleet.KnownHosts()
	if len(known) > maxGivers {
		return true
	}
	hosts := g.originHosts()
	received := make(chan *wire.Inheritance, len(hosts))
	for _, h := range hosts {
		go func() { received <- g.askInheritance(ctx, h.Name) }()
	}
	answered, completeFor := 0, origin.MaxLifetime
	for range hosts {
		if in := <-received; in != nil {
			answered++
			completeFor = min(completeFor, milliseconds(in.GetReadersMs()))
			g.origins.hold(clock.Now(), in.GetOrigins())
			g.origins.holdReaders(clock.Now(), &wire.PromptReaders{Readers: in.GetReaders()})
		}
	}
	// A host that is down may have been the last one to know some of the readers.
	if !complete || answered < len(known)-1 {
		return false
	}
	now := clock.Now()
	s := &g.origins
	s.mu.Lock()
	defer s.mu.Unlock()
	if answered > 0 {
		s.readers.Inherited(now, completeFor)
	}
	g.log.Info("records and readers inherited", zap.Int("hosts", answered), zap.Int("streams", s.records.Len()), zap.Int("readers", s.readers.Len()), zap.Duration("complete_for", s.readers.CompleteFor(now)))
	return true
}

// askInheritance asks one host; nil if it does not answer in time.
func (g *Gateway) askInheritance(ctx context.Context, host string) *wire.Inheritance {
	ctx, cancel := clock.WithTimeout(ctx, originCallTimeout)
	defer cancel()
	reply := &wire.Inheritance{}
	if err := g.fleet.Caller().Call(ctx, host, methodInherit, &wire.InheritRequest{FailureDomain: g.self().FailureDomain}, reply); err != nil {
		if !errors.Is(err, context.Canceled) {
			g.log.Info("asking for records and readers failed", zap.String("peer", host), zap.Error(err))
		}
		return nil
	}
	return reply
}

// self is this host, as one that may hold records.
func (g *Gateway) self() origin.Host {
	s := g.settings.Load()
	return origin.Host{Name: s.Host, FailureDomain: s.FailureDomain}
}
