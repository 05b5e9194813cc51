package gateway

import (
	"bytes"
	"slices"
	"sync"
	"time"

	"github.com/wheatseam/wheatseam/core/origin"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/wire"
)

// openLookup finds out which streams of a request's session are open. It asks each host once, and waits
// for no host again that did not answer the request before.
type openLookup struct {
	x *exchange
	// replies are what hosts answered about the readers that they sent; nil of one that did not.
	replies map[string]*originReply
	// sought are the readers that were asked about, and open those that are open.
	sought, open []origin.Reader
}

func (x *exchange) newOpenLookup() *openLookup {
	return &openLookup{x: x, replies: map[string]*originReply{}}
}

// seek asks about the streams of readers that it was not asked about before: whether they are in
// progress or may be taken up. A reader's host knows, and answers for others that it has sent, unless
// it has restarted since; the hosts that hold the records of streams do otherwise.
func (l *openLookup) seek(readers []origin.Reader) {
	byHost := map[string][]origin.Reader{}
	for _, r := range readers {
		asked := func(o origin.Reader) bool { return o.SameReader(r) && o.Host == r.Host }
		if r.MayBeOpen(clock.Now()) && !slices.ContainsFunc(l.sought, asked) {
			l.sought = append(l.sought, r)
			byHost[r.Host] = append(byHost[r.Host], r)
		}
	}
	l.askReaderHosts(byHost)
	var untold []origin.Reader
	for host, of := range byHost {
		open, unknown := l.judge(l.replies[host], of)
		l.open, untold = append(l.open, open...), append(untold, unknown...)
	}
	l.open = append(l.open, l.recorded(untold)...)
}

// withoutSuperseded returns those of some open readers whose streams have not been taken up at another
// host since: that host knows whether the stream is complete, the former one does not.
func withoutSuperseded(open, all []origin.Reader) []origin.Reader {
	return slices.DeleteFunc(open, func(r origin.Reader) bool {
		return slices.ContainsFunc(all, func(o origin.Reader) bool {
			return o.SameReader(r) && o.Host != r.Host && o.Expires.After(r.Expires)
		})
	})
}

// askReaderHosts asks the hosts that have not been asked yet, at the same time.
func (l *openLookup) askReaderHosts(byHost map[string][]origin.Reader) {
	part, asker := l.x.partKey(), l.x.originKey()
	asked := map[string][]origin.Reader{}
	for host, of := range byHost {
		if _, known := l.replies[host]; !known {
			asked[host] = of
		}
	}
	replies := l.x.askHosts(asked, func() *wire.SessionStreams {
		return &wire.SessionStreams{Part: part[:], Asker: asker[:], Content: l.x.contentHash()}
	})
	for host, reply := range replies {
		if l.replies[host] = reply; reply == nil {
			continue
		}
		for _, m := range reply.openReaders {
			if r, ok := decodeReader(clock.Now(), m); ok && l.x.sharesRoute(r.Service) {
				l.open = append(l.open, r)
			}
		}
	}
}

// judge returns those of a host's readers that are open by its answer, and those of which it does not
// know.
func (l *openLookup) judge(reply *originReply, readers []origin.Reader) (open, untold []origin.Reader) {
	for _, r := range readers {
		age, own := origin.MaxLifetime-clock.Until(r.Expires), l.x.isOwnAttempt(r)
		switch {
		case reply != nil && reply.isOpen(r, own):
			open = append(open, r)
		case (reply == nil || reply.uptime < age) && !own:
			untold = append(untold, r)
		}
	}
	return open, untold
}

// recorded returns the readers of whose streams some host holds a record.
func (l *openLookup) recorded(readers []origin.Reader) (open []origin.Reader) {
	byHost := map[string][]origin.Reader{}
	for _, r := range readers {
		for _, h := range append(l.x.g.askedHosts(originQuery{key: r.Stream}), l.x.g.self()) {
			if reply, asked := l.replies[h.Name]; reply != nil || !asked {
				byHost[h.Name] = append(byHost[h.Name], r)
			}
		}
	}
	replies := l.x.askHosts(byHost, func() *wire.SessionStreams { return &wire.SessionStreams{} })
	for host, reply := range replies {
		if reply == nil {
			l.replies[host] = nil
			continue
		}
		for _, r := range byHost[host] {
			if reply.isOpen(r, false) {
				open = append(open, r)
			}
		}
	}
	return open
}

// askHosts asks hosts about readers, all at the same time.
func (x *exchange) askHosts(byHost map[string][]origin.Reader, query func() *wire.SessionStreams) map[string]*originReply {
	var mu sync.Mutex
	var group sync.WaitGroup
	replies := map[string]*originReply{}
	for host, of := range byHost {
		group.Go(func() {
			reply := x.askOpen(host, of, query())
			mu.Lock()
			defer mu.Unlock()
			replies[host] = reply
		})
	}
	group.Wait()
	return replies
}

// isOwnAttempt reports whether a reader has the content of this request: it is a former attempt of
// the caller, which does not take its stream up but sends the request anew. It is open only while it
// is in progress.
func (x *exchange) isOwnAttempt(r origin.Reader) bool {
	return x.contentHash() != 0 && r.Content == x.contentHash()
}

// askOpen asks a host in one message which streams of readers are open; nil if it does not answer in
// time. The answer is about the first one as a whole.
func (x *exchange) askOpen(host string, readers []origin.Reader, session *wire.SessionStreams) *originReply {
	for _, r := range readers {
		if !x.isOwnAttempt(r) {
			session.Streams = append(session.Streams, r.Stream[:])
		}
	}
	q := originQuery{key: readers[0].Stream, service: readers[0].Service, session: session}
	if host == x.g.self().Name {
		m := &wire.StreamOriginReply{}
		x.g.addOpenStreams(m, q.key, session)
		return &originReply{x.g.knownOrigin(q), x.g.origins.inProgress(q.key), clock.Since(x.g.started), q.key, m.GetClosed(), m.GetOpenStreams(), m.GetOpenReaders()}
	}
	ctx, cancel := clock.WithTimeout(x.ctx, readerCallTimeout)
	defer cancel()
	return x.g.askOrigin(ctx, host, q)
}

// isOpen reports whether a reader's stream is open. Earlier daemons answer only about the stream of
// which the host was asked as a whole. One of the caller's own attempts is open only while it is in
// progress.
func (r *originReply) isOpen(reader origin.Reader, own bool) bool {
	if reader.Stream == r.key && (r.inProgress || r.Known && !r.closed && !own) {
		return true
	}
	return !own && slices.ContainsFunc(r.openStreams, func(key []byte) bool { return bytes.Equal(key, reader.Stream[:]) })
}

// addOpenStreams adds to an answer whether the stream that it is about is open here, and which of its
// session are.
func (g *Gateway) addOpenStreams(reply *wire.StreamOriginReply, stream origin.Key, m *wire.SessionStreams) {
	now, s := clock.Now(), &g.origins
	s.mu.Lock()
	defer s.mu.Unlock()
	reply.Closed = !s.isOpen(now, stream, false)
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

// isOpen reports whether a stream is in progress here, or, unless inProgressOnly, recorded and
// not given up by its caller. mu must be held.
func (s *streamOrigins) isOpen(now time.Time, stream origin.Key, inProgressOnly bool) bool {
	return s.attempts[stream] > 0 || s.records.Open(now, stream) && !inProgressOnly
}
