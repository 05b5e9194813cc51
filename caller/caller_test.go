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

// backend answers every submission with its own text.
type backend struct {
	bundle  *bundle.Bundle
	refusal *problem.Error
	tokens  []string
	got     []Submission
	refused []problem.Kind
	// seen ends once the caller has seen the tokens before the answer.
	seen chan struct{}
	// served counts the ends of Serve.
	served atomic.Int32
	// draining refuses every request; voids says whether keys can be voided.
	draining, voids bool
}

func (b *backend) Bundle() *bundle.Bundle { return b.bundle }
func (b *backend) CheckAdmission() *problem.Error {
	if b.draining {
		return problem.New(problem.Draining, "leaving")
	}
	return nil
}
func (b *backend) VoidKey(context.Context, Submission) bool { return b.voids }
func (b *backend) NewRequestID() string                     { return "h1.id" }
func (b *backend) Now() time.Time                           { return time.Now() }
func (b *backend) RecordRefusal(_ string, e *problem.Error) { b.refused = append(b.refused, e.Kind) }
func (b *backend) Serve(_ context.Context, s Submission, sink Sink) (*request.Answer, *problem.Error) {
	defer b.served.Add(1)
	b.got = append(b.got, s)
	for _, t := range b.tokens {
		if t == "" {
			sink.Reset()
			continue
		}
		sink.Token(t)
	}
	if b.seen != nil {
		sink.Flush()
		<-b.seen
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

func keyAt(t time.Time) string {
	id := uuid.Must(uuid.NewV7())
	ms := uint64(t.UnixMilli())
	for i := range 6 {
		id[i] = byte(ms >> (8 * (5 - i)))
	}
	return id.String()
}

var _ = Describe("Server", func() {
	var (
		back   *backend
		server *httptest.Server
	)

	BeforeEach(func() {
		back = &backend{bundle: testBundle()}
		server = httptest.NewServer(NewServer(Config{Backend: back, MaxBodyBytes: 4096, WriteGrace: 10 * time.Millisecond}))
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

	It("serves a request as its key's customer", func() {
		resp, body := send("/v1/pipelines/summary", `{"input":{"text":"x"},"deadline_ms":500,"prefix":"p"}`)
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
		Expect(body).To(ContainSubstring(`"request_id":"h1.id"`))
		got := back.got[0]
		Expect(got.Customer.Name).To(Equal("firma"))
		Expect(got.Prefix).To(Equal("p"))
		Expect(got.Deadline.Sub(got.Arrived)).To(Equal(500 * time.Millisecond))
	})

	It("answers a later request on a connection whose last answer's time is over", func() {
		send("/v1/pipelines/summary", `{"input":1,"deadline_ms":1}`)
		time.Sleep(50 * time.Millisecond)
		resp, _ := send("/v1/pipelines/x", `{"input":1}`)
		Expect(resp.StatusCode).To(Equal(http.StatusNotFound))
	})

	It("bounds the deadline by the pipeline's", func() {
		send("/v1/pipelines/summary", `{"input":1,"deadline_ms":99999}`)
		Expect(back.got[0].Deadline.Sub(back.got[0].Arrived)).To(Equal(2 * time.Second))
	})

	DescribeTable("refuses", func(path, body string, kind problem.Kind, x problem.Execution, headers ...string) {
		resp, text := send(path, body, headers...)
		var d document
		Expect(json.Unmarshal([]byte(text), &d)).To(Succeed())
		Expect(d.Kind).To(Equal(kind))
		Expect(d.Execution).To(Equal(x))
		Expect(resp.StatusCode).To(Equal(problem.Lookup(kind).Status))
		Expect(resp.Header.Get("Content-Type")).To(Equal("application/problem+json"))
		Expect(back.got).To(BeEmpty())
		Expect(back.refused).To(Equal([]problem.Kind{kind}))
	},
		Entry("an unknown path", "/v2/x", `{}`, problem.NotFound, problem.NotRun),
		Entry("an unknown pipeline", "/v1/pipelines/x", `{"input":1}`, problem.UnknownPipeline, problem.NotRun),
		Entry("another customer's pipeline", "/v1/pipelines/foreign", `{"input":1}`, problem.Forbidden, problem.NotRun),
		Entry("an unknown key", "/v1/pipelines/summary", `{"input":1}`, problem.Unauthorized, problem.NotRun, "Authorization", "Bearer x"),
		Entry("no key", "/v1/pipelines/summary", `{"input":1}`, problem.Unauthorized, problem.NotRun, "Authorization", "Basic x"),
		Entry("no JSON", "/v1/pipelines/summary", `{"input":`, problem.BadRequest, problem.NotRun),
		Entry("no input", "/v1/pipelines/summary", `{}`, problem.BadRequest, problem.NotRun),
		Entry("a negative deadline", "/v1/pipelines/summary", `{"input":1,"deadline_ms":-1}`, problem.BadRequest, problem.NotRun),
		Entry("a large body", "/v1/pipelines/summary", `{"input":"`+strings.Repeat("x", 5000)+`"}`, problem.TooLarge, problem.NotRun),
		Entry("no idempotency key", "/v1/pipelines/seal", `{"input":1}`, problem.KeyRequired, problem.NotRun),
		Entry("a key that is no UUIDv7", "/v1/pipelines/seal", `{"input":1}`, problem.KeyInvalid, problem.NotRun,
			"Idempotency-Key", uuid.New().String()),
		Entry("a key of the future", "/v1/pipelines/seal", `{"input":1}`, problem.KeyInvalid, problem.NotRun,
			"Idempotency-Key", keyAt(time.Now().Add(time.Minute))),
		Entry("a key that holders have forgotten", "/v1/pipelines/seal", `{"input":1}`, problem.KeyExpired, problem.MayHaveRun,
			"Idempotency-Key", keyAt(time.Now().Add(-2*time.Minute))),
	)

	DescribeTable("says not_run to a key while it drains only if no earlier try can run",
		func(path string, voids bool, want problem.Execution) {
			back.draining, back.voids = true, voids
			_, text := send(path, `{"input":1}`, "Idempotency-Key", keyAt(time.Now()))
			Expect(text).To(ContainSubstring(`"execution":"` + string(want) + `"`))
			Expect(text).To(ContainSubstring(`"kind":"draining"`))
		},
		Entry("voided", "/v1/pipelines/seal", true, problem.NotRun),
		Entry("not voided", "/v1/pipelines/seal", false, problem.MayHaveRun),
		Entry("repeatable", "/v1/pipelines/summary", false, problem.NotRun),
	)

	It("does not say not_run to a malformed retry: the try before may have run", func() {
		_, text := send("/v1/pipelines/seal", `{"input":`, "Idempotency-Key", keyAt(time.Now()))
		Expect(text).To(ContainSubstring(`"execution":"may_have_run"`))
	})

	It("tells a caller when to come back", func() {
		back.refusal = problem.New(problem.Overloaded, "full")
		back.refusal.RetryAfter = 1200 * time.Millisecond
		resp, text := send("/v1/pipelines/summary", `{"input":1}`)
		Expect(resp.Header.Get("Retry-After")).To(Equal("2"))
		Expect(text).To(ContainSubstring(`"retry_after_ms":1200`))
	})

	It("is not ready without a bundle", func() {
		back.bundle = nil
		resp, _ := send("/v1/pipelines/summary", `{"input":1}`)
		Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(resp.Header.Get("Retry-After")).To(Equal("1"))
	})

	Describe("a stream", func() {
		const body = `{"input":1,"stream":true}`

		It("ends with the whole answer", func() {
			back.tokens = []string{"a", "", "b"}
			_, text := send("/v1/pipelines/summary", body)
			Expect(text).To(HavePrefix("event: token\ndata: {\"text\":\"a\"}\n\nevent: reset\n"))
			Expect(text).To(ContainSubstring("event: done\ndata: {\"request_id\":\"h1.id\""))
		})

		It("shows its tokens before the answer", func(ctx SpecContext) {
			back.tokens = []string{"a"}
			back.seen = make(chan struct{})
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL+"/v1/pipelines/summary", strings.NewReader(body))
			Expect(err).NotTo(HaveOccurred())
			req.Header.Set("Authorization", "Bearer secret")
			resp, err := http.DefaultClient.Do(req)
			Expect(err).NotTo(HaveOccurred())
			defer resp.Body.Close()
			first := make([]byte, len("event: token"))
			_, err = io.ReadFull(resp.Body, first)
			close(back.seen)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(first)).To(Equal("event: token"))
		}, SpecTimeout(5*time.Second))

		It("ends with the refusal when it is given up", func() {
			back.tokens = []string{"a"}
			back.refusal = problem.New(problem.UpstreamFailed, "cut")
			_, text := send("/v1/pipelines/summary", body)
			Expect(text).To(ContainSubstring("event: error\ndata: {\"type\""))
			Expect(text).NotTo(ContainSubstring("event: done"))
		})

		It("is cut when its caller does not read it", func() {
			back.tokens = make([]string, 64)
			for i := range back.tokens {
				back.tokens[i] = strings.Repeat("x", 1<<20)
			}
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(conn.Close)
			const body = `{"input":1,"stream":true,"deadline_ms":50}`
			_, err = fmt.Fprintf(conn, "POST /v1/pipelines/summary HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer secret\r\n"+
				"Content-Length: %d\r\n\r\n%s", len(body), body)
			Expect(err).NotTo(HaveOccurred())
			Eventually(back.served.Load, 10*time.Second).Should(BeEquivalentTo(1))
		})

		It("is a plain refusal before its first token", func() {
			back.refusal = problem.New(problem.Overloaded, "full")
			resp, _ := send("/v1/pipelines/summary", body)
			Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
		})
	})
})
