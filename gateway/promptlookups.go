package gateway

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"hash/maphash"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/core/origin"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/peer"
	"github.com/wheatseam/wheatseam/platform"
	"github.com/wheatseam/wheatseam/wire"
)

// A few hosts ask the replicas which parts of prompts they keep, on behalf of all hosts
// (origin.LookupHosts).

// methodPromptLookups is the method by which a host asks for what replicas keep.
const methodPromptLookups = "prompts.lookup"

const (
	// memoryBatchDelay is for how long lookups are collected for one message.
	memoryBatchDelay = 5 * time.Millisecond
	// maxBatchParts and maxBatchBytes limit the parts of a message and the length of their IDs.
	maxBatchParts = 256
	maxBatchBytes = 256 << 10
	// secondHostDelay is the time after which the second host is asked, too.
	secondHostDelay = 250 * time.Millisecond
	// lookupHostsAge is for how long chosen hosts are used, and maxChosenGroups limits the groups for
	// which they are remembered.
	lookupHostsAge  = 500 * time.Millisecond
	maxChosenGroups = 1024
	// memoryReplyMargin is by how much earlier than a lookup ends it is answered with what is known
	// by then.
	memoryReplyMargin = 50 * time.Millisecond
	// If the hosts run a build that has no lookups, services of up to maxOwnReplicas are asked
	// by each host itself, at an interval that grows with the hosts.
	maxOwnReplicas     = 64
	ownIntervalPerHost = 5 * time.Millisecond
)

var errMalformedLookups = errors.New("malformed answer to lookups")

// memoryBatches holds the lookups that are collected.
type memoryBatches struct {
	mu   sync.Mutex
	open map[memoryBatchKey]*memoryBatch
	// hosts holds which hosts were chosen for groups within lookupHostsAge.
	hosts map[origin.LookupGroup]chosenHosts
}

// chosenHosts are the hosts that ask the replicas of a group, and when they were chosen.
type chosenHosts struct {
	hosts []origin.Host
	at    time.Time
}

// memoryBatchKey identifies the replicas that a batch asks about; checksum is that of their
// incarnations.
type memoryBatchKey struct {
	group    origin.LookupGroup
	checksum uint64
}

// memoryBatch holds lookups for the same replicas, which one message carries.
type memoryBatch struct {
	key      memoryBatchKey
	replicas []memoryReplica
	// serviceReplicas is the number of replicas of the service.
	serviceReplicas int
	// began is when the first lookup began.
	began time.Time
	parts []batchedPart
	bytes int
	// found holds for each part what each replica keeps; nil if that is not known. It is set
	// before done is closed.
	found [][]origin.Retention
	done  chan struct{}
}

// batchedPart is a part that is looked for, and since when.
type batchedPart struct {
	platform.PromptSegment
	began time.Time
}

// lookUpPart returns which of the replicas of a service keep a part, for a lookup that began at
// the given time.
func (g *Gateway) lookUpPart(ctx context.Context, began time.Time, service string, replicas []memoryReplica, part platform.PromptSegment) []origin.Retention {
	ctx, cancel := clock.WithDeadline(ctx, began.Add(memoryLookupTimeout))
	defer cancel()
	groups := origin.LookupGroups(len(replicas))
	members := make([][]int, groups)
	for i, r := range replicas {
		n := origin.LookupGroupOf(r.id, groups)
		members[n] = append(members[n], i)
	}
	batches, places := make([]*memoryBatch, groups), make([]int, groups)
	for n, indexes := range members {
		if len(indexes) > 0 {
			slices.SortFunc(indexes, func(a, b int) int { return cmp.Compare(replicas[a].id, replicas[b].id) })
			group := origin.LookupGroup{Service: service, Index: n, Count: groups}
			batches[n], places[n] = g.joinMemoryBatch(group, selectReplicas(replicas, indexes), len(replicas), batchedPart{part, began})
		}
	}
	found := make([]origin.Retention, len(replicas))
	for n, batch := range batches {
		if batch == nil || !batch.await(ctx) || batch.found == nil {
			continue
		}
		for i, retention := range batch.found[places[n]] {
			if index := members[n][i]; g.isListed(replicas[index]) {
				found[index] = retention
			}
		}
	}
	return found
}

func selectReplicas(replicas []memoryReplica, indexes []int) []memoryReplica {
	out := make([]memoryReplica, 0, len(indexes))
	for _, i := range indexes {
		out = append(out, replicas[i])
	}
	return out
}

// checksumOf returns a checksum of the incarnations of replicas.
func checksumOf(replicas []memoryReplica) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, r := range replicas {
		for _, s := range []string{r.id, r.address, r.version} {
			_, _ = d.WriteString(s) // writing to an xxhash.Digest never fails
			_, _ = d.WriteString("\x00")
		}
	}
	return d.Sum64()
}

// joinMemoryBatch adds a part to the batch for some replicas, and returns the batch and the part's
// index. A new batch is sent after memoryBatchDelay; a full one takes no further parts.
func (g *Gateway) joinMemoryBatch(group origin.LookupGroup, replicas []memoryReplica, serviceReplicas int, part batchedPart) (*memoryBatch, int) {
	key := memoryBatchKey{group, checksumOf(replicas)}
	s := &g.promptMemory.batches
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.open[key]
	if b == nil {
		b = &memoryBatch{key: key, replicas: replicas, serviceReplicas: serviceReplicas, began: part.began, done: make(chan struct{})}
		s.open[key] = b
		clock.AfterFunc(memoryBatchDelay, func() { g.sendMemoryBatch(b) })
	}
	b.parts = append(b.parts, part)
	b.bytes += len(part.ID)
	if len(b.parts) >= maxBatchParts || b.bytes >= maxBatchBytes {
		delete(s.open, key)
	}
	return b, len(b.parts) - 1
}

// sendMemoryBatch closes a batch and has it answered.
func (g *Gateway) sendMemoryBatch(b *memoryBatch) {
	s := &g.promptMemory.batches
	s.mu.Lock()
	if s.open[b.key] == b {
		delete(s.open, b.key)
	}
	s.mu.Unlock()
	b.found = g.answerOf(b, g.lookupHosts(b.key.group))
	close(b.done)
}

// await waits until a batch has been answered; it returns false if ctx ends first.
func (b *memoryBatch) await(ctx context.Context) bool {
	select {
	case <-b.done:
		return true
	case <-ctx.Done():
		return false
	}
}

// memoryReply is what a host answered to a batch.
type memoryReply struct {
	found [][]origin.Retention
	err   error
}

// answerOf returns the first answer of one of the hosts. The second one is asked if the first one
// fails or takes long. It returns nil if neither answers.
func (g *Gateway) answerOf(b *memoryBatch, hosts []origin.Host) [][]origin.Retention {
	ctx, cancel := clock.WithDeadline(context.Background(), b.began.Add(memoryLookupTimeout))
	defer cancel()
	until := b.began.Add(memoryLookupTimeout - memoryReplyMargin)
	replies := make(chan memoryReply, len(hosts))
	asked, waiting, unsupported := 0, 0, false
	askNext := func() {
		if asked < len(hosts) {
			host := hosts[asked].Name
			asked++
			waiting++
			go func() { replies <- g.askLookupHost(ctx, host, b, until) }()
		}
	}
	second := clock.NewTimer(secondHostDelay)
	defer second.Stop()
	for askNext(); waiting > 0; {
		select {
		case r := <-replies:
			if r.err == nil {
				return r.found
			}
			waiting--
			unsupported = unsupported || errors.Is(r.err, peer.ErrUnknownMethod)
			askNext()
		case <-second.C:
			askNext()
		case <-ctx.Done():
			return nil
		}
	}
	if !unsupported || b.serviceReplicas > maxOwnReplicas {
		return nil
	}
	return g.askForParts(ctx, b.replicas, b.parts, until, max(minMemoryCallInterval, time.Duration(g.fleet.KnownHostCount())*ownIntervalPerHost))
}

// lookupHosts returns the hosts that this host has ask the replicas of a group, in order.
func (g *Gateway) lookupHosts(group origin.LookupGroup) []origin.Host {
	now := clock.Now()
	m := &g.promptMemory.batches
	m.mu.Lock()
	chosen, ok := m.hosts[group]
	m.mu.Unlock()
	if ok && now.Sub(chosen.at) <= lookupHostsAge {
		return chosen.hosts
	}
	s := g.settings.Load()
	hosts := append(g.originHosts(), origin.Host{Name: s.Host, FailureDomain: s.FailureDomain})
	chosen = chosenHosts{origin.LookupHosts(group, s.Host, hosts), now}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.hosts == nil || len(m.hosts) >= maxChosenGroups {
		m.hosts = map[origin.LookupGroup]chosenHosts{}
	}
	m.hosts[group] = chosen
	return chosen.hosts
}

// askLookupHost has a host, which may be this one, answer a batch with what it knows then.
func (g *Gateway) askLookupHost(ctx context.Context, host string, b *memoryBatch, until time.Time) memoryReply {
	if host == g.settings.Load().Host {
		g.countMemoryBatch("self")
		return memoryReply{found: g.askForParts(ctx, b.replicas, b.parts, until, minMemoryCallInterval)}
	}
	reply := &wire.PromptLookupsReply{}
	err := g.fleet.Caller().Call(ctx, host, methodPromptLookups, b.message(clock.Now(), until), reply)
	var found [][]origin.Retention
	if err == nil {
		found, err = b.parse(reply)
	}
	switch {
	case err == nil:
		g.countMemoryBatch("answered")
		return memoryReply{found: found}
	case errors.Is(err, peer.ErrUnknownMethod):
		g.countMemoryBatch("unsupported")
	default:
		g.countMemoryBatch("failed")
		g.log.Info("asking a host for replicas' memory of prompts failed", zap.String("peer", host), zap.String("service", b.key.group.Service),
			zap.Int("lookups", len(b.parts)), zap.Int("replicas", len(b.replicas)), zap.Error(err))
	}
	return memoryReply{err: err}
}

func (g *Gateway) countMemoryBatch(result string) {
	g.metrics.GetOrCreateCounter(fmt.Sprintf("wheatseam_prompt_memory_batches_total{result=%q}", result)).Inc()
}

// message returns the message that asks another host. Durations are rounded down: an age that is
// too long would let a list count that was requested before a lookup began.
func (b *memoryBatch) message(now, until time.Time) *wire.PromptLookups {
	m := &wire.PromptLookups{LeftMs: uint32(max(0, until.Sub(now)).Milliseconds())}
	for _, r := range b.replicas {
		m.Replicas = append(m.Replicas, &wire.LookedUpReplica{Id: r.id, Address: r.address, Version: r.version})
	}
	for _, p := range b.parts {
		m.Parts = append(m.Parts, &wire.SoughtPart{Id: []byte(p.ID), Tokens: uint32(p.Tokens), AgeMs: uint32(max(0, now.Sub(p.began)).Milliseconds())})
	}
	return m
}

// parse parses an answer. An unknown retention is RetentionUnknown.
func (b *memoryBatch) parse(reply *wire.PromptLookupsReply) ([][]origin.Retention, error) {
	if len(reply.GetRetentions()) != len(b.parts) {
		return nil, fmt.Errorf("%w: %d parts instead of %d", errMalformedLookups, len(reply.GetRetentions()), len(b.parts))
	}
	found := make([][]origin.Retention, len(b.parts))
	for i, raw := range reply.GetRetentions() {
		if len(raw) != len(b.replicas) {
			return nil, fmt.Errorf("%w: %d replicas instead of %d", errMalformedLookups, len(raw), len(b.replicas))
		}
		found[i] = make([]origin.Retention, len(raw))
		for j, r := range raw {
			found[i][j] = origin.ParseRetention(r)
		}
	}
	return found, nil
}

// askForParts returns for each part which of the replicas keep it, as they tell this host.
func (g *Gateway) askForParts(ctx context.Context, replicas []memoryReplica, parts []batchedPart, until time.Time, interval time.Duration) [][]origin.Retention {
	found := make([][]origin.Retention, len(parts))
	var group sync.WaitGroup
	for i, p := range parts {
		sought := soughtPart{hash: maphash.String(g.promptMemory.seed, p.ID), tokens: p.Tokens, began: p.began, until: until, interval: interval}
		group.Go(func() { found[i] = g.askReplicas(ctx, replicas, sought) })
	}
	group.Wait()
	return found
}

// registerLookupHandler handles the lookups of peers. A lookup began no earlier than its age before
// the message came.
func (g *Gateway) registerLookupHandler(mux *peer.Mux) {
	peer.Handle(mux, methodPromptLookups, func(ctx context.Context, _ peer.Sender, m *wire.PromptLookups) (*wire.PromptLookupsReply, error) {
		now := clock.Now()
		if len(m.GetParts()) > maxBatchParts || len(m.GetReplicas()) > origin.MaxLookupReplicas {
			return nil, fmt.Errorf("%d parts and %d replicas are too many", len(m.GetParts()), len(m.GetReplicas()))
		}
		var replicas []memoryReplica
		for _, r := range m.GetReplicas() {
			replicas = append(replicas, memoryReplica{r.GetId(), r.GetAddress(), r.GetVersion()})
		}
		var parts []batchedPart
		for _, p := range m.GetParts() {
			part := platform.PromptSegment{ID: string(p.GetId()), Tokens: int(p.GetTokens())}
			parts = append(parts, batchedPart{part, now.Add(-min(milliseconds(p.GetAgeMs()), memoryLookupTimeout))})
		}
		g.metrics.GetOrCreateCounter("wheatseam_prompt_memory_lookups_for_peers_total").Add(len(parts))
		reply := &wire.PromptLookupsReply{}
		until := now.Add(min(milliseconds(m.GetLeftMs()), memoryLookupTimeout))
		for _, found := range g.askForParts(ctx, replicas, parts, until, minMemoryCallInterval) {
			raw := make([]byte, 0, len(found))
			for _, r := range found {
				raw = append(raw, byte(r))
			}
			reply.Retentions = append(reply.Retentions, raw)
		}
		return reply, nil
	})
}
