package stage

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestCallIsWaitedForWhileItsJobWaits: a replica that pauses and goes on is still
// heard, for as long as a job of the call can be answered.
func TestCallIsWaitedForWhileItsJobWaits(t *testing.T) {
	RegisterTestingT(t)
	b := newBench(figures(4, 0), "x")
	j := b.chain("j", Stage{Service: "a", Pieces: 2})
	run := b.submit(j)[0]
	Expect(run.Timeout).To(BeNumerically(">=", j.Deadline.Sub(b.now)))
	b.pass(2 * time.Second)
	b.answer(run.Call)
	Expect(b.ready).To(HaveKey("j"))
}
