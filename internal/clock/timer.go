package clock

import (
	"context"
	"time"
)

// Timer is like time.Timer, but a timer that became due while the host was suspended
// fires when the host resumes.
type Timer struct {
	// C receives the time when the timer fires. It is nil for AfterFunc.
	C        <-chan time.Time
	clock    *Clock
	out      chan time.Time
	timer    *time.Timer
	deadline deadline
	onFire   func()
}

// NewTimer returns a timer that sends the current time on C after d.
func NewTimer(d time.Duration) *Timer { return host.newTimer(d) }

// AfterFunc calls f in its own goroutine after d.
func AfterFunc(d time.Duration, f func()) *Timer { return host.afterFunc(d, f) }

func (c *Clock) newTimer(d time.Duration) *Timer {
	out := make(chan time.Time, 1)
	t := &Timer{C: out, out: out, clock: c}
	t.onFire = func() {
		select {
		case out <- c.now():
		default: // the previous time has not been received yet
		}
	}
	return t.start(d)
}

func (c *Clock) afterFunc(d time.Duration, f func()) *Timer {
	return (&Timer{clock: c, onFire: f}).start(d)
}

func (t *Timer) start(d time.Duration) *Timer {
	t.clock.deadlines.assignShard(&t.deadline)
	t.deadline.onResume = func(left time.Duration) { t.timer.Reset(max(0, left)) }
	// onResume resets the timer, so the timer must exist before the deadline is armed.
	t.timer = time.AfterFunc(time.Hour, t.fire)
	t.deadline.arm(t.clock.nanos() + int64(d))
	t.timer.Reset(d)
	return t
}

// fire runs onFire unless the timer was stopped in the meantime.
func (t *Timer) fire() {
	if t.deadline.disarm() {
		t.onFire()
	}
}

// Stop stops the timer and reports whether it was still pending.
func (t *Timer) Stop() bool {
	active := t.deadline.disarm()
	t.timer.Stop()
	return active
}

// Reset makes the timer fire after d and reports whether it was still pending.
func (t *Timer) Reset(d time.Duration) bool {
	active := t.Stop()
	if t.out != nil {
		select {
		case <-t.out:
		default:
		}
	}
	t.deadline.arm(t.clock.nanos() + int64(d))
	t.timer.Reset(d)
	return active
}

// WithTimeout is WithDeadline with a deadline after d.
func WithTimeout(parent context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	return host.withTimeout(parent, d)
}

// WithDeadline returns a context that ends at the given time of this package, or on
// resume if that time passed while the host was suspended. The context's own Deadline
// follows the monotonic clock. If the host was suspended before the deadline passed, the
// context ends by cancellation: its Err is Canceled and its Cause is DeadlineExceeded.
func WithDeadline(parent context.Context, at time.Time) (context.Context, context.CancelFunc) {
	return host.withTimeout(parent, at.Sub(host.now()))
}

func (c *Clock) withTimeout(parent context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	inner, end := context.WithCancelCause(parent)
	ctx, cancel := context.WithTimeout(inner, d)
	t := &deadline{onResume: func(left time.Duration) {
		if left <= 0 {
			end(context.DeadlineExceeded)
			return
		}
		time.AfterFunc(left, func() { end(context.DeadlineExceeded) })
	}}
	c.deadlines.assignShard(t)
	t.arm(c.nanos() + int64(d))
	return ctx, func() {
		t.disarm()
		cancel()
		end(context.Canceled)
	}
}

// DeadlineOf returns a context's deadline as a time of this package, or false if it has
// none.
func DeadlineOf(ctx context.Context) (time.Time, bool) {
	monotonic, ok := ctx.Deadline()
	if !ok {
		return time.Time{}, false
	}
	return host.now().Add(time.Until(monotonic)), true
}

// After returns a channel that receives the current time after d.
func After(d time.Duration) <-chan time.Time { return NewTimer(d).C }
