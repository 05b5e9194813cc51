package gateway_test

import (
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/gateway"
	"github.com/wheatseam/wheatseam/internal/standin/site"
)

// Guards against bodies that together take more memory than the host has, refusals of them that are
// not true or not read, and small requests of other customers that are refused beside them.
func TestLargeBodiesAreBoundedBesideSmallOnes(t *testing.T) {
	f := newFixtureOf(t)
	f.otherKey, f.maxBodyBytes = "key-2", 1<<20
	f.configure()
	f.behave("plain", site.Behaviour{ServiceTime: 500 * time.Millisecond})
	g := f.startWith(zap.NewNop(), func(s *gateway.Settings) { s.Limits.MemoryMB = 16 }).ready()
	large := strings.Repeat("x", f.maxBodyBytes)
	var served, refused atomic.Int64
	var senders sync.WaitGroup
	for range 20 {
		senders.Go(func() {
			for range 4 {
				a, id := g.send(http.MethodPost, sealPath, large, nil)
				switch a.status {
				case http.StatusOK:
					served.Add(1)
				case http.StatusServiceUnavailable:
					refused.Add(1)
					f.Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
					f.Expect(f.ledger.Runs(id)).To(BeEmpty())
					time.Sleep(100 * time.Millisecond)
				default:
					t.Errorf("status %d, %v", a.status, a.err)
				}
			}
		})
	}
	done := make(chan struct{})
	go func() { senders.Wait(); close(done) }()
	for n := 0; ; n++ {
		a, _ := g.send(http.MethodPost, safePath, "small", func(r *http.Request) { r.Header.Set("X-Api-Key", "key-2") })
		f.Expect(a.status).To(Equal(http.StatusOK), "small request %d of another customer: %s", n, a.body)
		state := g.gateway.State().Memory
		f.Expect(state.Total).To(BeNumerically("<=", state.Limit))
		select {
		case <-done:
			f.Expect(served.Load()).To(BeNumerically(">", 0))
			f.Expect(refused.Load()).To(BeNumerically(">", 0))
			f.Expect(g.metricLines(`wheatseam_memory_refused_total{kind="body"}`)).To(HaveLen(1))
			f.Eventually(func() int64 { return g.gateway.State().Memory.Total }).Should(BeZero())
			return
		default:
		}
	}
}
