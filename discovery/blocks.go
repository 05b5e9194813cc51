package discovery

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/peer"
	"github.com/wheatseam/wheatseam/wire"
)

const methodConfig = "discovery.config"

const (
	// blockBytes is the size of a block: 13 ms of a link of 10 Mbit/s, so that
	// eight hosts that fetch at once keep the messages of others waiting for 0.1 s
	// at most.
	blockBytes = 16 << 10
	// blockTimeout bounds the call for one block: five times what it takes when
	// eight fetch behind a link of 10 Mbit/s. What came before it is kept.
	blockTimeout = 500 * time.Millisecond
	// maxSources bounds the hosts that are asked for one step before the store is
	// read: together less than the time within which news must be in force.
	maxSources = 3
)

var (
	errOutOfOrder = errors.New("discovery: block out of order")
	errNotNewer   = errors.New("discovery: no newer configuration there")
	errOtherBase  = errors.New("discovery: step from another revision")
	errNotHere    = errors.New("discovery: block not here yet")
)

// download is a step that is being fetched. It survives the hosts that it is
// fetched from, and is passed on while it grows: the levels of a tree of hosts
// then take a step one block, and not one step, after the other. On 80 hosts
// behind 10 Mbit/s a configuration of a megabyte is in force after 2.0 s that way
// and after 3.0 s otherwise, by the simulated links of the tests.
type download struct {
	step
	size int
	// grown is closed and replaced with every block.
	grown chan struct{}
}

// serves says whether the step is what a host asks for, now or a little later.
func (l *download) serves(req *wire.ConfigBlockRequest) bool {
	return l != nil && (l.base == 0 || l.base == req.GetBaseRevision()) && l.revision > req.GetBaseRevision() &&
		(req.GetDigest() == 0 || req.GetDigest() == l.digest)
}

// complete says whether all bytes are there.
func (l *download) complete() bool { return l.digest != 0 && len(l.data) >= l.size }

// take adds a block. A block of another step replaces what was fetched.
func (l *download) take(b *wire.ConfigBlock) error {
	if b.GetDigest() != l.digest {
		*l = download{
			grown: l.grown,
			step:  step{base: b.GetBaseRevision(), revision: b.GetRevision(), digest: b.GetDigest()},
			size:  int(min(b.GetSize(), maxConfigBytes)),
		}
	}
	if int(b.GetOffset()) != len(l.data) || len(b.GetData()) == 0 {
		return fmt.Errorf("%w: at %d, want %d", errOutOfOrder, b.GetOffset(), len(l.data))
	}
	l.data = append(l.data, b.GetData()...)
	return nil
}

// downloadFrom fetches what is left of the step from a host.
func (d *Discovery) downloadFrom(ctx context.Context, host string, base uint64, l *download) error {
	for !l.complete() {
		req := &wire.ConfigBlockRequest{BaseRevision: base, Digest: l.digest, Offset: uint32(len(l.data))}
		block := &wire.ConfigBlock{}
		call, cancel := clock.WithTimeout(ctx, blockTimeout)
		err := d.cfg.Caller.Call(call, host, methodConfig, req, block)
		cancel()
		if err != nil {
			return err
		}
		switch from := block.GetBaseRevision(); {
		case block.GetRevision() <= base:
			return errNotNewer
		case from != 0 && from != base:
			return errOtherBase
		}
		if err := d.grow(l, block); err != nil {
			return err
		}
	}
	return nil
}

// grow adds a block to a download and passes it on.
func (d *Discovery) grow(l *download, block *wire.ConfigBlock) error {
	d.serving.Lock()
	defer d.serving.Unlock()
	grown := l.grown
	if err := l.take(block); err != nil {
		return err
	}
	if grown != nil {
		close(grown)
	}
	l.grown = make(chan struct{})
	d.incoming = l
	if d.passing.Swap(l.revision) != l.revision {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.tellFellows()
	}
	return nil
}

// keepStep keeps a whole step for fellows.
func (d *Discovery) keepStep(s step) {
	d.serving.Lock()
	defer d.serving.Unlock()
	d.configSteps = d.configSteps.add(s)
	d.incoming = nil
}

// giveUp ends a download that no host completes; who waits for it is answered.
func (d *Discovery) giveUp() {
	d.serving.Lock()
	defer d.serving.Unlock()
	if d.incoming != nil {
		close(d.incoming.grown)
		d.incoming = nil
	}
	d.passing.Store(0)
}

// fetchStep fetches a step from the revision held, from one host after the
// other until it is whole.
func (d *Discovery) fetchStep(ctx context.Context, base uint64) (step, error) {
	l := &download{}
	err := errNotNewer
	for _, host := range d.holders() {
		if err = d.downloadFrom(ctx, host, base, l); err == nil {
			d.keepStep(l.step)
			return l.step, nil
		}
		if ctx.Err() != nil {
			break
		}
		d.log.Info("no block of the configuration", zap.String("peer", host), zap.Uint64("base", base),
			zap.Int("fetched", len(l.data)), zap.Int("of", l.size), zap.Error(err))
	}
	d.giveUp()
	return step{}, err
}

// holders are the hosts to fetch a configuration from: the one that named it,
// then those that rank first.
func (d *Discovery) holders() []string {
	d.mu.Lock()
	hosts := []string{d.wanted.from}
	d.mu.Unlock()
	for _, h := range ranked(d.cfg.Members.Reachable()) {
		if len(hosts) < maxSources && h.Name != d.cfg.Self && h.Name != hosts[0] {
			hosts = append(hosts, h.Name)
		}
	}
	return hosts
}

// handleConfig registers the method by which fellows fetch blocks.
func (d *Discovery) handleConfig(mux *peer.Mux) {
	peer.Handle(mux, methodConfig, func(ctx context.Context, _ peer.Sender, req *wire.ConfigBlockRequest) (*wire.ConfigBlock, error) {
		for {
			block, grown, err := d.block(req)
			if block != nil || err != nil {
				return block, err
			}
			select {
			case <-grown:
			case <-ctx.Done():
				return nil, errNotHere
			}
		}
	})
}

// block returns the block that was asked for, or the first one of another step
// when that one is not held; of a step that is on its way here, what is closed
// when more of it has come.
func (d *Discovery) block(req *wire.ConfigBlockRequest) (*wire.ConfigBlock, <-chan struct{}, error) {
	d.serving.Lock()
	defer d.serving.Unlock()
	offset := int(req.GetOffset())
	if s, known := d.configSteps.withDigest(req.GetDigest()); known && offset < len(s.data) {
		return s.block(offset, len(s.data)), nil, nil
	}
	if l := d.incoming; l.serves(req) {
		if offset < len(l.data) {
			return l.block(offset, l.size), nil, nil
		}
		return nil, l.grown, nil
	}
	s, err := d.stepFrom(req.GetBaseRevision())
	if err != nil {
		return nil, nil, err
	}
	return s.block(0, len(s.data)), nil, nil
}

// block returns the bytes from an offset on as they are sent; size is that of
// the whole step.
func (s step) block(offset, size int) *wire.ConfigBlock {
	return &wire.ConfigBlock{
		BaseRevision: s.base, Revision: s.revision, Digest: s.digest, Size: uint32(size),
		Offset: uint32(offset), Data: s.data[offset:min(len(s.data), offset+blockBytes)],
	}
}

// stepFrom returns a step from a revision, or from none. The lock of what is
// served is held, so that a whole step is made once for all who ask.
func (d *Discovery) stepFrom(base uint64) (step, error) {
	if s, known := d.configSteps.from(base); known && base != 0 {
		return s, nil
	}
	v := d.View()
	if v.Config == nil {
		return step{}, errNoView
	}
	if s, known := d.configSteps.from(0); known && s.revision == v.revision {
		return s, nil
	}
	s, err := newStep(0, nil, v.revision, v.raw)
	if err != nil {
		return step{}, err
	}
	d.configSteps = d.configSteps.add(s)
	return s, nil
}
