package gateway_test

import (
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/origin"
	"github.com/wheatseam/wheatseam/gateway"
	"github.com/wheatseam/wheatseam/peer"
)

// Guards against calls at a replica that grow with the hosts which have resumes.
func TestFewHostsAskReplicasOnBehalfOfAll(t *testing.T) {
	t.Parallel()
	const (
		hosts    = origin.MaxLookupHosts + 4
		lookups  = 10
		interval = 100 * time.Millisecond // the least time between two calls of a host to a replica
	)
	f := newFixtureOf(t)
	fleet := f.withVersions(hosts, 1, 1)
	for _, g := range fleet {
		f.Eventually(g.metricLines, "10s").WithArguments("wheatseam_hosts ").Should(ConsistOf(HaveSuffix(fmt.Sprint(" ", hosts))))
	}
	f.readPrompt("e2", "p:20")
	began := time.Now()
	var wait sync.WaitGroup
	found := make(chan origin.Memory, hosts*lookups)
	for _, g := range fleet {
		wait.Go(func() {
			for i := range lookups {
				part := "p"
				if i%2 == 1 {
					part = "absent"
				}
				found <- g.lookUp(part)
			}
		})
	}
	wait.Wait()
	close(found)
	results := map[string]int{}
	for m := range found {
		results[fmt.Sprint(m.Holding, m.Silent)]++
	}
	asking := 0
	for _, g := range fleet {
		if len(g.metricLines("wheatseam_prompt_memory_calls_total")) > 0 {
			asking++
		}
	}
	maxCalls := origin.MaxLookupHosts * (1 + int((time.Since(began)+interval-1)/interval))
	calls := len(f.replicas["e2"].CachedPartsCalls())
	t.Logf("%d of %d hosts asked; %d calls at a replica in %v, %v", asking, hosts, calls, time.Since(began), results)
	f.Expect(asking).To(BeNumerically("<=", origin.MaxLookupHosts))
	f.Expect(calls).To(BeNumerically("<=", maxCalls))
	f.Expect(results["[v2] []"]).To(BeNumerically(">", 0))
	f.Expect(results["[] []"]).To(BeNumerically(">", 0))
	for r := range results {
		f.Expect(r).To(Or(HavePrefix("[v2]"), HavePrefix("[] ")), "absent parts are not held, and others by v2 only")
	}
}

// Guards against streams of services with many replicas that are refused after a loss of all hosts.
func TestStreamsOfLargeServicesGoOnAfterALossOfAllHosts(t *testing.T) {
	t.Parallel()
	const replicasOfVersion = 35
	f := newFixtureOf(t)
	fleet := f.withVersions(lossHosts, replicasOfVersion, replicasOfVersion)
	streams := f.breakOffPrompts(fleet, resumePath, lossStreams)
	wentOn := f.takeUpEach(f.replaceAll(fleet), streams)
	t.Logf("%v of %d streams went on", wentOn, len(streams))
	f.Expect(wentOn["v1"] + wentOn["v2"]).To(BeNumerically(">=", lossStreams*minGoingOn))
}

// startEarlierBuild starts a peer that has no lookups.
func (f *fixture) startEarlierBuild() string {
	name := address(7403)
	transport, err := peer.NewTransport(peer.Config{Host: name, Incarnation: 1, Listen: name, Plaintext: true, Mux: peer.NewMux(), Resolve: func(host string) (string, bool) { return host, true }})
	f.Expect(err).NotTo(HaveOccurred())
	f.test.Cleanup(func() { _ = transport.Close() })
	return name
}

// Guards against lookups that fail with one host, wait for it until they end, or, during an update,
// have nobody who asks the replicas; and against calls from each host once hosts don't answer.
func TestLookupsFallBackToAnotherHost(t *testing.T) {
	t.Parallel()
	f := newFixtureOf(t)
	fleet := f.withVersions(3, 1, 1)
	f.readPrompt("e2", "p:20")
	listener, err := net.Listen("tcp", address(7403)) // accepts and says nothing
	f.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = listener.Close() })
	good, silent, ended, earlier := fleet[1].peers, listener.Addr().String(), address(7403), f.startEarlierBuild()
	calls := func(g *gatewayProcess) int { return len(g.metricLines("wheatseam_prompt_memory_calls_total")) }
	for _, c := range []struct{ name, first, second, want string }{
		{"first", good, ended, "v2"},
		{"second, as the first has ended", ended, good, "v2"},
		{"second, as the first is silent", silent, good, "v2"},
		{"second, as the first is of an earlier build", earlier, good, "v2"},
		{"neither", silent, ended, "no answer"},
	} {
		f.Eventually(fleet[0].gateway.HolderThrough, "5s").WithArguments("llm", "p", c.first, c.second).Should(Equal(c.want), c.name)
		began := time.Now()
		fleet[0].gateway.HolderThrough("llm", "p", c.first, c.second)
		f.Expect(time.Since(began)).To(BeNumerically("<", 2*gateway.MemoryLookupTimeout), c.name)
	}
	f.Expect(calls(fleet[0])).To(BeZero(), "calls of the host itself")
	f.Expect(fleet[0].gateway.HolderThrough("llm", "p", earlier, ended)).To(Equal("v2"))
	f.Expect(calls(fleet[0])).To(Equal(1))
	f.Expect(fleet[1].metricLines("wheatseam_prompt_memory_lookups_for_peers_total")).NotTo(BeEmpty())
}

// Guards against a part that another host reports as not kept by a list from before the lookup.
func TestPeersAnswerFromListsOfTheirTime(t *testing.T) {
	t.Parallel()
	f := newFixtureOf(t)
	fleet := f.withVersions(2, 1, 1)
	known := 0
	for i := range 20 {
		part := fmt.Sprint("new", i)
		f.Expect(fleet[0].gateway.HolderThrough("llm", "absent", fleet[1].peers)).To(Or(BeEmpty(), Equal("unknown")))
		f.readPrompt("e2", part+":20")
		found := fleet[0].gateway.HolderThrough("llm", part, fleet[1].peers)
		f.Expect(found).To(Or(Equal("v2"), Equal("unknown"), Equal("no answer")))
		if found == "v2" {
			known++
		}
	}
	f.Expect(known).To(BeNumerically(">", 0))
}
