package bundle

import (
	"slices"

	"github.com/wheatseam/wheatseam/internal/strictyaml"
)

// CheckSuccessor returns an error if next must not replace current: its version is
// not higher, its deployment differs, or its history of host lists does not include
// the active list. The error is a *CheckError without line numbers; its paths refer
// to next.
//
// If a host list were missing from the history, two lists could form two separate
// majorities for one claim. Daemons therefore reject such a bundle as well.
func CheckSuccessor(current, next *Bundle) error {
	r := &strictyaml.Report{}
	if next.Version <= current.Version {
		r.AddProblem("version", "%d is not above %d, the active version", next.Version, current.Version)
	}
	if next.Deployment != current.Deployment {
		r.AddProblem("deployment", "%q is not %q, the active deployment", next.Deployment, current.Deployment)
	}
	checkHostListHistory(current, next, r)
	return checkError(r)
}

// HostsEpoch returns the epoch of the active host list: one more than the version
// of the newest view, or 1 if there are no views.
func (b *Bundle) HostsEpoch() uint64 {
	if len(b.Views) == 0 {
		return 1
	}
	return b.Views[0].Version + 1
}

// checkHostListHistory checks that every host list keeps its epoch: the lists of
// next must equal the active list and the views of current with the same epochs.
func checkHostListHistory(current, next *Bundle, r *strictyaml.Report) {
	epoch := current.HostsEpoch()
	switch {
	case next.HostsEpoch() < epoch:
		r.AddProblem("views", "the newest view must be %d or later: the active host list is list %d", epoch-1, epoch)
	case next.HostsEpoch() == epoch && !SameHosts(current.Hosts, next.Hosts):
		r.AddProblem("views", "the host list changed: add the active list to views as the first entry, with version %d", epoch)
	case next.HostsEpoch() > epoch && !next.hasView(epoch):
		r.AddProblem("views", "the active host list is missing: it is list %d", epoch)
	}
	hostsByEpoch := map[uint64][]Host{epoch: current.Hosts}
	for _, v := range current.Views {
		hostsByEpoch[v.Version] = v.Hosts
	}
	for i, v := range next.Views {
		hosts, ok := hostsByEpoch[v.Version]
		if ok && !SameHosts(hosts, v.Hosts) {
			r.AddProblem(indexedPath("views", i)+".hosts", "differ from the hosts of list %d", v.Version)
		}
	}
}

func (b *Bundle) hasView(epoch uint64) bool {
	return slices.ContainsFunc(b.Views, func(v View) bool { return v.Version == epoch })
}

// SameHosts reports whether two host lists are the same view: they have the same
// names in the same failure domains, in any order. Addresses may differ, because a
// host that is replaced under the same name counts as restarted.
func SameHosts(a, b []Host) bool {
	if len(a) != len(b) {
		return false
	}
	domains := make(map[string]string, len(a))
	for _, h := range a {
		domains[h.Name] = h.FailureDomain
	}
	for _, h := range b {
		if domain, ok := domains[h.Name]; !ok || domain != h.FailureDomain {
			return false
		}
		delete(domains, h.Name)
	}
	return true
}
