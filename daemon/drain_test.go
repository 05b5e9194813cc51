package daemon

import (
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/request"
	"github.com/wheatseam/wheatseam/settings"
)

// TestDrainWaitsForCallers guards against a drain that ends while a response is still
// being written: a request is in flight until then, even if it is no longer in the
// request table.
func TestDrainWaitsForCallers(t *testing.T) {
	g := NewWithT(t)
	d := &Daemon{settings: &settings.Settings{}, requestTable: request.NewTable()}
	serving, write := make(chan struct{}), make(chan struct{})
	handler := d.countActive(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(serving)
		<-write
	}))
	answer := httptest.NewRecorder()
	answered := make(chan struct{})
	g.Expect(d.idle()).To(BeTrue())
	go func() {
		defer close(answered)
		handler.ServeHTTP(answer, httptest.NewRequest(http.MethodPost, "/", nil))
	}()
	g.Eventually(serving).Should(BeClosed())
	busy := !d.idle()
	close(write)
	g.Eventually(answered).Should(BeClosed())
	g.Expect(busy).To(BeTrue())
	g.Expect(d.idle()).To(BeTrue())
}
