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

// The pattern: a few long documents that many prompts begin with, each engine
// reading all of them anew.
var _ = Describe("holders of leading parts", func() {
	now := time.Unix(1000, 0)
	// sent are prompts in order: the engine, then the hashes of leading parts.
	type sent struct {
		engine  string
		leading []uint64
	}

	DescribeTable("name whom to copy from", func(before []sent, leading []uint64, to, want string) {
		var h prefix.Holders
		for i, s := range before {
			h.Learn(now.Add(time.Duration(i)*time.Millisecond), s.leading, engine(s.engine))
		}
		from, ok := h.Source(now.Add(time.Second), leading, to, anyone)
		Expect(ok).To(Equal(want != ""))
		Expect(from.Name).To(Equal(want))
	},
		Entry("nobody", nil, []uint64{1, 2}, "e1", ""),
		Entry("the engine itself holds all", []sent{{"e1", []uint64{1, 2}}, {"e2", []uint64{1, 2}}}, []uint64{1, 2}, "e1", ""),
		Entry("another holds all", []sent{{"e2", []uint64{1, 2}}}, []uint64{1, 2}, "e1", "e2"),
		Entry("the engine holds the first part, another both", []sent{{"e1", []uint64{1}}, {"e2", []uint64{1, 2}}}, []uint64{1, 2}, "e1", "e2"),
		Entry("another holds the first part only", []sent{{"e2", []uint64{1, 3}}}, []uint64{1, 2}, "e1", "e2"),
		Entry("both hold the first part only", []sent{{"e1", []uint64{1, 4}}, {"e2", []uint64{1, 3}}}, []uint64{1, 2}, "e1", ""),
		Entry("the one that was sent it last", []sent{{"e2", []uint64{1}}, {"e3", []uint64{1}}}, []uint64{1}, "e1", "e3"),
		Entry("no shared part", []sent{{"e2", []uint64{1}}}, nil, "e1", ""),
	)

	It("leave out engines that cannot be used, and what was sent long ago", func() {
		var h prefix.Holders
		h.Learn(now, []uint64{1}, engine("e2"))
		h.Learn(now.Add(time.Second), []uint64{1}, engine("e3"))
		from, ok := h.Source(now.Add(2*time.Second), []uint64{1}, "e1", func(e prefix.Engine) bool { return e.Name != "e3" })
		Expect(ok).To(BeTrue())
		Expect(from).To(Equal(engine("e2")))
		_, ok = h.Source(now.Add(time.Second+prefix.Memory), []uint64{1}, "e1", anyone)
		Expect(ok).To(BeFalse())
		Expect(h.Holds(now.Add(time.Second), []uint64{1}, "e3")).To(BeTrue())
		Expect(h.Holds(now.Add(time.Second+prefix.Memory), []uint64{1}, "e3")).To(BeFalse())
	})

	It("are bounded, and the parts in use stay", func() {
		var h prefix.Holders
		for i := range 5 * prefix.MaxParts {
			h.Learn(now, []uint64{7}, engine("e2"))
			h.Learn(now, []uint64{uint64(100 + i)}, engine(fmt.Sprint("e", i%9)))
			Expect(h.Len()).To(BeNumerically("<=", prefix.MaxParts))
		}
		Expect(h.Holds(now, []uint64{7}, "e2")).To(BeTrue())
	})
})
