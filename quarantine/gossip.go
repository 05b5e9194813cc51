package quarantine

import (
	"context"
	"encoding/binary"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/core/member"
	"github.com/wheatseam/wheatseam/core/poison"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/wire"
)

// applyVerdicts makes changed verdicts effective, whether received from a host or
// decided locally: it notifies the watchers of each quarantined request and sends the
// verdicts to all neighbours except the one they came from.
func (s *Service) applyVerdicts(from string, verdicts []poison.Verdict) {
	if len(verdicts) == 0 {
		return
	}
	var callbacks []func()
	s.mu.Lock()
	now := clock.Now()
	for _, v := range verdicts {
		s.logVerdict(now, from, v)
		if v.Lifted {
			continue
		}
		for w := range s.watches[v.Request] {
			callbacks = append(callbacks, w.notify)
		}
		delete(s.watches, v.Request)
	}
	s.updateQuarantinedCount(now)
	s.publishDigest(now)
	s.mu.Unlock()
	for _, notify := range callbacks {
		notify()
	}
	for _, host := range s.cfg.Members.Neighbours() {
		if host != from {
			go s.sendVerdicts(host, verdicts)
		}
	}
}

// updateQuarantinedCount recounts the quarantined requests. The caller holds the lock.
func (s *Service) updateQuarantinedCount(now time.Time) {
	n := 0
	for _, v := range s.detector.Verdicts() {
		if _, quarantined := s.detector.Quarantined(now, v.Request); quarantined {
			n++
		}
	}
	s.quarantinedCount.Store(int64(n))
}

// logVerdict logs a verdict with the replica crashes behind it. The caller holds the lock.
func (s *Service) logVerdict(now time.Time, from string, v poison.Verdict) {
	fields := []zap.Field{
		zap.Stringer("content", v.Request), zap.Uint32("round", v.Round), zap.Uint32("trials", v.Trials), zap.Bool("doubtful", v.Doubtful),
		zap.String("peer", from), zap.Duration("age", now.Sub(v.QuarantinedAt)), zap.Duration("since", now.Sub(v.FirstCrash)), zap.Strings("ends", s.describeCrashes(now, v.Request)),
	}
	switch {
	case v.Lifted:
		s.log.Warn("request released from quarantine", fields...)
	case v.Trials > 0:
		s.log.Warn("trials of a quarantined request changed", append(fields, zap.Uint32("untried", v.UnusedTrials))...)
	default:
		s.log.Warn("request quarantined", fields...)
	}
}

// describeCrashes describes the replica crashes that this host attributes to a request.
// The caller holds the lock.
func (s *Service) describeCrashes(now time.Time, f poison.Fingerprint) []string {
	var out []string
	for _, e := range s.detector.CrashesOf(f) {
		out = append(out, fmt.Sprintf("%s %.1f s ago, %d requests", e.Replica, now.Sub(e.At).Seconds(), len(e.Suspects)))
	}
	return out
}

// sendVerdicts sends verdicts to a neighbour. It does not retry, since an exchange
// after a later heartbeat delivers verdicts that were lost.
func (s *Service) sendVerdicts(host string, verdicts []poison.Verdict) {
	ctx, cancel := clock.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	msg := &wire.Verdicts{Verdicts: verdictsToWire(clock.Now(), verdicts)}
	if err := s.cfg.Caller.Call(ctx, host, methodVerdicts, msg, &wire.Verdicts{}); err != nil {
		s.log.Info("sending verdicts failed", zap.String("peer", host), zap.Error(err))
	}
}

// mergeVerdicts merges verdicts received from a peer.
func (s *Service) mergeVerdicts(from string, verdicts []*wire.Verdict) {
	now := clock.Now()
	s.mu.Lock()
	changed := s.detector.Merge(now, verdictsFromWire(now, verdicts))
	s.mu.Unlock()
	s.applyVerdicts(from, changed)
}

func (s *Service) allVerdicts() []*wire.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	return verdictsToWire(clock.Now(), s.detector.Verdicts())
}

// minExchangeInterval limits how often this daemon starts an exchange: while a verdict
// propagates, the digests of neighbours differ for a moment.
const minExchangeInterval = 500 * time.Millisecond

// DigestReceived compares a neighbour's digest with the local one and starts an exchange if
// they differ. It does not block.
func (s *Service) DigestReceived(h member.SlotReceived) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	s.publishDigest(now) // a verdict may have expired
	if len(h.Value) != digestBytes || binary.LittleEndian.Uint64(h.Value) == s.publishedDigest || now.Sub(s.lastExchange) < minExchangeInterval {
		return
	}
	s.lastExchange = now
	go s.exchange(h.Host)
}

// exchange sends all verdicts to a neighbour and merges the verdicts in its reply.
func (s *Service) exchange(host string) {
	ctx, cancel := clock.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	reply := &wire.Verdicts{}
	if err := s.cfg.Caller.Call(ctx, host, methodVerdicts, &wire.Verdicts{Verdicts: s.allVerdicts(), Exchange: true}, reply); err != nil {
		s.log.Info("exchanging verdicts failed", zap.String("peer", host), zap.Error(err))
		return
	}
	s.mergeVerdicts(host, reply.GetVerdicts())
}
