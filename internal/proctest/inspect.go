package proctest

import (
	"net/http"
	"time"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/internal/standin"
	"github.com/wheatseam/wheatseam/operator"
	"github.com/wheatseam/wheatseam/results"
)

// Pool returns a pool of the fleet's first bundle.
func (f *Fleet) Pool(name string) bundle.Pool {
	for _, p := range f.Bundle.Pools {
		if p.Name == name {
			return p
		}
	}
	return bundle.Pool{}
}

// Fault sets the faults of every replica of a pool.
func (f *Fleet) Fault(pool string, faults standin.Faults) {
	for _, u := range f.Pool(pool).Upstreams {
		f.Upstream.Faults(u.Name).Set(faults)
	}
}

// Successor returns the fleet's first bundle under another version.
func (f *Fleet) Successor(version uint64) *bundle.Bundle {
	b := *f.Bundle
	b.Version = version
	return &b
}

// Version returns the version in force at host i, 0 when it does not answer.
func (f *Fleet) Version(i int) uint64 {
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

// Versions returns the versions in force at all hosts.
func (f *Fleet) Versions() []uint64 {
	all := make([]uint64, len(f.Daemons))
	for i := range all {
		all[i] = f.Version(i)
	}
	return all
}

// Leaving returns the upstreams that host i believes to leave.
func (f *Fleet) Leaving(i int) []string {
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

// Kept returns the number of requests that host i keeps results of, -1 when it
// does not answer.
func (f *Fleet) Kept(i int) int {
	var dump struct {
		Kept results.Stats `json:"kept_results"`
	}
	if err := f.CallOperatorAPI(i, http.MethodGet, "/v1/dump?section=kept_results", &dump); err != nil {
		return -1
	}
	return dump.Kept.Requests
}

// BegunAt counts the executions that have begun at a pool.
func (f *Fleet) BegunAt(pool string) int {
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

// LastBegun returns when the last execution at an upstream began.
func (f *Fleet) LastBegun(upstream string) time.Time {
	var last int64
	for _, e := range f.Upstream.Ledger().Entries() {
		if e.Upstream == upstream {
			last = max(last, e.StartedUnixMS)
		}
	}
	return time.UnixMilli(last)
}
