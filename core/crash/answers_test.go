package crash_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/crash"
)

var _ = Describe("the replicas that answered last", func() {
	none := func(crash.Answer) bool { return false }
	names := func(answers []crash.Answer) []string {
		var out []string
		for _, a := range answers {
			out = append(out, a.Replica)
		}
		return out
	}

	It("are checked if three or more of the service answered lately and are not busy", func() {
		var a crash.Answers
		Expect(a.Idle(at(0), "llm", none)).To(BeEmpty())
		for i, replica := range []string{"old", "r0", "r1", "r2", "r0"} {
			a.Record(at(i*3000), "llm", replica, "")
		}
		a.Record(at(12000), "other", "x", "")
		Expect(names(a.Idle(at(12000), "llm", none))).To(Equal([]string{"r1", "r2", "r0"}))
		Expect(a.Idle(at(12000), "llm", func(o crash.Answer) bool { return o.Replica == "r1" })).To(BeEmpty())
		Expect(a.Idle(at(17000), "llm", none)).To(BeEmpty(), "r1 answered 11 s ago")
	})

	It("are no longer checked once they are known to have crashed, until they answer again", func() {
		var a crash.Answers
		a.Forget("llm", "r0", at(1000))
		for i := range 3 {
			a.Record(at(1000), "llm", fmt.Sprint("r", i), "")
		}
		a.Forget("llm", "r0", at(1000))
		Expect(a.Idle(at(2000), "llm", none)).To(BeEmpty())
		a.Record(at(2000), "llm", "r0", "")
		a.Forget("llm", "r0", at(1000))
		Expect(a.Idle(at(2000), "llm", none)).To(HaveLen(3))
	})

	It("are bounded by service", func() {
		var a crash.Answers
		for i := range 100 {
			a.Record(at(0), "llm", fmt.Sprint("r", i), "")
		}
		Expect(names(a.Idle(at(0), "llm", none))).To(Equal([]string{"r96", "r97", "r98", "r99"}))
	})
})
