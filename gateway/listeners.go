package gateway

import (
	"cmp"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/internal/httpserver"
	"github.com/wheatseam/wheatseam/platform"
)

const (
	// connectionMemoryRatio is the part of limits.memory_mb for connections of callers, beside
	// heldMemoryRatio. What the kernel holds of them counts toward the machine's limit.
	connectionMemoryRatio = 0.2
	// minConnections are allowed however little memory there is.
	minConnections = 16
)

// Limits on callers.
const (
	// headerTimeout limits the time for reading a head. The operator's limit is 3 s.
	headerTimeout = 10 * time.Second
	// idleTimeout is above any limit of the configuration.
	idleTimeout = 5 * time.Minute
	// maxHeadBytes is above the limit of the configuration, 16 KiB.
	maxHeadBytes = 64 << 10
	// maxHeadMemory does not bind.
	maxHeadMemory = 1 << 40
)

// callerLimits returns the limits on clients of the callers' listener.
func (g *Gateway) callerLimits() httpserver.Limits {
	return httpserver.Limits{
		Connections: g.maxConnections, HeadMemory: maxHeadMemory, MaxHeadBytes: maxHeadBytes,
		HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, KeepIdle: g.keepIdle(),
	}
}

// keepIdle returns for how long callers may rely on an idle connection.
func (g *Gateway) keepIdle() time.Duration {
	if c := configOf(g.discovery.View()); c != nil {
		return cmp.Or(c.Limits.IdleTimeout, idleTimeout)
	}
	return idleTimeout
}

// maxConnections returns the number of connections of callers: what the settings say, or what
// memory and descriptors allow.
func (l Limits) maxConnections() int {
	if l.Connections > 0 {
		return l.Connections
	}
	const each = httpserver.ConnectionBytes + httpserver.UnreadBytes
	byMemory := int(connectionMemoryRatio * float64(l.memoryBytes()) / each)
	return min(max(minConnections, byMemory), httpserver.MaxConnections(l.Descriptors))
}

// listenCallers opens the callers' listener.
func (g *Gateway) listenCallers() (*httpserver.Server, error) {
	return httpserver.Listen(httpserver.Config{
		Name: "callers", Address: g.settings.Load().Listen.Callers, Handler: http.HandlerFunc(g.serve), Limits: g.callerLimits,
		Logger: g.log, Metrics: g.metrics, ErrorLog: zap.NewStdLog(g.log.Named("http")),
	})
}

// listenReadiness opens the listener for readiness probes.
func (g *Gateway) listenReadiness() (*httpserver.Server, error) {
	return httpserver.Listen(httpserver.Config{
		Name: "readiness", Address: g.settings.Load().Listen.Readiness, Handler: g.readinessHandler(), Limits: httpserver.SmallLimits,
		Logger: g.log, Metrics: g.metrics, ErrorLog: zap.NewStdLog(g.log.Named("http")),
	})
}

// openListeners opens the listeners for callers and readiness probes, both or none.
func (g *Gateway) openListeners() (callers, readiness *httpserver.Server, err error) {
	if callers, err = g.listenCallers(); err != nil {
		return nil, nil, err
	}
	if readiness, err = g.listenReadiness(); err != nil {
		return nil, nil, errors.Join(err, callers.Close())
	}
	return callers, readiness, nil
}

func (g *Gateway) readinessHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if g.draining.Load() || !g.discovery.View().Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}
