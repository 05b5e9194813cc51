// Package caller implements the HTTP/JSON API for callers. It authenticates
// callers, enforces size limits, decodes requests, and writes JSON responses,
// event streams and problem documents.
package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/core/request"
	"github.com/wheatseam/wheatseam/problem"
)

// Submission is an authenticated and validated request.
type Submission struct {
	RequestID      string
	Bundle         *bundle.Bundle
	Customer       *bundle.Customer
	Pipeline       *bundle.Pipeline
	Arrived        time.Time
	Deadline       time.Time
	IdempotencyKey string
	Stream         bool
	Prefix         string
	Input          json.RawMessage
}

// Sink receives the partial output that a streaming caller gets before the final
// answer. Its methods are called by one goroutine at a time.
type Sink interface {
	// Token writes the next part of the text.
	Token(text string)
	// Reset tells the caller to discard the text that it received so far.
	Reset()
	// Flush sends the buffered events to the caller.
	Flush()
}

// Backend processes submissions.
type Backend interface {
	// Bundle returns the active configuration, or nil if there is none yet.
	Bundle() *bundle.Bundle
	// CheckAdmission returns nil if the host accepts requests, else the reason why
	// it does not.
	CheckAdmission() *problem.Error
	// VoidKey voids the idempotency key of the submission. It returns true only
	// if no earlier request with that key has run or can still run.
	VoidKey(ctx context.Context, s Submission) bool
	// NewRequestID returns a unique request ID.
	NewRequestID() string
	// Now returns the current time.
	Now() time.Time
	// Serve runs a request to completion. ctx is cancelled when the caller
	// disconnects.
	Serve(ctx context.Context, s Submission, sink Sink) (*request.Answer, *problem.Error)
	// RecordRefusal is called for each request that is refused before it is passed to
	// Serve.
	RecordRefusal(requestID string, e *problem.Error)
}

// Config holds the parameters of a Server.
type Config struct {
	Backend Backend
	// MaxBodyBytes limits the size of a request body.
	MaxBodyBytes int64
	// WriteGrace is how long after the deadline of its request a caller may take
	// to read the response. The default is 1 s.
	WriteGrace time.Duration
}

const defaultWriteGrace = time.Second

// Server is the http.Handler of the listener for callers.
type Server struct {
	cfg           Config
	mux           *http.ServeMux
	authenticator customerAuthenticator
}

// NewServer returns a Server and applies the defaults of cfg.
func NewServer(cfg Config) *Server {
	if cfg.WriteGrace == 0 {
		cfg.WriteGrace = defaultWriteGrace
	}
	s := &Server{cfg: cfg, mux: http.NewServeMux()}
	s.mux.HandleFunc("POST /v1/pipelines/{name}", s.servePipeline)
	s.mux.HandleFunc("/", s.serveNotFound)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Server) serveNotFound(w http.ResponseWriter, r *http.Request) {
	s.refuse(w, s.cfg.Backend.NewRequestID(), problem.New(problem.NotFound, "there is no %s %s", r.Method, r.URL.Path))
}

func (s *Server) servePipeline(w http.ResponseWriter, r *http.Request) {
	id := s.cfg.Backend.NewRequestID()
	sub, err := s.decode(r, id)
	if err == nil {
		err = s.checkAdmission(r.Context(), sub)
	} else if r.Header.Get(idempotencyHeader) != "" && err.Kind != problem.KeyInvalid {
		// An earlier request with the same idempotency key may have run. No
		// request with an invalid key can have run.
		err.Execution = problem.MayHaveRun
	}
	if err != nil {
		s.refuse(w, id, err)
		return
	}
	setWriteDeadline(w, sub.Deadline.Add(s.cfg.WriteGrace))
	if sub.Stream {
		s.serveStream(w, r, sub)
		return
	}
	answer, problemErr := s.cfg.Backend.Serve(r.Context(), sub, discardSink{})
	if problemErr != nil {
		writeProblem(w, id, problemErr)
		return
	}
	writeJSON(w, answer)
}

// setWriteDeadline prevents a caller that does not read its response from
// blocking the goroutine of its request forever. net/http clears the deadline
// when the request ends.
func setWriteDeadline(w http.ResponseWriter, until time.Time) {
	// The error means that w supports no write deadline, as in tests without a
	// connection.
	_ = http.NewResponseController(w).SetWriteDeadline(until)
}

// checkAdmission returns nil if the host accepts requests, else the reason why
// it does not. For a pipeline with a non-repeatable stage it reports not_run only
// if no earlier request with the same idempotency key has run or can still run.
func (s *Server) checkAdmission(ctx context.Context, sub Submission) *problem.Error {
	err := s.cfg.Backend.CheckAdmission()
	if err != nil && requiresKey(sub.Pipeline) && !s.cfg.Backend.VoidKey(ctx, sub) {
		err.Execution = problem.MayHaveRun
	}
	return err
}

func (s *Server) refuse(w http.ResponseWriter, id string, err *problem.Error) {
	s.cfg.Backend.RecordRefusal(id, err)
	writeProblem(w, id, err)
}

// discardSink is the Sink of requests without streaming.
type discardSink struct{}

func (discardSink) Token(string) {}
func (discardSink) Reset()       {}
func (discardSink) Flush()       {}
