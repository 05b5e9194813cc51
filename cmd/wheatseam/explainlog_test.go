package main

import (
	"bytes"
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("wheatseam explain --log", func() {
	const requestLog = `ts=2026-05-01T11:53:12.200Z level=info msg=attempt host=gw-1 request=a1 attempt=1 replica=i-7 end=failed why="the replica broke off"
garbage
ts=2026-05-01T11:53:12.300Z level=warn msg="replica ejected" host=gw-1 service=s replica=i-7 reason=consecutive_failures
ts=2026-05-01T11:53:12.300Z level=warn msg="replica ejected" host=gw-1 service=s replica=i-8 reason=slow
ts=2026-05-01T11:59:12.300Z level=warn msg="replica ejected" host=gw-1 service=s replica=i-7 reason=slow
ts=2026-05-01T11:53:12.400Z level=info msg=request host=gw-1 request=a1 outcome=upstream_failed status=502
ts=2026-05-01T11:53:12.400Z level=info msg=request host=gw-1 request=a12 outcome=answered status=200
`
	const refusalLog = `ts=2026-05-01T11:53:12.350Z level=warn msg="service refuses more than its load explains" host=gw-3 service=llm attempts=80 refused=20 replicas=i-9
ts=2026-05-01T11:53:12.350Z level=warn msg="service refuses more than its load explains" host=gw-3 service=other attempts=80 refused=20 replicas=i-7
ts=2026-05-01T11:53:12.400Z level=info msg=request host=gw-3 request=a3 outcome=overloaded status=503 service=llm replicas=i-7
`
	const planLog = `ts=2026-05-01T11:53:12.100Z level=info msg="stages ready" host=gw-2 request=a1 stages=0:0+250ms
`
	write := func(name, text string) string {
		path := filepath.Join(GinkgoT().TempDir(), name)
		Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
		return path
	}

	It("orders the log lines of a request from all hosts and includes the events of its replicas", func() {
		var out bytes.Buffer
		files := []string{write("one", requestLog), write("two", planLog)}
		Expect(explainLogs(&out, formatTable, "a1", files)).To(Succeed())
		Expect(out.String()).To(MatchRegexp(`(?s)stages ready.*attempt.*broke off.*replica ejected.*i-7.*upstream_failed`))
		Expect(out.String()).NotTo(ContainSubstring("i-8"))
		Expect(out.String()).NotTo(ContainSubstring("reason=slow"))
		Expect(out.String()).NotTo(ContainSubstring("a12"))
	})

	It("includes refusal events of the request's service only", func() {
		var out bytes.Buffer
		Expect(explainLogs(&out, formatTable, "a3", []string{write("three", refusalLog)})).To(Succeed())
		Expect(out.String()).To(MatchRegexp(`(?s)service refuses more.*service=llm.*overloaded`))
		Expect(out.String()).NotTo(ContainSubstring("service=other"))
	})

	It("fails if there is no line of the request or a file is missing", func() {
		var out bytes.Buffer
		Expect(explainLogs(&out, formatTable, "b", []string{write("one", requestLog)})).To(MatchError(errNegativeResult))
		Expect(explainLogs(&out, formatTable, "b", []string{"no-such-file"})).To(HaveOccurred())
	})
})
