package bundle

import (
	"slices"

	"github.com/wheatseam/wheatseam/internal/strictyaml"
)

// CheckSuccessor returns why next must not follow current: a version that is
// no higher, another deployment, or a lineage of host lists that does not hold
// the list in force. Its error is a *CheckError without lines; the paths are
// those of next.
//
// A host list that vanished from the lineage would let two lists form two
// majorities for one claim, so daemons refuse such a bundle too.
func CheckSuccessor(current, next *Bundle) error {
	r := &strictyaml.Report{}
	if next.Version <= current.Version {
		r.AddProblem("version", "%d is not above %d, the version in force", next.Version, current.Version)
	}
	if next.Deployment != current.Deployment {
		r.AddProblem("deployment", "%q is not %q, the deployment in force", next.Deployment, current.Deployment)
	}
	checkLineage(current, next, r)
	return checkError(r)
}

// HostsEpoch numbers the host list in force: one more than the newest view's
// number, or 1.
func (b *Bundle) HostsEpoch() uint64 {
	if len(b.Views) == 0 {
		return 1
	}
	return b.Views[0].Version + 1
}

// checkLineage wants every host list to keep its epoch: the list in force now
// must be the next bundle's list of the same epoch, and so must each view.
func checkLineage(current, next *Bundle, r *strictyaml.Report) {
	epoch := current.HostsEpoch()
	switch {
	case next.HostsEpoch() < epoch:
		r.AddProblem("views", "the newest view must be %d or later: the host list in force is list %d", epoch-1, epoch)
	case next.HostsEpoch() == epoch && !SameHosts(current.Hosts, next.Hosts):
		r.AddProblem("views", "the host list changed: put the list in force first, with version %d", epoch)
	case next.HostsEpoch() > epoch && !next.hasView(epoch):
		r.AddProblem("views", "the host list in force is missing: it is list %d", epoch)
	}
	known := map[uint64][]Host{epoch: current.Hosts}
	for _, v := range current.Views {
		known[v.Version] = v.Hosts
	}
	for i, v := range next.Views {
		hosts, ok := known[v.Version]
		if ok && !SameHosts(hosts, v.Hosts) {
			r.AddProblem(indexed("views", i)+".hosts", "differ from the hosts of list %d", v.Version)
		}
	}
}

func (b *Bundle) hasView(epoch uint64) bool {
	return slices.ContainsFunc(b.Views, func(v View) bool { return v.Version == epoch })
}

// SameHosts says that two host lists are the same view: the same names in the
// same failure domains, in any order. Addresses may differ, since a host that
// is replaced under its name counts as restarted.
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
