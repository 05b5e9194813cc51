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
	// A prompt is announced to peers if reading it takes at least announceReadTimePerHost
	// times the number of hosts: the time that an announcement saves grows with the reading
	// time, and its cost with the number of hosts. With an engine that reads 38 tokens per
	// millisecond, these are prompts from 920 tokens on with six hosts, and from 9,300 on
	// with sixty.
	announceReadTimePerHost = 4 * time.Millisecond
	// announceTimeout limits the call to one peer; a later announcement is of no use.
	announceTimeout = 200 * time.Millisecond
)

// promptIndex records which engines hold the prefixes of which prompts. It is safe for
// concurrent use.
type promptIndex struct {
	mu    sync.Mutex
	index prefix.Index
}

// prefixHashes returns the hash of the first segment of the prompt, of the first two and so
// on, without the last segment, which no other prompt shares.
func (x *exchange) prefixHashes() []uint64 {
	segments := x.req.Prompt
	if len(segments) < 2 {
		return nil
	}
	d := xxhash.New()
	hashes := make([]uint64, 0, len(segments)-1)
	for _, p := range segments[:len(segments)-1] {
		_, _ = d.WriteString(p.ID) // never fails
		hashes = append(hashes, d.Sum64())
	}
	return hashes
}

// sharedParts returns the IDs of the parts of the prompt that other requests may share: all but
// the last.
func (x *exchange) sharedParts() []string {
	segments := x.req.Prompt
	if len(segments) < 2 {
		return nil
	}
	ids := make([]string, 0, len(segments)-1)
	for _, p := range segments[:len(segments)-1] {
		ids = append(ids, p.ID)
	}
	return ids
}

// prefixSource returns the address of an engine from which the chosen one can copy a prefix
// of the prompt; "" when it has the prefix, or no engine of the same software version does: the
// memory of another version may have another format.
func (g *Gateway) prefixSource(c request.Choice, hashes []uint64) string {
	now := clock.Now()
	replicas := g.discovery.View().Replicas
	g.prompts.mu.Lock()
	defer g.prompts.mu.Unlock()
	from, ok := g.prompts.index.CopySource(now, hashes, c.Upstream, func(e prefix.Engine) bool {
		r := replicas.Find(e.Name)
		return r != nil && r.Version == c.Version && g.router.CanServeCopies(now, c.Pool, e.Name, e.Address)
	})
	if !ok {
		return ""
	}
	return from.Address
}

// recordPromptSent records that an engine is being sent the request's prompt, and announces
// it to the peers if that is worth the calls.
func (x *exchange) recordPromptSent(c request.Choice, hashes []uint64) {
	g := x.g
	engine := prefix.Engine{Name: c.Upstream, Address: c.Address}
	now := clock.Now()
	g.prompts.mu.Lock()
	known := g.prompts.index.HasPrefix(now, hashes, c.Upstream)
	g.prompts.index.RecordPrompt(now, hashes, engine)
	g.prompts.mu.Unlock()
	read, _ := g.streamTimes.readTime(x.service, x.unsharedTokens())
	savedTime := read
	if _, shared := x.sharedPrefix(); !known {
		sharedRead, _ := g.streamTimes.readTime(x.service, shared)
		savedTime += sharedRead
	}
	peers := g.fleet.Reachable()
	if savedTime < announceReadTimePerHost*time.Duration(len(peers)) {
		return
	}
	message := &wire.PromptSent{
		Service: c.Pool, Replica: c.Upstream, Address: c.Address, ReadMs: uint32(read.Milliseconds()), Leading: hashes,
	}
	for _, h := range peers {
		if h.Name != g.settings.Load().Host {
			go g.announcePrompt(h.Name, message)
		}
	}
}

// announcePrompt announces a prompt to one peer. A peer that misses the announcement
// may choose a less suitable engine.
func (g *Gateway) announcePrompt(host string, p *wire.PromptSent) {
	ctx, cancel := clock.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	result := "told"
	if err := g.fleet.Caller().Call(ctx, host, methodPrompt, p, &wire.PromptNoted{}); err != nil {
		result = "lost"
	}
	g.metrics.GetOrCreateCounter(`wheatseam_prompts_told_total{result="` + result + `"}`).Inc()
}

// registerPromptHandler handles the announcements of peers.
func (g *Gateway) registerPromptHandler(mux *peer.Mux) {
	peer.Handle(mux, methodPrompt, func(_ context.Context, _ peer.Sender, p *wire.PromptSent) (*wire.PromptNoted, error) {
		now := clock.Now()
		g.prompts.mu.Lock()
		g.prompts.index.RecordPrompt(now, p.GetLeading(), prefix.Engine{Name: p.GetReplica(), Address: p.GetAddress()})
		g.prompts.mu.Unlock()
		read := time.Duration(p.GetReadMs()) * time.Millisecond
		g.router.ObservePeerPrompt(now, p.GetService(), p.GetReplica(), p.GetAddress(), read)
		return &wire.PromptNoted{}, nil
	})
}
