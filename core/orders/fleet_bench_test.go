package orders

import (
	"fmt"
	"testing"
	"time"

	"github.com/wheatseam/wheatseam/bundle/bundletest"
)

// BenchmarkFleet runs the planners of every host for a minute of virtual time
// over the users' 610 upstreams, of which 366 are engines, all of them settled,
// and reports the questions to engines and the processor time of one host.
func BenchmarkFleet(b *testing.B) {
	const look, span = 250 * time.Millisecond, time.Minute
	for _, n := range []int{10, 50, 100, 200, 410} {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) {
			sizes := bundletest.Target
			sizes.Hosts = n
			bun := bundletest.Bundle(sizes, 1)
			for b.Loop() {
				total, most := 0, 0
				var spent time.Duration
				for _, h := range bun.Hosts {
					p := NewPlanner(h.Name)
					p.Apply(bun)
					asked := 0
					began := time.Now()
					for at := time.Duration(0); at < span; at += look {
						for _, t := range p.Due(epoch.Add(at), func(string) bool { return true }) {
							asked++
							settled := State{Model: t.Pool.Model, Version: t.Pool.Version, Role: t.Pool.Role, Adapters: t.Pool.Adapters}
							p.Decide(epoch.Add(at), t, settled)
						}
					}
					spent += time.Since(began)
					total, most = total+asked, max(most, asked)
				}
				b.ReportMetric(0, "ns/op")
				b.ReportMetric(float64(total)/span.Seconds(), "fleet-asks/s")
				b.ReportMetric(float64(most)/span.Seconds(), "busiest-asks/s")
				b.ReportMetric(float64(spent.Microseconds())/float64(n)/span.Seconds(), "us/s/daemon")
			}
		})
	}
}
