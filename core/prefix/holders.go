package prefix

import (
	"slices"
	"time"
)

const (
	// Memory is how long an engine is taken to hold parts after a prompt with
	// them was sent there. Engines drop the least recently used parts, as a rule
	// after minutes; a copy from an engine that has dropped them costs a round
	// trip.
	Memory = 30 * time.Second
	// MaxParts bounds the leading parts that are remembered, at some 200 bytes
	// each; the ones not seen for longest go.
	MaxParts = 8192
	// maxHolders bounds the engines remembered of each: one is enough to copy
	// from, and the others stand in when it goes.
	maxHolders = 3
)

// Engine names an engine and its ip:port.
type Engine struct{ Name, Address string }

// sighting is a prompt with the parts at an engine.
type sighting struct {
	engine Engine
	at     time.Time
}

// Holders is what is known of who holds what. The zero value knows nothing.
type Holders struct {
	// Entries move to recent when they are seen; when that has half of MaxParts,
	// it becomes earlier, and what earlier had is forgotten.
	recent, earlier map[uint64][]sighting
}

// Learn notes that an engine was sent a prompt with these leading parts.
func (h *Holders) Learn(now time.Time, leading []uint64, e Engine) {
	for _, hash := range leading {
		known := h.of(hash)
		next := make([]sighting, 0, maxHolders)
		next = append(next, sighting{e, now})
		for _, s := range known {
			if s.engine != e && len(next) < maxHolders {
				next = append(next, s)
			}
		}
		h.put(hash, next)
	}
}

// Holds says whether an engine is known to hold all the leading parts.
func (h *Holders) Holds(now time.Time, leading []uint64, name string) bool {
	return len(leading) > 0 && slices.ContainsFunc(h.of(leading[len(leading)-1]), func(s sighting) bool {
		return s.engine.Name == name && s.fresh(now)
	})
}

// Source returns an engine from which another one, named, can copy the longest
// leading parts that it is not known to hold, and false when nobody else holds
// more than it does. usable leaves engines out.
func (h *Holders) Source(now time.Time, leading []uint64, name string, usable func(Engine) bool) (Engine, bool) {
	for _, hash := range slices.Backward(leading) {
		var best *sighting
		known := h.of(hash)
		for i := range known {
			s := &known[i]
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

func (s *sighting) fresh(now time.Time) bool { return now.Sub(s.at) < Memory }

func (h *Holders) of(hash uint64) []sighting {
	if s, ok := h.recent[hash]; ok {
		return s
	}
	return h.earlier[hash]
}

func (h *Holders) put(hash uint64, s []sighting) {
	if _, ok := h.recent[hash]; !ok && len(h.recent) >= MaxParts/2 {
		h.recent, h.earlier = nil, h.recent
	}
	if h.recent == nil {
		h.recent = map[uint64][]sighting{}
	}
	h.recent[hash] = s
}

// Len returns the number of leading parts that are remembered.
func (h *Holders) Len() int { return len(h.recent) + len(h.earlier) }
