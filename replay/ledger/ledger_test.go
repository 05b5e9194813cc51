package ledger_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	standin "github.com/wheatseam/wheatseam/internal/standin/ledger"
	"github.com/wheatseam/wheatseam/replay/ledger"
)

func TestLedger(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ledger")
}

// serve starts an HTTP server for the ledger of a stand-in and returns its address.
func serve(l *standin.Ledger) string {
	s := httptest.NewServer(l)
	DeferCleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func reader(upstreams ...ledger.Upstream) *ledger.Reader {
	return &ledger.Reader{Client: http.DefaultClient, Upstreams: upstreams}
}

var _ = Describe("Reader", func() {
	ctx := context.Background()

	It("returns each entry of a shared ledger once", func() {
		l := standin.New(0)
		id := l.Begin(standin.Entry{Key: "k", RequestID: "r", Stage: "seal", Customer: "c", Upstream: "a", Attempt: 2})
		l.End(id, standin.Done, 12.5, 7)
		l.End(l.Begin(standin.Entry{Upstream: "b"}), standin.Failed, 0, 0)
		address := serve(l)
		entries, err := reader(ledger.Upstream{Name: "a", Address: address}, ledger.Upstream{Name: "b", Address: address}).Read(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(entries).To(HaveLen(2))
		e := entries[0]
		Expect(e.StartedUnixMS).To(BeNumerically(">", 0))
		Expect(e.FinishedUnixMS).To(BeNumerically(">=", e.StartedUnixMS))
		e.StartedUnixMS, e.FinishedUnixMS = 0, 0
		Expect(e).To(Equal(ledger.Entry{Key: "k", RequestID: "r", Attempt: 2, Stage: "seal", Customer: "c",
			Upstream: "a", State: ledger.Done, EngineMS: 12.5, Tokens: 7}))
	})

	It("reads and clears the whole ledger of a fleet", func() {
		l := standin.New(0)
		l.End(l.Begin(standin.Entry{Upstream: "a"}), standin.Done, 0, 0)
		r := reader(ledger.Upstream{Address: serve(l)})
		Expect(r.Read(ctx)).To(HaveLen(1))
		Expect(r.Clear(ctx)).To(Succeed())
		Expect(r.Read(ctx)).To(BeEmpty())
	})

	It("waits for running executions for a limited time", func() {
		l := standin.New(0)
		id := l.Begin(standin.Entry{Upstream: "a"})
		r := reader(ledger.Upstream{Address: serve(l)})
		entries, err := r.WaitUntilIdle(ctx, time.Millisecond)
		Expect(err).NotTo(HaveOccurred())
		Expect(entries[0].State).To(Equal(ledger.Running))
		time.AfterFunc(150*time.Millisecond, func() { l.End(id, standin.Done, 0, 0) })
		entries, err = r.WaitUntilIdle(ctx, time.Minute)
		Expect(err).NotTo(HaveOccurred())
		Expect(entries[0].State).To(Equal(ledger.Done))
	})

	It("fails if a ledger has lost entries or a stand-in is unreachable", func() {
		l := standin.New(1)
		l.Begin(standin.Entry{})
		l.Begin(standin.Entry{})
		_, err := reader(ledger.Upstream{Name: "full", Address: serve(l)}).Read(ctx)
		Expect(err).To(MatchError(ContainSubstring("full has lost 1 entries")))
		_, err = reader(ledger.Upstream{Name: "gone", Address: "127.0.0.1:1"}).Read(ctx)
		Expect(err).To(MatchError(ContainSubstring("ledger of gone")))
	})
})
