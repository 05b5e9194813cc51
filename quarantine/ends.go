package quarantine

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/core/poison"
	"github.com/wheatseam/wheatseam/internal/clock"
)

// Attempt is an attempt at a replica that broke off.
type InterruptedAttempt struct {
	Service, Replica string
	// Address is the replica's ip:port.
	Address string
	Request poison.Fingerprint
	Began   time.Time
}

// gatherFor is how long attempts that break off at a replica are gathered before
// it is asked whether it lives: all its connections end within a millisecond or
// two, and its port is closed by then.
const gatherFor = 10 * time.Millisecond

// ending is a replica at which attempts broke off.
type ending struct {
	poison.Crash
	address string
}

// BrokeOff takes an attempt that the replica's side of the connection ended.
// Others that break off there meanwhile are looked at together.
func (s *Service) AttemptInterrupted(a InterruptedAttempt) {
	now := clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	suspect := poison.Suspect{Request: a.Request, RunTime: now.Sub(a.Began), LastSuccess: s.machine.LastSuccess(a.Request)}
	if known := s.ending[a.Replica]; known != nil {
		known.Suspects = append(known.Suspects, suspect)
		return
	}
	e := &ending{poison.Crash{Service: a.Service, Replica: a.Replica, At: now, Suspects: []poison.Suspect{suspect}}, a.Address}
	s.ending[a.Replica] = e
	clock.AfterFunc(gatherFor, func() { s.look(e) })
}

// look asks whether a replica has ended. Connections break for other reasons too:
// a replica that breaks answers off, or a network that resets, leaves its port
// open; and a machine that is gone says nothing at all.
func (s *Service) look(e *ending) {
	refused, err := s.cfg.Replicas.RefusesConnections(context.Background(), e.address)
	s.mu.Lock()
	delete(s.ending, e.Replica)
	s.mu.Unlock()
	switch {
	case err != nil:
		s.log.Info("not known whether a replica ended", zap.String("replica", e.Replica), zap.Error(err))
	case refused:
		s.ended(e.Crash)
	}
}

// ended takes a replica that has ended.
func (s *Service) ended(e poison.Crash) {
	if s.cfg.OnReplicaCrash != nil {
		s.cfg.OnReplicaCrash(e)
	}
	contents, ran := make([]string, 0, len(e.Suspects)), make([]time.Duration, 0, len(e.Suspects))
	for _, x := range e.Suspects {
		contents, ran = append(contents, x.Request.String()), append(ran, x.RunTime)
	}
	s.log.Warn("replica ended under requests", zap.String("service", e.Service), zap.String("replica", e.Replica),
		zap.Strings("contents", contents), zap.Durations("ran", ran))
	s.mu.Lock()
	s.reports = append(s.reports, &report{end: e, taken: map[string]uint64{}})
	s.reports = s.reports[max(0, len(s.reports)-maxReports):]
	s.mu.Unlock()
	s.wake()
}
