package gateway

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/platform"
)

var _ = Describe("the parts by which a prompt's engine is chosen", func() {
	parts := func(p ...platform.PromptPart) *exchange {
		return &exchange{req: platform.Request{Prompt: p}}
	}
	part := func(id string, tokens int) platform.PromptPart { return platform.PromptPart{ID: id, Tokens: tokens} }
	own := part("own", 900)

	It("are all shared ones when the later are longer", func() {
		one, tokens := parts(part("a", 500), part("b", 4000), own).prefix()
		other, _ := parts(part("a", 500), part("c", 4000), own).prefix()
		Expect(tokens).To(Equal(4500))
		Expect(one).NotTo(Equal(other))
	})

	It("leave out shorter ones behind a longer", func() {
		one, tokens := parts(part("a", 300), part("b", 200), own).prefix()
		other, _ := parts(part("a", 300), part("c", 200), own).prefix()
		Expect(tokens).To(Equal(500))
		Expect(one).To(Equal(other))
	})

	It("never are the request's own", func() {
		hash, tokens := parts(own).prefix()
		Expect(hash).To(BeZero())
		Expect(tokens).To(BeZero())
	})
})
