package gateway

import (
	"net/http"

	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/internal/httpserver"
	"github.com/wheatseam/wheatseam/platform"
)

// listenReadiness opens the listener for readiness probes.
func (g *Gateway) listenReadiness() (*httpserver.Server, error) {
	return httpserver.Listen(httpserver.Config{
		Name: "readiness", Address: g.settings.Load().Listen.Readiness, Handler: g.readinessHandler(), Limits: httpserver.SmallLimits,
		Logger: g.log, Metrics: g.metrics, ErrorLog: zap.NewStdLog(g.log.Named("http")),
	})
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
