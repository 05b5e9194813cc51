package gateway

import (
	"fmt"
	"net/http"
	"sync"

	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/core/refusal"
	"github.com/wheatseam/wheatseam/discovery"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/platform"
)

// refusalMonitor counts the refusals of replicas, and raises an alarm when their load does
// not explain them. It is safe for concurrent use.
type refusalMonitor struct {
	mu      sync.Mutex
	monitor *refusal.Monitor
	// counters holds the names of each replica's counters, so that they can be unregistered
	// with it.
	counters map[string]map[string]bool
}

func newRefusalMonitor() *refusalMonitor {
	return &refusalMonitor{monitor: refusal.New(), counters: map[string]map[string]bool{}}
}

// refusalReason derives from a replica's answer why it refused.
func refusalReason(status int, head platform.ResponseHead) refusal.Reason {
	switch {
	case status == http.StatusConflict:
		return refusal.InputsMissing
	case head.Misdirected:
		return refusal.ReplicaMismatch
	case head.Load == nil:
		return refusal.LoadUnknown
	case refusal.Load{Running: head.Load.Running, Waiting: head.Load.Waiting, Slots: head.Load.Slots}.ExplainsRefusal():
		return refusal.Full
	}
	return refusal.Unexplained
}

// recordRefusal records the end of an attempt: it counts a refusal, and logs at a limited
// rate when a service refuses more than its load explains.
func (g *Gateway) recordRefusal(service, replica string, reason refusal.Reason) {
	g.refusals.mu.Lock()
	alarm, raised := g.refusals.monitor.Observe(clock.Now(), refusal.Attempt{Service: service, Replica: replica, Reason: reason})
	if reason != "" {
		name := fmt.Sprintf("wheatseam_refusals_total{service=%q,replica=%q,reason=%q}", service, replica, reason)
		if g.refusals.counters[replica] == nil {
			g.refusals.counters[replica] = map[string]bool{}
		}
		g.refusals.counters[replica][name] = true
		g.metrics.GetOrCreateCounter(name).Inc()
	}
	g.refusals.mu.Unlock()
	if raised {
		g.log.Warn(unexplainedRefusalsMessage, zap.String("service", alarm.Service), zap.Int("attempts", alarm.Attempts),
			zap.Int("refused", alarm.Unexplained), zap.Strings("replicas", alarm.Replicas), zap.Duration("over", refusal.Window))
	}
}

// unexplainedRefusalsMessage is the log message about a service whose replicas refuse while
// they have free capacity.
const unexplainedRefusalsMessage = "service refuses more than its load explains"

// dropRefusalCounters unregisters the counters of replicas that are no longer listed.
func (g *Gateway) dropRefusalCounters(v *discovery.View) {
	g.refusals.mu.Lock()
	defer g.refusals.mu.Unlock()
	for id, names := range g.refusals.counters {
		if v.Replicas.Has(id) {
			continue
		}
		for name := range names {
			g.metrics.UnregisterMetric(name)
		}
		delete(g.refusals.counters, id)
	}
}
