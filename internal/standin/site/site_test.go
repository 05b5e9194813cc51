package site_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/internal/standin/site"
)

func TestSite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "site")
}

// engine starts an engine that behaves so.
func engine(b site.Behaviour) (*site.Replica, *site.Ledger) {
	ledger := site.NewLedger()
	r, err := site.StartReplica(ledger, "e1", "llm", site.Engine, "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(r.Close)
	r.SetBehaviour(b)
	return r, ledger
}

// call calls a replica; the context's end closes the connection.
func call(ctx context.Context, r *site.Replica, method, path, body string, header ...string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+r.Address()+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Deadline-Ms", "2000")
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	return http.DefaultClient.Do(req)
}

// generate sends a request for a stream.
func generate(ctx context.Context, r *site.Replica, id string, header ...string) *http.Response {
	GinkgoHelper()
	resp, err := call(ctx, r, http.MethodPost, "/", "prompt", append(header, "Attempt-Id", id, "Token-Usage", "10,5", "Request-Priority", "3")...)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(resp.Body.Close)
	return resp
}

// events reads so many events.
func events(r *bufio.Reader, n int) string {
	GinkgoHelper()
	var b strings.Builder
	const linesOfEvent = 3
	for range n * linesOfEvent {
		line, err := r.ReadString('\n')
		Expect(err).NotTo(HaveOccurred())
		b.WriteString(line)
	}
	return b.String()
}

// whole is a complete stream.
func whole(id string) string {
	var b strings.Builder
	for n := 1; n <= 5; n++ {
		b.WriteString(site.EventText(id, n))
	}
	return b.String()
}

// report is an engine's report. The error is that of the context when the engine
// answers nothing for a while.
func report(r *site.Replica) (map[string]any, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	resp, err := call(ctx, r, http.MethodGet, "/-/report", "")
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var answer map[string]any
	return answer, json.NewDecoder(resp.Body).Decode(&answer)
}

// listing matches a report that lists these runs.
func listing(runs ...any) OmegaMatcher {
	return And(HaveKeyWithValue("stage", "colocated"), HaveKeyWithValue("queued", 0.0),
		HaveKeyWithValue("active", float64(len(runs))), HaveKeyWithValue("runs", append([]any{}, runs...)))
}

// running is the entry of a run with a prompt of 10 tokens.
func running(id string, made int) any { return []any{id, float64(10 + made), float64(made), 3.0} }

// end is how the run of a request ended.
func end(l *site.Ledger, id string) func() site.End {
	return func() site.End { return l.Runs(id)[0].End }
}

var _ = Describe("an engine", func() {
	const pause = 200 * time.Millisecond

	DescribeTable("pauses and goes on", func(after int) {
		e, ledger := engine(site.Behaviour{PauseAfterEvents: after, Pause: pause})
		began := time.Now()
		body := bufio.NewReader(generate(context.Background(), e, "a").Body)
		first := events(body, after)
		Expect(time.Since(began)).To(BeNumerically("<", pause))
		Expect(report(e)).To(listing(running("a", after)))
		rest, err := io.ReadAll(body)
		Expect(err).NotTo(HaveOccurred())
		Expect(first + string(rest)).To(Equal(whole("a")))
		run := ledger.Runs("a")[0]
		Expect(run.End).To(Equal(site.Completed))
		Expect(run.EndedAt.Sub(run.StartedAt)).To(BeNumerically(">=", pause))
		Expect(report(e)).To(listing())
		Expect(e.WasUnhealthy()).To(BeFalse())
	},
		Entry("before the first event, with the head of the answer sent", 0),
		Entry("after two", 2),
	)

	It("pauses so however it behaves else", func() {
		e, ledger := engine(site.Behaviour{})
		e.PauseStreams(1, pause)
		_, err := io.ReadAll(generate(context.Background(), e, "a").Body)
		Expect(err).NotTo(HaveOccurred())
		run := ledger.Runs("a")[0]
		Expect(run.EndedAt.Sub(run.StartedAt)).To(BeNumerically(">=", pause))
		Expect(e.WasUnhealthy()).To(BeFalse())
	})

	DescribeTable("falls silent for good", func(silence site.Stall, reports OmegaMatcher, ends site.End) {
		e, ledger := engine(site.Behaviour{PauseAfterEvents: 2, Stall: silence, EventInterval: 10 * time.Millisecond})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		body := bufio.NewReader(generate(ctx, e, "a").Body)
		events(body, 2)
		time.Sleep(100 * time.Millisecond)
		told, err := report(e)
		Expect([]any{told, err}).To(reports)
		Expect(e.WasUnhealthy()).To(BeTrue())
		time.AfterFunc(50*time.Millisecond, cancel)
		_, err = body.ReadByte()
		Expect(err).To(MatchError(context.Canceled), "silent until its caller left")
		Eventually(end(ledger, "a"), "1s").Should(Equal(ends))
	},
		Entry("in one run", site.RunStalled, HaveExactElements(listing(running("a", 2)), BeNil()), site.Cancelled),
		Entry("on the connection", site.OutputStalled, HaveExactElements(listing(), BeNil()), site.Completed),
		Entry("as a process that hangs", site.ProcessFrozen, HaveExactElements(BeEmpty(), MatchError(context.DeadlineExceeded)), site.Cancelled),
		Entry("as a process that is gone", site.ProcessUnreachable, HaveExactElements(BeEmpty(), MatchError(syscall.ECONNREFUSED)), site.Cancelled),
	)

	It("goes on making the events of a run that is silent on its connection", func() {
		e, _ := engine(site.Behaviour{Stall: site.OutputStalled, EventInterval: pause})
		generate(context.Background(), e, "a")
		Eventually(func() (map[string]any, error) { return report(e) }, "1s").Should(listing(running("a", 3)))
	})

	It("reports what was a while ago", func() {
		e, _ := engine(site.Behaviour{PauseAfterEvents: 2, Pause: 2 * pause})
		e.ReportLag = pause
		generate(context.Background(), e, "a")
		Expect(report(e)).To(listing())
		Eventually(func() (map[string]any, error) { return report(e) }, "1s").Should(listing(running("a", 2)))
	})

	It("counts the events before the one after which a stream goes on", func() {
		e, _ := engine(site.Behaviour{PauseAfterEvents: 1, Pause: pause})
		events(bufio.NewReader(generate(context.Background(), e, "a", "Last-Event-Id", "2").Body), 1)
		Expect(report(e)).To(listing(running("a", 3)))
	})

	It("tells how runs ended", func() {
		e, ledger := engine(site.Behaviour{AbortAfterEvents: 1})
		_, err := io.ReadAll(generate(context.Background(), e, "cut").Body)
		Expect(err).To(HaveOccurred())
		Eventually(end(ledger, "cut"), "1s").Should(Equal(site.Cut))
		e.SetBehaviour(site.Behaviour{Pause: time.Minute})
		generate(context.Background(), e, "crashed")
		Expect(end(ledger, "crashed")()).To(Equal(site.InProgress))
		Expect(e.Crash(0)).To(BeTrue())
		Eventually(end(ledger, "crashed"), "1s").Should(Equal(site.Cut))
	})

	It("answers nothing to asks for the report, and serves, where it is told so", func() {
		e, _ := engine(site.Behaviour{HangReports: true})
		_, err := report(e)
		Expect(err).To(MatchError(context.DeadlineExceeded))
		Expect(generate(context.Background(), e, "a")).To(HaveHTTPBody(whole("a")))
	})

	It("tells when it behaved well", func() {
		e, _ := engine(site.Behaviour{})
		began := time.Now()
		e.PauseStreams(1, pause)
		Expect(e.HealthyThroughout(began, time.Now())).To(BeTrue())
		e.SetBehaviour(site.Behaviour{Shed: true})
		Expect(e.HealthyThroughout(began, time.Now())).To(BeFalse())
		e.SetBehaviour(site.Behaviour{})
		again := time.Now()
		Expect(e.HealthyThroughout(again, time.Now())).To(BeTrue())
		Expect(e.HealthyThroughout(began, time.Now())).To(BeFalse())
		Expect(e.Crash(0)).To(BeTrue())
		Expect(e.HealthyThroughout(again, time.Now())).To(BeFalse())
		Expect(e.WasUnhealthy()).To(BeTrue())
	})

	It("does not know reports and holds where it is told so", func() {
		e, _ := engine(site.Behaviour{NoEngineCalls: true})
		for method, path := range map[string]string{http.MethodGet: "/-/report", http.MethodPost: "/-/hold-take", http.MethodDelete: "/-/hold-drop/x"} {
			Expect(call(context.Background(), e, method, path, "{}")).To(HaveHTTPStatus(http.StatusNotFound))
		}
	})
})

var _ = Describe("places that an engine holds", func() {
	take := func(e *site.Replica, ttl int) string {
		GinkgoHelper()
		resp, err := call(context.Background(), e, http.MethodPost, "/-/hold-take", fmt.Sprintf(`{"token_count":10,"ttl_ms":%d}`, ttl))
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		Expect(resp).To(HaveHTTPStatus(http.StatusOK))
		var answer struct{ Hold string }
		Expect(json.NewDecoder(resp.Body).Decode(&answer)).To(Succeed())
		return answer.Hold
	}
	drop := func(e *site.Replica, name string) (*http.Response, error) {
		return call(context.Background(), e, http.MethodDelete, "/-/hold-drop/"+name, "")
	}

	It("are used once, also while it sheds, or given up", func() {
		e, ledger := engine(site.Behaviour{})
		used, dropped := take(e, 1000), take(e, 1000)
		e.SetBehaviour(site.Behaviour{Shed: true})
		Expect(generate(context.Background(), e, "a", "Kv-Hold", used)).To(HaveHTTPBody(whole("a")))
		Expect(drop(e, dropped)).To(HaveHTTPStatus(http.StatusOK))
		Expect(drop(e, dropped)).To(HaveHTTPStatus(http.StatusNotFound))
		Expect(drop(e, used)).To(HaveHTTPStatus(http.StatusNotFound))
		Expect(ledger.Reservations()).To(Equal(site.ReservationCounts{Granted: 2, Used: 1, Released: 1}))
		Expect(ledger.Violations()).To(BeEmpty())
	})

	It("are kept before it answers", func() {
		e, ledger := engine(site.Behaviour{ReservationDelay: time.Minute})
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		_, err := call(ctx, e, http.MethodPost, "/-/hold-take", `{"token_count":10,"ttl_ms":1000}`)
		Expect(err).To(MatchError(context.DeadlineExceeded))
		Expect(ledger.Reservations()).To(Equal(site.ReservationCounts{Granted: 1}))
	})

	It("lapse", func() {
		e, ledger := engine(site.Behaviour{})
		name := take(e, 1)
		time.Sleep(20 * time.Millisecond)
		e.SetBehaviour(site.Behaviour{Shed: true})
		Expect(generate(context.Background(), e, "a", "Kv-Hold", name)).To(HaveHTTPStatus(http.StatusServiceUnavailable))
		Expect(ledger.Violations()).To(BeEmpty())
	})

	DescribeTable("are refused", func(b site.Behaviour) {
		e, ledger := engine(b)
		Expect(call(context.Background(), e, http.MethodPost, "/-/hold-take", `{"token_count":10,"ttl_ms":1000}`)).To(HaveHTTPStatus(http.StatusServiceUnavailable))
		Expect(ledger.Reservations()).To(Equal(site.ReservationCounts{Refused: 1}))
	},
		Entry("where the engine is told so", site.Behaviour{NoReservations: true}),
		Entry("where it sheds", site.Behaviour{Shed: true}),
	)

	DescribeTable("are a fault", func(name func(*site.Replica) string, fault string) {
		e, ledger := engine(site.Behaviour{})
		_, _ = io.ReadAll(generate(context.Background(), e, "a", "Kv-Hold", name(e)).Body)
		Expect(ledger.Violations()).To(ConsistOf(ContainSubstring(fault)))
	},
		Entry("that were never given", func(*site.Replica) string { return "x" }, "never given"),
		Entry("that a caller forged", func(*site.Replica) string { return site.ForgedValue }, "a caller's Kv-Hold"),
		Entry("that were used before", func(e *site.Replica) string {
			name := take(e, 1000)
			generate(context.Background(), e, "b", "Kv-Hold", name)
			return name
		}, "used"),
		Entry("that were given up", func(e *site.Replica) string {
			name := take(e, 1000)
			Expect(drop(e, name)).To(HaveHTTPStatus(http.StatusOK))
			return name
		}, "dropped"),
	)
})
