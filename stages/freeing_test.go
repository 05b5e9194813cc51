package stages

import (
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/stage"
)

// sender notes the calls that give results up; each ends when it is let go.
type sender struct {
	mu    sync.Mutex
	calls []stage.Release
	end   chan struct{}
}

func (s *sender) send(a stage.Release) {
	s.mu.Lock()
	s.calls = append(s.calls, a)
	s.mu.Unlock()
	<-s.end
}

func (s *sender) handles() [][]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out [][]string
	for _, a := range s.calls {
		out = append(out, a.Handles)
	}
	return out
}

var _ = Describe("a replica at which results are being given up", func() {
	free := func(replica string, handles ...string) stage.Release {
		return stage.Release{Replica: replica, Address: replica + ":80", Handles: handles}
	}
	start := func() (*freeing, *sender) {
		s := &sender{end: make(chan struct{})}
		return newFreeing(s.send), s
	}

	It("is waited for until the last of them is, others are not", func() {
		f, s := start()
		Expect(f.flush("r")).To(BeClosed())
		f.add(free("r", "1"))
		first := f.flush("r")
		f.add(free("r", "2"))
		second := f.flush("r")
		Expect(f.flush("other")).To(BeClosed())
		Eventually(s.handles).Should(ConsistOf([]string{"1"}, []string{"2"}))
		s.end <- struct{}{}
		Consistently(second, "50ms").ShouldNot(BeClosed())
		Expect(first).NotTo(BeClosed())
		s.end <- struct{}{}
		Eventually(second).Should(BeClosed())
		Expect(first).To(BeClosed())
		Expect(f.flush("r")).To(BeClosed())
		Eventually(func() int {
			f.mu.Lock()
			defer f.mu.Unlock()
			return len(f.at)
		}).Should(BeZero())
	})

	It("is told of many in one call, at the latest after a short while", func() {
		f, s := start()
		close(s.end)
		f.add(free("r", "1"))
		f.add(free("r", "2", "3"))
		f.add(free("other", "4"))
		Eventually(s.handles, 2*freeDelay).Should(ConsistOf([]string{"1", "2", "3"}, []string{"4"}))
		f.add(free("r", "5"))
		Eventually(s.handles, 2*freeDelay).Should(ContainElement([]string{"5"}))
	})
})
