package prefix_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/prefix"
)

func TestPrefix(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "prefix")
}

func engine(name string) prefix.Engine { return prefix.Engine{Name: name, Address: name + ":80"} }

func anyone(prefix.Engine) bool { return true }

// The load pattern: many prompts begin with one of a few long documents, and without
// copies each engine computes the prefill of all of them again.
var _ = Describe("the index of cached prefixes", func() {
	now := time.Unix(1000, 0)
	// sent is one prompt sent to an engine, with the hashes of its prefixes.
	type sent struct {
		engine   string
		prefixes []uint64
	}

	DescribeTable("returns the engine to copy from", func(before []sent, prefixes []uint64, to, want string) {
		var h prefix.Index
		for i, s := range before {
			h.RecordPrompt(now.Add(time.Duration(i)*time.Millisecond), s.prefixes, engine(s.engine))
		}
		from, ok := h.CopySource(now.Add(time.Second), prefixes, to, anyone)
		Expect(ok).To(Equal(want != ""))
		Expect(from.Name).To(Equal(want))
	},
		Entry("no engine has the prefix", nil, []uint64{1, 2}, "e1", ""),
		Entry("the target engine has the whole prefix", []sent{{"e1", []uint64{1, 2}}, {"e2", []uint64{1, 2}}}, []uint64{1, 2}, "e1", ""),
		Entry("another engine has the whole prefix", []sent{{"e2", []uint64{1, 2}}}, []uint64{1, 2}, "e1", "e2"),
		Entry("the target has the first segment, another engine has both", []sent{{"e1", []uint64{1}}, {"e2", []uint64{1, 2}}}, []uint64{1, 2}, "e1", "e2"),
		Entry("another engine has only the first segment", []sent{{"e2", []uint64{1, 3}}}, []uint64{1, 2}, "e1", "e2"),
		Entry("both engines have only the first segment", []sent{{"e1", []uint64{1, 4}}, {"e2", []uint64{1, 3}}}, []uint64{1, 2}, "e1", ""),
		Entry("the engine that was sent the prefix last", []sent{{"e2", []uint64{1}}, {"e3", []uint64{1}}}, []uint64{1}, "e1", "e3"),
		Entry("a prompt without prefixes", []sent{{"e2", []uint64{1}}}, nil, "e1", ""),
	)

	It("skips unusable engines and expired entries", func() {
		var h prefix.Index
		h.RecordPrompt(now, []uint64{1}, engine("e2"))
		h.RecordPrompt(now.Add(time.Second), []uint64{1}, engine("e3"))
		from, ok := h.CopySource(now.Add(2*time.Second), []uint64{1}, "e1", func(e prefix.Engine) bool { return e.Name != "e3" })
		Expect(ok).To(BeTrue())
		Expect(from).To(Equal(engine("e2")))
		_, ok = h.CopySource(now.Add(time.Second+prefix.EntryLifetime), []uint64{1}, "e1", anyone)
		Expect(ok).To(BeFalse())
		Expect(h.HasPrefix(now.Add(time.Second), []uint64{1}, "e3")).To(BeTrue())
		Expect(h.HasPrefix(now.Add(time.Second+prefix.EntryLifetime), []uint64{1}, "e3")).To(BeFalse())
	})

	It("is bounded and keeps prefixes in use", func() {
		var h prefix.Index
		for i := range 5 * prefix.MaxPrefixes {
			h.RecordPrompt(now, []uint64{7}, engine("e2"))
			h.RecordPrompt(now, []uint64{uint64(100 + i)}, engine(fmt.Sprint("e", i%9)))
			Expect(h.Len()).To(BeNumerically("<=", prefix.MaxPrefixes))
		}
		Expect(h.HasPrefix(now, []uint64{7}, "e2")).To(BeTrue())
	})
})
