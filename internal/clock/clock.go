package clock

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// driftThreshold is the change in drift (see Clock.drift) that triggers a new
	// measurement of the suspended time: a suspension changes the drift by its length.
	// A step of the wall clock changes it as well, and costs one needless measurement.
	driftThreshold = 5 * time.Millisecond
	// maxMeasureInterval is the longest time between two measurements, because a step
	// of the wall clock can cancel out the drift that a suspension causes.
	maxMeasureInterval = 500 * time.Millisecond
	// minSuspension is the shortest suspension that counts. Shorter differences are
	// measurement error, since the two clocks cannot be read at the same moment.
	minSuspension = 20 * time.Millisecond
	// watchInterval is the interval at which Watch checks for a suspension. Deadlines
	// that passed during a suspension expire up to this much late.
	watchInterval = 200 * time.Millisecond
)

// clockSource reads the host's clocks.
type clockSource interface {
	// now returns the monotonic clock's time.
	now() time.Time
	// wallTime returns the wall clock's time for a monotonic time that was just read.
	wallTime(now time.Time) time.Time
	// uptime returns the time since the host booted, including suspended time. It
	// returns false if the host does not provide it.
	uptime() (time.Duration, bool)
}

// hostClocks reads the clocks of this host. simulated is added to the clocks that keep
// running during a suspension.
type hostClocks struct{ simulated *atomic.Int64 }

func (hostClocks) now() time.Time { return time.Now() }

func (h hostClocks) wallTime(now time.Time) time.Time {
	return now.Round(0).Add(time.Duration(h.simulated.Load()))
}

func (h hostClocks) uptime() (time.Duration, bool) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, false
	}
	return time.Duration(t.Nano() + h.simulated.Load()), true
}

// suspendMeasurement holds the clock readings of the last measurement of the suspended
// time.
type suspendMeasurement struct {
	// at holds the monotonic and the wall clock reading. drift is the value of
	// Clock.drift at that time.
	at    time.Time
	drift time.Duration
	// suspended is the suspended time since the start. base is a reading from before
	// the first suspension.
	suspended time.Duration
	base      time.Time
}

// Clock is a monotonic clock that includes suspended time. Callers use the package's
// functions; only tests create a Clock.
type Clock struct {
	clocks clockSource
	// start and uptimeAtStart were read together.
	start, wallAtStart time.Time
	uptimeAtStart      time.Duration
	lastMeasured       atomic.Pointer[suspendMeasurement]

	deadlines deadlineSet

	mu sync.Mutex // held while the suspended time is measured
	// resumeCallbacks are called after each suspension.
	resumeCallbacks map[*func(suspendedFor time.Duration)]bool
}

func newClock(s clockSource) *Clock {
	c := &Clock{clocks: s, resumeCallbacks: map[*func(time.Duration)]bool{}}
	c.start, c.uptimeAtStart, _ = c.readClocks()
	c.wallAtStart = s.wallTime(c.start)
	c.lastMeasured.Store(&suspendMeasurement{at: c.start, base: c.start})
	c.deadlines.init()
	return c
}

// readClocks reads the monotonic clock and the uptime together. It retries when the two
// reads were too far apart, as happens on a busy host. It returns false if no attempt was
// close enough or the host does not provide its uptime.
func (c *Clock) readClocks() (at time.Time, uptime time.Duration, ok bool) {
	const attempts, close = 4, 100 * time.Microsecond
	for range attempts {
		before := c.clocks.now()
		uptime, ok = c.clocks.uptime()
		at = c.clocks.now()
		if gap := at.Sub(before); gap < close || !ok {
			return before.Add(gap / 2), uptime, ok
		}
	}
	return at, uptime, false
}

// now returns the current time, including suspended time.
func (c *Clock) now() time.Time {
	now := c.clocks.now()
	last := c.lastMeasured.Load()
	if (c.drift(now)-last.drift).Abs() > driftThreshold || now.Sub(last.at) > maxMeasureInterval {
		last = c.measureSuspension()
	}
	if last.suspended == 0 {
		return now
	}
	return last.base.Add(now.Sub(last.base) + last.suspended)
}

// drift is how much further the wall clock has advanced than the monotonic clock since
// the start.
func (c *Clock) drift(now time.Time) time.Duration {
	return c.clocks.wallTime(now).Sub(c.wallAtStart) - now.Sub(c.start)
}

// measureSuspension measures the suspended time. If it has grown, it notifies the
// deadlines and the resume callbacks.
func (c *Clock) measureSuspension() *suspendMeasurement {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := c.lastMeasured.Load()
	at, uptime, ok := c.readClocks()
	next := &suspendMeasurement{at: at, drift: c.drift(at), suspended: last.suspended, base: last.base}
	if suspended := uptime - c.uptimeAtStart - at.Sub(c.start); ok && suspended-last.suspended >= minSuspension {
		next.suspended = suspended
	} else if last.suspended == 0 {
		next.base = at
	}
	c.lastMeasured.Store(next)
	if suspendedFor := next.suspended - last.suspended; suspendedFor > 0 {
		go c.notifyDeadlines()
		for f := range c.resumeCallbacks {
			go (*f)(suspendedFor)
		}
	}
	return next
}

// suspendedTime returns the suspended time since the start.
func (c *Clock) suspendedTime() time.Duration {
	c.now()
	return c.lastMeasured.Load().suspended
}

// host is the clock of this process. simulatedSuspension is the total of the
// suspensions that SimulateSuspension has injected.
var (
	simulatedSuspension atomic.Int64
	host                = newClock(hostClocks{&simulatedSuspension})
)

// SimulateSuspension makes this process behave as if the host had been suspended for d
// until now. It is for tests and the soak test, since suspending a real host requires
// privileges on the host.
func SimulateSuspension(d time.Duration) {
	simulatedSuspension.Add(int64(d))
	host.now()
}

// Now returns the current time.
func Now() time.Time { return host.now() }

// Since returns the time elapsed since t, including suspended time.
func Since(t time.Time) time.Duration { return host.now().Sub(t) }

// Until returns the time until t.
func Until(t time.Time) time.Duration { return t.Sub(host.now()) }

// Nanos returns the nanoseconds since the process started, including suspended time. It
// never goes back; use it for times that are stored in atomic integers.
func Nanos() int64 { return host.nanos() }

func (c *Clock) nanos() int64 { return int64(c.now().Sub(c.start)) }

// OnResume calls f in its own goroutine after each suspension of the host until stop is
// called.
func OnResume(f func(suspendedFor time.Duration)) (stop func()) { return host.onResume(f) }

func (c *Clock) onResume(f func(suspendedFor time.Duration)) (stop func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resumeCallbacks[&f] = true
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.resumeCallbacks, &f)
	}
}

// ToMonotonic converts a time of this package to one for the standard library's
// deadlines, which follow the monotonic clock.
func ToMonotonic(t time.Time) time.Time { return time.Now().Add(Until(t)) }

// SuspendedTime returns the total time for which the host has been suspended since the
// process started.
func SuspendedTime() time.Duration { return host.suspendedTime() }

// DetectsSuspension reports whether this host provides its uptime. Without the uptime,
// suspended time is not counted.
func DetectsSuspension() bool {
	_, ok := host.clocks.uptime()
	return ok
}

// Watch detects suspensions until ctx ends.
func Watch(ctx context.Context) {
	ticker := time.NewTicker(watchInterval)
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
