package replica

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a timer that fires as soon as a suspended process resumes, before the
// response that arrived in the meantime is read. The results were then released twice.
func TestRunTimeExcludesProcessPauses(t *testing.T) {
	const pause = 400 * time.Millisecond
	g := NewWithT(t)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	ticks, elapsed := make(chan time.Time), make(chan time.Duration, 1)
	start := time.Now()
	go func() {
		waitRunTime(firstReleaseTimeout, ticks, nil)
		elapsed <- time.Since(start)
	}()
	for range 20 {
		ticks <- <-ticker.C
	}
	time.Sleep(pause)
	for len(elapsed) == 0 {
		select {
		case ticks <- <-ticker.C:
		case <-time.After(time.Second):
		}
	}
	g.Expect(<-elapsed).To(BeNumerically(">=", firstReleaseTimeout+pause-pauseThreshold))
}

func TestRunTimerCanBeStopped(t *testing.T) {
	g := NewWithT(t)
	fired := make(chan struct{})
	afterRunTime(50*time.Millisecond, func() { close(fired) })
	g.Eventually(fired, "5s").Should(BeClosed())
	firedAfterStop := make(chan struct{})
	stop := afterRunTime(50*time.Millisecond, func() { close(firedAfterStop) })
	stop()
	g.Consistently(firedAfterStop, "150ms").ShouldNot(BeClosed())
}
