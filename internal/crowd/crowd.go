// Package crowd plays crowds of clients that send what no well-behaved client does, and measures
// from outside what the process under attack uses. Tests use it against their own processes.
package crowd

import (
	"context"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wheatseam/wheatseam/internal/standin/site"
)

// Kind is what each connection of a crowd sends.
type Kind struct {
	Name string
	// Start is sent once on each connection, Repeat after it without end. A connection without
	// Repeat stays open and silent.
	Start, Repeat string
}

// repeatBytes is the size of the writes of what is sent without end.
const repeatBytes = 4 << 10

// endless returns a kind that sends start, and then unit without end.
func endless(name, start, unit string) Kind {
	return Kind{Name: name, Start: start, Repeat: strings.Repeat(unit, max(1, repeatBytes/len(unit)))}
}

// headerLines returns n short header lines, most of them with different names.
func headerLines(n int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	var b strings.Builder
	for i := range n {
		b.WriteByte(letters[i%26])
		b.WriteByte(letters[i/26%36])
		b.WriteByte(letters[i/26/36%36])
		b.WriteString(":\r\n")
	}
	return b.String()
}

const (
	requestLine = "GET / HTTP/1.1\r\nHost: a\r\n"
	chunkedHead = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
	// Sizes of unfinished heads that are sent at once: the second is inside the limit of the
	// configuration.
	largeHeadBytes = 64 << 10
	headBytes      = 16 << 10
	// lineBytes is the size of a line of headerLines.
	lineBytes = 6
)

// HeadKinds are the crowds whose heads never end, or are over every limit.
func HeadKinds() []Kind {
	return []Kind{
		{Name: "large unfinished head of short headers", Start: requestLine + headerLines((largeHeadBytes-len(requestLine))/lineBytes)},
		{Name: "unfinished head of short headers", Start: requestLine + headerLines((headBytes-len(requestLine))/lineBytes)},
		endless("short headers without end", requestLine, headerLines(2000)),
		endless("one header without end", requestLine+"X: ", "x"),
		endless("request line without end", "GET /", "x"),
		endless("empty lines without end", "", "\r\n"),
		endless("trailers without end", chunkedHead+"1\r\nx\r\n0\r\n", "a: b\r\n"),
		endless("chunk extensions without end", chunkedHead+"1;", "x"),
	}
}

// Silent sends nothing.
func Silent() Kind { return Kind{Name: "nothing at all"} }

// OneRequest sends one request and then nothing.
func OneRequest() Kind { return Kind{Name: "one request each", Start: requestLine + "\r\n"} }

// UnreadAnswers sends requests for a path one after the other and reads no answer.
func UnreadAnswers(path string) Kind {
	return endless("answers not read", "", "GET "+path+" HTTP/1.1\r\nHost: a\r\n\r\n")
}

// PipelinedBodies sends a request whose body never ends, in chunks that are larger than any limit.
func PipelinedBodies() Kind {
	const chunkBytes = 4 << 20
	head := "POST " + site.SafePath + "x HTTP/1.1\r\nHost: " + site.Hostname + "\r\nX-Api-Key: " + callerKey +
		"\r\nAttempt-Id: crowd\r\nContent-Length: " + strconv.Itoa(chunkBytes) + "\r\n\r\n"
	return endless("bodies without end", head, "x")
}

// reopenPause is the time after which a connection that was closed is opened again.
const reopenPause = 10 * time.Millisecond

// Crowd is a number of connections to one address. Each is opened again when it is closed.
type Crowd struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup
	opened atomic.Int64
}

// Start starts a crowd of n connections. Stop ends it.
func Start(address string, n int, k Kind) *Crowd {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Crowd{cancel: cancel}
	for range n {
		c.wg.Go(func() {
			for ctx.Err() == nil {
				c.play(ctx, address, k)
				select {
				case <-ctx.Done():
				case <-time.After(reopenPause):
				}
			}
		})
	}
	return c
}

// play opens one connection and sends until it is closed or ctx ends.
func (c *Crowd) play(ctx context.Context, address string, k Kind) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	c.opened.Add(1)
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	if _, err := conn.Write([]byte(k.Start)); err != nil {
		return
	}
	repeat := []byte(k.Repeat)
	for len(repeat) > 0 {
		if _, err := conn.Write(repeat); err != nil {
			return
		}
	}
	buf := make([]byte, repeatBytes)
	for {
		if _, err := conn.Read(buf); err != nil {
			return
		}
	}
}

// Opened returns how many connections have been opened so far.
func (c *Crowd) Opened() int64 { return c.opened.Load() }

// Stop closes all connections.
func (c *Crowd) Stop() {
	c.cancel()
	c.wg.Wait()
}
