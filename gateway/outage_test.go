package gateway_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/internal/standin/site"
)

// Guards against a request that is refused since it ran each time when all replicas were lost at
// once: the crashes of idle replicas beside it show that it did not cause them.
func TestRequestThatRanInOutagesIsServed(t *testing.T) {
	const outages = 5
	t.Parallel()
	f := newFixtureOf(t)
	for i := range 4 {
		f.add(fmt.Sprint("x", i), "plain", site.Plain)
	}
	var plain []*site.Replica
	for _, r := range f.replicas {
		if r.Service == "plain" {
			r.StartUnixMS = time.Now().UnixMilli()
			r.OnRestart = func(r *site.Replica) { f.register(r, "ready") }
			f.register(r, "ready")
			r.SetBehaviour(site.Behaviour{ServiceTime: 100 * time.Millisecond})
			plain = append(plain, r)
		}
	}
	fleet, _ := f.startFleet(2)
	send := func(content string) int {
		a, _ := fleet[0].send(http.MethodPost, sealPath, content, nil)
		return a.status
	}
	for range outages {
		for _, content := range []string{"a", "b", "c"} {
			f.Expect(send(content)).To(Equal(http.StatusOK))
		}
		var running sync.WaitGroup
		running.Go(func() { send("d") })
		time.Sleep(50 * time.Millisecond)
		for _, r := range plain {
			r.Crash(500 * time.Millisecond)
		}
		running.Wait()
		f.Eventually(func() int { return send("e") }, "5s", "100ms").Should(Equal(http.StatusOK))
	}
	f.Eventually(func() int { return send("d") }, "2s", "200ms").Should(Equal(http.StatusOK))
}
