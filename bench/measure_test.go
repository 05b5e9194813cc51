package bench

import (
	"fmt"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"
)

// processorTime is what this process has used in user and system mode.
func cpuTime(b testing.TB) time.Duration {
	b.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// memory is what the daemon holds in use, after a collection.
type memoryUse struct {
	heap, stacks, goroutines float64
}

func memoryInUse() memoryUse {
	// Twice: what finalizers and pools free goes with the second collection.
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return memoryUse{float64(m.HeapAlloc), float64(m.StackInuse), float64(runtime.NumGoroutine())}
}

// series collects a figure over sizes, the last run of a size counting.
type samples map[float64]float64

// fit returns the least-squares line through the points and the share of the
// spread that it explains.
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

// reportFit reports the line through s as a benchmark of its own.
func reportFit(b *testing.B, s samples, unit, per string) {
	b.Run("fit_"+strings.ReplaceAll(unit, "/", "_"), func(b *testing.B) {
		if len(s) < 4 {
			b.Skipf("%d sizes were run, 4 are needed", len(s))
		}
		slope, intercept, r2 := s.linearFit()
		b.ReportMetric(0, "ns/op")
		b.ReportMetric(slope, unit+"/"+per)
		b.ReportMetric(intercept, unit+"/fixed")
		b.ReportMetric(r2, "r2")
	})
}

func benchmarkName(name string, n int) string { return fmt.Sprintf("%s=%d", name, n) }
