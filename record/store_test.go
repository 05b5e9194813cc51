package record_test

import (
	"fmt"
	"strings"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/record"
)

var _ = Describe("Store", func() {
	It("returns the entries of a request in the order in which they were added", func() {
		s := record.NewStore(1 << 20)
		l := s.GetOrCreate("a")
		l.Add(record.Entry{Step: "admit", Outcome: "admitted"})
		l.Add(record.Entry{Step: "route", Outcome: "picked"})
		s.GetOrCreate("b").Add(record.Entry{Step: "admit", Outcome: "refused"})

		got, ok := s.Get("a")
		Expect(ok).To(BeTrue())
		Expect(got).To(HaveLen(2))
		Expect(got[1].Step).To(Equal(record.Step("route")))
		Expect(s.GetOrCreate("a")).To(BeIdenticalTo(l))
		_, ok = s.Get("c")
		Expect(ok).To(BeFalse())
	})

	It("stays within its memory limit and evicts the oldest requests first", func() {
		s := record.NewStore(256 << 10)
		text := strings.Repeat("x", 1000)
		for i := range 2000 {
			s.GetOrCreate(fmt.Sprint(i)).Add(record.Entry{Step: "admit", Outcome: text})
			Expect(s.Stats().Bytes).To(BeNumerically("<=", 256<<10))
		}
		Expect(s.Stats().Requests).To(BeNumerically(">", 100))
		Expect(s.Stats().Evicted).To(BeEquivalentTo(2000 - s.Stats().Requests))
		_, ok := s.Get("0")
		Expect(ok).To(BeFalse())
		_, ok = s.Get("1999")
		Expect(ok).To(BeTrue())
	})

	It("discards entries for an evicted request", func() {
		s := record.NewStore(1)
		s.GetOrCreate("a").Add(record.Entry{Step: "admit"})
		Expect(s.Stats().Bytes).To(BeZero())
	})

	It("limits the entries of one request and counts the dropped ones", func() {
		s := record.NewStore(64 << 20)
		l := s.GetOrCreate("a")
		for range record.MaxEntries + 5 {
			l.Add(record.Entry{Step: "retry"})
		}
		got, _ := s.Get("a")
		Expect(got).To(HaveLen(record.MaxEntries))
		Expect(s.Stats().Dropped).To(BeEquivalentTo(5))
	})

	It("is safe for concurrent use", func() {
		s := record.NewStore(64 << 10)
		var wg sync.WaitGroup
		for g := range 8 {
			wg.Go(func() {
				for i := range 300 {
					id := fmt.Sprint(g, "-", i)
					s.GetOrCreate(id).Add(record.Entry{Step: "admit", Fields: []record.Field{{Key: "k", Value: id}}})
					if got, ok := s.Get(id); ok && got != nil {
						Expect(got[0].Fields[0].Value).To(Equal(id))
					}
				}
			})
		}
		wg.Wait()
		Expect(s.Stats().Bytes).To(BeNumerically("<=", 64<<10))
	})
})
