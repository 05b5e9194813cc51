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
		Service: "notify", Share: 1.25,
	}
	Expect(*outcomeFromWire(outcomeToWire("j", &JobOutcome{Refused: &refused})).Refused).To(Equal(refused))
}
