package clock

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// sleeper is a host whose steady clock stands still while it sleeps, beside clocks
// that go on: its sleeps take no time here.
type sleeper struct {
	mu             sync.Mutex
	slept, stepped time.Duration
	began          time.Time
	// mute hosts do not tell the time since they started.
	mute bool
}

func (s *sleeper) now() time.Time { return time.Now() }

func (s *sleeper) day(now time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Round(0).Add(s.slept + s.stepped)
}

func (s *sleeper) boot() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.began) + s.slept, !s.mute
}

// sleep has the host sleep, and its time of day be stepped meanwhile.
func (s *sleeper) sleep(slept, stepped time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slept += slept
	s.stepped += stepped
}

func newSleeper(t *testing.T) (*sleeper, *Clock) {
	RegisterTestingT(t)
	s := &sleeper{began: time.Now().Add(-time.Hour)}
	return s, newClock(s)
}

// moment is what a busy test machine may take between two steps.
const moment = 2 * time.Second

func TestNowIsTheSteadyClockUntilTheHostSleeps(t *testing.T) {
	s, c := newSleeper(t)
	for range 3 {
		Expect(c.now()).To(BeTemporally("~", time.Now(), moment))
		s.sleep(0, time.Hour)
	}
	Expect(c.asleep()).To(BeZero(), "steps of the time of day are no sleep")
	Expect(c.now().Sub(c.start)).To(BeNumerically("<", moment))
}

func TestNowCountsTimeAsleep(t *testing.T) {
	s, c := newSleeper(t)
	before := c.now()
	s.sleep(10*time.Second, 0)
	Expect(c.now().Sub(before)).To(BeNumerically("~", 10*time.Second, moment))
	Expect(c.nanos()).To(BeNumerically("~", int64(10*time.Second), int64(moment)))
	s.sleep(time.Minute, 0)
	Expect(c.now().Sub(before)).To(BeNumerically("~", 70*time.Second, moment))
	Expect(c.asleep()).To(BeNumerically("~", 70*time.Second, moment))
}

func TestASleepHiddenByAStepOfTheTimeOfDayIsFound(t *testing.T) {
	s, c := newSleeper(t)
	before := c.now()
	s.sleep(10*time.Second, -10*time.Second)
	Eventually(func() time.Duration { return c.now().Sub(before) }, 2*moment).Should(BeNumerically("~", 10*time.Second, moment))
}

func TestAHostThatDoesNotTellHasNoSleeps(t *testing.T) {
	s, c := newSleeper(t)
	s.mu.Lock()
	s.mute = true
	s.mu.Unlock()
	s.sleep(10*time.Second, 0)
	Expect(c.asleep()).To(BeZero())
	Expect(c.now()).To(BeTemporally("~", time.Now(), moment))
}

func TestTimersThatCameDueInASleepFireOnWaking(t *testing.T) {
	s, c := newSleeper(t)
	var fired, late, stopped atomic.Int32
	c.afterFunc(10*time.Second, func() { fired.Add(1) })
	c.afterFunc(time.Hour, func() { late.Add(1) })
	c.afterFunc(10*time.Second, func() { stopped.Add(1) }).Stop()
	timer := c.newTimer(10 * time.Second)
	s.sleep(11*time.Second, 0)
	c.now()
	Eventually(timer.C, moment).Should(Receive())
	Eventually(fired.Load, moment).Should(Equal(int32(1)))
	Expect(timer.Stop()).To(BeFalse())

	s.sleep(11*time.Second, 0)
	c.now()
	Consistently(func() int32 { return fired.Load() + late.Load() + stopped.Load() }, "100ms").Should(Equal(int32(1)))
	Expect(timer.C).NotTo(Receive())
}

func TestTimersThatAreNotDueYetKeepTheirTime(t *testing.T) {
	s, c := newSleeper(t)
	timer := c.newTimer(10*time.Second + 300*time.Millisecond)
	s.sleep(10*time.Second, 0)
	c.now()
	Consistently(timer.C, "100ms").ShouldNot(Receive())
	Eventually(timer.C, moment).Should(Receive())
	Expect(timer.Reset(time.Millisecond)).To(BeFalse())
	Eventually(timer.C, moment).Should(Receive())
	timer.Reset(time.Hour)
	Expect(timer.Stop()).To(BeTrue())
	Expect(c.alarms.all()).To(BeEmpty(), "nothing is left behind")
}

func TestDeadlinesThatPassedInASleepEndOnWaking(t *testing.T) {
	s, c := newSleeper(t)
	ctx, cancel := c.withTimeout(context.Background(), 10*time.Second)
	defer cancel()
	soon, cancelSoon := c.withTimeout(context.Background(), 11*time.Second+200*time.Millisecond)
	defer cancelSoon()
	later, cancelLater := c.withTimeout(context.Background(), time.Hour)
	s.sleep(11*time.Second, 0)
	c.now()
	Eventually(ctx.Done(), moment).Should(BeClosed())
	Expect(context.Cause(ctx)).To(MatchError(context.DeadlineExceeded))
	Eventually(soon.Done(), moment).Should(BeClosed())
	Expect(context.Cause(soon)).To(MatchError(context.DeadlineExceeded))
	Expect(later.Err()).NotTo(HaveOccurred())
	cancelLater()
	Expect(context.Cause(later)).To(MatchError(context.Canceled))

	short, cancelShort := c.withTimeout(context.Background(), 10*time.Millisecond)
	defer cancelShort()
	Eventually(short.Done(), moment).Should(BeClosed())
	Expect(short.Err()).To(MatchError(context.DeadlineExceeded))
}

func TestWakingsAreTold(t *testing.T) {
	s, c := newSleeper(t)
	var slept atomic.Int64
	stop := c.onWake(func(d time.Duration) { slept.Add(int64(d)) })
	s.sleep(10*time.Second, 0)
	c.now()
	Eventually(slept.Load, moment).Should(BeNumerically("~", int64(10*time.Second), int64(moment)))
	stop()
	s.sleep(time.Hour, 0)
	c.now()
	Consistently(slept.Load, "50ms").Should(BeNumerically("<", int64(time.Minute)))
}

func TestTheHostTellsTheTimeSinceItStarted(t *testing.T) {
	RegisterTestingT(t)
	_, ok := hostSource{&atomic.Int64{}}.boot()
	Expect(ok).To(BeTrue())
	before := Now()
	Expect(Since(before)).To(BeNumerically("<", moment))
	Expect(ToMonotonic(Now().Add(time.Hour))).To(BeTemporally("~", time.Now().Add(time.Hour), moment))
	Expect(SuspendedTime()).To(BeNumerically("<", moment))
	SimulateSuspension(time.Hour)
	Expect(Since(before)).To(BeNumerically("~", time.Hour, moment))
	Expect(ToMonotonic(Now().Add(time.Hour))).To(BeTemporally("~", time.Now().Add(time.Hour), moment))
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
