package stages

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/stage"
)

// fakeSender records the release calls. Each call blocks until it receives from proceed.
type fakeSender struct {
	mu      sync.Mutex
	calls   []stage.Release
	proceed chan struct{}
}

func (s *fakeSender) send(a stage.Release) {
	s.mu.Lock()
	s.calls = append(s.calls, a)
	s.mu.Unlock()
	<-s.proceed
}

func (s *fakeSender) handles() [][]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out [][]string
	for _, a := range s.calls {
		out = append(out, a.Handles)
	}
	return out
}

var _ = Describe("releasing results at a replica", func() {
	releaseOf := func(replica string, handles ...string) stage.Release {
		return stage.Release{Replica: replica, Address: replica + ":80", Handles: handles}
	}
	start := func() (*releaser, *fakeSender) {
		s := &fakeSender{proceed: make(chan struct{})}
		return newReleaser(s.send), s
	}

	It("signals completion after the last running call, for that replica only", func() {
		f, s := start()
		Expect(f.flush("r")).To(BeClosed())
		f.add(releaseOf("r", "1"))
		firstDone := f.flush("r")
		f.add(releaseOf("r", "2"))
		secondDone := f.flush("r")
		Expect(f.flush("other")).To(BeClosed())
		Eventually(s.handles).Should(ConsistOf([]string{"1"}, []string{"2"}))
		s.proceed <- struct{}{}
		Consistently(secondDone, "50ms").ShouldNot(BeClosed())
		Expect(firstDone).NotTo(BeClosed())
		s.proceed <- struct{}{}
		Eventually(secondDone).Should(BeClosed())
		Expect(firstDone).To(BeClosed())
		Expect(f.flush("r")).To(BeClosed())
		Eventually(func() int {
			f.mu.Lock()
			defer f.mu.Unlock()
			return len(f.byReplica)
		}).Should(BeZero())
	})
})

// Results are released in one call, releaseDelay after the first one at the latest.
func TestReleasesAreBatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &fakeSender{proceed: make(chan struct{})}
		f := newReleaser(s.send)
		close(s.proceed)
		sentAfter := func(d time.Duration) [][]string {
			time.Sleep(d)
			synctest.Wait()
			return s.handles()
		}
		f.add(stage.Release{Replica: "r", Handles: []string{"1"}})
		f.add(stage.Release{Replica: "other", Handles: []string{"4"}})
		g.Expect(sentAfter(releaseDelay - time.Millisecond)).To(BeEmpty())
		f.add(stage.Release{Replica: "r", Handles: []string{"2", "3"}})
		g.Expect(sentAfter(time.Millisecond)).To(ConsistOf([]string{"1", "2", "3"}, []string{"4"}))
		f.add(stage.Release{Replica: "r", Handles: []string{"5"}})
		g.Expect(sentAfter(releaseDelay)).To(ContainElement([]string{"5"}))
	})
}
