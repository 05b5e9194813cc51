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
	// syncInterval is how often a host that is not synchronized queries all
	// other hosts.
	syncInterval = 250 * time.Millisecond
	// compareInterval is how often a synchronized host compares its status with
	// that of one random host.
	compareInterval = time.Second
	// statusTimeout bounds one status exchange.
	statusTimeout = time.Second
	// maxConcurrentExchanges bounds the status exchanges in flight.
	maxConcurrentExchanges = 16
)

// Run synchronizes the status of the host lists with the other hosts until ctx
// ends.
func (s *Service) Run(ctx context.Context) {
	timer := clock.NewTimer(syncInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			timer.Reset(s.syncStatus(ctx))
		}
	}
}

// syncStatus exchanges statuses once and returns the delay until the next
// exchange.
func (s *Service) syncStatus(ctx context.Context) time.Duration {
	hosts, synced := s.peerHosts()
	if synced {
		if len(hosts) > 0 {
			s.mu.Lock()
			host := hosts[s.rng.IntN(len(hosts))]
			s.mu.Unlock()
			s.exchangeStatus(ctx, host, false)
		}
		return compareInterval
	}
	var group errgroup.Group
	group.SetLimit(maxConcurrentExchanges)
	for _, h := range hosts {
		group.Go(func() error {
			s.exchangeStatus(ctx, h, true)
			return nil
		})
	}
	_ = group.Wait()
	return syncInterval
}

// peerHosts returns the other hosts of the active and the earlier host lists.
func (s *Service) peerHosts() (hosts []string, synced bool) {
	s.viewsMu.RLock()
	defer s.viewsMu.RUnlock()
	if s.views == nil {
		return nil, false
	}
	for _, v := range append([]claim.View{s.lineage.Current}, s.lineage.Earlier...) {
		for _, h := range v.Hosts {
			if h.Name != s.cfg.Host && !slices.Contains(hosts, h.Name) {
				hosts = append(hosts, h.Name)
			}
		}
	}
	return hosts, s.views.Status().Synced
}

// exchangeStatus sends this host's status to a host and merges that host's
// status. Complete statuses are sent only if the fingerprints differ or if this
// host is not synchronized.
func (s *Service) exchangeStatus(ctx context.Context, host string, complete bool) {
	ctx, cancel := clock.WithTimeout(ctx, statusTimeout)
	defer cancel()
	mine, ok := s.ownStatus(complete)
	if !ok {
		return
	}
	var theirs wire.ClaimStatus
	if s.cfg.Caller.Call(ctx, host, methodStatus, mine, &theirs) != nil {
		return
	}
	if theirs.Complete {
		s.mergeStatus(host, &theirs)
	}
	if !mine.Complete && theirs.Fingerprint != mine.Fingerprint {
		s.exchangeStatus(ctx, host, true)
	}
}

func (s *Service) ownStatus(complete bool) (*wire.ClaimStatus, bool) {
	s.viewsMu.RLock()
	defer s.viewsMu.RUnlock()
	if s.views == nil {
		return nil, false
	}
	return encodeStatus(s.views.Status(), complete), true
}

func (s *Service) mergeStatus(host string, m *wire.ClaimStatus) {
	s.viewsMu.Lock()
	defer s.viewsMu.Unlock()
	if s.views != nil {
		s.views.HandleStatus(decodeStatus(host, m))
	}
}

func (s *Service) serveStatus(_ context.Context, from peer.Sender, m *wire.ClaimStatus) (*wire.ClaimStatus, error) {
	if m.Complete {
		s.mergeStatus(from.Host, m)
	}
	mine, ok := s.ownStatus(m.Complete)
	if !ok {
		return nil, errNoHostList
	}
	return mine, nil
}

// fingerprint is equal for two hosts that know the same incarnations of hosts
// and the same acknowledgements of host lists.
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
