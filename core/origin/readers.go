package origin

import (
	"crypto/sha256"
	"slices"
	"time"
)

const (
	// MaxReaders limits the readers that one host holds, at about 250 bytes each.
	MaxReaders = 16384
	// maxReadersPerVersion limits those of one part at one version of a service, and
	// maxReadersPerPart those of one part.
	maxReadersPerVersion = 64
	maxReadersPerPart    = 128
	// maxDecidingVersions limits the versions of DecidingReaders, and maxDecidingReaders the readers of
	// each whose streams may be open.
	maxDecidingVersions = 8
	maxDecidingReaders  = 8
)

// PartKey returns the key by which the readers of a part of prompts are held. Readers of all
// customers count: replicas keep a part for whoever names it.
func PartKey(part string) Key {
	h := sha256.New()
	_, _ = h.Write([]byte("part\x00")) // hash.Hash.Write never returns an error
	_, _ = h.Write([]byte(part))
	return Key(h.Sum(nil)[:KeySize])
}

// Reader is a request that has a replica read its whole prompt.
type Reader struct {
	// Part is the key of the prompt's last part, and Stream that of the stream that the request
	// begins or takes up.
	Part, Stream Key
	// Host is the host that sent the request to the replica.
	Host string
	ServiceVersion
	// Content is a hash of the request's content, the same for all attempts of its caller.
	Content uint64
	// Expires is until when the reader is remembered, and OpenUntil until when its stream may be in
	// progress or be taken up; zero for one that can't be taken up.
	Expires, OpenUntil time.Time
}

// MayBeOpen reports whether the reader's stream may be in progress or be taken up.
func (r Reader) MayBeOpen(now time.Time) bool { return r.OpenUntil.After(now) }

// Readers holds readers of the last parts of prompts, for all hosts. A part that a session's requests
// share may have been read for any of them: that a replica keeps it shows which version began a
// stream only if no other request is known to have been read there.
type Readers struct {
	byPart map[Key][]Reader
	count  int
	// since is from when on none was dropped or missed, and sharedAt when a part was last read for
	// requests of different content; zero if never.
	since, sharedAt time.Time
	prunedAt        time.Time
	// expiresFrom is a time before which no reader expires.
	expiresFrom time.Time
}

// NewReaders returns a table that knows of none before now.
func NewReaders(now time.Time) Readers {
	return Readers{byPart: map[Key][]Reader{}, since: now}
}

// Missed records that readers may have been missed until then.
func (s *Readers) Missed(then time.Time) {
	if then.After(s.since) {
		s.since = then
	}
}

// CompleteFor returns for how long before now no reader was dropped or missed, of those that this
// host was told of.
func (s *Readers) CompleteFor(now time.Time) time.Duration {
	return min(MaxLifetime, max(0, now.Sub(s.since)))
}

// PartsShared reports whether requests of different content have shared a part within MaxLifetime:
// the last parts of prompts belong to sessions.
func (s *Readers) PartsShared(now time.Time) bool {
	return !s.sharedAt.IsZero() && now.Sub(s.sharedAt) <= MaxLifetime
}

// Put stores a reader. A further request of a stream at the same version renews the one before; an
// older copy, which another host held, does not.
func (s *Readers) Put(now time.Time, r Reader) {
	s.prune(now)
	if latest := now.Add(MaxLifetime); r.Expires.After(latest) {
		r.Expires = latest
	}
	readers := s.byPart[r.Part]
	if slices.ContainsFunc(readers, func(o Reader) bool { return o.SameReader(r) && o.Expires.After(r.Expires) }) {
		return
	}
	s.count -= len(readers)
	readers = slices.DeleteFunc(readers, r.SameReader)
	if slices.ContainsFunc(readers, func(o Reader) bool { return o.Content != r.Content }) {
		s.sharedAt = now
	}
	readers, dropped := limitReaders(append(readers, r))
	s.byPart[r.Part] = readers
	s.expireFrom(r.Expires)
	s.count += len(readers)
	if s.count > MaxReaders {
		s.dropAny(r.Part)
	}
	if dropped {
		s.Missed(now)
	}
}

// SameReader reports whether two readers are requests of one stream at one version.
func (r Reader) SameReader(o Reader) bool { return r.Stream == o.Stream && r.sameVersion(o) }

func (r Reader) sameVersion(o Reader) bool { return r.ServiceVersion == o.ServiceVersion }

// limitReaders drops the oldest readers of the newest one's version, or of the part, beyond the
// limits. The newest reader is the last one. It reports whether a version lost readers that tell
// which others have read the part.
func limitReaders(readers []Reader) (kept []Reader, dropped bool) {
	newest := readers[len(readers)-1]
	same := 0
	for _, r := range readers {
		if r.sameVersion(newest) {
			same++
		}
	}
	if same > maxReadersPerVersion {
		oldest := slices.IndexFunc(readers, newest.sameVersion)
		return slices.Delete(readers, oldest, oldest+1), false
	}
	if len(readers) > maxReadersPerPart {
		return slices.Delete(readers, 0, 1), true
	}
	return readers, false
}

// Retract removes a reader of a version that has not read the part after all.
func (s *Readers) Retract(part, stream Key, v ServiceVersion) {
	before := len(s.byPart[part])
	readers := slices.DeleteFunc(s.byPart[part], func(r Reader) bool { return r.Stream == stream && r.ServiceVersion == v })
	s.count -= before - len(readers)
	if len(readers) == 0 {
		delete(s.byPart, part)
		return
	}
	s.byPart[part] = readers
}

// dropAny drops the readers of a part other than keep, one that was read long ago among a few. Those
// that were announced no later than its last one may be missing then.
func (s *Readers) dropAny(keep Key) {
	const considered = 8
	var drop Key
	var last time.Time
	n := 0
	for part, readers := range s.byPart {
		if part == keep {
			continue
		}
		if at := LatestReader(readers).announcedAt(); n == 0 || at.Before(last) {
			drop, last = part, at
		}
		if n++; n >= considered {
			break
		}
	}
	s.count -= len(s.byPart[drop])
	delete(s.byPart, drop)
	s.Missed(last)
}

// announcedAt is when a reader was announced.
func (r Reader) announcedAt() time.Time { return r.Expires.Add(-MaxLifetime) }

// Others returns the readers of a part that are not of the given stream, the oldest one first.
func (s *Readers) Others(now time.Time, part, stream Key) []Reader {
	var out []Reader
	for _, r := range s.byPart[part] {
		if r.Stream != stream && r.Expires.After(now) {
			out = append(out, r)
		}
	}
	return out
}

// AmbiguousReaders returns the readers of a part at whose versions it may be kept though the stream did
// not begin there: those of other streams, and the stream's own if its attempts have had several
// versions read the part.
func (s *Readers) AmbiguousReaders(now time.Time, part, stream Key) []Reader {
	var own []Reader
	for _, r := range s.byPart[part] {
		if r.Stream == stream && r.Expires.After(now) {
			own = append(own, r)
		}
	}
	out := s.Others(now, part, stream)
	if slices.ContainsFunc(own, func(r Reader) bool { return !r.sameVersion(own[0]) }) {
		out = append(out, own...)
	}
	return out
}

// LatestReader returns the reader that expires last, which was announced last.
func LatestReader(readers []Reader) Reader {
	return slices.MaxFunc(readers, func(a, b Reader) int { return a.Expires.Compare(b.Expires) })
}

// DecidingReaders returns those readers of a part that decide where a request of its session runs: of
// the versions that have read it last, each one's last reader, and the last ones whose streams may be
// open, of as many hosts as possible.
func DecidingReaders(now time.Time, readers []Reader) []Reader {
	var out []Reader
	for _, of := range byVersion(readers) {
		last := of[0]
		if !last.MayBeOpen(now) {
			out = append(out, last)
		}
		open := slices.DeleteFunc(of, func(r Reader) bool { return !r.MayBeOpen(now) })
		out = append(out, firstOfHosts(open)[:min(maxDecidingReaders, len(open))]...)
	}
	return out
}

// LastReaders returns the last reader of each version, at most maxDecidingVersions.
func LastReaders(readers []Reader) []Reader {
	var out []Reader
	for _, of := range byVersion(readers) {
		out = append(out, of[0])
	}
	return out
}

// byVersion returns the readers of each of the maxDecidingVersions versions that have read the part
// last, the newest reader first.
func byVersion(readers []Reader) [][]Reader {
	newest := slices.SortedStableFunc(slices.Values(readers), func(a, b Reader) int { return b.Expires.Compare(a.Expires) })
	var out [][]Reader
	for _, r := range newest {
		i := slices.IndexFunc(out, func(of []Reader) bool { return of[0].sameVersion(r) })
		switch {
		case i >= 0:
			out[i] = append(out[i], r)
		case len(out) < maxDecidingVersions:
			out = append(out, []Reader{r})
		}
	}
	return out
}

// firstOfHosts returns the first reader of each host before the others.
func firstOfHosts(readers []Reader) []Reader {
	seen := map[string]bool{}
	var first, further []Reader
	for _, r := range readers {
		if seen[r.Host] {
			further = append(further, r)
			continue
		}
		seen[r.Host] = true
		first = append(first, r)
	}
	return append(first, further...)
}

// DistinctReaders returns each request once, as it was announced last, where several hosts have told
// of it.
func DistinctReaders(readers []Reader) []Reader {
	var out []Reader
	type request struct {
		stream Key
		ServiceVersion
	}
	index := map[request]int{}
	for _, r := range readers {
		i, known := index[request{r.Stream, r.ServiceVersion}]
		switch {
		case !known:
			index[request{r.Stream, r.ServiceVersion}] = len(out)
			out = append(out, r)
		case r.Expires.After(out[i].Expires):
			out[i] = r
		}
	}
	return out
}

// All returns all readers.
func (s *Readers) All(now time.Time) []Reader {
	var out []Reader
	for _, readers := range s.byPart {
		for _, r := range readers {
			if r.Expires.After(now) {
				out = append(out, r)
			}
		}
	}
	return out
}

// Len returns the number of readers.
func (s *Readers) Len() int { return s.count }

// prune removes expired readers.
func (s *Readers) prune(now time.Time) {
	if now.Sub(s.prunedAt) < pruneInterval {
		return
	}
	s.prunedAt = now
	if s.expiresFrom.After(now) {
		return
	}
	s.expiresFrom = now.Add(MaxLifetime)
	for part, readers := range s.byPart {
		if !firstExpiry(readers).After(now) {
			s.count -= len(readers)
			readers = slices.DeleteFunc(readers, func(r Reader) bool { return !r.Expires.After(now) })
			s.count += len(readers)
			if len(readers) == 0 {
				delete(s.byPart, part)
				continue
			}
			s.byPart[part] = readers
		}
		s.expireFrom(firstExpiry(readers))
	}
}

// expireFrom records that a reader expires at a time.
func (s *Readers) expireFrom(t time.Time) {
	if t.Before(s.expiresFrom) {
		s.expiresFrom = t
	}
}

// firstExpiry returns when the first of some readers expires. It copies none of them.
func firstExpiry(readers []Reader) time.Time {
	first := readers[0].Expires
	for i := range readers[1:] {
		if t := readers[i+1].Expires; t.Before(first) {
			first = t
		}
	}
	return first
}
