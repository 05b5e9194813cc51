package gateway_test

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/internal/standin/site"
)

// breakOffPrompts is breakOff with requests that name their prompts.
func (f *fixture) breakOffPrompts(fleet []*gatewayProcess, path string, streams int) []brokenStream {
	f.breakStreams(true)
	defer f.breakStreams(false)
	var out []brokenStream
	for i := range streams {
		prompt := fmt.Sprintf("group%d:100,own%d:50", i, i)
		s := f.beginBroken(fleet[i%len(fleet)], path, withSessionPrompt(prompt))
		s.prompt = prompt
		out = append(out, s)
	}
	return out
}

// lossWithPrompts begins streams at engines of both versions, has the first version leave if
// leaves is set, loses all hosts, and returns how many streams of each version there were and
// went on.
func lossWithPrompts(t *testing.T, leaves bool) (began, wentOn map[string]int) {
	f := newFixtureOf(t)
	fleet := f.withVersions(lossHosts, 2, 2)
	streams := f.breakOffPrompts(fleet, resumePath, lossStreams)
	if leaves {
		f.removeVersion("v1")
		f.awaitReplicas(fleet, len(f.replicas))
	}
	fleet = f.replaceAll(fleet)
	return map[string]int{"v1": countOf(streams, "v1"), "v2": countOf(streams, "v2")}, f.takeUpEach(fleet, streams)
}

// Guards against streams that are refused after a loss of all hosts though the engines of their
// version serve and still have what they read.
func TestStreamsGoOnAfterALossOfAllHostsWhereTheirPromptIsKept(t *testing.T) {
	t.Parallel()
	began, wentOn := lossWithPrompts(t, false)
	t.Logf("%v of %v streams went on", wentOn, began)
	NewWithT(t).Expect(wentOn["v1"] + wentOn["v2"]).To(BeNumerically(">=", lossStreams*minGoingOn))
}

// Guards against streams that are joined, or refused, after a loss of all hosts before which the
// other version left with what it had read.
func TestStreamsOfTheVersionThatStayedGoOnAfterALossOfAllHosts(t *testing.T) {
	t.Parallel()
	began, wentOn := lossWithPrompts(t, true)
	t.Logf("%v of %v streams went on", wentOn, began)
	g := NewWithT(t)
	g.Expect(wentOn["v1"]).To(BeZero())
	g.Expect(wentOn["v2"]).To(BeNumerically(">=", float64(began["v2"])*minGoingOn))
}

// splitPath is led to two services.
const splitPath = "/split/"

// Guards against streams whose second part another service writes, since a route is split between
// services and each attempt of a caller picks one at random.
func TestStreamsOfSplitRoutesStayAtTheirService(t *testing.T) {
	t.Parallel()
	f := newFixtureOf(t)
	for i := range 2 {
		f.add(fmt.Sprint("other", i), "llm2", site.Engine)
	}
	f.splitRoute()
	fleet, _ := f.startFleet(2)
	f.awaitReplicas(fleet, len(f.replicas))
	f.breakStreams(true)
	f.behave("llm2", site.Behaviour{AbortAfterEvents: 2})
	resumed := 0
	var joined []string
	for i := range lossStreams {
		a, id := fleet[i%2].send(http.MethodPost, splitPath, "x", withStages)
		f.Expect(a.err).To(HaveOccurred())
		began := f.replicas[f.ledger.Runs(id)[0].Replica].Service
		f.breakStreams(false)
		f.behave("llm2", site.Behaviour{})
		second, again := fleet[(i+1)%2].send(http.MethodPost, splitPath, "x", func(r *http.Request) {
			withStages(r)
			r.Header.Set("Resumes", id)
			r.Header.Set("Last-Event-Id", strconv.Itoa(site.CompleteEvents(a.body)))
		})
		for _, run := range f.ledger.Runs(again) {
			if service := f.replicas[run.Replica].Service; service != began {
				joined = append(joined, fmt.Sprintf("%s of %s ran at %s", id, began, service))
			}
		}
		if second.err == nil && second.status == http.StatusOK {
			resumed++
		}
		f.breakStreams(true)
		f.behave("llm2", site.Behaviour{AbortAfterEvents: 2})
	}
	f.Expect(joined).To(BeEmpty())
	f.Expect(resumed).To(BeNumerically(">=", lossStreams*minGoingOn))
}

// splitRoute stores a configuration with a route that is split between two services of engines.
func (f *fixture) splitRoute() {
	f.version++
	c := site.GatewayConfig(f.version, f.keys)
	services := c["services"].([]any)
	for _, s := range services {
		if llm := s.(map[string]any); llm["name"] == "llm" {
			other := map[string]any{}
			for k, v := range llm {
				other[k] = v
			}
			other["name"] = "llm2"
			c["services"] = append(services, other)
		}
	}
	c["routes"] = append(c["routes"].([]any), map[string]any{
		"name": "split", "hostname": host, "prefix": splitPath, "route_type": "streaming", "attempts": 2, "resumable": true,
		"split":      []map[string]any{{"service": "llm", "weight": 1}, {"service": "llm2", "weight": 1}},
		"timeout_ms": 4000, "goal_ms": 1000, "priority": 1,
		"stages": []map[string]any{{"service": "encode", "after": []int{}, "bytes": site.ResultBytes}},
	})
	f.store.Put("op/config", c)
}

// Guards against streams that are joined from two versions, since the replicas were asked by a view
// that does not list the one which began the stream, while a view that does came during the lookup.
func TestStreamsDoNotGoOnByAViewFromBeforeTheReplicasWereAsked(t *testing.T) {
	t.Parallel()
	f := newFixtureOf(t)
	f.store.Delete("servers/e2")
	delete(f.replicas, "e2")
	f.replicas["e1"].Version = "v1"
	f.register(f.replicas["e1"], "ready")
	fleet := []*gatewayProcess{f.start().ready()}
	f.awaitReplicas(fleet, len(f.replicas))
	f.replicas["e1"].SetBehaviour(site.Behaviour{ListDelay: 200 * time.Millisecond})
	for i := range 20 {
		id, prompt := fmt.Sprint("new", i), fmt.Sprintf("group%d:100,own%d:50", i, i)
		began, err := site.StartReplica(f.ledger, id, "llm", site.Engine, "127.0.0.1:0")
		f.Expect(err).NotTo(HaveOccurred())
		began.Version = "v2"
		f.replicas[id] = began
		f.readPrompt("e1", prompt) // for an attempt that brought no event
		f.readPrompt(id, prompt)
		time.Sleep(time.Duration(i*37%400) * time.Millisecond) // so that views come at different times
		f.register(began, "ready")
		_, again := fleet[0].send(http.MethodPost, resumePath, "x", func(r *http.Request) {
			withStages(r)
			r.Header.Set("Resumes", "lost"+id)
			r.Header.Set("Last-Event-Id", "2")
			r.Header.Set("Prefix-Hash", prompt)
		})
		for _, run := range f.ledger.Runs(again) {
			f.Expect(run.Version).To(Equal("v2"))
		}
		f.store.Delete("servers/" + id)
		delete(f.replicas, id)
		f.awaitReplicas(fleet, len(f.replicas))
		began.Close()
	}
}
