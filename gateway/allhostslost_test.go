package gateway_test

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/internal/standin/site"
)

const (
	lossHosts   = 3
	lossStreams = 24
)

// brokenStream is a stream that broke off after some events.
type brokenStream struct{ id, body, version, prompt string }

// breakOff begins streams at one host after the other, and lets them break off.
func (f *fixture) breakOff(fleet []*gatewayProcess, streams int) []brokenStream {
	f.breakStreams(true)
	defer f.breakStreams(false)
	var out []brokenStream
	for i := range streams {
		out = append(out, f.beginBroken(fleet[i%len(fleet)], resumePath, withStages))
	}
	return out
}

// beginBroken begins a stream that breaks off. A request that is refused did not run, and is sent
// again.
func (f *fixture) beginBroken(g *gatewayProcess, path string, change func(*http.Request)) (s brokenStream) {
	f.test.Helper()
	f.Eventually(func() int {
		a, id := g.send(http.MethodPost, path, "x", change)
		if a.err == nil && a.status == http.StatusServiceUnavailable {
			f.Expect(f.ledger.Runs(id)).To(BeEmpty())
			return a.status
		}
		f.Expect(a.err).To(HaveOccurred(), "status %d: %s", a.status, a.body)
		versions := site.EventVersions(a.body)
		f.Expect(versions).To(HaveLen(1), a.body)
		s = brokenStream{id: id, body: a.body, version: versions[0]}
		return a.status
	}, "10s", "100ms").Should(Equal(http.StatusOK))
	return s
}

// takeUpEach takes up streams at one host after the other, and returns how many of those that a
// version began went on. No resume may run at another version, and one that is refused as not run
// must not have run.
func (f *fixture) takeUpEach(fleet []*gatewayProcess, streams []brokenStream) map[string]int {
	wentOn, joined := map[string]int{}, []string{}
	for i, s := range streams {
		a, id := fleet[i%len(fleet)].send(http.MethodPost, resumePath, "x", func(r *http.Request) {
			withStages(r)
			r.Header.Set("Resumes", s.id)
			r.Header.Set("Last-Event-Id", strconv.Itoa(site.CompleteEvents(s.body)))
			if s.prompt != "" {
				r.Header.Set("Prefix-Hash", s.prompt)
			}
		})
		f.Expect(a.err).NotTo(HaveOccurred())
		runs := f.ledger.Runs(id)
		for _, run := range runs {
			if run.Version != s.version {
				joined = append(joined, fmt.Sprintf("%s of %s ran at %s", s.id, s.version, run.Version))
			}
		}
		if a.status == http.StatusOK {
			wentOn[s.version]++
			continue
		}
		f.Expect(a.status).To(Equal(http.StatusServiceUnavailable), a.body)
		f.Expect(runs).To(BeEmpty(), a.body)
	}
	f.Expect(joined).To(BeEmpty(), "%d of %d streams, %d went on", len(joined), len(streams), wentOn["v1"]+wentOn["v2"])
	return wentOn
}

// awaitReplicas waits until the views of all hosts list a number of replicas.
func (f *fixture) awaitReplicas(fleet []*gatewayProcess, replicas int) {
	for _, g := range fleet {
		f.Eventually(g.metricLines, "5s").WithArguments("wheatseam_replicas ").Should(ConsistOf(HaveSuffix(fmt.Sprint(" ", replicas))))
	}
}

// removeVersion removes the engines of a version from the store.
func (f *fixture) removeVersion(version string) {
	for id, r := range f.replicas {
		if r.Version == version {
			f.store.Delete("servers/" + id)
			delete(f.replicas, id)
		}
	}
}

// replaceAll stops all hosts at once and starts as many others.
func (f *fixture) replaceAll(fleet []*gatewayProcess) []*gatewayProcess {
	for _, g := range fleet {
		g.stop()
	}
	for _, g := range fleet {
		f.Eventually(g.done, "15s").Should(Receive())
	}
	next, _ := f.startFleet(len(fleet))
	f.awaitReplicas(next, len(f.replicas))
	return next
}

// countOf returns the number of streams that a version began.
func countOf(streams []brokenStream, version string) int {
	n := 0
	for _, s := range streams {
		if s.version == version {
			n++
		}
	}
	return n
}

// Guards against streams that are taken up at the only version that is listed, although another
// one began them and left before all hosts were lost: nobody remembers it.
func TestStreamsOfAVersionThatLeftBeforeAllHostsWereLost(t *testing.T) {
	t.Parallel()
	f := newFixtureOf(t)
	fleet := f.withVersions(lossHosts, 2, 2)
	streams := f.breakOff(fleet, lossStreams)
	f.Expect(countOf(streams, "v1")).To(BeNumerically(">", 0))
	f.removeVersion("v1")
	f.awaitReplicas(fleet, len(f.replicas))
	wentOn := f.takeUpEach(f.replaceAll(fleet), streams)
	t.Logf("%d of %d streams of the version that stayed went on", wentOn["v2"], countOf(streams, "v2"))
}

// Guards against streams that are taken up at another version after all hosts were lost, while
// both versions are listed.
func TestStreamsOfTwoListedVersionsAfterAllHostsWereLost(t *testing.T) {
	t.Parallel()
	f := newFixtureOf(t)
	fleet := f.withVersions(lossHosts, 2, 2)
	streams := f.breakOff(fleet, lossStreams)
	wentOn := f.takeUpEach(f.replaceAll(fleet), streams)
	t.Logf("%d of %d streams went on", wentOn["v1"]+wentOn["v2"], len(streams))
}
