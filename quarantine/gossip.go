package quarantine

import (
	"context"
	"encoding/binary"
	"fmt"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/core/member"
	"github.com/wheatseam/wheatseam/core/poison"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/wire"
)

// applyVerdicts makes changed verdicts effective, whether received from a host or
// decided locally, and sends them to all neighbours except the one they came from.
func (s *Service) applyVerdicts(from string, verdicts []poison.Verdict) {
	if len(verdicts) == 0 {
		return
	}
	s.mu.Lock()
	now := clock.Now()
	for _, v := range verdicts {
		s.logVerdict(now, from, v)
	}
	s.publishDigest(now)
	s.mu.Unlock()
	s.enforce(verdicts)
	for _, host := range s.cfg.Members.Neighbours() {
		if host != from {
			go s.sendVerdicts(host, verdicts)
		}
	}
}

// enforce notifies the watchers of the subjects whose verdicts are in force, and of the others
// when theirs are.
func (s *Service) enforce(verdicts []poison.Verdict) {
	var callbacks []func()
	var pending []poison.Verdict
	s.mu.Lock()
	now := clock.Now()
	for _, v := range verdicts {
		if _, quarantined := s.detector.Quarantined(now, v.Subject); !quarantined {
			if !v.Lifted && v.InForceAt().After(now) {
				pending = append(pending, v)
			}
			continue
		}
		for w := range s.watches[v.Subject] {
			callbacks = append(callbacks, w.notify)
		}
		delete(s.watches, v.Subject)
	}
	s.updateQuarantinedCount(now)
	s.mu.Unlock()
	for _, notify := range callbacks {
		notify()
	}
	for _, v := range pending {
		clock.AfterFunc(v.InForceAt().Sub(now), func() { s.enforce([]poison.Verdict{v}) })
	}
}

// updateQuarantinedCount recounts the quarantined subjects. The caller holds the lock.
func (s *Service) updateQuarantinedCount(now time.Time) (contents, parts int) {
	for _, v := range s.detector.Verdicts() {
		if _, quarantined := s.detector.Quarantined(now, v.Subject); !quarantined {
			continue
		}
		if v.Kind == poison.Part {
			parts++
		} else {
			contents++
		}
	}
	s.quarantinedCount.Store(int64(contents + parts))
	return contents, parts
}

// logVerdict logs a verdict with the replica crashes behind it. The caller holds the lock.
func (s *Service) logVerdict(now time.Time, from string, v poison.Verdict) {
	fields := []zap.Field{
		zap.Stringer("content", v.Subject), zap.Stringer("kind", v.Kind), zap.Uint32("round", v.Round), zap.Uint32("trials", v.Trials), zap.Bool("doubtful", v.Doubtful),
		zap.String("peer", from), zap.Duration("age", now.Sub(v.QuarantinedAt)), zap.Duration("since", now.Sub(v.FirstCrash)), zap.Strings("ends", s.describeCrashes(now, v.Subject)),
	}
	if !v.LastSuccess.IsZero() {
		fields = append(fields, zap.Duration("survived", survivedAge(now, v)))
	}
	subject := "request"
	if v.Kind == poison.Part {
		subject = "prompt part"
	}
	switch {
	case v.Lifted:
		s.log.Warn(subject+" released from quarantine", fields...)
	case v.Trials > 0:
		s.log.Warn("trials of a quarantined "+subject+" changed", append(fields, zap.Uint32("untried", v.UnusedTrials))...)
	default:
		s.log.Warn(subject+" quarantined", fields...)
	}
}

// maxDescribedContents limits the contents in the description of a crash.
const maxDescribedContents = 4

// describeCrashes describes the replica crashes with runs of a subject that this host knows of.
// The caller holds the lock.
func (s *Service) describeCrashes(now time.Time, f poison.Fingerprint) []string {
	var out []string
	for _, e := range s.detector.CrashesOf(f) {
		contents := contentsOf(e.Suspects)
		description := fmt.Sprintf("%s %.1f s ago, %d requests: %s", e.Replica, now.Sub(e.At).Seconds(), len(contents),
			strings.Join(contents[:min(len(contents), maxDescribedContents)], " "))
		if len(e.Idle) > 0 {
			description += fmt.Sprintf("; %d idle replicas too", len(e.Idle))
		}
		out = append(out, description)
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
