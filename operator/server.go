package operator

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
)

// The bounds of the listener.
const (
	maxHeaderBytes = 16 << 10
	readTimeout    = 5 * time.Second
	writeTimeout   = 30 * time.Second
	idleTimeout    = 2 * time.Minute
	maxRequestID   = 256
)

// Config is what a Server needs.
type Config struct {
	// Listen is the listener's ip:port.
	Listen      string
	Credentials Credentials
	Local       LocalDaemon
	Querier     *FleetQuerier
	// Metrics are the sets that /metrics shows, besides the process's own.
	Metrics []*metrics.Set
	// WriteMetrics, if set, writes the series of state that is read when asked.
	WriteMetrics func(w io.Writer)
	Logger       *zap.Logger
}

// Server is the operators' listener.
type Server struct {
	cfg      Config
	guard    *guard
	listener net.Listener
	http     *http.Server
}

// NewServer reads the credentials and listens; Serve answers.
func NewServer(cfg Config) (*Server, error) {
	g, err := newGuard(cfg.Credentials)
	if err != nil {
		return nil, err
	}
	s := &Server{cfg: cfg, guard: g}
	if s.listener, err = net.Listen("tcp", cfg.Listen); err != nil {
		return nil, fmt.Errorf("listen for operators: %w", err)
	}
	if g.tls != nil {
		s.listener = tls.NewListener(s.listener, g.tls)
	}
	s.http = &http.Server{
		Handler:           s.routes(),
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: readTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
	}
	return s, nil
}

// Addr returns the listener's address.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Serve answers until Shutdown.
func (s *Server) Serve() error {
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("operators' listener: %w", err)
	}
	return nil
}

// Shutdown finishes the requests being answered until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.http.Shutdown(ctx); err != nil {
		return errors.Join(err, s.http.Close())
	}
	return nil
}

// routes returns the handler. Health and readiness are open, since balancers
// have no token; without one they say no more than yes or no.
func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", s.serveHealth)
	mux.HandleFunc("GET /readyz", s.serveReady)
	guarded := func(pattern string, h http.HandlerFunc) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			if !s.guard.allows(r) {
				w.Header().Set("WWW-Authenticate", "Bearer")
				writeError(w, http.StatusUnauthorized, errors.New("token or client certificate needed"))
				return
			}
			h(w, r)
		})
	}
	guarded("GET /metrics", s.serveMetrics)
	guarded("GET /v1/status", s.serveStatus)
	guarded("GET /v1/dump", s.serveDump)
	guarded("GET /v1/explain/{id}", s.serveExplain)
	guarded("GET /v1/bundle", s.serveBundle)
	guarded("POST /v1/drain", s.serveDrain)
	return mux
}

// Health is the answer of /healthz and /readyz.
type Health struct {
	// Status is "ok" or "not ready".
	Status string `json:"status"`
	// Reason says why a host is not ready; only operators see it.
	Reason string `json:"reason,omitempty"`
}

// The states in a Health.
const (
	statusOK       = "ok"
	statusNotReady = "not ready"
)

func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, Health{Status: statusOK})
}

func (s *Server) serveReady(w http.ResponseWriter, r *http.Request) {
	st := s.cfg.Local.Status()
	if st.Ready {
		writeJSON(w, http.StatusOK, Health{Status: statusOK})
		return
	}
	h := Health{Status: statusNotReady}
	if s.guard.allows(r) {
		h.Reason = st.Reason
	}
	writeJSON(w, http.StatusServiceUnavailable, h)
}

func (s *Server) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	for _, set := range s.cfg.Metrics {
		set.WritePrometheus(w)
	}
	if s.cfg.WriteMetrics != nil {
		s.cfg.WriteMetrics(w)
	}
	metrics.WriteProcessMetrics(w)
}

func (s *Server) serveStatus(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.cfg.Local.Status())
}

// serveDump takes the queries host (default: this one) and section (default:
// all).
func (s *Server) serveDump(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	dump, err := s.cfg.Querier.Dump(r.Context(), q.Get("host"), q.Get("section"))
	if err != nil {
		writeError(w, statusOf(err), err)
		return
	}
	writeJSON(w, http.StatusOK, dump)
}

func (s *Server) serveExplain(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	if len(id) > maxRequestID {
		writeError(w, http.StatusBadRequest, fmt.Errorf("a request id has at most %d bytes", maxRequestID))
		return
	}
	e, err := s.cfg.Querier.Explain(r.Context(), id)
	if err != nil {
		writeError(w, statusOf(err), err)
		return
	}
	writeJSON(w, http.StatusOK, e)
}

// serveBundle answers the status of every host.
func (s *Server) serveBundle(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, s.cfg.Querier.Statuses(r.Context()))
}

func (s *Server) serveDrain(w http.ResponseWriter, r *http.Request) {
	s.cfg.Logger.Info("drain asked for by an operator", zap.String("address", r.RemoteAddr))
	s.cfg.Local.Drain()
	writeJSON(w, http.StatusOK, s.cfg.Local.Status())
}

// ErrorBody is the answer of a request that failed.
type ErrorBody struct {
	Error string `json:"error"`
}

// statusOf returns the HTTP status for an error of Fleet: what the fleet could
// not answer is a bad gateway.
func statusOf(err error) int {
	if isUnknown(err) || errors.Is(err, ErrUnknownHost) {
		return http.StatusNotFound
	}
	return http.StatusBadGateway
}

func isUnknown(err error) bool { return errors.Is(err, ErrUnknownRequest) }

func writeError(w http.ResponseWriter, status int, err error) {
	writeJSON(w, status, ErrorBody{Error: err.Error()})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		status, raw = http.StatusInternalServerError, []byte(`{"error":"the answer can't be written as JSON"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw) // an operator that went away needs no answer
}
