package stages

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/core/intake"
	"github.com/wheatseam/wheatseam/core/stage"
	"github.com/wheatseam/wheatseam/internal/clock"
)

// counting counts the calls that are made.
type counting struct{ calls int }

func (c *counting) RunPieces(context.Context, stage.Run) ([]stage.Result, stage.CallOutcome, error) {
	c.calls++
	return nil, stage.CallAnswered, nil
}
func (c *counting) ReleaseResults(context.Context, stage.Release) error { return nil }
func (c *counting) FreeMemory(context.Context, stage.QueryMemory) (stage.FreeMemory, error) {
	return stage.FreeMemory{}, nil
}

// Guards against calls that were chosen before their replica said that it takes nothing, and
// are sent after it: a call waits for results that are being given up.
func TestCallThatWasChosenBeforeIsNotSent(t *testing.T) {
	g := NewWithT(t)
	replicas, gates := &counting{}, intake.NewLimiters()
	p := newPlanner(stage.Config{Gates: gates}, replicas, zap.NewNop())
	send := func() stage.CallOutcome {
		_, outcome, _ := p.send(context.Background(), stage.Run{Replica: "r"})
		return outcome
	}
	g.Expect(send()).To(Equal(stage.CallAnswered))
	gates.SetQuotas(intake.Leaving, map[string]intake.Quota{"r": {}})
	g.Expect(send()).To(Equal(stage.CallNotExecuted))
	gates.SetQuotas(intake.Leaving, nil)
	gates.SetQuotas(intake.BackingOff, map[string]intake.Quota{"r": {BlockedUntil: clock.Now().Add(time.Hour)}})
	g.Expect(send()).To(Equal(stage.CallNotExecuted))
	gates.SetQuotas(intake.BackingOff, nil)
	gates.SetQuotas(intake.AnnouncedLimit, map[string]intake.Quota{"r": {Window: time.Hour}})
	g.Expect(send()).To(Equal(stage.CallAnswered), "a call of this host's part, which it was chosen by")
	g.Expect(replicas.calls).To(Equal(2))
}
