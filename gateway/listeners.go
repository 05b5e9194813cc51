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

// The parts of limits.memory_mb for clients of the callers' listener, beside heldMemoryRatio. The
// memory of connections and heads belongs to the process; what the kernel holds of a connection
// counts toward the machine's limit.
const (
	connectionMemoryRatio = 0.2
	headMemoryRatio       = 0.05
	// minConnections are allowed however little memory there is.
	minConnections = 16
)

// Limits on callers that the configuration may raise.
const (
	minHeaderTimeout = 10 * time.Second
	minIdleTimeout   = 5 * time.Minute
	// unknownMaxHeadBytes is the size of heads while no configuration is known.
	unknownMaxHeadBytes = 64 << 10
)

// callerLimits returns the limits in force on clients of the callers' listener.
func (g *Gateway) callerLimits() httpserver.Limits {
	settings := g.settings.Load().Limits
	l := httpserver.Limits{
		Connections: g.maxConnections, HeadMemory: int64(headMemoryRatio * float64(settings.memoryBytes())), MaxHeadBytes: unknownMaxHeadBytes,
		HeaderTimeout: minHeaderTimeout, IdleTimeout: minIdleTimeout, KeepIdle: minIdleTimeout, WriteTimeout: cmp.Or(settings.WriteTimeout, httpserver.DefaultWriteTimeout),
	}
	if c := configOf(g.discovery.View()); c != nil {
		l.MaxHeadBytes = cmp.Or(c.Limits.MaxHeaderBytes, l.MaxHeadBytes)
		l.KeepIdle = cmp.Or(c.Limits.IdleTimeout, l.KeepIdle)
		l.HeaderTimeout = max(l.HeaderTimeout, c.Limits.HeaderTimeout)
		l.IdleTimeout = max(l.IdleTimeout, c.Limits.IdleTimeout)
	}
	l.HeadMemory = max(l.HeadMemory, httpserver.MinHeadMemory(l.MaxHeadBytes))
	return l
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
