package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http/httptrace"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/core/catalog"
	"github.com/wheatseam/wheatseam/core/reach"
	"github.com/wheatseam/wheatseam/discovery"
	"github.com/wheatseam/wheatseam/fleet"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/internal/httpbody"
	"github.com/wheatseam/wheatseam/wire"
)

const (
	// urgentReportDelay is for how long reports are collected before they are sent: a report
	// passes two or three hosts, and an engine gets six requests a second meanwhile.
	// otherReportDelay is that of reports which confirm what others know. With 20 ms for all, a
	// host sends almost twice as many messages (simulated with 63 hosts: 545 instead of 297 in a
	// power loss of five seconds).
	urgentReportDelay = 20 * time.Millisecond
	otherReportDelay  = 100 * time.Millisecond
	// reportLinkDelay is added to the ages of received reports, which do not include the time
	// on the link: the longest one-way delay between hosts. Without it, reports would count
	// longer the more hosts they have passed.
	reportLinkDelay = 20 * time.Millisecond
	// reporterRefreshInterval is the interval at which the failure domains of the hosts are
	// read again while there are reports.
	reporterRefreshInterval = time.Second
	// maxReachProbes limits the probes that begin at a time, every limitRefreshInterval.
	maxReachProbes = 8
	// deadlineMargin is how close to the deadline a time-out may be caused by it: connects are
	// timed by other timers than requests.
	deadlineMargin = 20 * time.Millisecond
)

// unreachableSetter is the part of route.Router that verdicts are passed to.
type unreachableSetter interface {
	SetUnreachable(now time.Time, pool, upstream string, until time.Time)
}

// reachability holds which replicas can't be reached; mu guards all fields but router and
// entries.
type reachability struct {
	router unreachableSetter
	// entries is the number of entries of the table: without any, responses need no lock.
	entries atomic.Int64

	mu    sync.Mutex
	table *reach.Table
	// unsent are the reports that have not been sent to the neighbours.
	unsent []reach.Report
	// sendAt is when they are to be sent.
	sendAt time.Time
	// avoided are the replicas that were logged as unreachable.
	avoided map[string]bool
	// listed counts the replicas of each service in countedView.
	listed      map[string]int
	countedView *discovery.View
	// domains are the failure domains of the hosts, as of domainsAt.
	domains   map[string]string
	domainsAt time.Time
}

// isConnectFailure reports whether an error means that a connection timed out, was refused, or
// had no route.
func isConnectFailure(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout() || errors.Is(err, syscall.ECONNREFUSED) ||
		errors.Is(err, syscall.EHOSTUNREACH) || errors.Is(err, syscall.ENETUNREACH)
}

// reportConnectFailure processes an attempt at a replica that ended without a connection. It is
// no evidence if the caller's deadline may have ended the attempt.
func (t *attempt) reportConnectFailure(err error) {
	if clock.Until(t.x.deadline) >= deadlineMargin {
		t.x.g.reportDialError(t.ctx, dialed{t.x.service, t.choice.Upstream, t.began, t.suspended}, err)
	}
}

// dialed is a connection attempt at a replica.
type dialed struct {
	service, replica string
	began            time.Time
	// suspended is for how long this host had been suspended when the attempt began.
	suspended time.Duration
}

// reportDialError processes the error of a call, if it is evidence that no connection could be
// established: neither the call's context nor a suspension of this host ended it.
func (g *Gateway) reportDialError(ctx context.Context, d dialed, err error) {
	var dial *httpbody.DialError
	if errors.As(err, &dial) && ctx.Err() == nil && clock.SuspendedTime() == d.suspended {
		g.connectFailed(d.service, d.replica, d.began, err)
	}
}

// connectFailed processes the error of a connection attempt at a replica.
func (g *Gateway) connectFailed(service, replica string, began time.Time, err error) {
	if !isConnectFailure(err) {
		return
	}
	now, v := clock.Now(), g.discovery.View()
	s := &g.reachability
	s.mu.Lock()
	defer s.mu.Unlock()
	wasCutOff := s.table.CutOff(service)
	report, announce := s.table.Failed(now, reach.Attempt{Replica: replica, Service: service, Began: began, Listed: s.listedIn(v, service), IsListed: v.Replicas.Has})
	if announce {
		delay := urgentReportDelay
		if v := s.table.Verdict(now, replica); len(v.Reporters) > 0 {
			delay = otherReportDelay
		}
		g.queueReports(now, delay, report)
	}
	if cutOff := s.table.CutOff(service); cutOff != wasCutOff {
		if cutOff {
			g.log.Warn("over half of a service's replicas unreachable from here; own connection failures ignored",
				zap.String("service", service), zap.Int("replicas", len(s.table.InService(service))))
		}
		for _, id := range s.table.InService(service) {
			g.applyVerdict(now, v.Replicas, id)
		}
	}
	g.applyVerdict(now, v.Replicas, replica)
	s.entries.Store(int64(s.table.Len()))
}

// listedIn returns the number of listed replicas of a service; mu must be held.
func (s *reachability) listedIn(v *discovery.View, service string) int {
	if s.countedView != v {
		s.countedView, s.listed = v, map[string]int{}
		for r := range v.Replicas.All() {
			s.listed[r.Service]++
		}
	}
	return s.listed[service]
}

// connectSucceeded processes a connection to a replica, or a response from it.
func (g *Gateway) connectSucceeded(replica string) {
	s := &g.reachability
	if s.entries.Load() == 0 {
		return
	}
	now := clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.table.Has(replica) {
		return
	}
	s.table.Succeeded(now, replica)
	s.entries.Store(int64(s.table.Len()))
	r := g.discovery.View().Replicas.Get(replica)
	s.router.SetUnreachable(now, r.Service, replica, time.Time{})
	if s.avoided[replica] {
		delete(s.avoided, replica)
		g.log.Info("replica reachable again", zap.String("service", r.Service), zap.String("replica", replica))
	}
}

// traceConnect returns a context with which a connection to a replica is processed as soon as it
// is established, if there is evidence against the replica: the response may take seconds.
func (g *Gateway) traceConnect(ctx context.Context, replica string) context.Context {
	if g.reachability.entries.Load() == 0 {
		return ctx
	}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { g.connectSucceeded(replica) }})
}

// mergeUnreachable merges the reports that a peer sends. Reports of hosts that this one does not
// know as alive are dropped.
func (g *Gateway) mergeUnreachable(received []*wire.ReplicaUnreachable) {
	if len(received) == 0 {
		return
	}
	g.metrics.GetOrCreateCounter("wheatseam_unreachable_notices_received_total").Add(len(received))
	now, replicas := clock.Now(), g.discovery.View().Replicas
	s := &g.reachability
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refreshDomains(now, g.fleet.Reachable)
	urgent, others := s.table.Merge(now, s.reportsFromWire(now, received))
	s.entries.Store(int64(s.table.Len()))
	g.queueReports(now, urgentReportDelay, urgent...)
	g.queueReports(now, otherReportDelay, others...)
	for _, r := range slices.Concat(urgent, others) {
		g.applyVerdict(now, replicas, r.Replica)
	}
}

// refreshDomains reads the failure domains of the hosts if that is due; mu must be held.
func (s *reachability) refreshDomains(now time.Time, reachable func() []fleet.Host) {
	if now.Sub(s.domainsAt) < reporterRefreshInterval {
		return
	}
	s.domainsAt, s.domains = now, map[string]string{}
	distinct := map[string]bool{}
	for _, h := range reachable() {
		s.domains[h.Name] = h.FailureDomain
		if h.FailureDomain != "" {
			distinct[h.FailureDomain] = true
		}
	}
	s.table.SetSeveralDomains(len(distinct) > 1)
}

// reportsFromWire drops reports with a negative age and of unknown hosts; mu must be held.
func (s *reachability) reportsFromWire(now time.Time, received []*wire.ReplicaUnreachable) []reach.Report {
	var out []reach.Report
	for _, r := range received {
		if domain, known := s.domains[r.GetReporter()]; known && r.GetAgeMs() >= 0 {
			out = append(out, reach.Report{Replica: r.GetReplica(), Reporter: r.GetReporter(), Domain: domain, At: timeFromAge(now, r.GetAgeMs()).Add(-reportLinkDelay)})
		}
	}
	return out
}

// queueReports sends reports to the neighbours after a delay, together with all that are queued
// by then; the lock of the reachability must be held.
func (g *Gateway) queueReports(now time.Time, delay time.Duration, reports ...reach.Report) {
	s := &g.reachability
	if len(reports) == 0 {
		return
	}
	if at := now.Add(delay); len(s.unsent) == 0 || at.Before(s.sendAt) {
		s.sendAt = at
		clock.AfterFunc(delay, g.sendReports)
	}
	s.unsent = append(s.unsent, reports...)
}

func (g *Gateway) sendReports() {
	s := &g.reachability
	s.mu.Lock()
	reports := s.unsent
	now := clock.Now()
	s.unsent = nil
	s.mu.Unlock()
	out := make([]*wire.ReplicaUnreachable, 0, len(reports))
	for _, r := range reports {
		out = append(out, &wire.ReplicaUnreachable{Replica: r.Replica, Reporter: r.Reporter, AgeMs: now.Sub(r.At).Milliseconds()})
	}
	g.sendToNeighbours("", &wire.NoticesHeard{Unreachable: out})
}

// applyVerdict passes the verdict on a replica to the router, and logs the first one by which it
// is avoided; the lock of the reachability must be held.
func (g *Gateway) applyVerdict(now time.Time, replicas *catalog.ReplicaSet, replica string) {
	s := &g.reachability
	r := replicas.Find(replica)
	if r == nil {
		return
	}
	v := s.table.Verdict(now, replica)
	s.router.SetUnreachable(now, r.Service, r.ID, v.Until)
	switch {
	case v.Until.IsZero():
		delete(s.avoided, replica)
	case v.Unreachable(now) && !s.avoided[replica]:
		s.avoided[replica] = true
		hosts := v.Reporters
		if v.Own {
			hosts = append(hosts, g.settings.Load().Host)
		}
		g.log.Warn("replica unreachable", zap.String("service", r.Service), zap.String("replica", replica),
			zap.Strings("hosts", hosts), zap.Duration("for", v.Until.Sub(now)))
		g.metrics.GetOrCreateCounter(fmt.Sprintf("wheatseam_replicas_became_unreachable_total{service=%q}", r.Service)).Inc()
	}
}

// refreshReachability drops old evidence, passes all verdicts to the router, which loses them
// when a replica is listed anew, and probes the replicas that are due.
func (g *Gateway) refreshReachability(now time.Time) {
	s := &g.reachability
	if s.entries.Load() == 0 {
		return
	}
	v := g.discovery.View()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refreshDomains(now, g.fleet.Reachable)
	for _, id := range s.table.Prune(now, func(service string) int { return s.listedIn(v, service) }) {
		g.applyVerdict(now, v.Replicas, id)
		delete(s.avoided, id)
	}
	s.entries.Store(int64(s.table.Len()))
	for _, id := range s.table.Replicas() {
		g.applyVerdict(now, v.Replicas, id)
	}
	for _, id := range s.table.DueProbes(now, maxReachProbes, v.Replicas.Has) {
		go g.probeReachable(v.Replicas.Get(id))
	}
}

// probeReachable opens a connection to a replica and sends nothing.
func (g *Gateway) probeReachable(r catalog.Replica) {
	began, suspended := clock.Now(), clock.SuspendedTime()
	refused, err := g.client.RefusesConnections(context.Background(), r.Address)
	result := "connected"
	switch {
	case refused:
		result = "refused"
		g.connectFailed(r.Service, r.ID, began, syscall.ECONNREFUSED)
	case err != nil:
		result = "failed"
		if clock.SuspendedTime() == suspended {
			g.connectFailed(r.Service, r.ID, began, err)
		}
	default:
		g.connectSucceeded(r.ID)
	}
	g.metrics.GetOrCreateCounter(fmt.Sprintf("wheatseam_reach_probes_total{result=%q}", result)).Inc()
}

// UnreachableState is the evidence against a replica as the state dump shows it.
type UnreachableState struct {
	Replica string `json:"replica"`
	// LeftS is the number of seconds for which the replica is avoided; 0 if it is on probation
	// or the evidence is ignored.
	LeftS float64 `json:"left_s"`
	// Own says that this host could not reach it; Hosts are the others whose reports count.
	Own   bool     `json:"own"`
	Hosts []string `json:"hosts"`
}

// states lists the evidence, for operators.
func (s *reachability) states(now time.Time) []UnreachableState {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []UnreachableState{}
	for _, id := range s.table.Replicas() {
		v := s.table.Verdict(now, id)
		out = append(out, UnreachableState{Replica: id, LeftS: max(0, v.Until.Sub(now).Seconds()), Own: v.Own, Hosts: v.Reporters})
	}
	return out
}

// count returns the number of replicas that are avoided or on probation.
func (s *reachability) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.avoided)
}
