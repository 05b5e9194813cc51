package engine

import (
	"math"
	"math/rand/v2"
	"strings"

	"github.com/cespare/xxhash/v2"
)

var words = strings.Fields("the clause term party lease roof tile ridge crack storm damage report seal notice " +
	"period fee clerk deed claim repair quote north south slope gutter flashing signature annex payment")

// outputTokens draws the number of tokens of the response to prompt.
func outputTokens(cfg Config, prompt string, maxTokens int) int {
	random := rand.New(rand.NewPCG(cfg.Seed, xxhash.Sum64String(prompt)))
	n := float64(cfg.OutputMedian) * math.Exp(cfg.OutputSigma*random.NormFloat64())
	return max(1, min(int(math.Round(n)), maxTokens))
}

// generatedText generates the text of a response, token by token.
type generatedText struct {
	requestID string
	seed      uint64
}

func newGeneratedText(requestID, model, prompt string) generatedText {
	return generatedText{requestID: requestID, seed: xxhash.Sum64String(model + "\x00" + prompt)}
}

// token returns token i, counted from 0. Token 0 is the request id in brackets.
func (t generatedText) token(i int) string {
	if i == 0 {
		return "[" + t.requestID + "]"
	}
	random := rand.NewPCG(t.seed, uint64(i))
	return " " + words[random.Uint64()%uint64(len(words))]
}

// firstTokens returns the text of the first n tokens.
func (t generatedText) firstTokens(n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(t.token(i))
	}
	return b.String()
}
