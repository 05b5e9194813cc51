// Package metrics checks crowds at the metrics listener of a gateway.
package metrics

import (
	"testing"

	"github.com/wheatseam/wheatseam/internal/crowd"
)

const (
	memoryMB    = 144 // of the smallest machine of a deployment
	descriptors = 4100
	connections = 500
)

func TestCrowdsAtMetrics(t *testing.T) {
	binary := crowd.Build(t)
	for _, k := range append(crowd.HeadKinds(), crowd.Silent()) {
		t.Run(k.Name, func(t *testing.T) {
			g := crowd.StartGateway(t, binary, crowd.Limits{MemoryMB: memoryMB, Descriptors: descriptors})
			crowd.Check(t, g, g.Metrics(), connections, k, crowd.Bound{MemoryMB: memoryMB, Descriptors: connections})
		})
	}
}
