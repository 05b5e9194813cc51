package clock

import (
	"sync"
	"sync/atomic"
	"time"
)

// alarmShards is the number of parts of the alarms, each under its own lock: every
// request sets some.
const alarmShards = 16

// alarm is something that is due at a time. While the host does not sleep, a timer
// of the standard library sees to it.
type alarm struct {
	shard *alarmShard
	// due is in nanoseconds since the clock's start.
	due atomic.Int64
	// woken is called after a sleep with what is left until due; 0 or less when that
	// has passed.
	woken func(left time.Duration)
}

type alarmShard struct {
	mu  sync.Mutex
	set map[*alarm]bool
}

// alarms are those that are set.
type alarms struct {
	shards [alarmShards]alarmShard
	next   atomic.Uint32
}

func (a *alarms) init() {
	for i := range a.shards {
		a.shards[i].set = map[*alarm]bool{}
	}
}

// all returns the alarms that are set.
func (a *alarms) all() []*alarm {
	var out []*alarm
	for i := range a.shards {
		s := &a.shards[i]
		s.mu.Lock()
		for x := range s.set {
			out = append(out, x)
		}
		s.mu.Unlock()
	}
	return out
}

// place gives an alarm its shard.
func (a *alarms) place(x *alarm) { x.shard = &a.shards[a.next.Add(1)%alarmShards] }

// set sets an alarm.
func (x *alarm) set(due int64) {
	x.due.Store(due)
	x.shard.mu.Lock()
	defer x.shard.mu.Unlock()
	x.shard.set[x] = true
}

// unset ends an alarm and says whether it was set.
func (x *alarm) unset() bool {
	x.shard.mu.Lock()
	defer x.shard.mu.Unlock()
	was := x.shard.set[x]
	delete(x.shard.set, x)
	return was
}

// ring passes a waking on to the alarms that are set.
func (c *Clock) ring() {
	for _, x := range c.alarms.all() {
		x.woken(time.Duration(x.due.Load() - c.nanos()))
	}
}
