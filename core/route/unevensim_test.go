package route

import (
	"container/heap"
	"container/list"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/core/load"
	"github.com/wheatseam/wheatseam/core/request"
)

// The simulated deployment: engines of three classes of machines, and the kinds of requests
// of docs/design/uneven-load.md, deployment B, reduced to three fifths of the engines, hosts and
// rates to keep tests short. The page does not say how prompts are divided
// into shared and own tokens, and how many prefixes there are; these are chosen so that without
// slowdowns 15 of 100 chats pause for too long at the usual load, and 26 in bursts.
const (
	simEngines       = 36
	simHosts         = 49
	simSlots         = 64
	simChunk         = 4096                    // prompt tokens read between two steps
	simTokensPerMS   = 82.0                    // prompt tokens read per millisecond
	simStep          = 3700 * time.Microsecond // a step without a chunk
	simStepPerStream = 20 * time.Microsecond
	simStepsPerEvent = 6
	simInterval      = 600 * time.Millisecond // of the fast component
	simCachedTokens  = 120_000                // of shared prefixes in an engine's cache
	simGapObjective  = 400 * time.Millisecond
	// simAnnouncedPrefill is the prefill time from which 82 hosts announce a prompt.
	simAnnouncedPrefill = 82 * 4 * time.Millisecond
)

// simClasses are the slowdowns of the machines, a third of the engines each.
var simClasses = []float64{0.6, 1.0, 1.6}

// simKind is a kind of requests, with the results of those that count.
type simKind struct {
	name         string
	rate         float64 // requests a second
	objective    time.Duration
	ownTokens    float64 // median
	maxOwnTokens float64
	sharedTokens int
	prefixes     int
	events       int

	finished, firstLate, paused   int
	sharedRequests, sharedRereads int
}

func simKinds() []*simKind {
	return []*simKind{
		{name: "review", rate: 0.6 * 133, objective: 920 * time.Millisecond, ownTokens: 3600, maxOwnTokens: 46000, sharedTokens: 1500, prefixes: 240, events: 12},
		{name: "note", rate: 0.6 * 147, objective: 2200 * time.Millisecond, ownTokens: 2400, maxOwnTokens: 20000, sharedTokens: 1500, prefixes: 240, events: 4},
		{name: "chat", rate: 0.6 * 60, objective: 2400 * time.Millisecond, ownTokens: 2400, maxOwnTokens: 20000, sharedTokens: 1500, prefixes: 240, events: 47},
	}
}

type simRequest struct {
	id            string
	kind          *simKind
	choice        request.Choice
	router        int
	sentAt, first time.Time
	lastEvent     time.Time
	longestPause  time.Duration
	prefix        uint64
	unread        int // prompt tokens
	steps         int // steps of the stream made so far
	events        int
}

type simEngine struct {
	name    string
	class   float64
	reading []*simRequest // the first one's prompt is being read
	streams []*simRequest
	waiting []*simRequest
	busy    bool
	chunk   int // tokens read in the present step
	cache   *list.List
	cached  map[uint64]*list.Element
	tokens  int
	calls   int
	index   int
	hash    uint64
}

type cachedPrefix struct {
	hash   uint64
	tokens int
}

// slowdown returns the engine's slowdown at t: its machine's, with a factor of 2.5 in 15 of
// 100 intervals.
func (e *simEngine) slowdown(t time.Time) float64 {
	interval := uint64(t.UnixNano() / int64(simInterval))
	if mix64(interval*goldenRatio^e.hash)%100 < 15 {
		return 2.5 * e.class
	}
	return e.class
}

func hashOf(s string) uint64 {
	h := uint64(14695981039346656037)
	for _, b := range []byte(s) {
		h = (h ^ uint64(b)) * 1099511628211
	}
	return h
}

// readPrefix returns the tokens of a shared prefix that the engine must read, and keeps it in
// the cache.
func (e *simEngine) readPrefix(hash uint64, tokens int) int {
	if el := e.cached[hash]; el != nil {
		e.cache.MoveToFront(el)
		return 0
	}
	e.cached[hash] = e.cache.PushFront(cachedPrefix{hash, tokens})
	for e.tokens += tokens; e.tokens > simCachedTokens; {
		last := e.cache.Remove(e.cache.Back()).(cachedPrefix)
		delete(e.cached, last.hash)
		e.tokens -= last.tokens
	}
	return tokens
}

// startStep begins the next step if there is work, and returns its duration.
func (e *simEngine) startStep(now time.Time) (time.Duration, bool) {
	for len(e.waiting) > 0 && len(e.reading)+len(e.streams) < simSlots {
		e.reading = append(e.reading, e.waiting[0])
		e.waiting = e.waiting[1:]
	}
	if e.busy = len(e.reading)+len(e.streams) > 0; !e.busy {
		return 0, false
	}
	e.chunk = 0
	for _, r := range e.reading {
		e.chunk += min(r.unread, simChunk-e.chunk)
	}
	d := simStep + time.Duration(len(e.streams))*simStepPerStream + time.Duration(float64(e.chunk)/simTokensPerMS*float64(time.Millisecond))
	return time.Duration(float64(d) * e.slowdown(now)), true
}

type simEvent struct {
	at     time.Time
	engine int // -1 for others
	do     func()
}

type simEvents []simEvent

func (s simEvents) Len() int           { return len(s) }
func (s simEvents) Less(i, j int) bool { return s[i].at.Before(s[j].at) }
func (s simEvents) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }
func (s *simEvents) Push(x any)        { *s = append(*s, x.(simEvent)) }
func (s *simEvents) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// unevenFleet simulates hosts that route streams to engines on uneven machines. Each host
// knows its own calls, the load reports of the responses that it received, the long prompts
// that others announce and, if known is set, the slowdowns.
type unevenFleet struct {
	rng     *rand.Rand
	now     time.Time
	events  simEvents
	routers []*Router
	engines []*simEngine
	byName  map[string]*simEngine
	kinds   []*simKind
	// known says that the hosts receive slowdowns.
	known bool
	// recent holds the slowdowns observed in the last 3 s by engine, and shared the baselines
	// that the hosts know.
	recent   map[string][]simReport
	shared   map[string]float64
	burst    func(k *simKind, t time.Time) float64
	requests int
	errors   int
	// measuring is when requests begin to count.
	measuring time.Time
}

type simReport struct {
	at       time.Time
	slowdown float64
}

func newUnevenFleet(hosts int, known bool, seed uint64) *unevenFleet {
	f := &unevenFleet{
		rng: rand.New(rand.NewPCG(seed, 9)), now: start, known: known, kinds: simKinds(),
		byName: map[string]*simEngine{}, recent: map[string][]simReport{}, shared: map[string]float64{},
		burst: func(*simKind, time.Time) float64 { return 1 },
	}
	for i := range simEngines {
		e := &simEngine{index: i, name: fmt.Sprintf("u%d", i), class: simClasses[i/4%len(simClasses)], cache: list.New(), cached: map[uint64]*list.Element{}}
		e.hash = mix64(hashOf(e.name))
		f.engines = append(f.engines, e)
		f.byName[e.name] = e
	}
	for i := range hosts {
		r := New(Config{FailureDomain: fmt.Sprintf("d%d", i%4), Seed: seed<<20 + uint64(i), PrefixMinLoad: 0.35, PrefixBonus: 2, BacklogWeight: 4})
		r.Apply(testBundle(simEngines, simSlots, bundle.PolicyAdaptive))
		f.routers = append(f.routers, r)
	}
	return f
}

func (f *unevenFleet) at(t time.Time, do func()) { heap.Push(&f.events, simEvent{t, -1, do}) }

// run simulates warmup and then d, in which requests count.
func (f *unevenFleet) run(warmup, d time.Duration) {
	f.measuring = f.now.Add(warmup)
	end := f.measuring.Add(d)
	for _, k := range f.kinds {
		f.at(f.now, func() { f.arrive(k, end) })
	}
	f.at(f.now, func() { f.shareBaselines(end) })
	for len(f.events) > 0 {
		e := heap.Pop(&f.events).(simEvent)
		f.now = e.at
		if e.engine >= 0 {
			f.endStep(f.engines[e.engine])
		} else {
			e.do()
		}
	}
}

func (f *unevenFleet) arrive(k *simKind, end time.Time) {
	if !f.now.Before(end) {
		return
	}
	wait := f.rng.ExpFloat64() / (k.rate * f.burst(k, f.now))
	f.at(f.now.Add(time.Duration(wait*float64(time.Second))), func() { f.arrive(k, end) })
	f.send(k)
}

// send routes one request of a kind from a random host.
func (f *unevenFleet) send(k *simKind) {
	f.requests++
	own := min(k.maxOwnTokens, k.ownTokens*math.Exp(0.6*f.rng.NormFloat64()))
	// Prefixes are used with frequencies that decrease with the rank.
	u := f.rng.Float64()
	prefix := hashOf(fmt.Sprint(k.name, int(math.Pow(u, 1.5)*float64(k.prefixes))))
	r := &simRequest{id: fmt.Sprint(f.requests), kind: k, router: f.rng.IntN(len(f.routers)), sentAt: f.now, prefix: prefix, unread: int(own)}
	prefill := time.Duration(own / simTokensPerMS * float64(time.Millisecond))
	c, err := f.routers[r.router].Pick(f.now, request.Query{
		Request: r.id, Pool: pool, Stage: k.name, Kind: bundle.StageGenerate, Attempt: 1, Prefix: prefix,
		Budget: 10 * time.Second, PrefillTime: prefill, ExpectedFirstByte: prefill + 50*time.Millisecond,
		GapObjective: simGapObjective, ExpectedEvents: k.events,
	}, nil)
	if err != nil {
		f.errors++
		return
	}
	if prefill > simAnnouncedPrefill {
		for i, other := range f.routers {
			if i != r.router {
				other.ObservePeerPrompt(f.now, pool, c.Upstream, c.Address, prefill)
			}
		}
	}
	r.choice = c
	e := f.byName[c.Upstream]
	f.at(f.now.Add(time.Millisecond), func() { f.receive(e, r) })
}

// receive adds a request to an engine.
func (f *unevenFleet) receive(e *simEngine, r *simRequest) {
	shared := e.readPrefix(r.prefix, r.kind.sharedTokens)
	r.unread += shared
	if f.counts(r) {
		e.calls++
		r.kind.sharedRequests++
		if shared > 0 {
			r.kind.sharedRereads++
		}
	}
	e.waiting = append(e.waiting, r)
	if !e.busy {
		f.nextStep(e)
	}
}

func (f *unevenFleet) counts(r *simRequest) bool { return !r.sentAt.Before(f.measuring) }

func (f *unevenFleet) nextStep(e *simEngine) {
	if d, ok := e.startStep(f.now); ok {
		heap.Push(&f.events, simEvent{at: f.now.Add(d), engine: e.index})
	}
}

// endStep ends a step of an engine: its streams advance, and a chunk of prompts is read.
func (f *unevenFleet) endStep(e *simEngine) {
	kept := e.streams[:0]
	for _, r := range e.streams {
		if r.steps++; r.steps%simStepsPerEvent == 0 {
			f.event(e, r)
		}
		if r.events < r.kind.events {
			kept = append(kept, r)
			continue
		}
		f.finish(r)
	}
	e.streams = kept
	for chunk := e.chunk; len(e.reading) > 0; {
		r := e.reading[0]
		read := min(chunk, r.unread)
		r.unread, chunk = r.unread-read, chunk-read
		if r.unread > 0 {
			break
		}
		e.reading = e.reading[1:]
		e.streams = append(e.streams, r)
	}
	f.nextStep(e)
}

// event delivers an event of a stream to its host.
func (f *unevenFleet) event(e *simEngine, r *simRequest) {
	if r.events++; r.events == 1 {
		r.first = f.now
		host := f.routers[r.router]
		host.FirstByte(r.choice)
		host.Observe(f.report(e))
	} else {
		r.longestPause = max(r.longestPause, f.now.Sub(r.lastEvent))
	}
	r.lastEvent = f.now
}

// report returns the engine's load report.
func (f *unevenFleet) report(e *simEngine) load.Report {
	rep := load.Report{Upstream: e.name, AsOf: f.now, Running: len(e.reading) + len(e.streams), Queued: len(e.waiting)}
	if f.known {
		rep.Slowdown = e.slowdown(f.now)
		f.recent[e.name] = append(f.recent[e.name], simReport{f.now, rep.Slowdown})
	}
	return rep
}

func (f *unevenFleet) finish(r *simRequest) {
	took := f.now.Sub(r.sentAt)
	f.routers[r.router].Done(f.now, request.Outcome{
		Choice: r.choice, Stage: r.kind.name, Latency: took, FirstByte: r.first.Sub(r.sentAt), LongestPause: r.longestPause,
		Work: int((30*time.Millisecond + time.Duration(r.kind.events)*30*time.Millisecond).Milliseconds()),
	})
	if !f.counts(r) {
		return
	}
	r.kind.finished++
	if r.first.Sub(r.sentAt) > r.kind.objective {
		r.kind.firstLate++
	}
	if r.longestPause > simGapObjective {
		r.kind.paused++
	}
}

// shareBaselines gives all hosts the lowest slowdowns observed in the last 3 s, as the
// exchange of baselines does within about half a second.
func (f *unevenFleet) shareBaselines(end time.Time) {
	if !f.now.Before(end) || !f.known {
		return
	}
	for _, e := range f.engines {
		kept := f.recent[e.name][:0]
		lowest := math.Inf(1)
		for _, r := range f.recent[e.name] {
			if f.now.Sub(r.at) <= 3*time.Second {
				kept = append(kept, r)
				lowest = min(lowest, r.slowdown)
			}
		}
		f.recent[e.name] = kept
		if old := f.shared[e.name]; len(kept) == 0 || old > 0 && math.Abs(lowest-old) < 0.1*old {
			continue
		}
		f.shared[e.name] = lowest
		for _, r := range f.routers {
			r.SetBaselineSlowdown(f.now, pool, e.name, lowest)
		}
	}
	f.at(f.now.Add(500*time.Millisecond), func() { f.shareBaselines(end) })
}

// callsByClass returns the calls of the engines of each class.
func (f *unevenFleet) callsByClass() map[float64]int {
	calls := map[float64]int{}
	for _, e := range f.engines {
		calls[e.class] += e.calls
	}
	return calls
}

// perHundred returns n as a number of 100.
func perHundred(n, of int) float64 { return 100 * float64(n) / float64(max(1, of)) }

// summary describes the results of a run.
func (f *unevenFleet) summary() string {
	s := fmt.Sprintf("calls by class %v, errors %d;", f.callsByClass(), f.errors)
	for _, k := range f.kinds {
		s += fmt.Sprintf(" %s: %d, paused %.1f, first late %.1f, reread %.1f of 100;", k.name, k.finished,
			perHundred(k.paused, k.finished), perHundred(k.firstLate, k.finished), perHundred(k.sharedRereads, k.sharedRequests))
	}
	return s
}
