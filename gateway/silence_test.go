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
	// longPause is longer than any engine is waited for that could be replaced.
	longPause = 2500 * time.Millisecond
	// oldReport is the age of old reports.
	oldReport = 400 * time.Millisecond
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
	// pause is how long they pause, 0 for pauseOfEngine, and lag how old their reports are.
	pause, lag time.Duration
	// noOrders engines know neither reports nor holds.
	noOrders bool
}

func (c pausing) run(t *testing.T) {
	f := newFixtureOf(t)
	if c.pause == 0 {
		c.pause = pauseOfEngine
	}
	f.behave("llm", site.Behaviour{PauseAfterEvents: c.afterEvents, Pause: c.pause, NoOrders: c.noOrders})
	f.replicas["e1"].ReportLag, f.replicas["e2"].ReportLag = c.lag, c.lag
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
			if wrong := c.wrong(f.ledger.Runs(id)); wrong != "" {
				t.Error(wrong)
			}
		})
	}
	streams.Wait()
	f.Expect(f.ledger.Faults()).To(BeEmpty())
	f.keepsNoHold()
}

// wrong returns what is wrong with the runs of a stream; "" for nothing.
func (c pausing) wrong(runs []site.Run) string {
	if (c.noOrders || c.pause > pauseOfEngine) && c.replaceable() && len(runs) == 2 {
		return notInTurn(runs)
	}
	for n, run := range runs {
		if n > 0 || run.End != site.Complete {
			return fmt.Sprintf("run %d of %d at %s: %s", n+1, len(runs), run.Replica, run.End)
		}
	}
	return ""
}

// replaceable says whether a stream could go on elsewhere.
func (c pausing) replaceable() bool { return c.settings == nil && c.before == nil && c.first == nil }

// notInTurn returns what is wrong with two runs of which the second is to begin when the
// first is ended; "" for nothing.
func notInTurn(runs []site.Run) string {
	first, second := runs[0], runs[1]
	if first.End == site.UnderWay || second.At.Before(first.Ended.Add(-closeSeen)) {
		return fmt.Sprintf("the second run began at %s, the first ended at %s: %s", second.At, first.Ended, first.End)
	}
	return ""
}

// keepsNoHold checks that every hold was used or given back.
func (f *fixture) keepsNoHold() {
	f.test.Helper()
	f.Eventually(func() int {
		holds := f.ledger.Holds()
		return holds.Taken - holds.Used - holds.Dropped
	}, "1s").Should(BeZero(), "holds that were neither used nor given back")
}

// pauses are the cases in which a daemon cannot go on elsewhere, or need not.
var pauses = []pausing{
	{name: "with all there is to go on elsewhere", afterEvents: 2},
	{name: "before the first event", afterEvents: 0},
	{name: "after the first event", afterEvents: 1},
	{name: "with reports that are old, before the first event", afterEvents: 0, lag: oldReport},
	{name: "with reports that are old", afterEvents: 2, lag: oldReport},
	{name: "four at once", afterEvents: 2, streams: 4},
	{name: "without budget of repeats", afterEvents: 2, settings: noRepeats},
	{name: "without budget of repeats, before the first event", afterEvents: 0, settings: noRepeats},
	{name: "without budget of repeats, four at once", afterEvents: 2, settings: noRepeats, streams: 4},
	{name: "with one engine", afterEvents: 2, before: oneEngine},
	{name: "with one engine, before the first event", afterEvents: 0, before: oneEngine},
	{name: "with the other engine draining", afterEvents: 2, before: otherDrains},
	{name: "with both engines draining since the first event", afterEvents: 1, first: bothDrain},
	{name: "with both engines saying that they leave since the first event", afterEvents: 1, first: bothSayLeaving},
	{name: refusing, afterEvents: 1, first: bothRefuse},
	{name: "with stages", afterEvents: 2, change: patientWithStage},
	{name: "with stages that are gone since the first event", afterEvents: 1, change: patientWithStage, first: noStages},
}

// refusing is the name of a case.
const refusing = "with both engines refusing since the first event"

func oneEngine(f *fixture)   { f.without("e2") }
func otherDrains(f *fixture) { f.register(f.replicas["e2"], "draining") }

func noStages(f *fixture, _ pausing) { f.without("s1", "s2") }

func bothDrain(f *fixture, _ pausing) {
	f.register(f.replicas["e1"], "draining")
	f.register(f.replicas["e2"], "draining")
}

// bothSayLeaving has the engines say so in what they answer from now on: the daemon hears it
// with the place that it has held.
func bothSayLeaving(f *fixture, _ pausing) {
	f.replicas["e1"].SayLeaving()
	f.replicas["e2"].SayLeaving()
}

// bothRefuse has the engines refuse what comes from now on.
func bothRefuse(f *fixture, c pausing) {
	f.behave("llm", site.Behaviour{Shed: true, NoOrders: c.noOrders})
}

// Streams that pause and go on arrive whole: by the one run that began them.
func TestStreamsThatPauseArriveWhole(t *testing.T) {
	t.Parallel()
	for _, c := range pauses {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			c.run(t)
		})
	}
}

// So they do where the engine does not tell what it is at; it may be replaced where
// that is possible.
func TestStreamsOfEnginesThatTellNothingArriveWhole(t *testing.T) {
	t.Parallel()
	for _, c := range pauses {
		c.noOrders = true
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			c.run(t)
		})
	}
}

// So they do where they pause for longer than any engine is waited for that could be
// replaced, whether engines tell what they are at or not.
func TestStreamsThatPauseForLongArriveWhole(t *testing.T) {
	t.Parallel()
	for i := range 2 * len(pauses) {
		c := pauses[i/2]
		c.pause, c.noOrders = longPause, i%2 == 1
		if c.noOrders && c.name == refusing {
			continue // the test below
		}
		t.Run(fmt.Sprintf("%s, no orders %t", c.name, c.noOrders), func(t *testing.T) {
			t.Parallel()
			c.run(t)
		})
	}
}

// So they do where the engine that would replace theirs refuses, and told nothing of it
// before.
func TestStreamsThatPauseForLongAreNotLeftForEnginesThatRefuse(t *testing.T) {
	t.Parallel()
	pausing{afterEvents: 1, first: bothRefuse, pause: longPause, noOrders: true}.run(t)
}

// goesOnMeanwhile has streams go on by themselves at about the time at which another
// engine is secured for them; check is called with each.
func goesOnMeanwhile(t *testing.T, check func(f *fixture, a answer, id string)) {
	const step, holdWork = 50 * time.Millisecond, 150 * time.Millisecond
	for pause := 800 * time.Millisecond; pause <= time.Second; pause += step {
		t.Run(pause.String(), func(t *testing.T) {
			t.Parallel()
			f := newFixtureOf(t)
			f.behave("llm", site.Behaviour{PauseAfterEvents: 1, Pause: pause, HangReports: true, HoldWork: holdWork})
			a, id := f.start().ready().sendWatched(patientWithStage, func() {})
			check(f, a, id)
		})
	}
}

func TestStreamsThatGoOnMeanwhileArriveWhole(t *testing.T) {
	t.Parallel()
	goesOnMeanwhile(t, func(f *fixture, a answer, id string) {
		f.Expect(a.err).NotTo(HaveOccurred())
		f.Expect(a.body).To(Equal(whole(id, 1, 5)))
		if runs := f.ledger.Runs(id); len(runs) > 1 {
			f.Expect(notInTurn(runs)).To(BeEmpty())
		}
		f.Expect(f.ledger.Faults()).To(BeEmpty())
		f.Eventually(func() int { _, _, held := f.ledger.Results(); return held }, "1s").Should(BeZero())
	})
}

// A place that was being held for a stream that went on by itself is given back.
func TestPlacesHeldForStreamsThatGoOnMeanwhileAreGivenBack(t *testing.T) {
	t.Parallel()
	goesOnMeanwhile(t, func(f *fixture, _ answer, _ string) { f.keepsNoHold() })
}

// A verdict on the request that comes while its stream pauses does not end the stream,
// whether the engine tells what it is at or not.
func TestStreamsOfRequestsCondemnedMeanwhileArriveWhole(t *testing.T) {
	t.Parallel()
	for _, noOrders := range []bool{false, true} {
		t.Run(fmt.Sprintf("no orders %t", noOrders), func(t *testing.T) {
			t.Parallel()
			f := newFixtureOf(t)
			f.without("e2")
			f.behave("llm", site.Behaviour{PauseAfterEvents: 1, Pause: 3 * time.Second, NoOrders: noOrders})
			g := f.start().ready()
			a, id := g.sendWatched(patient, func() { f.condemn(g, "prompt") })
			f.Expect(a.err).NotTo(HaveOccurred())
			f.Expect(a.body).To(Equal(whole(id, 1, 5)))
			f.Expect(f.ledger.Runs(id)).To(HaveLen(1))
		})
	}
}

// condemn has three new engines crash under a body, until the daemon refuses it; no
// other engine is sent requests.
func (f *fixture) condemn(g *running, body string) {
	crashed := make(chan string, 100)
	for _, id := range []string{"x1", "x2", "x3"} {
		x := f.add(id, "llm", site.Engine)
		x.Born = time.Now().UnixMilli()
		x.Returned = func(x *site.Replica) { f.register(x, "ready") }
		x.CrashUnder(site.Poison{Body: body, After: 20 * time.Millisecond, Down: 700 * time.Millisecond, Crashed: func(b string) { crashed <- b }})
		f.register(x, "ready")
	}
	f.register(f.replicas["e1"], "draining")
	hasty := func(r *http.Request) { r.Header.Set("Deadline-Ms", "300") }
	stop := make(chan struct{})
	defer close(stop)
	for range 12 {
		go func() {
			for {
				select {
				case <-stop:
					return
				default:
					g.send(http.MethodPost, longPath, body, hasty)
					time.Sleep(10 * time.Millisecond)
				}
			}
		}()
	}
	for range 3 {
		f.Eventually(crashed, "2s").Should(Receive())
	}
	f.Eventually(func() string {
		a, _ := g.send(http.MethodPost, longPath, body, hasty)
		return a.body
	}, "2s").Should(Equal("quarantined\n"))
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
	t.Parallel()
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
					f.Expect(notInTurn(runs)).To(BeEmpty())
					f.Expect(f.ledger.Faults()).To(BeEmpty())
					f.keepsNoHold()
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
	t.Parallel()
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
				f.keepsNoHold()
			})
		}
	}
}
