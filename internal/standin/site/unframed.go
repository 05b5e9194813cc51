package site

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
)

// unframedWriter writes a response with neither a length nor chunks, which ends with its
// connection.
type unframedWriter struct {
	replica *Replica
	conn    net.Conn
	buf     *bufio.ReadWriter
	header  http.Header
	written bool
}

// unframe takes over the connection of a response. The connection closes with the process.
func (r *Replica) unframe(w http.ResponseWriter) (*unframedWriter, error) {
	conn, buf, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return nil, fmt.Errorf("take over the connection: %w", err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unframed[conn] = true
	return &unframedWriter{replica: r, conn: conn, buf: buf, header: w.Header().Clone()}, nil
}

// Header implements http.ResponseWriter.
func (u *unframedWriter) Header() http.Header { return u.header }

// WriteHeader implements http.ResponseWriter.
func (u *unframedWriter) WriteHeader(status int) {
	if u.written {
		return
	}
	u.written = true
	u.header.Del("Content-Length")
	fmt.Fprintf(u.buf, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	_ = u.header.Write(u.buf) // a later write reports the error
	_, _ = u.buf.WriteString("\r\n")
}

// Write implements http.ResponseWriter.
func (u *unframedWriter) Write(b []byte) (int, error) {
	u.WriteHeader(http.StatusOK)
	return u.buf.Write(b)
}

// FlushError sends what was written; see http.ResponseController.
func (u *unframedWriter) FlushError() error { return u.buf.Flush() }

// close ends the response.
func (u *unframedWriter) close() {
	u.WriteHeader(http.StatusOK)
	_ = u.buf.Flush() // the client may have disconnected
	u.replica.mu.Lock()
	delete(u.replica.unframed, u.conn)
	u.replica.mu.Unlock()
	_ = u.conn.Close()
}

// closeUnframed closes the connections of unframed responses, which then look complete, or resets
// them. The caller holds the lock.
func (r *Replica) closeUnframed() {
	for conn := range r.unframed {
		if c, ok := conn.(interface{ SetLinger(seconds int) error }); ok && !r.behaviour.CrashClosesUnframed {
			_ = c.SetLinger(0) // the connection may be closed
		}
		_ = conn.Close()
	}
}
