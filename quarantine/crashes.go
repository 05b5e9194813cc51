package quarantine

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/core/crash"
	"github.com/wheatseam/wheatseam/core/poison"
	"github.com/wheatseam/wheatseam/internal/clock"
)

// AttemptInterrupted records an attempt that ended without a complete answer. If its replica
// crashed, the crash is reported once that is known.
func (s *Service) AttemptInterrupted(i crash.Interruption) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i.Parts = s.mostSuspect(i.Parts)
	s.recordCrashes(s.interruptions.Interrupted(clock.Now(), i))
	s.scheduleChecks()
}

// maxPartsPerRun is the maximum number of parts of one run that are reported.
const maxPartsPerRun = 32

// mostSuspect returns at most maxPartsPerRun of the parts, those that survived longest ago here.
// The caller holds the lock.
func (s *Service) mostSuspect(parts []poison.Fingerprint) []poison.Fingerprint {
	if len(parts) <= maxPartsPerRun {
		return parts
	}
	sorted := slices.Clone(parts)
	slices.SortStableFunc(sorted, func(a, b poison.Fingerprint) int {
		return s.detector.LastSuccess(a).Compare(s.detector.LastSuccess(b))
	})
	return sorted[:maxPartsPerRun]
}

// scheduleChecks starts the checks that are due, and a timer for the next one. The caller holds
// the lock.
func (s *Service) scheduleChecks() {
	now := clock.Now()
	due, next := s.interruptions.Due(now)
	s.interruptedReplicas.Store(int64(s.interruptions.Len()))
	for _, c := range due {
		go s.checkCrash(c)
	}
	if at := now.Add(next); next > 0 && (!s.nextCheck.After(now) || at.Before(s.nextCheck)) {
		s.nextCheck = at
		clock.AfterFunc(next, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.scheduleChecks()
		})
	}
}

// checkCrash checks whether a replica has crashed: its address then refuses connections.
// Connections also break for other reasons: after an aborted response or a network reset
// the port is still open, and a machine that is down does not respond at all.
func (s *Service) checkCrash(c crash.Check) {
	began := clock.Now()
	result, err := s.cfg.Replicas.CheckCrash(context.Background(), c.Address)
	if s.cfg.OnCrashCheck != nil {
		s.cfg.OnCrashCheck(result)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	confirmed := s.interruptions.Checked(began, c.Replica, result)
	if len(confirmed) == 0 && !result.Accepted && c.Last {
		s.log.Info("could not check whether a replica has crashed", zap.String("replica", c.Replica), zap.Stringer("result", result),
			zap.Strings("contents", contentsOf(c.Suspects)), zap.Error(err))
	}
	s.recordCrashes(confirmed)
	s.scheduleChecks()
}

// ReplicasListed has the listing of the replicas looked at where attempts were interrupted. It
// is to be called when the listing has changed. list must not block.
func (s *Service) ReplicasListed(list func(replica, address string) crash.Listing) {
	if s.interruptedReplicas.Load() == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	for id, address := range s.interruptions.Replicas() {
		s.recordCrashes(s.interruptions.Listed(now, id, list(id, address)))
	}
	s.scheduleChecks()
}

// recordCrashes records confirmed replica crashes for reporting, with the last successes of their
// subjects here. The caller holds the lock.
func (s *Service) recordCrashes(confirmed []crash.Confirmed) {
	for _, c := range confirmed {
		for i := range c.Suspects {
			c.Suspects[i].LastSuccess = s.detector.LastSuccess(c.Suspects[i].Subject)
		}
		c.LimitSuspects()
		if s.cfg.OnReplicaCrash != nil {
			s.cfg.OnReplicaCrash(c)
		}
		s.log.Warn("replica crashed while requests were running on it", zap.String("service", c.Service), zap.String("replica", c.Replica),
			zap.Stringer("proof", c.Proof), zap.Duration("age", clock.Since(c.At)),
			zap.Strings("contents", contentsOf(c.Suspects)), zap.Durations("ran", runTimesOf(c.Suspects)),
			zap.Strings("parts", subjectsOf(c.Suspects, poison.Part)))
		c.Idle = s.checkIdleReplicas(c.Crash)
		s.reports = append(s.reports, &report{crash: c.Crash, ackedBy: map[string]uint64{}})
		s.reports = s.reports[max(0, len(s.reports)-maxReports):]
		s.wake()
	}
}

// contentsOf lists the contents among suspects, for logs.
func contentsOf(suspects []poison.Suspect) []string { return subjectsOf(suspects, poison.Content) }

// subjectsOf lists the suspects of a kind, for logs.
func subjectsOf(suspects []poison.Suspect, k poison.Kind) []string {
	out := []string{}
	for _, suspect := range suspects {
		if suspect.Kind == k {
			out = append(out, suspect.Subject.String())
		}
	}
	return out
}

// runTimesOf lists how long the contents among suspects ran, for logs.
func runTimesOf(suspects []poison.Suspect) []time.Duration {
	out := []time.Duration{}
	for _, suspect := range suspects {
		if suspect.Kind == poison.Content {
			out = append(out, suspect.RunTime)
		}
	}
	return out
}
