package stages

import (
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/stage"
)

// sender notes the calls that give results up; each ends when it is let go.
type fakeSender struct {
	mu      sync.Mutex
	calls   []stage.Free
	proceed chan struct{}
}

func (s *fakeSender) send(a stage.Free) {
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

var _ = Describe("a replica at which results are being given up", func() {
	releaseOf := func(replica string, handles ...string) stage.Free {
		return stage.Free{Replica: replica, Address: replica + ":80", Handles: handles}
	}
	start := func() (*releaser, *fakeSender) {
		s := &fakeSender{proceed: make(chan struct{})}
		return newReleaser(s.send), s
	}

	It("is waited for until the last of them is, others are not", func() {
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

	It("is told of many in one call, at the latest after a short while", func() {
		f, s := start()
		close(s.proceed)
		f.add(releaseOf("r", "1"))
		f.add(releaseOf("r", "2", "3"))
		f.add(releaseOf("other", "4"))
		Eventually(s.handles, 2*releaseDelay).Should(ConsistOf([]string{"1", "2", "3"}, []string{"4"}))
		f.add(releaseOf("r", "5"))
		Eventually(s.handles, 2*releaseDelay).Should(ContainElement([]string{"5"}))
	})
})
