package stages

import (
	"context"
	"errors"
	"maps"
	"slices"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/core/stage"
	"github.com/wheatseam/wheatseam/fleet"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/internal/periodic"
	"github.com/wheatseam/wheatseam/logging"
	"github.com/wheatseam/wheatseam/peer"
	"github.com/wheatseam/wheatseam/wire"
)

// Peer methods.
const (
	methodSubmit = "stage.submit"
	methodPoll   = "stage.poll"
	methodDrop   = "stage.drop"
)

// Timeouts of calls to a planner.
const (
	// submitTimeout limits submitting a job, which a planner answers at once.
	submitTimeout = 250 * time.Millisecond
	// pollWait is how long a planner holds a poll while there is no outcome, and
	// pollGrace how much later its answer may arrive. Daemons run as batch processes on
	// a share of a core and may be suspended for 100 ms.
	pollWait  = 250 * time.Millisecond
	pollGrace = 250 * time.Millisecond
	// retryTimeout limits probing an unresponsive planner on a new session, and calling
	// it again, before another planner is chosen. The connection may be broken and not the
	// planner, and two planners that fill the queues of the same replicas delay all jobs
	// for some seconds. A healthy host accepts a session and answers in four round trips,
	// 15 ms. The delay caused by an unresponsive planner is pollWait + pollGrace +
	// retryTimeout.
	retryTimeout = 200 * time.Millisecond
	// dropTimeout limits a call that drops jobs.
	dropTimeout = time.Second
)

// remotePlanner holds the jobs of this daemon that wait at one planner.
type remotePlanner struct {
	waiters map[string]*waiter
	polling bool
}

// waiter waits for the outcome of one job.
type waiter struct {
	outcome chan *JobOutcome // receives nil if the planner no longer has the job
	// completed are the pieces of the job that the planner has reported.
	completed []stage.CompletedPiece
}

// prepareRemote has a job planned by another host. A nil outcome without an error means
// that ctx ended first.
func (s *Service) prepareRemote(ctx context.Context, host fleet.Host, j stage.Job) (*JobOutcome, error) {
	req := jobToWire(j, clock.Now())
	req.Incarnation = host.Incarnation
	accepted := &wire.StageAccepted{}
	if err := s.callWithRetry(ctx, host.Name, methodSubmit, req, req, accepted, submitTimeout); err != nil {
		s.log.Info("submitting a job to the planner failed", zap.String("peer", host.Name), zap.Error(err))
		// The planner may have received the job although the call failed.
		go s.dropRemote(host.Name, []string{j.ID}, true)
		if ctx.Err() != nil {
			return nil, nil
		}
		return nil, &plannerLostError{}
	}
	if n := accepted.GetIncarnation(); n > 0 {
		s.log.Info("planner has restarted since it was chosen", logging.Request(j.ID), zap.String("peer", host.Name),
			zap.Uint64("believed", host.Incarnation), zap.Uint64("incarnation", n))
		return nil, &plannerRestartedError{n}
	}
	if accepted.GetEnd() != nil {
		outcome := outcomeFromWire(accepted.GetEnd())
		s.releaseRefused(host.Name, outcome, j.Completed)
		return outcome, nil
	}
	w := s.addWaiter(host.Name, j.ID)
	select {
	case outcome := <-w.outcome:
		if outcome == nil {
			return nil, &plannerLostError{w.completed}
		}
		s.releaseRefused(host.Name, outcome, j.Completed, w.completed)
		return outcome, nil
	case <-ctx.Done():
		s.removeWaiter(host.Name, j.ID)
		go s.dropRemote(host.Name, []string{j.ID}, false)
		return nil, nil
	}
}

// releaseRefused drops a refused job at its planner if this daemon knows of results of
// the job, since the planner holds those results until then.
func (s *Service) releaseRefused(host string, outcome *JobOutcome, known ...[]stage.CompletedPiece) {
	if outcome.Refused != nil && len(slices.Concat(known...)) > 0 {
		go s.dropRemote(host, []string{outcome.Refused.Job}, false)
	}
}

func (s *Service) call(ctx context.Context, host, method string, req, resp wireMessage, timeout time.Duration) error {
	ctx, cancel := clock.WithTimeout(ctx, timeout)
	defer cancel()
	return s.cfg.Caller.Call(ctx, host, method, req, resp)
}

// callWithRetry makes a call. If that fails but a probe shows that the host responds, it
// calls once more, with the request retry, which the host has to answer at once.
func (s *Service) callWithRetry(ctx context.Context, host, method string, req, retry, resp wireMessage, timeout time.Duration) error {
	err := s.call(ctx, host, method, req, resp, timeout)
	if err == nil || ctx.Err() != nil || !s.isResponsive(host) {
		return err
	}
	s.log.Info("retrying a call to the planner", zap.String("peer", host), zap.String("method", method), zap.NamedError("before", err))
	return s.call(ctx, host, method, retry, resp, retryTimeout)
}

const (
	// probeInterval is the time between two probes of a host. Another dial to the host
	// may be in progress, and the next probe can then use its session.
	probeInterval = 10 * time.Millisecond
	// probeTimeout limits one probe, so that a session that breaks meanwhile delays the
	// check by one probe only.
	probeTimeout = 60 * time.Millisecond
)

// isResponsive probes a host that did not answer a call, and returns whether it answers.
// Concurrent failed calls share one check.
func (s *Service) isResponsive(host string) bool {
	_, err, _ := s.probes.Do(host, func() (any, error) {
		ctx, cancel := clock.WithTimeout(context.Background(), retryTimeout)
		defer cancel()
		for {
			err := s.probe(ctx, host, probeTimeout)
			if err == nil || connectionRefused(err) || !periodic.Sleep(ctx, probeInterval) {
				return nil, err
			}
		}
	})
	return err == nil
}

// probe polls a host for no jobs, to see whether it answers.
func (s *Service) probe(ctx context.Context, host string, timeout time.Duration) error {
	return s.call(ctx, host, methodPoll, &wire.StagePoll{}, &wire.StagePolled{}, timeout)
}

// connectionRefused returns whether a call failed because the host refused the
// connection. The planner process there has then ended and lost all its state, so that
// further probes are of no use.
func connectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// dropRemote drops jobs at another planner. handedOver is set if a further planner
// continues with them, so that their reported results have to be kept.
func (s *Service) dropRemote(host string, ids []string, handedOver bool) {
	err := s.call(context.Background(), host, methodDrop, &wire.StageDrop{Jobs: ids, Moved: handedOver}, &wire.StageDropped{}, dropTimeout)
	if err != nil {
		s.log.Debug("dropping jobs at the planner failed", zap.String("peer", host), zap.Int("jobs", len(ids)), zap.Error(err))
	}
}

// addWaiter registers a job that waits at a planner and starts polling the planner if
// nothing polls it yet.
func (s *Service) addWaiter(host, id string) *waiter {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.remotePlanners[host]
	if p == nil {
		p = &remotePlanner{waiters: map[string]*waiter{}}
		s.remotePlanners[host] = p
	}
	w := &waiter{outcome: make(chan *JobOutcome, 1)}
	p.waiters[id] = w
	if !p.polling {
		p.polling = true
		go s.pollRemote(host)
	}
	return w
}

func (s *Service) removeWaiter(host, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.remotePlanners[host]; p != nil {
		delete(p.waiters, id)
	}
}

// pollRemote polls a planner while jobs wait there. Each poll acknowledges the last
// numbered answer, after which the planner releases results that have been read.
func (s *Service) pollRemote(host string) {
	var received uint64
	ackDue := false // the planner waits for the acknowledgement
	for {
		ids := s.waitingJobs(host)
		if len(ids) == 0 {
			if ackDue {
				s.acknowledge(host, received)
			}
			return
		}
		answer := &wire.StagePolled{}
		req := &wire.StagePoll{Jobs: ids, WaitMs: uint32(pollWait.Milliseconds()), Heard: received}
		immediate := &wire.StagePoll{Jobs: ids, Heard: received}
		err := s.callWithRetry(context.Background(), host, methodPoll, req, immediate, answer, pollWait+pollGrace)
		if err != nil {
			s.log.Warn("planner lost", zap.String("peer", host), zap.Int("jobs", len(ids)), zap.Error(err))
			s.failJobs(host, ids)
			go s.dropRemote(host, ids, true)
			continue
		}
		if n := answer.GetNumber(); n > 0 {
			received = n
		}
		ackDue = s.handleAnswer(host, answer)
	}
}

// acknowledge acknowledges the last answer of a planner at which no job waits any more.
func (s *Service) acknowledge(host string, received uint64) {
	req := &wire.StagePoll{Heard: received}
	if err := s.call(context.Background(), host, methodPoll, req, &wire.StagePolled{}, retryTimeout); err != nil {
		s.log.Debug("acknowledging an answer of the planner failed", zap.String("peer", host), zap.Error(err))
	}
}

// handleAnswer processes the answer of a planner. ackDue is set if the planner may wait
// for its acknowledgement, which is so if the answer ends a job of which results had been
// reported before.
func (s *Service) handleAnswer(host string, answer *wire.StagePolled) (ackDue bool) {
	s.recordProgress(host, answer.GetProgress())
	for _, e := range answer.GetEnds() {
		ackDue = s.deliver(host, e.GetJob(), outcomeFromWire(e)) || ackDue
	}
	s.failJobs(host, answer.GetUnknown())
	return ackDue && answer.GetNumber() > 0
}

// recordProgress records the reported pieces of jobs, for another planner that may have to
// continue with them.
func (s *Service) recordProgress(host string, progress []*wire.StageProgress) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range progress {
		if w := s.remotePlanners[host].waiters[p.GetJob()]; w != nil {
			w.completed = append(w.completed, completedFromWire(p.GetMade())...)
		}
	}
}

// waitingJobs returns the jobs that wait at a host. If there are none, it removes the
// host's entry, and the caller has to stop polling.
func (s *Service) waitingJobs(host string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.remotePlanners[host]
	if len(p.waiters) == 0 {
		delete(s.remotePlanners, host)
		return nil
	}
	return slices.Collect(maps.Keys(p.waiters))
}

// deliver passes an outcome to the waiter of a job and returns whether results of the job
// had been reported to it before. A ready job that nobody waits for is dropped at its
// planner.
func (s *Service) deliver(host, id string, outcome *JobOutcome) (reported bool) {
	s.mu.Lock()
	p := s.remotePlanners[host]
	w := p.waiters[id]
	delete(p.waiters, id)
	s.mu.Unlock()
	if w != nil {
		reported = len(w.completed) > 0
		w.outcome <- outcome
		return reported
	}
	if outcome != nil && outcome.Refused == nil {
		go s.dropRemote(host, []string{id}, false)
	}
	return false
}

// failJobs notifies the waiters of jobs that the planner no longer has the jobs.
func (s *Service) failJobs(host string, ids []string) {
	for _, id := range ids {
		s.deliver(host, id, nil)
	}
}

// errNotReady reports that this daemon cannot plan yet.
var errNotReady = errors.New("stages: no configuration yet")

// registerHandlers registers the peer methods.
func (s *Service) registerHandlers(mux *peer.Mux) {
	peer.Handle(mux, methodSubmit, func(_ context.Context, from peer.Sender, req *wire.StageJob) (*wire.StageAccepted, error) {
		if believed := req.GetIncarnation(); believed > 0 && believed < s.cfg.Incarnation {
			return &wire.StageAccepted{Incarnation: s.cfg.Incarnation}, nil
		}
		outcome, ok := s.planner.submit(from.Host, jobFromWire(req, clock.Now()))
		if !ok {
			return nil, errNotReady
		}
		if outcome == nil {
			return &wire.StageAccepted{}, nil
		}
		return &wire.StageAccepted{End: outcomeToWire(req.GetId(), outcome)}, nil
	})
	peer.Handle(mux, methodPoll, func(ctx context.Context, from peer.Sender, req *wire.StagePoll) (*wire.StagePolled, error) {
		ctx, cancel := clock.WithTimeout(ctx, time.Duration(req.GetWaitMs())*time.Millisecond)
		defer cancel()
		return pollResultToWire(s.planner.poll(ctx, from.Host, req.GetHeard(), req.GetJobs())), nil
	})
	peer.Handle(mux, methodDrop, func(_ context.Context, from peer.Sender, req *wire.StageDrop) (*wire.StageDropped, error) {
		s.planner.dropJobs(from.Host, req.GetJobs(), req.GetMoved())
		return &wire.StageDropped{}, nil
	})
}
