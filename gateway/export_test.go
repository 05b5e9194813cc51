package gateway

import (
	"context"
	"net/http"
	"slices"

	"github.com/wheatseam/wheatseam/core/origin"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/platform"
)

// PartHolders is partHolders, for tests.
func (g *Gateway) PartHolders(ctx context.Context, service, part string) origin.Memory {
	return g.partHolders(ctx, "test", service, platform.PromptSegment{ID: part, Tokens: 1})
}

// PromptMemoryLists is the number of lists of cached parts that are held.
func (g *Gateway) PromptMemoryLists() int {
	m := &g.promptMemory
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, known := range m.replicas {
		if known.newest != nil {
			n++
		}
	}
	return n
}

// KeepsPart reports whether a replica that was listed as given is found to keep a part.
func (g *Gateway) KeepsPart(id, address, version, part string) bool {
	return g.lookUpPart(context.Background(), clock.Now(), "llm", []memoryReplica{{id, address, version}}, platform.PromptSegment{ID: part, Tokens: 1})[0] == origin.PartKept
}

// HolderThrough returns the version of the one replica that is found to keep a part, as the first of
// some hosts answers; "" if there is none, "unknown" if that is not known of all replicas, "no answer"
// if no host answers.
func (g *Gateway) HolderThrough(service, part string, hosts ...string) string {
	b := &memoryBatch{replicas: g.memoryReplicas(service), began: clock.Now(), parts: []batchedPart{{platform.PromptSegment{ID: part, Tokens: 1}, clock.Now()}}}
	b.serviceReplicas = len(b.replicas)
	var ranked []origin.Host
	for _, h := range hosts {
		ranked = append(ranked, origin.Host{Name: h})
	}
	found := g.answerOf(b, ranked)
	if found == nil {
		return "no answer"
	}
	if i := slices.Index(found[0], origin.PartKept); i >= 0 {
		return b.replicas[i].version
	}
	if slices.Contains(found[0], origin.RetentionUnknown) {
		return "unknown"
	}
	return ""
}

// The limits of the lookups, for tests.
const (
	MemoryLookupTimeout = memoryLookupTimeout
	MaxMemoryListAge    = maxMemoryListAge
)

// LastPart is the ID of the last part of the prompt that a request's headers name.
func LastPart(h http.Header) string {
	return (&exchange{req: platform.DecodeRequest(h)}).lastPart().ID
}

// Serve serves one request of a caller, for tests whose callers fail in ways that no connection does.
func (g *Gateway) Serve(w http.ResponseWriter, r *http.Request) { g.serve(w, r) }
