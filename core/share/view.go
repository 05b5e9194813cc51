package share

import "time"

// View is an immutable snapshot of a daemon's shares. It holds its own expiry:
// a reader that is not given a newer one falls back to the equal share in time.
// It is safe for concurrent use.
type View struct {
	equal    int64
	holdings map[ID]holding
}

// View returns the shares in force.
func (m *Machine) View(now time.Time) *View {
	if !m.dirty {
		return m.view
	}
	v := &View{equal: m.list.equal, holdings: map[ID]holding{}}
	for id, h := range m.holdings {
		if !h.free(now) {
			v.holdings[id] = *h
		}
	}
	m.view, m.dirty = v, false
	return v
}

// Millionths returns the daemon's share of a resource in millionths.
func (v *View) Millionths(now time.Time, r Resource) int64 {
	h, ok := v.holdings[r.ID()]
	if !ok {
		return v.equal
	}
	return h.share(now, v.equal)
}

// Pool returns the daemon's fraction of a pool's concurrency, 0 to 1.
func (v *View) Pool(now time.Time, pool string) float64 {
	return float64(v.Millionths(now, Resource{Pool, pool})) / FullShare
}

// Customer returns the daemon's fraction of a customer's limit, 0 to 1.
func (v *View) Customer(now time.Time, customer string) float64 {
	return float64(v.Millionths(now, Resource{Customer, customer})) / FullShare
}
