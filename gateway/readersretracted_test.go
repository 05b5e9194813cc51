package gateway_test

import (
	"fmt"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/internal/standin/site"
)

// Guards against streams that are refused after their record is lost, since a replica of another
// version that had refused the request counts as one that has read its prompt.
func TestVersionsThatRefusedARequestHaveNotReadItsPrompt(t *testing.T) {
	t.Parallel()
	f := newFixtureOf(t)
	fleet := f.withVersions(2, 1, 1)
	f.replicas["e1"].SetBehaviour(site.Behaviour{Shed: true, ShedWithFreeSlots: true})
	const requests = 12
	for i := range requests {
		a, _ := fleet[i%2].send(http.MethodPost, resumePath, fmt.Sprint("request ", i), withSessionPrompt(fmt.Sprintf("own%d:50", i)))
		f.Expect(a.err).NotTo(HaveOccurred())
		f.Expect(a.status).To(Equal(http.StatusOK), a.body)
	}
	for _, g := range fleet {
		f.Eventually(func() int { return g.gateway.State().Origins.PromptReaders }, "5s").Should(Equal(requests))
	}
}
