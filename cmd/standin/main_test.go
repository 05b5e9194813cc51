package main

import (
	"context"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
)

func TestStandin(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "cmd/standin")
}

var _ = Describe("standin", func() {
	write := func(text string) string {
		file := filepath.Join(GinkgoT().TempDir(), "file")
		Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed())
		return file
	}
	run := func(ctx context.Context, args ...string) (*gbytes.Buffer, <-chan error) {
		out := gbytes.NewBuffer()
		cmd := newCommand()
		cmd.SetArgs(args)
		cmd.SetOut(out)
		done := make(chan error, 1)
		go func() { done <- cmd.ExecuteContext(ctx) }()
		return out, done
	}

	DescribeTable("prints its address, serves requests and stops when its context ends",
		func(path string, args ...string) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			out, done := run(ctx, args...)
			Eventually(out, 5*time.Second).Should(gbytes.Say(`listening address=127\.0\.0\.1:\d+\n`))
			address := strings.TrimPrefix(strings.TrimSpace(string(out.Contents())), "listening address=")
			resp, err := http.Get("http://" + address + path)
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.Body.Close()).To(Succeed())
			Expect(resp.StatusCode).To(Equal(http.StatusOK))
			cancel()
			Eventually(done, 10*time.Second).Should(Receive(BeNil()))
		},
		Entry("platform", "/-/kv-key?key=hosts", "platform"),
		Entry("engine", "/v1/load", "engine", "--slots", "4"),
		Entry("service", "/v1/load", "service", "--median", "1ms"),
	)

	It("serves the platform's initial files and ends waiting watches on shutdown", func() {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		out, done := run(ctx, "platform", "--bundle", write("version: 1"), "--hosts", write(`{"hosts":[{"name":"a"}]}`))
		Eventually(out, 5*time.Second).Should(gbytes.Say("\n"))
		address := strings.TrimPrefix(strings.TrimSpace(string(out.Contents())), "listening address=")
		resp, err := http.Get("http://" + address + "/-/kv-key?key=" + bundleKey)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Body.Close()).To(Succeed())
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
		watchStatus := make(chan int, 1)
		go func() {
			defer GinkgoRecover()
			resp, err := http.Get("http://" + address + "/-/kv-watch?prefix=" + bundleKey + "&wait_ms=60000&after=1000")
			Expect(err).NotTo(HaveOccurred())
			_ = resp.Body.Close()
			watchStatus <- resp.StatusCode
		}()
		Consistently(watchStatus, 50*time.Millisecond).ShouldNot(Receive())
		cancel()
		Eventually(watchStatus, 4*time.Second).Should(Receive(Equal(http.StatusOK)))
		Eventually(done, 10*time.Second).Should(Receive(BeNil()))
	})

	DescribeTable("rejects invalid arguments", func(want string, args ...string) {
		_, done := run(context.Background(), args...)
		Eventually(done, 5*time.Second).Should(Receive(MatchError(ContainSubstring(want))))
	},
		Entry("a missing bundle", "read bundle", "fleet", "--bundle", "no-such-file"),
		Entry("an invalid address", "listen on", "engine", "--listen", "256.0.0.1:0"),
		Entry("a missing host list", "read hosts", "platform", "--hosts", "no-such-file"),
	)

	It("rejects an invalid bundle and invalid medians", func() {
		_, done := run(context.Background(), "fleet", "--bundle", write("version: x"))
		Eventually(done, 5*time.Second).Should(Receive(MatchError(ContainSubstring("parse bundle"))))
		_, err := parseMedians(map[string]string{"seal": "soon"})
		Expect(err).To(MatchError(ContainSubstring("median of pool seal")))
	})
})
