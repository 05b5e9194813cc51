package fleet

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/internal/standin/engine"
	"github.com/wheatseam/wheatseam/internal/standin/service"
)

func upstream(name string) bundle.Upstream {
	return bundle.Upstream{Name: name, FailureDomain: "a", Address: "127.0.0.1:0"}
}

var testBundle = &bundle.Bundle{
	Pools: []bundle.Pool{
		{Name: "llm", Kind: bundle.PoolEngine, Model: "m", Concurrency: 4, Upstreams: []bundle.Upstream{upstream("e1")}},
		{
			Name: "seal", Kind: bundle.PoolService, Concurrency: 4,
			Supports:  bundle.UpstreamFeatures{IdempotencyKeys: true},
			Upstreams: []bundle.Upstream{upstream("s1"), upstream("s2")},
		},
	},
	Pipelines: []bundle.Pipeline{{Stages: []bundle.Stage{
		{Name: "seal", Pool: "seal", Expected: 30 * time.Millisecond},
		{Name: "again", Pool: "seal", Expected: 50 * time.Millisecond},
	}}},
}

var _ = Describe("Fleet", func() {
	var f *Fleet
	var control string
	var address map[string]string

	BeforeEach(func() {
		f = New(Config{
			Bundle:  testBundle,
			Engine:  engine.Config{TimeScale: 0.02},
			Service: service.Config{TimeScale: 0.02},
		})
		ctx, cancel := context.WithCancel(context.Background())
		out := gbytes.NewBuffer()
		ended := make(chan error, 1)
		go func() { ended <- f.Serve(ctx, "127.0.0.1:0", out) }()
		Eventually(func() int { return strings.Count(string(out.Contents()), "\n") }).Should(Equal(4))
		lines := strings.Fields(strings.ReplaceAll(string(out.Contents()), "listening address=", ""))
		control = lines[3]
		address = map[string]string{}
		for _, u := range f.Upstreams() {
			address[u.Name] = u.Address
		}
		DeferCleanup(func() {
			cancel()
			f.Close()
			Eventually(ended, 10*time.Second).Should(Receive(BeNil()))
		})
	})

	post := func(url, key, body string) (int, error) {
		req, err := http.NewRequest(http.MethodPost, "http://"+url, bytes.NewBufferString(body))
		Expect(err).NotTo(HaveOccurred())
		req.Header.Set("Idempotency-Key", key)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return 0, err
		}
		return resp.StatusCode, resp.Body.Close()
	}

	It("has one ledger, and one key store for each pool", func() {
		for _, name := range []string{"s1", "s2"} {
			Expect(post(address[name]+"/v1/seal", "k", `{"request_id":"r1"}`)).To(Equal(http.StatusOK))
		}
		Expect(post(address["e1"]+"/v1/chat/completions", "", `{"model":"m","max_tokens":1}`)).To(Equal(http.StatusOK))
		entries := f.Ledger().Entries()
		Expect(entries).To(HaveLen(2))
		Expect(entries[0].Upstream).To(Equal("s1"))
		Expect(entries[1].Upstream).To(Equal("e1"))
		Expect(f.Ledger().Summary().Deduplicated).To(Equal(1))
	})

	It("serves only the features that a pool supports", func() {
		resp, err := http.Get("http://" + address["s1"] + "/v1/status/k")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Body.Close()).To(Succeed())
		Expect(resp.StatusCode).To(Equal(http.StatusNotFound))
	})

	It("injects faults into one upstream by name", func() {
		Expect(post(control+"/control/faults?upstream=s1", "", `{"refuse":true}`)).To(Equal(http.StatusOK))
		Expect(post(control+"/control/faults?upstream=nobody", "", `{}`)).To(Equal(http.StatusNotFound))
		Expect(post(address["s1"]+"/v1/seal", "", `{}`)).To(Equal(http.StatusServiceUnavailable))
		Expect(post(address["s2"]+"/v1/seal", "", `{}`)).To(Equal(http.StatusOK))
	})

	It("derives service times from the stages that use the pool", func() {
		Expect(medianServiceTime(Config{Bundle: testBundle}, "seal")).To(Equal(40 * time.Millisecond))
		Expect(medianServiceTime(Config{Bundle: testBundle, Medians: map[string]time.Duration{"seal": time.Second}}, "seal")).To(Equal(time.Second))
		Expect(medianServiceTime(Config{Bundle: testBundle}, "llm")).To(BeZero())
	})
})
