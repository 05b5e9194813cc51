package logging

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/time/rate"
)

// The bounds of a bounded log.
const (
	// linesPerSecond and linesBurst bound what is written: a daemon writes some
	// three lines a request, and 200 requests a second are several times what
	// one of the largest deployment serves.
	linesPerSecond = 600
	linesBurst     = 3000
	// queuedLines is the number of lines that wait for a reader who does not
	// read; at some 300 bytes a line they take 300 kB.
	queuedLines = 1024
	// tellEvery is the least time between two lines that tell how many were
	// left out.
	tellEvery = 5 * time.Second
)

// Bounded is a log that never blocks its writers and bounds its volume. Lines
// beyond the bound, and lines that nobody reads in time, are left out and
// counted; a line with the count follows.
type BoundedLog struct {
	// Logger writes to the log.
	Logger *zap.Logger
	// Level may be changed at any time.
	Level zap.AtomicLevel

	out     io.Writer
	lines   chan []byte
	limiter *rate.Limiter
	leftOut atomic.Uint64
	told    uint64
	toldAt  time.Time
	done    chan struct{}
	once    sync.Once
	stop    chan struct{}
}

// NewBounded returns a bounded log of at least level that writes to w until
// Close.
func NewBoundedLog(w io.Writer, level string) (*BoundedLog, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level: %w", err)
	}
	b := &BoundedLog{
		Level: zap.NewAtomicLevelAt(l), out: w, lines: make(chan []byte, queuedLines),
		limiter: rate.NewLimiter(linesPerSecond, linesBurst), done: make(chan struct{}), stop: make(chan struct{}),
	}
	b.Logger = zap.New(zapcore.NewCore(zaplogfmt.NewEncoder(encoding()), zapcore.AddSync(queueWriter{b}), b.Level))
	go b.run()
	return b, nil
}

// LeftOut returns the number of lines left out since the start.
func (b *BoundedLog) LeftOut() uint64 { return b.leftOut.Load() }

// Close writes what waits and ends the log.
func (b *BoundedLog) Close() {
	b.once.Do(func() { close(b.stop) })
	<-b.done
}

// queueWriter is the log's writer: it queues lines or leaves them out.
type queueWriter struct{ b *BoundedLog }

// Write implements io.Writer. It never blocks and never fails.
func (q queueWriter) Write(line []byte) (int, error) {
	if !q.b.limiter.Allow() {
		q.b.leftOut.Add(1)
		return len(line), nil
	}
	select {
	case q.b.lines <- bytes.Clone(line):
	default:
		q.b.leftOut.Add(1)
	}
	return len(line), nil
}

// run writes the queued lines, those that wait together in one write.
func (b *BoundedLog) run() {
	defer close(b.done)
	var buf bytes.Buffer
	for {
		select {
		case line := <-b.lines:
			buf.Write(line)
		case <-b.stop:
			b.drain(&buf)
			b.write(&buf)
			return
		}
		b.drain(&buf)
		b.tell(&buf)
		b.write(&buf)
	}
}

// drain takes the lines that wait.
func (b *BoundedLog) drain(buf *bytes.Buffer) {
	for {
		select {
		case line := <-b.lines:
			buf.Write(line)
		default:
			return
		}
	}
}

// tell adds a line with the number of lines left out since the last one.
func (b *BoundedLog) tell(buf *bytes.Buffer) {
	n := b.leftOut.Load()
	now := time.Now()
	if n == b.told || now.Sub(b.toldAt) < tellEvery {
		return
	}
	fmt.Fprintf(buf, "ts=%s level=warn msg=\"log lines left out\" lines=%d total=%d\n", now.UTC().Format(time.RFC3339Nano), n-b.told, n)
	b.told, b.toldAt = n, now
}

// write writes the buffer; a reader that is gone costs the lines only.
func (b *BoundedLog) write(buf *bytes.Buffer) {
	if _, err := b.out.Write(buf.Bytes()); err != nil {
		b.leftOut.Add(1)
	}
	buf.Reset()
}
