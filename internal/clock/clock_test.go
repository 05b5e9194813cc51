package clock

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// fakeClocks simulates the clocks of a host that can be suspended: a suspension
// advances the wall clock and the uptime at once, but not the monotonic clock.
type fakeClocks struct {
	mu                  sync.Mutex
	suspended, wallStep time.Duration
	booted              time.Time
	// noUptime makes the host not provide its uptime.
	noUptime bool
}

func (f *fakeClocks) now() time.Time { return time.Now() }

func (f *fakeClocks) wallTime(now time.Time) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Round(0).Add(f.suspended + f.wallStep)
}

func (f *fakeClocks) uptime() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.booted) + f.suspended, !f.noUptime
}

// suspend suspends the host and at the same time steps its wall clock by wallStep.
func (f *fakeClocks) suspend(suspended, wallStep time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.suspended += suspended
	f.wallStep += wallStep
}

func newTestClock(t *testing.T) (*fakeClocks, *Clock) {
	RegisterTestingT(t)
	s := &fakeClocks{booted: time.Now().Add(-time.Hour)}
	return s, newClock(s)
}

// timeTolerance allows for delays between two steps on a busy test machine.
const timeTolerance = 2 * time.Second

func TestNowFollowsMonotonicClockUntilHostSuspends(t *testing.T) {
	s, c := newTestClock(t)
	for range 3 {
		Expect(c.now()).To(BeTemporally("~", time.Now(), timeTolerance))
		s.suspend(0, time.Hour)
	}
	Expect(c.suspendedTime()).To(BeZero(), "steps of the wall clock are no suspension")
	Expect(c.now().Sub(c.start)).To(BeNumerically("<", timeTolerance))
}

func TestNowCountsSuspendedTime(t *testing.T) {
	s, c := newTestClock(t)
	before := c.now()
	s.suspend(10*time.Second, 0)
	Expect(c.now().Sub(before)).To(BeNumerically("~", 10*time.Second, timeTolerance))
	Expect(c.nanos()).To(BeNumerically("~", int64(10*time.Second), int64(timeTolerance)))
	s.suspend(time.Minute, 0)
	Expect(c.now().Sub(before)).To(BeNumerically("~", 70*time.Second, timeTolerance))
	Expect(c.suspendedTime()).To(BeNumerically("~", 70*time.Second, timeTolerance))
}

// Guards against missing a suspension when the wall clock is stepped back by the length
// of the suspension: the drift then does not change, so that only the measurement that
// is due every maxMeasureInterval can detect it.
func TestSuspensionHiddenByWallClockStepIsDetected(t *testing.T) {
	s, c := newTestClock(t)
	before := c.now()
	s.suspend(10*time.Second, -10*time.Second)
	Eventually(func() time.Duration { return c.now().Sub(before) }, 2*timeTolerance).Should(BeNumerically("~", 10*time.Second, timeTolerance))
}

func TestHostWithoutUptimeReportsNoSuspension(t *testing.T) {
	s, c := newTestClock(t)
	s.mu.Lock()
	s.noUptime = true
	s.mu.Unlock()
	s.suspend(10*time.Second, 0)
	Expect(c.suspendedTime()).To(BeZero())
	Expect(c.now()).To(BeTemporally("~", time.Now(), timeTolerance))
}

func TestTimersDueDuringSuspensionFireOnResume(t *testing.T) {
	s, c := newTestClock(t)
	var fired, late, stopped atomic.Int32
	c.afterFunc(10*time.Second, func() { fired.Add(1) })
	c.afterFunc(time.Hour, func() { late.Add(1) })
	c.afterFunc(10*time.Second, func() { stopped.Add(1) }).Stop()
	timer := c.newTimer(10 * time.Second)
	s.suspend(11*time.Second, 0)
	c.now()
	Eventually(timer.C, timeTolerance).Should(Receive())
	Eventually(fired.Load, timeTolerance).Should(Equal(int32(1)))
	Expect(timer.Stop()).To(BeFalse())

	s.suspend(11*time.Second, 0)
	c.now()
	Consistently(func() int32 { return fired.Load() + late.Load() + stopped.Load() }, "100ms").Should(Equal(int32(1)))
	Expect(timer.C).NotTo(Receive())
}

func TestTimersNotYetDueFireAtTheirTimeAfterResume(t *testing.T) {
	s, c := newTestClock(t)
	timer := c.newTimer(10*time.Second + 300*time.Millisecond)
	s.suspend(10*time.Second, 0)
	c.now()
	Consistently(timer.C, "100ms").ShouldNot(Receive())
	Eventually(timer.C, timeTolerance).Should(Receive())
	Expect(timer.Reset(time.Millisecond)).To(BeFalse())
	Eventually(timer.C, timeTolerance).Should(Receive())
	timer.Reset(time.Hour)
	Expect(timer.Stop()).To(BeTrue())
	Expect(c.deadlines.all()).To(BeEmpty(), "stopped timers leave no armed deadlines")
}

func TestDeadlinesPassedDuringSuspensionExpireOnResume(t *testing.T) {
	s, c := newTestClock(t)
	ctx, cancel := c.withTimeout(context.Background(), 10*time.Second)
	defer cancel()
	soon, cancelSoon := c.withTimeout(context.Background(), 11*time.Second+200*time.Millisecond)
	defer cancelSoon()
	later, cancelLater := c.withTimeout(context.Background(), time.Hour)
	s.suspend(11*time.Second, 0)
	c.now()
	Eventually(ctx.Done(), timeTolerance).Should(BeClosed())
	Expect(context.Cause(ctx)).To(MatchError(context.DeadlineExceeded))
	Eventually(soon.Done(), timeTolerance).Should(BeClosed())
	Expect(context.Cause(soon)).To(MatchError(context.DeadlineExceeded))
	Expect(later.Err()).NotTo(HaveOccurred())
	cancelLater()
	Expect(context.Cause(later)).To(MatchError(context.Canceled))

	short, cancelShort := c.withTimeout(context.Background(), 10*time.Millisecond)
	defer cancelShort()
	Eventually(short.Done(), timeTolerance).Should(BeClosed())
	Expect(short.Err()).To(MatchError(context.DeadlineExceeded))
}

func TestResumeCallbacksAreCalled(t *testing.T) {
	s, c := newTestClock(t)
	var suspended atomic.Int64
	stop := c.onResume(func(d time.Duration) { suspended.Add(int64(d)) })
	s.suspend(10*time.Second, 0)
	c.now()
	Eventually(suspended.Load, timeTolerance).Should(BeNumerically("~", int64(10*time.Second), int64(timeTolerance)))
	stop()
	s.suspend(time.Hour, 0)
	c.now()
	Consistently(suspended.Load, "50ms").Should(BeNumerically("<", int64(time.Minute)))
}

func TestHostReportsUptime(t *testing.T) {
	RegisterTestingT(t)
	_, ok := hostClocks{&atomic.Int64{}}.uptime()
	Expect(ok).To(BeTrue())
	before := Now()
	Expect(Since(before)).To(BeNumerically("<", timeTolerance))
	Expect(ToMonotonic(Now().Add(time.Hour))).To(BeTemporally("~", time.Now().Add(time.Hour), timeTolerance))
	Expect(SuspendedTime()).To(BeNumerically("<", timeTolerance))
	SimulateSuspension(time.Hour)
	Expect(Since(before)).To(BeNumerically("~", time.Hour, timeTolerance))
	Expect(ToMonotonic(Now().Add(time.Hour))).To(BeTemporally("~", time.Now().Add(time.Hour), timeTolerance))
}

func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		Now()
	}
}

func BenchmarkWithTimeout(b *testing.B) {
	for b.Loop() {
		_, cancel := WithTimeout(context.Background(), time.Second)
		cancel()
	}
}
