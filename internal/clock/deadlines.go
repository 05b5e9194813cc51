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

func (set *deadlineSet) init() {
	for i := range set.shards {
		set.shards[i].armed = map[*deadline]bool{}
	}
}

// all returns the armed deadlines.
func (set *deadlineSet) all() []*deadline {
	var out []*deadline
	for i := range set.shards {
		s := &set.shards[i]
		s.mu.Lock()
		for x := range s.armed {
			out = append(out, x)
		}
		s.mu.Unlock()
	}
	return out
}

// assignShard assigns a deadline to a shard, in round-robin order.
func (set *deadlineSet) assignShard(x *deadline) {
	x.shard = &set.shards[set.next.Add(1)%deadlineShardCount]
}

// arm schedules the deadline for due, in nanoseconds since the clock's start.
func (d *deadline) arm(due int64) {
	d.due.Store(due)
	d.shard.mu.Lock()
	defer d.shard.mu.Unlock()
	d.shard.armed[d] = true
}

// disarm removes the deadline and reports whether it was armed.
func (d *deadline) disarm() bool {
	d.shard.mu.Lock()
	defer d.shard.mu.Unlock()
	was := d.shard.armed[d]
	delete(d.shard.armed, d)
	return was
}

// notifyDeadlines calls onResume of every armed deadline with its remaining time.
func (c *Clock) notifyDeadlines() {
	for _, x := range c.deadlines.all() {
		x.onResume(time.Duration(x.due.Load() - c.nanos()))
	}
}
