package gateway_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/internal/standin/site"
)

const (
	// uploadBytes is the size of a body that the kernel's buffers don't hold.
	uploadBytes = 6 << 20
	// brokenAttempts is how often each kind of broken answer is sent.
	brokenAttempts = 12
	// partialBody is the part of a body that is sent.
	partialBody = "a part of the answer"
)

// uploadFixture returns a site that accepts large bodies.
func uploadFixture(t *testing.T) *fixture {
	f := newFixtureOf(t)
	f.maxBodyBytes = 2 * uploadBytes
	f.configure()
	return f
}

// unframedResets are responses of neither length nor chunks that end with a reset while the request
// is being written.
var unframedResets = map[string]site.RawResponse{
	"reset after 1 ms":         {Delay: time.Millisecond, End: site.RawReset},
	"reset after 5 ms":         {Delay: 5 * time.Millisecond, End: site.RawReset},
	"reset after 50 ms":        {Delay: 50 * time.Millisecond, End: site.RawReset},
	"reset after 1 MiB":        {ReadBytes: 1 << 20, Delay: time.Millisecond, End: site.RawReset},
	"closed with bytes unread": {Delay: 5 * time.Millisecond, End: site.RawCloseUnread},
}

// Guards against parts of answers that look complete: the write of the request takes the error of a
// reset, and a read then finds the end of a body without a length.
func TestUnframedAnswersThatAreResetDuringUploadsAreNotComplete(t *testing.T) {
	t.Parallel()
	for way, throughPeer := range ways {
		for name, raw := range unframedResets {
			t.Run(way+", "+name, func(t *testing.T) {
				t.Parallel()
				f := uploadFixture(t)
				g := f.startAt(throughPeer)
				raw.Body = partialBody
				f.behave("plain", site.Behaviour{Raw: &raw})
				upload := strings.Repeat("x", uploadBytes)
				for range brokenAttempts {
					a, id := g.send(http.MethodPost, safePath, upload, nil)
					f.Expect(a.err).NotTo(HaveOccurred())
					f.Expect(a.status).NotTo(Equal(http.StatusOK), "looks complete: %q", a.body)
					f.Expect(a.body).NotTo(ContainSubstring(partialBody))
					f.expectHonest(a, id)
				}
				f.Expect(g.metricLines("wheatseam_replica_resets_total")).NotTo(BeEmpty())
			})
		}
	}
}

// expectHonest expects a status that does not promise that the request has not run, if a replica has
// received it.
func (f *fixture) expectHonest(a answer, id string) {
	f.test.Helper()
	if f.arrivals(id) > 0 {
		f.Expect(a.status).To(BeElementOf(http.StatusBadGateway, http.StatusGatewayTimeout), a.body)
	}
}

// arrivals is how often replicas have received a request.
func (f *fixture) arrivals(id string) int {
	n := 0
	for _, r := range f.replicas {
		for _, a := range r.Arrivals() {
			if a.RequestID == id {
				n++
			}
		}
	}
	return n
}

// Guards against streams without a length that end after some events, and look complete, since their
// connection was reset while the request was being written. Those that can be resumed are.
func TestUnframedStreamsThatAreResetDuringUploadsAreNotComplete(t *testing.T) {
	t.Parallel()
	for way, throughPeer := range ways {
		for _, path := range []string{streamPath, resumePath} {
			t.Run(way+path, func(t *testing.T) {
				t.Parallel()
				f := uploadFixture(t)
				g := f.startAt(throughPeer)
				f.replicas["e1"].SetBehaviour(site.Behaviour{Raw: &site.RawResponse{
					Fields: []string{"Content-Type: text/event-stream"}, Body: streamEvents(site.RawID, 1, 2), Delay: 5 * time.Millisecond, End: site.RawReset,
				}})
				upload := strings.Repeat("x", uploadBytes)
				broken := 0
				for range 2 * brokenAttempts {
					before := len(f.replicas["e1"].Arrivals())
					a, id := g.send(http.MethodPost, path, upload, nil)
					broken += len(f.replicas["e1"].Arrivals()) - before
					switch {
					case path == resumePath || f.arrivals(id) > 0 && len(f.replicas["e1"].Arrivals()) == before:
						f.Expect(a.err).NotTo(HaveOccurred())
						f.Expect(a.body).To(Equal(streamEvents(id, 1, streamLength)))
					default:
						f.Expect(a.err != nil || a.status != http.StatusOK).To(BeTrue(), "looks complete: %s", a.body)
					}
				}
				f.Expect(broken).To(BeNumerically(">=", 3), "broken streams")
			})
		}
	}
}

// Guards against whole answers that are refused: those that end in order before the request has been
// written, those whose length shows that they are whole, and those to requests that were written.
func TestAnswersThatEndBeforeUploadsAreRelayed(t *testing.T) {
	t.Parallel()
	upload := strings.Repeat("x", uploadBytes)
	for way, throughPeer := range ways {
		for name, c := range map[string]struct {
			raw  site.RawResponse
			body string
		}{
			"no length, ends in order":            {site.RawResponse{Delay: 5 * time.Millisecond, End: site.RawCloseWrite}, upload},
			"no length, ends in order at once":    {site.RawResponse{End: site.RawCloseWrite}, upload},
			"length, reset":                       {site.RawResponse{Fields: []string{partialLength}, Delay: 50 * time.Millisecond, End: site.RawReset}, upload},
			"length, closed with bytes unread":    {site.RawResponse{Fields: []string{partialLength}, Delay: 50 * time.Millisecond, End: site.RawCloseUnread}, upload},
			"no length, small request":            {site.RawResponse{ReadBytes: site.ReadAll, End: site.RawClose}, "x"},
			"no length, small request, in pieces": {site.RawResponse{ReadBytes: site.ReadAll, Delay: 5 * time.Millisecond, End: site.RawClose}, "x"},
		} {
			t.Run(way+", "+name, func(t *testing.T) {
				t.Parallel()
				f := uploadFixture(t)
				g := f.startAt(throughPeer)
				c.raw.Body = partialBody
				f.behave("plain", site.Behaviour{Raw: &c.raw})
				for range brokenAttempts {
					a, _ := g.send(http.MethodPost, safePath, c.body, nil)
					f.Expect(a.err).NotTo(HaveOccurred())
					f.Expect(a.status).To(Equal(http.StatusOK), a.body)
					f.Expect(a.body).To(Equal(partialBody))
				}
			})
		}
	}
}
