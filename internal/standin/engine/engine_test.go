package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/internal/standin"
	"github.com/wheatseam/wheatseam/internal/standin/ledger"
)

const unboundedTokens = 100_000

var _ = Describe("Engine", func() {
	var e *Engine
	var server *httptest.Server

	startEngine := func(cfg Config) {
		if cfg.TimeScale == 0 {
			cfg.TimeScale = 0.02
		}
		e = New(cfg)
		server = httptest.NewServer(e)
		DeferCleanup(func() {
			e.Close()
			server.Close()
		})
	}
	post := func(ctx context.Context, path, id string, body any) (*http.Response, error) {
		raw, err := json.Marshal(body)
		Expect(err).NotTo(HaveOccurred())
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL+path, bytes.NewReader(raw))
		Expect(err).NotTo(HaveOccurred())
		req.Header.Set("X-Request-Id", id)
		req.Header.Set("X-Attempt", "2")
		return http.DefaultClient.Do(req)
	}
	chat := func(content string, maxTokens int) ChatRequest {
		return ChatRequest{Model: "m", Messages: []Message{{Role: "user", Content: content}}, MaxTokens: maxTokens, User: "c"}
	}
	postChat := func(ctx context.Context, id string, c ChatRequest) (int, []byte, error) {
		resp, err := post(ctx, "/v1/chat/completions", id, c)
		if err != nil {
			return 0, nil, err
		}
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		return resp.StatusCode, body, err
	}
	chatResponse := func(id string, c ChatRequest) ChatResponse {
		status, body, err := postChat(context.Background(), id, c)
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(http.StatusOK), string(body))
		var a ChatResponse
		Expect(json.Unmarshal(body, &a)).To(Succeed())
		return a
	}
	postChatAsync := func(ctx context.Context, id string, c ChatRequest) <-chan error {
		ended := make(chan error, 1)
		go func() {
			_, _, err := postChat(ctx, id, c)
			ended <- err
		}()
		return ended
	}
	load := func() standin.Load { return e.loadReporter.Report(time.Now()) }

	It("responds deterministically and includes the request id", func() {
		startEngine(Config{})
		first := chatResponse("r1", chat("what is a deed?", 20))
		Expect(first.RequestID).To(Equal("r1"))
		Expect(first.Attempt).To(Equal(2))
		Expect(first.Choices[0].Message.Content).To(HavePrefix("[r1] "))
		Expect(first.Usage.CompletionTokens).To(Equal(20))
		Expect(chatResponse("r1", chat("what is a deed?", 20))).To(Equal(first))
		Expect(chatResponse("r2", chat("what is a deed?", 20))).NotTo(Equal(first))
		s := e.Ledger().Summary()
		Expect(s.Total.Done).To(Equal(3))
		Expect(s.Total.Tokens).To(Equal(60))
		Expect(s.Total.EngineMS).To(BeNumerically(">", 0))
		Expect(s.Total.WastedEngineMS).To(BeZero())
	})

	It("streams the same text and ends the stream with [DONE]", func() {
		startEngine(Config{})
		want := chatResponse("r1", chat("hello", 10)).Choices[0].Message.Content
		c := chat("hello", 10)
		c.Stream = true
		status, body, err := postChat(context.Background(), "r1", c)
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(http.StatusOK))
		var text strings.Builder
		events := strings.Split(strings.TrimSpace(string(body)), "\n\n")
		Expect(events[len(events)-1]).To(Equal("data: [DONE]"))
		for _, line := range events[:len(events)-1] {
			var chunk ChatResponse
			Expect(json.Unmarshal([]byte(strings.TrimPrefix(line, "data: ")), &chunk)).To(Succeed())
			Expect(chunk.RequestID).To(Equal("r1"))
			text.WriteString(chunk.Choices[0].Delta.Content)
		}
		Expect(text.String()).To(Equal(want))
	})

	It("frees the slot of a cancelled stream and counts its engine time as wasted", func() {
		startEngine(Config{Slots: 1, OutputMedian: unboundedTokens, KVBlocks: unboundedTokens})
		ctx, cancel := context.WithCancel(context.Background())
		c := chat("hello", unboundedTokens)
		c.Stream = true
		resp, err := post(ctx, "/v1/chat/completions", "r1", c)
		Expect(err).NotTo(HaveOccurred())
		_, err = bufio.NewReader(resp.Body).ReadString('\n')
		Expect(err).NotTo(HaveOccurred())
		cancel()
		resp.Body.Close()
		Expect(chatResponse("r2", chat("next", 3)).RequestID).To(Equal("r2"))
		s := e.Ledger().Summary()
		Expect(s.Total.Cancelled).To(Equal(1))
		Expect(s.Total.WastedEngineMS).To(BeNumerically(">", 0))
	})

	It("refuses requests without executing them when the queue is full", func() {
		startEngine(Config{Slots: 1, Queue: 1, OutputMedian: unboundedTokens, KVBlocks: unboundedTokens})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		postChatAsync(ctx, "r1", chat("a", unboundedTokens))
		Eventually(func() int { return load().Running }).Should(Equal(1))
		postChatAsync(ctx, "r2", chat("b", unboundedTokens))
		Eventually(func() int { return load().Queued }).Should(Equal(1))
		resp, err := post(ctx, "/v1/chat/completions", "r3", chat("c", 1))
		Expect(err).NotTo(HaveOccurred())
		resp.Body.Close()
		Expect(resp.StatusCode).To(Equal(http.StatusTooManyRequests))
		Expect(resp.Header.Get(standin.HeaderNotExecuted)).To(Equal("true"))
		Expect(e.Ledger().Entries()).To(HaveLen(2))
	})

	It("aborts running requests when it goes down", func() {
		startEngine(Config{OutputMedian: unboundedTokens, KVBlocks: unboundedTokens})
		ended := postChatAsync(context.Background(), "r1", chat("a", unboundedTokens))
		Eventually(func() int { return load().Running }).Should(Equal(1))
		e.Faults().Set(standin.Faults{Down: true})
		Eventually(ended, 10*time.Second).Should(Receive(HaveOccurred()))
		Eventually(func() int { return e.Ledger().Summary().Total.Failed }).Should(Equal(1))
	})

	It("reports its load after the lag", func() {
		startEngine(Config{LoadLag: time.Hour, OutputMedian: unboundedTokens, KVBlocks: unboundedTokens})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		postChatAsync(ctx, "r1", chat("a", unboundedTokens))
		Eventually(func() int {
			e.mu.Lock()
			defer e.mu.Unlock()
			return e.batch.load().Running
		}).Should(Equal(1))
		Expect(load().Running).To(Equal(0))
		Eventually(func() int { return e.loadReporter.Report(time.Now().Add(2 * time.Hour)).Running }).Should(Equal(1))
	})

	It("ends a failed stream without [DONE]", func() {
		startEngine(Config{})
		e.Faults().Set(standin.Faults{FailRate: 1})
		c := chat("hello", 3)
		c.Stream = true
		_, body, err := postChat(context.Background(), "r1", c)
		Expect(err).To(HaveOccurred())
		Expect(string(body)).NotTo(ContainSubstring("[DONE]"))
		Expect(e.Ledger().Entries()[0].State).To(Equal(ledger.Failed))
	})
})
