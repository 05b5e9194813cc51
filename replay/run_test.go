package replay_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/replay"
	"github.com/wheatseam/wheatseam/replay/trace"
)

func request(id string, at int64, pipeline string) trace.Request {
	return trace.Request{ID: id, AtMS: at, Customer: "clinic", Pipeline: pipeline, DeadlineMS: 3000, Prompt: "seal this"}
}

func traceOf(requests ...trace.Request) *trace.Trace {
	return &trace.Trace{Header: trace.Header{Version: 1, Name: "t"}, Requests: requests}
}

func run(cfg replay.Config, t *trace.Trace) *replay.Result {
	GinkgoHelper()
	if cfg.Keys == nil {
		cfg.Keys = map[string]string{"clinic": "secret"}
	}
	result, err := replay.Run(context.Background(), cfg, t)
	Expect(err).NotTo(HaveOccurred())
	return result
}

var _ = Describe("Run", func() {
	It("sends the requests of the trace and records each kind of outcome", func() {
		host := newFakeHost()
		auto := request("auto", 0, "seal")
		auto.Key = trace.AutoKey
		silent := request("silent", 0, "silent")
		silent.DeadlineMS = 50
		stream := request("stream", 0, "stream")
		stream.Stream, stream.Prefix = true, "lease"
		t := traceOf(auto, silent, stream, request("refuse", 0, "refuse"), request("broken", 0, "broken"),
			request("bare", 0, "bare"), request("cut", 0, "cut"), request("late-error", 0, "late-error"))
		t.Prefixes = []trace.Prefix{{Name: "lease", Text: "ab", Repeat: 2}}
		result := run(replay.Config{Hosts: []string{host.address()}, GracePeriod: 50 * time.Millisecond}, t)

		outcomes := map[string]replay.Outcome{}
		calls := map[string]*replay.Call{}
		for _, c := range result.Calls {
			outcomes[c.Request.ID], calls[c.Request.ID] = c.Outcome, c
		}
		Expect(outcomes).To(Equal(map[string]replay.Outcome{
			"auto": replay.Answered, "stream": replay.Answered, "refuse": replay.Refused, "late-error": replay.Refused,
			"silent": replay.Unanswered, "broken": replay.Unanswered, "bare": replay.Unanswered, "cut": replay.Unanswered,
		}))
		Expect(calls["cut"].Problem).To(ContainSubstring("truncated stream"))
		Expect(calls["refuse"].Refusal.Kind).To(BeEquivalentTo("overloaded"))
		Expect(calls["stream"].FirstToken).To(BeNumerically(">", 0))
		Expect(calls["stream"].InterTokenGaps).To(HaveLen(2))
		Expect(replay.FindCorrelationTokens(calls["auto"].Answer.Result)).To(Equal([]string{calls["auto"].CorrelationToken}))
		for _, s := range host.requests() {
			Expect(s.Auth).To(Equal("Bearer secret"))
			if s.Pipe == "seal" {
				key, err := uuid.Parse(s.Key)
				Expect(err).NotTo(HaveOccurred())
				Expect(key.Version()).To(BeEquivalentTo(7))
				Expect(s.Text).To(HaveSuffix(" seal this"))
			}
			if s.Pipe == "stream" {
				Expect(s.Prefix).To(Equal("abab"))
			}
		}
	})

	It("compares the streamed text with the final answer", func() {
		host := newFakeHost()
		result := run(replay.Config{Hosts: []string{host.address()}},
			traceOf(request("stream", 0, "stream"), request("reset", 0, "reset"), request("mixed", 0, "mixed")))
		Expect(result.Calls[0].StreamedTextDiffers).To(BeFalse())
		Expect(result.Calls[1].StreamedTextDiffers).To(BeFalse(), "a reset event discards the earlier tokens")
		Expect(result.Calls[2].StreamedTextDiffers).To(BeTrue())
	})

	It("keeps the rate of the trace when answers are slow", func() {
		host := newFakeHost()
		var requests []trace.Request
		for i := range 20 {
			requests = append(requests, request(fmt.Sprint(i), int64(i), "slow"))
		}
		result := run(replay.Config{Hosts: []string{host.address()}}, traceOf(requests...))
		seen := host.requests()
		// A closed-loop sender would need 20 times 150 ms.
		Expect(seen[len(seen)-1].At.Sub(seen[0].At)).To(BeNumerically("<", 1500*time.Millisecond))
		Expect(result.Calls[0].Attained()).To(BeTrue())
	})

	It("sends a retry to another host with the same key and body", func() {
		a, b := newFakeHost(), newFakeHost()
		first := request("first", 0, "refuse")
		first.Key = trace.AutoKey
		again := first
		again.ID, again.RetryOf, again.When, again.AtMS = "again", "first", trace.RetryUnlessAnswered, 200
		result := run(replay.Config{Hosts: []string{a.address(), b.address()}}, traceOf(first, again))
		Expect(a.requests()).To(HaveLen(1))
		Expect(b.requests()).To(HaveLen(1))
		one, two := a.requests()[0], b.requests()[0]
		Expect(two.Key).To(Equal(one.Key))
		Expect(two.Text).To(Equal(one.Text))
		Expect(result.Calls[1].FirstTryID).To(Equal("first"))
	})

	It("skips a retry after an answer, unless the retry is unconditional", func() {
		host := newFakeHost()
		first := request("first", 0, "seal")
		first.Key = trace.AutoKey
		unneeded, always := first, first
		unneeded.ID, unneeded.RetryOf, unneeded.When, unneeded.AtMS = "needless", "first", trace.RetryUnlessAnswered, 300
		always.ID, always.RetryOf, always.When, always.AtMS = "always", "first", trace.RetryAlways, 301
		result := run(replay.Config{Hosts: []string{host.address()}}, traceOf(first, unneeded, always))
		Expect(result.Calls[1].Outcome).To(Equal(replay.Skipped))
		Expect(result.Calls[2].Outcome).To(Equal(replay.Answered))
	})

	It("chooses the same hosts for the same seed", func() {
		hosts := []string{newFakeHost().address(), newFakeHost().address(), newFakeHost().address()}
		var requests []trace.Request
		for i := range 12 {
			requests = append(requests, request(fmt.Sprint(i), 0, "seal"))
		}
		choose := func(seed uint64) []string {
			var out []string
			for _, c := range run(replay.Config{Hosts: hosts, Seed: seed}, traceOf(requests...)).Calls {
				out = append(out, c.Host)
			}
			return out
		}
		Expect(choose(1)).To(Equal(choose(1)))
		Expect(choose(1)).NotTo(Equal(choose(2)))
	})

	It("does not send beyond the limits of duration and requests in flight", func() {
		host := newFakeHost()
		result := run(replay.Config{Hosts: []string{host.address()}, MaxInFlight: 1, MaxDuration: 50 * time.Millisecond},
			traceOf(request("a", 0, "slow"), request("b", 10, "slow"), request("c", 100, "slow")))
		Expect(result.Calls[1].Outcome).To(Equal(replay.NotSent))
		Expect(result.Calls[2].Outcome).To(Equal(replay.NotSent))
	})

	It("injects faults in the order of their offsets and reports the ones that failed", func() {
		var bodies []string
		standIn := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			text, _ := io.ReadAll(r.Body)
			bodies = append(bodies, r.URL.Path+string(text))
			if strings.Contains(string(text), "bad") {
				w.WriteHeader(http.StatusBadRequest)
			}
		}))
		DeferCleanup(standIn.Close)
		t := traceOf(request("a", 0, "seal"))
		t.Faults = []trace.Fault{
			{AtMS: 1, Pool: "seals", Body: []byte(`{"down":true}`)},
			{AtMS: 2, Pool: "seals", Replicas: []int{0}, Body: []byte(`{"bad":1}`)},
		}
		pools := map[string][]string{"seals": {strings.TrimPrefix(standIn.URL, "http://")}}
		result := run(replay.Config{Hosts: []string{newFakeHost().address()}, StandIns: pools}, t)
		Expect(bodies).To(Equal([]string{`/control/faults{"down":true}`, `/control/faults{"bad":1}`}))
		Expect(result.Faults[0].Err).NotTo(HaveOccurred())
		Expect(result.Faults[1].Err).To(HaveOccurred())
	})

	It("fails without a required host, API key or stand-in", func() {
		t := traceOf(request("a", 0, "seal"))
		t.Faults = []trace.Fault{{Pool: "seals", Replicas: []int{3}, Body: []byte(`{}`)}}
		_, err := replay.Run(context.Background(), replay.Config{}, t)
		Expect(err).To(MatchError(And(ContainSubstring("no hosts"), ContainSubstring(`customer "clinic"`), ContainSubstring(`pool "seals"`))))
	})
})
