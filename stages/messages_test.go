package stages

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/stage"
)

// What a planner says of a refusal must reach the owner of the job, whose log line explains
// it.
func TestRefusalsKeepTheirFieldsOnTheWire(t *testing.T) {
	RegisterTestingT(t)
	refused := stage.Refused{
		Job: "j", Reason: stage.ReasonOverShare, RetryAfter: time.Second, Predicted: 2 * time.Second,
		Service: "notify", Share: 1.25, Preferred: true,
	}
	Expect(*outcomeFromWire(outcomeToWire("j", &JobOutcome{Refused: &refused})).Refused).To(Equal(refused))
}

// A planner plans another host's job as its own, also one that it takes over from a lost planner.
func TestJobsThatContinueStreamsKeepTheirFieldsOnTheWire(t *testing.T) {
	RegisterTestingT(t)
	now := time.Unix(1000, 0)
	j := stage.Job{
		ID: "j", Customer: "c", ContinuesStream: true, Due: now.Add(time.Second), Latest: now.Add(3 * time.Second), Deadline: now.Add(4 * time.Second),
		Stages: []stage.Stage{{Service: "notify", Pieces: 2}}, Completed: []stage.CompletedPiece{{Index: 1, Handle: "h", Replica: "r"}},
	}
	Expect(jobFromWire(jobToWire(j, now), now)).To(Equal(j))
	ready := stage.Ready{Job: "j", Handles: []string{"h"}, Preferred: true}
	Expect(outcomeFromWire(outcomeToWire("j", &JobOutcome{Ready: ready})).Ready).To(Equal(ready))
}
