package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/internal/httpserver"
)

// Limits of the operators' listener.
const (
	maxConnections    = 64
	maxHeaderMemory   = 8 << 20
	maxHeaderBytes    = 16 << 10
	readTimeout       = 5 * time.Second
	writeTimeout      = 30 * time.Second
	idleTimeout       = 2 * time.Minute
	maxRequestIDBytes = 256
)

// Config holds the parameters of a Server.
type Config struct {
	// Listen is the ip:port that the server listens on.
	Listen      string
	Credentials Credentials
	Local       LocalDaemon
	Querier     *FleetQuerier
	// Metrics are the sets that /metrics returns in addition to the process
	// metrics.
	Metrics []*metrics.Set
	// WriteMetrics, if set, writes further metrics whose values are computed at
	// the time of the request.
	WriteMetrics func(w io.Writer)
	Logger       *zap.Logger
}

// Server serves the HTTP API for operators.
type Server struct {
	cfg           Config
	authenticator *authenticator
	http          *httpserver.Server
}

// NewServer reads the credentials and opens the listener. Serve handles the
// requests.
func NewServer(cfg Config) (*Server, error) {
	auth, err := newAuthenticator(cfg.Credentials)
	if err != nil {
		return nil, err
	}
	set := metrics.NewSet()
	cfg.Metrics = append(slices.Clone(cfg.Metrics), set)
	s := &Server{cfg: cfg, authenticator: auth}
	s.http, err = httpserver.Listen(httpserver.Config{
		Name: "operators", Address: cfg.Listen, Handler: s.routes(), Limits: limits, TLS: auth.tls,
		Logger: cfg.Logger, Metrics: set,
	})
	if err != nil {
		return nil, err
	}
	return s, nil
}

func limits() httpserver.Limits {
	return httpserver.Limits{
		Connections: maxConnections, HeadMemory: maxHeaderMemory, MaxHeadBytes: maxHeaderBytes,
		HeaderTimeout: readTimeout, IdleTimeout: idleTimeout, KeepIdle: idleTimeout, ReadTimeout: readTimeout, WriteTimeout: writeTimeout,
	}
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.http.Addr() }

// Serve handles requests until Shutdown is called.
func (s *Server) Serve() error { return s.http.Serve() }

// Shutdown stops the listener and waits for the requests in progress. If ctx ends
// first, it closes their connections and returns an error.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.http.Shutdown(ctx); err != nil {
		return errors.Join(err, s.http.Close())
	}
	return nil
}

// routes returns the HTTP handler. /healthz and /readyz need no credentials, since
// load balancers have no token. To an unauthenticated client they return only the
// status, without the reason.
func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", s.serveHealth)
	mux.HandleFunc("GET /readyz", s.serveReady)
	authenticated := func(pattern string, h http.HandlerFunc) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			if !s.authenticator.authenticate(r) {
				w.Header().Set("WWW-Authenticate", "Bearer")
				writeError(w, http.StatusUnauthorized, errors.New("token or client certificate needed"))
				return
			}
			h(w, r)
		})
	}
	authenticated("GET /metrics", s.serveMetrics)
	authenticated("GET /v1/status", s.serveStatus)
	authenticated("GET /v1/dump", s.serveDump)
	authenticated("GET /v1/explain/{id}", s.serveExplain)
	authenticated("GET /v1/bundle", s.serveBundle)
	authenticated("POST /v1/drain", s.serveDrain)
	return mux
}

// Health is the response body of /healthz and /readyz.
type Health struct {
	// Status is "ok" or "not ready".
	Status string `json:"status"`
	// Reason says why a host is not ready. It is sent to operators only.
	Reason string `json:"reason,omitempty"`
}

// The values of Health.Status.
const (
	statusOK       = "ok"
	statusNotReady = "not ready"
)

func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, Health{Status: statusOK})
}

func (s *Server) serveReady(w http.ResponseWriter, r *http.Request) {
	status := s.cfg.Local.Status()
	if status.Ready {
		writeJSON(w, http.StatusOK, Health{Status: statusOK})
		return
	}
	h := Health{Status: statusNotReady}
	if s.authenticator.authenticate(r) {
		h.Reason = status.Reason
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

// serveDump accepts the query parameters host (default: this host) and section
// (default: all sections).
func (s *Server) serveDump(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	dump, err := s.cfg.Querier.Dump(r.Context(), q.Get("host"), q.Get("section"))
	if err != nil {
		writeError(w, httpStatus(err), err)
		return
	}
	writeJSON(w, http.StatusOK, dump)
}

func (s *Server) serveExplain(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	if len(id) > maxRequestIDBytes {
		writeError(w, http.StatusBadRequest, fmt.Errorf("a request id has at most %d bytes", maxRequestIDBytes))
		return
	}
	e, err := s.cfg.Querier.Explain(r.Context(), id)
	if err != nil {
		writeError(w, httpStatus(err), err)
		return
	}
	writeJSON(w, http.StatusOK, e)
}

// serveBundle returns the status of every host.
func (s *Server) serveBundle(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, s.cfg.Querier.Statuses(r.Context()))
}

func (s *Server) serveDrain(w http.ResponseWriter, r *http.Request) {
	s.cfg.Logger.Info("operator requested a drain", zap.String("address", r.RemoteAddr))
	s.cfg.Local.Drain()
	writeJSON(w, http.StatusOK, s.cfg.Local.Status())
}

// ErrorBody is the response body of a failed request.
type ErrorBody struct {
	Error string `json:"error"`
}

// httpStatus returns the HTTP status for an error of FleetQuerier: 404 for an unknown
// request or host, else 502, since the queried host could not be reached or failed.
func httpStatus(err error) int {
	if isUnknownRequest(err) || errors.Is(err, ErrUnknownHost) {
		return http.StatusNotFound
	}
	return http.StatusBadGateway
}

func isUnknownRequest(err error) bool { return errors.Is(err, ErrUnknownRequest) }

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
	_, _ = w.Write(raw) // fails only if the operator has disconnected
}
