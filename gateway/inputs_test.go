package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/stage"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/peer"
	"github.com/wheatseam/wheatseam/stages"
)

// Inputs that were released while no connection to the engine existed had to be produced
// again for the next engine, and under overload that was refused: 159 of 666 prepared reviews
// in five seconds of a burst during which 13 engines were without power.
func TestInputsAreHeldUntilTheEngineCanReadThem(t *testing.T) {
	RegisterTestingT(t)
	g := &Gateway{stages: stages.New(stages.Config{Mux: peer.NewMux(), Plan: stage.Config{}})}
	x := &exchange{g: g}
	x.inputsHeld.Store(true)
	var unconnected inputRelease
	Consistently(x.inputsHeld.Load, 2*minInputRetention, "10ms").Should(BeTrue())
	unconnected.cancel()
	unconnected.start(x)
	Consistently(x.inputsHeld.Load, 2*minInputRetention, "10ms").Should(BeTrue(), "the connection is established after the attempt has ended")
	var connected inputRelease
	began := clock.Now()
	connected.start(x)
	Eventually(x.inputsHeld.Load, 5*time.Second, time.Millisecond).Should(BeFalse())
	Expect(clock.Since(began)).To(BeNumerically(">=", minInputRetention))
}
