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
	// dueEvery is how often the poller asks what is due.
	dueEvery = 50 * time.Millisecond
	// pollTimeout bounds one poll.
	pollTimeout = 500 * time.Millisecond
	// maxPolls bounds the polls under way; beyond it polls are skipped.
	maxPolls = 16
)

// Observer hears the reports that were news. It is called by several
// goroutines.
type Observer interface {
	Observe(reports ...load.Report)
}

// Poller polls the upstreams that a load.Table says are due.
type Poller struct {
	table     *load.Table
	client    *Client
	observer  Observer
	log       *zap.Logger
	now       func() time.Time
	addresses atomic.Pointer[map[string]string]
	slots     chan struct{}
	stats     stats
}

type stats struct{ polls, failed, skipped atomic.Uint64 }

// Stats counts polls since the start.
type Stats struct {
	Polls  uint64 `json:"polls"`
	Failed uint64 `json:"failed"`
	// Skipped polls were due while too many others were under way.
	Skipped uint64 `json:"skipped"`
}

// NewPoller returns a Poller over table that tells observer what is news.
func NewPoller(table *load.Table, observer Observer, log *zap.Logger, now func() time.Time) *Poller {
	p := &Poller{
		table: table, client: NewClient(), observer: observer, log: log, now: now,
		slots: make(chan struct{}, maxPolls),
	}
	p.SetAddresses(nil)
	return p
}

// SetAddresses sets the addresses (ip:port) of upstreams by name. The map must
// not be changed afterwards. It may be called at any time.
func (p *Poller) SetAddresses(byName map[string]string) { p.addresses.Store(&byName) }

// Run polls until ctx ends and returns when all polls have.
func (p *Poller) Run(ctx context.Context) {
	defer p.client.Close()
	var polls sync.WaitGroup
	defer polls.Wait()
	periodic.Do(ctx, dueEvery, func() {
		for _, name := range p.table.DuePolls(p.now()) {
			p.start(ctx, &polls, name)
		}
	})
}

// start polls one upstream in a goroutine of its own, if there is a slot.
func (p *Poller) start(ctx context.Context, polls *sync.WaitGroup, name string) {
	address, known := (*p.addresses.Load())[name]
	if !known {
		return
	}
	select {
	case p.slots <- struct{}{}:
	default:
		p.stats.skipped.Add(1)
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
	p.stats.polls.Add(1)
	report, err := p.client.Get(ctx, name, address)
	if err != nil {
		p.stats.failed.Add(1)
		p.log.Debug("load not read", zap.String("upstream", name), zap.Error(err))
		return
	}
	if p.table.ObservePoll(p.now(), report) {
		p.observer.Observe(report)
	}
}

// Stats returns the counts of polls.
func (p *Poller) Stats() Stats {
	return Stats{Polls: p.stats.polls.Load(), Failed: p.stats.failed.Load(), Skipped: p.stats.skipped.Load()}
}
