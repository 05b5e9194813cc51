package poison

import "time"

// maxSuccesses is the maximum number of contents, and of parts, whose last successful run is
// retained, at about 100 bytes each. At 500 requests per second these are the requests of the last 8 to
// 16 s. A request that runs more rarely is unlikely to be involved in three crashes by
// chance.
const maxSuccesses = 8192

// successTimes holds when runs with subjects last succeeded, in two generations. A subject
// enters recent when a run of it succeeds. When recent has half of maxSuccesses entries, it
// replaces earlier, whose entries are discarded.
type successTimes struct {
	recent, earlier map[Fingerprint]time.Time
}

func (s *successTimes) record(now time.Time, f Fingerprint) {
	if _, ok := s.recent[f]; !ok && len(s.recent) >= maxSuccesses/2 {
		s.recent, s.earlier = nil, s.recent
	}
	if s.recent == nil {
		s.recent = map[Fingerprint]time.Time{}
	}
	if now.After(s.last(f)) {
		s.recent[f] = now
	}
}

// len returns the number of retained entries.
func (s *successTimes) len() int { return len(s.recent) + len(s.earlier) }

// last returns when a run with the subject last succeeded; zero if none is retained.
func (s *successTimes) last(f Fingerprint) time.Time {
	if at, ok := s.recent[f]; ok {
		return at
	}
	return s.earlier[f]
}
