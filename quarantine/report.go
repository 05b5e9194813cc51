package quarantine

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/core/poison"
	"github.com/wheatseam/wheatseam/fleet"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/internal/periodic"
	"github.com/wheatseam/wheatseam/wire"
)

const (
	// deciding is the number of hosts that are told of ends: with two, the evidence
	// outlives either.
	deciding = 2
	// maxReports bounds the ends of which this daemon keeps its report, and
	// reportFor how long it does: a host that comes to decide is told of them.
	maxReports = 64
	reportFor  = time.Minute
	// reportAgain is the interval at which reports are sent that a deciding host has
	// not taken.
	reportAgain = 500 * time.Millisecond
	// callTimeout bounds a call to a fellow; the next try, or a neighbour's exchange,
	// makes up for one that is lost.
	callTimeout = 400 * time.Millisecond
	// maxEndsTold bounds the ends of one message, 16 kB at 32 suspects each.
	maxEndsTold = 16
)

// report is an end that this daemon saw, and who has taken it.
type report struct {
	end poison.Crash
	// taken holds the starts of the hosts that have taken it, by name; own says that
	// this daemon decided on it by itself.
	taken map[string]uint64
	own   bool
}

// Run reports ends until ctx ends.
func (s *Service) Run(ctx context.Context) {
	for ctx.Err() == nil {
		wait := time.Hour
		if s.reportsDue() {
			wait = reportAgain
		}
		periodic.Await(ctx, s.work, wait)
		for _, h := range s.deciders() {
			s.reportTo(ctx, h)
		}
		s.decideAlone()
	}
}

// wake has Run look for something to report.
func (s *Service) wake() {
	select {
	case s.work <- struct{}{}:
	default: // it is about to look
	}
}

// reportsDue says whether there are reports to keep, and drops old ones.
func (s *Service) reportsDue() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	s.reports = slices.DeleteFunc(s.reports, func(r *report) bool { return now.Sub(r.end.At) > reportFor })
	return len(s.reports) > 0
}

// deciders are the hosts that decide, in order.
func (s *Service) deciders() []fleet.Host {
	var first []fleet.Host
	for _, h := range s.cfg.Members.Reachable() {
		at, _ := slices.BinarySearchFunc(first, h, fleet.Host.Compare)
		if at < deciding {
			first = slices.Insert(first, at, h)
			first = first[:min(deciding, len(first))]
		}
	}
	return first
}

// reportTo tells a host of the ends that it has not taken.
func (s *Service) reportTo(ctx context.Context, h fleet.Host) {
	due := s.dueTo(h)
	for len(due) > 0 {
		part := due[:min(maxEndsTold, len(due))]
		due = due[len(part):]
		if err := s.tellEnds(ctx, h.Name, endsOf(part)); err != nil {
			s.log.Info("ends of replicas not reported", zap.String("peer", h.Name), zap.Error(err))
			return
		}
		s.mu.Lock()
		for _, r := range part {
			r.taken[h.Name] = h.Incarnation
		}
		s.mu.Unlock()
	}
}

// dueTo returns the reports that a start of a host has not taken, without those
// that an outage explains.
func (s *Service) dueTo(h fleet.Host) []*report {
	s.mu.Lock()
	defer s.mu.Unlock()
	var recent []poison.Crash
	for _, r := range s.reports {
		if clock.Since(r.end.At) < poison.OutageWindow {
			recent = append(recent, r.end)
		}
	}
	reportable := poison.Reportable(recent)
	var due []*report
	for _, r := range s.reports {
		if at, taken := r.taken[h.Name]; taken && at == h.Incarnation {
			continue
		}
		if len(reportable) < len(recent) && clock.Since(r.end.At) < poison.OutageWindow {
			i := slices.IndexFunc(reportable, func(e poison.Crash) bool { return e.Replica == r.end.Replica })
			if i < 0 {
				continue
			}
			r.end.Suspects = reportable[i].Suspects
		}
		due = append(due, r)
	}
	return due
}

func endsOf(reports []*report) []poison.Crash {
	ends := make([]poison.Crash, 0, len(reports))
	for _, r := range reports {
		ends = append(ends, r.end)
	}
	return ends
}

// tellEnds passes ends to a host, which may be this one.
func (s *Service) tellEnds(ctx context.Context, host string, ends []poison.Crash) error {
	if host == s.cfg.Self {
		s.judge(ends)
		return nil
	}
	ctx, cancel := clock.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.cfg.Caller.Call(ctx, host, methodEnded, endsToWire(clock.Now(), ends), &wire.ReplicasEndedNoted{})
}

// decideAlone decides on ends that no deciding host has taken.
func (s *Service) decideAlone() {
	s.mu.Lock()
	var alone []poison.Crash
	for _, r := range s.reports {
		if len(r.taken) == 0 && !r.own {
			r.own = true
			alone = append(alone, r.end)
		}
	}
	s.mu.Unlock()
	s.judge(alone)
}

// judge decides on ends.
func (s *Service) judge(ends []poison.Crash) {
	for _, e := range ends {
		s.mu.Lock()
		changed := s.machine.RecordCrash(clock.Now(), e)
		s.mu.Unlock()
		s.changed(s.cfg.Self, changed)
	}
}
