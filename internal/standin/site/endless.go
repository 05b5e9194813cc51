package site

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Endless is how a replica sends bytes without end, until the connection closes.
type Endless uint8

// The kinds of endless bytes.
const (
	// NotEndless means that responses end.
	NotEndless Endless = iota
	// EndlessStatusLine sends a status line that never ends.
	EndlessStatusLine
	// EndlessHead sends headers without end.
	EndlessHead
	// EndlessInterim sends interim responses without end.
	EndlessInterim
	// EndlessBody sends a body of neither length nor chunks, and no line break in it.
	EndlessBody
	// EndlessChunks sends a chunked body without end.
	EndlessChunks
	// EndlessChunkExtension sends the extension of a chunk without end.
	EndlessChunkExtension
	// EndlessTrailer sends trailers without end.
	EndlessTrailer
	// EndlessEvents sends events without end, in place of any other body.
	EndlessEvents
	// EndlessUpgrade switches to another protocol, which nobody asked for, and sends bytes.
	EndlessUpgrade
	// EndlessLength declares the largest length there is.
	EndlessLength
	// EndlessAfterResponse sends bytes after a complete response.
	EndlessAfterResponse
)

// endlessKinds has the name of each kind, the head that it sends after the status line and
// headers, and what it repeats.
var endlessKinds = map[Endless]struct {
	name, status, head, repeated string
}{
	EndlessStatusLine:     {"endless status line", "HTTP/1.1 200 ", "", strings.Repeat("x", endlessWrite)},
	EndlessHead:           {"endless head", okLine, "", strings.Repeat("X-Filler: "+strings.Repeat("x", 1000)+"\r\n", endlessWrite/1000)},
	EndlessInterim:        {"endless interim responses", "", "", strings.Repeat("HTTP/1.1 102 Processing\r\nX-Filler: x\r\n\r\n", endlessWrite/40)},
	EndlessBody:           {"endless body", okLine, "\r\n", strings.Repeat("x", endlessWrite)},
	EndlessChunks:         {"endless chunks", okLine, chunkedHead, strings.Repeat("400\r\n"+strings.Repeat("x", 1024)+"\r\n", endlessWrite/1024)},
	EndlessChunkExtension: {"endless chunk extension", okLine, chunkedHead + "1;", strings.Repeat("x", endlessWrite)},
	EndlessTrailer:        {"endless trailer", okLine, chunkedHead + "0\r\n", strings.Repeat("X-Filler: "+strings.Repeat("x", 1000)+"\r\n", endlessWrite/1000)},
	EndlessEvents:         {"endless events", okLine, "Content-Type: text/event-stream\r\n\r\n", ""},
	EndlessUpgrade:        {"endless upgrade", "HTTP/1.1 101 Switching Protocols\r\n", "Connection: Upgrade\r\nUpgrade: x\r\n\r\n", strings.Repeat("x", endlessWrite)},
	EndlessLength:         {"endless length", okLine, "Content-Length: 9223372036854775807\r\n\r\n", strings.Repeat("x", endlessWrite)},
	EndlessAfterResponse:  {"endless bytes after the response", okLine, "Content-Length: 2\r\n\r\n{}", strings.Repeat("x", endlessWrite)},
}

const (
	okLine      = "HTTP/1.1 200 OK\r\n"
	chunkedHead = "Transfer-Encoding: chunked\r\n\r\n"
	// endlessWrite is the approximate size in bytes of one write.
	endlessWrite = 16 << 10
	// slowWrite is the size in bytes of one write of slow endless bytes.
	slowWrite = 16
)

// EndlessKinds returns all kinds.
func EndlessKinds() []Endless {
	var all []Endless
	for k := EndlessStatusLine; k <= EndlessAfterResponse; k++ {
		all = append(all, k)
	}
	return all
}

// String returns the name of the kind.
func (k Endless) String() string { return endlessKinds[k].name }

// WriteEndless writes endless bytes of a kind to w until a write fails: a response with header,
// as far as its kind has one. With an interval it writes a few bytes, or one event, at a time and
// pauses for so long in between.
func WriteEndless(w io.Writer, k Endless, header http.Header, requestID string, interval time.Duration) {
	kind := endlessKinds[k]
	var head bytes.Buffer
	head.WriteString(kind.status)
	if kind.head != "" || k == EndlessHead {
		_ = header.Write(&head) // a buffer takes it
	}
	head.WriteString(kind.head)
	if _, err := w.Write(head.Bytes()); err != nil {
		return
	}
	repeated := []byte(kind.repeated)
	var events []byte
	for n, at := 1, 0; ; n++ {
		next := repeated[at:]
		switch {
		case k == EndlessEvents:
			events = appendEvent(events[:0], requestID, n)
			next = events
		case interval > 0:
			next = next[:min(slowWrite, len(next))]
			at = (at + len(next)) % len(repeated)
		}
		if _, err := w.Write(next); err != nil {
			return
		}
		time.Sleep(interval)
	}
}

// ServeEndless accepts connections and writes endless bytes to each, after it has read the head
// of a request, or at once if unasked is set. It returns when the listener is closed.
func ServeEndless(l net.Listener, k Endless, header http.Header, interval time.Duration, unasked bool) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			if buf := make([]byte, endlessWrite); !unasked {
				if _, err := conn.Read(buf); err != nil {
					return
				}
			}
			WriteEndless(conn, k, header, "", interval)
		}()
	}
}

// sendEndless takes over the connection of a response and sends endless bytes. It returns when
// the connection is closed, by the host or with the process.
func (r *Replica) sendEndless(w http.ResponseWriter, requestID string, b Behaviour) {
	u, err := r.unframe(w)
	if err != nil {
		r.ledger.recordViolation("%s: %v", r.ID, err)
		return
	}
	u.written = true
	if tcp, ok := u.conn.(*net.TCPConn); ok {
		// A body that ends with its connection would be complete when the process ends.
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
	defer u.close()
	WriteEndless(u.conn, b.Endless, u.header, requestID, b.EndlessInterval)
}
