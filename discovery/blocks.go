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
	// blockBytes is the size of a block. It occupies a link of 10 Mbit/s for 13 ms, so
	// that eight hosts that fetch at once delay other messages by at most 0.1 s.
	blockBytes = 16 << 10
	// blockTimeout limits the call for one block to five times what it takes when eight
	// hosts fetch over a link of 10 Mbit/s. Blocks received before are kept.
	blockTimeout = 500 * time.Millisecond
	// maxSources limits the hosts that are asked for one delta before the store is read,
	// so that all attempts together take less than the time within which changes must be
	// active.
	maxSources = 3
)

var (
	errBlockOutOfOrder = errors.New("discovery: block at an unexpected offset")
	errNoNewerConfig   = errors.New("discovery: peer has no newer configuration")
	errBaseMismatch    = errors.New("discovery: configuration delta has another base revision")
	errBlockPending    = errors.New("discovery: block not here yet")
)

// download is a configuration delta that is being fetched. It continues from another host
// when one fails, and its blocks are offered to peers before it is complete: the levels of
// the tree of hosts are then one block apart, and not one delta. In a simulation of 80
// hosts with links of 10 Mbit/s, a configuration of a megabyte is active after 2.0 s
// that way, and after 3.0 s otherwise.
type download struct {
	configDelta
	size int
	// blockAdded is closed and replaced with every block.
	blockAdded chan struct{}
}

// canServe reports whether the delta is the one that a host requests. The requested block
// may not have arrived yet.
func (dl *download) canServe(req *wire.ConfigBlockRequest) bool {
	return dl != nil && (dl.base == 0 || dl.base == req.GetBaseRevision()) && dl.revision > req.GetBaseRevision() &&
		(req.GetDigest() == 0 || req.GetDigest() == dl.digest)
}

// complete reports whether all bytes have been received.
func (dl *download) complete() bool { return dl.digest != 0 && len(dl.data) >= dl.size }

// addBlock appends a block. A block of another delta discards what was fetched before.
func (dl *download) addBlock(b *wire.ConfigBlock) error {
	if b.GetDigest() != dl.digest {
		*dl = download{
			blockAdded:  dl.blockAdded,
			configDelta: configDelta{base: b.GetBaseRevision(), revision: b.GetRevision(), digest: b.GetDigest()},
			size:        int(min(b.GetSize(), maxConfigBytes)),
		}
	}
	if int(b.GetOffset()) != len(dl.data) || len(b.GetData()) == 0 {
		return fmt.Errorf("%w: got %d, want %d", errBlockOutOfOrder, b.GetOffset(), len(dl.data))
	}
	dl.data = append(dl.data, b.GetData()...)
	return nil
}

// downloadFrom fetches the rest of the delta from a host.
func (d *Discovery) downloadFrom(ctx context.Context, host string, base uint64, dl *download) error {
	for !dl.complete() {
		req := &wire.ConfigBlockRequest{BaseRevision: base, Digest: dl.digest, Offset: uint32(len(dl.data))}
		block := &wire.ConfigBlock{}
		call, cancel := clock.WithTimeout(ctx, blockTimeout)
		err := d.cfg.Caller.Call(call, host, methodConfig, req, block)
		cancel()
		if err != nil {
			return err
		}
		switch blockBase := block.GetBaseRevision(); {
		case block.GetRevision() <= base:
			return errNoNewerConfig
		case blockBase != 0 && blockBase != base:
			return errBaseMismatch
		}
		if err := d.receiveBlock(dl, block); err != nil {
			return err
		}
	}
	return nil
}

// receiveBlock adds a block to a download and makes it available to peers.
func (d *Discovery) receiveBlock(dl *download, block *wire.ConfigBlock) error {
	d.deltaMu.Lock()
	defer d.deltaMu.Unlock()
	blockAdded := dl.blockAdded
	if err := dl.addBlock(block); err != nil {
		return err
	}
	if blockAdded != nil {
		close(blockAdded)
	}
	dl.blockAdded = make(chan struct{})
	d.incoming = dl
	if d.relayedRevision.Swap(dl.revision) != dl.revision {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.notifyWaiters()
	}
	return nil
}

// storeDelta keeps a complete delta for peers.
func (d *Discovery) storeDelta(delta configDelta) {
	d.deltaMu.Lock()
	defer d.deltaMu.Unlock()
	d.configDeltas = d.configDeltas.add(delta)
	d.incoming = nil
}

// abandonDownload ends a download that no host completes and wakes the requests that wait
// for its blocks.
func (d *Discovery) abandonDownload() {
	d.deltaMu.Lock()
	defer d.deltaMu.Unlock()
	if d.incoming != nil {
		close(d.incoming.blockAdded)
		d.incoming = nil
	}
	d.relayedRevision.Store(0)
}

// fetchDelta fetches a delta from the given revision, trying one host after another until
// the delta is complete.
func (d *Discovery) fetchDelta(ctx context.Context, base uint64) (configDelta, error) {
	dl := &download{}
	err := errNoNewerConfig
	for _, host := range d.configSources() {
		if err = d.downloadFrom(ctx, host, base, dl); err == nil {
			d.storeDelta(dl.configDelta)
			return dl.configDelta, nil
		}
		if ctx.Err() != nil {
			break
		}
		d.log.Info("could not fetch the configuration from a peer", zap.String("peer", host), zap.Uint64("base", base),
			zap.Int("fetched", len(dl.data)), zap.Int("of", dl.size), zap.Error(err))
	}
	d.abandonDownload()
	return configDelta{}, err
}

// configSources returns the hosts to fetch a configuration from: the host that advertised
// it, then the highest-ranked ones.
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

// registerConfigBlocks registers the method by which peers fetch blocks.
func (d *Discovery) registerConfigBlocks(mux *peer.Mux) {
	peer.Handle(mux, methodConfig, func(ctx context.Context, _ peer.Sender, req *wire.ConfigBlockRequest) (*wire.ConfigBlock, error) {
		for {
			block, blockAdded, err := d.block(req)
			if block != nil || err != nil {
				return block, err
			}
			select {
			case <-blockAdded:
			case <-ctx.Done():
				return nil, errBlockPending
			}
		}
	})
}

// block returns the requested block, or the first block of another delta when the
// requested delta is not available. For a block of a delta that is still being downloaded,
// it returns a channel that is closed when more has arrived.
func (d *Discovery) block(req *wire.ConfigBlockRequest) (*wire.ConfigBlock, <-chan struct{}, error) {
	d.deltaMu.Lock()
	defer d.deltaMu.Unlock()
	offset := int(req.GetOffset())
	if delta, ok := d.configDeltas.withDigest(req.GetDigest()); ok && offset < len(delta.data) {
		return delta.block(offset, len(delta.data)), nil, nil
	}
	if dl := d.incoming; dl.canServe(req) {
		if offset < len(dl.data) {
			return dl.block(offset, dl.size), nil, nil
		}
		return nil, dl.blockAdded, nil
	}
	delta, err := d.deltaFrom(req.GetBaseRevision())
	if err != nil {
		return nil, nil, err
	}
	return delta.block(0, len(delta.data)), nil, nil
}

// block returns the message with the block at an offset; size is that of the whole delta
// in bytes.
func (d configDelta) block(offset, size int) *wire.ConfigBlock {
	return &wire.ConfigBlock{
		BaseRevision: d.base, Revision: d.revision, Digest: d.digest, Size: uint32(size),
		Offset: uint32(offset), Data: d.data[offset:min(len(d.data), offset+blockBytes)],
	}
}

// deltaFrom returns a delta from a revision, or the whole configuration when there is
// none. The caller holds deltaMu, so that the delta of a whole configuration is encoded
// once for all requests.
func (d *Discovery) deltaFrom(base uint64) (configDelta, error) {
	if delta, ok := d.configDeltas.from(base); ok && base != 0 {
		return delta, nil
	}
	v := d.View()
	if v.Config == nil {
		return configDelta{}, errNoView
	}
	if delta, ok := d.configDeltas.from(0); ok && delta.revision == v.revision {
		return delta, nil
	}
	delta, err := newConfigDelta(0, nil, v.revision, v.raw)
	if err != nil {
		return configDelta{}, err
	}
	d.configDeltas = d.configDeltas.add(delta)
	return delta, nil
}
