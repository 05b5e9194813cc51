package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wheatseam/wheatseam/core/prefix"
	"github.com/wheatseam/wheatseam/core/request"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/peer"
	"github.com/wheatseam/wheatseam/wire"
)

const (
	methodPrompt = "gateway.prompt"
	// tellReadPerHost times the hosts of the fleet is the reading time from which
	// fellows are told of a prompt: what they spare with it grows with the time,
	// and what telling costs with their number. Where an engine reads 38 tokens in
	// a millisecond, these are prompts of 920 tokens with six hosts, and of 9,300
	// with sixty.
	tellReadPerHost = 4 * time.Millisecond
	// tellTimeout bounds telling one fellow; later it is of no use.
	tellTimeout = 200 * time.Millisecond
)

// prompts is what is known of the prompts at engines. It is safe for concurrent
// use.
type prompts struct {
	mu      sync.Mutex
	holders prefix.Index
}

// leadingHashes returns the hash of the first part of a prompt, of the first two
// and so on, without the part that no other prompt shares.
func (x *exchange) leadingHashes() []uint64 {
	parts := x.req.Prompt
	if len(parts) < 2 {
		return nil
	}
	d := xxhash.New()
	hashes := make([]uint64, 0, len(parts)-1)
	for _, p := range parts[:len(parts)-1] {
		_, _ = d.WriteString(p.ID) // never fails
		hashes = append(hashes, d.Sum64())
	}
	return hashes
}

// source returns the address of an engine from which the chosen one can copy
// leading parts of the prompt; "" when it has them, or nobody does.
func (g *Gateway) source(c request.Choice, leading []uint64) string {
	now := clock.Now()
	g.prompts.mu.Lock()
	defer g.prompts.mu.Unlock()
	from, ok := g.prompts.holders.CopySource(now, leading, c.Upstream, func(e prefix.Engine) bool {
		return g.router.CanServeCopies(now, c.Pool, e.Name, e.Address)
	})
	if !ok {
		return ""
	}
	return from.Address
}

// promptSent notes that an engine is being sent the request's prompt, and tells
// the fellows if that is worth it to them.
func (x *exchange) promptSent(c request.Choice, leading []uint64) {
	g := x.g
	engine := prefix.Engine{Name: c.Upstream, Address: c.Address}
	now := clock.Now()
	g.prompts.mu.Lock()
	known := g.prompts.holders.HasPrefix(now, leading, c.Upstream)
	g.prompts.holders.RecordPrompt(now, leading, engine)
	g.prompts.mu.Unlock()
	read, _ := g.streams.reading(x.service, x.ownTokens())
	saves := read
	if _, shared := x.prefix(); !known {
		again, _ := g.streams.reading(x.service, shared)
		saves += again
	}
	fellows := g.fleet.Reachable()
	if saves < tellReadPerHost*time.Duration(len(fellows)) {
		return
	}
	told := &wire.PromptSent{
		Service: c.Pool, Replica: c.Upstream, Address: c.Address, ReadMs: uint32(read.Milliseconds()), Leading: leading,
	}
	for _, h := range fellows {
		if h.Name != g.settings.Load().Host {
			go g.tell(h.Name, told)
		}
	}
}

// tell tells one fellow of a prompt. What is lost costs a fellow a worse choice.
func (g *Gateway) tell(host string, p *wire.PromptSent) {
	ctx, cancel := clock.WithTimeout(context.Background(), tellTimeout)
	defer cancel()
	result := "told"
	if err := g.fleet.Caller().Call(ctx, host, methodPrompt, p, &wire.PromptNoted{}); err != nil {
		result = "lost"
	}
	g.metrics.GetOrCreateCounter(`wheatseam_prompts_told_total{result="` + result + `"}`).Inc()
}

// handlePrompts takes what fellows tell.
func (g *Gateway) handlePrompts(mux *peer.Mux) {
	peer.Handle(mux, methodPrompt, func(_ context.Context, _ peer.Sender, p *wire.PromptSent) (*wire.PromptNoted, error) {
		now := clock.Now()
		g.prompts.mu.Lock()
		g.prompts.holders.RecordPrompt(now, p.GetLeading(), prefix.Engine{Name: p.GetReplica(), Address: p.GetAddress()})
		g.prompts.mu.Unlock()
		read := time.Duration(p.GetReadMs()) * time.Millisecond
		g.router.ObservePeerPrompt(now, p.GetService(), p.GetReplica(), p.GetAddress(), read)
		return &wire.PromptNoted{}, nil
	})
}
