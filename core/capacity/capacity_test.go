package capacity

import (
	"fmt"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/wheatseam/wheatseam/internal/doccheck"
)

func TestCapacity(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "capacity")
}

func mustParse(text string) *Deployment {
	GinkgoHelper()
	d, err := Parse([]byte(text))
	Expect(err).NotTo(HaveOccurred())
	return d
}

// The services of the hand-calculated cases can serve 100 requests a second. 200 arrive in
// each of 10 seconds, and the last ones may wait for 200 ms: 10.2 s of capacity for 2,000.
const (
	period = "period: 10s\n"
	call   = "kinds: [{name: k, service: e, rate: 200, worth: 1, objective: 200ms, deadline: 200ms, %s}]\n"
)

var _ = Describe("Calculate", func() {
	// Guards against a constraint that is calculated wrongly or not applied.
	DescribeTable("agrees with a calculation by hand when one constraint binds:",
		func(services, kind, binding string) {
			l := Calculate(mustParse(period + services + fmt.Sprintf(call, kind)))
			Expect(l.Whole.Kinds[0].ShareAlone).To(BeNumerically("~", 0.51, 1e-4))
			Expect(l.Whole.Kinds[0].ShareInBest).To(BeNumerically("~", 0.51, 1e-4))
			Expect(l.Worth.AtMost).To(BeNumerically("~", 1020, 0.1))
			Expect(l.Exact).To(BeTrue())
			Expect(l.Whole.Binding).To(HaveLen(1))
			Expect(l.Whole.Binding[0].String()).To(Equal(binding))
			Expect(l.Seconds[3].Binding).To(Equal(l.Whole.Binding))
			for _, u := range l.Seconds[3].Usage {
				if u.String() == binding {
					Expect(u.Share).To(BeNumerically("~", 2, 1e-9))
				}
			}
			Expect(l.Tight).To(HaveLen(1))
			Expect(l.Tight[0].ToMs).To(Equal(int64(10200)))
			Expect(l.Tight[0].WorthPerSecond).To(BeNumerically("~", 100, 0.1))
		},
		// A full call has 10 pieces and takes 200 ms: two replicas execute 100 pieces a second.
		Entry("calls", "stage_services: [{name: s, replicas: 2, concurrency: 1, batch: 10, call_time: 100ms, piece_time: 10ms, result_memory_bytes: 1000000000}]\n"+freeEngine,
			"stages: [{service: s, pieces: 1, result_bytes: 1}]", "s/calls"),
		// The shortest call takes 110 ms and reading 90 ms: 20 kB x s for each request, 2 MB.
		Entry("result memory", "stage_services: [{name: s, replicas: 2, concurrency: 9, batch: 10, call_time: 100ms, piece_time: 10ms, result_memory_bytes: 1000000}]\n"+freeEngine,
			"stages: [{service: s, pieces: 1, result_bytes: 100000, read_time: 90ms}]", "s/result_memory"),
		// 10 own tokens and a fifth of 50 shared ones take 10 ms of two engines of half the speed.
		Entry("prompt reading", "engines: [{name: e, replicas: 2, concurrency: 4, prompt_tokens_per_ms: 2, step_time: 1ms, tokens_per_event: 1, slowdowns: [2]}]\n",
			"own_prompt_tokens: 10, shared_prompt_tokens: 50, shared_cached: 0.8", "e/prompt_reading"),
		// A step for 10 requests takes 10 ms: 1 ms for each of 10 tokens. The engine's machine
		// takes twice as long for half of the time, so that four engines do the work of three.
		Entry("steps", "engines: [{name: e, replicas: 4, concurrency: 10, prompt_tokens_per_ms: 1, step_time: 9ms, step_time_per_request: 0.1ms, tokens_per_event: 6, slow_share: 0.5, slow_factor: 2}]\n",
			"events: 5", "e/steps"),
		Entry("a plain service", "plain_services: [{name: e, replicas: 2, concurrency: 1, work: 20ms}]\n", "priority: 1", "e/work"),
	)

	// Guards against windows that ignore the shortest times of the other stages.
	DescribeTable("leaves time for the other stages of a chain",
		func(replicasOfFirst, replicasOfSecond int, fromMs, toMs int64) {
			const service = "  - {name: %s, replicas: %d, concurrency: 1, batch: 1, call_time: 100ms, result_memory_bytes: 1}\n"
			l := Calculate(mustParse(period + "stage_services:\n" + fmt.Sprintf(service, "first", replicasOfFirst) + fmt.Sprintf(service, "second", replicasOfSecond) +
				freeEngine + fmt.Sprintf(call, `stages: [{service: first, pieces: 1}, {service: second, pieces: 1, after_previous: true}]`)))
			Expect(l.Whole.Kinds[0].ShareAlone).To(BeNumerically("~", 1010./2000, 1e-4))
			Expect([]int64{l.Tight[0].FromMs, l.Tight[0].ToMs}).To(Equal([]int64{fromMs, toMs}))
		},
		// The scarce service executes 100 requests a second for 10.1 s.
		Entry("before", 90, 10, int64(100), int64(10200)),
		Entry("after", 10, 90, int64(0), int64(10100)),
	)

	// Guards against work that counts as done in time although the request is late anyway.
	It("names kinds that cannot be in time on an idle deployment", func() {
		l := Calculate(mustParse(period + "plain_services: [{name: e, replicas: 9, concurrency: 9, work: 201ms}]\n" + fmt.Sprintf(call, "priority: 1")))
		Expect(l.Impossible).To(Equal([]string{"k"}))
		Expect(l.Worth.AtMost).To(BeZero())
	})

	// Guards against queues that are ignored, and against queues longer than the objective.
	DescribeTable("lets the requests of a burst wait up to their objective:",
		func(factor, served, densest float64, binds bool) {
			l := Calculate(mustParse(fmt.Sprintf(`
period: 10s
plain_services: [{name: p, replicas: 1, concurrency: 1, work: 10ms}]
kinds: [{name: k, service: p, rate: 80, worth: 3, objective: 1s, deadline: 1s}]
bursts: [{kind: k, factor: %g, from: 4s, for: 2s}]`, factor)))
			Expect(l.Seconds[4].Usage[0].Share).To(BeNumerically("~", 0.8*factor, 1e-9))
			Expect(l.Worth.AtMost).To(BeNumerically("~", 3*served, 0.01))
			Expect(l.Densest[0].Share).To(BeNumerically("~", densest, 1e-9))
			Expect(l.Seconds[3].Binding).To(BeEmpty())
			Expect(l.Seconds[5].Binding).To(HaveLen(map[bool]int{true: 1}[binds]))
			if binds {
				// At the usual rate and in the absorbed burst, longer intervals are as dense.
				Expect([]int64{l.Densest[0].FromMs, l.Densest[0].ToMs}).To(Equal([]int64{4000, 7000}))
			}
		},
		// 240 arrive in two seconds, 40 more than can be served: a queue of 0.4 s.
		Entry("absorbed", 1.5, 640.+240, 0.8, false),
		// 480 arrive; until the last of them is due, 300 can be served.
		Entry("not absorbed", 3., 640.+300, 1.6, true),
	)

	// Guards against a schedule that ignores what requests are worth.
	It("serves the requests with the higher worth for the same work", func() {
		l := Calculate(mustParse(period + `
plain_services: [{name: p, replicas: 1, concurrency: 1, work: 10ms}]
kinds:
  - {name: low, service: p, rate: 80, worth: 1, objective: 200ms, deadline: 200ms}
  - {name: high, service: p, rate: 80, worth: 2, objective: 200ms, deadline: 200ms}`))
		Expect(l.Whole.Kinds[0].ShareInBest).To(BeNumerically("~", 220./800, 1e-4))
		Expect(l.Whole.Kinds[1].ShareInBest).To(BeNumerically("~", 1, 1e-6))
		Expect(l.Whole.Kinds[0].ShareAlone).To(BeNumerically("~", 1, 1e-6))
		Expect(l.Worth.AtMost).To(BeNumerically("~", 220+1600, 0.1))
	})

	// Without variants the bound would be too low: a policy may serve those without the stage.
	It("can serve the requests of a kind that lack a scarce stage", func() {
		l := Calculate(mustParse(period + "stage_services: [{name: s, replicas: 1, concurrency: 1, batch: 1, call_time: 190ms, result_memory_bytes: 1}]\n" +
			freeEngine + fmt.Sprintf(call, "stages: [{service: s, share: 0.9, pieces: 1}]")))
		Expect(l.Whole.Kinds[0].ShareAlone).To(BeNumerically("~", (200+10.2/0.19)/2000, 1e-4))
	})

	// A primal and a dual solution that agree prove each other optimal. Guards against a search
	// that ends early or on a wrong vertex.
	It("proves its result on random deployments", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			d := randomDeployment(t)
			c := &calculation{deployment: d, model: newModel(d), grid: newGrid(d.Period)}
			var worths []float64
			for i := range d.Kinds {
				c.arrivals = append(c.arrivals, d.arrivals(&d.Kinds[i], c.grid))
				worths = append(worths, d.Kinds[i].Worth)
			}
			s := newSchedule(c.model, c.grid, worths, c.arrivals)
			Expect(s.exact).To(BeTrue())
			Expect(s.violated()).To(BeEmpty())
			var worth float64
			for j, col := range s.columns {
				worth += s.served[j] * col.requests * worths[col.kind]
			}
			Expect(s.bound).To(BeNumerically("~", worth, 1e-4*worth+1e-9))
		})
	})
})

const freeEngine = "engines: [{name: e, replicas: 1, concurrency: 1, prompt_tokens_per_ms: 1, step_time: 1ms, tokens_per_event: 1}]\n"

func randomDeployment(t *rapid.T) *Deployment {
	number := func(name string, low, high int) int { return rapid.IntRange(low, high).Draw(t, name) }
	ms := func(name string, low, high int) string { return fmt.Sprintf("%dms", number(name, low, high)) }
	var text strings.Builder
	fmt.Fprintf(&text, "period: %ds\nstage_services:\n", number("period", 1, 5))
	for _, name := range []string{"a", "b"} {
		fmt.Fprintf(&text, "  - {name: %s, replicas: %d, concurrency: 1, batch: %d, call_time: %s, result_memory_bytes: %d}\n",
			name, number("replicas", 1, 9), number("batch", 1, 20), ms("call", 10, 200), number("memory", 10, 1000))
	}
	text.WriteString("engines: [{name: e, replicas: 3, concurrency: 2, prompt_tokens_per_ms: 1, step_time: 1ms, tokens_per_event: 4}]\nkinds:\n")
	for i := range number("kinds", 1, 3) {
		fmt.Fprintf(&text, "  - {name: k%d, service: e, rate: %d, worth: %d, objective: %s, deadline: 3s, own_prompt_tokens: %d, events: %d, stages: [{service: a, share: 0.5, pieces: 2, result_bytes: 9}, {service: b, pieces: 3, after_previous: true, result_bytes: 20}]}\n",
			i, number("rate", 1, 200), number("worth", 1, 9), ms("objective", 50, 2000), number("tokens", 0, 50), number("events", 0, 9))
	}
	fmt.Fprintf(&text, "bursts: [{factor: %d, from: 500ms, for: 1s}, {kind: k0, factor: 3, from: 700ms, for: %s}]\n", number("factor", 1, 5), ms("for", 1, 2000))
	d, err := Parse([]byte(text.String()))
	Expect(err).NotTo(HaveOccurred())
	return d
}

var _ = Describe("Parse", func() {
	// Guards against a fault that is accepted, or hidden by another one.
	It("names every fault with its line and path", func() {
		_, err := Parse([]byte(`period: 1500ms
stage_services: [{name: S, replicas: 0, concurrency: 1, batch: 1, call_time: 0s, piece_time: -1s, result_memory_bytes: 1}]
engines: [{name: e, replicas: 1, concurrency: 1, prompt_tokens_per_ms: 0, step_time: 1ms, tokens_per_event: 1, slowdowns: [1, 0], slow_share: 2, slow_factor: 0}]
plain_services: [{name: e, replicas: 1, concurrency: 1, work: 1}]
kinds:
  - {name: k, service: nowhere, rate: -1, worth: 1, objective: 2s, deadline: 1s, speed: 3}
  - {name: k, service: e, rate: 1, worth: 1, priority: -1, objective: 1s, deadline: 1s, stages: [{service: t, share: 0, after_previous: true, pieces: 0}]}
bursts: [{kind: x, factor: 0, from: 2s, for: 0s}]
`))
		Expect(strings.Split(err.Error(), "\n")).To(ConsistOf(
			"line 1: period: want whole seconds from 1s to 4m0s, got 1.5s",
			`line 2: stage_services[0].name: want a name of a-z, 0-9, '.', '_' and '-', at most 63 characters long, got "S"`,
			"line 2: stage_services[0].replicas: want 1 to 1000000, got 0",
			"line 2: stage_services[0].call_time: want a time above 0s and at most 4m0s, got 0s",
			"line 2: stage_services[0].piece_time: want a time from 0s to 4m0s, got -1s",
			"line 3: engines[0].prompt_tokens_per_ms: want a number above 0 and at most 1e+15, got 0",
			"line 3: engines[0].slowdowns[1]: want 0.01 to 100, got 0",
			"line 3: engines[0].slow_share: want a share from 0 to 1, got 2",
			"line 3: engines[0].slow_factor: want a factor from 1 to 1000, got 0",
			`line 4: plain_services[0].name: the name "e" is used twice`,
			"line 4: plain_services[0].work: want a duration with its unit, such as 250ms, got int",
			"line 6: kinds[0].speed: unknown key",
			`line 6: kinds[0].service: no engines and no plain service have the name "nowhere"`,
			"line 6: kinds[0].rate: want a number above 0 and at most 1e+15, got -1",
			"line 6: kinds[0].deadline: want at least the objective, 2s, got 1s",
			`line 7: kinds[1].name: the name "k" is used twice`,
			"line 7: kinds[1].priority: want 0 or more, got -1",
			`line 7: kinds[1].stages[0].service: no stage service has the name "t"`,
			"line 7: kinds[1].stages[0].share: want a share above 0 and at most 1, got 0",
			"line 7: kinds[1].stages[0].after_previous: the first stage has none before it",
			"line 7: kinds[1].stages[0].pieces: want 1 or more, got 0",
			`line 8: bursts[0].kind: no kind has the name "x"`,
			"line 8: bursts[0].factor: want a number above 0 and at most 1e+15, got 0",
			"line 8: bursts[0].from: want a time within the period of 1.5s, got 2s",
			"line 8: bursts[0].for: want a time above 0s and at most 4m0s, got 0s",
		))
	})

	// Guards against keys that the page does not explain, or that no longer exist.
	It("reads the keys that docs/design/deployment-limits.md lists", func() {
		listed, err := doccheck.DocumentedKeys("../../docs/design/deployment-limits.md", "## Input")
		Expect(err).NotTo(HaveOccurred())
		Expect(listed).To(ConsistOf(doccheck.Keys(Deployment{})))
	})

	// Guards against examples that no longer fit the input format.
	DescribeTable("reads the example", func(file string, kinds int) {
		text, err := os.ReadFile("../../examples/" + file)
		Expect(err).NotTo(HaveOccurred())
		d, err := Parse(text)
		Expect(err).NotTo(HaveOccurred())
		Expect(d.Kinds).To(HaveLen(kinds))
		Expect(Calculate(d).Impossible).To(BeEmpty())
	},
		Entry("limits-competing.yaml", "limits-competing.yaml", 5),
		Entry("limits-uneven.yaml", "limits-uneven.yaml", 5),
	)
})
