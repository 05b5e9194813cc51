package claims

import (
	"cmp"
	"context"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"github.com/wheatseam/wheatseam/core/claim"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/peer"
	"github.com/wheatseam/wheatseam/wire"
)

const (
	// syncEvery is how often a host that has not caught up asks all others.
	syncEvery = 250 * time.Millisecond
	// compareEvery is how often a host that has caught up compares what it
	// knows with one other.
	compareEvery = time.Second
	// statusTimeout bounds one exchange.
	statusTimeout = time.Second
	// maxExchanges bounds the exchanges at the same time.
	maxExchanges = 16
)

// Run keeps the knowledge of host lists in step with the other hosts' until
// ctx ends.
func (s *Service) Run(ctx context.Context) {
	timer := clock.NewTimer(syncEvery)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			timer.Reset(s.keepInStep(ctx))
		}
	}
}

// keepInStep exchanges statuses once and returns when to do so again.
func (s *Service) keepInStep(ctx context.Context) time.Duration {
	hosts, synced := s.others()
	if synced {
		if len(hosts) > 0 {
			s.mu.Lock()
			host := hosts[s.rng.IntN(len(hosts))]
			s.mu.Unlock()
			s.exchange(ctx, host, false)
		}
		return compareEvery
	}
	var group errgroup.Group
	group.SetLimit(maxExchanges)
	for _, h := range hosts {
		group.Go(func() error {
			s.exchange(ctx, h, true)
			return nil
		})
	}
	_ = group.Wait()
	return syncEvery
}

// others returns the other hosts of the list in force and of the earlier ones.
func (s *Service) others() (hosts []string, synced bool) {
	s.viewsMu.RLock()
	defer s.viewsMu.RUnlock()
	if s.views == nil {
		return nil, false
	}
	for _, v := range append([]claim.View{s.current.Current}, s.current.Earlier...) {
		for _, h := range v.Hosts {
			if h.Name != s.cfg.Host && !slices.Contains(hosts, h.Name) {
				hosts = append(hosts, h.Name)
			}
		}
	}
	return hosts, s.views.Status().Synced
}

// exchange tells a host what this one knows and takes what it knows. Complete
// statuses travel only when the two differ, or when this host must catch up.
func (s *Service) exchange(ctx context.Context, host string, complete bool) {
	ctx, cancel := clock.WithTimeout(ctx, statusTimeout)
	defer cancel()
	mine, ok := s.status(complete)
	if !ok {
		return
	}
	var theirs wire.ClaimStatus
	if s.cfg.Caller.Call(ctx, host, methodStatus, mine, &theirs) != nil {
		return
	}
	if theirs.Complete {
		s.hear(host, &theirs)
	}
	if !mine.Complete && theirs.Fingerprint != mine.Fingerprint {
		s.exchange(ctx, host, true)
	}
}

func (s *Service) status(complete bool) (*wire.ClaimStatus, bool) {
	s.viewsMu.RLock()
	defer s.viewsMu.RUnlock()
	if s.views == nil {
		return nil, false
	}
	return encodeStatus(s.views.Status(), complete), true
}

func (s *Service) hear(host string, m *wire.ClaimStatus) {
	s.viewsMu.Lock()
	defer s.viewsMu.Unlock()
	if s.views != nil {
		s.views.HandleStatus(decodeStatus(host, m))
	}
}

func (s *Service) serveStatus(_ context.Context, from peer.Sender, m *wire.ClaimStatus) (*wire.ClaimStatus, error) {
	if m.Complete {
		s.hear(from.Host, m)
	}
	mine, ok := s.status(m.Complete)
	if !ok {
		return nil, errNoBundle
	}
	return mine, nil
}

// fingerprint is equal for two hosts that know the same incarnations and
// acknowledgements.
func fingerprint(s claim.Status) uint64 {
	acks := maps.Clone(s.Relayed)
	if s.Synced {
		acks[s.Host] = s.Ack
	}
	var d xxhash.Digest
	d.Reset()
	number := func(n uint64) { _, _ = d.Write(binary.BigEndian.AppendUint64(nil, n)) }
	for _, host := range slices.SortedFunc(maps.Keys(s.Incarnations), cmp.Compare[string]) {
		_, _ = d.WriteString(host)
		number(s.Incarnations[host])
	}
	for _, host := range slices.SortedFunc(maps.Keys(acks), cmp.Compare[string]) {
		_, _ = d.WriteString(host)
		number(acks[host].Incarnation)
		for _, a := range acks[host].Adopted {
			number(a.Epoch)
		}
	}
	return d.Sum64()
}
