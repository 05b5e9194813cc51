package site

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// RawEnd is how the connection of a raw response ends.
type RawEnd uint8

// The ends of connections.
const (
	// RawClose closes the connection; the kernel resets it if bytes of the request are unread.
	RawClose RawEnd = iota
	// RawCloseUnread closes the connection once bytes of the request have arrived that are not read.
	RawCloseUnread
	// RawReset resets the connection.
	RawReset
	// RawCloseWrite ends the replica's side in order, and reads on until the host closes.
	RawCloseWrite
	// RawOpen leaves the connection open until the host closes it.
	RawOpen
)

// RawResponse is a response that a replica writes as it is, valid or not.
type RawResponse struct {
	// StatusLine is sent without its line break. Default: HTTP/1.1 200 OK.
	StatusLine string
	// Fields are the lines that follow the replica's own fields, without their line breaks.
	Fields []string
	// Body has RawID in place of the request's id.
	Body string
	// ReadBytes is how many bytes of the request's body are read before, ReadAll for all.
	ReadBytes int64
	// Delay is the time from sending the response to the end of the connection.
	Delay time.Duration
	End   RawEnd
}

const (
	// RawID stands for the id of the request in the body of a RawResponse.
	RawID = "{id}"
	// ReadAll reads the whole body of a request.
	ReadAll = -1
)

// bytes returns the response with the given fields.
func (a *RawResponse) bytes(fields http.Header, id string) []byte {
	var b bytes.Buffer
	statusLine := a.StatusLine
	if statusLine == "" {
		statusLine = "HTTP/1.1 200 OK"
	}
	b.WriteString(statusLine + "\r\n")
	_ = fields.Write(&b) // a buffer takes it
	for _, line := range a.Fields {
		b.WriteString(line + "\r\n")
	}
	b.WriteString("\r\n" + strings.ReplaceAll(a.Body, RawID, id))
	return b.Bytes()
}

// sendRaw sends a raw response with the fields of a valid one.
func (r *Replica) sendRaw(w http.ResponseWriter, req *http.Request, a *RawResponse) {
	id := req.Header.Get("Attempt-Id")
	switch {
	case a.ReadBytes == ReadAll:
		_, _ = io.Copy(io.Discard, req.Body) // the host may have disconnected
	default:
		_, _ = io.CopyN(io.Discard, req.Body, a.ReadBytes)
	}
	fields := http.Header{"Replica-Load": {r.loadReport(usualLoad)}}
	if id != "" {
		fields.Set("Attempt-Id", id)
		fields.Set("Response-Signature", "signed."+r.ID+"."+id)
	}
	u, err := r.unframe(w)
	if err != nil {
		r.ledger.recordViolation("%s: %v", r.ID, err)
		return
	}
	defer u.close()
	u.written = true
	if _, err := u.conn.Write(a.bytes(fields, id)); err != nil {
		return
	}
	time.Sleep(a.Delay)
	conn, ok := u.conn.(*net.TCPConn)
	if !ok {
		r.ledger.recordViolation("%s: no TCP connection", r.ID)
		return
	}
	switch a.End {
	case RawCloseUnread:
		// Bytes arrive in segments: more have come with the one that is read.
		_, _ = conn.Read(make([]byte, 1))
	case RawReset:
		_ = conn.SetLinger(0) // fails only on a closed connection
	case RawCloseWrite:
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, conn)
	case RawOpen:
		_, _ = io.Copy(io.Discard, conn)
	}
}
