package httpbody_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/wheatseam/wheatseam/internal/httpbody"
)

// BenchmarkRoundTrip measures a call on a pooled connection and on one of its own, with and without the
// checks of its response.
func BenchmarkRoundTrip(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for i := range 10 {
			w.Header().Set(fmt.Sprint("X-Field-", i), strings.Repeat("x", 40))
		}
		_, _ = io.WriteString(w, strings.Repeat("x", 1000))
	}))
	defer server.Close()
	for _, pooled := range []bool{true, false} {
		for name, check := range map[string]func(*http.Transport) http.RoundTripper{
			"net/http": func(t *http.Transport) http.RoundTripper { return t },
			"checked":  func(t *http.Transport) http.RoundTripper { return httpbody.NewCheckedTransport(t) },
		} {
			b.Run(fmt.Sprintf("%s/pooled=%t", name, pooled), func(b *testing.B) {
				b.ReportAllocs()
				transport := check(&http.Transport{DisableKeepAlives: !pooled})
				for b.Loop() {
					req, _ := http.NewRequest(http.MethodGet, server.URL, nil) // the URL is valid
					resp, err := transport.RoundTrip(req)
					if err != nil {
						b.Fatal(err)
					}
					_, _ = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
				}
			})
		}
	}
}
