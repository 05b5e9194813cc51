package upstreamload

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/core/load"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/internal/periodic"
)

const (
	// scheduleInterval is how often the poller checks which upstreams are due.
	scheduleInterval = 50 * time.Millisecond
	// pollTimeout limits the duration of one poll.
	pollTimeout = 500 * time.Millisecond
	// maxConcurrentPolls limits the polls in progress. Polls beyond it are skipped.
	maxConcurrentPolls = 16
)

// Observer receives the reports that are newer than those in the table. It must be
// safe for concurrent use.
type Observer interface {
	Observe(reports ...load.Report)
}

// Poller polls the upstreams that are due according to a load.Table.
type Poller struct {
	table     *load.Table
	client    *Client
	observer  Observer
	log       *zap.Logger
	now       func() time.Time
	addresses atomic.Pointer[map[string]string]
	slots     chan struct{}
	counters  counters
}

type counters struct{ polls, failed, skipped atomic.Uint64 }

// Stats counts the polls since the Poller was created.
type Stats struct {
	Polls  uint64 `json:"polls"`
	Failed uint64 `json:"failed"`
	// Skipped counts the polls that were due while maxConcurrentPolls others were
	// in progress.
	Skipped uint64 `json:"skipped"`
}

// NewPoller returns a Poller that updates table and passes new reports to observer.
func NewPoller(table *load.Table, observer Observer, log *zap.Logger, now func() time.Time) *Poller {
	p := &Poller{
		table: table, client: NewClient(), observer: observer, log: log, now: now,
		slots: make(chan struct{}, maxConcurrentPolls),
	}
	p.SetAddresses(nil)
	return p
}

// SetAddresses sets the addresses (ip:port) of the upstreams by name. The caller
// must not modify the map afterwards. It is safe for concurrent use.
func (p *Poller) SetAddresses(byName map[string]string) { p.addresses.Store(&byName) }

// Run polls until ctx ends and returns after all polls have ended.
func (p *Poller) Run(ctx context.Context) {
	defer p.client.Close()
	var polls sync.WaitGroup
	defer polls.Wait()
	periodic.Every(ctx, scheduleInterval, func() {
		for _, name := range p.table.DuePolls(p.now()) {
			p.startPoll(ctx, &polls, name)
		}
	})
}

// startPoll polls one upstream in a new goroutine. It skips the poll if
// maxConcurrentPolls are in progress or the upstream has no known address.
func (p *Poller) startPoll(ctx context.Context, polls *sync.WaitGroup, name string) {
	address, ok := (*p.addresses.Load())[name]
	if !ok {
		return
	}
	select {
	case p.slots <- struct{}{}:
	default:
		p.counters.skipped.Add(1)
		return
	}
	polls.Go(func() {
		defer func() { <-p.slots }()
		p.poll(ctx, name, address)
	})
}

func (p *Poller) poll(ctx context.Context, name, address string) {
	ctx, cancel := clock.WithTimeout(ctx, pollTimeout)
	defer cancel()
	p.counters.polls.Add(1)
	report, err := p.client.Get(ctx, name, address)
	if err != nil {
		p.counters.failed.Add(1)
		p.log.Debug("load poll failed", zap.String("upstream", name), zap.Error(err))
		return
	}
	if p.table.ObservePoll(p.now(), report) {
		p.observer.Observe(report)
	}
}

// Stats returns the poll counters.
func (p *Poller) Stats() Stats {
	return Stats{Polls: p.counters.polls.Load(), Failed: p.counters.failed.Load(), Skipped: p.counters.skipped.Load()}
}
