package replica

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against an answer that came while this process stood still, and is given up as soon
// as it goes on: the call that gives results up was then made twice.
func TestTimeInWhichTheProcessStoodStillDoesNotCount(t *testing.T) {
	const standstill = 400 * time.Millisecond
	g := NewWithT(t)
	ticker := time.NewTicker(runStep)
	defer ticker.Stop()
	steps, ended := make(chan time.Time), make(chan time.Duration, 1)
	began := time.Now()
	go func() {
		countSteps(firstFreeTry, steps, nil)
		ended <- time.Since(began)
	}()
	for range 20 {
		steps <- <-ticker.C
	}
	time.Sleep(standstill)
	for len(ended) == 0 {
		select {
		case steps <- <-ticker.C:
		case <-time.After(time.Second):
		}
	}
	g.Expect(<-ended).To(BeNumerically(">=", firstFreeTry+standstill-lateStep))
}

func TestTimeIsCountedUntilStopped(t *testing.T) {
	g := NewWithT(t)
	fired := make(chan struct{})
	afterRunning(50*time.Millisecond, func() { close(fired) })
	g.Eventually(fired, "5s").Should(BeClosed())
	never := make(chan struct{})
	stop := afterRunning(50*time.Millisecond, func() { close(never) })
	stop()
	g.Consistently(never, "150ms").ShouldNot(BeClosed())
}
