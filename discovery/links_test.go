package discovery_test

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/wheatseam/wheatseam/core/member"
	"github.com/wheatseam/wheatseam/discovery"
	"github.com/wheatseam/wheatseam/fleet"
	"github.com/wheatseam/wheatseam/peer"
	"github.com/wheatseam/wheatseam/platform"
)

// The links of a simulated fleet, in bytes a second each way: a large host's, a
// small host's and the store's.
const (
	wideLink   = 200e6 / 8
	narrowLink = 10e6 / 8
	storeLink  = 1000e6 / 8
)

const (
	// segment is what a link carries at a time, so that transfers share it.
	segment = 4 << 10
	// inFlight is the number of segments that a sender is ahead of the receiver.
	inFlight = 8
	// oneWay is the delay between any two machines.
	oneWay = time.Millisecond
)

// link is one direction of a machine's link. It is safe for concurrent use.
type link struct {
	rate  float64
	mu    sync.Mutex
	free  time.Time
	bytes atomic.Int64
}

// carry books a segment that is ready at a time and returns when it is through.
func (l *link) carry(n int, ready time.Time) time.Time {
	l.bytes.Add(int64(n))
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.free.Before(ready) {
		l.free = ready
	}
	l.free = l.free.Add(time.Duration(float64(n) / l.rate * float64(time.Second)))
	return l.free
}

// machine is one end of transfers.
type machine struct{ up, down link }

func newMachine(rate float64) *machine {
	return &machine{up: link{rate: rate}, down: link{rate: rate}}
}

// send carries n bytes and returns when they are there, or when ctx ends; what
// was under way by then is lost.
func (m *machine) send(ctx context.Context, to *machine, n int) error {
	var arrivals []time.Time
	for left := n; left > 0; left -= segment {
		sent := m.up.carry(min(segment, left), time.Now())
		arrivals = append(arrivals, to.down.carry(min(segment, left), sent))
		until := sent
		if len(arrivals) > inFlight && arrivals[len(arrivals)-1-inFlight].After(until) {
			until = arrivals[len(arrivals)-1-inFlight]
		}
		if err := sleepUntil(ctx, until); err != nil {
			return err
		}
	}
	return sleepUntil(ctx, arrivals[len(arrivals)-1].Add(oneWay))
}

func sleepUntil(ctx context.Context, at time.Time) error {
	select {
	case <-time.After(time.Until(at)):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// linkedFleet is a fleet of discoveries whose messages take the time that the
// links between them need. It runs by a simulated clock.
type linkedFleet struct {
	names    []string
	machines map[string]*machine
	muxes    map[string]*peer.Mux
	found    map[string]*discovery.Discovery
	store    *linkedStore
	ranks    []fleet.Host
	// refuse, if set, fails calls between two hosts; it is set before run.
	refuse func(from, to, method string) error
	// largest is the size of the largest message between hosts, in bytes.
	largest atomic.Int64
}

// newLinkedFleet returns a fleet of wide and narrow hosts, the wide ones first
// in rank.
func newLinkedFleet(wide, narrow int) *linkedFleet {
	f := &linkedFleet{
		machines: map[string]*machine{}, muxes: map[string]*peer.Mux{}, found: map[string]*discovery.Discovery{},
		store: newLinkedStore(),
	}
	for i := range wide + narrow {
		name, rate, capacity := fmt.Sprintf("host-%03d", i), narrowLink, 192
		if i < wide {
			rate, capacity = wideLink, 800
		}
		f.names = append(f.names, name)
		f.machines[name], f.muxes[name] = newMachine(rate), peer.NewMux()
		f.ranks = append(f.ranks, fleet.Host{Host: member.Host{Name: name}, Capacity: capacity, Incarnation: uint64(i + 1)})
	}
	for _, name := range f.names {
		f.found[name] = discovery.New(discovery.Config{
			Self: name, Store: storeCaller{f, name}, Members: f, Caller: linkedCaller{f, name}, Mux: f.muxes[name],
			Logger: zap.NewNop(), PropagationBound: func() time.Duration { return dueIn }, OnViewChange: func(*discovery.View) {},
		})
	}
	return f
}

// Reachable implements discovery.Members.
func (f *linkedFleet) Reachable() []fleet.Host { return slices.Clone(f.ranks) }

func (f *linkedFleet) Formed() <-chan struct{} { return formed }

// run starts all hosts and returns what stops them.
func (f *linkedFleet) run() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, name := range f.names {
		running.Go(func() { f.found[name].Run(ctx) })
	}
	return func() { cancel(); running.Wait() }
}

// linkedCaller is one host's way to the others.
type linkedCaller struct {
	fleet *linkedFleet
	self  string
}

// Call implements peer.Caller.
func (c linkedCaller) Call(ctx context.Context, host, method string, req, resp proto.Message) error {
	from, to, mux := c.fleet.machines[c.self], c.fleet.machines[host], c.fleet.muxes[host]
	if mux == nil {
		return fmt.Errorf("%w: %s", peer.ErrUnreachable, host)
	}
	if c.fleet.refuse != nil {
		if err := c.fleet.refuse(c.self, host, method); err != nil {
			return err
		}
	}
	if err := from.send(ctx, to, envelopeBytes+proto.Size(req)); err != nil {
		return err
	}
	if err := peer.CallLocal(ctx, mux, c.self, method, req, resp); err != nil {
		return err
	}
	c.fleet.sized(proto.Size(resp))
	return to.send(ctx, from, envelopeBytes+proto.Size(resp))
}

// sized notes the size of a message.
func (f *linkedFleet) sized(n int) {
	for {
		largest := f.largest.Load()
		if int64(n) <= largest || f.largest.CompareAndSwap(largest, int64(n)) {
			return
		}
	}
}

// envelopeBytes is about what a message costs beside its body.
const envelopeBytes = 100

// linkedStore is the platform's store behind its own link.
type linkedStore struct {
	*machine
	mu       sync.Mutex
	items    map[string]platform.Item
	revision uint64
	// forgotten is the revision up to which the history is gone; blind says that
	// watches hear nothing.
	forgotten uint64
	blind     bool
	// removed are the items that were, by key, with the revision of that.
	removed map[string]platform.Item
	// calls counts what the store was asked.
	calls int
	// whole counts the reads of a configuration in full.
	whole int
}

// with changes the store's state.
func (s *linkedStore) with(change func(*linkedStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

func newLinkedStore() *linkedStore {
	return &linkedStore{machine: newMachine(storeLink), items: map[string]platform.Item{}, removed: map[string]platform.Item{}}
}

func (s *linkedStore) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.items[key] = platform.Item{Key: key, Value: []byte(value), Revision: s.revision}
	delete(s.removed, key)
}

func (s *linkedStore) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.items, key)
	s.removed[key] = platform.Item{Key: key, Revision: s.revision, Removed: true}
}

// list returns the items under a prefix by key, and the store's revision.
func (s *linkedStore) list(prefix string) ([]platform.Item, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var items []platform.Item
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) {
			items = append(items, item)
		}
	}
	slices.SortFunc(items, func(a, b platform.Item) int { return strings.Compare(a.Key, b.Key) })
	return items, s.revision
}

// since returns the items under a prefix that were written or removed after a revision.
func (s *linkedStore) since(prefix string, after uint64) ([]platform.Item, uint64, error) {
	items, revision := s.list(prefix)
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.forgotten {
		return nil, 0, platform.ErrCompacted
	}
	for key, item := range s.removed {
		if strings.HasPrefix(key, prefix) {
			items = append(items, item)
		}
	}
	items = slices.DeleteFunc(items, func(i platform.Item) bool { return i.Revision <= after || s.blind })
	slices.SortFunc(items, func(a, b platform.Item) int { return cmp.Compare(a.Revision, b.Revision) })
	return items, revision, nil
}

// storeCaller is one host's way to the store.
type storeCaller struct {
	fleet *linkedFleet
	self  string
}

// failing counts a call and returns its error if the host is cut off from the store.
func (c storeCaller) failing() error {
	c.fleet.store.with(func(s *linkedStore) { s.calls++ })
	return c.cut()
}

// cut is the error of a host that is cut off from the store; nil for none.
func (c storeCaller) cut() error {
	if c.fleet.refuse == nil {
		return nil
	}
	return c.fleet.refuse(c.self, storeName, "")
}

// storeName stands for the store where calls are refused.
const storeName = "store"

// pageItems is the number of items of a page.
const pageItems = 50

// Pages implements discovery.Store.
func (c storeCaller) ForEachPage(ctx context.Context, prefix string, take func([]platform.Item)) (uint64, error) {
	if err := c.failing(); err != nil {
		return 0, err
	}
	items, revision := c.fleet.store.list(prefix)
	for page := range slices.Chunk(items, pageItems) {
		if err := c.answer(ctx, page); err != nil {
			return 0, err
		}
		take(page)
	}
	return revision, nil
}

// Get implements discovery.Store.
func (c storeCaller) Get(ctx context.Context, key string) (platform.Item, uint64, error) {
	if err := c.failing(); err != nil {
		return platform.Item{}, 0, err
	}
	c.fleet.store.with(func(s *linkedStore) { s.whole++ })
	items, revision := c.fleet.store.list(key)
	if len(items) == 0 {
		return platform.Item{}, 0, platform.ErrNotFound
	}
	return items[0], revision, c.answer(ctx, items)
}

// Changes implements discovery.Store.
func (c storeCaller) Changes(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]platform.Item, uint64, error) {
	const look = 10 * time.Millisecond
	if err := c.failing(); err != nil {
		return nil, 0, err
	}
	for began := time.Now(); ; time.Sleep(look) {
		if err := c.cut(); err != nil {
			return nil, 0, err
		}
		items, revision, err := c.fleet.store.since(prefix, after)
		if err != nil {
			return nil, 0, err
		}
		if len(items) > 0 || time.Since(began) >= wait {
			return items, revision, c.answer(ctx, items)
		}
		if ctx.Err() != nil {
			return nil, 0, ctx.Err()
		}
	}
}

// answer carries items as the store writes them: in base64.
func (c storeCaller) answer(ctx context.Context, items []platform.Item) error {
	size := envelopeBytes
	for _, item := range items {
		size += envelopeBytes + len(item.Value)*4/3
	}
	self := c.fleet.machines[c.self]
	if err := self.send(ctx, c.fleet.store.machine, envelopeBytes); err != nil {
		return err
	}
	return c.fleet.store.send(ctx, self, size)
}
