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
	nodes         []string
	startLineages []int
	// owners are the nodes of the two attempts, digests those of their requests.
	ownerNodes []int
	digests    []Digest
	// keyTime lies after base; times are the instants the clock takes.
	keyTime time.Duration
	times   []time.Duration
	// restartSkew is added to a node's clock when it restarts.
	restartSkew time.Duration
	// What may happen, and how often.
	restarts, duplicates, failures, statuses int
	rounds                                   [2]int
	restartableNodes, adoptingNodes          []int
	// queries are the pairs of asker and peer that exchange statuses.
	statusQueries [][2]int
	// givesUp has an attempt give up at any time.
	canGiveUp [2]bool
	// failing is the only host whose calls fail, and only attempt 0's; any
	// host's and attempt's calls if empty.
	failingHost string
	// voids has a refused attempt void the earlier ones before it is answered.
	voidOnRefusal bool
	// lostAsks are hosts that each attempt's first ask never reaches.
	droppedFirstAsks [2]string
	// noStore leaves out recording results.
	skipStore bool
	// quietStart has restarts, statuses and adoptions end before the attempts start.
	stableBeforeStart bool
	// loseReleases has every release get lost.
	dropReleases bool
	// atomicCalls makes an ask and its answer one step, for each attempt.
	atomicCalls [2]bool
	// late is a host whose answers to attempt 0 still come on their own.
	asyncHolder string
}

var (
	baseTime   = time.UnixMilli(1_800_000_000_000)
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
	encoded string
}

type node struct {
	holder      *Holder
	views       *Views
	incarnation uint64
	skew        time.Duration
	// Hashes of holder and views; zero after a write.
	holderHash, viewsHash uint64
	// frozen says that the views change no more.
	viewsFixed bool
}

type attempt struct {
	claim   *Claim
	stopped bool
	sent    bool
	// sentBefore says that an attempt with this digest had sent when it started.
	sentBefore bool
	notRun     bool
	stored     bool
	// voided are the bits of the nodes that voided for it.
	voided uint8
}

// world is one state of the whole system.
type systemState struct {
	scenario *scenario
	disabled disabledChecks
	clock    int
	nodes    []node
	attempts []attempt
	network  []message

	restarts, duplicates, failures, statuses int
	violation                                string
}

func (w *systemState) now(n int) time.Time {
	return baseTime.Add(w.scenario.times[w.clock] + w.nodes[n].skew)
}

func (w *systemState) key() Key { return keyAt(baseTime.Add(w.scenario.keyTime), 1) }

// newWorld starts the nodes long before the key and lets them catch up.
func newSystemState(sc *scenario, off disabledChecks) *systemState {
	w := &systemState{scenario: sc, disabled: off, attempts: make([]attempt, len(sc.ownerNodes)),
		restarts: sc.restarts, duplicates: sc.duplicates, failures: sc.failures, statuses: sc.statuses}
	w.nodes = make([]node, len(sc.nodes))
	for i := range sc.nodes {
		w.startNode(i, baseTime.Add(-time.Hour), sc.startLineages[i])
	}
	for range 3 {
		w.exchangeAll()
	}
	return w
}

func (w *systemState) startNode(i int, now time.Time, lineage int) {
	n := &w.nodes[i]
	n.holderHash, n.viewsHash = 0, 0
	n.incarnation++
	n.holder = NewHolder(w.scenario.nodes[i], n.incarnation, now, testPolicy)
	n.holder.disabled = w.disabled
	n.views = NewViews(w.scenario.nodes[i], n.incarnation, now, w.scenario.lineages[lineage], testPolicy)
	n.views.disabled = w.disabled
	n.views.updateSynced()
}

// exchangeAll has every node ask every other one for its status.
func (w *systemState) exchangeAll() {
	for i := range w.nodes {
		for j := range w.nodes {
			w.nodes[i].views.Hear(w.nodes[j].views.Status())
		}
	}
}

func (w *systemState) clone() *systemState {
	c := *w
	c.nodes = slices.Clone(w.nodes)
	c.attempts = slices.Clone(w.attempts)
	c.network = slices.Clone(w.network)
	return &c
}

// The parts of a world are shared between clones and copied before a write.

func (w *systemState) writeHolder(i int) *Holder {
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

func (w *systemState) writeViews(i int) *Views {
	old := w.nodes[i].views
	v := *old
	v.peerStatuses = cloneMap(old.peerStatuses)
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

func (w *systemState) writeClaim(i int) *Claim {
	c := *w.attempts[i].claim
	c.holders = slices.Clone(c.holders)
	w.attempts[i].claim = &c
	return &c
}

func (w *systemState) env(n int) Env {
	v := w.nodes[n].views
	return Env{Now: w.now(n), Epoch: v.Epoch(), Ready: v.Serves()}
}

func (w *systemState) nodeOf(host string) int { return slices.Index(w.scenario.nodes, host) }

// post puts a message on the network. Equal messages are one: losing one of
// two is a state that is visited anyway.
func (w *systemState) enqueue(m message) {
	m.encoded = encodeMessage(m)
	i, found := slices.BinarySearchFunc(w.network, m, func(a, b message) int {
		if a.encoded < b.encoded {
			return -1
		}
		if a.encoded > b.encoded {
			return 1
		}
		return 0
	})
	if !found {
		w.network = slices.Insert(w.network, i, m)
	}
}

// carryOut does the actions of attempt i.
func (w *systemState) perform(i int, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case SendAsk:
			if a.Ask.Round == 1 && a.Holder == w.scenario.droppedFirstAsks[i] {
				continue
			}
			w.enqueue(message{to: w.nodeOf(a.Holder), owner: i, payload: a.Ask})
		case SendRelease:
			if w.scenario.dropReleases {
				continue
			}
			w.enqueue(message{to: w.nodeOf(a.Holder), owner: i, payload: a.Release})
		case SendStore:
			w.enqueue(message{to: w.nodeOf(a.Holder), owner: i, payload: a.Store})
		case Lost:
			w.checkLost(i, a)
		case Refuse:
			if w.scenario.voidOnRefusal {
				w.void(i)
				continue
			}
			w.checkRefusal(i, a)
		}
	}
}

// checkLost: a result that is delivered is the one of the attempt that sent.
func (w *systemState) checkLost(i int, l Lost) {
	from := int(l.Record.Result[0])
	if !w.attempts[from].sent || w.scenario.digests[from] != w.scenario.digests[i] {
		w.violation = fmt.Sprintf("attempt %d got the result of %d", i, from)
	}
}

// checkRefusal: not_run means that none had sent before the attempt started and
// that the attempt itself has not.
func (w *systemState) checkRefusal(i int, r Refuse) {
	if r.Execution != problem.NotRun {
		return
	}
	w.attempts[i].notRun = true
	if w.attempts[i].sentBefore || w.attempts[i].sent {
		w.violation = fmt.Sprintf("attempt %d says not_run after a send", i)
	}
}

// void has every holder refuse the attempts that have arrived; both have.
func (w *systemState) void(i int) {
	c := w.attempts[i].claim
	v := Void{Key: w.key(), Owner: c.cfg.Owner, Epoch: c.cfg.Epoch, Until: c.cfg.Arrived.Add(time.Second)}
	for _, s := range c.holders {
		w.enqueue(message{to: w.nodeOf(s.name), owner: i, payload: v})
	}
}

// checkVoid: once a majority voided, nobody has sent and nobody will.
func (w *systemState) checkVoid(i int, r Reply) {
	a := &w.attempts[i]
	if r.Verdict != Voided || a.notRun {
		return
	}
	a.voided |= 1 << w.nodeOf(r.Holder)
	tally := NewTally(a.claim.cfg.Quorums)
	for n, host := range w.scenario.nodes {
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
func (w *systemState) checkSent(i int) {
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
