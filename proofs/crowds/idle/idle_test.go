// Package idle checks callers that hold connections on which nothing happens.
package idle

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

func TestIdleConnectionsLeaveDescriptors(t *testing.T) {
	binary := crowd.Build(t)
	for _, k := range []crowd.Kind{crowd.Silent(), crowd.OneRequest()} {
		t.Run(k.Name, func(t *testing.T) {
			g := crowd.StartGateway(t, binary, crowd.Limits{MemoryMB: memoryMB, Descriptors: descriptors})
			crowd.Check(t, g, g.Callers(), connections, k, crowd.Bound{MemoryMB: memoryMB, Descriptors: descriptors - reservedDescriptors})
		})
	}
}
