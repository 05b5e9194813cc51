package discovery_test

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

var spreadLarge = flag.Bool("spread.large", false, "measure fleets of up to 300 hosts as well")

// propagationCase is a configuration change in a fleet with the given numbers of hosts
// with fast and with slow links.
type propagationCase struct {
	fast, slow int
	// fromRoutes and toRoutes are the numbers of routes before and after the change.
	fromRoutes, toRoutes int
}

// TestConfigPropagation measures the cost of a configuration change for several fleet
// sizes and numbers of routes: the seconds until it is active on all hosts, the bytes over
// the links of the busiest hosts, and the traffic while nothing changes. It logs a table
// row for each change; docs/CAPACITY.md contains them.
func TestConfigPropagation(t *testing.T) {
	cases := []propagationCase{{8, 22, 2, 1402}, {8, 72, 2800, 4200}, {0, 80, 0, 5600}}
	if *spreadLarge {
		cases = nil
		for _, hosts := range []int{30, 80, 300} {
			for _, routes := range [][2]int{{0, 1400}, {1400, 2800}, {2800, 4200}, {4200, 4201}, {0, 5600}} {
				for _, fast := range []int{8, 0} {
					cases = append(cases, propagationCase{fast, hosts - fast, routes[0], routes[1]})
				}
			}
		}
	}
	t.Log("| hosts (fast) | routes | s until active | kB received by one host | kB sent by one host | idle kB/s, busiest |")
	for _, s := range cases {
		synctest.Test(t, func(t *testing.T) { s.measure(t) })
	}
}

func (s propagationCase) measure(t *testing.T) {
	const limit, idle = 30 * time.Second, 5 * time.Second
	g := NewWithT(t)
	f := newSimulatedFleet(s.fast, s.slow)
	f.store.writeConfig(1, s.fromRoutes)
	for id := range 120 {
		f.store.writeReplica(id, "ready")
	}
	stop := f.run()
	defer stop()
	g.Expect(f.awaitVersion(1, limit)).To(BeNumerically("<", limit))
	time.Sleep(3 * propagationBound)
	received, sent := f.transferredBytes()
	time.Sleep(idle)
	idleReceived, idleSent := busiestSince(f, received, sent)
	received, sent = f.transferredBytes()
	f.store.writeConfig(2, s.toRoutes)
	took := f.awaitVersion(2, limit)
	changeReceived, changeSent := busiestSince(f, received, sent)
	t.Logf("| %d (%d) | %d to %d | %.2f | %d | %d | %.1f |", s.fast+s.slow, s.fast, s.fromRoutes, s.toRoutes, took.Seconds(),
		changeReceived/1000, changeSent/1000, float64(max(idleReceived, idleSent))/1000/idle.Seconds())
	g.Expect(took).To(BeNumerically("<", propagationBound), fmt.Sprint(s))
}

// transferredBytes returns the bytes that each host has received and sent so far.
func (f *simulatedFleet) transferredBytes() (received, sent map[string]int64) {
	received, sent = map[string]int64{}, map[string]int64{}
	for name, m := range f.machines {
		received[name], sent[name] = m.down.bytes.Load(), m.up.bytes.Load()
	}
	return received, sent
}

// busiestSince returns the bytes received by the host that received most, and sent by the
// one that sent most, since the given counts.
func busiestSince(f *simulatedFleet, received, sent map[string]int64) (mostReceived, mostSent int64) {
	nowReceived, nowSent := f.transferredBytes()
	for name := range f.machines {
		mostReceived = max(mostReceived, nowReceived[name]-received[name])
		mostSent = max(mostSent, nowSent[name]-sent[name])
	}
	return mostReceived, mostSent
}
