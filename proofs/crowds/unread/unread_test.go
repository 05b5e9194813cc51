// Package unread checks callers that send more than is read. The machine counts bytes that have
// been received and not yet read as the process's memory.
package unread

import (
	"testing"

	"github.com/wheatseam/wheatseam/internal/crowd"
)

const (
	memoryMB    = 144 // of the smallest machine of a deployment
	descriptors = 4100
	connections = 2500
)

func TestReceivedBytesStayInBounds(t *testing.T) {
	g := crowd.StartGateway(t, crowd.Build(t), crowd.Limits{MemoryMB: memoryMB, Descriptors: descriptors})
	crowd.Check(t, g, g.Callers(), connections, crowd.PipelinedBodies(), crowd.Bound{MemoryMB: memoryMB, Descriptors: descriptors})
}
