package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// HeaderNotExecuted is set on error responses to requests that were not executed.
const HeaderNotExecuted = "X-Not-Executed"

const (
	maxBodyBytes      = 4 << 20
	readHeaderTimeout = 5 * time.Second
	shutdownTimeout   = 5 * time.Second
)

// WriteJSON writes a response with the given status and v as JSON.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(body, '\n'))
}

// ReadJSON decodes the JSON body of r, at most 4 MiB, into v.
func ReadJSON(w http.ResponseWriter, r *http.Request, v any) error {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return fmt.Errorf("read body: %w", err)
	}
	if err := json.Unmarshal(body, v); err != nil {
		return fmt.Errorf("parse body: %w", err)
	}
	return nil
}

// ErrorBody is the body of an error response.
type ErrorBody struct {
	Error string `json:"error"`
}

// Refuse writes an error response that marks the request as not executed.
func Refuse(w http.ResponseWriter, status int, reason string) {
	w.Header().Set(HeaderNotExecuted, "true")
	WriteJSON(w, status, ErrorBody{Error: reason})
}

// AbortConnection closes the connection of the current request without
// completing the response. It panics with http.ErrAbortHandler and does not
// return.
func AbortConnection() {
	panic(http.ErrAbortHandler)
}

// Listen opens a TCP listener and writes the line "listening address=ip:port"
// to out.
func Listen(address string, out io.Writer) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	if _, err := fmt.Fprintf(out, "listening address=%s\n", l.Addr()); err != nil {
		return nil, errors.Join(fmt.Errorf("print address: %w", err), l.Close())
	}
	return l, nil
}

// Serve serves h on l until ctx is cancelled. Requests still running then have
// five seconds to finish before their connections are closed.
func Serve(ctx context.Context, l net.Listener, h http.Handler) error {
	s := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	serveErr := make(chan error, 1)
	go func() { serveErr <- s.Serve(l) }()
	select {
	case err := <-serveErr:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := s.Shutdown(shutdownCtx); err != nil {
		return s.Close()
	}
	return nil
}
