package bench

import (
	"fmt"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"
)

// cpuTime returns the CPU time that this process has used in user and system mode.
func cpuTime(b testing.TB) time.Duration {
	b.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// memoryUse is the memory and the number of goroutines of the daemon after a garbage
// collection; heap and stacks are in bytes.
type memoryUse struct {
	heap, stacks, goroutines float64
}

func memoryInUse() memoryUse {
	// Memory that finalizers and sync.Pools release in the first collection is only
	// freed by the second.
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return memoryUse{float64(m.HeapAlloc), float64(m.StackInuse), float64(runtime.NumGoroutine())}
}

// samples maps a size to the value measured for it. A later run of the same size
// replaces the value.
type samples map[float64]float64

// linearFit returns the least-squares line through the points and its coefficient of
// determination.
func (s samples) linearFit() (slope, intercept, r2 float64) {
	var n, sx, sy, sxx, sxy, syy float64
	for x, y := range s {
		n, sx, sy, sxx, sxy, syy = n+1, sx+x, sy+y, sxx+x*x, sxy+x*y, syy+y*y
	}
	cov, varX, varY := n*sxy-sx*sy, n*sxx-sx*sx, n*syy-sy*sy
	if varX == 0 || varY == 0 {
		return 0, sy / max(n, 1), 0
	}
	return cov / varX, (sy - cov/varX*sx) / n, cov * cov / (varX * varY)
}

// reportFit reports the least-squares line through s as a separate benchmark.
func reportFit(b *testing.B, s samples, unit, per string) {
	b.Run("fit_"+strings.ReplaceAll(unit, "/", "_"), func(b *testing.B) {
		if len(s) < 4 {
			b.Skipf("%d sizes were measured; a fit requires 4", len(s))
		}
		slope, intercept, r2 := s.linearFit()
		b.ReportMetric(0, "ns/op")
		b.ReportMetric(slope, unit+"/"+per)
		b.ReportMetric(intercept, unit+"/fixed")
		b.ReportMetric(r2, "r2")
	})
}

func benchmarkName(name string, n int) string { return fmt.Sprintf("%s=%d", name, n) }
