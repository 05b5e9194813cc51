// Package daemonoperators checks crowds at the operators' listener of a daemon with the project's own interface.
package daemonoperators

import (
	"os"
	"testing"

	"github.com/wheatseam/wheatseam/internal/crowd"
	"github.com/wheatseam/wheatseam/internal/proctest"
)

const (
	memoryMB    = 144 // of the smallest machine of a deployment
	connections = 1500
)

func TestMain(m *testing.M) {
	code := m.Run()
	proctest.RemoveDaemonBinary()
	os.Exit(code)
}

func TestCrowdsAtDaemonsForOperators(t *testing.T) {
	for _, k := range append(crowd.HeadKinds(), crowd.Silent(), crowd.OneRequest()) {
		t.Run(k.Name, func(t *testing.T) {
			d := crowd.StartDaemon(t)
			crowd.Check(t, d, d.Operators(), connections, k, crowd.Bound{MemoryMB: memoryMB, Descriptors: connections})
		})
	}
}
