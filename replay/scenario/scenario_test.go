package scenario_test

import (
	"bytes"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/replay/scenario"
	"github.com/wheatseam/wheatseam/replay/trace"
)

func TestScenario(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "scenario")
}

func pool(name string, concurrency int, replicas int) bundle.Pool {
	return bundle.Pool{Name: name, Concurrency: concurrency, Upstreams: make([]bundle.Upstream, replicas)}
}

// testBundle returns a bundle with a capacity of 20 requests per second: half of them
// are summaries, which occupy one of the 8 slots of the engines for 800 ms.
func testBundle() *bundle.Bundle {
	return &bundle.Bundle{
		Version: 3, Deployment: "test",
		Pools: []bundle.Pool{pool("lm", 4, 2), pool("seals", 8, 2), pool("unused", 1, 1)},
		Pipelines: []bundle.Pipeline{
			{Name: "summary", Deadline: 2 * time.Second, Stages: []bundle.Stage{
				{Name: "write", Kind: bundle.StageGenerate, Pool: "lm", Expected: 800 * time.Millisecond}}},
			{Name: "seal", Deadline: time.Second, Stages: []bundle.Stage{
				{Name: "apply", Kind: bundle.StageCall, Pool: "seals", NonRepeatable: true, Expected: 40 * time.Millisecond}}},
		},
		Customers: []bundle.Customer{
			{Name: "big", Weight: 9, Pipelines: []string{"summary", "seal"}},
			{Name: "small", Weight: 1, Pipelines: []string{"summary", "seal"}},
		},
	}
}

func options() scenario.Options {
	return scenario.Options{Bundle: testBundle(), Seed: 11, Load: 1, Duration: 40 * time.Second, DeadlineFactor: 2}
}

func create(name string, o scenario.Options) *trace.Trace {
	GinkgoHelper()
	t, err := scenario.Generate(name, o)
	Expect(err).NotTo(HaveOccurred())
	return t
}

func encode(t *trace.Trace) string {
	GinkgoHelper()
	var out bytes.Buffer
	Expect(trace.Write(&out, t)).To(Succeed())
	return out.String()
}

// share returns the share of the first tries that satisfy f.
func share(t *trace.Trace, f func(trace.Request) bool) float64 {
	met, of := 0, 0
	for _, r := range t.Requests {
		if r.RetryOf != "" {
			continue
		}
		of++
		if f(r) {
			met++
		}
	}
	return float64(met) / float64(of)
}

var _ = Describe("scenarios", func() {
	for _, name := range scenario.Names() {
		It("generates "+name+" deterministically by seed, as a trace that can be parsed", func() {
			text := encode(create(name, options()))
			Expect(encode(create(name, options()))).To(Equal(text))
			other := options()
			other.Seed++
			Expect(encode(create(name, other))).NotTo(Equal(text))
			back, err := trace.Parse(bytes.NewBufferString(text))
			Expect(err).NotTo(HaveOccurred())
			Expect(encode(back)).To(Equal(text))
			Expect(back.Header.Program).To(ContainSubstring("--seed 11"))
		})
	}

	It("calculates the capacity of a bundle", func() {
		b := testBundle()
		mix := map[string]float64{"summary": 1, "seal": 1}
		// 8 slots, of which each request occupies one for 0.4 s on average.
		Expect(scenario.Capacity(b, mix)).To(BeNumerically("~", 20, 1e-9))
		Expect(scenario.BusiestPool(b, mix).Name).To(Equal("lm"))
	})

	It("generates arrivals at the rate given by Load", func() {
		for _, load := range []float64{0.5, 2} {
			o := options()
			o.Load = load
			n := len(create("steady", o).Requests)
			Expect(n).To(BeNumerically("~", 20*load*40, 0.15*20*load*40))
		}
	})

	It("sets keys for pipelines with a non-repeatable stage and prefixes for those with a generate stage", func() {
		for _, r := range create("steady", options()).Requests {
			Expect(r.Key == trace.AutoKey).To(Equal(r.Pipeline == "seal"))
			Expect(r.Prefix != "").To(Equal(r.Pipeline == "summary"))
		}
	})

	It("calculates deadlines from DeadlineFactor within the limits", func() {
		deadlines := map[string]int64{}
		for _, r := range create("steady", options()).Requests {
			deadlines[r.Pipeline] = r.DeadlineMS
		}
		Expect(deadlines).To(Equal(map[string]int64{"summary": 1600, "seal": 1000}))
	})

	It("raises the share of the greedy customer", func() {
		small := func(r trace.Request) bool { return r.Customer == "small" }
		Expect(share(create("steady", options()), small)).To(BeNumerically("~", 0.1, 0.04))
		middle := create("greedy-customer", options())
		fromSmallInWindow := func(r trace.Request) bool { return small(r) && r.At() > 10*time.Second && r.At() < 30*time.Second }
		Expect(share(middle, fromSmallInWindow)).To(BeNumerically(">", 0.3))
	})

	It("raises the rate and the share of seals during the rush", func() {
		day := create("firma-day", options())
		inRush := func(r trace.Request) bool { return r.At() >= 32*time.Second && r.At() < 36*time.Second }
		Expect(share(day, inRush)).To(BeNumerically(">", 0.17), "a tenth of the duration")
		Expect(share(day, func(r trace.Request) bool { return inRush(r) && r.Pipeline == "seal" })).To(BeNumerically(">", 0.6*share(day, inRush)))
	})

	It("slows one replica in each used pool in turn and clears every fault", func() {
		t := create("stragglers", options())
		var pools []string
		for _, f := range t.Faults {
			if string(f.Body) != "{}" {
				pools = append(pools, f.Pool)
			}
		}
		Expect(pools).To(Equal([]string{"lm", "seals"}))
		for _, name := range scenario.Names() {
			last := map[string]string{}
			for _, f := range create(name, options()).Faults {
				last[f.Pool] = string(f.Body)
			}
			for _, body := range last {
				Expect(body).To(Equal("{}"))
			}
		}
	})

	It("adds retries and idempotency keys in the retry storm", func() {
		t := create("retry-storm", options())
		retries := 0
		for _, r := range t.Requests {
			Expect(r.Key).To(Equal(trace.AutoKey))
			if r.RetryOf != "" {
				retries++
			}
		}
		Expect(retries).To(BeNumerically(">", 300))
	})

	It("rejects invalid options and unknown scenarios", func() {
		for message, invalidate := range map[string]func(*scenario.Options){
			"load":     func(o *scenario.Options) { o.Load = 0 },
			"patience": func(o *scenario.Options) { o.DeadlineFactor = 0 },
			"duration": func(o *scenario.Options) { o.Duration = time.Hour },
			"no pool":  func(o *scenario.Options) { o.Bundle.Pipelines = nil },
		} {
			o := options()
			invalidate(&o)
			_, err := scenario.Generate("steady", o)
			Expect(err).To(MatchError(ContainSubstring(message)))
		}
		_, err := scenario.Generate("luck", options())
		Expect(err).To(MatchError(ContainSubstring("unknown scenario")))
	})
})
