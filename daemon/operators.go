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

// clusterDumpTimeout bounds the wait for the cluster's event loops.
const clusterDumpTimeout = 200 * time.Millisecond

// clusterDump returns the state of membership and configuration rollout.
func (d *Daemon) clusterDump() cluster.Dump {
	ctx, cancel := clock.WithTimeout(context.Background(), clusterDumpTimeout)
	defer cancel()
	return d.cluster.Dump(ctx)
}

// openOperators opens the operators' listener. The peers' listener must be open.
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
		Querier: operator.NewFleetQuerier(local, d.records, d.dumpSections, d.peerTransport, d.peerMux),
		Metrics: []*metrics.Set{d.metrics}, WriteMetrics: d.writeDynamicMetrics,
		Logger: d.log,
	})
	if err != nil {
		return err
	}
	d.operatorServer = server
	return nil
}

// operatorLocal implements operator.LocalDaemon for a daemon.
type operatorLocal struct{ daemon *Daemon }

// Status implements operator.LocalDaemon.
func (l operatorLocal) Status() operator.Status {
	d := l.daemon
	st := operator.Status{
		Host: d.settings.Host, FailureDomain: d.settings.FailureDomain,
		Draining: d.draining.Load(), RequestsInFlight: d.requestTable.Len(),
	}
	if err := d.CheckAdmission(); err != nil {
		st.Reason = err.Detail
	}
	st.Ready = st.Reason == ""
	if b := d.bundle.Load(); b != nil {
		st.BundleVersion = b.Version
		st.BundleDigest, st.BundleSource, st.BundleSince = d.bundleOrigin()
	}
	return st
}

// bundleOrigin returns the digest and source of the active bundle and the time since
// which it is active.
func (d *Daemon) bundleOrigin() (digest, source string, since time.Time) {
	r := d.clusterDump().Rollout
	if t := d.bundleAppliedAt.Load(); t != nil {
		since = *t
	}
	return fmt.Sprintf("%016x", r.Digest), r.Source, since
}

// Drain implements operator.LocalDaemon.
func (l operatorLocal) Drain() {
	l.daemon.draining.Store(true)
	l.daemon.startDrain()
}

// Host implements operator.LocalDaemon.
func (l operatorLocal) Host() string { return l.daemon.settings.Host }

// Hosts implements operator.LocalDaemon. It returns the hosts of the active bundle,
// alive or not, or the known members if there is no bundle yet.
func (l operatorLocal) Hosts() []string {
	var names []string
	if b := l.daemon.bundle.Load(); b != nil {
		for _, h := range b.Hosts {
			names = append(names, h.Name)
		}
		return names
	}
	for _, m := range l.daemon.cluster.Members() {
		names = append(names, m.Host.Name)
	}
	return names
}

// processDump is the section of the dump for the process.
type processDump struct {
	Status      operator.Status `json:"status"`
	Incarnation uint64          `json:"incarnation"`
	Now         time.Time       `json:"now"`
	// DroppedEvents is the number of events for requests that had already ended.
	DroppedEvents uint64 `json:"dropped_events"`
}

// bundleDump is the section of the dump for the active bundle.
type bundleDump struct {
	Version uint64    `json:"version"`
	Digest  string    `json:"digest"`
	Source  string    `json:"source"`
	Since   time.Time `json:"since"`
	// Content is the bundle without the hashes of the customers' API keys.
	Content json.RawMessage `json:"content,omitempty"`
	Error   string          `json:"error,omitempty"`
}

// registerSections registers the dump sections of this package. Some components of
// the daemon register their own.
func (d *Daemon) registerSections() {
	d.dumpSections.Register("process", func() any {
		return processDump{
			Status: operatorLocal{d}.Status(), Incarnation: d.incarnation,
			Now: d.Now(), DroppedEvents: d.requestTable.Dropped(),
		}
	})
	d.dumpSections.Register("bundle", func() any { return d.dumpBundle() })
	d.dumpSections.Register("cluster", func() any { return d.clusterDump() })
	d.dumpSections.Register("requests", func() any { return append([]request.Overview{}, d.requestTable.Overviews(maxDumpRequests)...) })
	d.dumpSections.Register("records", func() any { return d.records.Stats() })
	d.dumpSections.Register("quarantine", func() any { return d.quarantine.Dump() })
	d.dumpSections.Register("peers", func() any { return d.peerTransport.Sessions() })
	d.dumpSections.Register("pools", func() any { return d.admitter.State(d.Now()) })
	d.dumpSections.Register("upstreams", func() any { return d.router.Dump(d.Now()) })
	d.dumpSections.Register("load", func() any { return d.loads.dump() })
	d.dumpSections.Register("failing_pools", func() any { return d.breakers.OpenPools() })
	d.dumpSections.Register("claims", func() any { return d.claims.Dump() })
	d.dumpSections.Register("kept_results", func() any { return d.resultStore.Stats() })
	d.dumpSections.Register("retries", func() any { return d.budgets.Retry.Stats() })
	d.dumpSections.Register("hedges", func() any { return d.budgets.Hedge.Stats() })
}

func (d *Daemon) dumpBundle() bundleDump {
	var dump bundleDump
	b := d.bundle.Load()
	if b == nil {
		return dump
	}
	dump.Version = b.Version
	dump.Digest, dump.Source, dump.Since = d.bundleOrigin()
	content, err := bundleJSON(b)
	if err != nil {
		dump.Error = err.Error()
	}
	dump.Content = content
	return dump
}

// bundleJSON encodes a bundle with the field names and units of its YAML form,
// without the hashes of the customers' API keys.
func bundleJSON(b *bundle.Bundle) (json.RawMessage, error) {
	redacted := *b
	redacted.Customers = slices.Clone(b.Customers)
	for i := range redacted.Customers {
		redacted.Customers[i].KeyHashes = nil
	}
	raw, err := yaml.Marshal(&redacted)
	if err != nil {
		return nil, err
	}
	return yaml.YAMLToJSON(raw)
}
