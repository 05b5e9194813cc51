package daemon

import (
	"context"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/cluster"
	"github.com/wheatseam/wheatseam/core/request"
	"github.com/wheatseam/wheatseam/operator"
)

// maxDumpRequests bounds the requests in flight that a dump lists.
const maxDumpRequests = 1000

// inspectTimeout bounds the wait for the cluster's loops.
const inspectTimeout = 200 * time.Millisecond

// clusterDump is the state of membership and configuration.
func (d *Daemon) clusterDump() cluster.Dump {
	ctx, cancel := context.WithTimeout(context.Background(), inspectTimeout)
	defer cancel()
	return d.cluster.Dump(ctx)
}

// openOperators listens for operators. The peers must be open.
func (d *Daemon) openOperators() error {
	d.registerSections()
	d.registerGauges()
	local := operatorLocal{d}
	o := d.settings.Operators
	server, err := operator.NewServer(operator.Config{
		Listen: d.settings.Listen.Operators,
		Credentials: operator.Credentials{
			TokenFile: o.TokenFile, ClientCA: o.ClientCA, Cert: o.Cert, Key: o.Key,
		},
		Local:   local,
		Fleet:   operator.NewFleet(local, d.records, d.sections, d.peers, d.peerMux),
		Metrics: []*metrics.Set{d.metrics},
		Logger:  d.log,
	})
	if err != nil {
		return err
	}
	d.operators = server
	return nil
}

// operatorLocal shows a daemon to its operators' listener.
type operatorLocal struct{ d *Daemon }

// Status implements operator.Local.
func (l operatorLocal) Status() operator.Status {
	d := l.d
	st := operator.Status{
		Host: d.settings.Host, FailureDomain: d.settings.FailureDomain,
		Draining: d.draining.Load(), RequestsInFlight: d.table.Len(),
	}
	if err := d.Admittable(); err != nil {
		st.Reason = err.Detail
	}
	st.Ready = st.Reason == ""
	if b := d.bundle.Load(); b != nil {
		st.BundleVersion = b.Version
		st.BundleDigest, st.BundleSource, st.BundleSince = d.origin()
	}
	return st
}

// origin says where the bundle in force came from and since when it is.
func (d *Daemon) origin() (digest, source string, since time.Time) {
	r := d.clusterDump().Rollout
	if t := d.inForceFrom.Load(); t != nil {
		since = *t
	}
	return fmt.Sprintf("%016x", r.Digest), r.Source, since
}

// Drain implements operator.Local.
func (l operatorLocal) Drain() { l.d.leave() }

// Hosts implements operator.Local.
func (l operatorLocal) Hosts() []string {
	var names []string
	for _, m := range l.d.cluster.Members() {
		names = append(names, m.Host.Name)
	}
	return names
}

// processDump is the dump's section about the process.
type processDump struct {
	Status      operator.Status `json:"status"`
	Incarnation uint64          `json:"incarnation"`
	Now         time.Time       `json:"now"`
	// Dropped counts events for requests that were over.
	Dropped uint64 `json:"dropped_events"`
}

// bundleDump is the dump's section about the bundle: all of it but the
// hashes of the customers' keys.
type bundleDump struct {
	Version   uint64            `json:"version"`
	Digest    string            `json:"digest"`
	Source    string            `json:"source"`
	Since     time.Time         `json:"since"`
	Policy    bundle.Policy     `json:"policy"`
	Hosts     []bundle.Host     `json:"hosts"`
	Pools     []bundle.Pool     `json:"pools"`
	Pipelines []bundle.Pipeline `json:"pipelines"`
	Customers []string          `json:"customers"`
}

// registerSections registers what this package knows; the parts of the daemon
// register their own.
func (d *Daemon) registerSections() {
	d.sections.Register("process", func() any {
		return processDump{
			Status: operatorLocal{d}.Status(), Incarnation: d.incarnation,
			Now: d.Now(), Dropped: d.table.Dropped(),
		}
	})
	d.sections.Register("bundle", func() any { return d.dumpBundle() })
	d.sections.Register("cluster", func() any { return d.clusterDump() })
	d.sections.Register("requests", func() any { return append([]request.Overview{}, d.table.Overviews(maxDumpRequests)...) })
	d.sections.Register("records", func() any { return d.records.Stats() })
	d.sections.Register("peers", func() any { return d.peers.Sessions() })
	d.sections.Register("pools", func() any { return d.admitter.State(d.Now()) })
	d.sections.Register("retries", func() any { return d.budgets.Retry.Stats() })
	d.sections.Register("hedges", func() any { return d.budgets.Hedge.Stats() })
}

func (d *Daemon) dumpBundle() bundleDump {
	var dump bundleDump
	b := d.bundle.Load()
	if b == nil {
		return dump
	}
	dump.Digest, dump.Source, dump.Since = d.origin()
	dump.Version, dump.Policy = b.Version, b.Policy
	dump.Hosts, dump.Pools, dump.Pipelines = b.Hosts, b.Pools, b.Pipelines
	for _, c := range b.Customers {
		dump.Customers = append(dump.Customers, c.Name)
	}
	return dump
}
