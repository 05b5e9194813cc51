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

// HeaderNotExecuted marks a refusal under which nothing was executed.
const HeaderNotExecuted = "X-Not-Executed"

const (
	maxBody           = 4 << 20
	readHeaderTimeout = 5 * time.Second
	shutdownTimeout   = 5 * time.Second
)

// WriteJSON answers with status and v as JSON.
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

// ReadJSON reads the body of r, of 4 MiB at most, into v.
func ReadJSON(w http.ResponseWriter, r *http.Request, v any) error {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		return fmt.Errorf("read body: %w", err)
	}
	if err := json.Unmarshal(body, v); err != nil {
		return fmt.Errorf("parse body: %w", err)
	}
	return nil
}

// Refusal is the body of an answer that is not a result.
type Refusal struct {
	Error string `json:"error"`
}

// Refuse answers that the request was not executed.
func Refuse(w http.ResponseWriter, status int, reason string) {
	w.Header().Set(HeaderNotExecuted, "true")
	WriteJSON(w, status, Refusal{Error: reason})
}

// Cut closes the connection of the request being handled without an answer.
// It does not return.
func Cut() {
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

// Serve serves h on l until ctx ends; running requests then get five seconds
// before they are cut.
func Serve(ctx context.Context, l net.Listener, h http.Handler) error {
	s := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	failed := make(chan error, 1)
	go func() { failed <- s.Serve(l) }()
	select {
	case err := <-failed:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	bound, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := s.Shutdown(bound); err != nil {
		return s.Close()
	}
	return nil
}
