package replica_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/platform"
	"github.com/wheatseam/wheatseam/replica"
)

var _ = Describe("asking an engine for its runs", func() {
	ask := func(address string, within time.Duration) (platform.EngineReport, error) {
		ctx, cancel := context.WithTimeout(context.Background(), within)
		defer cancel()
		return replica.NewClient(nil).EngineReport(ctx, "r", address)
	}

	It("returns them", func() {
		s := serve(func(w http.ResponseWriter, r *http.Request) {
			Expect(r.Method + " " + r.URL.Path).To(Equal("GET /-/report"))
			Expect(r.Header.Get("Expected-Replica")).To(Equal("r"))
			_, _ = io.WriteString(w, `{"queued":1,"runs":[["a",10,3,5]]}`)
		})
		Expect(ask(s.address(), time.Second)).To(Equal(platform.EngineReport{HasRuns: true, Queued: 1, EventsByRequest: map[string]int{"a": 3}}))
	})

	DescribeTable("tells an engine that answers otherwise from one that does not answer", func(handler http.HandlerFunc, want error) {
		_, err := ask(serve(handler).address(), 200*time.Millisecond)
		Expect(err).To(MatchError(want))
	},
		Entry("which serves no reports", http.HandlerFunc(http.NotFound), replica.ErrUnsupportedCall),
		Entry("which resets the connection", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, replica.ErrUnsupportedCall),
		Entry("which is another replica", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) }, replica.ErrOtherReplica),
		Entry("which hangs", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, context.DeadlineExceeded),
	)

	It("fails where nobody listens", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(l.Close()).To(Succeed())
		_, err = ask(l.Addr().String(), time.Second)
		Expect(err).To(HaveOccurred())
		Expect(err).NotTo(MatchError(replica.ErrUnsupportedCall))
	})
})

var _ = Describe("holding a place at an engine", func() {
	hold := func(s *server) (string, error) {
		return replica.NewClient(nil).Reserve(context.Background(), "r", s.address(), 1460, time.Second)
	}

	It("returns its name, and gives it back", func() {
		var calls []string
		s := serve(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			calls = append(calls, r.Method+" "+r.URL.Path+" "+string(body))
			_, _ = io.WriteString(w, `{"hold":"h7"}`)
		})
		Expect(hold(s)).To(Equal("h7"))
		Expect(replica.NewClient(nil).ReleaseReservation(context.Background(), "r", s.address(), "h7")).To(Succeed())
		Expect(calls).To(Equal([]string{`POST /-/hold-take {"token_count":1460,"ttl_ms":1000}`, `DELETE /-/hold-drop/h7 `}))
	})

	DescribeTable("says why there is none", func(status int, want error) {
		_, err := hold(serve(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
		Expect(err).To(MatchError(want))
	},
		Entry("no room", http.StatusServiceUnavailable, replica.ErrNoCapacity),
		Entry("too many calls", http.StatusTooManyRequests, replica.ErrNoCapacity),
		Entry("not served", http.StatusNotFound, replica.ErrUnsupportedCall),
		Entry("another replica", http.StatusMisdirectedRequest, replica.ErrOtherReplica),
	)
})
