package clock

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// driftNoticed is the difference between what the time of day and the steady
	// clock have advanced from which the time asleep is looked up: a sleep shows in
	// it, and a step of the time of day costs one look.
	driftNoticed = 5 * time.Millisecond
	// lookEvery is the time after which it is looked up in any case: a step of the
	// time of day may hide a sleep.
	lookEvery = 500 * time.Millisecond
	// leastSleep is the shortest sleep that counts: the two clocks cannot be read at
	// the same moment.
	leastSleep = 20 * time.Millisecond
	// watchEvery is the interval at which Watch looks: deadlines that passed in a
	// sleep end that much later than they could.
	watchEvery = 200 * time.Millisecond
)

// source reads the host's clocks.
type source interface {
	// now is by the steady clock.
	now() time.Time
	// day is the time of day at a time of the steady clock that was just read.
	day(now time.Time) time.Time
	// boot is the time since the host started, time asleep included; false when the
	// host does not tell.
	boot() (time.Duration, bool)
}

// hostSource is that of the host. simulated is added to the clocks that count sleep.
type hostSource struct{ simulated *atomic.Int64 }

func (hostSource) now() time.Time { return time.Now() }

func (s hostSource) day(now time.Time) time.Time {
	return now.Round(0).Add(time.Duration(s.simulated.Load()))
}

func (s hostSource) boot() (time.Duration, bool) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, false
	}
	return time.Duration(t.Nano() + s.simulated.Load()), true
}

// reading is what the clocks said when the time asleep was last looked up.
type reading struct {
	// at has the steady clock and the time of day, and drift by how much the latter
	// had advanced more since the start.
	at    time.Time
	drift time.Duration
	// asleep is the time asleep since the start, and base a reading from before the
	// first sleep.
	asleep time.Duration
	base   time.Time
}

// Clock counts the time asleep. Use the functions of the package; a Clock of its own
// is for tests.
type Clock struct {
	source source
	// start and bootAtStart were read together.
	start, dayAtStart time.Time
	bootAtStart       time.Duration
	last              atomic.Pointer[reading]

	alarms alarms

	mu sync.Mutex // held while the time asleep is looked up
	// wakings are told of sleeps.
	wakings map[*func(slept time.Duration)]bool
}

func newClock(s source) *Clock {
	c := &Clock{source: s, wakings: map[*func(time.Duration)]bool{}}
	c.start, c.bootAtStart, _ = c.both()
	c.dayAtStart = s.day(c.start)
	c.last.Store(&reading{at: c.start, base: c.start})
	c.alarms.init()
	return c
}

// both reads both clocks, as close together as a busy host allows.
func (c *Clock) both() (at time.Time, boot time.Duration, ok bool) {
	const tries, close = 4, 100 * time.Microsecond
	for range tries {
		before := c.source.now()
		boot, ok = c.source.boot()
		at = c.source.now()
		if gap := at.Sub(before); gap < close || !ok {
			return before.Add(gap / 2), boot, ok
		}
	}
	return at, boot, false
}

// now reads the clock.
func (c *Clock) now() time.Time {
	now := c.source.now()
	last := c.last.Load()
	if (c.drift(now)-last.drift).Abs() > driftNoticed || now.Sub(last.at) > lookEvery {
		last = c.look()
	}
	if last.asleep == 0 {
		return now
	}
	return last.base.Add(now.Sub(last.base) + last.asleep)
}

// drift is by how much more the time of day has advanced than the steady clock.
func (c *Clock) drift(now time.Time) time.Duration {
	return c.source.day(now).Sub(c.dayAtStart) - now.Sub(c.start)
}

// look looks the time asleep up, and rings what has come due in a sleep.
func (c *Clock) look() *reading {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := c.last.Load()
	at, boot, ok := c.both()
	next := &reading{at: at, drift: c.drift(at), asleep: last.asleep, base: last.base}
	if asleep := boot - c.bootAtStart - at.Sub(c.start); ok && asleep-last.asleep >= leastSleep {
		next.asleep = asleep
	} else if last.asleep == 0 {
		next.base = at
	}
	c.last.Store(next)
	if slept := next.asleep - last.asleep; slept > 0 {
		go c.ring()
		for f := range c.wakings {
			go (*f)(slept)
		}
	}
	return next
}

// asleep is the time asleep so far.
func (c *Clock) asleep() time.Duration {
	c.now()
	return c.last.Load().asleep
}

// host is the clock of this process, and simulated the sleeps that it only believes
// in.
var (
	simulated atomic.Int64
	host      = newClock(hostSource{&simulated})
)

// Simulate has this process believe that the host slept for d until now. Tests and
// the soak do; nothing else can have a host sleep without rights over it.
func SimulateSuspension(d time.Duration) {
	simulated.Add(int64(d))
	host.now()
}

// Now returns the present time.
func Now() time.Time { return host.now() }

// Since returns the time since t, time asleep included.
func Since(t time.Time) time.Duration { return host.now().Sub(t) }

// Until returns the time until t.
func Until(t time.Time) time.Duration { return t.Sub(host.now()) }

// Nanos returns the nanoseconds since the process started, time asleep included: it
// never goes back, and is for times that are kept in an atomic number.
func Nanos() int64 { return host.nanos() }

func (c *Clock) nanos() int64 { return int64(c.now().Sub(c.start)) }

// OnWake calls f, in a goroutine of its own, whenever the host has slept, until stop
// is called.
func OnResume(f func(slept time.Duration)) (stop func()) { return host.onWake(f) }

func (c *Clock) onWake(f func(slept time.Duration)) (stop func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wakings[&f] = true
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.wakings, &f)
	}
}

// Steady translates a time of this package for the standard library's deadlines.
func ToMonotonic(t time.Time) time.Time { return time.Now().Add(Until(t)) }

// Asleep returns for how long the host has slept since the process started.
func SuspendedTime() time.Duration { return host.asleep() }

// CountsSleep says whether this host tells the time since it started; else time asleep
// is not counted.
func DetectsSuspension() bool {
	_, ok := host.source.boot()
	return ok
}

// Watch notices wakings until ctx ends.
func Watch(ctx context.Context) {
	ticker := time.NewTicker(watchEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			host.now()
		}
	}
}
