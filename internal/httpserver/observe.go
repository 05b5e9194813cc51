package httpserver

import (
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/core/connections"
	"github.com/wheatseam/wheatseam/internal/clock"
)

// closeReason is why a connection was closed or refused.
type closeReason string

// The reasons; those for room name the phase of the connection that was closed for a new one.
const (
	closedHeadMemory   closeReason = "head_memory"
	closedHeadTooLarge closeReason = "head_too_large"
	closedUnreadAnswer closeReason = "room_unread_answer"
	closedAllBusy      closeReason = "refused_all_busy"
)

func closedForRoom(p connections.Phase) closeReason { return closeReason("room_" + p.String()) }

// closeLogInterval is the interval between log lines of one reason.
const closeLogInterval = time.Second

// closings counts the connections that were closed or refused, and logs them at a bounded rate.
type closings struct {
	name    string
	metrics *metrics.Set
	log     *zap.Logger

	mu sync.Mutex
	// logged is when each reason was last logged, unlogged how often it has occurred since.
	logged   map[closeReason]time.Time
	unlogged map[closeReason]int
}

func (l *closings) init(c Config) {
	l.name, l.metrics, l.log = c.Name, c.Metrics, c.Logger
	l.logged, l.unlogged = map[closeReason]time.Time{}, map[closeReason]int{}
}

// note counts a connection that was closed or refused.
func (l *closings) note(r closeReason, client net.Addr) {
	l.metrics.GetOrCreateCounter(fmt.Sprintf("wheatseam_connections_closed_total{listener=%q,reason=%q}", l.name, string(r))).Inc()
	now := clock.Now()
	l.mu.Lock()
	l.unlogged[r]++
	count, due := l.unlogged[r], now.Sub(l.logged[r]) >= closeLogInterval
	if due {
		l.logged[r], l.unlogged[r] = now, 0
	}
	l.mu.Unlock()
	if due {
		l.log.Warn("connections closed to stay within limits", zap.String("listener", l.name), zap.String("reason", string(r)),
			zap.Int("count", count), zap.Stringer("last_client", client))
	}
}

// registerGauges registers the gauges, which are computed when metrics are scraped.
func (s *Server) registerGauges() {
	gauge := func(name string, f func(connections.State) float64) {
		s.cfg.Metrics.GetOrCreateGauge(name, func() float64 { return f(s.State()) })
	}
	for _, p := range connections.Phases() {
		gauge(fmt.Sprintf("wheatseam_connections{listener=%q,phase=%q}", s.cfg.Name, p), func(st connections.State) float64 { return float64(st.ByPhase[p]) })
	}
	gauge(fmt.Sprintf("wheatseam_connections_limit{listener=%q}", s.cfg.Name), func(st connections.State) float64 { return float64(st.Limits.Connections) })
	gauge(fmt.Sprintf("wheatseam_head_memory_bytes{listener=%q}", s.cfg.Name), func(st connections.State) float64 { return float64(st.HeadBytes) })
	gauge(fmt.Sprintf("wheatseam_head_memory_limit_bytes{listener=%q}", s.cfg.Name), func(st connections.State) float64 { return float64(st.Limits.HeadBytes) })
}

// State returns a snapshot of the connections.
func (s *Server) State() connections.State {
	limits := s.cfg.Limits().forSet()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set.SetLimits(limits)
	return s.set.State()
}
