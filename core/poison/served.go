package poison

import "time"

// maxServed bounds the requests of which it is remembered that a run ended well,
// some 100 bytes each: at 500 requests a second those of the last 8 to 16 s. A
// request that is run more rarely is hardly at three ends by chance.
const maxSuccesses = 8192

// served remembers when runs ended well. Requests move to recent when a run of
// theirs ends well; when that has half of maxServed it becomes earlier, and what
// earlier had is forgotten.
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
	if now.After(s.recent[f]) {
		s.recent[f] = now
	}
}

// last is when a run last ended well; zero when none is remembered.
func (s *successTimes) last(f Fingerprint) time.Time {
	if at, ok := s.recent[f]; ok {
		return at
	}
	return s.earlier[f]
}
