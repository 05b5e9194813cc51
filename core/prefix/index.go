package prefix

import (
	"slices"
	"time"
)

const (
	// EntryLifetime is how long an engine is assumed to keep a prefix after a prompt
	// with it was sent there. Engines evict the least recently used segments, usually
	// after minutes. Trying to copy from an engine that has evicted them costs a round
	// trip.
	EntryLifetime = 30 * time.Second
	// MaxPrefixes bounds the number of stored prefixes, at about 200 bytes each. Those
	// that were not recorded again recently are evicted, half of the bound at a time.
	MaxPrefixes = 8192
	// maxEnginesPerPrefix bounds the engines stored for each prefix. One is enough to
	// copy from; the others are fallbacks for when it becomes unusable.
	maxEnginesPerPrefix = 3
)

// Engine identifies an engine by its name and its ip:port address.
type Engine struct{ Name, Address string }

// location records that an engine was sent a prompt with a prefix.
type location struct {
	engine    Engine
	learnedAt time.Time
}

// Index maps prompt prefixes to the engines that are assumed to have them cached. The
// zero value is empty and ready to use.
type Index struct {
	// An entry is written to current when it is updated. When current reaches half of
	// MaxPrefixes, it becomes previous, and the old previous is dropped.
	current, previous map[uint64][]location
}

// RecordPrompt records that an engine was sent a prompt with these prefix hashes, shortest
// first.
func (h *Index) RecordPrompt(now time.Time, prefixes []uint64, e Engine) {
	for _, hash := range prefixes {
		locations := h.lookup(hash)
		updated := make([]location, 0, maxEnginesPerPrefix)
		updated = append(updated, location{e, now})
		for _, s := range locations {
			if s.engine != e && len(updated) < maxEnginesPerPrefix {
				updated = append(updated, s)
			}
		}
		h.store(hash, updated)
	}
}

// HasPrefix reports whether the named engine is assumed to have the longest of the
// prefixes.
func (h *Index) HasPrefix(now time.Time, prefixes []uint64, name string) bool {
	return len(prefixes) > 0 && slices.ContainsFunc(h.lookup(prefixes[len(prefixes)-1]), func(s location) bool {
		return s.engine.Name == name && s.fresh(now)
	})
}

// CopySource returns an engine from which the named engine can copy the longest prefix that
// it lacks. It returns false if no other engine has a longer prefix than the named one.
// Engines for which usable returns false are skipped.
func (h *Index) CopySource(now time.Time, prefixes []uint64, name string, usable func(Engine) bool) (Engine, bool) {
	for _, hash := range slices.Backward(prefixes) {
		var best *location
		locations := h.lookup(hash)
		for i := range locations {
			s := &locations[i]
			if !s.fresh(now) {
				continue
			}
			if s.engine.Name == name {
				return Engine{}, false
			}
			if best == nil && usable(s.engine) {
				best = s
			}
		}
		if best != nil {
			return best.engine, true
		}
	}
	return Engine{}, false
}

func (s *location) fresh(now time.Time) bool { return now.Sub(s.learnedAt) < EntryLifetime }

func (h *Index) lookup(hash uint64) []location {
	if s, ok := h.current[hash]; ok {
		return s
	}
	return h.previous[hash]
}

func (h *Index) store(hash uint64, s []location) {
	if _, ok := h.current[hash]; !ok && len(h.current) >= MaxPrefixes/2 {
		h.current, h.previous = nil, h.current
	}
	if h.current == nil {
		h.current = map[uint64][]location{}
	}
	h.current[hash] = s
}

// Len returns the number of stored prefixes.
func (h *Index) Len() int { return len(h.current) + len(h.previous) }
