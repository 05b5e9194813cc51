package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/goccy/go-yaml"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/cluster"
	"github.com/wheatseam/wheatseam/core/request"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/operator"
)

// maxDumpRequests bounds the requests in flight that a dump lists.
const maxDumpRequests = 1000

// inspectTimeout bounds the wait for the cluster's loops.
const inspectTimeout = 200 * time.Millisecond

// clusterDump is the state of membership and configuration.
func (d *Daemon) clusterDump() cluster.Dump {
	ctx, cancel := clock.WithTimeout(context.Background(), inspectTimeout)
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
		Querier: operator.NewFleetQuerier(local, d.records, d.sections, d.peers, d.peerMux),
		Metrics: []*metrics.Set{d.metrics}, WriteMetrics: d.writeStates,
		Logger: d.log,
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
	if err := d.CheckAdmission(); err != nil {
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
func (l operatorLocal) Drain() {
	l.d.draining.Store(true)
	l.d.leave()
}

// Host implements operator.Local.
func (l operatorLocal) Host() string { return l.d.settings.Host }

// Hosts implements operator.Local: the hosts of the bundle in force, also those
// that are gone; before there is one, the members heard of.
func (l operatorLocal) Hosts() []string {
	var names []string
	if b := l.d.bundle.Load(); b != nil {
		for _, h := range b.Hosts {
			names = append(names, h.Name)
		}
		return names
	}
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

// bundleDump is the dump's section about the bundle.
type bundleDump struct {
	Version uint64    `json:"version"`
	Digest  string    `json:"digest"`
	Source  string    `json:"source"`
	Since   time.Time `json:"since"`
	// Content is the bundle without the hashes of the customers' keys.
	Content json.RawMessage `json:"content,omitempty"`
	Error   string          `json:"error,omitempty"`
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
	d.sections.Register("quarantine", func() any { return d.quarantine.Dump() })
	d.sections.Register("peers", func() any { return d.peers.Sessions() })
	d.sections.Register("pools", func() any { return d.admitter.State(d.Now()) })
	d.sections.Register("upstreams", func() any { return d.router.Dump(d.Now()) })
	d.sections.Register("load", func() any { return d.loads.dump() })
	d.sections.Register("failing_pools", func() any { return d.health.OpenPools() })
	d.sections.Register("claims", func() any { return d.claims.Dump() })
	d.sections.Register("kept_results", func() any { return d.keptStore.Stats() })
	d.sections.Register("retries", func() any { return d.budgets.Retry.Stats() })
	d.sections.Register("hedges", func() any { return d.budgets.Hedge.Stats() })
}

func (d *Daemon) dumpBundle() bundleDump {
	var dump bundleDump
	b := d.bundle.Load()
	if b == nil {
		return dump
	}
	dump.Version = b.Version
	dump.Digest, dump.Source, dump.Since = d.origin()
	content, err := bundleJSON(b)
	if err != nil {
		dump.Error = err.Error()
	}
	dump.Content = content
	return dump
}

// bundleJSON writes a bundle with the keys and units of its YAML form, less
// the hashes of the customers' keys.
func bundleJSON(b *bundle.Bundle) (json.RawMessage, error) {
	shown := *b
	shown.Customers = slices.Clone(b.Customers)
	for i := range shown.Customers {
		shown.Customers[i].KeyHashes = nil
	}
	raw, err := yaml.Marshal(&shown)
	if err != nil {
		return nil, err
	}
	return yaml.YAMLToJSON(raw)
}
