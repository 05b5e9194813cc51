package gateway_test

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a request whose announced pieces take more memory than the hosts have.
func TestRequestOfTooManyPiecesIsRefused(t *testing.T) {
	f := newFixtureOf(t)
	g := f.start().ready()
	for _, counts := range []string{"2,1000000", "50000000,1", "4611686018427387904,4611686018427387904"} {
		a, id := g.send(http.MethodPost, resumePath, "x", func(r *http.Request) {
			withStages(r)
			r.Header.Set("Piece-Count", counts)
		})
		f.Expect(a.status).To(Equal(http.StatusRequestEntityTooLarge), counts)
		f.Expect(f.ledger.Runs(id)).To(BeEmpty())
	}
	a, _ := g.send(http.MethodPost, resumePath, "x", withStages)
	f.Expect(a.status).To(Equal(http.StatusOK))
}
