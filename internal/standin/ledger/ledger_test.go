package ledger_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/internal/standin/ledger"
)

var _ = Describe("Ledger", func() {
	It("summarizes stages, wasted time, repeated requests and duplicated keys", func() {
		l := ledger.New(0)
		seal := ledger.Entry{Key: "k", RequestID: "r1", Stage: "seal", Customer: "a"}
		l.End(l.Begin(seal), ledger.Done, 5, 0)
		l.End(l.Begin(seal), ledger.Failed, 3, 0)
		other := seal
		other.Customer = "b"
		l.End(l.Begin(other), ledger.Done, 5, 0)
		l.End(l.Begin(ledger.Entry{RequestID: "r2", Stage: "generate"}), ledger.Cancelled, 7, 4)
		l.Begin(ledger.Entry{RequestID: "r2", Stage: "generate", Leaving: true})

		s := l.Summary()
		Expect(s.Total.Started).To(Equal(5))
		Expect(s.Total.EngineMS).To(Equal(20.0))
		Expect(s.Total.WastedEngineMS).To(Equal(10.0))
		Expect(s.Stages["generate"]).To(Equal(ledger.Totals{
			Started: 2, Running: 1, Cancelled: 1, Leaving: 1,
			EngineMS: 7, WastedEngineMS: 7, Tokens: 4, RepeatedRequests: 1,
		}))
		Expect(s.DuplicatedKeys).To(Equal([]ledger.DuplicatedKey{{Customer: "a", Key: "k", Stage: "seal", Executions: 2}}))
	})

	It("does not count a cancelled execution as a duplicate", func() {
		l := ledger.New(0)
		l.End(l.Begin(ledger.Entry{Key: "k", Stage: "seal"}), ledger.Cancelled, 1, 0)
		l.End(l.Begin(ledger.Entry{Key: "k", Stage: "seal"}), ledger.Done, 1, 0)
		Expect(l.Summary().DuplicatedKeyCount).To(BeZero())
	})

	It("overwrites the oldest entries beyond its limit and counts them", func() {
		l := ledger.New(3)
		var ids []ledger.ID
		for _, r := range []string{"1", "2", "3", "4", "5"} {
			ids = append(ids, l.Begin(ledger.Entry{RequestID: r}))
		}
		l.End(ids[0], ledger.Done, 1, 0)
		l.End(ids[4], ledger.Done, 1, 0)
		entries := l.Entries()
		Expect(entries).To(HaveLen(3))
		Expect(entries[0].RequestID).To(Equal("3"))
		Expect(entries[0].State).To(Equal(ledger.Running))
		Expect(entries[2].State).To(Equal(ledger.Done))
		Expect(l.Summary().Overwritten).To(Equal(2))
	})

	It("ignores the end of executions that started before a reset", func() {
		l := ledger.New(3)
		before := l.Begin(ledger.Entry{RequestID: "before"})
		l.Reset()
		l.Begin(ledger.Entry{RequestID: "after"})
		l.End(before, ledger.Done, 1, 0)
		Expect(l.Entries()).To(HaveLen(1))
		Expect(l.Entries()[0].State).To(Equal(ledger.Running))
	})

	It("lists entries by key over HTTP", func() {
		l := ledger.New(0)
		l.Begin(ledger.Entry{Key: "a"})
		l.Begin(ledger.Entry{Key: "b"})
		w := httptest.NewRecorder()
		l.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/control/ledger?key=b", nil))
		var list ledger.List
		Expect(json.Unmarshal(w.Body.Bytes(), &list)).To(Succeed())
		Expect(list.Entries).To(HaveLen(1))
		Expect(list.Entries[0].Key).To(Equal("b"))
	})

	It("lists only the entries of one replica in the handler for that replica", func() {
		l := ledger.New(0)
		l.Begin(ledger.Entry{Upstream: "a", Stage: "seal"})
		l.Begin(ledger.Entry{Upstream: "b", Stage: "seal"})
		w := httptest.NewRecorder()
		l.ForUpstream("b").ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/control/ledger?summary=1", nil))
		var s ledger.Summary
		Expect(json.Unmarshal(w.Body.Bytes(), &s)).To(Succeed())
		Expect(s.Total.Started).To(Equal(1))
	})
})
