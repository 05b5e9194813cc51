package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/core/request"
	"github.com/wheatseam/wheatseam/record"
)

func TestRoute(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Route")
}

var start = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

const pool = "llm"

// testBundle returns a bundle with one engine pool of n upstreams u0, u1, ... spread
// over the failure domains d0 to d3 of region r0.
func testBundle(n, concurrency int, policy bundle.Policy) *bundle.Bundle {
	b := &bundle.Bundle{Policy: policy}
	for i := range 4 {
		b.FailureDomains = append(b.FailureDomains, bundle.FailureDomain{Name: fmt.Sprintf("d%d", i), Region: "r0"})
	}
	p := bundle.Pool{Name: pool, Kind: bundle.PoolEngine, Concurrency: concurrency}
	for i := range n {
		p.Upstreams = append(p.Upstreams, bundle.Upstream{
			Name: fmt.Sprintf("u%d", i), FailureDomain: fmt.Sprintf("d%d", i%4), Address: fmt.Sprintf("127.0.0.1:%d", 1000+i),
		})
	}
	b.Pools = append(b.Pools, p)
	b.Pipelines = []bundle.Pipeline{{Name: "summary", Stages: []bundle.Stage{
		{Name: "generate", Kind: bundle.StageGenerate, Pool: pool, Expected: 100 * time.Millisecond},
	}}}
	return b
}

func testRouter(b *bundle.Bundle, seed uint64) *Router {
	r := New(Config{FailureDomain: "d0", Seed: seed})
	r.Apply(b)
	return r
}

func testQuery() request.Query {
	return request.Query{Request: "r", Pool: pool, Stage: "generate", Kind: bundle.StageGenerate, Attempt: 1}
}

// mustPick picks an upstream and fails the spec on an error.
func mustPick(r *Router, now time.Time, q request.Query) request.Choice {
	GinkgoHelper()
	c, err := r.Pick(now, q, nil)
	Expect(err).To(BeNil())
	return c
}

func finishCall(r *Router, now time.Time, c request.Choice, result request.CallResult, latency time.Duration) {
	r.Done(now, request.Outcome{Choice: c, Stage: "generate", Result: result, Latency: latency})
}

// entryRecorder is a record.Recorder that keeps all entries.
type entryRecorder []record.Entry

func (e *entryRecorder) Add(x record.Entry) { *e = append(*e, x) }

func testView(candidates ...Candidate) *View {
	for i := range candidates {
		if candidates[i].RampShare == 0 {
			candidates[i].RampShare = 1
		}
	}
	q := testQuery()
	return &View{Now: start, Query: &q, Domain: "d0", Region: "r0", Concurrency: 4, SaturationLimit: 8, PrefixHome: -1, Candidates: candidates}
}

func testRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }
