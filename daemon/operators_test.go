package daemon_test

import (
	"encoding/json"
	"net/http"
	"regexp"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/internal/doccheck"
	"github.com/wheatseam/wheatseam/internal/proctest"
	"github.com/wheatseam/wheatseam/operator"
	"github.com/wheatseam/wheatseam/problem"
	"github.com/wheatseam/wheatseam/record"
)

func TestDaemon(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(15 * time.Second)
	RunSpecs(t, "daemon")
}

var _ = AfterSuite(proctest.RemoveDaemonBinary)

var _ = Describe("the operator API of three daemons", Ordered, func() {
	var f *proctest.Fleet
	BeforeAll(func() {
		var err error
		f, err = proctest.Start(GinkgoT().TempDir(), proctest.Options{})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(f.Close)
	})

	get := func(i int, path string, into any) {
		GinkgoHelper()
		Expect(f.CallOperatorAPI(i, http.MethodGet, path, into)).To(Succeed())
	}

	It("explains an answered request at any host, from receipt to finish", func() {
		o := f.Call(0, "seal", proctest.NewKey(), "deed 1")
		Expect(o.Answered()).To(BeTrue(), "%+v", o)
		var e operator.Explanation
		get(2, "/v1/explain/"+o.RequestID, &e)
		Expect(e.Host).To(Equal("entry-1"))
		Expect(e.Entries[0].Step).To(Equal(record.Step("receive")))
		Expect(e.Entries[0].Fields).To(ContainElement(record.Field{Key: "bundle", Value: "1"}))
		Expect(e.Entries[len(e.Entries)-1].Outcome).To(Equal("answered"))
	})

	It("explains why a request was refused before it was served", func() {
		o := f.Call(1, "seal", "", "deed 2")
		Expect(o.Kind).To(Equal(problem.KeyRequired))
		var e operator.Explanation
		get(0, "/v1/explain/"+o.RequestID, &e)
		Expect(e.Entries).To(HaveLen(1))
		Expect(e.Entries[0].Outcome).To(Equal("key_required"))
	})

	It("returns the dump sections of another host, without hashes of API keys", func() {
		var raw json.RawMessage
		get(0, "/v1/dump?host=entry-2", &raw)
		for _, c := range f.Bundle.Customers {
			Expect(string(raw)).NotTo(ContainSubstring(c.KeyHashes[0]))
		}
		var dump map[string]any
		Expect(json.Unmarshal(raw, &dump)).To(Succeed())
		for _, section := range []string{"process", "bundle", "requests", "records", "peers", "pools", "retries", "hedges"} {
			Expect(dump).To(HaveKey(section))
			Expect(dump[section]).NotTo(BeNil(), section)
			if fields, ok := dump[section].(map[string]any); ok {
				Expect(fields).NotTo(HaveKey("error"))
			}
		}
		Expect(dump["bundle"]).To(HaveKeyWithValue("source", Or(Equal("configuration service"), HavePrefix("peer "))))
		Expect(dump["bundle"]).To(HaveKeyWithValue("content", HaveKeyWithValue("deployment", f.Bundle.Deployment)))
	})

	It("reports the same active bundle at every host", func() {
		var all []operator.Status
		get(1, "/v1/bundle", &all)
		Expect(all).To(HaveLen(3))
		for _, s := range all {
			Expect(s.Ready).To(BeTrue(), "%+v", s)
			Expect(s.BundleVersion).To(Equal(f.Bundle.Version))
			Expect(s.BundleDigest).To(Equal(all[0].BundleDigest))
		}
	})

	It("exports no metric that docs/OPERATIONS.md does not list", func() {
		text, err := f.Metrics(0)
		Expect(err).NotTo(HaveOccurred())
		listed, err := doccheck.DocumentedKeys("../docs/OPERATIONS.md", "## Metrics")
		Expect(err).NotTo(HaveOccurred())
		names := regexp.MustCompile(`(?m)^wheatseam_[a-z_]+`).FindAllString(text, -1)
		Expect(len(names)).To(BeNumerically(">", 10))
		for _, name := range names {
			name = regexp.MustCompile(`_(bucket|sum|count)$`).ReplaceAllString(name, "")
			Expect(listed).To(ContainElement(name))
		}
	})

	It("drains and exits on an operator's request as on SIGTERM", func() {
		var st operator.Status
		Expect(f.CallOperatorAPI(2, http.MethodPost, "/v1/drain", &st)).To(Succeed())
		Expect(st.Draining).To(BeTrue())
		Expect(f.Daemons[2].Wait(10 * time.Second)).To(Succeed())
		Expect(f.Daemons[2].Log()).To(ContainSubstring("msg=drained"))
		var all []operator.Status
		get(0, "/v1/bundle", &all)
		Expect(all[2].Error).NotTo(BeEmpty())
	})
})
