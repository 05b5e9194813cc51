package fleet

import (
	"fmt"
	"testing"

	"github.com/wheatseam/wheatseam/core/member"
)

// BenchmarkRosterRequest measures a seed's answer to a host that knows the same hosts, as
// nearly all requests in a steady fleet do.
func BenchmarkRosterRequest(b *testing.B) {
	for _, hosts := range []int{6, 300, 985, 3020} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			r := newRoster(Host{Host: member.Host{Name: "self"}})
			for i := range hosts - 1 {
				r.add(Host{Host: member.Host{Name: fmt.Sprintf("10.1.%d.%d:8787", i/250, i%250)}, Incarnation: uint64(i + 1)})
			}
			_, known := r.snapshot()
			b.ReportAllocs()
			for b.Loop() {
				if len(differingHosts(r, known[:])) > 0 {
					b.Fatal("the rosters are equal")
				}
			}
		})
	}
}
