package gateway

import (
	"context"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/core/catalog"
	"github.com/wheatseam/wheatseam/core/origin"
	"github.com/wheatseam/wheatseam/discovery"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/internal/periodic"
	"github.com/wheatseam/wheatseam/logging"
	"github.com/wheatseam/wheatseam/peer"
	"github.com/wheatseam/wheatseam/problem"
	"github.com/wheatseam/wheatseam/wire"
)

// The methods between daemons.
const (
	methodOrigins      = "origins.hold"
	methodOriginLookup = "origins.lookup"
)

const (
	// originBatchDelay is for how long records are collected for one message to a host.
	originBatchDelay = 10 * time.Millisecond
	// maxOriginsPerCall limits a message to about 16 kB.
	maxOriginsPerCall = 256
	// originCallTimeout limits a message with records, and originLookupTimeout the answer to
	// a resume: a host that does not answer in time counts as not knowing.
	originCallTimeout   = 400 * time.Millisecond
	originLookupTimeout = 150 * time.Millisecond
	// originRetryDelay is the time after which hosts are asked once more: the caller may have
	// been faster than the record.
	originRetryDelay = 30 * time.Millisecond
	// originViewTimeout limits the wait for a view that is newer than a resume: hosts read the
	// store more often.
	originViewTimeout = 2 * time.Second
	// minStreamLifetime is the shortest time for which a stream may be taken up, and
	// streamLifetimeMargin is added to the timeout of the route: callers may set a longer
	// deadline than the host observes.
	minStreamLifetime    = 30 * time.Second
	streamLifetimeMargin = 5 * time.Second
	// originUnknownRetryAfter is sent to callers that resume a stream of which a host that did
	// not answer may know the version.
	originUnknownRetryAfter = 500 * time.Millisecond
)

// streamOrigins holds what this host knows about the versions that began streams.
type streamOrigins struct {
	// started is when this host started: it has no records of before.
	started time.Time
	mu      sync.Mutex
	records origin.Records
	history origin.History
	// unsent holds the records for each host that are sent with the next message.
	unsent map[string][]*wire.StreamOrigin
}

// registerOriginHandlers handles the calls of peers.
func (g *Gateway) registerOriginHandlers(mux *peer.Mux) {
	peer.Handle(mux, methodOrigins, func(_ context.Context, _ peer.Sender, m *wire.StreamOrigins) (*wire.StreamOriginsNoted, error) {
		g.origins.hold(clock.Now(), m.GetOrigins())
		return &wire.StreamOriginsNoted{}, nil
	})
	peer.Handle(mux, methodOriginLookup, func(_ context.Context, _ peer.Sender, m *wire.StreamOriginRequest) (*wire.StreamOriginReply, error) {
		key, _ := parseOriginKey(m.GetKey())
		a := g.knownOrigin(key, m.GetService())
		return &wire.StreamOriginReply{
			Known: a.Known, Version: a.Version, Versions: a.Versions,
			HistoryMs: uint32(a.History.Milliseconds()), ViewAgeMs: roundedUpMS(a.ViewAge), RunningMs: uint32(a.Running.Milliseconds()),
		}, nil
	})
}

// roundedUpMS returns a duration in milliseconds, rounded up.
func roundedUpMS(d time.Duration) uint32 {
	return uint32((d + time.Millisecond - 1) / time.Millisecond)
}

// parseOriginKey parses a key; it returns false if the size is wrong.
func parseOriginKey(raw []byte) (origin.Key, bool) {
	if len(raw) != origin.KeySize {
		return origin.Key{}, false
	}
	return origin.Key(raw), true
}

// hold stores records for peers.
func (s *streamOrigins) hold(now time.Time, received []*wire.StreamOrigin) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range received {
		if key, ok := parseOriginKey(r.GetKey()); ok {
			expires := now.Add(time.Duration(r.GetLeftMs()) * time.Millisecond)
			s.records.Put(now, origin.Record{Key: key, Service: r.GetService(), Version: r.GetVersion(), Expires: expires})
		}
	}
}

// viewAge is the age of a view; that of a view that was never complete is origin.MaxHistory.
func viewAge(now time.Time, v *discovery.View) time.Duration {
	return min(origin.MaxHistory, max(0, now.Sub(v.AsOf)))
}

// knownOrigin is what this host knows about a stream and its service.
func (g *Gateway) knownOrigin(key origin.Key, service string) origin.Answer {
	now := clock.Now()
	s := &g.origins
	s.mu.Lock()
	defer s.mu.Unlock()
	r, known := s.records.Get(now, key)
	return origin.Answer{
		Known: known, Version: r.Version, Versions: s.history.Versions(now, service, origin.MaxHistory),
		History: s.history.Length(now), ViewAge: viewAge(now, g.discovery.View()), Running: now.Sub(s.started),
	}
}

// observeVersions records the versions that a new view lists. The open streams of services that
// have got a second version are sent to their holders.
func (g *Gateway) observeVersions(previous, v *discovery.View) {
	var changes []origin.Change
	before := &catalog.ReplicaSet{}
	if previous != nil {
		before = previous.Replicas
	}
	for _, c := range before.Diff(v.Replicas) {
		if c.Old != nil && c.New != nil && c.Old.Service == c.New.Service && c.Old.Version == c.New.Version {
			continue
		}
		if c.New != nil {
			changes = append(changes, origin.Change{Service: c.New.Service, Version: c.New.Version})
		}
		if c.Old != nil {
			changes = append(changes, origin.Change{Service: c.Old.Service, Version: c.Old.Version, Removed: true})
		}
	}
	now := clock.Now()
	s := &g.origins
	s.mu.Lock()
	var unsent []origin.Record
	for _, service := range s.history.Observe(now, changes) {
		unsent = append(unsent, s.records.TakeUnsent(now, service)...)
	}
	s.mu.Unlock()
	if len(unsent) > 0 {
		g.sendOrigins(unsent)
	}
}

// streamLifetime is the longest time for which a stream of the route may be taken up.
func (x *exchange) streamLifetime() time.Duration {
	return min(max(minStreamLifetime, x.route.Timeout+streamLifetimeMargin, x.req.Timeout+streamLifetimeMargin), origin.MaxLifetime)
}

// originKey is the key of the stream that the request begins or takes up.
func (x *exchange) originKey() origin.Key {
	if x.takesUpStream() {
		return origin.NewKey(x.customer(), x.req.ResumedID)
	}
	return origin.NewKey(x.customer(), x.req.ID)
}

// takesUpStream reports whether the caller takes up a stream that an earlier attempt began.
func (x *exchange) takesUpStream() bool { return x.route.Streaming && x.req.LastEventID != "" }

// recordOrigin records the version that wrote the first event of the stream, or of its
// continuation, before the event is sent. The holders are told if the service has replicas of
// several versions, or has lately had them.
func (x *exchange) recordOrigin(version string) {
	if !x.route.Resumable {
		return
	}
	now := clock.Now()
	lifetime := x.streamLifetime()
	r := origin.Record{Key: x.originKey(), Service: x.service, Version: version, Expires: x.arrived.Add(lifetime), Own: true}
	s := &x.g.origins
	s.mu.Lock()
	r.Sent = len(s.history.Versions(now, x.service, origin.MaxHistory)) > 1
	s.records.Put(now, r)
	s.mu.Unlock()
	if r.Sent {
		x.g.sendOrigins([]origin.Record{r})
	}
}

// forgetOrigin removes the record of a stream that has ended.
func (x *exchange) forgetOrigin() {
	s := &x.g.origins
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records.Remove(x.originKey())
}

// handOverOrigins sends the records of this host, which is leaving, to other hosts. While all
// hosts restart one after the other, records would be lost with their second holder.
func (g *Gateway) handOverOrigins() {
	now := clock.Now()
	s := &g.origins
	s.mu.Lock()
	records := s.records.All(now, func(service string) bool {
		return len(s.history.Versions(now, service, origin.MaxLifetime)) > 1
	})
	s.mu.Unlock()
	if len(records) > 0 {
		g.log.Info("handing over origins of streams", zap.Int("streams", len(records)))
		g.sendOrigins(records)
	}
}

// originHosts are the hosts that may hold records, without this one.
func (g *Gateway) originHosts() []origin.Host {
	self := g.settings.Load().Host
	var hosts []origin.Host
	for _, h := range g.fleet.Reachable() {
		if h.Name != self {
			hosts = append(hosts, origin.Host{Name: h.Name, FailureDomain: h.FailureDomain})
		}
	}
	return hosts
}

// sendOrigins sends records to their holders, together with others of the next moment.
func (g *Gateway) sendOrigins(records []origin.Record) {
	hosts := g.originHosts()
	now := clock.Now()
	s := &g.origins
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range records {
		for _, h := range origin.Holders(r.Key, hosts) {
			s.queue(h.Name, r, now, g.flushOrigins)
		}
	}
}

// queue adds a record to the next message to a host; mu must be held.
func (s *streamOrigins) queue(host string, r origin.Record, now time.Time, flush func(host string)) {
	if s.unsent == nil {
		s.unsent = map[string][]*wire.StreamOrigin{}
	}
	if len(s.unsent[host]) == 0 {
		clock.AfterFunc(originBatchDelay, func() { flush(host) })
	}
	s.unsent[host] = append(s.unsent[host], &wire.StreamOrigin{
		Key: r.Key[:], Service: r.Service, Version: r.Version, LeftMs: uint32(max(0, r.Expires.Sub(now).Milliseconds())),
	})
}

// flushOrigins sends a host the records that are queued for it.
func (g *Gateway) flushOrigins(host string) {
	s := &g.origins
	s.mu.Lock()
	records := s.unsent[host]
	delete(s.unsent, host)
	s.mu.Unlock()
	for len(records) > 0 {
		n := min(len(records), maxOriginsPerCall)
		g.holdOrigins(host, records[:n])
		records = records[n:]
	}
}

// holdOrigins has a host hold records. If it does not answer, the host that ranks next for
// each record holds it instead.
func (g *Gateway) holdOrigins(host string, records []*wire.StreamOrigin) {
	if g.callOriginHost(host, records) {
		return
	}
	hosts := g.originHosts()
	bySpare := map[string][]*wire.StreamOrigin{}
	for _, r := range records {
		key, _ := parseOriginKey(r.GetKey())
		if spares := origin.Spares(key, hosts); len(spares) > 0 {
			bySpare[spares[0].Name] = append(bySpare[spares[0].Name], r)
		}
	}
	for spare, batch := range bySpare {
		g.callOriginHost(spare, batch)
	}
}

// callOriginHost makes one call with records, and reports whether the host holds them.
func (g *Gateway) callOriginHost(host string, records []*wire.StreamOrigin) bool {
	ctx, cancel := clock.WithTimeout(context.Background(), originCallTimeout)
	defer cancel()
	err := g.fleet.Caller().Call(ctx, host, methodOrigins, &wire.StreamOrigins{Origins: records}, &wire.StreamOriginsNoted{})
	result := "held"
	if err != nil {
		result = "failed"
		g.log.Info("sending origins of streams failed", zap.String("peer", host), zap.Int("streams", len(records)), zap.Error(err))
	}
	g.metrics.GetOrCreateCounter(fmt.Sprintf("wheatseam_stream_origins_sent_total{result=%q}", result)).Add(len(records))
	return err == nil
}

// resolveOrigin finds out which version began the stream that the caller takes up, and refuses
// the request at once if that is not known or no replica of the version is left.
func (x *exchange) resolveOrigin() *problem.Error {
	if !x.takesUpStream() {
		return nil
	}
	v := x.lookUpOrigin()
	x.g.metrics.GetOrCreateCounter(fmt.Sprintf("wheatseam_streams_taken_up_total{evidence=%q}", v.Reason)).Inc()
	if !v.Known {
		e := problem.New(problem.VersionUnknown, "which software version began the stream is not known: %s (%s)", v.Reason, v.Evidence)
		if v.MayCome {
			e = withRetryAfter(e, x.retryDelay(max(originUnknownRetryAfter, v.After)))
		}
		return e
	}
	if x.g.router.HasOnlyOtherVersions(x.service, v.Version) {
		return problem.New(problem.VersionGone, "no replica of version %q, which began the stream", v.Version)
	}
	x.origin.Store(&v.Version)
	x.g.log.Info("stream taken up", logging.Request(x.req.ID), zap.String("resumes", x.req.ResumedID), zap.String("software", v.Version), zap.String("evidence", string(v.Reason)), zap.Stringer("known", v.Evidence))
	return nil
}

// lookUpOrigin decides which version began the stream that the caller takes up. What is not known
// at once is looked up again: the caller may have been faster than the record, and a newer view
// may show that there is no newer version.
func (x *exchange) lookUpOrigin() origin.Verdict {
	v := x.lookUpOriginOnce()
	if v.Known || !v.MayCome && v.Reason != origin.SeveralVersions {
		return v
	}
	if !periodic.Sleep(x.r.Context(), originRetryDelay) {
		return v
	}
	if v.Reason == origin.OldView {
		ctx, cancel := clock.WithTimeout(x.r.Context(), originViewTimeout)
		defer cancel()
		x.g.discovery.AwaitView(ctx, x.arrived)
	}
	return x.lookUpOriginOnce()
}

// lookUpOriginOnce decides from what this host knows, and what the hosts know that may hold the
// record.
func (x *exchange) lookUpOriginOnce() origin.Verdict {
	key := x.originKey()
	stream := origin.Stream{Lifetime: x.streamLifetime(), Deadline: x.route.Timeout, Left: x.req.Timeout}
	answers, unanswered := []origin.Answer{x.g.knownOrigin(key, x.service)}, 0
	if !answers[0].Known {
		var received []origin.Answer
		received, unanswered = x.g.askOrigins(x.r.Context(), key, x.service)
		answers = append(answers, received...)
	}
	stream.Waited = clock.Since(x.arrived)
	return origin.Decide(stream, answers, unanswered, nil)
}

// askOrigins asks the hosts that may hold the record of a stream, until one has it. unanswered is
// the number of those that did not answer in time.
func (g *Gateway) askOrigins(ctx context.Context, key origin.Key, service string) (answers []origin.Answer, unanswered int) {
	hosts := origin.Asked(key, g.originHosts())
	ctx, cancel := clock.WithTimeout(ctx, originLookupTimeout)
	defer cancel()
	received := make(chan *origin.Answer, len(hosts))
	for _, h := range hosts {
		go func() { received <- g.askOrigin(ctx, h.Name, key, service) }()
	}
	for range hosts {
		a := <-received
		if a == nil {
			unanswered++
			continue
		}
		answers = append(answers, *a)
		if a.Known {
			break
		}
	}
	return answers, unanswered
}

// askOrigin asks a host what it knows; nil if it does not answer in time. Its view has aged by the
// duration of the call at most.
func (g *Gateway) askOrigin(ctx context.Context, host string, key origin.Key, service string) *origin.Answer {
	asked := clock.Now()
	reply := &wire.StreamOriginReply{}
	req := &wire.StreamOriginRequest{Key: key[:], Service: service, LifetimeMs: uint32(origin.MaxHistory.Milliseconds())}
	if err := g.fleet.Caller().Call(ctx, host, methodOriginLookup, req, reply); err != nil {
		return nil
	}
	return &origin.Answer{
		Known: reply.GetKnown(), Version: reply.GetVersion(), Versions: reply.GetVersions(),
		History: milliseconds(reply.GetHistoryMs()), ViewAge: milliseconds(reply.GetViewAgeMs()) + clock.Since(asked),
		Running: milliseconds(reply.GetRunningMs()),
	}
}

func milliseconds(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }

// OriginState is what this host knows about the versions of streams, as the state dump shows it.
type OriginState struct {
	// Streams is the number of streams whose version this host knows.
	Streams int `json:"streams"`
	// Versions are those of each service within the longest lifetime of a stream, and
	// HistoryS is for how many seconds views have been observed.
	Versions map[string][]string `json:"versions"`
	HistoryS float64             `json:"history_s"`
}

// state returns the state, for operators.
func (s *streamOrigins) state(now time.Time) OriginState {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := OriginState{Streams: s.records.Len(), Versions: map[string][]string{}, HistoryS: s.history.Length(now).Seconds()}
	for _, service := range s.history.Services() {
		out.Versions[service] = s.history.Versions(now, service, origin.MaxLifetime)
	}
	return out
}
