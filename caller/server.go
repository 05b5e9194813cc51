// Package caller is the HTTP/JSON API towards callers. It authenticates,
// bounds and decodes requests, and writes answers, streams and refusals.
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

// Submission is an authenticated request.
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

// Sink takes what a streaming caller gets before its answer. It is called by
// one goroutine at a time.
type Sink interface {
	// Token delivers the next part of the text.
	Token(text string)
	// Reset tells the caller to discard the text delivered so far.
	Reset()
	// Flush sends what was delivered; until then it may wait here.
	Flush()
}

// Backend serves submissions.
type Backend interface {
	// Bundle returns the configuration in force, or nil.
	Bundle() *bundle.Bundle
	// Admittable returns why the host takes no requests, or nil.
	CheckAdmission() *problem.Error
	// VoidKey makes sure that no try at the submission's key which arrived
	// before has run or will, and reports whether that succeeded.
	VoidKey(ctx context.Context, s Submission) bool
	// NewRequestID returns an id that no other request has.
	NewRequestID() string
	// Now is the clock.
	Now() time.Time
	// Serve runs a request to its end. The end of ctx means that the caller
	// went away.
	Serve(ctx context.Context, s Submission, sink Sink) (*request.Answer, *problem.Error)
	// Refused takes note of a request that was refused before it was served.
	RecordRefusal(requestID string, e *problem.Error)
}

// Config configures a Server.
type Config struct {
	Backend Backend
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes int64
	// WriteGrace is how long after its deadline a caller may take to read its
	// answer. Default 1 s.
	WriteGrace time.Duration
}

// defaultWriteGrace is the default of Config.WriteGrace.
const defaultWriteGrace = time.Second

// Server is the http.Handler of the callers' listener.
type Server struct {
	cfg       Config
	mux       *http.ServeMux
	customers customers
}

// NewServer returns a server.
func NewServer(cfg Config) *Server {
	if cfg.WriteGrace == 0 {
		cfg.WriteGrace = defaultWriteGrace
	}
	s := &Server{cfg: cfg, mux: http.NewServeMux()}
	s.mux.HandleFunc("POST /v1/pipelines/{name}", s.servePipeline)
	s.mux.HandleFunc("/", s.serveUnknown)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Server) serveUnknown(w http.ResponseWriter, r *http.Request) {
	s.refuse(w, s.cfg.Backend.NewRequestID(), problem.New(problem.NotFound, "there is no %s %s", r.Method, r.URL.Path))
}

func (s *Server) servePipeline(w http.ResponseWriter, r *http.Request) {
	id := s.cfg.Backend.NewRequestID()
	sub, err := s.decode(r, id)
	if err == nil {
		err = s.admit(r.Context(), sub)
	} else if r.Header.Get(idempotencyHeader) != "" && err.Kind != problem.KeyInvalid {
		// An earlier try with the same key may have run. An invalid key
		// cannot have.
		err.Execution = problem.MayHaveRun
	}
	if err != nil {
		s.refuse(w, id, err)
		return
	}
	boundWrites(w, sub.Deadline.Add(s.cfg.WriteGrace))
	if sub.Stream {
		s.serveStream(w, r, sub)
		return
	}
	answer, perr := s.cfg.Backend.Serve(r.Context(), sub, discard{})
	if perr != nil {
		writeProblem(w, id, perr)
		return
	}
	writeJSON(w, answer)
}

// boundWrites keeps a caller that does not read from holding its request's
// goroutine for good. net/http ends the bound with the request.
func boundWrites(w http.ResponseWriter, until time.Time) {
	// The error says that w cannot be bounded, as in tests without a
	// connection.
	_ = http.NewResponseController(w).SetWriteDeadline(until)
}

// admit returns why the host takes no requests, or nil. It says not_run of a
// request that may not be repeated only if no earlier try has run or will.
func (s *Server) admit(ctx context.Context, sub Submission) *problem.Error {
	err := s.cfg.Backend.CheckAdmission()
	if err != nil && needsKey(sub.Pipeline) && !s.cfg.Backend.VoidKey(ctx, sub) {
		err.Execution = problem.MayHaveRun
	}
	return err
}

func (s *Server) refuse(w http.ResponseWriter, id string, err *problem.Error) {
	s.cfg.Backend.RecordRefusal(id, err)
	writeProblem(w, id, err)
}

// discard is the sink of callers that do not stream.
type discard struct{}

func (discard) Token(string) {}
func (discard) Reset()       {}
func (discard) Flush()       {}
