package origin_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/origin"
)

// Guards against the absence of a part from a list that is incomplete, or was requested before the
// lookup began, that is taken for evidence.
func TestListsShowOnlyWhatTheyCover(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name    string
		list    origin.PartList
		part    origin.SoughtPart
		want    origin.Retention
		decided bool
	}{
		{"kept", origin.PartList{Answered: true, Listed: true, Tokens: 480, Complete: true, Age: 10 * ms}, origin.SoughtPart{Tokens: 500, Age: 20 * ms}, origin.PartKept, true},
		{"kept, in an older list", origin.PartList{Answered: true, Listed: true, Tokens: 480, Age: 30 * ms}, origin.SoughtPart{Tokens: 500, Age: 20 * ms}, origin.PartKept, true},
		{"kept, in a list that is not certainly the replica's", origin.PartList{Listed: true, Tokens: 480, Age: 10 * ms}, origin.SoughtPart{Tokens: 500, Age: 20 * ms}, origin.RetentionUnknown, true},
		{"kept in part", origin.PartList{Answered: true, Listed: true, Tokens: 468, Complete: true, Age: 10 * ms}, origin.SoughtPart{Tokens: 500, Age: 20 * ms}, origin.RetentionUnknown, true},
		{"kept in part, in an older list", origin.PartList{Answered: true, Listed: true, Tokens: 468, Complete: true, Age: 30 * ms}, origin.SoughtPart{Tokens: 500, Age: 20 * ms}, origin.RetentionUnknown, false},
		{"not kept", origin.PartList{Answered: true, Complete: true, Age: 10 * ms}, origin.SoughtPart{Tokens: 500, Age: 20 * ms}, origin.PartNotKept, true},
		{"not kept, requested as the lookup began", origin.PartList{Answered: true, Complete: true, Age: 20 * ms}, origin.SoughtPart{Tokens: 500, Age: 20 * ms}, origin.PartNotKept, true},
		{"not kept, in an older list", origin.PartList{Answered: true, Complete: true, Age: 21 * ms}, origin.SoughtPart{Tokens: 500, Age: 20 * ms}, origin.RetentionUnknown, false},
		{"not kept, in a list with parts left out", origin.PartList{Answered: true, Age: 10 * ms}, origin.SoughtPart{Tokens: 500, Age: 20 * ms}, origin.RetentionUnknown, true},
		{"no list", origin.PartList{Age: 10 * ms}, origin.SoughtPart{Tokens: 500, Age: 20 * ms}, origin.RetentionUnknown, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			found, decided := c.list.Shows(c.part)
			NewWithT(t).Expect([]any{found, decided}).To(Equal([]any{c.want, c.decided}))
		})
	}
	g := NewWithT(t)
	for raw, want := range map[byte]origin.Retention{0: origin.RetentionUnknown, 1: origin.PartKept, 2: origin.PartNotKept, 3: origin.RetentionUnknown, 255: origin.RetentionUnknown} {
		g.Expect(origin.ParseRetention(raw)).To(Equal(want))
	}
}

// lookupSizes are the numbers of hosts and of replicas of a service, up to the target and the whole
// fleet.
var lookupSizes = []struct{ hosts, replicas int }{{1, 2}, {6, 12}, {60, 64}, {410, 610}, {985, 64}, {985, 610}, {985, origin.MaxLookupReplicas}}

// checkedGroups limits the groups of a service whose hosts are checked.
const checkedGroups = 4

func lookupFleet(n int) []origin.Host {
	hosts := make([]origin.Host, 0, n)
	for i := range n {
		hosts = append(hosts, origin.Host{Name: fmt.Sprintf("10.0.%d.%d:7403", i/250, i%250), FailureDomain: fmt.Sprint("d", i%8)})
	}
	return hosts
}

// Guards against calls at a replica that grow with the hosts, messages that grow with the replicas,
// hosts that serve the lookups of most others, and a second host that fails with the first.
func TestLookupsAreServedByFewHosts(t *testing.T) {
	for _, size := range lookupSizes {
		t.Run(fmt.Sprintf("%d hosts, %d replicas", size.hosts, size.replicas), func(t *testing.T) {
			g := NewWithT(t)
			hosts, groups := lookupFleet(size.hosts), origin.LookupGroups(size.replicas)
			members := map[int]int{}
			for i := range size.replicas {
				members[origin.LookupGroupOf(fmt.Sprint("llm-", i), groups)]++
			}
			busiest := 0
			for index := range min(len(members), checkedGroups) {
				group := origin.LookupGroup{Service: "llm", Index: index, Count: groups}
				asking, served := map[string]bool{}, map[string]int{}
				for _, h := range hosts {
					ranked := origin.LookupHosts(group, h.Name, hosts)
					for _, r := range ranked {
						asking[r.Name] = true
					}
					served[ranked[0].Name]++
					if len(ranked) > 1 && len(asking) == origin.MaxLookupHosts {
						g.Expect(ranked[0].FailureDomain == ranked[1].FailureDomain).To(BeFalse())
					}
				}
				g.Expect(len(asking)).To(BeNumerically("<=", origin.MaxLookupHosts))
				for _, n := range served {
					busiest = max(busiest, n)
				}
			}
			t.Logf("%d messages a lookup; a host serves %d hosts at most", len(members), busiest)
			g.Expect(len(members)).To(BeNumerically("<=", max(1, size.replicas/8)))
			g.Expect(busiest).To(BeNumerically("<=", max(1, 3*size.hosts/origin.MaxLookupHosts)))
		})
	}
}

// Guards against calls at a replica that grow with the hosts while these do not know each other yet,
// as after a loss of all: each knows a random half. All but one in a million know eight of 48.
func TestFewHostsServeLookupsWhileRostersDiffer(t *testing.T) {
	for _, n := range []int{60, 985} {
		rng := rand.New(rand.NewPCG(uint64(n), 1))
		hosts := lookupFleet(n)
		group := origin.LookupGroup{Service: "llm", Count: 1}
		asking := map[string]bool{}
		for _, h := range hosts {
			known := []origin.Host{h}
			for _, other := range hosts {
				if other != h && rng.IntN(2) == 0 {
					known = append(known, other)
				}
			}
			asking[origin.LookupHosts(group, h.Name, known)[0].Name] = true
		}
		t.Logf("%d of %d hosts ask a replica", len(asking), n)
		NewWithT(t).Expect(len(asking)).To(BeNumerically("<=", 6*origin.MaxLookupHosts))
	}
}

// BenchmarkLookupHosts ranks 985 hosts for a group.
func BenchmarkLookupHosts(b *testing.B) {
	hosts := lookupFleet(985)
	for i := 0; b.Loop(); i++ {
		origin.LookupHosts(origin.LookupGroup{Service: "llm", Index: i % 64, Count: 64}, hosts[i%len(hosts)].Name, hosts)
	}
}
