package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/internal/standin/fleet"
	"github.com/wheatseam/wheatseam/replay/report"
)

// fakeEntryHost is an entry host that calls a stand-in's seal service a configured
// number of times per request.
type fakeEntryHost struct {
	fleet        *fleet.Fleet
	executions   int
	requestCount atomic.Int64
}

func (h *fakeEntryHost) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := fmt.Sprintf("entry-1.01900000-0000-7000-8000-%012x", h.requestCount.Add(1))
	for attempt := range h.executions {
		body := fmt.Sprintf(`{"request_id":%q,"attempt":%d,"customer":"firma","stage":"seal","input":{}}`, id, attempt+1)
		call := httptest.NewRequest(http.MethodPost, "/v1/seal", strings.NewReader(body))
		call.Header.Set("X-Request-Id", id)
		call.Header.Set("Idempotency-Key", r.Header.Get("Idempotency-Key"))
		h.fleet.Handler("signing-1").ServeHTTP(httptest.NewRecorder(), call)
	}
	fmt.Fprintf(w, `{"request_id":%q,"pipeline":"seal","result":{"mark":%q}}`, id, id)
}

var _ = Describe("wheatseam replay", func() {
	// replaySeals replays three seal requests against a host that executes each
	// the given number of times.
	replaySeals := func(executions int) (string, report.Report, error) {
		GinkgoHelper()
		b, err := readBundleFile("../../examples/demo.yaml")
		Expect(err).NotTo(HaveOccurred())
		standIns := fleet.New(fleet.Config{Bundle: b})
		DeferCleanup(standIns.Close)
		control := httptest.NewServer(standIns)
		DeferCleanup(control.Close)
		host := httptest.NewServer(&fakeEntryHost{fleet: standIns, executions: executions})
		DeferCleanup(host.Close)

		dir := GinkgoT().TempDir()
		file := func(name, text string) string {
			path := filepath.Join(dir, name)
			Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
			return path
		}
		trace := `{"type":"trace","version":1,"name":"seals"}` + "\n"
		for i := range 3 {
			trace += fmt.Sprintf(`{"type":"request","id":"r%d","at_ms":%d,"customer":"firma","pipeline":"seal","deadline_ms":5000,"key":"auto","expect":"answer"}`+"\n", i, i*10)
		}
		address := func(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }
		reportFile := filepath.Join(dir, "report.json")
		var out bytes.Buffer
		root := newRootCommand()
		root.SetOut(&out)
		root.SetArgs([]string{"replay", "--trace", file("trace.jsonl", trace), "--keys", file("keys.yaml", "keys: {firma: k}"),
			"--callers", address(host), "--control", address(control), "--bundle", "../../examples/demo.yaml",
			"--outcomes", file("outcomes.yaml", "outcomes: [{metric: violations, max: 0}, {metric: attainment, min: 1}]"),
			"--json", reportFile})
		err = root.Execute()
		text, readErr := os.ReadFile(reportFile)
		Expect(readErr).NotTo(HaveOccurred())
		var r report.Report
		Expect(json.Unmarshal(text, &r)).To(Succeed())
		return out.String(), r, err
	}

	It("meets its outcomes if responses and ledgers agree", func() {
		out, r, err := replaySeals(1)
		Expect(err).NotTo(HaveOccurred(), out)
		Expect(out).To(HaveSuffix("verdict: met\n"))
		Expect(r.All.Attainment.Met).To(Equal(3))
		Expect(r.Stages[0].All.Calls).To(Equal(3))
	})

	It("fails with a verdict if seals are executed twice", func() {
		out, r, err := replaySeals(2)
		Expect(err).To(MatchError(errNegativeResult))
		Expect(out).To(ContainSubstring("FAIL violations = 3, max 0"))
		Expect(r.Violations.ByKind).To(HaveKeyWithValue(BeEquivalentTo("doubled"), 3))
	})

	It("fails if requests are answered without an execution", func() {
		_, r, err := replaySeals(0)
		Expect(err).To(MatchError(errNegativeResult))
		Expect(r.Violations.ByKind).To(HaveKeyWithValue(BeEquivalentTo("lost"), 3))
	})
})
