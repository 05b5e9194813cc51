package replica_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/internal/httpbody"
	"github.com/wheatseam/wheatseam/platform"
	"github.com/wheatseam/wheatseam/replica"
)

var _ = Describe("fetching an engine's report", func() {
	fetchReport := func(address string, timeout time.Duration) (platform.EngineReport, error) {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		return replica.NewClient(nil, nil).EngineReport(ctx, "r", address)
	}

	It("returns the runs", func() {
		s := serve(func(w http.ResponseWriter, r *http.Request) {
			Expect(r.Method + " " + r.URL.Path).To(Equal("GET /-/report"))
			Expect(r.Header.Get("Expected-Replica")).To(Equal("r"))
			_, _ = io.WriteString(w, `{"queued":1,"runs":[["a",10,3,5]]}`)
		})
		Expect(fetchReport(s.address(), time.Second)).To(Equal(platform.EngineReport{HasRuns: true, Queued: 1, EventsByRequest: map[string]int{"a": 3}}))
	})

	DescribeTable("distinguishes an engine with an unexpected response from one that does not respond", func(handler http.HandlerFunc, want error) {
		_, err := fetchReport(serve(handler).address(), 200*time.Millisecond)
		Expect(err).To(MatchError(want))
	},
		Entry("reports not supported", http.HandlerFunc(http.NotFound), replica.ErrUnsupportedCall),
		Entry("connection reset", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, replica.ErrUnsupportedCall),
		Entry("another replica", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) }, replica.ErrMisdirected),
		Entry("no response", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, context.DeadlineExceeded),
	)

	It("reads a report with neither a length nor chunks", func() {
		s := serve(func(w http.ResponseWriter, _ *http.Request) {
			conn, buf, err := w.(http.Hijacker).Hijack()
			Expect(err).NotTo(HaveOccurred())
			defer conn.Close()
			_, _ = buf.WriteString("HTTP/1.1 200 OK\r\n\r\n" + `{"queued":1,"runs":[["a",10,3,5]]}`)
			_ = buf.Flush()
		})
		Expect(fetchReport(s.address(), time.Second)).To(Equal(platform.EngineReport{HasRuns: true, Queued: 1, EventsByRequest: map[string]int{"a": 3}}))
	})

	It("fails when the connection is refused", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(l.Close()).To(Succeed())
		_, err = fetchReport(l.Addr().String(), time.Second)
		Expect(err).To(HaveOccurred())
		Expect(err).NotTo(MatchError(replica.ErrUnsupportedCall))
	})
})

// Guards against lists of other processes, and unbounded ones, that are taken for an engine's list
// of cached parts.
var _ = Describe("fetching an engine's cached parts", func() {
	fetch := func(address string) (platform.CachedParts, error) {
		ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
		defer cancel()
		return replica.NewClient(nil, nil).CachedParts(ctx, "r@17", address)
	}

	It("returns the parts", func() {
		s := serve(func(w http.ResponseWriter, r *http.Request) {
			Expect(r.Method + " " + r.URL.Path).To(Equal("GET /-/kv-list"))
			Expect(r.Header.Get("Expected-Replica")).To(Equal("r"))
			_, _ = io.WriteString(w, `{"epoch":3,"next":1,"held":[["","a",10,"m"]]}`)
		})
		Expect(fetch(s.address())).To(Equal(platform.CachedParts{Epoch: "3", TokensByPart: map[string]int{"a": 10}}))
	})

	DescribeTable("fails", func(handler http.HandlerFunc, want error) {
		_, err := fetch(serve(handler).address())
		Expect(err).To(MatchError(want))
	},
		Entry("not supported", http.HandlerFunc(http.NotFound), replica.ErrUnsupportedCall),
		Entry("connection reset", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, replica.ErrUnsupportedCall),
		Entry("another replica", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) }, replica.ErrMisdirected),
		Entry("no response", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, context.DeadlineExceeded),
		Entry("no list", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, `{}`) }, platform.ErrMalformed),
		Entry("more bytes than a list may have", func(w http.ResponseWriter, r *http.Request) {
			for r.Context().Err() == nil {
				if _, err := w.Write(make([]byte, 1<<16)); err != nil {
					return
				}
			}
		}, httpbody.ErrTooLarge),
	)
})

var _ = Describe("stopping a run at an engine", func() {
	const handle = `{"handle":"c1","made":4}`
	stop := func(s *server) (replica.RunCopy, error) {
		return replica.NewClient(nil, nil).StopRun(context.Background(), "r", s.address(), "q1", "10.0.0.2:80")
	}

	It("returns the copy, which is released by its handle", func() {
		var calls []string
		s := serve(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			calls = append(calls, r.Method+" "+r.URL.Path+" "+r.Header.Get("Attempt-Id")+string(body))
			_, _ = io.WriteString(w, handle)
		})
		Expect(stop(s)).To(Equal(replica.RunCopy{Handle: "c1", Copied: true}))
		Expect(replica.NewClient(nil, nil).ReleaseCopy(context.Background(), "r", s.address(), "c1")).To(Succeed())
		Expect(calls).To(Equal([]string{`POST /-/kv-move {"id":"q1","destination":"10.0.0.2:80","last":true}`, `DELETE /-/kv-handle/c1 `}))
	})

	It("says that the run has stopped although there was no room for the copy", func() {
		s := serve(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = io.WriteString(w, handle)
		})
		Expect(stop(s)).To(Equal(replica.RunCopy{Handle: "c1"}))
	})

	DescribeTable("the run may go on after", func(status int, body string, want error) {
		s := serve(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = io.WriteString(w, body)
		})
		_, err := stop(s)
		Expect(err).To(MatchError(want))
	},
		Entry("a refusal without a handle", http.StatusServiceUnavailable, `{}`, replica.ErrUnsupportedCall),
		Entry("a refusal that is no JSON", http.StatusServiceUnavailable, `full`, replica.ErrUnsupportedCall),
		Entry("another call in progress", http.StatusConflict, handle, replica.ErrUnsupportedCall),
		Entry("no such run", http.StatusNotFound, ``, replica.ErrNoSuchRun),
	)
})

var _ = Describe("reserving capacity at an engine", func() {
	reserve := func(s *server) (string, error) {
		return replica.NewClient(nil, nil).Reserve(context.Background(), "r", s.address(), 1460, time.Second)
	}

	It("returns the reservation's id, with which it is released", func() {
		var calls []string
		s := serve(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			calls = append(calls, r.Method+" "+r.URL.Path+" "+string(body))
			_, _ = io.WriteString(w, `{"hold":"h7"}`)
		})
		Expect(reserve(s)).To(Equal("h7"))
		Expect(replica.NewClient(nil, nil).ReleaseReservation(context.Background(), "r", s.address(), "h7")).To(Succeed())
		Expect(calls).To(Equal([]string{`POST /-/hold-take {"token_count":1460,"ttl_ms":1000}`, `DELETE /-/hold-drop/h7 `}))
	})

	DescribeTable("returns the reason when it fails", func(status int, want error) {
		_, err := reserve(serve(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
		Expect(err).To(MatchError(want))
	},
		Entry("no capacity", http.StatusServiceUnavailable, replica.ErrNoCapacity),
		Entry("too many calls", http.StatusTooManyRequests, replica.ErrNoCapacity),
		Entry("not supported", http.StatusNotFound, replica.ErrUnsupportedCall),
		Entry("another replica", http.StatusMisdirectedRequest, replica.ErrMisdirected),
	)
})
