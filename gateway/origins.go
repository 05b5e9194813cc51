package gateway

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/core/origin"
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
	methodReaders      = "origins.readers"
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
	// maxMemoryRounds is how often the replicas are asked, at most, while the view changes.
	maxMemoryRounds = 3
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
	// deadlines are those that callers send.
	deadlines routeDeadlines
	// routed holds since when routes have led to each service.
	routed routedServices

	mu      sync.Mutex
	records origin.Records
	// readers are held for all hosts. suspended is for how long this host had been suspended when
	// they were last complete. attempts counts the attempts that are in progress, by stream.
	readers   origin.Readers
	suspended time.Duration
	attempts  map[origin.Key]int
	// awaited are the streams whose versions are looked up again while their stages run.
	awaited map[origin.Key]bool
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
		part, _ := parseOriginKey(m.GetPart())
		a := g.knownOrigin(originQuery{key: key, part: part, service: m.GetService()})
		reply := &wire.StreamOriginReply{
			Known: a.Known, Service: a.Service, Version: a.Version, Versions: a.Versions,
			HistoryMs: uint32(a.History.Milliseconds()), ViewAgeMs: roundedUpMS(a.ViewAge), MovedMs: roundedUpMS(a.Moved),
			InProgress: g.origins.inProgress(key), UptimeMs: uint32(clock.Since(g.started).Milliseconds()), ReadersMs: uint32(a.ReadersFor.Milliseconds()), PartsShared: a.PartsShared,
		}
		for _, r := range a.Readers {
			reply.Readers = append(reply.Readers, &wire.ServiceVersion{Service: r.Service, Version: r.Version})
		}
		g.addOpenStreams(reply, key, m.GetSession())
		return reply, nil
	})
	g.registerInheritHandler(mux)
	peer.Handle(mux, methodReaders, func(_ context.Context, _ peer.Sender, m *wire.PromptReaders) (*wire.OtherReaders, error) {
		return g.origins.holdReaders(clock.Now(), m), nil
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
			s.records.Put(now, origin.Record{
				Key: key, Service: r.GetService(), Version: r.GetVersion(), Expires: expires, OpenUntil: expires.Add(-milliseconds(r.GetClosedMs())),
			})
		}
	}
}

// originQuery asks which version began a stream, and at which versions the last part of its prompt
// was read for others. part is zero if the prompt is not known.
type originQuery struct {
	key, part origin.Key
	service   string
	// session asks which streams of a session are open, too; nil if that is not asked.
	session *wire.SessionStreams
}

// originQuery is the query for the stream that the request begins or takes up.
func (x *exchange) originQuery() originQuery {
	return originQuery{key: x.originKey(), part: x.partKey(), service: x.service}
}

// knownOrigin is what this host knows about a stream and its service.
func (g *Gateway) knownOrigin(q originQuery) origin.Answer {
	now := clock.Now()
	versions := g.discovery.Versions(now, q.service, origin.MaxHistory)
	s := &g.origins
	s.mu.Lock()
	defer s.mu.Unlock()
	r, known := s.records.Get(now, q.key)
	a := origin.Answer{
		Known: known, Service: r.Service, Version: r.Version, Versions: versions.Versions,
		History: min(versions.CompleteFor, s.routed.steadyFor(now, q.service)), ViewAge: min(versions.ViewAge, origin.MaxHistory), Moved: s.routed.movedAgo(now, q.service),
	}
	a.Readers, a.ReadersFor = s.otherVersions(now, q)
	a.PartsShared = s.readers.PartsShared(now)
	return a
}

// mayHaveSeveralVersions reports whether a service has replicas of several versions, had them
// lately, or may have had them as far as this host knows. The versions of another service count, from
// which a route was lately led to this one.
func (g *Gateway) mayHaveSeveralVersions(service string, lifetime time.Duration) bool {
	now := clock.Now()
	v := g.discovery.Versions(now, service, origin.MaxHistory)
	return len(v.Versions) > 1 || min(v.CompleteFor, g.origins.routed.steadyFor(now, service)) < lifetime
}

// recordOpenStreams sends the records of the open streams of services that have got a further
// version, or between which routes were moved, to their holders.
func (g *Gateway) recordOpenStreams(services []string) {
	now := clock.Now()
	s := &g.origins
	s.mu.Lock()
	var unsent []origin.Record
	for _, service := range services {
		unsent = append(unsent, s.records.TakeUnsent(now, service)...)
	}
	s.mu.Unlock()
	if len(unsent) > 0 {
		go g.sendOrigins(unsent) // the view that shows the version does not wait for it
	}
	go g.sendOwnReaders(services)
}

// streamLifetime is the longest time for which a stream of the route may be taken up.
func (x *exchange) streamLifetime() time.Duration {
	return min(max(minStreamLifetime, x.route.Timeout+streamLifetimeMargin, x.req.Timeout+streamLifetimeMargin), origin.MaxLifetime)
}

// openLifetime is the time for which the caller may take up a stream that this attempt begins or takes
// up: until its own deadline, if it sends one.
func (x *exchange) openLifetime() time.Duration {
	if x.req.Timeout <= 0 {
		return x.streamLifetime()
	}
	return min(x.req.Timeout+streamLifetimeMargin, x.streamLifetime())
}

// decisionLifetime is the longest time for which a stream of the route may be taken up, as far as
// callers have said. It may exceed the time for which records are kept.
func (x *exchange) decisionLifetime() time.Duration {
	longest := max(x.route.Timeout, x.req.Timeout, x.g.origins.deadlines.longestOf(x.route.Name))
	return max(minStreamLifetime, longest+streamLifetimeMargin)
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
// continuation, before the event is sent. The holders are told unless it is known that the stream
// can have begun at one version of one service only.
func (x *exchange) recordOrigin(version string) {
	if !x.route.Resumable {
		return
	}
	lifetime := x.streamLifetime()
	r := origin.Record{
		Key: x.originKey(), Service: x.service, Version: version, Expires: x.arrived.Add(lifetime), OpenUntil: x.arrived.Add(x.openLifetime()), Own: true,
	}
	s := &x.g.origins
	s.mu.Lock()
	// Asked under the lock, so that a version which appears just now is either seen here, or
	// finds the record.
	r.Sent = len(x.route.Services()) > 1 || x.g.mayHaveSeveralVersions(x.service, lifetime)
	s.records.Put(clock.Now(), r)
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
	records := s.records.All(now, func(string) bool { return true })
	s.mu.Unlock()
	if len(records) > 0 {
		g.log.Info("handing over origins of streams", zap.Int("streams", len(records)))
		g.sendOrigins(records)
	}
	g.handOverReaders()
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
	holders := make([][]origin.Host, 0, len(records))
	for _, r := range records {
		holders = append(holders, origin.Holders(r.Key, hosts))
	}
	now := clock.Now()
	s := &g.origins
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, r := range records {
		for _, h := range holders[i] {
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
	s.unsent[host] = append(s.unsent[host], encodeOrigin(now, r))
}

func encodeOrigin(now time.Time, r origin.Record) *wire.StreamOrigin {
	return &wire.StreamOrigin{Key: r.Key[:], Service: r.Service, Version: r.Version, LeftMs: uint32(max(0, r.Expires.Sub(now).Milliseconds())), ClosedMs: closedMS(r.Expires, r.OpenUntil)}
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

// resolveOrigin finds out which version began the stream that the caller takes up. It refuses the
// request if that can't become known before its deadline, or no replica of the version is left. If it
// may become known, undecided is set.
func (x *exchange) resolveOrigin() *problem.Error {
	if !x.takesUpStream() {
		x.preferReadVersion()
		return nil
	}
	lookup := x.lookUpOriginOfListed(x.r.Context())
	if x.mayAwaitOrigin(lookup.verdict) {
		x.undecided = &lookup
		return nil
	}
	return x.settleOrigin(lookup.verdict)
}

// settleOrigin has the request run at the version that began its stream, or refuses it.
func (x *exchange) settleOrigin(v origin.Verdict) *problem.Error {
	x.g.metrics.GetOrCreateCounter(fmt.Sprintf("wheatseam_streams_taken_up_total{evidence=%q}", v.Reason)).Inc()
	if perr := x.originRefusal(v); perr != nil {
		return perr
	}
	if v.Service != "" {
		x.service = v.Service
	}
	x.origin.Store(&v.Version)
	x.g.log.Info("stream taken up", logging.Request(x.req.ID), zap.String("resumes", x.req.ResumedID), zap.String("software", v.Version), zap.String("evidence", string(v.Reason)), zap.Stringer("known", v.Evidence))
	return nil
}

// originRefusal says why a stream can't go on by a verdict; nil if it can. It changes nothing of the
// exchange.
func (x *exchange) originRefusal(v origin.Verdict) *problem.Error {
	if !v.Known {
		e := problem.New(problem.VersionUnknown, "which software version began the stream is not known: %s (%s)", v.Reason, v.Evidence)
		if v.MayCome && v.After < clock.Until(x.deadline) {
			e = withRetryAfter(e, x.retryDelay(max(originUnknownRetryAfter, v.After)))
		}
		return e
	}
	if v.Service != "" && !slices.Contains(x.route.Services(), v.Service) {
		return problem.New(problem.VersionGone, "the route no longer leads to service %q, which began the stream", v.Service)
	}
	if x.g.router.HasOnlyOtherVersions(cmp.Or(v.Service, x.service), v.Version) {
		return problem.New(problem.VersionGone, "no replica of version %q, which began the stream", v.Version)
	}
	return nil
}

// lookUpOrigin decides which version began the stream that the caller takes up. What is not known
// at once is looked up again: the caller may have been faster than the record, a newer view may
// show that there is no newer version, and the replicas may keep the stream's prompt.
func (x *exchange) lookUpOrigin(ctx context.Context) origin.Verdict {
	if services := x.route.Services(); len(services) > 1 {
		return x.lookUpOriginAmong(ctx, services)
	}
	v := x.lookUpOriginOnce(ctx, nil)
	if v.Known || v.Reason == origin.Conflict || v.Reason == origin.NoEvidence {
		return v
	}
	ctx, cancel := clock.WithTimeout(ctx, originViewTimeout)
	defer cancel()
	if !x.refreshReplicas(ctx) {
		return x.lookUpOriginByOldView(ctx)
	}
	retried := clock.Now().Add(originRetryDelay)
	for range maxMemoryRounds {
		replicas := x.g.memoryReplicas(x.service)
		memory := x.g.partHolders(ctx, x.req.ID, x.service, x.lastPart())
		if !periodic.Sleep(ctx, clock.Until(retried)) {
			return v
		}
		if v = x.lookUpOriginOnce(ctx, &memory); v.Reason == origin.OldView && x.g.discovery.AwaitReplicas(ctx, x.arrived) {
			v = x.lookUpOriginOnce(ctx, &memory)
		}
		if v.Reason != origin.PromptKept || sameReplicas(replicas, x.g.memoryReplicas(x.service)) {
			return v
		}
	}
	// The replicas that were asked are not those that are listed.
	return origin.Verdict{MayCome: true, Reason: origin.OldView, Evidence: v.Evidence}
}

// sameReplicas reports whether two lists have the same replicas, in any order.
func sameReplicas(a, b []memoryReplica) bool {
	listed := make(map[memoryReplica]bool, len(a))
	for _, r := range a {
		listed[r] = true
	}
	for _, r := range b {
		if !listed[r] {
			return false
		}
	}
	return len(a) == len(b)
}

// lookUpOriginAmong decides which version of which service began a stream of a route that is split
// between services. The versions that a service has had say nothing here: the stream may have
// begun at another one.
func (x *exchange) lookUpOriginAmong(ctx context.Context, services []string) origin.Verdict {
	v := x.lookUpOriginOnce(ctx, nil)
	if v.Reason != origin.Recorded && v.Reason != origin.Conflict && periodic.Sleep(ctx, originRetryDelay) {
		v = x.lookUpOriginOnce(ctx, nil)
	}
	if v.Reason == origin.Recorded || v.Reason == origin.Conflict {
		return v
	}
	if !x.refreshReplicas(ctx) {
		return origin.Verdict{MayCome: true, Reason: origin.OldView, Evidence: v.Evidence}
	}
	memories := x.partHoldersAmong(ctx, services)
	// Asked once more: the prompt may have been read for another request before the replicas answered.
	if v = x.lookUpOriginOnce(ctx, nil); v.Reason == origin.Recorded || v.Reason == origin.Conflict {
		return v
	}
	stream := origin.Stream{Lifetime: x.decisionLifetime(), ReplicasAsked: x.asksReplicas(services...)}
	return origin.DecideAmong(stream, v.Evidence, memories)
}

// partHoldersAmong asks the replicas of several services at the same time.
func (x *exchange) partHoldersAmong(ctx context.Context, services []string) map[string]origin.Memory {
	found := make([]origin.Memory, len(services))
	var group sync.WaitGroup
	for i, service := range services {
		group.Go(func() { found[i] = x.g.partHolders(ctx, x.req.ID, service, x.lastPart()) })
	}
	group.Wait()
	memories := map[string]origin.Memory{}
	for i, service := range services {
		memories[service] = found[i]
	}
	return memories
}

// lookUpOriginOnce decides from what this host knows, and what the hosts know that may hold the
// record. memory is what replicas keep of the prompt; nil while they have not been asked.
func (x *exchange) lookUpOriginOnce(ctx context.Context, memory *origin.Memory) origin.Verdict {
	q := x.originQuery()
	stream := origin.Stream{Service: x.service, Lifetime: x.decisionLifetime(), ReplicasAsked: x.asksReplicas(x.service)}
	began := clock.Now()
	answers, unanswered := []origin.Answer{x.g.knownOrigin(q)}, 0
	answers[0].HoldsReaders = slices.Contains(x.g.readerHolders(q.part), x.g.self().Name)
	if !answers[0].Known {
		var received []origin.Answer
		received, unanswered = x.g.askOrigins(ctx, q)
		answers[0].ViewAge += clock.Since(began)
		answers = append(answers, received...)
	}
	stream.Waited = clock.Since(x.arrived)
	return origin.Decide(stream, answers, unanswered, memory)
}

// askOrigins asks the hosts that may hold the record of a stream, or readers of its prompt, until
// one has a record. unanswered is the number of those that did not answer in time.
func (g *Gateway) askOrigins(ctx context.Context, q originQuery) (answers []origin.Answer, unanswered int) {
	hosts := g.askedHosts(q)
	ctx, cancel := clock.WithTimeout(ctx, originLookupTimeout)
	defer cancel()
	holders := g.readerHolders(q.part)
	received := make(chan *originReply, len(hosts))
	for _, h := range hosts {
		go func() {
			r := g.askOrigin(ctx, h.Name, q)
			if r != nil {
				r.HoldsReaders = slices.Contains(holders, h.Name)
			}
			received <- r
		}()
	}
	for range hosts {
		r := <-received
		if r == nil {
			unanswered++
			continue
		}
		answers = append(answers, r.Answer)
		if r.Known {
			break
		}
	}
	return answers, unanswered
}

// askedHosts returns the hosts that may hold the record of a stream or readers of its prompt.
func (g *Gateway) askedHosts(q originQuery) []origin.Host {
	peers := g.originHosts()
	hosts := origin.Asked(q.key, peers)
	if q.part == (origin.Key{}) {
		return hosts
	}
	for _, h := range origin.Asked(q.part, peers) {
		if !slices.Contains(hosts, h) {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// originReply is the answer of a host that was asked.
type originReply struct {
	origin.Answer
	// inProgress says that an attempt of the stream, key, is in progress there, and uptime is for how long
	// the host has been running. closed says that the stream
	// may not be taken up any more, as far as its caller has said.
	// openStreams and openReaders are what the host knows of the session.
	inProgress  bool
	uptime      time.Duration
	key         origin.Key
	closed      bool
	openStreams [][]byte
	openReaders []*wire.PromptReader
}

// askOrigin asks a host what it knows; nil if it does not answer in time. Its view has aged by the
// duration of the call at most.
func (g *Gateway) askOrigin(ctx context.Context, host string, q originQuery) *originReply {
	asked := clock.Now()
	reply := &wire.StreamOriginReply{}
	req := &wire.StreamOriginRequest{Key: q.key[:], Service: q.service, LifetimeMs: uint32(origin.MaxHistory.Milliseconds()), Session: q.session}
	if q.part != (origin.Key{}) {
		req.Part = q.part[:]
	}
	if err := g.fleet.Caller().Call(ctx, host, methodOriginLookup, req, reply); err != nil {
		return nil
	}
	a := origin.Answer{
		Known: reply.GetKnown(), Service: reply.GetService(), Version: reply.GetVersion(), Versions: reply.GetVersions(),
		History: milliseconds(reply.GetHistoryMs()), ViewAge: milliseconds(reply.GetViewAgeMs()) + clock.Since(asked),
		Moved: milliseconds(reply.GetMovedMs()), ReadersFor: milliseconds(reply.GetReadersMs()), PartsShared: reply.GetPartsShared(),
	}
	for _, r := range reply.GetReaders() {
		a.Readers = append(a.Readers, origin.ServiceVersion{Service: r.GetService(), Version: r.GetVersion()})
	}
	return &originReply{a, reply.GetInProgress(), milliseconds(reply.GetUptimeMs()), q.key, reply.GetClosed(), reply.GetOpenStreams(), reply.GetOpenReaders()}
}

func milliseconds(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }

// OriginState is what this host knows about the versions of streams, as the state dump shows it.
// The versions of each service are among the discovery's state.
type OriginState struct {
	// Streams is the number of streams whose version this host knows, and PromptReaders that of the
	// readers of prompts that it holds.
	Streams       int `json:"streams"`
	PromptReaders int `json:"prompt_readers"`
}

// state returns the state, for operators.
func (s *streamOrigins) state() OriginState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return OriginState{Streams: s.records.Len(), PromptReaders: s.readers.Len()}
}
