package engine

import (
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/service"
)

func TestEngine(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "engine")
}

const part = `data: {"request_id":"r","attempt":2,"choices":[{"delta":{"content":"a"}}]}` + "\n\n"

var _ = DescribeTable("readStream",
	func(stream, text string, want error) {
		var delivered strings.Builder
		out, err := readStream(strings.NewReader(stream), GenerateRequest{RequestID: "r", Attempt: 2}, func(s string) { delivered.WriteString(s) })
		if want == nil {
			Expect(err).NotTo(HaveOccurred())
			Expect(out.Text).To(Equal(text))
			Expect(out.Tokens).To(Equal(len(text)))
		} else {
			Expect(err).To(MatchError(want))
		}
		Expect(delivered.String()).To(Equal(text))
	},
	Entry("complete", part+": comment\n\n"+part+"data: [DONE]\n\n", "aa", nil),
	Entry("truncated", part, "a", ErrTruncatedStream),
	Entry("empty", "", "", ErrTruncatedStream),
	Entry("of another request", strings.Replace(part, `"r"`, `"x"`, 1)+"data: [DONE]\n\n", "", service.ErrMismatchedResponse),
	Entry("of another attempt", strings.Replace(part, `:2`, `:1`, 1)+"data: [DONE]\n\n", "", service.ErrMismatchedResponse),
	Entry("with a line over the size limit", "data: "+strings.Repeat("x", maxLineBytes+1), "", ErrTruncatedStream),
)
