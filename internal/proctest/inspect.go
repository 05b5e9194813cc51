package proctest

import (
	"net/http"
	"time"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/internal/standin"
	"github.com/wheatseam/wheatseam/operator"
	"github.com/wheatseam/wheatseam/results"
)

// Pool returns a pool of the fleet's first bundle; the zero Pool if there is none
// of that name.
func (f *Fleet) Pool(name string) bundle.Pool {
	for _, p := range f.Bundle.Pools {
		if p.Name == name {
			return p
		}
	}
	return bundle.Pool{}
}

// SetPoolFaults sets the faults of every upstream in a pool.
func (f *Fleet) SetPoolFaults(pool string, faults standin.Faults) {
	for _, u := range f.Pool(pool).Upstreams {
		f.Upstream.Faults(u.Name).Set(faults)
	}
}

// BundleWithVersion returns a copy of the fleet's first bundle with another version.
func (f *Fleet) BundleWithVersion(version uint64) *bundle.Bundle {
	b := *f.Bundle
	b.Version = version
	return &b
}

// BundleVersion returns the version of the active bundle of host i; 0 if the host does
// not answer.
func (f *Fleet) BundleVersion(i int) uint64 {
	var hosts []operator.Status
	if err := f.CallOperatorAPI(i, http.MethodGet, "/v1/bundle", &hosts); err != nil {
		return 0
	}
	for _, h := range hosts {
		if h.Host == f.Hosts[i].Name {
			return h.BundleVersion
		}
	}
	return 0
}

// BundleVersions returns the versions of the active bundles of all hosts, by host
// index.
func (f *Fleet) BundleVersions() []uint64 {
	all := make([]uint64, len(f.Daemons))
	for i := range all {
		all[i] = f.BundleVersion(i)
	}
	return all
}

// LeavingUpstreams returns the names of the upstreams that host i considers to be
// leaving; nil if the host does not answer.
func (f *Fleet) LeavingUpstreams(i int) []string {
	var dump struct {
		Cluster struct {
			Membership struct {
				Leaving []string `json:"leaving_upstreams"`
			} `json:"membership"`
		} `json:"cluster"`
	}
	if err := f.CallOperatorAPI(i, http.MethodGet, "/v1/dump?section=cluster", &dump); err != nil {
		return nil
	}
	return dump.Cluster.Membership.Leaving
}

// KeptResults returns the number of requests for which host i keeps stage results;
// -1 if the host does not answer.
func (f *Fleet) KeptResults(i int) int {
	var dump struct {
		Kept results.Stats `json:"kept_results"`
	}
	if err := f.CallOperatorAPI(i, http.MethodGet, "/v1/dump?section=kept_results", &dump); err != nil {
		return -1
	}
	return dump.Kept.Requests
}

// StartedCountIn returns the number of executions that have started in a pool.
func (f *Fleet) StartedCountIn(pool string) int {
	n := 0
	for _, u := range f.Pool(pool).Upstreams {
		for _, e := range f.Upstream.Ledger().Entries() {
			if e.Upstream == u.Name {
				n++
			}
		}
	}
	return n
}

// LastStart returns when the latest execution at an upstream started; the Unix
// epoch if there was none.
func (f *Fleet) LastStart(upstream string) time.Time {
	var last int64
	for _, e := range f.Upstream.Ledger().Entries() {
		if e.Upstream == upstream {
			last = max(last, e.StartedUnixMS)
		}
	}
	return time.UnixMilli(last)
}
