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

// changed puts changed verdicts, heard from a host or decided here, in force:
// requests that wait are told, and so are the neighbours.
func (s *Service) changed(from string, verdicts []poison.Verdict) {
	if len(verdicts) == 0 {
		return
	}
	var told []func()
	s.mu.Lock()
	now := clock.Now()
	for _, v := range verdicts {
		s.logVerdict(now, from, v)
		if v.Lifted {
			continue
		}
		for w := range s.watches[v.Request] {
			told = append(told, w.condemned)
		}
		delete(s.watches, v.Request)
	}
	s.count(now)
	s.setSlot(now)
	s.mu.Unlock()
	for _, condemned := range told {
		condemned()
	}
	for _, host := range s.cfg.Members.Neighbours() {
		if host != from {
			go s.spread(host, verdicts)
		}
	}
}

// count counts the requests that are condemned; the lock is held.
func (s *Service) count(now time.Time) {
	n := 0
	for _, v := range s.machine.Verdicts() {
		if _, condemned := s.machine.Quarantined(now, v.Request); condemned {
			n++
		}
	}
	s.condemned.Store(int64(n))
}

// logVerdict says what decided a verdict; the lock is held.
func (s *Service) logVerdict(now time.Time, from string, v poison.Verdict) {
	fields := []zap.Field{
		zap.Stringer("content", v.Request), zap.Uint32("round", v.Round), zap.Uint32("trials", v.Trials), zap.Bool("doubtful", v.Doubtful),
		zap.String("peer", from), zap.Duration("age", now.Sub(v.QuarantinedAt)), zap.Duration("since", now.Sub(v.FirstCrash)), zap.Strings("ends", s.endsUnder(now, v.Request)),
	}
	switch {
	case v.Lifted:
		s.log.Warn("verdict on a request lifted", fields...)
	case v.Trials > 0:
		s.log.Warn("request tried again", append(fields, zap.Uint32("untried", v.UnusedTrials))...)
	default:
		s.log.Warn("request condemned", fields...)
	}
}

// endsUnder describes the ends of replicas under a request that are known here;
// the lock is held.
func (s *Service) endsUnder(now time.Time, f poison.Fingerprint) []string {
	var out []string
	for _, e := range s.machine.CrashesOf(f) {
		out = append(out, fmt.Sprintf("%s %.1f s ago, %d requests", e.Replica, now.Sub(e.At).Seconds(), len(e.Suspects)))
	}
	return out
}

// spread tells a neighbour of verdicts. One that is missed is made up for by an
// exchange.
func (s *Service) spread(host string, verdicts []poison.Verdict) {
	ctx, cancel := clock.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	told := &wire.Verdicts{Verdicts: verdictsToWire(clock.Now(), verdicts)}
	if err := s.cfg.Caller.Call(ctx, host, methodVerdicts, told, &wire.Verdicts{}); err != nil {
		s.log.Info("verdicts not told", zap.String("peer", host), zap.Error(err))
	}
}

// learn takes a fellow's verdicts.
func (s *Service) learn(from string, verdicts []*wire.Verdict) {
	now := clock.Now()
	s.mu.Lock()
	changed := s.machine.Merge(now, verdictsFromWire(now, verdicts))
	s.mu.Unlock()
	s.changed(from, changed)
}

func (s *Service) allVerdicts() []*wire.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	return verdictsToWire(clock.Now(), s.machine.Verdicts())
}

// exchangeEvery bounds the exchanges of this daemon: while a verdict spreads, the
// digests of neighbours differ for a moment.
const exchangeEvery = 500 * time.Millisecond

// Heard takes a neighbour's digest of its verdicts; it does not block.
func (s *Service) DigestReceived(h member.SlotReceived) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	s.setSlot(now) // a verdict may have been forgotten
	if len(h.Value) != digestBytes || binary.LittleEndian.Uint64(h.Value) == s.onSlot || now.Sub(s.exchanged) < exchangeEvery {
		return
	}
	s.exchanged = now
	go s.exchange(h.Host)
}

// exchange gives a neighbour all verdicts and takes its own.
func (s *Service) exchange(host string) {
	ctx, cancel := clock.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	reply := &wire.Verdicts{}
	if err := s.cfg.Caller.Call(ctx, host, methodVerdicts, &wire.Verdicts{Verdicts: s.allVerdicts(), Exchange: true}, reply); err != nil {
		s.log.Info("verdicts not exchanged", zap.String("peer", host), zap.Error(err))
		return
	}
	s.learn(host, reply.GetVerdicts())
}
