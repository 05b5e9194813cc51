package replica_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/replica"
)

// Guards against the body of a call that takes memory while its response is awaited and read.
func TestContentIsDroppedOnceWritten(t *testing.T) {
	g := NewWithT(t)
	read, respond := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = http.MaxBytesReader(nil, r.Body, 1<<20).Read(make([]byte, 1))
		close(read)
		<-respond
	}))
	defer server.Close()
	release := sync.OnceFunc(func() { close(respond) })
	defer release()
	dropped, written := make(chan struct{}), make(chan struct{})
	body := make([]byte, 64<<10)
	runtime.AddCleanup(&body[0], func(c chan struct{}) { close(c) }, dropped)
	call := replica.Call{
		Method: http.MethodPost, Address: strings.TrimPrefix(server.URL, "http://"), Target: "/", Host: "h", Header: http.Header{},
		Content: replica.NewContent(body), OnWritten: func() { close(written) },
	}
	body = nil
	done := make(chan error, 1)
	go func() {
		resp, err := replica.NewClient(nil, nil).Do(context.Background(), call)
		if err == nil {
			err = resp.Body.Close()
		}
		done <- err
	}()
	<-read
	g.Eventually(written).Should(BeClosed())
	g.Eventually(func() chan struct{} { runtime.GC(); return dropped }, "5s").Should(BeClosed())
	release()
	g.Expect(<-done).To(Succeed())
}
