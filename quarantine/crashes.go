package quarantine

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/core/poison"
	"github.com/wheatseam/wheatseam/internal/clock"
)

// InterruptedAttempt is an attempt whose connection the replica closed before the response
// was complete.
type InterruptedAttempt struct {
	Service, Replica string
	// Address is the replica's ip:port.
	Address string
	Request poison.Fingerprint
	Began   time.Time
}

// crashCheckDelay is the time between the first interrupted attempt at a replica and the
// check whether the replica has crashed. When a process ends, all its connections close
// within 1 to 2 ms and its port is closed by then, so that one check covers all attempts
// that ran there.
const crashCheckDelay = 10 * time.Millisecond

// crashCheck is a pending check of a replica at which attempts were interrupted.
type crashCheck struct {
	poison.Crash
	address string
}

// AttemptInterrupted records an attempt whose connection the replica closed, and schedules
// a check whether the replica has crashed. Attempts at the same replica that are
// interrupted before the check are covered by it.
func (s *Service) AttemptInterrupted(a InterruptedAttempt) {
	now := clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	suspect := poison.Suspect{Request: a.Request, RunTime: now.Sub(a.Began), LastSuccess: s.detector.LastSuccess(a.Request)}
	if known := s.crashChecks[a.Replica]; known != nil {
		known.Suspects = append(known.Suspects, suspect)
		return
	}
	e := &crashCheck{poison.Crash{Service: a.Service, Replica: a.Replica, At: now, Suspects: []poison.Suspect{suspect}}, a.Address}
	s.crashChecks[a.Replica] = e
	clock.AfterFunc(crashCheckDelay, func() { s.checkCrash(e) })
}

// checkCrash checks whether a replica has crashed: its address then refuses connections.
// Connections also break for other reasons: after an aborted response or a network reset
// the port is still open, and a machine that is down does not respond at all.
func (s *Service) checkCrash(e *crashCheck) {
	refused, err := s.cfg.Replicas.RefusesConnections(context.Background(), e.address)
	s.mu.Lock()
	delete(s.crashChecks, e.Replica)
	s.mu.Unlock()
	switch {
	case err != nil:
		s.countCheck("unknown")
		s.log.Info("could not check whether a replica has crashed", zap.String("replica", e.Replica), zap.Strings("contents", contentsOf(e.Suspects)), zap.Error(err))
	case refused:
		s.countCheck("refused")
		s.recordCrash(e.Crash)
	default:
		s.countCheck("accepted")
	}
}

// countCheck reports the result of a crash check.
func (s *Service) countCheck(result string) {
	if s.cfg.OnCrashCheck != nil {
		s.cfg.OnCrashCheck(result)
	}
}

// contentsOf lists the fingerprints of suspects, for logs.
func contentsOf(suspects []poison.Suspect) []string {
	out := make([]string, 0, len(suspects))
	for _, suspect := range suspects {
		out = append(out, suspect.Request.String())
	}
	return out
}

// recordCrash records a confirmed replica crash for reporting.
func (s *Service) recordCrash(e poison.Crash) {
	if s.cfg.OnReplicaCrash != nil {
		s.cfg.OnReplicaCrash(e)
	}
	ran := make([]time.Duration, 0, len(e.Suspects))
	for _, suspect := range e.Suspects {
		ran = append(ran, suspect.RunTime)
	}
	s.log.Warn("replica crashed while requests were running on it", zap.String("service", e.Service), zap.String("replica", e.Replica),
		zap.Strings("contents", contentsOf(e.Suspects)), zap.Durations("ran", ran))
	s.mu.Lock()
	s.reports = append(s.reports, &report{crash: e, ackedBy: map[string]uint64{}})
	s.reports = s.reports[max(0, len(s.reports)-maxReports):]
	s.mu.Unlock()
	s.wake()
}
