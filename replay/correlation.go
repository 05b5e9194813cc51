package replay

import (
	"regexp"

	"github.com/google/uuid"
)

// markPattern matches every mark in a text.
var correlationTokenPattern = regexp.MustCompile(`mark-[0-9a-f]{8}-[0-9a-f]{4}-4[0-9a-f]{3}-[0-9a-f]{4}-[0-9a-f]{12}`)

// NewMark returns a token that no other request carries.
func NewCorrelationToken() string { return "mark-" + uuid.NewString() }

// Marks returns the marks in text.
func FindCorrelationTokens(text []byte) []string {
	var out []string
	for _, m := range correlationTokenPattern.FindAll(text, -1) {
		out = append(out, string(m))
	}
	return out
}
