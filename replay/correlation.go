package replay

import (
	"regexp"

	"github.com/google/uuid"
)

// correlationTokenPattern matches a correlation token.
var correlationTokenPattern = regexp.MustCompile(`mark-[0-9a-f]{8}-[0-9a-f]{4}-4[0-9a-f]{3}-[0-9a-f]{4}-[0-9a-f]{12}`)

// NewCorrelationToken returns a unique token. A request carries it in its prompt, so
// that an answer that contains it can be attributed to the request.
func NewCorrelationToken() string { return "mark-" + uuid.NewString() }

// FindCorrelationTokens returns the correlation tokens in text, in order.
func FindCorrelationTokens(text []byte) []string {
	var out []string
	for _, m := range correlationTokenPattern.FindAll(text, -1) {
		out = append(out, string(m))
	}
	return out
}
