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

// Limits of a BoundedLog.
const (
	// maxLinesPerSecond and maxLineBurst limit the rate of lines. A daemon writes
	// about three lines per request, so that this covers 200 requests per second,
	// several times what a daemon of the largest deployment serves.
	maxLinesPerSecond = 600
	maxLineBurst      = 3000
	// queueCapacity is the maximum number of lines that are queued while the reader
	// of the log does not read. At about 300 bytes per line they take 300 kB.
	queueCapacity = 1024
	// dropReportInterval is the minimum time between two lines that report the
	// number of dropped lines.
	dropReportInterval = 5 * time.Second
)

// BoundedLog is a log that never blocks its writers and limits its volume. Lines over
// the rate limit, and lines that find the queue full, are dropped and counted. The count
// is reported after a later line, at most once per dropReportInterval.
type BoundedLog struct {
	// Logger writes to the log.
	Logger *zap.Logger
	// Level is the minimum level of the lines written. It may be changed at any
	// time.
	Level zap.AtomicLevel

	writer          io.Writer
	queue           chan []byte
	limiter         *rate.Limiter
	dropped         atomic.Uint64
	reportedDropped uint64
	lastReport      time.Time
	done            chan struct{}
	once            sync.Once
	stop            chan struct{}
}

// NewBoundedLog returns a BoundedLog that writes lines of at least level ("debug",
// "info", "warn" or "error") to w until Close. It returns an error for an unknown
// level.
func NewBoundedLog(w io.Writer, level string) (*BoundedLog, error) {
	minLevel, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level: %w", err)
	}
	b := &BoundedLog{
		Level: zap.NewAtomicLevelAt(minLevel), writer: w, queue: make(chan []byte, queueCapacity),
		limiter: rate.NewLimiter(maxLinesPerSecond, maxLineBurst), done: make(chan struct{}), stop: make(chan struct{}),
	}
	b.Logger = zap.New(zapcore.NewCore(zaplogfmt.NewEncoder(encoderConfig()), zapcore.AddSync(queueWriter{b}), b.Level))
	go b.writeLoop()
	return b, nil
}

// Dropped returns the number of lines dropped since the log was created.
func (b *BoundedLog) Dropped() uint64 { return b.dropped.Load() }

// Close writes the queued lines and stops the log.
func (b *BoundedLog) Close() {
	b.once.Do(func() { close(b.stop) })
	<-b.done
}

// queueWriter is the io.Writer of the logger. It queues each line or drops it.
type queueWriter struct{ log *BoundedLog }

// Write implements io.Writer. It never blocks and never fails.
func (q queueWriter) Write(line []byte) (int, error) {
	if !q.log.limiter.Allow() {
		q.log.dropped.Add(1)
		return len(line), nil
	}
	select {
	case q.log.queue <- bytes.Clone(line):
	default:
		q.log.dropped.Add(1)
	}
	return len(line), nil
}

// writeLoop writes the queued lines. Lines that are queued at the same time go out
// in one write.
func (b *BoundedLog) writeLoop() {
	defer close(b.done)
	var buf bytes.Buffer
	for {
		select {
		case line := <-b.queue:
			buf.Write(line)
		case <-b.stop:
			b.drainQueue(&buf)
			b.write(&buf)
			return
		}
		b.drainQueue(&buf)
		b.reportDropped(&buf)
		b.write(&buf)
	}
}

// drainQueue moves the queued lines to buf.
func (b *BoundedLog) drainQueue(buf *bytes.Buffer) {
	for {
		select {
		case line := <-b.queue:
			buf.Write(line)
		default:
			return
		}
	}
}

// reportDropped appends a line with the number of lines dropped since the last such
// line.
func (b *BoundedLog) reportDropped(buf *bytes.Buffer) {
	dropped := b.dropped.Load()
	now := time.Now()
	if dropped == b.reportedDropped || now.Sub(b.lastReport) < dropReportInterval {
		return
	}
	fmt.Fprintf(buf, "ts=%s level=warn msg=\"log lines dropped\" lines=%d total=%d\n", now.UTC().Format(time.RFC3339Nano), dropped-b.reportedDropped, dropped)
	b.reportedDropped, b.lastReport = dropped, now
}

// write writes the buffer. A failed write counts as one dropped line and is not
// retried.
func (b *BoundedLog) write(buf *bytes.Buffer) {
	if _, err := b.writer.Write(buf.Bytes()); err != nil {
		b.dropped.Add(1)
	}
	buf.Reset()
}
