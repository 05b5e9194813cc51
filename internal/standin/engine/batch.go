package engine

import (
	"slices"
	"time"

	"github.com/wheatseam/wheatseam/internal/standin"
)

// rateWeight is the weight of the newest step in the reported token rate.
const rateWeight = 0.1

// sequence is one request inside the engine. Its fields belong to the batch,
// but for the channels.
type sequence struct {
	priority int
	// prompt is the number of prompt tokens, and blocks the chained hashes of
	// its full blocks.
	prompt int
	blocks []uint64
	// output is the number of tokens to yield.
	output int

	prefillLeft int
	// prefilling is the part of prefillLeft that the present step does.
	prefilling int
	produced   int
	cost       time.Duration

	// progress holds at most one note that there is something new.
	progress chan struct{}
}

func newSequence(prompt string, output, priority int) *sequence {
	return &sequence{
		priority: priority,
		prompt:   tokensOf(prompt),
		blocks:   blocksOf(prompt),
		output:   output,
		progress: make(chan struct{}, 1),
	}
}

func (s *sequence) finished() bool { return s.produced >= s.output }

// reserved is the memory that s takes while it runs, in blocks.
func (s *sequence) reserved() int {
	return (s.prompt + s.output + tokensPerBlock - 1) / tokensPerBlock
}

// batch is the state of the engine between steps. It is deterministic, reads no
// clock and is not safe for concurrent use.
type batch struct {
	cfg     Config
	cache   *prefixCache
	running []*sequence
	queue   []*sequence
	// reserved is the memory of the running sequences, in blocks.
	reserved  int
	tokenRate float64
}

func newBatch(cfg Config, cache *prefixCache) *batch {
	return &batch{cfg: cfg, cache: cache}
}

// submit queues s; it returns false when the queue is full.
func (b *batch) submit(s *sequence) bool {
	if len(b.queue)+len(b.running) >= b.cfg.Queue+b.cfg.Slots {
		return false
	}
	at := len(b.queue)
	for b.cfg.Priority && at > 0 && s.priority > b.queue[at-1].priority {
		at--
	}
	b.queue = slices.Insert(b.queue, at, s)
	return true
}

// remove takes s out, wherever it is.
func (b *batch) remove(s *sequence) {
	if i := slices.Index(b.queue, s); i >= 0 {
		b.queue = slices.Delete(b.queue, i, i+1)
	}
	if i := slices.Index(b.running, s); i >= 0 {
		b.running = slices.Delete(b.running, i, i+1)
		b.reserve(-s.reserved())
	}
}

// plan admits queued sequences and returns the duration of the next step, or
// 0 when there is nothing to do.
func (b *batch) plan() time.Duration {
	b.admit()
	if len(b.running) == 0 {
		b.tokenRate = 0
		return 0
	}
	decoding, prefill := 0, b.cfg.PrefillChunk
	for _, s := range b.running {
		if s.prefillLeft == 0 {
			decoding++
			continue
		}
		s.prefilling = min(s.prefillLeft, prefill)
		prefill -= s.prefilling
	}
	prefilled := b.cfg.PrefillChunk - prefill
	return b.cfg.StepBase +
		time.Duration(decoding)*b.cfg.StepPerSequence +
		time.Duration(prefilled)*b.cfg.PrefillPerToken
}

// advance ends the planned step, which took step.
func (b *batch) advance(step time.Duration) {
	if len(b.running) == 0 {
		return
	}
	share := step / time.Duration(len(b.running))
	tokens := 0
	for _, s := range b.running {
		s.cost += share
		tokens += b.stepOf(s)
	}
	rate := float64(tokens) / step.Seconds()
	b.tokenRate += rateWeight * (rate - b.tokenRate)
	b.running = slices.DeleteFunc(b.running, func(s *sequence) bool {
		if s.finished() {
			b.reserve(-s.reserved())
		}
		return s.finished()
	})
}

// stepOf does one step of s and returns the tokens it yielded, 0 or 1. A
// sequence that was admitted after the step was planned does nothing.
func (b *batch) stepOf(s *sequence) int {
	if s.prefillLeft > 0 {
		s.prefillLeft -= s.prefilling
		s.prefilling = 0
		if s.prefillLeft == 0 {
			b.cache.store(s.blocks)
		}
		return 0
	}
	s.produced++
	select {
	case s.progress <- struct{}{}:
	default:
	}
	return 1
}

// admit moves queued sequences into free slots while memory lasts.
func (b *batch) admit() {
	for len(b.queue) > 0 && len(b.running) < b.cfg.Slots {
		s := b.queue[0]
		if b.reserved+s.reserved() > b.cfg.KVBlocks {
			return
		}
		b.queue = slices.Delete(b.queue, 0, 1)
		b.running = append(b.running, s)
		hit := b.cache.match(s.blocks) * tokensPerBlock
		// The last prompt token is always computed.
		s.prefillLeft = max(1, s.prompt-hit)
		b.reserve(s.reserved())
	}
}

func (b *batch) reserve(blocks int) {
	b.reserved += blocks
	b.cache.resize(b.cfg.KVBlocks - b.reserved)
}

// load returns the load as it stands, without time and leaving.
func (b *batch) load() standin.Load {
	return standin.Load{
		Running:         len(b.running),
		Queued:          len(b.queue),
		Slots:           b.cfg.Slots,
		KVUsed:          b.reserved + b.cache.len(),
		KVTotal:         b.cfg.KVBlocks,
		TokensPerSecond: b.tokenRate,
	}
}
