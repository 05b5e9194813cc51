package gateway_test

import (
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/internal/standin/site"
)

// silentAfterLoss begins streams, loses all hosts, and has the only engine of v2 tell nothing about
// what it keeps. It returns the streams that a version began.
func (f *fixture) silentAfterLoss(version string) ([]*gatewayProcess, []brokenStream) {
	fleet := f.withVersions(lossHosts, 2, 1)
	streams := f.breakOffPrompts(fleet, resumePath, lossStreams)
	fleet = f.replaceAll(fleet)
	f.replicas["e2"].SetBehaviour(site.Behaviour{NoEngineCalls: true})
	var out []brokenStream
	for _, s := range streams {
		if s.version == version {
			out = append(out, s)
		}
	}
	f.Expect(out).NotTo(BeEmpty())
	return fleet, out
}

// resume takes a stream up at a host.
func (f *fixture) resume(g *gatewayProcess, s brokenStream) (answer, string) {
	return g.send(http.MethodPost, resumePath, "x", func(r *http.Request) {
		withStages(r)
		r.Header.Set("Resumes", s.id)
		r.Header.Set("Last-Event-Id", strconv.Itoa(site.CompleteEvents(s.body)))
		r.Header.Set("Prefix-Hash", s.prompt)
	})
}

// Guards against streams that are refused after half a second, since a replica of another version is
// silent, though it answers while their stages run.
func TestVersionsThatBecomeKnownWhileTheStagesRun(t *testing.T) {
	t.Parallel()
	f := newFixtureOf(t)
	fleet, streams := f.silentAfterLoss("v1")
	f.behave("encode", site.Behaviour{ServiceTime: 300 * time.Millisecond})
	time.AfterFunc(800*time.Millisecond, func() { f.replicas["e2"].SetBehaviour(site.Behaviour{}) })
	a, id := f.resume(fleet[0], streams[0])
	f.Expect(a.err).NotTo(HaveOccurred())
	f.Expect(a.status).To(Equal(http.StatusOK), a.body)
	for _, run := range f.ledger.Runs(id) {
		f.Expect(run.Version).To(Equal("v1"))
	}
	f.Expect(fleet[0].metricLines("wheatseam_stream_origin_waits_total")).To(ConsistOf(`wheatseam_stream_origin_waits_total{cause="several_versions",result="known"} 1`))
}

// Guards against stages that run on for streams whose version is found never to become known.
func TestStreamsWhoseVersionCannotBecomeKnownCancelTheirStages(t *testing.T) {
	t.Parallel()
	f := newFixtureOf(t)
	fleet, streams := f.silentAfterLoss("v2")
	f.behave("encode", site.Behaviour{ServiceTime: 10 * time.Second})
	time.AfterFunc(300*time.Millisecond, func() { f.store.Delete("servers/e2") })
	began := time.Now()
	a, id := f.resume(fleet[0], streams[0])
	f.Expect(a.err).NotTo(HaveOccurred())
	f.Expect(a.status).To(Equal(http.StatusServiceUnavailable), a.body)
	f.Expect(a.body).To(ContainSubstring("version_unknown"))
	f.Expect(a.header.Get("Retry-After")).To(BeEmpty(), "waiting does not help")
	f.Expect(time.Since(began)).To(BeNumerically("<", 3*time.Second))
	f.Expect(f.ledger.Runs(id)).To(BeEmpty())
}

// Guards against refusals that come when their callers have no time left to return, since the stages run
// that long.
func TestStreamsWhoseVersionStaysUnknownLeaveTheirCallersTime(t *testing.T) {
	t.Parallel()
	f := newFixtureOf(t)
	fleet, streams := f.silentAfterLoss("v1")
	f.behave("encode", site.Behaviour{ServiceTime: 10 * time.Second})
	a, id := f.resume(fleet[0], streams[0])
	f.Expect(a.err).NotTo(HaveOccurred())
	f.Expect(a.status).To(Equal(http.StatusServiceUnavailable), a.body)
	f.Expect(a.body).To(ContainSubstring("version_unknown"))
	f.Expect(strconv.ParseFloat(a.header.Get("Retry-After"), 64)).To(BeNumerically(">", 0.3))
	f.Expect(f.ledger.Runs(id)).To(BeEmpty())
}

// Guards against callers who multiply the lookups of a stream by repeating a request while its version
// is awaited, and against waits that leave no time for the answer.
func TestRepeatedRequestsShareTheWaitForAVersion(t *testing.T) {
	t.Parallel()
	f := newFixtureOf(t)
	fleet, streams := f.silentAfterLoss("v1")
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			began := time.Now()
			a, id := f.resume(fleet[0], streams[0])
			f.Expect(a.status).To(Equal(http.StatusServiceUnavailable), a.body)
			f.Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
			f.Expect(f.ledger.Runs(id)).To(BeEmpty())
			f.Expect(time.Since(began)).To(BeNumerically("<", 4*time.Second))
		})
	}
	group.Wait()
	f.Expect(fleet[0].metricLines("wheatseam_stream_origin_waits_total")).To(ConsistOf(
		`wheatseam_stream_origin_waits_total{cause="several_versions",result="version_unknown"} 1`,
		`wheatseam_stream_origin_waits_total{cause="several_versions",result="too_many"} 7`))
}
