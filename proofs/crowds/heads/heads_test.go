// Package heads checks callers that send heads without end, or over the limit.
package heads

import (
	"testing"

	"github.com/wheatseam/wheatseam/internal/crowd"
)

const (
	memoryMB    = 144 // of the smallest machine of a deployment
	descriptors = 4100
	connections = 2500
)

func TestHeadsThatNeverEnd(t *testing.T) {
	binary := crowd.Build(t)
	for _, k := range crowd.HeadKinds() {
		t.Run(k.Name, func(t *testing.T) {
			g := crowd.StartGateway(t, binary, crowd.Limits{MemoryMB: memoryMB, Descriptors: descriptors})
			crowd.Check(t, g, g.Callers(), connections, k, crowd.Bound{MemoryMB: memoryMB, Descriptors: descriptors})
		})
	}
}
