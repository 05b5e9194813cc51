package trace_test

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/replay/trace"
)

func TestTrace(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "trace")
}

const header = `{"type":"trace","version":1,"name":"t","seed":7}` + "\n"

const exampleTrace = header +
	`{"type":"prefix","name":"lease","text":"All parties ","repeat":3}` + "\n" +
	`{"type":"request","id":"a","at_ms":5,"customer":"clinic","pipeline":"seal","deadline_ms":900,"key":"auto"}` + "\n" +
	`{"type":"fault","at_ms":6,"pool":"seals","replicas":[1],"body":{"slow":10}}` + "\n" +
	`{"type":"request","id":"b","at_ms":9,"customer":"clinic","pipeline":"summary","deadline_ms":900,"stream":true,"prefix":"lease","prompt":"x","expect":"answer"}` + "\n" +
	`{"type":"request","id":"a2","at_ms":20,"retry_of":"a"}` + "\n"

var _ = Describe("a trace", func() {
	It("is unchanged by parsing and writing", func() {
		t, err := trace.Parse(strings.NewReader(exampleTrace))
		Expect(err).NotTo(HaveOccurred())
		Expect(t.Header.Seed).To(Equal(uint64(7)))
		Expect(t.Requests).To(HaveLen(3))
		Expect(t.Faults).To(HaveLen(1))
		Expect(t.Duration().Milliseconds()).To(Equal(int64(20)))
		retry := t.Requests[2]
		Expect(retry.Customer).To(Equal("clinic"))
		Expect(retry.When).To(Equal(trace.RetryUnlessAnswered))
		var out bytes.Buffer
		Expect(trace.Write(&out, t)).To(Succeed())
		Expect(out.String()).To(Equal(exampleTrace))
	})

	It("is sorted by offset", func() {
		t, err := trace.Parse(strings.NewReader(header +
			`{"type":"request","id":"late","at_ms":50,"customer":"c","pipeline":"p","deadline_ms":1}` + "\n" +
			`{"type":"request","id":"early","at_ms":2,"customer":"c","pipeline":"p","deadline_ms":1}`))
		Expect(err).NotTo(HaveOccurred())
		Expect(t.Requests[0].ID).To(Equal("early"))
	})

	DescribeTable("is rejected with the number of the invalid line",
		func(text string, line int, message string) {
			_, err := trace.Parse(strings.NewReader(text))
			var lineErr *trace.LineError
			Expect(errors.As(err, &lineErr)).To(BeTrue(), "error %v", err)
			Expect(lineErr.Line).To(Equal(line))
			Expect(lineErr.Error()).To(ContainSubstring(message))
		},
		Entry("empty", "", 1, "empty"),
		Entry("no header", `{"type":"prefix","name":"a","text":"b"}`, 1, "first line"),
		Entry("invalid JSON", header+"\n{", 3, "not a JSON object"),
		Entry("unsupported version", `{"type":"trace","version":2,"name":"t"}`, 1, "version 2"),
		Entry("second header", header+header, 2, "second header"),
		Entry("unknown type", header+`{"type":"pause"}`, 2, `unknown type "pause"`),
		Entry("unknown member", header+`{"type":"request","id":"a","dedline_ms":1}`, 2, "dedline_ms"),
		Entry("two objects", header+`{"type":"prefix","name":"a","text":"b"} {}`, 2, "invalid character"),
		Entry("missing id", header+`{"type":"request","customer":"c","pipeline":"p","deadline_ms":1}`, 2, "id is missing"),
		Entry("duplicate id", header+strings.Repeat(`{"type":"request","id":"a","customer":"c","pipeline":"p","deadline_ms":1}`+"\n", 2), 3, "duplicate id"),
		Entry("missing deadline", header+`{"type":"request","id":"a","customer":"c","pipeline":"p"}`, 2, "deadline_ms"),
		Entry("negative offset", header+`{"type":"request","id":"a","at_ms":-1,"customer":"c","pipeline":"p","deadline_ms":1}`, 2, "at_ms -1"),
		Entry("undefined prefix", header+`{"type":"request","id":"a","customer":"c","pipeline":"p","deadline_ms":1,"prefix":"x"}`, 2, `prefix "x"`),
		Entry("invalid key", header+`{"type":"request","id":"a","customer":"c","pipeline":"p","deadline_ms":1,"key":"x"}`, 2, "key is neither"),
		Entry("unknown expectation", header+`{"type":"request","id":"a","customer":"c","pipeline":"p","deadline_ms":1,"expect":"luck"}`, 2, "luck"),
		Entry("retry of an undefined request", header+`{"type":"request","id":"a","retry_of":"b"}`, 2, `retry_of "b"`),
		Entry("retry without key", header+`{"type":"request","id":"a","customer":"c","pipeline":"p","deadline_ms":1}`+"\n"+
			`{"type":"request","id":"b","retry_of":"a"}`, 3, "has no key"),
		Entry("retry with additional members", header+`{"type":"request","id":"a","customer":"c","pipeline":"p","deadline_ms":1,"key":"auto"}`+"\n"+
			`{"type":"request","id":"b","retry_of":"a","customer":"c"}`, 3, "a retry may only have"),
		Entry("fault body", header+`{"type":"fault","pool":"p","body":3}`, 2, "body"),
		Entry("repeat above the limit", header+`{"type":"prefix","name":"a","text":"b","repeat":99999}`, 2, "repeat"),
	)

	It("reports every invalid line", func() {
		_, err := trace.Parse(strings.NewReader(header + "{\n{\n"))
		Expect(err.Error()).To(And(ContainSubstring("line 2"), ContainSubstring("line 3")))
	})
})
