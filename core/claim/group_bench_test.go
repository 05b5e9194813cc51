package claim

import (
	"fmt"
	"testing"
)

// BenchmarkGroupOf measures the computation of one key's group among the hosts of
// larger fleets, in 8 failure domains.
func BenchmarkGroupOf(b *testing.B) {
	for _, n := range []int{10, 50, 100, 200, 410} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			hosts := make([]Host, n)
			for i := range hosts {
				hosts[i] = Host{Name: fmt.Sprintf("entry-%03d", i), FailureDomain: fmt.Sprintf("domain-%d", i%8)}
			}
			for i := 0; b.Loop(); i++ {
				Group(hosts, benchKey(i), 3)
			}
		})
	}
}
