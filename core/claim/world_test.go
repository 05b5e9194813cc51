package claim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/wheatseam/wheatseam/problem"
)

// scenario bounds one exhaustive exploration.
type scenario struct {
	name     string
	lineages []Lineage
	// nodes are the hosts' names; starts is the lineage each starts under.
	nodes  []string
	starts []int
	// owners are the nodes of the two attempts, digests those of their requests.
	owners  []int
	digests []Digest
	// keyTime lies after base; times are the instants the clock takes.
	keyTime time.Duration
	times   []time.Duration
	// restartSkew is added to a node's clock when it restarts.
	restartSkew time.Duration
	// What may happen, and how often.
	restarts, duplicates, failures, statuses int
	rounds                                   [2]int
	restartable, adopters                    []int
	// queries are the pairs of asker and peer that exchange statuses.
	queries [][2]int
	// givesUp has an attempt give up at any time.
	givesUp [2]bool
	// failing is the only host whose calls fail, and only attempt 0's; any
	// host's and attempt's calls if empty.
	failing string
	// voids has a refused attempt void the earlier ones before it is answered.
	voids bool
	// lostAsks are hosts that each attempt's first ask never reaches.
	lostAsks [2]string
	// noStore leaves out recording results.
	noStore bool
	// quietStart has restarts, statuses and adoptions end before the attempts start.
	quietStart bool
	// loseReleases has every release get lost.
	loseReleases bool
	// atomicCalls makes an ask and its answer one step, for each attempt.
	atomicCalls [2]bool
	// late is a host whose answers to attempt 0 still come on their own.
	late string
}

var (
	base       = time.UnixMilli(1_800_000_000_000)
	testPolicy = Policy{
		GroupSize: 3, Retention: time.Hour, MaxClockSkew: time.Second, MaxKeyAhead: time.Second,
		MaxResult: 64, MaxKeys: 8, MaxBytes: 1024,
	}
)

// keyAt returns a UUIDv7 key of a time.
func keyAt(t time.Time, tail byte) Key {
	var id uuid.UUID
	ms := uint64(t.UnixMilli())
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	id[6], id[8], id[15] = 0x70, 0x80, tail
	return Key{Customer: "customer", ID: id}
}

// constantSource makes the waits of explored claims deterministic.
type constantSource struct{}

func (constantSource) Uint64() uint64 { return 1 << 62 }

var constantRand = rand.New(constantSource{})

type message struct {
	to      int // node, or owner for replies
	owner   int
	payload any // Ask, Release, Store, Void, Reply or Status
	code    string
}

type node struct {
	holder      *Holder
	views       *Views
	incarnation uint64
	skew        time.Duration
	// Hashes of holder and views; zero after a write.
	holderHash, viewsHash uint64
	// frozen says that the views change no more.
	frozen bool
}

type attempt struct {
	claim *Claim
	dead  bool
	sent  bool
	// sentBefore says that an attempt with this digest had sent when it started.
	sentBefore bool
	notRun     bool
	stored     bool
	// voided are the bits of the nodes that voided for it.
	voided uint8
}

// world is one state of the whole system.
type world struct {
	sc       *scenario
	off      guards
	clock    int
	nodes    []node
	attempts []attempt
	net      []message

	restarts, duplicates, failures, statuses int
	violation                                string
}

func (w *world) now(n int) time.Time {
	return base.Add(w.sc.times[w.clock] + w.nodes[n].skew)
}

func (w *world) key() Key { return keyAt(base.Add(w.sc.keyTime), 1) }

// newWorld starts the nodes long before the key and lets them catch up.
func newWorld(sc *scenario, off guards) *world {
	w := &world{sc: sc, off: off, attempts: make([]attempt, len(sc.owners)),
		restarts: sc.restarts, duplicates: sc.duplicates, failures: sc.failures, statuses: sc.statuses}
	w.nodes = make([]node, len(sc.nodes))
	for i := range sc.nodes {
		w.boot(i, base.Add(-time.Hour), sc.starts[i])
	}
	for range 3 {
		w.exchangeAll()
	}
	return w
}

func (w *world) boot(i int, now time.Time, lineage int) {
	n := &w.nodes[i]
	n.holderHash, n.viewsHash = 0, 0
	n.incarnation++
	n.holder = NewHolder(w.sc.nodes[i], n.incarnation, now, testPolicy)
	n.holder.off = w.off
	n.views = NewViews(w.sc.nodes[i], n.incarnation, now, w.sc.lineages[lineage], testPolicy)
	n.views.off = w.off
	n.views.sync()
}

// exchangeAll has every node ask every other one for its status.
func (w *world) exchangeAll() {
	for i := range w.nodes {
		for j := range w.nodes {
			w.nodes[i].views.HandleStatus(w.nodes[j].views.Status())
		}
	}
}

func (w *world) clone() *world {
	c := *w
	c.nodes = slices.Clone(w.nodes)
	c.attempts = slices.Clone(w.attempts)
	c.net = slices.Clone(w.net)
	return &c
}

// The parts of a world are shared between clones and copied before a write.

func (w *world) writeHolder(i int) *Holder {
	old := w.nodes[i].holder
	h := *old
	h.entries = make(map[Key]*entry, len(old.entries))
	for k, e := range old.entries {
		copied := *e
		copied.released = slices.Clone(e.released)
		h.entries[k] = &copied
	}
	h.buckets = make(map[int64][]Key, len(old.buckets))
	for b, keys := range old.buckets {
		h.buckets[b] = slices.Clone(keys)
	}
	w.nodes[i].holder, w.nodes[i].holderHash = &h, 0
	return &h
}

func (w *world) writeViews(i int) *Views {
	old := w.nodes[i].views
	v := *old
	v.answered = cloneMap(old.answered)
	v.acks = cloneMap(old.acks)
	v.incarnations = cloneMap(old.incarnations)
	w.nodes[i].views, w.nodes[i].viewsHash = &v, 0
	return &v
}

func cloneMap[V any](m map[string]V) map[string]V {
	c := make(map[string]V, len(m))
	for k, v := range m {
		c[k] = v
	}
	return c
}

func (w *world) writeClaim(i int) *Claim {
	c := *w.attempts[i].claim
	c.slots = slices.Clone(c.slots)
	w.attempts[i].claim = &c
	return &c
}

func (w *world) env(n int) Env {
	v := w.nodes[n].views
	return Env{Now: w.now(n), Epoch: v.Epoch(), Ready: v.CanGrant()}
}

func (w *world) nodeOf(host string) int { return slices.Index(w.sc.nodes, host) }

// post puts a message on the network. Equal messages are one: losing one of
// two is a state that is visited anyway.
func (w *world) post(m message) {
	m.code = encodeMessage(m)
	i, found := slices.BinarySearchFunc(w.net, m, func(a, b message) int {
		if a.code < b.code {
			return -1
		}
		if a.code > b.code {
			return 1
		}
		return 0
	})
	if !found {
		w.net = slices.Insert(w.net, i, m)
	}
}

// carryOut does the actions of attempt i.
func (w *world) carryOut(i int, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case SendAcquire:
			if a.Acquire.Round == 1 && a.Holder == w.sc.lostAsks[i] {
				continue
			}
			w.post(message{to: w.nodeOf(a.Holder), owner: i, payload: a.Acquire})
		case SendRelease:
			if w.sc.loseReleases {
				continue
			}
			w.post(message{to: w.nodeOf(a.Holder), owner: i, payload: a.Release})
		case SendStore:
			w.post(message{to: w.nodeOf(a.Holder), owner: i, payload: a.Store})
		case AlreadyExecuted:
			w.checkLost(i, a)
		case Refuse:
			if w.sc.voids {
				w.void(i)
				continue
			}
			w.checkRefusal(i, a)
		}
	}
}

// checkLost: a result that is delivered is the one of the attempt that sent.
func (w *world) checkLost(i int, l AlreadyExecuted) {
	from := int(l.Record.Result[0])
	if !w.attempts[from].sent || w.sc.digests[from] != w.sc.digests[i] {
		w.violation = fmt.Sprintf("attempt %d got the result of %d", i, from)
	}
}

// checkRefusal: not_run means that none had sent before the attempt started and
// that the attempt itself has not.
func (w *world) checkRefusal(i int, r Refuse) {
	if r.Execution != problem.NotRun {
		return
	}
	w.attempts[i].notRun = true
	if w.attempts[i].sentBefore || w.attempts[i].sent {
		w.violation = fmt.Sprintf("attempt %d says not_run after a send", i)
	}
}

// void has every holder refuse the attempts that have arrived; both have.
func (w *world) void(i int) {
	c := w.attempts[i].claim
	v := Void{Key: w.key(), Owner: c.cfg.Owner, Epoch: c.cfg.Epoch, Until: c.cfg.Arrived.Add(time.Second)}
	for _, s := range c.slots {
		w.post(message{to: w.nodeOf(s.holder), owner: i, payload: v})
	}
}

// checkVoid: once a majority voided, nobody has sent and nobody will.
func (w *world) checkVoid(i int, r Reply) {
	a := &w.attempts[i]
	if r.Verdict != Voided || a.notRun {
		return
	}
	a.voided |= 1 << w.nodeOf(r.Holder)
	tally := NewTally(a.claim.cfg.Quorums)
	for n, host := range w.sc.nodes {
		tally.Count(host, a.voided&(1<<n) != 0)
	}
	if !tally.Reached() {
		return
	}
	for j := range w.attempts {
		w.attempts[j].notRun = true
		if w.attempts[j].sent {
			w.violation = fmt.Sprintf("attempt %d says not_run after a send", i)
		}
	}
}

// checkSent: at most one attempt sends, and none that was answered not_run.
func (w *world) checkSent(i int) {
	w.attempts[i].sent = true
	n := 0
	for _, a := range w.attempts {
		if a.sent {
			n++
		}
	}
	if n > 1 {
		w.violation = "two attempts sent"
	}
	if w.attempts[i].notRun {
		w.violation = fmt.Sprintf("attempt %d sent after not_run", i)
	}
}
