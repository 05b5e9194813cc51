package daemon

import (
	"github.com/cespare/xxhash/v2"

	"github.com/wheatseam/wheatseam/core/admit"
	"github.com/wheatseam/wheatseam/shares"
)

// addAdmission makes the admission controller and the division of fleet-wide
// limits that it follows.
func (d *Daemon) addAdmission() {
	d.admitter = admit.New(admit.Config{})
	d.shares = shares.New(shares.Config{
		Host: d.settings.Host, Incarnation: d.incarnation, Admitter: d.admitter,
		Live: d.liveHosts, Mux: d.peerMux, Seed: xxhash.Sum64String(d.settings.Host),
	})
	d.appliers = append(d.appliers, d.admitter, d.shares)
	d.sections.Register("shares", func() any { return d.shares.States() })
}

// liveHosts names the entry hosts believed to be alive, this one included.
func (d *Daemon) liveHosts() []string {
	out := []string{d.settings.Host}
	for _, m := range d.cluster.Members() {
		if m.Live() && m.Host.Name != d.settings.Host {
			out = append(out, m.Host.Name)
		}
	}
	return out
}
