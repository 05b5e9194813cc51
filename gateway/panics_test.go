package gateway_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/wheatseam/wheatseam/core/route"
)

// panicRounds is how many requests panic: more than the slots of all replicas of a service.
const panicRounds = 40

// panickingWriter panics when an answer with the status 200 begins, or when its body does.
type panickingWriter struct {
	*httptest.ResponseRecorder
	inBody bool
}

func (w panickingWriter) WriteHeader(status int) {
	if status == http.StatusOK && !w.inBody {
		panic("head")
	}
	w.ResponseRecorder.WriteHeader(status)
}

func (w panickingWriter) Write(b []byte) (int, error) {
	if w.Code == http.StatusOK && w.inBody {
		panic("body")
	}
	return w.ResponseRecorder.Write(b)
}

// expectServed expects that all of some requests are answered.
func (r *gatewayProcess) expectServed(path string) {
	r.test.Helper()
	for range 10 {
		a, _ := r.send(http.MethodPost, path, "x", nil)
		r.Expect(a.err).NotTo(HaveOccurred())
		r.Expect(a.status).To(Equal(http.StatusOK), a.body)
	}
}

// expectNoCalls expects that the router counts no call of this host to any replica.
func (r *gatewayProcess) expectNoCalls() {
	r.test.Helper()
	r.Eventually(func() (calls []string) {
		for _, pool := range r.gateway.State().Router.([]route.PoolState) {
			for _, u := range pool.Upstreams {
				if u.InFlight > 0 {
					calls = append(calls, fmt.Sprintf("%s: %d", u.Upstream, u.InFlight))
				}
			}
		}
		return calls
	}, "2s").Should(BeEmpty())
}

// Guards against slots of replicas that are never given back, and attempts that are not logged, since
// the attempt panicked; and against an answer that begins twice.
func TestAttemptsThatPanicGiveTheirSlotsBack(t *testing.T) {
	t.Parallel()
	for _, path := range []string{sealPath, safePath, streamPath, resumePath} {
		for where, inBody := range map[string]bool{"head": false, "body": true} {
			t.Run(path+where, func(t *testing.T) {
				t.Parallel()
				f := newFixtureOf(t)
				core, logs := observer.New(zapcore.InfoLevel)
				g := f.startLogged(zap.New(core)).ready()
				for n := range panicRounds {
					req := httptest.NewRequest(http.MethodPost, path, strings.NewReader("x"))
					req.Host = host
					req.Header.Set("Attempt-Id", fmt.Sprint("panicking-", n))
					req.Header.Set("X-Api-Key", "key-1")
					req.Header.Set("Deadline-Ms", "2000")
					w := panickingWriter{httptest.NewRecorder(), inBody}
					func() {
						defer func() { f.Expect(recover()).NotTo(BeNil(), "the connection is closed") }()
						g.gateway.Serve(w, req)
					}()
					f.Expect(w.Body.String()).To(BeEmpty(), "nothing follows the answer that began")
				}
				f.Expect(logs.FilterMessage("attempt panicked").Len()).To(Equal(panicRounds))
				f.Expect(logs.FilterMessage("attempt").FilterField(zap.String("why", "the attempt panicked: "+where)).Len()).To(Equal(panicRounds))
				g.expectNoCalls()
				g.expectServed(path)
				f.Expect(f.ledger.Violations()).To(BeEmpty())
			})
		}
	}
}

// Guards against slots of replicas that are never given back since this host's code panicked between
// the pick and the attempt.
func TestPanicsBeforeAttemptsGiveTheirSlotsBack(t *testing.T) {
	t.Parallel()
	const message = "prompt was read for another request"
	f := newFixtureOf(t)
	f.registerVersions("v1", "v2")
	panics := 0
	first := f.start().ready()
	g := f.startLogged(zap.New(hookedCore{zapcore.NewNopCore(), func(e zapcore.Entry) {
		if e.Message == message {
			panics++
			panic(message)
		}
	}}), first.peers).ready()
	f.Eventually(g.metricLines, "5s").WithArguments("wheatseam_hosts ").Should(ConsistOf("wheatseam_hosts 2"))
	f.awaitReplicas([]*gatewayProcess{first, g}, len(f.replicas))
	streams := f.breakOffPrompts([]*gatewayProcess{first}, resumePath, 12)
	// Requests of sessions whose streams may be taken up at v1 get a replica of v2 at first.
	f.removeVersion("v1")
	f.awaitReplicas([]*gatewayProcess{first, g}, len(f.replicas))
	for _, s := range streams {
		_, last, _ := strings.Cut(s.prompt, ",")
		g.send(http.MethodPost, resumePath, "the next turn", withSessionPrompt(last))
	}
	f.Expect(panics).To(BeNumerically(">", 0))
	g.expectNoCalls()
}

// hookedCore calls a function for each entry that is logged.
type hookedCore struct {
	zapcore.Core
	onEntry func(zapcore.Entry)
}

func (c hookedCore) Enabled(zapcore.Level) bool { return true }

func (c hookedCore) With([]zapcore.Field) zapcore.Core { return c }

func (c hookedCore) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	c.onEntry(e)
	return checked
}
