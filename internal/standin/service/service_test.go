package service

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/internal/standin"
	"github.com/wheatseam/wheatseam/internal/standin/ledger"
)

const forever = time.Hour

var _ = Describe("Service", func() {
	var s *Service
	var server *httptest.Server

	startService := func(cfg Config) {
		if cfg.Median == 0 {
			cfg.Median = time.Millisecond
		}
		s = New(cfg)
		server = httptest.NewServer(s)
		DeferCleanup(func() {
			s.Close()
			server.Close()
		})
	}
	call := func(ctx context.Context, id, key string) (int, ResponseBody, http.Header, error) {
		body, err := json.Marshal(Request{RequestID: id, Attempt: 1, Customer: "c", Stage: "seal", Input: "deed"})
		Expect(err).NotTo(HaveOccurred())
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL+"/v1/seal", bytes.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		if key != "" {
			req.Header.Set("Idempotency-Key", key)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return 0, ResponseBody{}, nil, err
		}
		defer resp.Body.Close()
		raw, err := io.ReadAll(resp.Body)
		if err != nil {
			return 0, ResponseBody{}, nil, err
		}
		var a ResponseBody
		Expect(json.Unmarshal(raw, &a)).To(Succeed())
		return resp.StatusCode, a, resp.Header, nil
	}
	callAsync := func(ctx context.Context, id, key string) <-chan error {
		ended := make(chan error, 1)
		go func() {
			defer GinkgoRecover()
			_, _, _, err := call(ctx, id, key)
			ended <- err
		}()
		return ended
	}
	running := func() int { return s.slots.loadReporter.Report(time.Now()).Running }
	states := func() []ledger.State {
		var out []ledger.State
		for _, e := range s.Ledger().Entries() {
			out = append(out, e.State)
		}
		return out
	}
	bg := context.Background()

	It("executes a repeated key again and records both executions", func() {
		startService(Config{})
		for range 2 {
			status, a, _, err := call(bg, "r1", "k1")
			Expect(err).NotTo(HaveOccurred())
			Expect(status).To(Equal(http.StatusOK))
			Expect(a.Result.RequestID).To(Equal("r1"))
		}
		Expect(s.Ledger().Summary().DuplicatedKeys).To(Equal([]ledger.DuplicatedKey{
			{Customer: "c", Key: "k1", Stage: "seal", Executions: 2},
		}))
	})

	It("responds to a repeated key with the earlier result when deduplicating", func() {
		startService(Config{Deduplicate: true})
		_, first, _, err := call(bg, "r1", "k1")
		Expect(err).NotTo(HaveOccurred())
		_, second, _, err := call(bg, "r2", "k1")
		Expect(err).NotTo(HaveOccurred())
		Expect(second.Result).To(Equal(first.Result))
		Expect(second.RequestID).To(Equal("r2"))
		Expect(s.Ledger().Summary().Total.Started).To(Equal(1))
		Expect(s.Ledger().Summary().Deduplicated).To(Equal(1))
	})

	It("reports the status of a key", func() {
		startService(Config{Median: forever})
		Expect(s.keys.status("k1").State).To(Equal(KeyUnknown))
		ended := callAsync(bg, "r1", "k1")
		Eventually(func() KeyState { return s.keys.status("k1").State }).Should(Equal(KeyRunning))
		Eventually(running).Should(Equal(1))
		s.Faults().Set(standin.Faults{Down: true})
		Eventually(ended).Should(Receive(HaveOccurred()))
		Expect(s.keys.status("k1").State).To(Equal(KeyRunning), "an aborted execution may have taken effect")
		Expect(states()).To(Equal([]ledger.State{ledger.Failed}))
		s.Faults().Set(standin.Faults{})
		resp, err := http.Get(server.URL + "/v1/status/k1")
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		var got Status
		Expect(json.NewDecoder(resp.Body).Decode(&got)).To(Succeed())
		Expect(got.State).To(Equal(KeyRunning))
	})

	It("refuses calls without executing them when the queue is full", func() {
		startService(Config{Median: forever, Slots: 1, Queue: 1})
		ctx, cancel := context.WithCancel(bg)
		defer cancel()
		callAsync(ctx, "r1", "")
		callAsync(ctx, "r2", "")
		Eventually(func() int { return s.slots.loadReporter.Report(time.Now()).Queued }).Should(Equal(1))
		status, _, header, err := call(bg, "r3", "k3")
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(http.StatusTooManyRequests))
		Expect(header.Get(standin.HeaderNotExecuted)).To(Equal("true"))
		Expect(s.Ledger().Entries()).To(HaveLen(1))
		Expect(s.keys.status("k3").State).To(Equal(KeyUnknown))
	})

	It("completes an execution after its client disconnects", func() {
		startService(Config{Median: 200 * time.Millisecond})
		ctx, cancel := context.WithCancel(bg)
		ended := callAsync(ctx, "r1", "k1")
		Eventually(running).Should(Equal(1))
		cancel()
		Eventually(ended).Should(Receive(HaveOccurred()))
		Eventually(states, 10*time.Second).Should(Equal([]ledger.State{ledger.Done}))
		Expect(s.keys.status("k1").State).To(Equal(KeyDone))
	})

	It("frees the slot of a cancelled execution if it supports cancellation", func() {
		startService(Config{Median: forever, Cancellation: true})
		ctx, cancel := context.WithCancel(bg)
		ended := callAsync(ctx, "r1", "")
		Eventually(running).Should(Equal(1))
		cancel()
		Eventually(ended).Should(Receive(HaveOccurred()))
		Eventually(running, 10*time.Second).Should(Equal(0))
		Expect(states()).To(Equal([]ledger.State{ledger.Cancelled}))
	})

	DescribeTable("injected faults", func(f standin.Faults, status int, failed bool, executed []ledger.State) {
		startService(Config{})
		s.Faults().Set(f)
		got, _, _, err := call(bg, "r1", "k1")
		if failed {
			Expect(err).To(HaveOccurred())
		} else {
			Expect(err).NotTo(HaveOccurred())
			Expect(got).To(Equal(status))
		}
		Eventually(states).Should(Equal(executed))
	},
		Entry("refuse", standin.Faults{Refuse: true}, 503, false, nil),
		Entry("down", standin.Faults{Down: true}, 0, true, nil),
		Entry("fail_rate", standin.Faults{FailRate: 1}, 500, false, []ledger.State{ledger.Failed}),
		Entry("drop_answer", standin.Faults{DropResponse: true}, 0, true, []ledger.State{ledger.Done}),
		Entry("late_by_ms", standin.Faults{ResponseDelayMS: 5}, 200, false, []ledger.State{ledger.Done}),
		Entry("freeze_ms", standin.Faults{FreezeMS: 5}, 200, false, []ledger.State{ledger.Done}),
		Entry("duplicate_answer", standin.Faults{DuplicateResponse: true}, 200, false, []ledger.State{ledger.Done}),
	)

	It("responds with the response to another request under wrong_answer", func() {
		startService(Config{})
		_, _, _, err := call(bg, "r1", "")
		Expect(err).NotTo(HaveOccurred())
		s.Faults().Set(standin.Faults{WrongResponse: true})
		_, a, _, err := call(bg, "r2", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(a.RequestID).To(Equal("r1"))
	})

	It("reports that it is leaving and marks calls that still arrive", func() {
		startService(Config{})
		s.Faults().Set(standin.Faults{Leaving: true})
		Expect(s.slots.loadReporter.Report(time.Now()).Leaving).To(BeTrue())
		_, _, _, err := call(bg, "r1", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Ledger().Summary().Total.Leaving).To(Equal(1))
	})

	It("draws service times from a heavy-tailed distribution, deterministically for each seed", func() {
		a := New(Config{Median: time.Second, Sigma: 1, Seed: 7})
		b := New(Config{Median: time.Second, Sigma: 1, Seed: 7})
		over := 0
		for i := range 1000 {
			req := Request{RequestID: string(rune('a' + i)), Attempt: 1}
			Expect(a.serviceTime(req)).To(Equal(b.serviceTime(req)))
			if a.serviceTime(req) > 5*time.Second {
				over++
			}
		}
		// P(lognormal(0,1) > 5) is 5.4%.
		Expect(over).To(And(BeNumerically(">", 25), BeNumerically("<", 90)))
	})
})
