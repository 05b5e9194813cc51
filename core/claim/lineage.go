package claim

import (
	"fmt"
	"slices"
	"time"

	"github.com/wheatseam/wheatseam/bundle"
)

// Host is one entry host of a host list.
type Host struct {
	Name          string
	FailureDomain string
	// EndedAt is the operators' word that the host's process had ended for good
	// by then; zero if it may be running.
	EndedAt time.Time
}

// View is one host list. Its epoch numbers it in the order of the lists.
type View struct {
	Epoch uint64
	Hosts []Host
}

// Has says whether the view lists a host.
func (v View) Has(host string) bool {
	return slices.ContainsFunc(v.Hosts, func(h Host) bool { return h.Name == host })
}

// sameHosts says whether two views list the same hosts, in any order.
func (v View) sameHosts(o View) bool {
	if len(v.Hosts) != len(o.Hosts) {
		return false
	}
	return !slices.ContainsFunc(v.Hosts, func(h Host) bool {
		return !slices.ContainsFunc(o.Hosts, func(x Host) bool {
			return x.Name == h.Name && x.FailureDomain == h.FailureDomain
		})
	})
}

// Lineage is the current host list and the earlier ones, newest first. It comes
// from a signed bundle, so every host sees the same list under one epoch.
type Lineage struct {
	Current View
	Earlier []View
}

// find returns the view with an epoch.
func (l Lineage) find(epoch uint64) (View, bool) {
	if l.Current.Epoch == epoch {
		return l.Current, true
	}
	i := slices.IndexFunc(l.Earlier, func(v View) bool { return v.Epoch == epoch })
	if i < 0 {
		return View{}, false
	}
	return l.Earlier[i], true
}

// FromBundle returns the lineage of a bundle. The epoch of an earlier list is
// its Version; the current list's is one more than the newest earlier one's, or
// 1. So a bundle that replaces a host moves the old list into views under its
// epoch, and a bundle that leaves the hosts alone leaves the views alone.
func FromBundle(b *bundle.Bundle) (Lineage, error) {
	l := Lineage{Current: View{Epoch: 1, Hosts: hosts(b.Hosts)}}
	for i, v := range b.Views {
		if i == 0 {
			l.Current.Epoch = v.Version + 1
		} else if v.Version >= b.Views[i-1].Version {
			return Lineage{}, fmt.Errorf("views[%d]: version %d is not older than the one before it", i, v.Version)
		}
		l.Earlier = append(l.Earlier, View{Epoch: v.Version, Hosts: hosts(v.Hosts)})
	}
	return l, nil
}

func hosts(in []bundle.Host) []Host {
	out := make([]Host, len(in))
	for i, h := range in {
		out[i] = Host{Name: h.Name, FailureDomain: h.FailureDomain, EndedAt: h.EndedAt}
	}
	return out
}
