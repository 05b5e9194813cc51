package main

import (
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/certs"
	"github.com/wheatseam/wheatseam/operator"
	"github.com/wheatseam/wheatseam/peer"
	"github.com/wheatseam/wheatseam/record"
	"github.com/wheatseam/wheatseam/wire"
)

const operatorToken = "an operator's token"

// fakeListener is an operators' listener with fixed responses by "METHOD path". It
// requires the operator token.
type fakeListener struct {
	server  *httptest.Server
	answers map[string]any
	token   string
}

func newFakeListener() *fakeListener {
	l := &fakeListener{answers: map[string]any{}}
	l.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answer, ok := l.answers[r.Method+" "+r.URL.RequestURI()]
		switch {
		case r.Header.Get("Authorization") != "Bearer "+operatorToken:
			w.WriteHeader(http.StatusUnauthorized)
			answer = operator.ErrorBody{Error: "token needed"}
		case !ok:
			w.WriteHeader(http.StatusNotFound)
			answer = operator.ErrorBody{Error: "no record of it"}
		}
		if f, ok := answer.(func() any); ok {
			answer = f()
		}
		if text, ok := answer.(string); ok {
			_, _ = w.Write([]byte(text))
			return
		}
		_ = json.NewEncoder(w).Encode(answer)
	}))
	DeferCleanup(l.server.Close)
	l.token = filepath.Join(GinkgoT().TempDir(), "token")
	Expect(os.WriteFile(l.token, []byte(operatorToken+"\n"), 0o600)).To(Succeed())
	return l
}

func (l *fakeListener) run(args ...string) commandResult {
	GinkgoHelper()
	return runCommand("", append(args, "--address", l.server.Listener.Addr().String(), "--token-file", l.token)...)
}

var _ = Describe("operators' commands", func() {
	var l *fakeListener
	ready := operator.Status{Host: "entry-1", FailureDomain: "lima-a", Ready: true, BundleVersion: 7, BundleDigest: "0123456789abcdef"}
	BeforeEach(func() { l = newFakeListener() })

	It("health reports by its exit code whether a host is ready", func() {
		l.answers["GET /v1/status"] = ready
		r := l.run("health")
		Expect(r.code).To(Equal(exitOK))
		Expect(r.stdout).To(MatchRegexp(`entry-1 +lima-a +ready +7 +0123456789ab `))

		l.answers["GET /v1/status"] = operator.Status{Host: "entry-1", Reason: "no bundle"}
		r = l.run("health", "-o", "json")
		Expect(r.code).To(Equal(exitNegative))
		var st operator.Status
		Expect(json.Unmarshal([]byte(r.stdout), &st)).To(Succeed())
		Expect(st.Reason).To(Equal("no bundle"))
	})

	It("health waits until a host is ready", func() {
		var requestCount atomic.Int32
		l.answers["GET /v1/status"] = func() any {
			st := ready
			st.Ready = requestCount.Add(1) > 2
			return st
		}
		Expect(l.run("health", "--wait", "10s").code).To(Equal(exitOK))
		Expect(requestCount.Load()).To(BeEquivalentTo(3))
	})

	It("fails without the token and if the host does not respond", func() {
		r := runCommand("", "health", "--wait", "10s", "--address", l.server.Listener.Addr().String())
		Expect(r.code).To(Equal(exitError))
		Expect(r.stderr).To(ContainSubstring("401 Unauthorized: token needed"))
		l.server.Close()
		Expect(l.run("health").code).To(Equal(exitError))
	})

	It("bundle-status exits with 1 if bundles differ or a host does not respond", func() {
		other := ready
		other.Host = "entry-2"
		l.answers["GET /v1/bundle"] = []operator.Status{ready, other}
		Expect(l.run("bundle-status").code).To(Equal(exitOK))
		other.BundleDigest = "fedcba"
		l.answers["GET /v1/bundle"] = []operator.Status{ready, other}
		Expect(l.run("bundle-status").code).To(Equal(exitNegative))
		l.answers["GET /v1/bundle"] = []operator.Status{ready, {Host: "entry-3", Error: "timed out"}}
		r := l.run("bundle-status")
		Expect(r.code).To(Equal(exitNegative))
		Expect(r.stdout).To(MatchRegexp(`entry-3 +- +unreachable .* timed out`))
	})

	It("explain prints decisions, inputs and candidates in order", func() {
		at := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
		l.answers["GET /v1/explain/entry-1.9"] = operator.Explanation{RequestID: "entry-1.9", Host: "entry-1", Entries: []record.Entry{
			{At: at, Step: "admit", Outcome: "admitted", Fields: []record.Field{{Key: "bundle", Value: "7"}, {Key: "why", Value: "room left"}}},
			{At: at.Add(1500 * time.Microsecond), Step: "route", Stage: "generate", Attempt: 1, Outcome: "picked llm-1",
				Candidates: []record.Candidate{{Upstream: "llm-1", Score: 0.25}, {Upstream: "llm-2", RefusalReason: "leaving"}}},
		}}
		r := l.run("explain", "entry-1.9")
		Expect(r.code).To(Equal(exitOK))
		Expect(r.stdout).To(MatchRegexp(`(?s)request entry-1.9 at host entry-1\n.*` +
			`03:04:05.000 +admit +- +- +admitted +bundle=7 why="room left"\n` +
			`\+1.5ms +route +generate +1 +picked llm-1 *\n +llm-1 +score 0.25\n +llm-2 +refused: leaving\n`))
		r = l.run("explain", "entry-1.8")
		Expect(r.code).To(Equal(exitNegative))
		Expect(r.stdout).To(ContainSubstring("no record"))
	})

	It("dump prints paths and values, or JSON", func() {
		l.answers["GET /v1/dump?host=entry-2&section=load"] = map[string]any{"load": map[string]any{"ages": []int{3, 4}}}
		r := l.run("dump", "load", "--host", "entry-2")
		Expect(r.code).To(Equal(exitOK))
		Expect(r.stdout).To(MatchRegexp(`load.ages\[0\] +3\nload.ages\[1\] +4\n`))
		Expect(l.run("dump", "load", "--host", "entry-2", "-o", "json").stdout).To(MatchJSON(`{"load":{"ages":[3,4]}}`))
		l.answers["GET /v1/dump?host=&section=none"] = map[string]any{}
		Expect(l.run("dump", "none").code).To(Equal(exitError))
	})

	It("metrics prints the series that match", func() {
		l.answers["GET /metrics"] = "# HELP x\nx{a=\"b c\"} 1\ny NaN\n"
		Expect(l.run("metrics", "-o", "json").stdout).To(MatchJSON(`[{"series":"x{a=\"b c\"}","value":"1"},{"series":"y","value":"NaN"}]`))
		Expect(l.run("metrics", "--match", "y").stdout).To(MatchRegexp(`^SERIES +VALUE\ny +NaN\n$`))
	})

	It("drain waits until the host has stopped", func() {
		l.answers["POST /v1/drain"] = operator.Status{Host: "entry-1", Draining: true}
		l.answers["GET /healthz"] = operator.Health{Status: "ok"}
		Expect(l.run("drain").code).To(Equal(exitOK))
		Expect(l.run("drain", "--wait", "150ms").code).To(Equal(exitNegative))
		time.AfterFunc(100*time.Millisecond, l.server.Close)
		Expect(l.run("drain", "--wait", "10s").code).To(Equal(exitOK))
	})

	It("certs creates key pairs under one authority that a peer transport accepts", func() {
		dir := filepath.Join(GinkgoT().TempDir(), "tls")
		Expect(runCommand("", "certs", "--out", dir, "entry-1").code).To(Equal(exitOK))
		Expect(runCommand("", "certs", "--out", dir, "entry-2").code).To(Equal(exitOK))
		addresses := map[string]string{}
		for _, name := range []string{"entry-1", "entry-2"} {
			cert, key := certs.KeyPairFiles(dir, name)
			t, err := peer.NewTransport(peer.Config{
				Host: name, Incarnation: 1, Listen: net.JoinHostPort("127.0.0.1", "0"),
				TLS:     peer.TLSFiles{CertFile: cert, KeyFile: key, CAFile: filepath.Join(dir, certs.AuthorityCertFile)},
				Resolve: func(host string) (string, bool) { a, ok := addresses[host]; return a, ok },
			})
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(t.Close)
			addresses[name] = t.Addr()
			err = t.Call(GinkgoT().Context(), "entry-1", "absent", &wire.StatusRequest{}, &wire.StatusResponse{})
			Expect(err).To(MatchError(peer.ErrUnknownMethod), "call over TLS from any host to entry-1")
		}
	})
})
