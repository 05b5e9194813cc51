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

// server is a fake replica that counts its connections and calls.
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

var _ = Describe("releasing results", func() {
	release := func(s *server) error {
		return replica.NewClient(nil, nil).ReleaseResults(context.Background(), stage.Release{Replica: "r", Address: s.address(), Handles: []string{"h"}})
	}

	It("reuses one connection for successive calls", func() {
		s := serve(func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) })
		c := replica.NewClient(nil, nil)
		for range 5 {
			Expect(c.ReleaseResults(context.Background(), stage.Release{Replica: "r", Address: s.address(), Handles: []string{"h"}})).To(Succeed())
		}
		Expect(s.calls.Load()).To(Equal(int64(5)))
		Expect(s.connections.Load()).To(Equal(int64(1)))
	})

	It("is retried once when the connection breaks", func() {
		var failed atomic.Bool
		s := serve(func(http.ResponseWriter, *http.Request) {
			if failed.CompareAndSwap(false, true) {
				panic(http.ErrAbortHandler)
			}
		})
		Expect(release(s)).To(Succeed())
		Expect(s.calls.Load()).To(Equal(int64(2)))
	})

	It("is retried on a new connection when the pooled one stops delivering packets", func() {
		s := serve(func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) })
		relay, err := faultrelay.New(faultrelay.Config{Target: s.address()})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(relay.Close)
		c := replica.NewClient(nil, nil)
		request := stage.Release{Replica: "r", Address: relay.Address(), Handles: []string{"h"}}
		Expect(c.ReleaseResults(context.Background(), request)).To(Succeed())
		Expect(relay.BlackholeOpenConnections()).To(Equal(1))
		boundedCtx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		Expect(c.ReleaseResults(boundedCtx, request)).To(Succeed())
	})

	It("is not retried when this host was suspended until after the response had arrived", func() {
		for range 10 {
			s := serve(func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				clock.SimulateSuspension(500 * time.Millisecond)
			})
			Expect(release(s)).To(Succeed())
			Expect(s.calls.Load()).To(Equal(int64(1)))
		}
	})

	It("fails when both attempts fail, and ends with its context", func() {
		s := serve(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
		Expect(release(s)).NotTo(Succeed())
		Expect(s.calls.Load()).To(Equal(int64(2)))
		silent := serve(func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body) // the server detects a disconnect only after reading the body
			<-r.Context().Done()
		})
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		err := replica.NewClient(nil, nil).ReleaseResults(ctx, stage.Release{Replica: "r", Address: silent.address(), Handles: []string{"h"}})
		Expect(err).To(MatchError(context.DeadlineExceeded))
		Expect(silent.calls.Load()).To(Equal(int64(1)))
	})
})

var _ = Describe("querying free memory", func() {
	fetchFreeMemory := func(handler http.HandlerFunc) (stage.FreeMemory, error) {
		s := serve(handler)
		return replica.NewClient(nil, nil).FreeMemory(context.Background(), stage.QueryMemory{Replica: "r@7", Address: s.address()})
	}

	It("returns bounds in bytes for a report in whole megabytes", func() {
		freeMemory, err := fetchFreeMemory(func(w http.ResponseWriter, r *http.Request) {
			Expect(r.Method + " " + r.URL.Path).To(Equal("GET /-/report"))
			Expect(r.Header.Get("Expected-Replica")).To(Equal("r"))
			_, _ = io.WriteString(w, `{"queued":1,"busy":1,"free_mb":3}`)
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(freeMemory).To(Equal(stage.FreeMemory{Min: 3_000_000, Max: 4_000_000}))
	})

	DescribeTable("fails without a valid report", func(status int, body string) {
		_, err := fetchFreeMemory(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = io.WriteString(w, body)
		})
		Expect(err).To(HaveOccurred())
	},
		Entry("another replica", http.StatusMisdirectedRequest, ""), Entry("no free_mb", http.StatusOK, `{"queued":1}`),
		Entry("negative free_mb", http.StatusOK, `{"free_mb":-1}`),
		Entry("free_mb as a string", http.StatusOK, `{"free_mb":"1"}`), Entry("no JSON", http.StatusOK, `{`),
	)
})

var _ = Describe("calls that run pieces", func() {
	It("use a connection each", func() {
		s := serve(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, `{"entries":[{"handle":"h"}]}`) })
		c := replica.NewClient(nil, nil)
		run := stage.Run{Replica: "r", Address: s.address(), Timeout: time.Second, Pieces: []stage.Piece{{Job: "j", Key: "k"}}}
		for range 3 {
			results, outcome, err := c.RunPieces(context.Background(), run)
			Expect(err).NotTo(HaveOccurred())
			Expect(outcome).To(Equal(stage.CallAnswered))
			Expect(results).To(Equal([]stage.Result{{Handle: "h"}}))
		}
		Expect(s.connections.Load()).To(Equal(int64(3)))
	})

	It("return CallNotExecuted when the replica says so, and CallUnreachable when the connection is refused", func() {
		s := serve(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		run := stage.Run{Replica: "r", Address: s.address(), Timeout: time.Second, Pieces: []stage.Piece{{Job: "j", Key: "k"}}}
		_, outcome, err := replica.NewClient(nil, nil).RunPieces(context.Background(), run)
		Expect(err).To(HaveOccurred())
		Expect(outcome).To(Equal(stage.CallNotExecuted))
		s.Close()
		_, outcome, err = replica.NewClient(nil, nil).RunPieces(context.Background(), run)
		Expect(err).To(HaveOccurred())
		Expect(outcome).To(Equal(stage.CallUnreachable))
	})
})

// The time for which the inputs of a request are held counts from OnConnected.
var _ = Describe("a call", func() {
	It("reports its connection once it is established, and none if it fails", func() {
		s := serve(func(http.ResponseWriter, *http.Request) {})
		var connected atomic.Int64
		do := func(address string) error {
			resp, err := replica.NewClient(nil, nil).Do(context.Background(), replica.Call{
				Method: http.MethodGet, Address: address, Target: "/", Header: http.Header{}, OnConnected: func(net.Conn) { connected.Add(1) },
			})
			if err == nil {
				err = resp.Body.Close()
			}
			return err
		}
		Expect(do(s.address())).To(Succeed())
		Expect(connected.Load()).To(BeEquivalentTo(1))
		address := s.address()
		s.Close()
		Expect(do(address)).NotTo(Succeed())
		Expect(connected.Load()).To(BeEquivalentTo(1))
	})
})
