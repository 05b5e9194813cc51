package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/internal/standin/site"
)

// The parts of random request targets. A segment may be escaped, empty, or one that a parser of
// URLs would resolve, decode or take for a host.
var (
	targetSegments = []string{"", "a", "%2F", "%2f", ".", "..", "%2e%2e", "a%20b", "%zz", "%", ";x=1", "a@b:80", ":", "ä", "{", "^", "|", "~", "*", "http:", "%00", "\\", "\"", "<"}
	targetQueries  = []string{"", "", "?", "??", "?x=1&x=2", "?//y", "?%zz", "?a=%2F", "?ä", "?a;b", "?a{b", "?x#y", "?+%2B"}
	targetPrefixes = []string{"/", "/", "/", "//", "///", "", "*", "http://" + host + "/", "http://other/", host + ":80"}
	targetMethods  = []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodDelete, http.MethodPatch, "OPTIONS", "PURGE"}
)

func pickOne(rng *rand.Rand, from []string) string { return from[rng.IntN(len(from))] }

// randomTarget returns a request target: in one of the forms of HTTP, or in none.
func randomTarget(rng *rand.Rand) string {
	segments := make([]string, rng.IntN(5))
	for i := range segments {
		segments[i] = pickOne(rng, targetSegments)
	}
	return pickOne(rng, targetPrefixes) + strings.Join(segments, "/") + pickOne(rng, targetQueries)
}

// originForm matches the targets that the grammar of URIs allows in a request to a server. Every
// one of them must be served.
var originForm = regexp.MustCompile(`^/([-a-zA-Z0-9._~!$&'()*+,;=:@/]|%[0-9a-fA-F]{2})*(\?([-a-zA-Z0-9._~!$&'()*+,;=:@/?]|%[0-9a-fA-F]{2})*)?$`)

// randomRequest returns a request with an ID, and how a replica must receive it.
func randomRequest(rng *rand.Rand, id string) (raw string, want received) {
	const body = "0123456789"
	method, target, size := pickOne(rng, targetMethods), randomTarget(rng), rng.IntN(len(body)+1)
	repeated := fmt.Sprintf("X-Repeated: %d\r\nX-Other: o\r\nx-repeated: %d, 3\r\n", rng.IntN(9), rng.IntN(9))
	framing := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", size, body[:size])
	switch {
	case rng.IntN(3) == 0 && size > 0:
		framing = fmt.Sprintf("Transfer-Encoding: chunked\r\nTrailer: X-Trailer\r\n\r\n1\r\n%s\r\n%x;ext=1\r\n%s\r\n0\r\nX-Trailer: t\r\n\r\n", body[:1], max(1, size-1), body[1:max(2, size)])
		size = max(2, size)
	case rng.IntN(4) == 0: // no framing: no body
		framing, size = "\r\n", 0
	}
	raw = method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\nX-Api-Key: key-1\r\nDeadline-Ms: 1500\r\nAttempt-Id: " + id + "\r\n" + repeated + framing
	return raw, received{method + " " + target + " HTTP/1.1\r\n" + repeated, []byte(body[:size])}
}

// matches reports whether a replica received a request as it was sent: the request line and the
// body byte for byte, and the values of a repeated header in their order.
func (want received) matches(t *testing.T, got received) bool {
	t.Helper()
	wantLine, wantHeaders, _ := strings.Cut(want.head, "\r\n")
	gotLine, _, _ := strings.Cut(got.head, "\r\n")
	return gotLine == wantLine && string(got.body) == string(want.body) && fmt.Sprint(repeatedValues(got.head)) == fmt.Sprint(repeatedValues("\r\n"+wantHeaders))
}

// repeatedValues returns the values of the header X-Repeated, in the order of their lines.
func repeatedValues(head string) []string {
	var values []string
	for line := range strings.SplitSeq(head, "\r\n") {
		if name, value, ok := strings.Cut(line, ":"); ok && strings.EqualFold(name, "X-Repeated") {
			values = append(values, strings.TrimSpace(value))
		}
	}
	return values
}

// exchangeRaw sends a request on a connection of its own, and returns the status of the answer.
func exchangeRaw(address, raw string) (status int, err error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.WriteString(conn, raw); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// Guards against replicas that run a request with another target, body or header than the caller
// sent, directly or through a peer. What can't be passed on as it is must be refused.
func TestRequestsReachReplicasAsSent(t *testing.T) {
	t.Parallel()
	const requests = 600
	for _, throughPeer := range []bool{false, true} {
		t.Run(fmt.Sprint("through a peer: ", throughPeer), func(t *testing.T) {
			t.Parallel()
			f := newFixtureOf(t)
			replica := f.addRecordingReplica()
			fleet, _ := f.startFleet(2)
			g := fleet[1]
			if throughPeer {
				g.gateway.SimulateCut(time.Minute, false)
			}
			rng := rand.New(rand.NewPCG(1, 2))
			for n := range requests {
				raw, want := randomRequest(rng, fmt.Sprintf("a%07x", n))
				status, err := exchangeRaw(g.callers, raw)
				f.Expect(err).NotTo(HaveOccurred(), raw)
				seen := replica.drain()
				if status != http.StatusOK {
					f.Expect(originForm.MatchString(strings.Fields(raw)[1])).To(BeFalse(), raw)
					f.Expect(seen).To(BeEmpty(), raw)
					f.Expect(status).To(And(BeNumerically(">=", 400), BeNumerically("<", 500)), raw)
					continue
				}
				f.Expect(seen).To(HaveLen(1), raw)
				f.Expect(want.matches(t, seen[0])).To(BeTrue(), "sent %q, received %q %q", raw, seen[0].head, seen[0].body)
			}
		})
	}
}

// addRecordingReplica adds a route for all paths and a replica of its service that records the
// requests.
func (f *fixture) addRecordingReplica() *recordingReplica {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	f.Expect(err).NotTo(HaveOccurred())
	f.test.Cleanup(func() { _ = l.Close() })
	replica := &recordingReplica{}
	go replica.serve(l)
	f.store.Put("servers/rec", map[string]any{"service": "recorded", "address": l.Addr().String(), "zone": site.DefaultFailureDomain, "concurrency": 64, "phase": "ready"})
	f.version++
	c := site.GatewayConfig(f.version, f.keys)
	c["routes"] = append(c["routes"].([]any), map[string]any{
		"name": "all", "hostname": host, "prefix": "/", "route_type": "safe", "service": "recorded", "attempts": 1, "timeout_ms": 2000, "goal_ms": 500, "priority": 1,
	})
	c["services"] = append(c["services"].([]any), map[string]any{"name": "recorded", "max_conns": 50})
	f.store.Put("op/config", c)
	return replica
}
