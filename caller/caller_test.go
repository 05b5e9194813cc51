package caller

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/core/request"
	"github.com/wheatseam/wheatseam/problem"
)

func TestCaller(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "caller")
}

// fakeBackend answers every submission with its own input.
type fakeBackend struct {
	bundle       *bundle.Bundle
	refusal      *problem.Error
	tokens       []string
	submissions  []Submission
	refusedKinds []problem.Kind
	// tokensRead is closed once the caller has read a token. If it is set, Serve
	// waits for it before it returns the answer.
	tokensRead chan struct{}
	// served counts the calls of Serve that have returned.
	served atomic.Int32
	// draining makes the backend refuse every request. canVoidKey is the result
	// of VoidKey.
	draining, canVoidKey bool
}

func (b *fakeBackend) Bundle() *bundle.Bundle { return b.bundle }
func (b *fakeBackend) CheckAdmission() *problem.Error {
	if b.draining {
		return problem.New(problem.Draining, "leaving")
	}
	return nil
}
func (b *fakeBackend) VoidKey(context.Context, Submission) bool { return b.canVoidKey }
func (b *fakeBackend) NewRequestID() string                     { return "h1.id" }
func (b *fakeBackend) Now() time.Time                           { return time.Now() }
func (b *fakeBackend) RecordRefusal(_ string, e *problem.Error) {
	b.refusedKinds = append(b.refusedKinds, e.Kind)
}
func (b *fakeBackend) Serve(_ context.Context, s Submission, sink Sink) (*request.Answer, *problem.Error) {
	defer b.served.Add(1)
	b.submissions = append(b.submissions, s)
	for _, t := range b.tokens {
		if t == "" {
			sink.Reset()
			continue
		}
		sink.Token(t)
	}
	if b.tokensRead != nil {
		sink.Flush()
		<-b.tokensRead
	}
	if b.refusal != nil {
		return nil, b.refusal
	}
	return &request.Answer{RequestID: s.RequestID, Pipeline: s.Pipeline.Name, Result: s.Input}, nil
}

func testBundle() *bundle.Bundle {
	sum := sha256.Sum256([]byte("secret"))
	return &bundle.Bundle{
		Claims: bundle.ClaimPolicy{Retention: time.Minute, MaxKeyAhead: time.Second},
		Pipelines: []bundle.Pipeline{
			{Name: "summary", Deadline: 2 * time.Second, Stages: []bundle.Stage{{Name: "s"}}},
			{Name: "seal", Deadline: time.Second, Stages: []bundle.Stage{{Name: "s", NonRepeatable: true}}},
			{Name: "foreign", Deadline: time.Second},
		},
		Customers: []bundle.Customer{
			{Name: "other", KeyHashes: []string{strings.Repeat("0", 64)}},
			{Name: "firma", KeyHashes: []string{hex.EncodeToString(sum[:])}, Pipelines: []string{"summary", "seal"}},
		},
	}
}

func keyCreatedAt(t time.Time) string {
	id := uuid.Must(uuid.NewV7())
	ms := uint64(t.UnixMilli())
	for i := range 6 {
		id[i] = byte(ms >> (8 * (5 - i)))
	}
	return id.String()
}

var _ = Describe("Server", func() {
	var (
		backend *fakeBackend
		server  *httptest.Server
	)

	BeforeEach(func() {
		backend = &fakeBackend{bundle: testBundle()}
		server = httptest.NewServer(NewServer(Config{Backend: backend, MaxBodyBytes: 4096, WriteGrace: 10 * time.Millisecond}))
		DeferCleanup(server.Close)
	})

	send := func(path, body string, headers ...string) (*http.Response, string) {
		GinkgoHelper()
		req, err := http.NewRequest(http.MethodPost, server.URL+path, bytes.NewBufferString(body))
		Expect(err).NotTo(HaveOccurred())
		req.Header.Set("Authorization", "Bearer secret")
		for i := 0; i+1 < len(headers); i += 2 {
			req.Header.Set(headers[i], headers[i+1])
		}
		resp, err := http.DefaultClient.Do(req)
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		raw, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		return resp, string(raw)
	}

	It("serves a request for the customer that owns the API key", func() {
		resp, body := send("/v1/pipelines/summary", `{"input":{"text":"x"},"deadline_ms":500,"prefix":"p"}`)
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
		Expect(body).To(ContainSubstring(`"request_id":"h1.id"`))
		got := backend.submissions[0]
		Expect(got.Customer.Name).To(Equal("firma"))
		Expect(got.Prefix).To(Equal("p"))
		Expect(got.Deadline.Sub(got.Arrived)).To(Equal(500 * time.Millisecond))
	})

	It("accepts a request on a connection after the write deadline of the previous request", func() {
		send("/v1/pipelines/summary", `{"input":1,"deadline_ms":1}`)
		time.Sleep(50 * time.Millisecond)
		resp, _ := send("/v1/pipelines/x", `{"input":1}`)
		Expect(resp.StatusCode).To(Equal(http.StatusNotFound))
	})

	It("limits the deadline to that of the pipeline", func() {
		send("/v1/pipelines/summary", `{"input":1,"deadline_ms":99999}`)
		Expect(backend.submissions[0].Deadline.Sub(backend.submissions[0].Arrived)).To(Equal(2 * time.Second))
	})

	DescribeTable("refuses", func(path, body string, kind problem.Kind, x problem.Execution, headers ...string) {
		resp, text := send(path, body, headers...)
		var d problemDocument
		Expect(json.Unmarshal([]byte(text), &d)).To(Succeed())
		Expect(d.Kind).To(Equal(kind))
		Expect(d.Execution).To(Equal(x))
		Expect(resp.StatusCode).To(Equal(problem.Lookup(kind).Status))
		Expect(resp.Header.Get("Content-Type")).To(Equal("application/problem+json"))
		Expect(backend.submissions).To(BeEmpty())
		Expect(backend.refusedKinds).To(Equal([]problem.Kind{kind}))
	},
		Entry("an unknown path", "/v2/x", `{}`, problem.NotFound, problem.NotRun),
		Entry("an unknown pipeline", "/v1/pipelines/x", `{"input":1}`, problem.UnknownPipeline, problem.NotRun),
		Entry("another customer's pipeline", "/v1/pipelines/foreign", `{"input":1}`, problem.Forbidden, problem.NotRun),
		Entry("an unknown API key", "/v1/pipelines/summary", `{"input":1}`, problem.Unauthorized, problem.NotRun, "Authorization", "Bearer x"),
		Entry("no API key", "/v1/pipelines/summary", `{"input":1}`, problem.Unauthorized, problem.NotRun, "Authorization", "Basic x"),
		Entry("a body that is not JSON", "/v1/pipelines/summary", `{"input":`, problem.BadRequest, problem.NotRun),
		Entry("no input", "/v1/pipelines/summary", `{}`, problem.BadRequest, problem.NotRun),
		Entry("a negative deadline", "/v1/pipelines/summary", `{"input":1,"deadline_ms":-1}`, problem.BadRequest, problem.NotRun),
		Entry("a body over the size limit", "/v1/pipelines/summary", `{"input":"`+strings.Repeat("x", 5000)+`"}`, problem.TooLarge, problem.NotRun),
		Entry("no idempotency key", "/v1/pipelines/seal", `{"input":1}`, problem.KeyRequired, problem.NotRun),
		Entry("an idempotency key that is not a UUIDv7", "/v1/pipelines/seal", `{"input":1}`, problem.KeyInvalid, problem.NotRun,
			"Idempotency-Key", uuid.New().String()),
		Entry("an idempotency key with a timestamp in the future", "/v1/pipelines/seal", `{"input":1}`, problem.KeyInvalid, problem.NotRun,
			"Idempotency-Key", keyCreatedAt(time.Now().Add(time.Minute))),
		Entry("an idempotency key older than the retention of claims", "/v1/pipelines/seal", `{"input":1}`, problem.KeyExpired, problem.MayHaveRun,
			"Idempotency-Key", keyCreatedAt(time.Now().Add(-2*time.Minute))),
	)

	DescribeTable("reports not_run while draining only if no earlier request with the key can run",
		func(path string, canVoidKey bool, want problem.Execution) {
			backend.draining, backend.canVoidKey = true, canVoidKey
			_, text := send(path, `{"input":1}`, "Idempotency-Key", keyCreatedAt(time.Now()))
			Expect(text).To(ContainSubstring(`"execution":"` + string(want) + `"`))
			Expect(text).To(ContainSubstring(`"kind":"draining"`))
		},
		Entry("key voided", "/v1/pipelines/seal", true, problem.NotRun),
		Entry("key not voided", "/v1/pipelines/seal", false, problem.MayHaveRun),
		Entry("repeatable pipeline", "/v1/pipelines/summary", false, problem.NotRun),
	)

	It("reports may_have_run for a malformed retry, since an earlier request with its key may have run", func() {
		_, text := send("/v1/pipelines/seal", `{"input":`, "Idempotency-Key", keyCreatedAt(time.Now()))
		Expect(text).To(ContainSubstring(`"execution":"may_have_run"`))
	})

	It("sends Retry-After in whole seconds and in milliseconds", func() {
		backend.refusal = problem.New(problem.Overloaded, "full")
		backend.refusal.RetryAfter = 1200 * time.Millisecond
		resp, text := send("/v1/pipelines/summary", `{"input":1}`)
		Expect(resp.Header.Get("Retry-After")).To(Equal("2"))
		Expect(text).To(ContainSubstring(`"retry_after_ms":1200`))
	})

	It("refuses requests as not ready without a bundle", func() {
		backend.bundle = nil
		resp, _ := send("/v1/pipelines/summary", `{"input":1}`)
		Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(resp.Header.Get("Retry-After")).To(Equal("1"))
	})

	Describe("a stream", func() {
		const body = `{"input":1,"stream":true}`

		It("ends with the complete answer", func() {
			backend.tokens = []string{"a", "", "b"}
			_, text := send("/v1/pipelines/summary", body)
			Expect(text).To(HavePrefix("event: token\ndata: {\"text\":\"a\"}\n\nevent: reset\n"))
			Expect(text).To(ContainSubstring("event: done\ndata: {\"request_id\":\"h1.id\""))
		})

		It("delivers tokens before the answer", func(ctx SpecContext) {
			backend.tokens = []string{"a"}
			backend.tokensRead = make(chan struct{})
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL+"/v1/pipelines/summary", strings.NewReader(body))
			Expect(err).NotTo(HaveOccurred())
			req.Header.Set("Authorization", "Bearer secret")
			resp, err := http.DefaultClient.Do(req)
			Expect(err).NotTo(HaveOccurred())
			defer resp.Body.Close()
			first := make([]byte, len("event: token"))
			_, err = io.ReadFull(resp.Body, first)
			close(backend.tokensRead)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(first)).To(Equal("event: token"))
		}, SpecTimeout(5*time.Second))

		It("ends with an error event when the request fails after a token", func() {
			backend.tokens = []string{"a"}
			backend.refusal = problem.New(problem.UpstreamFailed, "cut")
			_, text := send("/v1/pipelines/summary", body)
			Expect(text).To(ContainSubstring("event: error\ndata: {\"type\""))
			Expect(text).NotTo(ContainSubstring("event: done"))
		})

		It("is aborted when the caller does not read it", func() {
			backend.tokens = make([]string, 64)
			for i := range backend.tokens {
				backend.tokens[i] = strings.Repeat("x", 1<<20)
			}
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(conn.Close)
			const body = `{"input":1,"stream":true,"deadline_ms":50}`
			_, err = fmt.Fprintf(conn, "POST /v1/pipelines/summary HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer secret\r\n"+
				"Content-Length: %d\r\n\r\n%s", len(body), body)
			Expect(err).NotTo(HaveOccurred())
			Eventually(backend.served.Load, 10*time.Second).Should(BeEquivalentTo(1))
		})

		It("returns a problem document with its HTTP status if it fails before the first token", func() {
			backend.refusal = problem.New(problem.Overloaded, "full")
			resp, _ := send("/v1/pipelines/summary", body)
			Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
		})
	})
})
