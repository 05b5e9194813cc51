package quarantine

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/core/crash"
	"github.com/wheatseam/wheatseam/core/poison"
	"github.com/wheatseam/wheatseam/internal/clock"
)

// outageCheck is a check of idle replicas of a service after one of its replicas has crashed.
type outageCheck struct {
	at time.Time
	// idle are the replicas that crashed too; empty until that is known, and if one has not.
	idle []poison.IdleReplica
}

// ReplicaAnswered records that a replica answered, so that it was alive.
func (s *Service) ReplicaAnswered(service, replica, address string) {
	s.answersMu.Lock()
	defer s.answersMu.Unlock()
	s.answers.Record(clock.Now(), service, replica, address)
}

// checkIdleReplicas starts the check of idle replicas of the service of a crash, and returns those
// that are known to have crashed at the same time. The caller holds the lock.
func (s *Service) checkIdleReplicas(c poison.Crash) []poison.IdleReplica {
	if last := s.outageChecks[c.Service]; last != nil && c.At.Sub(last.at).Abs() <= poison.Simultaneous {
		return last.idle
	}
	now := clock.Now()
	s.answersMu.Lock()
	idle := s.answers.Idle(now, c.Service, func(a crash.Answer) bool {
		return a.Replica == c.Replica || s.interruptions.InterruptedSince(a.Replica, a.At)
	})
	s.answersMu.Unlock()
	if len(idle) > 0 {
		check := &outageCheck{at: c.At}
		s.outageChecks[c.Service] = check
		go s.checkOutage(c.Service, check, idle)
	}
	return nil
}

// checkOutage checks whether all of the given replicas have crashed, and if so adds them to the
// reports of the crashes at that time.
func (s *Service) checkOutage(service string, check *outageCheck, idle []crash.Answer) {
	if !s.allCrashed(check.at, idle) {
		return
	}
	var found []poison.IdleReplica
	names := make([]string, 0, len(idle))
	s.answersMu.Lock()
	for _, a := range idle {
		found = append(found, poison.IdleReplica{Replica: a.Replica, AnsweredAt: a.At})
		names = append(names, a.Replica)
		s.answers.Forget(service, a.Replica, a.At)
	}
	s.answersMu.Unlock()
	s.log.Warn("idle replicas crashed too: no request is the cause", zap.String("service", service), zap.Strings("replicas", names))
	if s.cfg.OnOutage != nil {
		s.cfg.OnOutage(service)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	check.idle = found
	for _, r := range s.reports {
		if r.crash.Service == service && r.crash.At.Sub(check.at).Abs() <= poison.Simultaneous {
			r.crash.Idle = found
			r.version++
			r.sent, r.ackedBy, r.evaluatedLocally = false, map[string]uint64{}, false
		}
	}
	s.wake()
}

// allCrashed checks replicas at the same time.
func (s *Service) allCrashed(since time.Time, replicas []crash.Answer) bool {
	crashed := make([]bool, len(replicas))
	var group sync.WaitGroup
	for i, a := range replicas {
		group.Go(func() {
			result, _ := s.cfg.Replicas.CheckCrash(context.Background(), a.Address)
			if s.cfg.OnCrashCheck != nil {
				s.cfg.OnCrashCheck(result)
			}
			crashed[i] = result.Crashed(since)
		})
	}
	group.Wait()
	for _, c := range crashed {
		if !c {
			return false
		}
	}
	return true
}
