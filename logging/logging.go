// Package logging provides the daemon's log, with one line of key=value pairs for
// each event. Secrets and callers' inputs are never logged.
package logging

import (
	"fmt"
	"io"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// requestKey is the key of the request ID in all lines about a request.
const requestKey = "request"

// New returns a logger that writes lines of at least level ("debug", "info",
// "warn" or "error") to w. Writes to w are serialized. It returns an error for an
// unknown level.
func New(w io.Writer, level string) (*zap.Logger, error) {
	minLevel, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level: %w", err)
	}
	writer := zapcore.Lock(zapcore.AddSync(w))
	return zap.New(zapcore.NewCore(zaplogfmt.NewEncoder(encoderConfig()), writer, minLevel)), nil
}

// encoderConfig returns the formats of times and durations.
func encoderConfig() zapcore.EncoderConfig {
	c := zap.NewProductionEncoderConfig()
	c.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	c.EncodeDuration = zapcore.StringDurationEncoder
	return c
}

// Request returns the field that adds a request ID to a line.
func Request(id string) zap.Field { return zap.String(requestKey, id) }
