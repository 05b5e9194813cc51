// Package answers checks clients that don't read their answers.
package answers

import (
	"testing"

	"github.com/wheatseam/wheatseam/internal/crowd"
)

const (
	memoryMB    = 144 // of the smallest machine of a deployment
	descriptors = 500
	// reservedDescriptors are those that the platform keeps back for files.
	reservedDescriptors = 200
	connections         = 600
)

var bound = crowd.Bound{MemoryMB: memoryMB, Descriptors: descriptors - reservedDescriptors}

func TestUnreadAnswersLeaveDescriptors(t *testing.T) {
	g := crowd.StartGateway(t, crowd.Build(t), crowd.Limits{MemoryMB: memoryMB, Descriptors: descriptors})
	crowd.Check(t, g, g.Callers(), connections, crowd.UnreadAnswers("/"), bound)
}

// Answers of this listener are large, so that writes wait for the clients.
func TestUnreadLargeAnswersLeaveConnections(t *testing.T) {
	g := crowd.StartGateway(t, crowd.Build(t), crowd.Limits{MemoryMB: memoryMB, Descriptors: descriptors})
	crowd.Check(t, g, g.Metrics(), connections, crowd.UnreadAnswers("/metrics"), bound)
}
