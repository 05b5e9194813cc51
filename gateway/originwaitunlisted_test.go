package gateway_test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/internal/standin/site"
)

// Guards against streams that are joined from two versions, since the version that began them is silent
// at the first lookup and no longer listed at a later one of the same request.
func TestReplicasThatLeaveWhileAVersionIsAwaitedProveNothing(t *testing.T) {
	t.Parallel()
	f := newFixtureOf(t)
	fleet := f.withVersions(lossHosts, 1, 2)
	var streams []brokenStream
	for _, s := range f.breakOffPrompts(fleet, resumePath, lossStreams) {
		if s.version == "v1" {
			streams = append(streams, s)
		}
	}
	f.Expect(streams).NotTo(BeEmpty())
	f.register(f.replicas["e1"], "draining")
	fleet = f.replaceAll(fleet)
	f.sendOthers(fleet, streams)
	fleet = f.replaceAll(fleet)
	f.replicas["e1"].SetBehaviour(site.Behaviour{NoEngineCalls: true})
	f.behave("encode", site.Behaviour{ServiceTime: 800 * time.Millisecond})
	time.AfterFunc(300*time.Millisecond, func() { f.store.Delete("servers/e1") })
	a, id := f.resume(fleet[0], streams[0])
	f.Expect(a.err).NotTo(HaveOccurred())
	for _, run := range f.ledger.Runs(id) {
		f.Expect(run.Version).To(Equal("v1"), "joined; %v", fleet[0].metricLines("wheatseam_stream"))
	}
	f.Expect(a.status).To(Equal(http.StatusServiceUnavailable), a.body)
}
