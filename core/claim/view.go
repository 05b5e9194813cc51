package claim

import (
	"fmt"
	"slices"
	"time"

	"github.com/wheatseam/wheatseam/bundle"
)

// Host is one host of a host list.
type Host struct {
	Name          string
	FailureDomain string
	// EndedAt is set by the operators to a time at which the host's process had
	// ended permanently; zero if the process may be running.
	EndedAt time.Time
}

// View is one version of the host list. Epochs increase from one version to the
// next.
type View struct {
	Epoch uint64
	Hosts []Host
}

// Has reports whether the view contains host.
func (v View) Has(host string) bool {
	return slices.ContainsFunc(v.Hosts, func(h Host) bool { return h.Name == host })
}

// sameHosts reports whether two views contain the same hosts, in any order.
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

// Lineage holds the current host list and the earlier ones, newest first. It comes
// from a signed bundle, so an epoch denotes the same list on every host.
type Lineage struct {
	Current View
	Earlier []View
}

// find returns the view with the given epoch.
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

// FromBundle returns the lineage of a bundle. The epoch of an earlier list is its
// Version. The epoch of the current list is that of the newest earlier list plus 1,
// or 1 if there is none. A bundle that replaces a host therefore adds the previous
// list with its epoch to views, and a bundle that keeps the hosts keeps views as
// they are.
func FromBundle(b *bundle.Bundle) (Lineage, error) {
	l := Lineage{Current: View{Epoch: 1, Hosts: hostsFromBundle(b.Hosts)}}
	for i, v := range b.Views {
		if i == 0 {
			l.Current.Epoch = v.Version + 1
		} else if v.Version >= b.Views[i-1].Version {
			return Lineage{}, fmt.Errorf("views[%d]: version %d is not older than the version of the preceding view", i, v.Version)
		}
		l.Earlier = append(l.Earlier, View{Epoch: v.Version, Hosts: hostsFromBundle(v.Hosts)})
	}
	return l, nil
}

func hostsFromBundle(in []bundle.Host) []Host {
	out := make([]Host, len(in))
	for i, h := range in {
		out[i] = Host{Name: h.Name, FailureDomain: h.FailureDomain, EndedAt: h.EndedAt}
	}
	return out
}
