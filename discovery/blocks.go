package discovery

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

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
)

// download is a step that is being fetched. It survives the hosts that it is
// fetched from.
type download struct {
	step
	size int
}

// complete says whether all bytes are there.
func (l *download) complete() bool { return l.digest != 0 && len(l.data) >= l.size }

// take adds a block. A block of another step replaces what was fetched.
func (l *download) take(b *wire.ConfigBlock) error {
	if b.GetDigest() != l.digest {
		*l = download{
			step: step{base: b.GetBaseRevision(), revision: b.GetRevision(), digest: b.GetDigest()},
			size: int(min(b.GetSize(), maxConfigBytes)),
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
		call, cancel := context.WithTimeout(ctx, blockTimeout)
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
		if err := l.take(block); err != nil {
			return err
		}
	}
	return nil
}

// fetchStep fetches a step from the revision held, from one host after the
// other until it is whole.
func (d *Discovery) fetchStep(ctx context.Context, base uint64) (step, error) {
	var l download
	err := errNotNewer
	for _, host := range d.holders() {
		if err = d.downloadFrom(ctx, host, base, &l); err == nil {
			return l.step, nil
		}
		if ctx.Err() != nil {
			return step{}, ctx.Err()
		}
		d.log.Info("no block of the configuration", zap.String("peer", host), zap.Uint64("base", base),
			zap.Int("fetched", len(l.data)), zap.Int("of", l.size), zap.Error(err))
	}
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
	peer.Handle(mux, methodConfig, func(_ context.Context, _ peer.Sender, req *wire.ConfigBlockRequest) (*wire.ConfigBlock, error) {
		return d.block(req)
	})
}

// block answers with the block that was asked for, or the first one of another
// step when that one is not held.
func (d *Discovery) block(req *wire.ConfigBlockRequest) (*wire.ConfigBlock, error) {
	d.serving.Lock()
	defer d.serving.Unlock()
	s, known := d.configSteps.withDigest(req.GetDigest())
	offset := int(req.GetOffset())
	if !known || offset >= len(s.data) {
		var err error
		if s, err = d.stepFrom(req.GetBaseRevision()); err != nil {
			return nil, err
		}
		offset = 0
	}
	return &wire.ConfigBlock{
		BaseRevision: s.base, Revision: s.revision, Digest: s.digest, Size: uint32(len(s.data)),
		Offset: uint32(offset), Data: s.data[offset:min(len(s.data), offset+blockBytes)],
	}, nil
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
