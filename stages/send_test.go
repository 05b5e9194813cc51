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

// countingReplicas count the calls for pieces.
type countingReplicas struct{ calls int }

func (c *countingReplicas) RunPieces(context.Context, stage.Run) ([]stage.Result, stage.CallOutcome, error) {
	c.calls++
	return nil, stage.CallAnswered, nil
}
func (c *countingReplicas) ReleaseResults(context.Context, stage.Release) error { return nil }
func (c *countingReplicas) FreeMemory(context.Context, stage.QueryMemory) (stage.FreeMemory, error) {
	return stage.FreeMemory{}, nil
}

// Guards against sending a call to a replica that has announced, after the call was
// dispatched, that it accepts no calls. There is time for that because a call first waits
// for pending releases of results.
func TestCallToReplicaThatClosedSinceDispatchIsNotSent(t *testing.T) {
	g := NewWithT(t)
	replicas, limiters := &countingReplicas{}, intake.NewLimiters(time.Time{})
	p := newPlanner(stage.Config{Limiters: limiters}, replicas, zap.NewNop())
	send := func() stage.CallOutcome {
		_, outcome, _ := p.send(context.Background(), stage.Run{Replica: "r"})
		return outcome
	}
	g.Expect(send()).To(Equal(stage.CallAnswered))
	limiters.SetQuotas(intake.Leaving, map[string]intake.Quota{"r": {}})
	g.Expect(send()).To(Equal(stage.CallNotExecuted))
	limiters.SetQuotas(intake.Leaving, nil)
	limiters.SetQuotas(intake.BackingOff, map[string]intake.Quota{"r": {BlockedUntil: clock.Now().Add(time.Hour)}})
	g.Expect(send()).To(Equal(stage.CallNotExecuted))
	limiters.SetQuotas(intake.BackingOff, nil)
	limiters.SetQuotas(intake.AnnouncedLimit, map[string]intake.Quota{"r": {Window: time.Hour}})
	g.Expect(send()).To(Equal(stage.CallAnswered), "the replica accepts this host's share of calls, and dispatch has accounted for the call")
	g.Expect(replicas.calls).To(Equal(2))
}
