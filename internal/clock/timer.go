package clock

import (
	"context"
	"time"
)

// Timer is as the standard library's, and fires when the host wakes if it came due
// in its sleep.
type Timer struct {
	// C gets the time when the timer fires; nil for AfterFunc.
	C     <-chan time.Time
	c     *Clock
	out   chan time.Time
	timer *time.Timer
	alarm alarm
	f     func()
}

// NewTimer returns a timer that sends the time on C after d.
func NewTimer(d time.Duration) *Timer { return host.newTimer(d) }

// AfterFunc calls f in a goroutine of its own after d.
func AfterFunc(d time.Duration, f func()) *Timer { return host.afterFunc(d, f) }

func (c *Clock) newTimer(d time.Duration) *Timer {
	out := make(chan time.Time, 1)
	t := &Timer{C: out, out: out, c: c}
	t.f = func() {
		select {
		case out <- c.now():
		default: // nobody has taken the one before
		}
	}
	return t.begin(d)
}

func (c *Clock) afterFunc(d time.Duration, f func()) *Timer {
	return (&Timer{c: c, f: f}).begin(d)
}

func (t *Timer) begin(d time.Duration) *Timer {
	t.c.alarms.place(&t.alarm)
	t.alarm.woken = func(left time.Duration) { t.timer.Reset(max(0, left)) }
	// The alarm waits for the timer that it is to reset.
	t.timer = time.AfterFunc(time.Hour, t.fire)
	t.alarm.set(t.c.nanos() + int64(d))
	t.timer.Reset(d)
	return t
}

// fire calls what is due, unless the timer was stopped meanwhile.
func (t *Timer) fire() {
	if t.alarm.unset() {
		t.f()
	}
}

// Stop ends the timer and says whether it had not fired.
func (t *Timer) Stop() bool {
	active := t.alarm.unset()
	t.timer.Stop()
	return active
}

// Reset has the timer fire after d, and says whether it had not fired.
func (t *Timer) Reset(d time.Duration) bool {
	active := t.Stop()
	if t.out != nil {
		select {
		case <-t.out:
		default:
		}
	}
	t.alarm.set(t.c.nanos() + int64(d))
	t.timer.Reset(d)
	return active
}

// WithTimeout is WithDeadline after d.
func WithTimeout(parent context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	return host.withTimeout(parent, d)
}

// WithDeadline returns a context that ends at a time of this package, or when the
// host wakes after it. The context's own Deadline is of the steady clock; one that
// passed in a sleep ends it as cancelled, with DeadlineExceeded as the cause.
func WithDeadline(parent context.Context, at time.Time) (context.Context, context.CancelFunc) {
	return host.withTimeout(parent, at.Sub(host.now()))
}

func (c *Clock) withTimeout(parent context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	inner, end := context.WithCancelCause(parent)
	ctx, cancel := context.WithTimeout(inner, d)
	t := &alarm{woken: func(left time.Duration) {
		if left <= 0 {
			end(context.DeadlineExceeded)
			return
		}
		time.AfterFunc(left, func() { end(context.DeadlineExceeded) })
	}}
	c.alarms.place(t)
	t.set(c.nanos() + int64(d))
	return ctx, func() {
		t.unset()
		cancel()
		end(context.Canceled)
	}
}

// DeadlineOf returns a context's deadline as a time of this package; false without
// one.
func DeadlineOf(ctx context.Context) (time.Time, bool) {
	steady, ok := ctx.Deadline()
	if !ok {
		return time.Time{}, false
	}
	return host.now().Add(time.Until(steady)), true
}

// After returns a channel that gets the time after d.
func After(d time.Duration) <-chan time.Time { return NewTimer(d).C }
