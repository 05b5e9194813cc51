package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"os/exec"
	"path"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/internal/standin/site"
)

// plantedFault changes the streams that daemons send before callers read them, each at most once.
type plantedFault struct {
	http.RoundTripper
	// plant returns the changed events of an answer that has at least minEvents, without their ends,
	// and whether it then ends without an error.
	plant func(events []string) (changed []string, complete bool)
	// resumed is set if answers to attempts that take a stream up are changed, all of them, rather
	// than one in plantOneIn of the others.
	resumed   bool
	minEvents int
	// otherStream is set if daemons are asked to take up another stream, that another version has
	// begun, in place of each one.
	otherStream bool
	seen        *plantedStreams
}

// plantedStreams holds the streams that callers of a run have begun, and in which a fault was
// planted.
type plantedStreams struct {
	mu sync.Mutex
	// candidates counts the answers that could have been changed.
	candidates int
	planted    map[string]bool
	begun      map[string]begunStream
}

// begunStream is a stream that has brought an event: the version that began it, and its request.
type begunStream struct{ version, route, content, prompt string }

func newPlantedStreams() *plantedStreams {
	return &plantedStreams{planted: map[string]bool{}, begun: map[string]begunStream{}}
}

// minPlantedEvents is the least number of events of an answer to a first attempt that is changed.
const minPlantedEvents = 3

// plantOneIn is the number of streams of which one is changed.
const plantOneIn = 3

// RoundTrip implements http.RoundTripper. It reads the whole answer before it returns it.
func (f plantedFault) RoundTrip(req *http.Request) (*http.Response, error) {
	stream, resumed := req.Header.Get("Resumes"), req.Header.Get("Resumes") != ""
	if !resumed {
		stream = req.Header.Get("Attempt-Id")
	}
	if resumed && f.otherStream {
		req = f.seen.nameOther(req, stream)
	}
	resp, err := f.RoundTripper.RoundTrip(req)
	if err != nil || resp.StatusCode != http.StatusOK || resp.Header.Get("Content-Type") != "text/event-stream" {
		return resp, err
	}
	body, readErr := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	f.seen.note(stream, req, string(body), resumed)
	events := strings.SplitAfter(string(body), "\n\n")
	if n := len(events) - 1; f.plant != nil && resumed == f.resumed && n >= f.minEvents && f.seen.choose(stream, resumed) {
		changed, complete := f.plant(events[:n])
		body = []byte(strings.Join(changed, ""))
		if complete {
			readErr = nil
		}
	}
	rest := io.Reader(bytes.NewReader(body))
	if readErr != nil {
		rest = io.MultiReader(rest, iotest.ErrReader(readErr))
	}
	resp.Body = io.NopCloser(rest)
	return resp, nil
}

// note notes which version began a stream, or that another one went on with it.
func (p *plantedStreams) note(stream string, req *http.Request, body string, resumed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	versions := receivedVersions(body)
	switch {
	case len(versions) == 0:
	case !resumed:
		route, content := path.Split(req.URL.Path)
		p.begun[stream] = begunStream{versions[0], route, content, req.Header.Get("Prefix-Hash")}
	case p.begun[stream].version != versions[0]:
		p.planted[stream] = true
	}
}

// plantedCount returns the number of streams in which a fault was planted.
func (p *plantedStreams) plantedCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.planted)
}

// choose reports whether the answer of a stream is to be changed.
func (p *plantedStreams) choose(stream string, resumed bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.candidates++
	if p.planted[stream] || !resumed && p.candidates%plantOneIn != 0 {
		return false
	}
	p.planted[stream] = true
	return true
}

// nameOther returns a request that takes up a stream of the same route which another version has
// begun, in place of the named one.
func (p *plantedStreams) nameOther(req *http.Request, stream string) *http.Request {
	p.mu.Lock()
	defer p.mu.Unlock()
	own := p.begun[stream]
	for _, id := range slices.Sorted(maps.Keys(p.begun)) {
		other := p.begun[id]
		if other.version == own.version || other.route != own.route {
			continue
		}
		req = req.Clone(req.Context())
		req.URL.Path = other.route + other.content
		req.Header.Set("Resumes", id)
		req.Header.Set("Prefix-Hash", other.prompt)
		req.Body, req.ContentLength = io.NopCloser(strings.NewReader(other.content)), int64(len(other.content))
		return req
	}
	return req
}

// buildDaemon builds the daemon and returns the path of its binary.
func buildDaemon(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "wheatseamd")
	out, err := exec.Command("go", "build", "-o", binary, "../cmd/wheatseamd").CombinedOutput()
	NewWithT(t).Expect(err).NotTo(HaveOccurred(), string(out))
	return binary
}

// Guards against a soak that does not see the faults of streams which it is to find: each is
// planted between daemons and callers, while all daemons are lost, so that streams break off and are
// taken up.
func TestSoakFindsPlantedFaults(t *testing.T) {
	binary := buildDaemon(t)
	otherVersion := strings.NewReplacer("version: v1", "version: v2", "version: v2", "version: v1")
	eventBefore := func(event string) string {
		e, _ := site.ParseEvents(event)
		n := e[0].ID
		return strings.NewReplacer(fmt.Sprintf("id: %d\n", n), fmt.Sprintf("id: %d\n", n-1), fmt.Sprintf("token %d ", n), fmt.Sprintf("token %d ", n-1)).Replace(event)
	}
	type testCase struct {
		name  string
		fault streamFault
		plant func(events []string) ([]string, bool)
	}
	first := []testCase{
		{"none", "", nil},
		{"missing event", missingEvents, func(e []string) ([]string, bool) { return append([]string{e[0]}, e[2:]...), false }},
		{"repeated event", repeatedEvents, func(e []string) ([]string, bool) { return append([]string{e[0], e[1]}, e[1:]...), false }},
		{"early end that looks complete", endedEarly, func(e []string) ([]string, bool) { return e[:2], true }},
		{"events of two versions", joinedStream, func(e []string) ([]string, bool) {
			return append([]string{e[0], e[1], otherVersion.Replace(e[2])}, e[3:]...), false
		}},
		{"event of another request", foreignEvents, func(e []string) ([]string, bool) {
			return append([]string{e[0], strings.Replace(e[1], " of ", " of x", 1)}, e[2:]...), false
		}},
	}
	resumed := []testCase{
		{"taken up too late", missingEvents, func(e []string) ([]string, bool) { return e[1:], false }},
		{"taken up too early", repeatedEvents, func(e []string) ([]string, bool) { return append([]string{eventBefore(e[0])}, e...), false }},
		{"taken up at another version", joinedStream, func(e []string) ([]string, bool) {
			return strings.SplitAfter(otherVersion.Replace(strings.Join(e, "")), "\n\n"), false
		}},
		{"taken up, early end that looks complete", endedEarly, func(e []string) ([]string, bool) { return e[:1], true }},
		{"taken up, events of another request", foreignEvents, func(e []string) ([]string, bool) {
			return append([]string{strings.Replace(e[0], " of ", " of x", 1)}, e[1:]...), false
		}},
	}
	// run runs callers while all daemons are lost, until a fault has been planted.
	run := func(t *testing.T, callers int, f plantedFault) (*runner, int) {
		f.seen = newPlantedStreams()
		r := newRunner(Config{Binary: binary, Dir: t.TempDir(), Seed: 1, Daemons: 2, Callers: callers, Losses: true})
		r.wrapTransport = func(next http.RoundTripper) http.RoundTripper {
			f := f
			f.RoundTripper = next
			return f
		}
		t.Cleanup(r.close)
		NewWithT(t).Expect(r.start()).To(Succeed())
		wanted := f.plant != nil || f.otherStream
		r.runWithLosses(3*time.Second, func() bool { return !wanted || f.seen.plantedCount() > 0 })
		r.checkEvents()
		r.countStreams()
		r.report.Print(t.Output())
		return r, f.seen.plantedCount()
	}
	// expectFound expects that the soak has found the planted faults, and no other.
	expectFound := func(g *WithT, r *runner, fault streamFault, planted int) {
		if fault == "" {
			g.Expect(r.report.Streams.WithFault).To(BeEmpty())
			g.Expect(r.report.Violations).To(BeEmpty())
			return
		}
		g.Expect(planted).To(BeNumerically(">", 0))
		g.Expect(r.report.Streams.WithFault).To(Equal(map[string]int{string(fault): planted}))
		g.Expect(r.report.Violations).To(HaveLen(planted))
		g.Expect(r.report.Violations[0]).To(HavePrefix("order: " + string(fault) + ": "))
	}
	for _, test := range first {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			r, planted := run(t, 12, plantedFault{plant: test.plant, minEvents: minPlantedEvents})
			expectFound(NewWithT(t), r, test.fault, planted)
		})
	}
	for _, test := range resumed {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			r, planted := run(t, 24, plantedFault{plant: test.plant, resumed: true, minEvents: 2})
			expectFound(NewWithT(t), r, test.fault, planted)
			if test.fault == joinedStream {
				NewWithT(t).Expect(r.report.Streams.JoinedBy).NotTo(HaveKey("within one answer"))
			}
		})
	}
	// The daemons themselves decide on a wrong version.
	t.Run("decided for another stream", func(t *testing.T) {
		t.Parallel()
		r, planted := run(t, 24, plantedFault{otherStream: true})
		expectFound(NewWithT(t), r, joinedStream, planted)
		for evidence := range r.report.Streams.JoinedBy {
			NewWithT(t).Expect(r.report.Streams.ByEvidence).To(HaveKey(evidence))
		}
	})
}

// maxLosses bounds how often all daemons are lost in runWithLosses.
const maxLosses = 8

// runWithLosses runs the callers, and loses all daemons in the middle of an interval, until done
// reports true at its end. Each interval is longer than the one before: on a machine that has other
// work, callers may have no stream yet at the time of a loss.
func (r *runner) runWithLosses(interval time.Duration, done func() bool) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r.slowStreams(minEventInterval)
	var wg sync.WaitGroup
	for i := range r.cfg.Callers {
		wg.Go(func() { r.runCaller(ctx, i) })
	}
	rng := rand.New(rand.NewPCG(r.cfg.Seed, 1))
	for n := range maxLosses {
		half := time.Duration(n+1) * interval / 2
		sleep(ctx, half)
		r.loseAll(ctx, rng, lossOfAll, func() {})
		sleep(ctx, half)
		if done() {
			break
		}
	}
	cancel()
	wg.Wait()
}
