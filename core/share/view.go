package share

import "time"

// View is an immutable snapshot of a daemon's shares. It contains the times at which
// caps and leases expire, so a reader without a newer snapshot falls back to the
// equal share when they do. It is safe for concurrent use.
type View struct {
	equalShare  int64
	localShares map[ID]localShare
}

// View returns a snapshot of the current shares.
func (m *Machine) View(now time.Time) *View {
	if !m.dirty {
		return m.view
	}
	v := &View{equalShare: m.hostList.equalShare, localShares: map[ID]localShare{}}
	for id, s := range m.localShares {
		if !s.unbound(now) {
			v.localShares[id] = *s
		}
	}
	m.view, m.dirty = v, false
	return v
}

// Millionths returns the daemon's share of a resource in millionths.
func (v *View) Millionths(now time.Time, r Resource) int64 {
	s, ok := v.localShares[r.ID()]
	if !ok {
		return v.equalShare
	}
	return s.share(now, v.equalShare)
}

// Pool returns the daemon's fraction of a pool's concurrency, 0 to 1.
func (v *View) Pool(now time.Time, pool string) float64 {
	return float64(v.Millionths(now, Resource{Pool, pool})) / FullShare
}

// Customer returns the daemon's fraction of a customer's limit, 0 to 1.
func (v *View) Customer(now time.Time, customer string) float64 {
	return float64(v.Millionths(now, Resource{Customer, customer})) / FullShare
}
