package claim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/wheatseam/wheatseam/problem"
)

// scenario defines the bounds of one exhaustive exploration.
type scenario struct {
	name     string
	lineages []Lineage
	// nodes are the names of the hosts; startLineages are the indexes of the
	// lineages with which they start.
	nodes         []string
	startLineages []int
	// ownerNodes are the nodes of the two attempts, digests the digests of their
	// requests.
	ownerNodes []int
	digests    []Digest
	// keyTime and times are relative to baseTime; the clock advances through times.
	keyTime time.Duration
	times   []time.Duration
	// restartSkew is the clock skew of a node after it restarts.
	restartSkew time.Duration
	// The maximum number of each event.
	restarts, duplicates, failures, statuses int
	rounds                                   [2]int
	restartableNodes, adoptingNodes          []int
	// statusQueries are the pairs of node and peer that exchange statuses.
	statusQueries [][2]int
	// canAbort allows an attempt to abort its claim at any time.
	canAbort [2]bool
	// failingHost is the only host to which calls fail, and only those of attempt
	// 0. If it is empty, calls of any attempt to any host may fail.
	failingHost string
	// voidOnRefusal makes a refused attempt void the earlier ones before it reports
	// not_run.
	voidOnRefusal bool
	// droppedFirstAcquires holds for each attempt the host that its first Acquire never
	// reaches.
	droppedFirstAcquires [2]string
	// skipStore omits storing results.
	skipStore bool
	// stableBeforeStart ends restarts, statuses and adoptions before the attempts
	// start.
	stableBeforeStart bool
	// dropReleases drops every Release.
	dropReleases bool
	// atomicCalls combines an Acquire and its reply into one step, for each attempt.
	atomicCalls [2]bool
	// asyncHolder is a host whose replies to attempt 0 remain separate steps despite
	// atomicCalls.
	asyncHolder string
}

var (
	baseTime   = time.UnixMilli(1_800_000_000_000)
	testPolicy = Policy{
		GroupSize: 3, Retention: time.Hour, MaxClockSkew: time.Second, MaxKeyAhead: time.Second,
		MaxResult: 64, MaxKeys: 8, MaxBytes: 1024,
	}
)

// keyAt returns a UUIDv7 key created at t.
func keyAt(t time.Time, tail byte) Key {
	var id uuid.UUID
	ms := uint64(t.UnixMilli())
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	id[6], id[8], id[15] = 0x70, 0x80, tail
	return Key{Customer: "customer", ID: id}
}

// constantSource makes the backoff of explored claims deterministic.
type constantSource struct{}

func (constantSource) Uint64() uint64 { return 1 << 62 }

var constantRand = rand.New(constantSource{})

type message struct {
	to      int // node, or attempt for replies
	attempt int
	payload any // Acquire, Release, Store, Void, Reply or Status
	encoded string
}

type node struct {
	holder      *Holder
	views       *Views
	incarnation uint64
	skew        time.Duration
	// Cached hashes of holder and views; zero after a write.
	holderHash, viewsHash uint64
	// viewsFixed reports that the views no longer change.
	viewsFixed bool
}

type attempt struct {
	claim   *Claim
	stopped bool
	sent    bool
	// sentBefore reports that an attempt with this digest had sent its request
	// before this attempt started.
	sentBefore bool
	notRun     bool
	stored     bool
	// voided is a bit set of the nodes that replied Voided to the attempt.
	voided uint8
}

// systemState is one state of the whole system.
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

func (st *systemState) now(n int) time.Time {
	return baseTime.Add(st.scenario.times[st.clock] + st.nodes[n].skew)
}

func (st *systemState) key() Key { return keyAt(baseTime.Add(st.scenario.keyTime), 1) }

// newSystemState starts the nodes long before the key is created and lets them sync.
func newSystemState(sc *scenario, disabled disabledChecks) *systemState {
	st := &systemState{scenario: sc, disabled: disabled, attempts: make([]attempt, len(sc.ownerNodes)),
		restarts: sc.restarts, duplicates: sc.duplicates, failures: sc.failures, statuses: sc.statuses}
	st.nodes = make([]node, len(sc.nodes))
	for i := range sc.nodes {
		st.startNode(i, baseTime.Add(-time.Hour), sc.startLineages[i])
	}
	for range 3 {
		st.exchangeAll()
	}
	return st
}

func (st *systemState) startNode(i int, now time.Time, lineage int) {
	n := &st.nodes[i]
	n.holderHash, n.viewsHash = 0, 0
	n.incarnation++
	n.holder = NewHolder(st.scenario.nodes[i], n.incarnation, now, testPolicy)
	n.holder.disabled = st.disabled
	n.views = NewViews(st.scenario.nodes[i], n.incarnation, now, st.scenario.lineages[lineage], testPolicy)
	n.views.disabled = st.disabled
	n.views.updateSynced()
}

// exchangeAll passes the status of every node to every node.
func (st *systemState) exchangeAll() {
	for i := range st.nodes {
		for j := range st.nodes {
			st.nodes[i].views.HandleStatus(st.nodes[j].views.Status())
		}
	}
}

func (st *systemState) clone() *systemState {
	c := *st
	c.nodes = slices.Clone(st.nodes)
	c.attempts = slices.Clone(st.attempts)
	c.network = slices.Clone(st.network)
	return &c
}

// Clones of a state share its holders, views and claims. The functions below copy
// one of them before a write.

func (st *systemState) writeHolder(i int) *Holder {
	old := st.nodes[i].holder
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
	st.nodes[i].holder, st.nodes[i].holderHash = &h, 0
	return &h
}

func (st *systemState) writeViews(i int) *Views {
	old := st.nodes[i].views
	v := *old
	v.peerStatuses = cloneMap(old.peerStatuses)
	v.acks = cloneMap(old.acks)
	v.incarnations = cloneMap(old.incarnations)
	st.nodes[i].views, st.nodes[i].viewsHash = &v, 0
	return &v
}

func cloneMap[V any](m map[string]V) map[string]V {
	c := make(map[string]V, len(m))
	for k, v := range m {
		c[k] = v
	}
	return c
}

func (st *systemState) writeClaim(i int) *Claim {
	c := *st.attempts[i].claim
	c.holders = slices.Clone(c.holders)
	st.attempts[i].claim = &c
	return &c
}

func (st *systemState) env(n int) Env {
	v := st.nodes[n].views
	return Env{Now: st.now(n), Epoch: v.Epoch(), Ready: v.CanGrant()}
}

func (st *systemState) nodeOf(host string) int { return slices.Index(st.scenario.nodes, host) }

// enqueue adds a message to the network unless it holds an equal message: the states
// that follow the loss of one of two equal messages are visited anyway.
func (st *systemState) enqueue(m message) {
	m.encoded = encodeMessage(m)
	i, found := slices.BinarySearchFunc(st.network, m, func(a, b message) int {
		if a.encoded < b.encoded {
			return -1
		}
		if a.encoded > b.encoded {
			return 1
		}
		return 0
	})
	if !found {
		st.network = slices.Insert(st.network, i, m)
	}
}

// perform carries out the actions of attempt i.
func (st *systemState) perform(i int, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case SendAcquire:
			if a.Acquire.Round == 1 && a.Holder == st.scenario.droppedFirstAcquires[i] {
				continue
			}
			st.enqueue(message{to: st.nodeOf(a.Holder), attempt: i, payload: a.Acquire})
		case SendRelease:
			if st.scenario.dropReleases {
				continue
			}
			st.enqueue(message{to: st.nodeOf(a.Holder), attempt: i, payload: a.Release})
		case SendStore:
			st.enqueue(message{to: st.nodeOf(a.Holder), attempt: i, payload: a.Store})
		case AlreadyExecuted:
			st.checkLost(i, a)
		case Refuse:
			if st.scenario.voidOnRefusal {
				st.void(i)
				continue
			}
			st.checkRefusal(i, a)
		}
	}
}

// checkLost checks that a returned result is that of the attempt that sent.
func (st *systemState) checkLost(i int, l AlreadyExecuted) {
	from := int(l.Record.Result[0])
	if !st.attempts[from].sent || st.scenario.digests[from] != st.scenario.digests[i] {
		st.violation = fmt.Sprintf("attempt %d received the result of attempt %d", i, from)
	}
}

// checkRefusal checks that not_run is reported only if no attempt had sent before
// this attempt started, and this attempt has not sent.
func (st *systemState) checkRefusal(i int, r Refuse) {
	if r.Execution != problem.NotRun {
		return
	}
	st.attempts[i].notRun = true
	if st.attempts[i].sentBefore || st.attempts[i].sent {
		st.violation = fmt.Sprintf("attempt %d reports not_run after the request was sent", i)
	}
}

// void asks every holder to refuse the attempts that have arrived, which are both.
func (st *systemState) void(i int) {
	c := st.attempts[i].claim
	v := Void{Key: st.key(), Owner: c.cfg.Owner, Epoch: c.cfg.Epoch, Until: c.cfg.Arrived.Add(time.Second)}
	for _, s := range c.holders {
		st.enqueue(message{to: st.nodeOf(s.name), attempt: i, payload: v})
	}
}

// checkVoid checks that once a majority has replied Voided, no attempt has sent. It
// marks all attempts, so that checkSent finds any that sends later.
func (st *systemState) checkVoid(i int, r Reply) {
	a := &st.attempts[i]
	if r.Verdict != Voided || a.notRun {
		return
	}
	a.voided |= 1 << st.nodeOf(r.Holder)
	tally := NewTally(a.claim.cfg.Quorums)
	for n, host := range st.scenario.nodes {
		tally.Count(host, a.voided&(1<<n) != 0)
	}
	if !tally.Reached() {
		return
	}
	for j := range st.attempts {
		st.attempts[j].notRun = true
		if st.attempts[j].sent {
			st.violation = fmt.Sprintf("attempt %d reports not_run after the request was sent", i)
		}
	}
}

// checkSent checks that at most one attempt sends, and none that reported not_run.
func (st *systemState) checkSent(i int) {
	st.attempts[i].sent = true
	n := 0
	for _, a := range st.attempts {
		if a.sent {
			n++
		}
	}
	if n > 1 {
		st.violation = "more than one attempt sent the request"
	}
	if st.attempts[i].notRun {
		st.violation = fmt.Sprintf("attempt %d sent the request after not_run was reported", i)
	}
}
