package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/gateway"
	"github.com/wheatseam/wheatseam/internal/standin/site"
)

// Seen: callers had their streams broken off, some 840 ms after the last event, though
// no engine was slow or failing; 59 on one day of 295 hosts.
//
// How it came about: an engine that reads a long prompt keeps its other streams silent
// for seconds. The daemon took a silence of 0.6 of the route's objective for the end of
// the engine, closed the connection, and only then asked whether the stream may go on
// elsewhere: budget of repeats, another replica, inputs, verdict. Each no ended an
// answer that was on its way.
//
// Proved by the attempts' lines: "the replica broke off: context canceled" names the
// daemon's own context, and the replicas were at work.

const (
	// pauseOfEngine is longer than a daemon may take for the end of an engine by itself.
	pauseOfEngine = 1200 * time.Millisecond
	// longDeadline is what callers on longPath give a request.
	longDeadline = 5 * time.Second
	// goesOnWithin is when a stream goes on elsewhere at the latest after its engine is
	// gone. Callers leave after callersWait without an event.
	goesOnWithin = 3 * time.Second
	callersWait  = 4 * time.Second
	// closeSeen is the time until a replica has seen its connection close.
	closeSeen = 200 * time.Millisecond
)

// patient gives a request longDeadline.
func patient(r *http.Request) { r.Header.Set("Deadline-Ms", fmt.Sprint(longDeadline.Milliseconds())) }

// patientWithStage gives a request longDeadline and asks for pieces.
func patientWithStage(r *http.Request) {
	patient(r)
	r.Header.Set("Piece-Count", "2")
	r.Header.Set("Piece-Key", "pk")
}

// noRepeats leaves no budget of repeats.
func noRepeats(s *gateway.Settings) { s.Budget.Ratio, s.Budget.Slack = 0, 0 }

// without takes replicas away.
func (f *fixture) without(ids ...string) {
	for _, id := range ids {
		f.store.Delete("servers/" + id)
		f.replicas[id].Close()
		delete(f.replicas, id)
	}
}

// sendWatched sends a patient request on longPath; first is called at its first event.
func (r *running) sendWatched(change func(*http.Request), first func()) (answer, string) {
	r.test.Helper()
	id := fmt.Sprintf("%08x", nextID.Add(1))
	req, err := http.NewRequest(http.MethodPost, "http://"+r.callers+longPath, strings.NewReader("prompt"))
	r.Expect(err).NotTo(HaveOccurred())
	req.Host = host
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("X-Api-Key", "key-1")
	change(req)
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return answer{err: err}, id
	}
	defer resp.Body.Close()
	var body strings.Builder
	lines := bufio.NewReader(resp.Body)
	line, err := lines.ReadString('\n')
	body.WriteString(line)
	first()
	if err == nil {
		_, err = io.Copy(&body, lines)
	}
	return answer{resp.StatusCode, resp.Header, body.String(), err}, id
}

// pausing is a case of engines that pause and go on.
type pausing struct {
	name string
	// afterEvents is where they pause.
	afterEvents int
	// before changes the site, settings the daemon's.
	before   func(*fixture)
	settings func(*gateway.Settings)
	change   func(*http.Request)
	// first is called at the first event of a stream.
	first func(*fixture, pausing)
	// streams is the number of streams at once, 0 for one.
	streams int
	// noOrders engines know neither reports nor holds.
	noOrders bool
}

func (c pausing) run(t *testing.T) {
	f := newFixtureOf(t)
	f.behave("llm", site.Behaviour{PauseAfterEvents: c.afterEvents, Pause: pauseOfEngine, NoOrders: c.noOrders})
	if c.before != nil {
		c.before(f)
	}
	g := f.startWith(zap.NewNop(), c.settings).ready()
	change := c.change
	if change == nil {
		change = patient
	}
	var once sync.Once
	first := func() {
		if c.first != nil {
			once.Do(func() { c.first(f, c) })
		}
	}
	var streams sync.WaitGroup
	for range max(1, c.streams) {
		streams.Go(func() {
			a, id := g.sendWatched(change, first)
			if a.status != http.StatusOK || a.err != nil || a.body != whole(id, 1, 5) {
				t.Errorf("status %d, error %v, body %q", a.status, a.err, a.body)
			}
			for n, run := range f.ledger.Runs(id) {
				if n > 0 || run.End != site.Complete {
					t.Errorf("run %d at %s: %s", n+1, run.Replica, run.End)
				}
			}
		})
	}
	streams.Wait()
	f.Expect(f.ledger.Faults()).To(BeEmpty())
	holds := f.ledger.Holds()
	f.Expect(holds.Used+holds.Dropped).To(Equal(holds.Taken), "holds that were neither used nor given back")
}

// pauses are the cases in which a daemon cannot go on elsewhere, or need not.
var pauses = []pausing{
	{name: "with all there is to go on elsewhere", afterEvents: 2},
	{name: "before the first event", afterEvents: 0},
	{name: "after the first event", afterEvents: 1},
	{name: "four at once", afterEvents: 2, streams: 4},
	{name: "without budget of repeats", afterEvents: 2, settings: noRepeats},
	{name: "without budget of repeats, before the first event", afterEvents: 0, settings: noRepeats},
	{name: "without budget of repeats, four at once", afterEvents: 2, settings: noRepeats, streams: 4},
	{name: "with one engine", afterEvents: 2, before: oneEngine},
	{name: "with one engine, before the first event", afterEvents: 0, before: oneEngine},
	{name: "with the other engine draining", afterEvents: 2, before: otherDrains},
	{name: "with both engines draining since the first event", afterEvents: 1, first: bothDrain},
	{name: "with both engines refusing since the first event", afterEvents: 1, first: bothRefuse},
	{name: "with stages", afterEvents: 2, change: patientWithStage},
	{name: "with stages that are gone since the first event", afterEvents: 1, change: patientWithStage, first: noStages},
}

func oneEngine(f *fixture)   { f.without("e2") }
func otherDrains(f *fixture) { f.register(f.replicas["e2"], "draining") }

func noStages(f *fixture, _ pausing) { f.without("s1", "s2") }

func bothDrain(f *fixture, _ pausing) {
	f.register(f.replicas["e1"], "draining")
	f.register(f.replicas["e2"], "draining")
}

// bothRefuse has the engines refuse what comes from now on.
func bothRefuse(f *fixture, c pausing) {
	f.behave("llm", site.Behaviour{Shed: true, NoOrders: c.noOrders})
}

// Streams that pause and go on arrive whole: by the one run that began them.
func TestStreamsThatPauseArriveWhole(t *testing.T) {
	for _, c := range pauses {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			c.run(t)
		})
	}
}

// So they do where the engine does not tell what it is at and nothing can replace it.
func TestStreamsOfEnginesThatTellNothingArriveWhole(t *testing.T) {
	for _, c := range pauses {
		replaceable := c.settings == nil && c.before == nil && c.first == nil
		if replaceable {
			continue
		}
		c.noOrders = true
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			c.run(t)
		})
	}
}

// departures are the ways in which an engine is gone without a word.
var departures = []struct {
	name    string
	silence site.Silence
	within  time.Duration
}{
	{"the process hangs", site.Frozen, goesOnWithin},
	{"the process hangs and its port takes no connections", site.Vanished, goesOnWithin},
	{"the connection is silent while the run goes on", site.Muted, goesOnWithin},
	{"the run stands still while the process answers", site.StandsStill, callersWait},
}

// gone has the first engine fall silent for good after so many events. Its events
// take a while, so that a muted run is under way when it is found.
func (f *fixture) gone(silence site.Silence, afterEvents int) {
	const eventEvery = 20 * time.Millisecond
	f.replicas["e1"].Behave(site.Behaviour{PauseAfterEvents: afterEvents, Silence: silence, EventEvery: eventEvery})
}

// sendTo sends requests until one has begun at the first engine, and returns that one
// and how long it took.
func (f *fixture) sendTo(g *running, change func(*http.Request)) (a answer, id string, took time.Duration) {
	f.test.Helper()
	const most = 40 // engines are drawn
	for range most {
		began := time.Now()
		a, id = g.sendWatched(change, func() {})
		if runs := f.ledger.Runs(id); len(runs) > 0 && runs[0].Replica == "e1" {
			return a, id, time.Since(began)
		}
	}
	f.test.Fatalf("no request came to e1")
	return a, id, took
}

// An engine that is gone is left, and the stream goes on at another one: whole, and not
// before the first run was ended.
func TestStreamsOfEnginesThatAreGoneGoOnElsewhere(t *testing.T) {
	for _, d := range departures {
		for _, afterEvents := range []int{0, 2} {
			for kind, change := range map[string]func(*http.Request){"": patient, ", with stages": patientWithStage} {
				t.Run(fmt.Sprintf("%s after %d events%s", d.name, afterEvents, kind), func(t *testing.T) {
					t.Parallel()
					f := newFixtureOf(t)
					f.gone(d.silence, afterEvents)
					a, id, took := f.sendTo(f.start().ready(), change)
					f.Expect(a.err).NotTo(HaveOccurred())
					f.Expect(a.body).To(Equal(whole(id, 1, 5)))
					runs := f.ledger.Runs(id)
					f.Expect(runs).To(HaveLen(2))
					f.Expect(runs[0].End).NotTo(Equal(site.UnderWay))
					f.Expect(runs[1].At).To(BeTemporally(">", runs[0].Ended.Add(-closeSeen)), "the second run begins when the first is ended")
					f.Expect(f.ledger.Faults()).To(BeEmpty())
					t.Logf("whole %s after its beginning", took.Round(time.Millisecond))
					f.Expect(took).To(BeNumerically("<", d.within))
				})
			}
		}
	}
}

// An engine that may be gone is waited for while nothing can replace it: the answer ends
// at the deadline.
func TestStreamsThatNothingReplacesAreWaitedFor(t *testing.T) {
	const deadline = callersWait
	waits := func(r *http.Request) { r.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds())) }
	for _, d := range departures {
		for _, afterEvents := range []int{0, 2} {
			t.Run(fmt.Sprintf("%s after %d events", d.name, afterEvents), func(t *testing.T) {
				t.Parallel()
				f := newFixtureOf(t)
				f.without("e2")
				f.gone(d.silence, afterEvents)
				a, id, took := f.sendTo(f.start().ready(), waits)
				if afterEvents == 0 {
					f.Expect(a.status).To(Equal(http.StatusGatewayTimeout))
				} else {
					f.Expect(a.err).To(HaveOccurred(), "looks complete")
					f.Expect(a.body).To(Equal(whole(id, 1, afterEvents)))
				}
				f.Expect(took).To(BeNumerically("~", deadline, deadline/10), "the deadline")
				f.Expect(f.ledger.Runs(id)).To(HaveLen(1))
				f.Eventually(func() site.End { return f.ledger.Runs(id)[0].End }, "1s").ShouldNot(Equal(site.UnderWay))
				if run := f.ledger.Runs(id)[0]; run.End == site.Cancelled {
					f.Expect(run.Ended.Sub(run.At)).To(BeNumerically("~", deadline, deadline/10), "given up before the deadline")
				}
			})
		}
	}
}
