package service

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/internal/httpbody"
)

func TestService(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "service")
}

var _ = Describe("Client", func() {
	now := time.Now()
	client := NewClient(4, func() time.Time { return now })

	do := func(address string, notAfter time.Time) (json.RawMessage, *Error) {
		out, err := client.Do(context.Background(), Call{
			Address: address, Path: "/v1/seal", RequestID: "r", Attempt: 2, IdempotencyKey: "k",
			Input: json.RawMessage(`1`), NotAfter: notAfter,
		})
		if err == nil {
			return out, nil
		}
		e, ok := err.(*Error)
		Expect(ok).To(BeTrue())
		return out, e
	}

	DescribeTable("classifies the responses of a service",
		func(status int, header, body string, wantErr, notExecuted, rejected bool) {
			var calls atomic.Int32
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				calls.Add(1)
				Expect(r.Header.Get("Idempotency-Key")).To(Equal("k"))
				w.Header().Set(httpbody.HeaderNotExecuted, header)
				w.WriteHeader(status)
				_, _ = w.Write([]byte(body))
			}))
			defer server.Close()
			out, err := do(strings.TrimPrefix(server.URL, "http://"), now.Add(time.Second))
			Expect(calls.Load()).To(BeEquivalentTo(1))
			Expect(err != nil).To(Equal(wantErr))
			if err == nil {
				Expect(out).To(MatchJSON(`"ok"`))
				return
			}
			Expect(err.NotExecuted).To(Equal(notExecuted))
			Expect(err.Rejected()).To(Equal(rejected))
		},
		Entry("a result", 200, "", `{"request_id":"r","attempt":2,"result":"ok"}`, false, false, false),
		Entry("a result of another request", 200, "", `{"request_id":"x","attempt":2,"result":"ok"}`, true, false, false),
		Entry("a result of another attempt", 200, "", `{"request_id":"r","attempt":1,"result":"ok"}`, true, false, false),
		Entry("a body that is not JSON", 200, "", `ok`, true, false, false),
		Entry("an internal server error", 500, "", `{}`, true, false, false),
		Entry("unavailable, marked as not executed", 503, "true", `{}`, true, true, false),
		Entry("unavailable, without the not-executed header", 503, "", `{}`, true, false, false),
		Entry("a conflict, which may have executed", 409, "", `{}`, true, false, false),
		Entry("a call rejected as invalid", 422, "", `{}`, true, false, true),
	)

	It("reports a call as not executed if the connection was refused", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address := l.Addr().String()
		Expect(l.Close()).To(Succeed())
		_, e := do(address, now.Add(time.Second))
		Expect(e.NotExecuted).To(BeTrue())
	})

	It("does not send after the deadline", func() {
		server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { Fail("sent") }))
		defer server.Close()
		_, e := do(strings.TrimPrefix(server.URL, "http://"), now)
		Expect(e.NotExecuted).To(BeTrue())
		Expect(e).To(MatchError(httpbody.ErrDeadlinePassed))
	})

	It("does not resend a call when a reused connection breaks", func() {
		var calls atomic.Int32
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if calls.Add(1) == 1 {
				_, _ = w.Write([]byte(`{"request_id":"r","attempt":2,"result":"ok"}`))
				return
			}
			conn, _, err := w.(http.Hijacker).Hijack()
			Expect(err).NotTo(HaveOccurred())
			_ = conn.Close()
		}))
		defer server.Close()
		address := strings.TrimPrefix(server.URL, "http://")
		_, err := do(address, now.Add(time.Second))
		Expect(err).To(BeNil())
		_, err = do(address, now.Add(time.Second))
		Expect(err.NotExecuted).To(BeFalse())
		Expect(calls.Load()).To(BeEquivalentTo(2))
	})
})
