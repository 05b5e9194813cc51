package daemon

import (
	"github.com/cespare/xxhash/v2"

	"github.com/wheatseam/wheatseam/core/admit"
	"github.com/wheatseam/wheatseam/shares"
)

// addAdmission creates the admission controller and the service that divides
// fleet-wide limits among the daemons.
func (d *Daemon) addAdmission() {
	d.admitter = admit.New(admit.Config{})
	d.shares = shares.New(shares.Config{
		Host: d.settings.Host, Incarnation: d.incarnation, Admitter: d.admitter,
		LiveHosts: d.liveHostNames, Mux: d.peerMux, Seed: xxhash.Sum64String(d.settings.Host),
	})
	d.bundleAppliers = append(d.bundleAppliers, d.admitter, d.shares)
	d.dumpSections.Register("shares", func() any { return d.shares.ResourceShares() })
}

// liveHostNames returns the names of the entry hosts believed to be alive,
// including this one.
func (d *Daemon) liveHostNames() []string {
	out := []string{d.settings.Host}
	for _, m := range d.cluster.Members() {
		if m.Live() && m.Host.Name != d.settings.Host {
			out = append(out, m.Host.Name)
		}
	}
	return out
}
