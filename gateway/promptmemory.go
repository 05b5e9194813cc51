package gateway

import (
	"context"
	"errors"
	"fmt"
	"hash/maphash"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/core/origin"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/internal/httpbody"
	"github.com/wheatseam/wheatseam/internal/periodic"
	"github.com/wheatseam/wheatseam/logging"
	"github.com/wheatseam/wheatseam/platform"
	"github.com/wheatseam/wheatseam/replica"
)

const (
	// maxMemoryCalls limits the calls that are in progress at a time, to all replicas.
	maxMemoryCalls = 16
	// memoryCallTimeout limits one call, and memoryLookupTimeout one lookup, which may wait for
	// several: a caller is waiting for the stream.
	memoryCallTimeout   = 300 * time.Millisecond
	memoryLookupTimeout = 500 * time.Millisecond
	// maxMemoryListAge is for how long a list shows that a part is kept.
	maxMemoryListAge = 500 * time.Millisecond
	// The calls of one host to one replica begin at least minMemoryCallInterval apart: a call
	// delays the replica's work.
	minMemoryCallInterval = 100 * time.Millisecond
	// restartMemory is for how long it is remembered that a replica's process was found to have
	// restarted under its ID: streams may have begun at the former process.
	restartMemory = origin.MaxLifetime
)

// memoryReplica is one incarnation of a replica, as listed.
type memoryReplica struct{ id, address, version string }

// promptMemory finds out which replicas keep the last part of a stream's prompt. Its calls are
// shared by all lookups that this host serves: there is one in progress for each replica. The zero
// value is not ready to use.
type promptMemory struct {
	// seed hashes the IDs of parts, which callers choose.
	seed maphash.Seed
	// slots has an element for each call in progress.
	slots chan struct{}

	mu sync.Mutex
	// replicas are those that lookups have needed within restartMemory; a sweep is scheduled
	// while there are any.
	replicas map[memoryReplica]*replicaMemory

	batches memoryBatches
}

// replicaMemory is what is known about the memory of one replica.
type replicaMemory struct {
	// newest is the last call that has ended, nil when its list is too old to be used, and
	// pending one that is in progress or due.
	newest, pending *memoryCall
	// begunAt is when the last call was sent, and usedAt when a lookup last needed one.
	begunAt, usedAt time.Time
	// epoch is that of the last list, and restartedAt when it was seen to change.
	epoch       string
	restartedAt time.Time
}

// memoryCall is a call that lists the parts which a replica keeps. All fields but requestedAt are
// set before done is closed.
type memoryCall struct {
	done chan struct{}
	// requestedAt is when the call was sent, zero until then; guarded by promptMemory.mu.
	requestedAt time.Time
	// answered is false if the call failed, or the replica's process has restarted.
	answered bool
	// parts holds the tokens that are kept of each listed part, by the part's hash, and complete
	// says that no part was left out.
	parts    map[uint64]int
	complete bool
}

func newPromptMemory() promptMemory {
	return promptMemory{
		seed: maphash.MakeSeed(), slots: make(chan struct{}, maxMemoryCalls), replicas: map[memoryReplica]*replicaMemory{},
		batches: memoryBatches{open: map[memoryBatchKey]*memoryBatch{}},
	}
}

// lastPart returns the last part of the request's prompt; one without an ID if it names none.
func (x *exchange) lastPart() platform.PromptSegment {
	if len(x.req.Prompt) == 0 {
		return platform.PromptSegment{}
	}
	return x.req.Prompt[len(x.req.Prompt)-1]
}

// soughtPart is a part that a lookup looks for.
type soughtPart struct {
	hash   uint64
	tokens int
	// began is when the lookup began, no earlier.
	began time.Time
	// until is when the lookup ends, and interval the least time between two calls to a replica.
	until    time.Time
	interval time.Duration
}

// partHolders finds out which listed replicas of a service, draining ones too, keep a whole part of
// a prompt. One that keeps less of it may have lost the rest, or is reading it, and is
// silent. It takes memoryLookupTimeout at most; replicas that have not answered by then, or
// when ctx ends, are silent. All are silent if the part has no ID or there are more than
// origin.MaxLookupReplicas.
func (g *Gateway) partHolders(ctx context.Context, requestID, service string, part platform.PromptSegment) origin.Memory {
	began := clock.Now()
	replicas := g.memoryReplicas(service)
	found := make([]origin.Retention, len(replicas))
	result := "asked"
	switch {
	case part.ID == "":
		result = "no_part"
	case len(replicas) > origin.MaxLookupReplicas:
		result = "too_many_replicas"
	default:
		found = g.lookUpPart(ctx, began, service, replicas, part)
	}
	var holding, silent []string
	answered := 0
	for i, r := range replicas {
		if found[i] != origin.RetentionUnknown {
			answered++
		}
		switch found[i] {
		case origin.PartKept:
			holding = append(holding, r.version)
		case origin.PartNotKept:
		default:
			silent = append(silent, r.version)
		}
	}
	memory := origin.NewMemory(holding, silent)
	g.metrics.GetOrCreateCounter(fmt.Sprintf("wheatseam_prompt_memory_lookups_total{result=%q}", result)).Inc()
	g.log.Info("replicas asked for the memory of a prompt", logging.Request(requestID), zap.String("service", service), zap.String("result", result),
		zap.Int("replicas", len(replicas)), zap.Int("answered", answered), zap.Strings("holding", memory.Holding), zap.Strings("silent", memory.Silent),
		zap.Duration("took", clock.Since(began)))
	return memory
}

// memoryReplicas returns the listed replicas of a service.
func (g *Gateway) memoryReplicas(service string) []memoryReplica {
	var out []memoryReplica
	for r := range g.discovery.View().Replicas.All() {
		if r.Service == service {
			out = append(out, memoryReplica{r.ID, r.Address, r.Version})
		}
	}
	return out
}

// isListed reports whether the newest view lists the replica as it was when it was asked.
func (g *Gateway) isListed(r memoryReplica) bool {
	listed := g.discovery.View().Replicas.Find(r.id)
	return listed != nil && listed.Address == r.address && listed.Version == r.version
}

// askReplicas returns which of the replicas keep a part, as they tell this host.
func (g *Gateway) askReplicas(ctx context.Context, replicas []memoryReplica, sought soughtPart) []origin.Retention {
	ctx, cancel := clock.WithDeadline(ctx, sought.until)
	defer cancel()
	found := make([]origin.Retention, len(replicas))
	decided := make([]bool, len(replicas))
	// A call that was in progress when the lookup began may have missed the part; the one after
	// it has not.
	const rounds = 2
	for round := 0; round < rounds && ctx.Err() == nil; round++ {
		calls := make([]*memoryCall, len(replicas))
		for i, r := range replicas {
			if !decided[i] {
				calls[i] = g.joinMemoryCall(r, sought)
			}
		}
		for i, call := range calls {
			if call != nil && call.await(ctx) {
				found[i], decided[i] = call.evidence(sought)
			}
		}
	}
	return found
}

// joinMemoryCall returns a call to a replica that serves a lookup: one that has ended and
// decides, the one that is in progress or due, or a new one. It is nil if the next call may not
// begin before the lookup ends.
func (g *Gateway) joinMemoryCall(r memoryReplica, sought soughtPart) *memoryCall {
	now := clock.Now()
	m := &g.promptMemory
	m.mu.Lock()
	defer m.mu.Unlock()
	known := m.replicas[r]
	if known == nil {
		if len(m.replicas) == 0 {
			clock.AfterFunc(restartMemory, m.sweep)
		}
		known = &replicaMemory{}
		m.replicas[r] = known
	}
	known.usedAt = now
	if c := known.newest; c != nil && now.Sub(c.requestedAt) <= maxMemoryListAge {
		if _, decided := c.evidence(sought); decided {
			return c
		}
	}
	if known.pending == nil {
		due := known.begunAt.Add(sought.interval)
		if due.After(sought.until) {
			return nil
		}
		known.pending = &memoryCall{done: make(chan struct{})}
		go g.callMemory(r, known, known.pending, due)
	}
	return known.pending
}

// callMemory makes a call when it is due and one of the slots is free.
func (g *Gateway) callMemory(r memoryReplica, known *replicaMemory, call *memoryCall, due time.Time) {
	periodic.Sleep(context.Background(), clock.Until(due))
	m := &g.promptMemory
	m.slots <- struct{}{}
	m.mu.Lock()
	call.requestedAt = clock.Now()
	known.begunAt = call.requestedAt
	m.mu.Unlock()
	ctx, cancel := clock.WithTimeout(context.Background(), memoryCallTimeout)
	list, err := g.client.CachedParts(ctx, r.id, r.address)
	cancel()
	<-m.slots
	parts := m.partsOf(list)

	m.mu.Lock()
	result := memoryCallResult(err)
	if err == nil && known.hasRestarted(clock.Now(), list.Epoch) {
		result = "restarted"
	}
	if result == "listed" {
		call.answered, call.parts, call.complete = true, parts, !list.Incomplete
	}
	known.newest, known.pending = call, nil
	m.mu.Unlock()
	close(call.done)
	clock.AfterFunc(maxMemoryListAge, func() { m.dropList(known, call) })
	g.metrics.GetOrCreateCounter(fmt.Sprintf("wheatseam_prompt_memory_calls_total{result=%q}", result)).Inc()
}

// memoryCallResult classifies the end of a call, for metrics.
func memoryCallResult(err error) string {
	switch {
	case err == nil:
		return "listed"
	case errors.Is(err, replica.ErrMisdirected):
		return "misdirected"
	case errors.Is(err, replica.ErrUnsupportedCall):
		return "unsupported"
	case errors.Is(err, platform.ErrMalformed) || errors.Is(err, httpbody.ErrTooLarge):
		return "invalid"
	}
	return "no_answer"
}

// hasRestarted records the epoch of a list, and reports whether the replica's process was found
// to have restarted under its ID within restartMemory: what the former process had read is lost,
// and the version of the new one may be another one than the listed one.
func (k *replicaMemory) hasRestarted(now time.Time, epoch string) bool {
	if k.epoch != "" && k.epoch != epoch {
		k.restartedAt = now
	}
	k.epoch = epoch
	return !k.restartedAt.IsZero() && now.Sub(k.restartedAt) <= restartMemory
}

// partsOf returns the listed parts by hash, with the tokens kept of each.
func (m *promptMemory) partsOf(list platform.CachedParts) map[uint64]int {
	parts := make(map[uint64]int, len(list.TokensByPart))
	for part, tokens := range list.TokensByPart {
		parts[maphash.String(m.seed, part)] = tokens
	}
	return parts
}

// await waits until a call has ended; it returns false if ctx ends first.
func (c *memoryCall) await(ctx context.Context) bool {
	select {
	case <-c.done:
		return true
	default:
	}
	select {
	case <-c.done:
		return true
	case <-ctx.Done():
		return false
	}
}

// evidence returns what an ended call shows about a part.
func (c *memoryCall) evidence(sought soughtPart) (found origin.Retention, decided bool) {
	now := clock.Now()
	kept, listed := c.parts[sought.hash]
	list := origin.PartList{Answered: c.answered, Listed: listed, Tokens: kept, Complete: c.complete, Age: now.Sub(c.requestedAt)}
	return list.Shows(origin.SoughtPart{Tokens: sought.tokens, Age: now.Sub(sought.began)})
}

// sweep drops replicas that no lookup has needed for restartMemory. It runs at that interval
// while there are any.
func (m *promptMemory) sweep() {
	now := clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	for r, known := range m.replicas {
		if known.pending == nil && now.Sub(known.usedAt) > restartMemory {
			delete(m.replicas, r)
		}
	}
	if len(m.replicas) > 0 {
		clock.AfterFunc(restartMemory, m.sweep)
	}
}

// dropList drops the list of a call, which is too old to be used.
func (m *promptMemory) dropList(known *replicaMemory, call *memoryCall) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if known.newest == call {
		known.newest = nil
	}
}
