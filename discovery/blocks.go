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
	errBlockOutOfOrder = errors.New("discovery: block out of order")
	errNoNewerConfig   = errors.New("discovery: no newer configuration there")
	errBaseMismatch    = errors.New("discovery: step from another revision")
	errBlockPending    = errors.New("discovery: block not here yet")
)

// download is a step that is being fetched. It survives the hosts that it is
// fetched from, and is passed on while it grows: the levels of a tree of hosts
// then take a step one block, and not one step, after the other. On 80 hosts
// behind 10 Mbit/s a configuration of a megabyte is in force after 2.0 s that way
// and after 3.0 s otherwise, by the simulated links of the tests.
type download struct {
	configDelta
	size int
	// grown is closed and replaced with every block.
	blockAdded chan struct{}
}

// serves says whether the step is what a host asks for, now or a little later.
func (l *download) canServe(req *wire.ConfigBlockRequest) bool {
	return l != nil && (l.base == 0 || l.base == req.GetBaseRevision()) && l.revision > req.GetBaseRevision() &&
		(req.GetDigest() == 0 || req.GetDigest() == l.digest)
}

// complete says whether all bytes are there.
func (l *download) complete() bool { return l.digest != 0 && len(l.data) >= l.size }

// take adds a block. A block of another step replaces what was fetched.
func (l *download) addBlock(b *wire.ConfigBlock) error {
	if b.GetDigest() != l.digest {
		*l = download{
			blockAdded:  l.blockAdded,
			configDelta: configDelta{base: b.GetBaseRevision(), revision: b.GetRevision(), digest: b.GetDigest()},
			size:        int(min(b.GetSize(), maxConfigBytes)),
		}
	}
	if int(b.GetOffset()) != len(l.data) || len(b.GetData()) == 0 {
		return fmt.Errorf("%w: at %d, want %d", errBlockOutOfOrder, b.GetOffset(), len(l.data))
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
			return errNoNewerConfig
		case from != 0 && from != base:
			return errBaseMismatch
		}
		if err := d.receiveBlock(l, block); err != nil {
			return err
		}
	}
	return nil
}

// grow adds a block to a download and passes it on.
func (d *Discovery) receiveBlock(l *download, block *wire.ConfigBlock) error {
	d.deltaMu.Lock()
	defer d.deltaMu.Unlock()
	grown := l.blockAdded
	if err := l.addBlock(block); err != nil {
		return err
	}
	if grown != nil {
		close(grown)
	}
	l.blockAdded = make(chan struct{})
	d.incoming = l
	if d.relayedRevision.Swap(l.revision) != l.revision {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.notifyWaiters()
	}
	return nil
}

// keepStep keeps a whole step for fellows.
func (d *Discovery) storeDelta(s configDelta) {
	d.deltaMu.Lock()
	defer d.deltaMu.Unlock()
	d.configDeltas = d.configDeltas.add(s)
	d.incoming = nil
}

// giveUp ends a download that no host completes; who waits for it is answered.
func (d *Discovery) abandonDownload() {
	d.deltaMu.Lock()
	defer d.deltaMu.Unlock()
	if d.incoming != nil {
		close(d.incoming.blockAdded)
		d.incoming = nil
	}
	d.relayedRevision.Store(0)
}

// fetchStep fetches a step from the revision held, from one host after the
// other until it is whole.
func (d *Discovery) fetchDelta(ctx context.Context, base uint64) (configDelta, error) {
	l := &download{}
	err := errNoNewerConfig
	for _, host := range d.configSources() {
		if err = d.downloadFrom(ctx, host, base, l); err == nil {
			d.storeDelta(l.configDelta)
			return l.configDelta, nil
		}
		if ctx.Err() != nil {
			break
		}
		d.log.Info("no block of the configuration", zap.String("peer", host), zap.Uint64("base", base),
			zap.Int("fetched", len(l.data)), zap.Int("of", l.size), zap.Error(err))
	}
	d.abandonDownload()
	return configDelta{}, err
}

// holders are the hosts to fetch a configuration from: the one that named it,
// then those that rank first.
func (d *Discovery) configSources() []string {
	d.mu.Lock()
	hosts := []string{d.advertised.from}
	d.mu.Unlock()
	for _, h := range rankedHosts(d.cfg.Members.Reachable()) {
		if len(hosts) < maxSources && h.Name != d.cfg.Self && h.Name != hosts[0] {
			hosts = append(hosts, h.Name)
		}
	}
	return hosts
}

// handleConfig registers the method by which fellows fetch blocks.
func (d *Discovery) registerConfigBlocks(mux *peer.Mux) {
	peer.Handle(mux, methodConfig, func(ctx context.Context, _ peer.Sender, req *wire.ConfigBlockRequest) (*wire.ConfigBlock, error) {
		for {
			block, grown, err := d.block(req)
			if block != nil || err != nil {
				return block, err
			}
			select {
			case <-grown:
			case <-ctx.Done():
				return nil, errBlockPending
			}
		}
	})
}

// block returns the block that was asked for, or the first one of another step
// when that one is not held; of a step that is on its way here, what is closed
// when more of it has come.
func (d *Discovery) block(req *wire.ConfigBlockRequest) (*wire.ConfigBlock, <-chan struct{}, error) {
	d.deltaMu.Lock()
	defer d.deltaMu.Unlock()
	offset := int(req.GetOffset())
	if s, known := d.configDeltas.withDigest(req.GetDigest()); known && offset < len(s.data) {
		return s.block(offset, len(s.data)), nil, nil
	}
	if l := d.incoming; l.canServe(req) {
		if offset < len(l.data) {
			return l.block(offset, l.size), nil, nil
		}
		return nil, l.blockAdded, nil
	}
	s, err := d.deltaFrom(req.GetBaseRevision())
	if err != nil {
		return nil, nil, err
	}
	return s.block(0, len(s.data)), nil, nil
}

// block returns the bytes from an offset on as they are sent; size is that of
// the whole step.
func (s configDelta) block(offset, size int) *wire.ConfigBlock {
	return &wire.ConfigBlock{
		BaseRevision: s.base, Revision: s.revision, Digest: s.digest, Size: uint32(size),
		Offset: uint32(offset), Data: s.data[offset:min(len(s.data), offset+blockBytes)],
	}
}

// stepFrom returns a step from a revision, or from none. The lock of what is
// served is held, so that a whole step is made once for all who ask.
func (d *Discovery) deltaFrom(base uint64) (configDelta, error) {
	if s, known := d.configDeltas.from(base); known && base != 0 {
		return s, nil
	}
	v := d.View()
	if v.Config == nil {
		return configDelta{}, errNoView
	}
	if s, known := d.configDeltas.from(0); known && s.revision == v.revision {
		return s, nil
	}
	s, err := newConfigDelta(0, nil, v.revision, v.raw)
	if err != nil {
		return configDelta{}, err
	}
	d.configDeltas = d.configDeltas.add(s)
	return s, nil
}
