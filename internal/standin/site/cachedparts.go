package site

import (
	"cmp"
	"container/list"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// cachedPartsPath is the path of the call that lists the parts of prompts that an engine keeps.
const cachedPartsPath = "/-/kv-list"

// defaultCacheTokens is the default of Replica.CacheTokens.
const defaultCacheTokens = 90_000

// cachedPart is a part of a prompt that an engine keeps. The same part may be kept for several
// models.
type cachedPart struct {
	partKey
	tokens int
}

// partKey identifies a part that is kept for a model.
type partKey struct{ id, model string }

// partCache holds the parts of the prompts that an engine has read. The least recently used ones
// yield, of one prompt the last ones first. The zero value is ready to use.
type partCache struct {
	// lru has the parts, the most recently used one first.
	lru    list.List
	byPart map[partKey]*list.Element
	tokens int
	// epoch counts the starts of the process, and changes the parts added or removed since.
	epoch, changes int
}

// add records that a prompt was read.
func (c *partCache) add(parts []cachedPart, capacity int) {
	if c.byPart == nil {
		c.byPart = map[partKey]*list.Element{}
	}
	for i := len(parts) - 1; i >= 0; i-- {
		if e := c.byPart[parts[i].partKey]; e != nil {
			c.lru.MoveToFront(e)
			continue
		}
		c.byPart[parts[i].partKey] = c.lru.PushFront(parts[i])
		c.tokens += parts[i].tokens
		c.changes++
	}
	c.evict(capacity)
}

// grow records that a part has grown to a number of tokens, if it is still kept.
func (c *partCache) grow(key partKey, tokens, capacity int) {
	e := c.byPart[key]
	if e == nil {
		return
	}
	p := e.Value.(cachedPart)
	if p.tokens >= tokens {
		return
	}
	c.tokens += tokens - p.tokens
	p.tokens = tokens
	e.Value = p
	c.changes++
	c.evict(capacity)
}

// evict removes the least recently used parts beyond the capacity.
func (c *partCache) evict(capacity int) {
	for c.tokens > capacity {
		p := c.lru.Remove(c.lru.Back()).(cachedPart)
		delete(c.byPart, p.partKey)
		c.tokens -= p.tokens
		c.changes++
	}
}

// restart empties the cache and begins the next epoch.
func (c *partCache) restart() { *c = partCache{epoch: c.epoch + 1} }

// promptParts returns the parts of a request's prompt, in order, with their tokens.
func promptParts(req *http.Request) []cachedPart {
	header := req.Header.Get("Prefix-Hash")
	if header == "" {
		return nil
	}
	var parts []cachedPart
	for part := range strings.SplitSeq(header, ",") {
		id, count, _ := strings.Cut(strings.TrimSpace(part), ":")
		tokens, _ := strconv.Atoi(count) // 0 if the caller names none
		parts = append(parts, cachedPart{partKey{id, req.Header.Get("Model")}, max(0, tokens)})
	}
	return parts
}

// keepPrompt records that the engine has read the prompt of a request. A process that has
// crashed since the run began keeps nothing.
func (e *execution) keepPrompt(req *http.Request) {
	r := e.replica
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.Kind != Engine || !e.inProcess() {
		return
	}
	parts := promptParts(req)
	r.cachedParts.add(parts, r.cacheCapacity())
	if len(parts) > 0 {
		e.lastPart = parts[len(parts)-1]
		e.keepGenerated()
	}
}

// keepGenerated records that the engine keeps what the run has generated, as far as its process
// still runs. The caller holds the mutex of the replica.
func (e *execution) keepGenerated() {
	r := e.replica
	if r.KeepsGenerated && e.lastPart.id != "" && e.inProcess() {
		r.cachedParts.grow(e.lastPart.partKey, e.lastPart.tokens+e.lastEventID+len(e.eventTimes), r.cacheCapacity())
	}
}

// inProcess reports whether the process that began the run still runs. The caller holds the mutex
// of the replica.
func (e *execution) inProcess() bool {
	return !e.replica.down && e.replica.crashes == e.processGeneration
}

// cacheCapacity returns how many tokens of prompts the engine keeps.
func (r *Replica) cacheCapacity() int { return cmp.Or(r.CacheTokens, defaultCacheTokens) }

// writeCachedParts responds with the parts that the engine keeps, the most recently used one
// first.
func (r *Replica) writeCachedParts(w http.ResponseWriter) {
	r.mu.Lock()
	r.cachedPartsCalls = append(r.cachedPartsCalls, time.Now())
	held := [][]any{}
	for e := r.cachedParts.lru.Front(); e != nil; e = e.Next() {
		p := e.Value.(cachedPart)
		held = append(held, []any{"", p.id, p.tokens, p.model})
	}
	body := map[string]any{"epoch": r.cachedParts.epoch, "next": r.cachedParts.changes, "held": held}
	r.mu.Unlock()
	writeJSON(w, body)
}

// CachedPartsCalls returns the times at which the engine was asked for the parts that it keeps,
// in order.
func (r *Replica) CachedPartsCalls() []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.cachedPartsCalls)
}
