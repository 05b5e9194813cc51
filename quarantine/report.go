package quarantine

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/core/poison"
	"github.com/wheatseam/wheatseam/fleet"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/internal/periodic"
	"github.com/wheatseam/wheatseam/wire"
)

const (
	// coordinatorCount is the number of hosts that receive crash reports. With two, the
	// reports survive the loss of either.
	coordinatorCount = 2
	// spareCount is the number of hosts next in rank that receive the reports in place of
	// coordinators that do not answer.
	spareCount = 2
	// maxReports and reportRetention limit how many reports this daemon keeps and for
	// how long. It keeps them so that a new coordinator receives them too.
	maxReports      = 64
	reportRetention = time.Minute
	// reportRetryInterval is the interval at which a report is resent to a coordinator
	// that has not acknowledged it.
	reportRetryInterval = 500 * time.Millisecond
	// callTimeout limits a call to a peer. A failed call needs no retry of its own: the
	// next round of reports, or the next exchange with a neighbour, covers it.
	callTimeout = 400 * time.Millisecond
	// maxCrashesPerMessage limits a message to about 50 kB at the maximum number of suspects
	// per crash.
	maxCrashesPerMessage = 8
)

// report is a replica crash that this daemon observed, with its delivery state.
type report struct {
	crash poison.Crash
	// version counts the changes of the crash, after which it is to be sent again. sent says that
	// this version was due at least once to a coordinator.
	version int
	sent    bool
	// ackedBy holds, by host name, the incarnation of each host that has acknowledged
	// the report. evaluatedLocally is set once this daemon has evaluated the report
	// itself because no coordinator had acknowledged it.
	ackedBy          map[string]uint64
	evaluatedLocally bool
}

// Run reports replica crashes until ctx ends.
func (s *Service) Run(ctx context.Context) {
	for ctx.Err() == nil {
		wait := time.Hour
		if s.pruneReports() {
			wait = reportRetryInterval
		}
		periodic.WaitForSignal(ctx, s.wakeup, wait)
		s.sendToCoordinators(ctx)
		s.evaluateUnacked()
	}
}

// wake makes Run check for reports to send.
func (s *Service) wake() {
	select {
	case s.wakeup <- struct{}{}:
	default: // a wakeup is already pending
	}
}

// pruneReports drops expired reports and returns whether any are left.
func (s *Service) pruneReports() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	s.reports = slices.DeleteFunc(s.reports, func(r *report) bool { return now.Sub(r.crash.At) > reportRetention })
	return len(s.reports) > 0
}

// coordinators returns the reachable hosts that evaluate reports, in rank order.
func (s *Service) coordinators() []fleet.Host { return s.firstHosts(coordinatorCount) }

// firstHosts returns the first reachable hosts in rank order, at most n.
func (s *Service) firstHosts(n int) []fleet.Host {
	var ranked []fleet.Host
	for _, h := range s.cfg.Members.Reachable() {
		at, _ := slices.BinarySearchFunc(ranked, h, fleet.Host.Compare)
		if at < n {
			ranked = slices.Insert(ranked, at, h)
			ranked = ranked[:min(n, len(ranked))]
		}
	}
	return ranked
}

// sendToCoordinators sends the pending reports to the coordinators at the same time, and to a
// spare for each that does not answer: a coordinator may be frozen or cut off for seconds
// before it counts as unreachable.
func (s *Service) sendToCoordinators(ctx context.Context) {
	hosts := s.firstHosts(coordinatorCount + spareCount)
	spares := make(chan fleet.Host, spareCount)
	for _, h := range hosts[min(coordinatorCount, len(hosts)):] {
		spares <- h
	}
	var group sync.WaitGroup
	for _, h := range hosts[:min(coordinatorCount, len(hosts))] {
		group.Go(func() {
			if s.sendReports(ctx, h) {
				return
			}
			select {
			case spare := <-spares:
				s.sendReports(ctx, spare)
			default:
			}
		})
	}
	group.Wait()
}

// sendReports sends a host the reports that it has not acknowledged, and reports whether it
// has all of them.
func (s *Service) sendReports(ctx context.Context, h fleet.Host) bool {
	due := s.pendingReports(h)
	for len(due) > 0 {
		batch := due[:min(maxCrashesPerMessage, len(due))]
		due = due[len(batch):]
		if err := s.sendCrashes(ctx, h.Name, crashesOf(batch)); err != nil {
			s.log.Info("reporting replica crashes failed", zap.String("peer", h.Name), zap.Error(err))
			return false
		}
		s.mu.Lock()
		for _, p := range batch {
			if p.report.version == p.version {
				p.report.ackedBy[h.Name] = h.Incarnation
			}
		}
		s.mu.Unlock()
	}
	return true
}

// pendingReport is a report that a host is to receive. crash is a copy, since other coordinators
// receive the report at the same time.
type pendingReport struct {
	report  *report
	version int
	crash   poison.Crash
}

// pendingReports returns the reports that the host's current incarnation has not
// acknowledged. If the crashes within poison.OutageWindow look like an outage of a machine
// or a network, it leaves out those of them, and the suspects, that the outage explains
// (poison.Reportable).
func (s *Service) pendingReports(h fleet.Host) []pendingReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	var recent []poison.Crash
	for _, r := range s.reports {
		if clock.Since(r.crash.At) < poison.OutageWindow {
			recent = append(recent, r.crash)
		}
	}
	reportable := poison.Reportable(recent)
	var due []pendingReport
	for _, r := range s.reports {
		if incarnation, acked := r.ackedBy[h.Name]; acked && incarnation == h.Incarnation {
			continue
		}
		r.sent = true
		if len(reportable) < len(recent) && clock.Since(r.crash.At) < poison.OutageWindow {
			i := slices.IndexFunc(reportable, func(e poison.Crash) bool { return e.Replica == r.crash.Replica })
			if i < 0 {
				continue
			}
			r.crash.Suspects = reportable[i].Suspects
		}
		due = append(due, pendingReport{r, r.version, r.crash})
	}
	return due
}

func crashesOf(reports []pendingReport) []poison.Crash {
	crashes := make([]poison.Crash, 0, len(reports))
	for _, p := range reports {
		crashes = append(crashes, p.crash)
	}
	return crashes
}

// sendCrashes passes replica crashes to a host, which may be this one.
func (s *Service) sendCrashes(ctx context.Context, host string, crashes []poison.Crash) error {
	if host == s.cfg.Self {
		s.evaluate(crashes)
		return nil
	}
	ctx, cancel := clock.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.cfg.Caller.Call(ctx, host, methodCrashes, crashesToWire(clock.Now(), crashes), &wire.ReplicasEndedNoted{})
}

// evaluateUnacked evaluates, once, the reports that no coordinator has acknowledged.
func (s *Service) evaluateUnacked() {
	s.mu.Lock()
	var unacked []poison.Crash
	for _, r := range s.reports {
		if r.sent && len(r.ackedBy) == 0 && !r.evaluatedLocally {
			r.evaluatedLocally = true
			unacked = append(unacked, r.crash)
		}
	}
	s.mu.Unlock()
	s.evaluate(unacked)
}

// evaluate passes replica crashes to the detector and applies the verdicts that follow.
func (s *Service) evaluate(crashes []poison.Crash) {
	for _, e := range crashes {
		s.mu.Lock()
		changed := s.detector.RecordCrash(clock.Now(), e)
		s.mu.Unlock()
		s.applyVerdicts(s.cfg.Self, changed)
	}
}
