package replica_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/stage"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/internal/faultrelay"
	"github.com/wheatseam/wheatseam/replica"
)

func TestReplica(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "replica")
}

// server counts the connections and the calls of a stand-in of a replica.
type server struct {
	*httptest.Server
	connections, calls atomic.Int64
}

func serve(handler http.HandlerFunc) *server {
	s := &server{}
	s.Server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.calls.Add(1)
		handler(w, r)
	}))
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			s.connections.Add(1)
		}
	}
	s.Start()
	DeferCleanup(s.Close)
	return s
}

func (s *server) address() string { return s.Listener.Addr().String() }

var _ = Describe("giving results up", func() {
	free := func(s *server) error {
		return replica.NewClient(nil).ReleaseResults(context.Background(), stage.Release{Replica: "r", Address: s.address(), Handles: []string{"h"}})
	}

	It("takes one connection for call after call", func() {
		s := serve(func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) })
		c := replica.NewClient(nil)
		for range 5 {
			Expect(c.ReleaseResults(context.Background(), stage.Release{Replica: "r", Address: s.address(), Handles: []string{"h"}})).To(Succeed())
		}
		Expect(s.calls.Load()).To(Equal(int64(5)))
		Expect(s.connections.Load()).To(Equal(int64(1)))
	})

	It("is tried once more when the connection breaks", func() {
		var failed atomic.Bool
		s := serve(func(http.ResponseWriter, *http.Request) {
			if failed.CompareAndSwap(false, true) {
				panic(http.ErrAbortHandler)
			}
		})
		Expect(free(s)).To(Succeed())
		Expect(s.calls.Load()).To(Equal(int64(2)))
	})

	It("is tried on a new connection when the kept one has gone silent", func() {
		s := serve(func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) })
		relay, err := faultrelay.New(faultrelay.Config{Target: s.address()})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(relay.Close)
		c := replica.NewClient(nil)
		results := stage.Release{Replica: "r", Address: relay.Address(), Handles: []string{"h"}}
		Expect(c.ReleaseResults(context.Background(), results)).To(Succeed())
		Expect(relay.Silence()).To(Equal(1))
		bound, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		Expect(c.ReleaseResults(bound, results)).To(Succeed())
	})

	It("is not tried once more when this host slept until after the answer had come", func() {
		for range 10 {
			s := serve(func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				clock.Simulate(500 * time.Millisecond)
			})
			Expect(free(s)).To(Succeed())
			Expect(s.calls.Load()).To(Equal(int64(1)))
		}
	})

	It("fails when both tries do, and ends with its context", func() {
		s := serve(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
		Expect(free(s)).NotTo(Succeed())
		Expect(s.calls.Load()).To(Equal(int64(2)))
		silent := serve(func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body) // or the server does not notice that the caller leaves
			<-r.Context().Done()
		})
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		err := replica.NewClient(nil).ReleaseResults(ctx, stage.Release{Replica: "r", Address: silent.address(), Handles: []string{"h"}})
		Expect(err).To(MatchError(context.DeadlineExceeded))
		Expect(silent.calls.Load()).To(Equal(int64(1)))
	})
})

var _ = Describe("asking for room", func() {
	ask := func(answer http.HandlerFunc) (stage.FreeMemory, error) {
		s := serve(answer)
		return replica.NewClient(nil).FreeMemory(context.Background(), stage.QueryMemory{Replica: "r@7", Address: s.address()})
	}

	It("is answered in whole megabytes, which bound the bytes", func() {
		room, err := ask(func(w http.ResponseWriter, r *http.Request) {
			Expect(r.Method + " " + r.URL.Path).To(Equal("GET /-/report"))
			Expect(r.Header.Get("Expected-Replica")).To(Equal("r"))
			_, _ = io.WriteString(w, `{"queued":1,"busy":1,"free_mb":3}`)
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(room).To(Equal(stage.FreeMemory{Min: 3_000_000, Max: 4_000_000}))
	})

	DescribeTable("fails without an answer", func(status int, body string) {
		_, err := ask(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = io.WriteString(w, body)
		})
		Expect(err).To(HaveOccurred())
	},
		Entry("another replica", http.StatusMisdirectedRequest, ""), Entry("no room told", http.StatusOK, `{"queued":1}`),
		Entry("less than none", http.StatusOK, `{"free_mb":-1}`),
		Entry("room as text", http.StatusOK, `{"free_mb":"1"}`), Entry("no JSON", http.StatusOK, `{`),
	)
})

var _ = Describe("calls for pieces", func() {
	It("have a connection each", func() {
		s := serve(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, `{"entries":[{"handle":"h"}]}`) })
		c := replica.NewClient(nil)
		run := stage.Run{Replica: "r", Address: s.address(), Timeout: time.Second, Pieces: []stage.Piece{{Job: "j", Key: "k"}}}
		for range 3 {
			results, outcome, err := c.RunPieces(context.Background(), run)
			Expect(err).NotTo(HaveOccurred())
			Expect(outcome).To(Equal(stage.CallAnswered))
			Expect(results).To(Equal([]stage.Result{{Handle: "h"}}))
		}
		Expect(s.connections.Load()).To(Equal(int64(3)))
	})

	It("are not executed when the replica says so, and unreachable when there is none", func() {
		s := serve(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		run := stage.Run{Replica: "r", Address: s.address(), Timeout: time.Second, Pieces: []stage.Piece{{Job: "j", Key: "k"}}}
		_, outcome, err := replica.NewClient(nil).RunPieces(context.Background(), run)
		Expect(err).To(HaveOccurred())
		Expect(outcome).To(Equal(stage.CallNotExecuted))
		s.Close()
		_, outcome, err = replica.NewClient(nil).RunPieces(context.Background(), run)
		Expect(err).To(HaveOccurred())
		Expect(outcome).To(Equal(stage.CallUnreachable))
	})
})
