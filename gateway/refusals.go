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

// refusals counts what replicas refuse, and tells when their load does not
// explain it. It is safe for concurrent use.
type refusals struct {
	mu    sync.Mutex
	watch *refusal.Monitor
	// counters holds the names of the counters of each replica, so that they go
	// with it.
	counters map[string]map[string]bool
}

func newRefusals() *refusals {
	return &refusals{watch: refusal.New(), counters: map[string]map[string]bool{}}
}

// reasonOf says why a replica refused, by its answer.
func reasonOf(status int, head platform.ResponseHead) refusal.Reason {
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

// noteRefusals takes the end of an attempt: it counts a refusal, and writes one
// line in a while when a service refuses more than its load explains.
func (g *Gateway) noteRefusals(service, replica string, reason refusal.Reason) {
	g.refusals.mu.Lock()
	alarm, raised := g.refusals.watch.Observe(clock.Now(), refusal.Attempt{Service: service, Replica: replica, Reason: reason})
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
		g.log.Warn(unexplainedRefusals, zap.String("service", alarm.Service), zap.Int("attempts", alarm.Attempts),
			zap.Int("refused", alarm.Unexplained), zap.Strings("replicas", alarm.Replicas), zap.Duration("over", refusal.Window))
	}
}

// unexplainedRefusals is the message of the line about a service whose replicas
// refuse while they have free places.
const unexplainedRefusals = "service refuses more than its load explains"

// forgetRefusals drops the counters of replicas that are no longer listed.
func (g *Gateway) forgetRefusals(v *discovery.View) {
	g.refusals.mu.Lock()
	defer g.refusals.mu.Unlock()
	for id, names := range g.refusals.counters {
		if _, listed := v.Replicas[id]; listed {
			continue
		}
		for name := range names {
			g.metrics.UnregisterMetric(name)
		}
		delete(g.refusals.counters, id)
	}
}
