package gateway_test

import (
	"fmt"
	"net/http"
	"slices"
	"testing"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/wheatseam/wheatseam/internal/standin/site"
)

// invalidAnswers are invalid HTTP responses, most of which net/http accepts.
var invalidAnswers = map[string]site.RawResponse{
	"status 000": {StatusLine: "HTTP/1.1 000 Trouble"},
	"status 099": {StatusLine: "HTTP/1.1 099 Trouble"},
	"status +20": {StatusLine: "HTTP/1.1 +20 Trouble"},
	"status -00": {StatusLine: "HTTP/1.1 -00 Trouble"},
	"status 150": {StatusLine: "HTTP/1.1 150 Trouble"},
	"status 600": {StatusLine: "HTTP/1.1 600 Trouble"},
	"status 999": {StatusLine: "HTTP/1.1 999 Trouble"},

	"coding of HTTP/1.0":                 {StatusLine: "HTTP/1.0 200 OK", Fields: []string{"Transfer-Encoding: chunked"}},
	"coding of HTTP/1.0 beside a length": {StatusLine: "HTTP/1.0 200 OK", Fields: []string{"Transfer-Encoding: chunked", partialLength}},

	"blank in a name":                    {Fields: []string{"X Y: 1", partialLength}},
	"blank before the colon of a length": {Fields: []string{"Content-Length : 2"}},
	"blank before the colon of a coding": {Fields: []string{"Transfer-Encoding : chunked"}},
	"the same beside a length":           {Fields: []string{"Transfer-Encoding : chunked", partialLength}},
	"tab in a name":                      {Fields: []string{"X\tY: 1", partialLength}},
	"control byte in a name":             {Fields: []string{"X\x01Y: 1", partialLength}},
}

// partialLength is the length of partialBody.
var partialLength = fmt.Sprintf("Content-Length: %d", len(partialBody))

// invalidAnswer returns an answer that is whole but for its fault.
func invalidAnswer(name string) *site.RawResponse {
	raw := invalidAnswers[name]
	raw.ReadBytes, raw.Body = site.ReadAll, partialBody
	return &raw
}

// invalidStream is invalidAnswer with the events of a stream as its body.
func invalidStream(name string) *site.RawResponse {
	raw := invalidAnswer(name)
	raw.Body = streamEvents(site.RawID, 1, streamLength)
	raw.Fields = append(slices.DeleteFunc(slices.Clone(raw.Fields), func(field string) bool { return field == partialLength }), "Content-Type: text/event-stream")
	return raw
}

// invalidRounds is how many requests get such an answer: more than the slots of all replicas of a
// service.
const invalidRounds = 40

// Guards against invalid responses that reach callers, and against slots that are never given back
// after them.
func TestInvalidAnswersAreNotRelayed(t *testing.T) {
	t.Parallel()
	for name := range invalidAnswers {
		for _, path := range []string{sealPath, safePath, streamPath, resumePath} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				f := newFixtureOf(t)
				service, replicas, raw := "plain", []string{"p1", "p2"}, invalidAnswer(name)
				if path == streamPath || path == resumePath {
					service, replicas, raw = "llm", []string{"e1", "e2"}, invalidStream(name)
				}
				f.behave(service, site.Behaviour{Raw: raw})
				core, logs := observer.New(zapcore.InfoLevel)
				g := f.startLogged(zap.New(core)).ready()
				for range invalidRounds {
					a, id := g.send(http.MethodPost, path, "x", nil)
					f.Expect(a.err).NotTo(HaveOccurred())
					f.Expect(a.status).To(BeElementOf(http.StatusBadGateway, http.StatusServiceUnavailable), a.body)
					f.Expect(a.body).NotTo(Or(ContainSubstring(partialBody), ContainSubstring("data:")))
					f.Expect(a.header).NotTo(HaveKey("Response-Signature"))
					f.expectHonest(a, id)
					f.expectRunsAllowed(path, id)
				}
				arrived := 0
				for _, id := range replicas {
					arrived += len(f.replicas[id].Arrivals())
				}
				f.Expect(logs.FilterMessage("attempt").Len()).To(Equal(arrived), "attempts in the log")
				g.expectNoCalls()
				f.behave(service, site.Behaviour{})
				g.expectServedSoon(path)
			})
		}
	}
}

// expectRunsAllowed expects that a request was sent to one replica only, unless it may run twice.
func (f *fixture) expectRunsAllowed(path, id string) {
	f.test.Helper()
	if path == sealPath || path == streamPath {
		f.Expect(f.arrivals(id)).To(BeNumerically("<=", 1))
	}
}

// expectServedSoon expects that requests are answered once replicas that were ejected are tried again.
func (r *gatewayProcess) expectServedSoon(path string) {
	r.test.Helper()
	r.Eventually(func() int {
		a, _ := r.send(http.MethodPost, path, "x", nil)
		return a.status
	}, "10s").Should(Equal(http.StatusOK))
	r.expectServed(path)
}

// Guards against requests that may run again and fail although another replica answers.
func TestInvalidAnswersAreRetriedElsewhere(t *testing.T) {
	t.Parallel()
	for name := range invalidAnswers {
		for way, throughPeer := range ways {
			t.Run(name+", "+way, func(t *testing.T) {
				t.Parallel()
				f := newFixtureOf(t)
				f.replicas["p1"].SetBehaviour(site.Behaviour{Raw: invalidAnswer(name)})
				g := f.startAt(throughPeer)
				for range 12 {
					a, id := g.send(http.MethodPost, safePath, "x", nil)
					f.Expect(a.status).To(Equal(http.StatusOK), a.body)
					f.Expect(a.body).To(Equal(site.PlainBody("p2", id)))
				}
				if name != "status 150" { // an interim response, which no other follows
					f.Expect(g.metricLines(`wheatseam_attempts_total{service="plain",end="malformed"}`)).To(HaveLen(1))
				}
			})
		}
	}
}

// Guards against stages that fail since one of their replicas sends such answers.
func TestInvalidAnswersToCallsForPieces(t *testing.T) {
	t.Parallel()
	for name := range invalidAnswers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixtureOf(t)
			raw := invalidAnswer(name)
			raw.Body = `{"entries":[{"handle":"h1"},{"handle":"h2"}]}`
			f.replicas["s1"].SetBehaviour(site.Behaviour{Raw: raw})
			g := f.start().ready()
			for range 4 {
				a, id := g.send(http.MethodPost, resumePath, "x", func(r *http.Request) {
					withStages(r)
					r.Header.Set("Deadline-Ms", "5000")
				})
				f.Expect(a.err).NotTo(HaveOccurred())
				f.Expect(a.body).To(Equal(streamEvents(id, 1, streamLength)))
			}
			f.Expect(f.ledger.Violations()).To(BeEmpty())
		})
	}
}
