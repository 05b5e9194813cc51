package clock

import (
	"sync"
	"sync/atomic"
	"time"
)

// deadlineShardCount is the number of shards of a deadlineSet. Each shard has its own
// lock, since every request arms several deadlines.
const deadlineShardCount = 16

// deadline is an action that is due at a given time. While the host is running, a
// standard library timer fires it; after a suspension, onResume adjusts or fires it.
type deadline struct {
	shard *deadlineShard
	// due is in nanoseconds since the clock's start.
	due atomic.Int64
	// onResume is called after a suspension with the time left until due; 0 or less if
	// due has passed.
	onResume func(left time.Duration)
}

type deadlineShard struct {
	mu    sync.Mutex
	armed map[*deadline]bool
}

// deadlineSet holds the armed deadlines.
type deadlineSet struct {
	shards [deadlineShardCount]deadlineShard
	next   atomic.Uint32
}

func (a *deadlineSet) init() {
	for i := range a.shards {
		a.shards[i].armed = map[*deadline]bool{}
	}
}

// all returns the armed deadlines.
func (a *deadlineSet) all() []*deadline {
	var out []*deadline
	for i := range a.shards {
		s := &a.shards[i]
		s.mu.Lock()
		for x := range s.armed {
			out = append(out, x)
		}
		s.mu.Unlock()
	}
	return out
}

// assignShard assigns a deadline to a shard, in round-robin order.
func (a *deadlineSet) assignShard(x *deadline) { x.shard = &a.shards[a.next.Add(1)%deadlineShardCount] }

// arm schedules the deadline for due, in nanoseconds since the clock's start.
func (x *deadline) arm(due int64) {
	x.due.Store(due)
	x.shard.mu.Lock()
	defer x.shard.mu.Unlock()
	x.shard.armed[x] = true
}

// disarm removes the deadline and reports whether it was armed.
func (x *deadline) disarm() bool {
	x.shard.mu.Lock()
	defer x.shard.mu.Unlock()
	was := x.shard.armed[x]
	delete(x.shard.armed, x)
	return was
}

// notifyDeadlines calls onResume of every armed deadline with its remaining time.
func (c *Clock) notifyDeadlines() {
	for _, x := range c.deadlines.all() {
		x.onResume(time.Duration(x.due.Load() - c.nanos()))
	}
}
