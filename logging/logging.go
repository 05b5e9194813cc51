// Package logging makes the daemon's log: one line of key=value pairs for each
// event. Secrets and callers' inputs are never logged.
package logging

import (
	"fmt"
	"io"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// requestKey is the key of the request id, the same on every line about one.
const requestKey = "request"

// New returns a logger that writes lines of at least level ("debug", "info",
// "warn" or "error") to w. Writes are serialised.
func New(w io.Writer, level string) (*zap.Logger, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level: %w", err)
	}
	sink := zapcore.Lock(zapcore.AddSync(w))
	return zap.New(zapcore.NewCore(zaplogfmt.NewEncoder(encoding()), sink, l)), nil
}

// encoding is how times and durations are written.
func encoding() zapcore.EncoderConfig {
	c := zap.NewProductionEncoderConfig()
	c.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	c.EncodeDuration = zapcore.StringDurationEncoder
	return c
}

// Request returns the field that puts a request's id on a line.
func Request(id string) zap.Field { return zap.String(requestKey, id) }
