package operator_test

import (
	"crypto/tls"
	"crypto/x509"
	"math"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/certs"
	"github.com/wheatseam/wheatseam/operator"
	"github.com/wheatseam/wheatseam/record"
)

var _ = Describe("Server", func() {
	DescribeTable("requires the token for everything except health and readiness", func(method, path string) {
		d := newFleet("a").daemons["a"]
		for _, badToken := range []string{"", "an operator's tokem", token + "x"} {
			Expect(d.request(method, path, badToken, nil)).To(Equal(http.StatusUnauthorized))
		}
		Expect(d.draining.Load()).To(BeFalse())
	},
		Entry(nil, "GET", "/metrics"), Entry(nil, "GET", "/v1/status"), Entry(nil, "GET", "/v1/dump"),
		Entry(nil, "GET", "/v1/explain/a.1"), Entry(nil, "GET", "/v1/bundle"), Entry(nil, "POST", "/v1/drain"))

	It("returns health and readiness to anyone, but the reason to operators only", func() {
		d := newFleet("a").daemons["a"]
		Expect(d.request("GET", "/healthz", "", nil)).To(Equal(http.StatusOK))
		Expect(d.request("GET", "/readyz", "", nil)).To(Equal(http.StatusOK))
		Expect(d.request("POST", "/v1/drain", token, nil)).To(Equal(http.StatusOK))
		var h operator.Health
		Expect(d.request("GET", "/readyz", "", &h)).To(Equal(http.StatusServiceUnavailable))
		Expect(h).To(Equal(operator.Health{Status: "not ready"}))
		Expect(d.request("GET", "/readyz", token, &h)).To(Equal(http.StatusServiceUnavailable))
		Expect(h.Reason).To(Equal("the host is leaving"))
		Expect(d.request("GET", "/healthz", "", nil)).To(Equal(http.StatusOK))
	})

	It("returns the metrics in the Prometheus text format", func() {
		d := newFleet("a").daemons["a"]
		var text string
		Expect(d.request("GET", "/metrics", token, &text)).To(Equal(http.StatusOK))
		Expect(text).To(And(ContainSubstring("wheatseam_peer_sessions 0"), ContainSubstring("process_cpu_seconds_total")))
	})

	It("explains a request of any host, whichever host is queried", func() {
		f := newFleet("a", "b", "c")
		at := time.Now().Round(0)
		entry := record.Entry{
			At: at, Step: "route", Stage: "generate", Attempt: 2, Outcome: "picked llm-1",
			Fields:     []record.Field{{Key: "bundle", Value: "7"}},
			Candidates: []record.Candidate{{Upstream: "llm-1", Score: 0.5}, {Upstream: "llm-2", RefusalReason: "leaving"}},
		}
		f.daemons["b"].records.GetOrCreate("b.1").Add(entry)
		f.daemons["b"].records.GetOrCreate("no-host").Add(entry)
		for _, host := range []string{"a", "b", "c"} {
			for _, id := range []string{"b.1", "no-host"} {
				var e operator.Explanation
				Expect(f.daemons[host].request("GET", "/v1/explain/"+id, token, &e)).To(Equal(http.StatusOK))
				Expect(e.Host).To(Equal("b"))
				Expect(e.Entries).To(HaveLen(1))
				Expect(e.Entries[0].At.Equal(at)).To(BeTrue())
				e.Entries[0].At = at
				Expect(e.Entries[0]).To(Equal(entry))
			}
		}
		for _, id := range []string{"a.2", "b.2", "gone.1", "nothing"} {
			var body operator.ErrorBody
			Expect(f.daemons["a"].request("GET", "/v1/explain/"+id, token, &body)).To(Equal(http.StatusNotFound))
			Expect(body.Error).To(ContainSubstring("no record"))
		}
		Expect(f.daemons["b"].transport.Close()).To(Succeed())
		Expect(f.daemons["a"].request("GET", "/v1/explain/b.1", token, nil)).To(Equal(http.StatusBadGateway))
		Expect(f.daemons["a"].request("GET", "/v1/explain/"+strings.Repeat("x", 300), token, nil)).To(Equal(http.StatusBadRequest))
	})

	It("dumps the sections of any host, including the error of a section that fails", func() {
		f := newFleet("a", "b")
		f.daemons["b"].sections.Register("good", func() any { return []int{1, 2} })
		f.daemons["b"].sections.Register("panics", func() any { panic("boom") })
		f.daemons["b"].sections.Register("unwritable", func() any { return math.Inf(1) })
		var dump map[string]any
		Expect(f.daemons["a"].request("GET", "/v1/dump?host=b", token, &dump)).To(Equal(http.StatusOK))
		Expect(dump).To(HaveKeyWithValue("good", []any{1.0, 2.0}))
		Expect(dump).To(HaveKeyWithValue("panics", map[string]any{"error": "boom"}))
		Expect(dump["unwritable"]).To(HaveKey("error"))
		dump = nil
		Expect(f.daemons["b"].request("GET", "/v1/dump?section=good", token, &dump)).To(Equal(http.StatusOK))
		Expect(dump).To(HaveLen(1))
		Expect(f.daemons["a"].request("GET", "/v1/dump?host=nobody", token, nil)).To(Equal(http.StatusNotFound))
	})

	It("returns the active bundle of every host, and an error for an unreachable host", func() {
		f := newFleet("a", "b", "c")
		Expect(f.daemons["c"].transport.Close()).To(Succeed())
		var statuses []operator.Status
		Expect(f.daemons["a"].request("GET", "/v1/bundle", token, &statuses)).To(Equal(http.StatusOK))
		Expect(statuses).To(HaveLen(3))
		Expect(statuses[1]).To(Equal(f.daemons["b"].Status()))
		Expect(statuses[2].Error).NotTo(BeEmpty())
	})

	It("accepts only client certificates that its client CA signed", func() {
		dir := GinkgoT().TempDir()
		now := time.Now()
		trustedCA, err := certs.OpenAuthority(dir, now, time.Hour)
		Expect(err).NotTo(HaveOccurred())
		otherCA, err := certs.NewAuthority(now, time.Hour)
		Expect(err).NotTo(HaveOccurred())
		pair, err := trustedCA.Issue("a", now, time.Hour, net.IPv4(127, 0, 0, 1))
		Expect(err).NotTo(HaveOccurred())
		certFile, keyFile := certs.KeyPairFiles(dir, "a")
		Expect(pair.Write(certFile, keyFile)).To(Succeed())
		authority := filepath.Join(dir, certs.AuthorityCertFile)
		d := newFleet().start("a", operator.Credentials{ClientCA: authority, Cert: certFile, Key: keyFile})

		getStatus := func(ca *certs.Authority) (int, error) {
			pem, err := os.ReadFile(authority)
			Expect(err).NotTo(HaveOccurred())
			pool := x509.NewCertPool()
			Expect(pool.AppendCertsFromPEM(pem)).To(BeTrue())
			cfg := &tls.Config{RootCAs: pool}
			if ca != nil {
				client, err := ca.Issue("operator", now, time.Hour)
				Expect(err).NotTo(HaveOccurred())
				cert, err := tls.X509KeyPair(client.Cert, client.Key)
				Expect(err).NotTo(HaveOccurred())
				cfg.Certificates = []tls.Certificate{cert}
				cfg.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &cert, nil }
			}
			transport := &http.Transport{TLSClientConfig: cfg}
			defer transport.CloseIdleConnections()
			resp, err := (&http.Client{Transport: transport}).Get("https://" + d.server.Addr() + "/v1/status")
			if err != nil {
				return 0, err
			}
			resp.Body.Close()
			return resp.StatusCode, nil
		}
		Expect(getStatus(trustedCA)).To(Equal(http.StatusOK))
		Expect(getStatus(nil)).To(Equal(http.StatusUnauthorized))
		_, err = getStatus(otherCA)
		Expect(err).To(HaveOccurred())
	})

	It("does not start without credentials or with a token that is too short", func() {
		_, err := operator.NewServer(operator.Config{Listen: "127.0.0.1:0"})
		Expect(err).To(MatchError(ContainSubstring("neither")))
		shortToken := filepath.Join(GinkgoT().TempDir(), "token")
		Expect(os.WriteFile(shortToken, []byte("short\nonly the first line counts towards the minimum length"), 0o600)).To(Succeed())
		_, err = operator.NewServer(operator.Config{Listen: "127.0.0.1:0", Credentials: operator.Credentials{TokenFile: shortToken}})
		Expect(err).To(MatchError(ContainSubstring("shorter")))
	})
})
