package engine

import (
	"math"
	"math/rand/v2"
	"strings"

	"github.com/cespare/xxhash/v2"
)

var words = strings.Fields("the clause term party lease roof tile ridge crack storm damage report seal notice " +
	"period fee clerk deed claim repair quote north south slope gutter flashing signature annex payment")

// outputTokens draws the length of the answer to prompt.
func outputTokens(cfg Config, prompt string, maxTokens int) int {
	random := rand.New(rand.NewPCG(cfg.Seed, xxhash.Sum64String(prompt)))
	n := float64(cfg.OutputMedian) * math.Exp(cfg.OutputSigma*random.NormFloat64())
	return max(1, min(int(math.Round(n)), maxTokens))
}

// answer is the text of one answer, word by word.
type answer struct {
	request string
	seed    uint64
}

func newAnswer(request, model, prompt string) answer {
	return answer{request: request, seed: xxhash.Sum64String(model + "\x00" + prompt)}
}

// token returns the i-th token, from 0; the first is the request's mark.
func (a answer) token(i int) string {
	if i == 0 {
		return "[" + a.request + "]"
	}
	random := rand.NewPCG(a.seed, uint64(i))
	return " " + words[random.Uint64()%uint64(len(words))]
}

// text returns the first n tokens.
func (a answer) text(n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(a.token(i))
	}
	return b.String()
}
