package logging

import (
	"log"
	"strings"

	"go.uber.org/zap"
)

// RedirectStdLog has the standard logger, which net/http writes to, write to l: without the text
// that a line quotes, since net/http quotes bytes that others sent.
func RedirectStdLog(l *zap.Logger) {
	log.SetFlags(0)
	log.SetOutput(stdLogWriter{l})
}

// stdLogWriter writes lines of the standard logger.
type stdLogWriter struct{ log *zap.Logger }

// Write implements io.Writer.
func (w stdLogWriter) Write(line []byte) (int, error) {
	text, _, _ := strings.Cut(string(line), `"`)
	w.log.Warn("standard log", zap.String("text", strings.TrimSpace(text)))
	return len(line), nil
}
