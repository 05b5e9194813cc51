package gateway

import (
	"context"
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/core/origin"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/wire"
)

// That replicas of one version keep the last part of a prompt shows which version began a stream only
// if none of them has read it for another request: the part may belong to a session. While a service
// may have several versions, each request is therefore announced, before it is sent, to the hosts that
// hold the readers of its part, and they answer with the other readers. A host that gets a resume asks
// them.

const (
	// readerCallTimeout limits an announcement, and the question whether a stream is open, for which
	// the request waits.
	readerCallTimeout = 150 * time.Millisecond
	// readerAnswerSpread is for how long the answers of other holders are awaited after the first one.
	readerAnswerSpread = 30 * time.Millisecond
	// maxReadersPerCall limits a message that hands over readers to about 32 kB.
	maxReadersPerCall = 256
)

func newStreamOrigins() streamOrigins {
	return streamOrigins{readers: origin.NewReaders(clock.Now()), suspended: clock.SuspendedTime(), attempts: map[origin.Key]int{}, awaited: map[origin.Key]bool{}}
}

// partKey is the key of the last part of the request's prompt; zero if it names none.
func (x *exchange) partKey() origin.Key {
	if part := x.lastPart(); part.ID != "" {
		return origin.PartKey(part.ID)
	}
	return origin.Key{}
}

// contentHash is a hash of the request's content; 0 if there is none.
func (x *exchange) contentHash() uint64 { return binary.LittleEndian.Uint64(x.fingerprint[:]) }

// begin records that an attempt of a stream is in progress, until the returned function is called.
func (s *streamOrigins) begin(stream origin.Key) (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts[stream]++
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.attempts[stream]--; s.attempts[stream] <= 0 {
			delete(s.attempts, stream)
		}
	}
}

// inProgress reports whether an attempt of a stream is in progress at this host.
func (s *streamOrigins) inProgress(stream origin.Key) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.attempts[stream] > 0
}

// holdReaders stores the readers that a host announces, and returns the others of the first one's
// part, or those that decide.
func (s *streamOrigins) holdReaders(now time.Time, m *wire.PromptReaders) *wire.OtherReaders {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := &wire.OtherReaders{}
	for _, a := range m.GetRetracted() {
		if r, ok := decodeReader(now, a); ok {
			s.readers.Retract(r.Part, r.Stream, r.ServiceVersion)
		}
	}
	for i, a := range m.GetReaders() {
		r, ok := decodeReader(now, a)
		if !ok {
			continue
		}
		if i == 0 {
			others := s.readers.Others(now, r.Part, r.Stream)
			if m.GetDecidingOnly() {
				others = origin.DecidingReaders(now, others)
			}
			for _, o := range others {
				out.Readers = append(out.Readers, encodeReader(now, o))
			}
		}
		s.readers.Put(now, r)
	}
	return out
}

// otherVersions returns the versions that may keep the last part of a stream's prompt though the
// stream did not begin there (origin.Readers.AmbiguousReaders), and for how long before now none is
// missing. The caller holds mu.
func (s *streamOrigins) otherVersions(now time.Time, q originQuery) (versions []origin.ServiceVersion, completeFor time.Duration) {
	s.noteSuspension(now)
	for _, r := range s.readers.AmbiguousReaders(now, q.part, q.key) {
		if !slices.Contains(versions, r.ServiceVersion) {
			versions = append(versions, r.ServiceVersion)
		}
	}
	return versions, s.readers.CompleteFor(now)
}

// noteSuspension records that readers may have been missed while this host was suspended. The
// caller holds mu.
func (s *streamOrigins) noteSuspension(now time.Time) {
	if suspended := clock.SuspendedTime(); suspended != s.suspended {
		s.suspended = suspended
		s.readers.Missed(now)
	}
}

func encodeReader(now time.Time, r origin.Reader) *wire.PromptReader {
	return &wire.PromptReader{
		Part: r.Part[:], Stream: r.Stream[:], Host: r.Host, Service: r.Service, Version: r.Version, Content: r.Content,
		LeftMs:   uint32(max(0, r.Expires.Sub(now).Milliseconds())),
		ClosedMs: closedMS(r.Expires, r.OpenUntil),
	}
}

// closedMS is the time, in milliseconds, for which a record or reader is kept after its stream can be
// open.
func closedMS(expires, openUntil time.Time) uint32 {
	return uint32(max(0, min(origin.MaxLifetime, expires.Sub(openUntil)).Milliseconds()))
}

// decodeReader decodes a reader; it returns false if a key is malformed.
func decodeReader(now time.Time, m *wire.PromptReader) (origin.Reader, bool) {
	part, partOK := parseOriginKey(m.GetPart())
	stream, streamOK := parseOriginKey(m.GetStream())
	expires := now.Add(milliseconds(m.GetLeftMs()))
	return origin.Reader{
		Part: part, Stream: stream, Host: m.GetHost(), ServiceVersion: origin.ServiceVersion{Service: m.GetService(), Version: m.GetVersion()},
		Content: m.GetContent(), Expires: expires, OpenUntil: expires.Add(-milliseconds(m.GetClosedMs())),
	}, partOK && streamOK
}

// readerHolders returns the names of the hosts to which all others announce the readers of a part;
// none if it is zero.
func (g *Gateway) readerHolders(part origin.Key) []string {
	if part == (origin.Key{}) {
		return nil
	}
	var names []string
	for _, h := range origin.Holders(part, append(g.originHosts(), g.self())) {
		names = append(names, h.Name)
	}
	return names
}

// mayHaveUnknownReaders reports whether the prompt may have been read for another request that is
// not known: requests share parts, and the hosts have not been running for as long as replicas keep
// them.
func (x *exchange) mayHaveUnknownReaders() bool {
	now, s := clock.Now(), &x.g.origins
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readers.PartsShared(now) && s.readers.CompleteFor(now) < origin.MaxLifetime
}

// announcesReaders reports whether it matters at which version the prompt is read: the service may
// have several. Requests of all routes count, since they may share parts with streams that can be
// taken up.
func (x *exchange) announcesReaders() bool {
	return x.lastPart().ID != "" &&
		(len(x.route.Services()) > 1 || x.g.mayHaveSeveralVersions(x.service, x.streamLifetime()))
}

// reader is the request as a reader of its prompt at a version.
func (x *exchange) reader(version string) origin.Reader {
	r := origin.Reader{
		Part: x.partKey(), Stream: x.originKey(), Host: x.g.self().Name, ServiceVersion: origin.ServiceVersion{Service: x.service, Version: version},
		Content: x.contentHash(), Expires: clock.Now().Add(origin.MaxLifetime),
	}
	if x.route.Resumable {
		r.OpenUntil = x.arrived.Add(x.openLifetime())
	}
	return r
}

// announceReader tells the hosts that hold the readers of the prompt's last part which version
// reads it next, and returns the others that this host knows of, and a function that waits for those
// of the holders. Another version that was announced before is retracted if retracts is set.
func (x *exchange) announceReader(version string, retracts bool) (known []origin.Reader, await func() announcement) {
	g, now := x.g, clock.Now()
	r, former := x.reader(version), x.reader(x.announcedVersion)
	m := &wire.PromptReaders{Readers: []*wire.PromptReader{encodeReader(now, r)}, DecidingOnly: true}
	s := &g.origins
	s.mu.Lock()
	if retracts && former.Version != "" && former.Version != version {
		m.Retracted = []*wire.PromptReader{encodeReader(now, former)}
		s.readers.Retract(former.Part, former.Stream, former.ServiceVersion)
	}
	known = origin.DecidingReaders(now, s.readers.Others(now, r.Part, r.Stream))
	s.readers.Put(now, r)
	s.mu.Unlock()
	x.announcedVersion = version
	asked := origin.Asked(r.Part, g.originHosts())
	holders := origin.Holders(r.Part, asked)
	received := make(chan announcement, len(holders))
	for i, h := range holders {
		go func() { received <- g.announceTo(h.Name, asked[len(holders):], i, m) }()
	}
	return known, func() announcement { return collectReaders(received, len(holders)) }
}

// announcement is the outcome of announcements to holders: the others that they hold, whether one
// answered, and the hosts that did not.
type announcement struct {
	others   []origin.Reader
	answered bool
	silent   []string
}

// collectReaders joins n announcements, of those that are answered within readerAnswerSpread after the
// first answer. Any holder knows the readers; the announcement to a slow one goes on.
func collectReaders(received <-chan announcement, n int) (out announcement) {
	var spread <-chan time.Time
	for range n {
		select {
		case a := <-received:
			out.others, out.silent = append(out.others, a.others...), append(out.silent, a.silent...)
			if a.answered && spread == nil {
				out.answered = true
				timer := time.NewTimer(readerAnswerSpread)
				defer timer.Stop()
				spread = timer.C
			}
		case <-spread:
			return out
		}
	}
	return out
}

// noteReader records, at this host only, that the version reads the prompt.
func (x *exchange) noteReader(version string) {
	if x.lastPart().ID == "" {
		return
	}
	s := &x.g.origins
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers.Put(clock.Now(), x.reader(version))
}

// announceTo announces readers to a holder, or to the spare of the same rank if it does not answer,
// and returns the other readers that it holds.
func (g *Gateway) announceTo(holder string, spares []origin.Host, rank int, m *wire.PromptReaders) announcement {
	var silent []string
	others, err := g.callAnnounce(holder, m)
	if err != nil && rank < len(spares) {
		silent = append(silent, holder)
		holder = spares[rank].Name
		others, err = g.callAnnounce(holder, m)
	}
	result := "held"
	if err != nil {
		result, silent = "failed", append(silent, holder)
		g.log.Info("announcing the readers of prompts failed", zap.String("peer", holder), zap.Int("readers", len(m.GetReaders())), zap.Error(err))
	}
	g.metrics.GetOrCreateCounter(fmt.Sprintf("wheatseam_prompt_readers_sent_total{result=%q}", result)).Add(len(m.GetReaders()))
	return announcement{others, err == nil, silent}
}

func (g *Gateway) callAnnounce(host string, m *wire.PromptReaders) ([]origin.Reader, error) {
	ctx, cancel := clock.WithTimeout(context.Background(), readerCallTimeout)
	defer cancel()
	now, reply := clock.Now(), &wire.OtherReaders{}
	if err := g.fleet.Caller().Call(ctx, host, methodReaders, m, reply); err != nil {
		return nil, err
	}
	var others []origin.Reader
	for _, o := range reply.GetReaders() {
		if r, ok := decodeReader(now, o); ok {
			others = append(others, r)
		}
	}
	return others, nil
}

// sendOwnReaders announces the requests of this host whose streams may still be taken up, since their
// services have got a further version.
func (g *Gateway) sendOwnReaders(services []string) {
	now := clock.Now()
	g.sendReaders(now, g.origins.ownReaders(now, g.self().Name, services))
}

// ownReaders returns the requests of this host at some services that began lately, or whose streams
// are in progress or may be taken up.
func (s *streamOrigins) ownReaders(now time.Time, self string, services []string) []origin.Reader {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(s.readers.All(now), func(r origin.Reader) bool {
		lately := r.Expires.Sub(now) >= origin.MaxLifetime-minStreamLifetime
		_, recorded := s.records.Get(now, r.Stream)
		open := recorded || s.attempts[r.Stream] > 0
		return r.Host != self || !slices.Contains(services, r.Service) || !lately && !open
	})
}

// handOverReaders sends the readers that this host holds to other hosts, since it is leaving.
func (g *Gateway) handOverReaders() {
	now := clock.Now()
	s := &g.origins
	s.mu.Lock()
	readers := s.readers.All(now)
	s.mu.Unlock()
	g.sendReaders(now, readers)
}

// sendReaders sends readers to their holders.
func (g *Gateway) sendReaders(now time.Time, readers []origin.Reader) {
	hosts := g.originHosts()
	byHost := map[string][]*wire.PromptReader{}
	for _, r := range readers {
		for _, h := range origin.Holders(r.Part, hosts) {
			byHost[h.Name] = append(byHost[h.Name], encodeReader(now, r))
		}
	}
	for host, batch := range byHost {
		go func() {
			for chunk := range slices.Chunk(batch, maxReadersPerCall) {
				g.announceTo(host, nil, 0, &wire.PromptReaders{Readers: chunk})
			}
		}()
	}
}
