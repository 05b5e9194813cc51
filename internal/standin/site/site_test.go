package site_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
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

// startEngine starts an engine with the given behaviour.
func startEngine(b site.Behaviour) (*site.Replica, *site.Ledger) {
	ledger := site.NewLedger()
	r, err := site.StartReplica(ledger, "e1", "llm", site.Engine, "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(r.Close)
	r.SetBehaviour(b)
	return r, ledger
}

// call sends a request to a replica. Canceling ctx closes the connection.
func call(ctx context.Context, r *site.Replica, method, path, body string, header ...string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+r.Address()+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Deadline-Ms", "2000")
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	return http.DefaultClient.Do(req)
}

// generate sends a streaming request.
func generate(ctx context.Context, r *site.Replica, id string, header ...string) *http.Response {
	GinkgoHelper()
	resp, err := call(ctx, r, http.MethodPost, "/", "prompt", append(header, "Attempt-Id", id, "Token-Usage", "10,5", "Request-Priority", "3")...)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(resp.Body.Close)
	return resp
}

// readEvents reads n events.
func readEvents(r *bufio.Reader, n int) string {
	GinkgoHelper()
	var b strings.Builder
	const linesPerEvent = 3
	for range n * linesPerEvent {
		line, err := r.ReadString('\n')
		Expect(err).NotTo(HaveOccurred())
		b.WriteString(line)
	}
	return b.String()
}

// fullStream returns the complete stream for a request.
func fullStream(id string) string {
	var b strings.Builder
	for n := 1; n <= 5; n++ {
		b.WriteString(site.EventText(id, n))
	}
	return b.String()
}

// fetchReport fetches an engine report. It returns the error of the context if the
// engine does not respond within 100 ms.
func fetchReport(r *site.Replica) (map[string]any, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	resp, err := call(ctx, r, http.MethodGet, "/-/report", "")
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var response map[string]any
	return response, json.NewDecoder(resp.Body).Decode(&response)
}

// reportRuns matches a report that lists exactly these runs.
func reportRuns(runs ...any) OmegaMatcher {
	return And(HaveKeyWithValue("stage", "colocated"), HaveKeyWithValue("queued", 0.0),
		HaveKeyWithValue("active", float64(len(runs))), HaveKeyWithValue("runs", append([]any{}, runs...)))
}

// runEntry is the report entry of a run with 10 prompt tokens.
func runEntry(id string, eventID int) any {
	return []any{id, float64(10 + eventID), float64(eventID), 3.0}
}

// runEnd returns a function that returns how the run of a request ended.
func runEnd(l *site.Ledger, id string) func() site.End {
	return func() site.End { return l.Runs(id)[0].End }
}

var _ = Describe("an engine", func() {
	const pause = 200 * time.Millisecond

	DescribeTable("pauses and resumes", func(after int) {
		e, ledger := startEngine(site.Behaviour{PauseAfterEvents: after, Pause: pause})
		began := time.Now()
		body := bufio.NewReader(generate(context.Background(), e, "a").Body)
		first := readEvents(body, after)
		Expect(time.Since(began)).To(BeNumerically("<", pause))
		Expect(fetchReport(e)).To(reportRuns(runEntry("a", after)))
		rest, err := io.ReadAll(body)
		Expect(err).NotTo(HaveOccurred())
		Expect(first + string(rest)).To(Equal(fullStream("a")))
		run := ledger.Runs("a")[0]
		Expect(run.End).To(Equal(site.Completed))
		Expect(run.EndedAt.Sub(run.StartedAt)).To(BeNumerically(">=", pause))
		Expect(fetchReport(e)).To(reportRuns())
		Expect(e.WasUnhealthy()).To(BeFalse())
	},
		Entry("after the response headers, before the first event", 0),
		Entry("after two events", 2),
	)

	It("pauses under PauseStreams without a pause in its behaviour", func() {
		e, ledger := startEngine(site.Behaviour{})
		e.PauseStreams(1, pause)
		_, err := io.ReadAll(generate(context.Background(), e, "a").Body)
		Expect(err).NotTo(HaveOccurred())
		run := ledger.Runs("a")[0]
		Expect(run.EndedAt.Sub(run.StartedAt)).To(BeNumerically(">=", pause))
		Expect(e.WasUnhealthy()).To(BeFalse())
	})

	DescribeTable("stalls permanently", func(stall site.Stall, wantReport OmegaMatcher, wantEnd site.End) {
		e, ledger := startEngine(site.Behaviour{PauseAfterEvents: 2, Stall: stall, EventInterval: 10 * time.Millisecond})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		body := bufio.NewReader(generate(ctx, e, "a").Body)
		readEvents(body, 2)
		time.Sleep(100 * time.Millisecond)
		reported, err := fetchReport(e)
		Expect([]any{reported, err}).To(wantReport)
		Expect(e.WasUnhealthy()).To(BeTrue())
		time.AfterFunc(50*time.Millisecond, cancel)
		_, err = body.ReadByte()
		Expect(err).To(MatchError(context.Canceled), "no event must arrive until the client disconnects")
		Eventually(runEnd(ledger, "a"), "1s").Should(Equal(wantEnd))
	},
		Entry("in one run, with the process alive", site.RunStalled, HaveExactElements(reportRuns(runEntry("a", 2)), BeNil()), site.Cancelled),
		Entry("on the connection, with the run completed", site.OutputStalled, HaveExactElements(reportRuns(), BeNil()), site.Completed),
		Entry("as a frozen process", site.ProcessFrozen, HaveExactElements(BeEmpty(), MatchError(context.DeadlineExceeded)), site.Cancelled),
		Entry("as a frozen process that refuses connections", site.ProcessUnreachable, HaveExactElements(BeEmpty(), MatchError(syscall.ECONNREFUSED)), site.Cancelled),
	)

	It("continues to generate events while the connection is stalled", func() {
		e, _ := startEngine(site.Behaviour{Stall: site.OutputStalled, EventInterval: pause})
		generate(context.Background(), e, "a")
		Eventually(func() (map[string]any, error) { return fetchReport(e) }, "1s").Should(reportRuns(runEntry("a", 3)))
	})

	It("reports runs as of ReportLag ago", func() {
		e, _ := startEngine(site.Behaviour{PauseAfterEvents: 2, Pause: 2 * pause})
		e.ReportLag = pause
		generate(context.Background(), e, "a")
		Expect(fetchReport(e)).To(reportRuns())
		Eventually(func() (map[string]any, error) { return fetchReport(e) }, "1s").Should(reportRuns(runEntry("a", 2)))
	})

	It("counts the events before the resume point of a stream", func() {
		e, _ := startEngine(site.Behaviour{PauseAfterEvents: 1, Pause: pause})
		readEvents(bufio.NewReader(generate(context.Background(), e, "a", "Last-Event-Id", "2").Body), 1)
		Expect(fetchReport(e)).To(reportRuns(runEntry("a", 3)))
	})

	It("records how runs ended", func() {
		e, ledger := startEngine(site.Behaviour{AbortAfterEvents: 1})
		_, err := io.ReadAll(generate(context.Background(), e, "aborted").Body)
		Expect(err).To(HaveOccurred())
		Eventually(runEnd(ledger, "aborted"), "1s").Should(Equal(site.Aborted))
		e.SetBehaviour(site.Behaviour{Pause: time.Minute})
		generate(context.Background(), e, "crashed")
		Expect(runEnd(ledger, "crashed")()).To(Equal(site.InProgress))
		Expect(e.Crash(0)).To(BeTrue())
		Eventually(runEnd(ledger, "crashed"), "1s").Should(Equal(site.Aborted))
	})

	It("serves requests but does not respond to report calls with HangReports", func() {
		e, _ := startEngine(site.Behaviour{HangReports: true})
		_, err := fetchReport(e)
		Expect(err).To(MatchError(context.DeadlineExceeded))
		Expect(generate(context.Background(), e, "a")).To(HaveHTTPBody(fullStream("a")))
	})

	It("reports when it was healthy", func() {
		e, _ := startEngine(site.Behaviour{})
		began := time.Now()
		e.PauseStreams(1, pause)
		Expect(e.HealthyThroughout(began, time.Now())).To(BeTrue())
		e.SetBehaviour(site.Behaviour{Shed: true})
		Expect(e.HealthyThroughout(began, time.Now())).To(BeFalse())
		e.SetBehaviour(site.Behaviour{})
		recovered := time.Now()
		Expect(e.HealthyThroughout(recovered, time.Now())).To(BeTrue())
		Expect(e.HealthyThroughout(began, time.Now())).To(BeFalse())
		Expect(e.Crash(0)).To(BeTrue())
		Expect(e.HealthyThroughout(recovered, time.Now())).To(BeFalse())
		Expect(e.WasUnhealthy()).To(BeTrue())
	})

	It("responds with 404 to report and reservation calls if it does not support them", func() {
		e, _ := startEngine(site.Behaviour{NoEngineCalls: true})
		for method, path := range map[string]string{http.MethodGet: "/-/report", http.MethodPost: "/-/hold-take", http.MethodDelete: "/-/hold-drop/x"} {
			Expect(call(context.Background(), e, method, path, "{}")).To(HaveHTTPStatus(http.StatusNotFound))
		}
	})
})

var _ = Describe("engine reservations", func() {
	reserve := func(e *site.Replica, ttl int) string {
		GinkgoHelper()
		resp, err := call(context.Background(), e, http.MethodPost, "/-/hold-take", fmt.Sprintf(`{"token_count":10,"ttl_ms":%d}`, ttl))
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		Expect(resp).To(HaveHTTPStatus(http.StatusOK))
		var response struct{ Hold string }
		Expect(json.NewDecoder(resp.Body).Decode(&response)).To(Succeed())
		return response.Hold
	}
	release := func(e *site.Replica, name string) (*http.Response, error) {
		return call(context.Background(), e, http.MethodDelete, "/-/hold-drop/"+name, "")
	}

	It("are used once, even while the engine sheds load, or released", func() {
		e, ledger := startEngine(site.Behaviour{})
		used, released := reserve(e, 1000), reserve(e, 1000)
		e.SetBehaviour(site.Behaviour{Shed: true})
		Expect(generate(context.Background(), e, "a", "Kv-Hold", used)).To(HaveHTTPBody(fullStream("a")))
		Expect(release(e, released)).To(HaveHTTPStatus(http.StatusOK))
		Expect(release(e, released)).To(HaveHTTPStatus(http.StatusNotFound))
		Expect(release(e, used)).To(HaveHTTPStatus(http.StatusNotFound))
		Expect(ledger.Reservations()).To(Equal(site.ReservationCounts{Granted: 2, Used: 1, Released: 1}))
		Expect(ledger.Violations()).To(BeEmpty())
	})

	It("are refused by an engine that asks for a backoff, which keeps those that it granted before", func() {
		e, ledger := startEngine(site.Behaviour{})
		granted := reserve(e, 1000)
		e.RefuseWithRetryAfter("1.5")
		resp, err := call(context.Background(), e, http.MethodPost, "/-/hold-take", `{"token_count":10,"ttl_ms":1000}`)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp).To(And(HaveHTTPStatus(http.StatusServiceUnavailable), HaveHTTPHeaderWithValue("Retry-After", "1.5")))
		Expect(generate(context.Background(), e, "a")).To(HaveHTTPStatus(http.StatusServiceUnavailable))
		Expect(generate(context.Background(), e, "b", "Kv-Hold", granted)).To(HaveHTTPBody(fullStream("b")))
		Expect(ledger.Violations()).To(BeEmpty())
		Expect(e.Arrivals()).To(HaveExactElements(HaveField("RetryAfter", "1.5"), HaveField("RetryAfter", "")))
	})

	It("are held before the engine responds", func() {
		e, ledger := startEngine(site.Behaviour{ReservationDelay: time.Minute})
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		_, err := call(ctx, e, http.MethodPost, "/-/hold-take", `{"token_count":10,"ttl_ms":1000}`)
		Expect(err).To(MatchError(context.DeadlineExceeded))
		Expect(ledger.Reservations()).To(Equal(site.ReservationCounts{Granted: 1}))
	})

	It("expire", func() {
		e, ledger := startEngine(site.Behaviour{})
		name := reserve(e, 1)
		time.Sleep(20 * time.Millisecond)
		e.SetBehaviour(site.Behaviour{Shed: true})
		Expect(generate(context.Background(), e, "a", "Kv-Hold", name)).To(HaveHTTPStatus(http.StatusServiceUnavailable))
		Expect(ledger.Violations()).To(BeEmpty())
	})

	DescribeTable("are refused", func(b site.Behaviour) {
		e, ledger := startEngine(b)
		Expect(call(context.Background(), e, http.MethodPost, "/-/hold-take", `{"token_count":10,"ttl_ms":1000}`)).To(HaveHTTPStatus(http.StatusServiceUnavailable))
		Expect(ledger.Reservations()).To(Equal(site.ReservationCounts{Refused: 1}))
	},
		Entry("if the engine refuses reservations", site.Behaviour{NoReservations: true}),
		Entry("if the engine sheds load", site.Behaviour{Shed: true}),
	)

	DescribeTable("are a protocol violation", func(name func(*site.Replica) string, violation string) {
		e, ledger := startEngine(site.Behaviour{})
		_, _ = io.ReadAll(generate(context.Background(), e, "a", "Kv-Hold", name(e)).Body)
		Expect(ledger.Violations()).To(ConsistOf(ContainSubstring(violation)))
	},
		Entry("that were never granted", func(*site.Replica) string { return "x" }, "never granted"),
		Entry("that a client forged", func(*site.Replica) string { return site.ForgedValue }, "a forged Kv-Hold"),
		Entry("that were used before", func(e *site.Replica) string {
			name := reserve(e, 1000)
			generate(context.Background(), e, "b", "Kv-Hold", name)
			return name
		}, "used"),
		Entry("that were released", func(e *site.Replica) string {
			name := reserve(e, 1000)
			Expect(release(e, name)).To(HaveHTTPStatus(http.StatusOK))
			return name
		}, "released"),
	)
})

// Guards against tests that pass only since the store shows the newest write of each key.
var _ = Describe("the store", func() {
	watch := func(s *site.Store, after int) (status int, keys []string, asOf int) {
		w := httptest.NewRecorder()
		s.ServeHTTP(w, httptest.NewRequest(http.MethodGet, fmt.Sprintf("/-/kv-watch?prefix=servers/&after=%d&wait_ms=0", after), nil))
		var body struct {
			Events []struct {
				Key       string
				Revision  int
				Tombstone bool
			}
			AsOf int `json:"as_of"`
		}
		if w.Code == http.StatusOK {
			Expect(json.Unmarshal(w.Body.Bytes(), &body)).To(Succeed())
		}
		for _, e := range body.Events {
			keys = append(keys, fmt.Sprint(e.Key, "@", e.Revision, map[bool]string{true: " removed"}[e.Tombstone]))
		}
		return w.Code, keys, body.AsOf
	}

	It("shows every write and removal since a revision, as long as it keeps them", func() {
		s := site.NewStore()
		s.Put("servers/a", "1")
		s.Put("servers/a", "2")
		s.Delete("servers/a")
		s.Put("op/config", "x")
		s.Put("servers/b", "1")
		status, keys, asOf := watch(s, 0)
		Expect(status).To(Equal(http.StatusOK))
		Expect(keys).To(Equal([]string{"servers/a@1", "servers/a@2", "servers/a@3 removed", "servers/b@5"}))
		Expect(asOf).To(Equal(5))
		copied := s.Snapshot()
		s.Compact()
		status, _, _ = watch(s, 4)
		Expect(status).To(Equal(http.StatusGone))
		status, keys, _ = watch(s, 5)
		Expect(status).To(Equal(http.StatusOK))
		Expect(keys).To(BeEmpty())
		s.Put("servers/c", "1")
		s.Restore(copied)
		status, keys, _ = watch(s, 3)
		Expect(status).To(Equal(http.StatusOK))
		Expect(keys).To(Equal([]string{"servers/b@5"}), "changes after the copy are lost")
	})

	It("discards changes after its retention", func() {
		s := site.NewStore()
		s.Retention = 20 * time.Millisecond
		s.Put("servers/a", "1")
		time.Sleep(2 * s.Retention)
		s.Put("servers/a", "2")
		status, _, _ := watch(s, 0)
		Expect(status).To(Equal(http.StatusGone))
		status, keys, _ := watch(s, 1)
		Expect(status).To(Equal(http.StatusOK))
		Expect(keys).To(Equal([]string{"servers/a@2"}))
	})
})
