package gateway_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
)

// Guards against timeouts of the daemon that take a replica which is silent for a second, and
// goes on, for one that has failed: no second run beside the first, no ejection, no connection
// closed without an answer.
func TestReplicaSilentForASecondIsAwaited(t *testing.T) {
	t.Parallel()
	const silence = 1100 * time.Millisecond
	f := newFixtureOf(t)
	for _, id := range []string{"p3", "e3", "s3"} {
		service := map[byte]string{'p': "plain", 'e': "llm", 's': "encode"}[id[0]]
		f.add(id, service, f.replicas[id[:1]+"1"].Kind)
	}
	core, logs := observer.New(zapcore.InfoLevel)
	g := f.startLogged(zap.New(core)).ready()
	paths := []string{sealPath, safePath, streamPath, longPath}
	send := func(path string) (answer, string) {
		change := withLongDeadline
		if path == longPath {
			change = withLongDeadlineAndStage
		}
		return g.send(http.MethodPost, path, "x", change)
	}
	for range 10 {
		for _, path := range paths {
			a, _ := send(path)
			f.Expect(a.status).To(Equal(http.StatusOK), path)
		}
	}
	for _, id := range []string{"p1", "e1", "s1"} {
		f.replicas[id].Silence(silence)
	}
	sendMany := func(check func(path, id string, a answer)) {
		var wg sync.WaitGroup
		for _, path := range paths {
			for range 12 {
				wg.Go(func() {
					a, id := send(path)
					check(path, id, a)
				})
				time.Sleep(10 * time.Millisecond)
			}
		}
		wg.Wait()
	}
	sendMany(func(path, id string, a answer) {
		f.Expect(a.err).NotTo(HaveOccurred(), path)
		f.Expect(a.status).To(Equal(http.StatusOK), path)
		f.Expect(f.ledger.Runs(id)).To(HaveLen(1), path)
	})
	f.Expect(logs.FilterMessage("replica ejected").All()).To(BeEmpty())
	f.Expect(f.ledger.Violations()).To(BeEmpty())
	for _, id := range []string{"p1", "e1"} {
		before := len(f.replicas[id].Arrivals())
		f.Eventually(func() int {
			sendMany(func(string, string, answer) {})
			return len(f.replicas[id].Arrivals())
		}, "5s").Should(BeNumerically(">", before), "%s gets no more calls", id)
	}
}
