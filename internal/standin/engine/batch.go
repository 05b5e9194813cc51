package engine

import (
	"slices"
	"time"

	"github.com/wheatseam/wheatseam/internal/standin"
)

// tokenRateSmoothing is the weight of the latest step in the exponential moving
// average of the token rate.
const tokenRateSmoothing = 0.1

// sequence is one request in the engine. Its fields are owned by the batch, except
// for the channel.
type sequence struct {
	priority int
	// promptTokens is the number of prompt tokens, blockHashes the chained hashes
	// of the full blocks of the prompt.
	promptTokens int
	blockHashes  []uint64
	// outputTokens is the number of tokens to generate.
	outputTokens int

	prefillRemaining int
	// prefillInStep is the part of prefillRemaining that the planned step
	// processes.
	prefillInStep int
	generated     int
	engineTime    time.Duration

	// progress receives a value when new tokens were generated. It buffers one.
	progress chan struct{}
}

func newSequence(prompt string, output, priority int) *sequence {
	return &sequence{
		priority:     priority,
		promptTokens: countTokens(prompt),
		blockHashes:  hashBlocks(prompt),
		outputTokens: output,
		progress:     make(chan struct{}, 1),
	}
}

func (s *sequence) finished() bool { return s.generated >= s.outputTokens }

// blocksNeeded returns the memory that s uses while it runs, in blocks.
func (s *sequence) blocksNeeded() int {
	return (s.promptTokens + s.outputTokens + tokensPerBlock - 1) / tokensPerBlock
}

// batch is the state of the engine between steps. It is deterministic, does not
// read the clock and is not safe for concurrent use.
type batch struct {
	cfg     Config
	cache   *prefixCache
	running []*sequence
	queue   []*sequence
	// reservedBlocks is the memory of the running sequences, in blocks.
	reservedBlocks int
	tokenRate      float64
}

func newBatch(cfg Config, cache *prefixCache) *batch {
	return &batch{cfg: cfg, cache: cache}
}

// submit adds s to the queue. It returns false if the queue is full.
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

// remove removes s from the queue or the running sequences, if it is there.
func (b *batch) remove(s *sequence) {
	if i := slices.Index(b.queue, s); i >= 0 {
		b.queue = slices.Delete(b.queue, i, i+1)
	}
	if i := slices.Index(b.running, s); i >= 0 {
		b.running = slices.Delete(b.running, i, i+1)
		b.adjustReservation(-s.blocksNeeded())
	}
}

// plan admits queued sequences and returns the duration of the next step, or 0 if
// no sequence is running.
func (b *batch) plan() time.Duration {
	b.admit()
	if len(b.running) == 0 {
		b.tokenRate = 0
		return 0
	}
	decoding, prefill := 0, b.cfg.PrefillChunk
	for _, s := range b.running {
		if s.prefillRemaining == 0 {
			decoding++
			continue
		}
		s.prefillInStep = min(s.prefillRemaining, prefill)
		prefill -= s.prefillInStep
	}
	prefilled := b.cfg.PrefillChunk - prefill
	return b.cfg.StepBase +
		time.Duration(decoding)*b.cfg.StepPerSequence +
		time.Duration(prefilled)*b.cfg.PrefillPerToken
}

// advance completes the planned step, which took step.
func (b *batch) advance(step time.Duration) {
	if len(b.running) == 0 {
		return
	}
	share := step / time.Duration(len(b.running))
	tokens := 0
	for _, s := range b.running {
		s.engineTime += share
		tokens += b.advanceSequence(s)
	}
	rate := float64(tokens) / step.Seconds()
	b.tokenRate += tokenRateSmoothing * (rate - b.tokenRate)
	b.running = slices.DeleteFunc(b.running, func(s *sequence) bool {
		if s.finished() {
			b.adjustReservation(-s.blocksNeeded())
		}
		return s.finished()
	})
}

// advanceSequence completes the step for s and returns the number of tokens
// generated, 0 or 1. It does nothing for a sequence that was admitted after the
// step was planned.
func (b *batch) advanceSequence(s *sequence) int {
	if s.prefillRemaining > 0 {
		s.prefillRemaining -= s.prefillInStep
		s.prefillInStep = 0
		if s.prefillRemaining == 0 {
			b.cache.store(s.blockHashes)
		}
		return 0
	}
	s.generated++
	select {
	case s.progress <- struct{}{}:
	default:
	}
	return 1
}

// admit moves queued sequences into free slots while there is enough memory.
func (b *batch) admit() {
	for len(b.queue) > 0 && len(b.running) < b.cfg.Slots {
		s := b.queue[0]
		if b.reservedBlocks+s.blocksNeeded() > b.cfg.KVBlocks {
			return
		}
		b.queue = slices.Delete(b.queue, 0, 1)
		b.running = append(b.running, s)
		cachedTokens := b.cache.match(s.blockHashes) * tokensPerBlock
		// The last prompt token is always computed.
		s.prefillRemaining = max(1, s.promptTokens-cachedTokens)
		b.adjustReservation(s.blocksNeeded())
	}
}

// adjustReservation changes the memory reserved for running sequences by blocks
// and gives the rest of the memory to the cache.
func (b *batch) adjustReservation(blocks int) {
	b.reservedBlocks += blocks
	b.cache.resize(b.cfg.KVBlocks - b.reservedBlocks)
}

// load returns the current load, without AsOfUnixMS and Leaving.
func (b *batch) load() standin.Load {
	return standin.Load{
		Running:         len(b.running),
		Queued:          len(b.queue),
		Slots:           b.cfg.Slots,
		KVUsed:          b.reservedBlocks + b.cache.len(),
		KVTotal:         b.cfg.KVBlocks,
		TokensPerSecond: b.tokenRate,
	}
}
