package crash_test

import (
	"fmt"
	"testing"

	"github.com/wheatseam/wheatseam/core/crash"
)

// BenchmarkInterrupted measures recording one attempt while the table is full.
func BenchmarkInterrupted(b *testing.B) {
	t := &crash.Table{}
	i := 0
	record := func() {
		x := interrupted("x", crash.Broken, 0, 1000)
		x.Replica = fmt.Sprint(i % crash.MaxReplicas)
		t.Interrupted(at(1000), x)
		i++
	}
	for range crash.MaxReplicas * crash.MaxInterruptions {
		record()
	}
	for b.Loop() {
		record()
	}
}
