package gateway

import (
	"bytes"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/wheatseam/wheatseam/core/origin"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/wire"
)

// openReaders returns the readers whose streams are in progress or may be taken up: those of the given
// ones, and others of the hosts that sent them. A reader's host knows, unless it has restarted since;
// the hosts that hold the records of streams do otherwise. Each host is asked once.
func (x *exchange) openReaders(readers []origin.Reader) []origin.Reader {
	byHost := map[string][]origin.Reader{}
	for _, r := range readers {
		if r.MayBeOpen(clock.Now()) {
			byHost[r.Host] = append(byHost[r.Host], r)
		}
	}
	open, untold := x.askHosts(byHost, func(host string, of []origin.Reader) (open, untold []origin.Reader) {
		return x.openAt(x.ctx, host, of)
	})
	return append(open, x.recordedReaders(untold)...)
}

// askHosts asks hosts about readers at the same time, and joins what they answer.
func (x *exchange) askHosts(byHost map[string][]origin.Reader, ask func(host string, of []origin.Reader) (open, untold []origin.Reader)) (open, untold []origin.Reader) {
	var mu sync.Mutex
	var group sync.WaitGroup
	for host, of := range byHost {
		group.Go(func() {
			o, u := ask(host, of)
			mu.Lock()
			defer mu.Unlock()
			open, untold = append(open, o...), append(untold, u...)
		})
	}
	group.Wait()
	return open, untold
}

// openAt asks the host that sent readers which requests of the session are open there. untold are the
// readers of which it does not know.
func (x *exchange) openAt(ctx context.Context, host string, readers []origin.Reader) (open, untold []origin.Reader) {
	part, asker := x.partKey(), x.originKey()
	reply := x.askOpen(ctx, host, readers, &wire.SessionStreams{Part: part[:], Asker: asker[:], Content: x.contentHash()})
	for _, r := range readers {
		age := origin.MaxLifetime - clock.Until(r.Expires)
		switch {
		case reply != nil && reply.isOpen(r, r.Stream == readers[0].Stream, x.isOwnAttempt(r)):
			open = append(open, r)
		case (reply == nil || reply.uptime < age) && !x.isOwnAttempt(r):
			untold = append(untold, r)
		}
	}
	if reply == nil {
		return open, untold
	}
	for _, m := range reply.openReaders {
		if r, ok := decodeReader(clock.Now(), m); ok && x.sharesRoute(r.Service) {
			open = append(open, r)
		}
	}
	return open, untold
}

// isOwnAttempt reports whether a reader has the content of this request: it is a former attempt of
// the caller, which does not take its stream up but sends the request anew. It is open only while it
// is in progress.
func (x *exchange) isOwnAttempt(r origin.Reader) bool {
	return x.contentHash() != 0 && r.Content == x.contentHash()
}

// recordedReaders returns the readers of whose streams some host holds a record.
func (x *exchange) recordedReaders(readers []origin.Reader) []origin.Reader {
	byHost := map[string][]origin.Reader{}
	for _, r := range readers {
		for _, h := range append(x.g.askedHosts(originQuery{key: r.Stream}), x.g.self()) {
			byHost[h.Name] = append(byHost[h.Name], r)
		}
	}
	open, _ := x.askHosts(byHost, func(host string, of []origin.Reader) (open, untold []origin.Reader) {
		reply := x.askOpen(x.ctx, host, of, &wire.SessionStreams{})
		for _, r := range of {
			if reply != nil && reply.isOpen(r, r.Stream == of[0].Stream, false) {
				open = append(open, r)
			}
		}
		return open, nil
	})
	return open
}

// askOpen asks a host in one message which streams of readers are open; nil if it does not answer in
// time. The answer is about the first one as a whole.
func (x *exchange) askOpen(ctx context.Context, host string, readers []origin.Reader, session *wire.SessionStreams) *originReply {
	for _, r := range readers {
		if !x.isOwnAttempt(r) {
			session.Streams = append(session.Streams, r.Stream[:])
		}
	}
	q := originQuery{key: readers[0].Stream, service: readers[0].Service, session: session}
	if host == x.g.self().Name {
		m := &wire.StreamOriginReply{}
		x.g.addOpenStreams(m, session)
		return &originReply{x.g.knownOrigin(q), x.g.origins.inProgress(q.key), clock.Since(x.g.started), m.GetOpenStreams(), m.GetOpenReaders()}
	}
	ctx, cancel := clock.WithTimeout(ctx, readerCallTimeout)
	defer cancel()
	return x.g.askOrigin(ctx, host, q)
}

// isOpen reports whether a reader's stream is open. first says that the host was asked about it as a
// whole, which is all that earlier daemons answer; one of the caller's own attempts is open only while
// it is in progress.
func (r *originReply) isOpen(reader origin.Reader, first, own bool) bool {
	if first && (r.inProgress || r.Known && !own) {
		return true
	}
	return !own && slices.ContainsFunc(r.openStreams, func(key []byte) bool { return bytes.Equal(key, reader.Stream[:]) })
}

// addOpenStreams adds which streams of a session are open here to an answer.
func (g *Gateway) addOpenStreams(reply *wire.StreamOriginReply, m *wire.SessionStreams) {
	now, s := clock.Now(), &g.origins
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, raw := range m.GetStreams() {
		if key, ok := parseOriginKey(raw); ok && s.isOpen(now, key, false) {
			reply.OpenStreams = append(reply.OpenStreams, raw)
		}
	}
	part, ok := parseOriginKey(m.GetPart())
	asker, _ := parseOriginKey(m.GetAsker())
	if !ok {
		return
	}
	open := slices.DeleteFunc(s.readers.Others(now, part, asker), func(r origin.Reader) bool {
		own := m.GetContent() != 0 && r.Content == m.GetContent()
		return r.Host != g.self().Name || !s.isOpen(now, r.Stream, own)
	})
	for _, r := range origin.LastReaders(open) {
		reply.OpenReaders = append(reply.OpenReaders, encodeReader(now, r))
	}
}

// isOpen reports whether a stream is in progress here, or, unless inProgressOnly, recorded. The caller
// holds mu.
func (s *streamOrigins) isOpen(now time.Time, stream origin.Key, inProgressOnly bool) bool {
	_, recorded := s.records.Get(now, stream)
	return s.attempts[stream] > 0 || recorded && !inProgressOnly
}
