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

// The methods between daemons.
const (
	methodSubmit = "stage.submit"
	methodPoll   = "stage.poll"
	methodDrop   = "stage.drop"
)

// The times of calls to a planner.
const (
	// submitTimeout bounds handing a job over: a planner answers at once.
	submitTimeout = 250 * time.Millisecond
	// pollWait is how long a planner holds a poll without an end, and
	// pollGrace how much later its answer may come. Daemons run as batch work on
	// a share of a core that may pause for a tenth of a second.
	pollWait  = 250 * time.Millisecond
	pollGrace = 250 * time.Millisecond
	// confirmTimeout bounds asking a planner that did not answer once more, on a
	// new session, before another one is chosen: the connection may have gone
	// silent and not the planner, and two planners that fill the queues of the
	// same replicas cost all jobs of some seconds. A host that is well takes a
	// session and answers in four round trips, 15 ms. With pollWait and pollGrace
	// it is what a planner's silence costs.
	retryTimeout = 200 * time.Millisecond
	// dropTimeout bounds giving jobs up.
	dropTimeout = time.Second
)

// planning is what this daemon waits for at one planner.
type remotePlanner struct {
	waiters map[string]*waiter
	polling bool
}

// waiter waits for the end of one job.
type waiter struct {
	outcome chan *End // nil says that the job is lost
	// made is the progress of the job as the planner told it.
	completed []stage.MadePiece
}

// prepareThere has a job planned by another host.
func (s *Service) prepareRemote(ctx context.Context, host fleet.Host, j stage.Job) (*End, error) {
	req := jobToWire(j, clock.Now())
	req.Incarnation = host.Incarnation
	accepted := &wire.StageAccepted{}
	if err := s.callWithRetry(ctx, host.Name, methodSubmit, req, req, accepted, submitTimeout); err != nil {
		s.log.Info("planner does not take jobs", zap.String("peer", host.Name), zap.Error(err))
		// It may have taken the job all the same.
		go s.dropRemote(host.Name, []string{j.ID}, true)
		if ctx.Err() != nil {
			return nil, nil
		}
		return nil, &plannerLostError{}
	}
	if n := accepted.GetIncarnation(); n > 0 {
		s.log.Info("planner has restarted", logging.Request(j.ID), zap.String("peer", host.Name),
			zap.Uint64("believed", host.Incarnation), zap.Uint64("incarnation", n))
		return nil, &plannerRestartedError{n}
	}
	if accepted.GetEnd() != nil {
		outcome := outcomeFromWire(accepted.GetEnd())
		s.releaseRefused(host.Name, outcome, j.Made)
		return outcome, nil
	}
	w := s.addWaiter(host.Name, j.ID)
	select {
	case outcome := <-w.outcome:
		if outcome == nil {
			return nil, &plannerLostError{w.completed}
		}
		s.releaseRefused(host.Name, outcome, j.Made, w.completed)
		return outcome, nil
	case <-ctx.Done():
		s.removeWaiter(host.Name, j.ID)
		go s.dropRemote(host.Name, []string{j.ID}, false)
		return nil, nil
	}
}

// refused has a planner give up the results of a job that it has refused, if this
// daemon knows of any: it keeps them until then.
func (s *Service) releaseRefused(host string, outcome *End, known ...[]stage.MadePiece) {
	if outcome.Refused != nil && len(slices.Concat(known...)) > 0 {
		go s.dropRemote(host, []string{outcome.Refused.Job}, false)
	}
}

func (s *Service) call(ctx context.Context, host, method string, req, resp wireMessage, timeout time.Duration) error {
	ctx, cancel := clock.WithTimeout(ctx, timeout)
	defer cancel()
	return s.cfg.Caller.Call(ctx, host, method, req, resp)
}

// askSurely is ask, and asks again with a request that is answered at once when
// the host did not answer and turns out to be well.
func (s *Service) callWithRetry(ctx context.Context, host, method string, req, retry, resp wireMessage, timeout time.Duration) error {
	err := s.call(ctx, host, method, req, resp, timeout)
	if err == nil || ctx.Err() != nil || !s.isResponsive(host) {
		return err
	}
	s.log.Info("planner asked again", zap.String("peer", host), zap.String("method", method), zap.NamedError("before", err))
	return s.call(ctx, host, method, retry, resp, retryTimeout)
}

const (
	// confirmEvery is the pause between two tries to reach a host: another dial
	// to it may be under way, whose session is then taken.
	probeInterval = 10 * time.Millisecond
	// confirmTry bounds one try, so that a session that goes silent meanwhile
	// costs one of them.
	probeTimeout = 60 * time.Millisecond
)

// answers says whether a host that did not answer a call answers one that asks
// for nothing. All calls that failed together wait for the same question.
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

// greet asks a host for nothing: whether it answers is the question.
func (s *Service) probe(ctx context.Context, host string, timeout time.Duration) error {
	return s.call(ctx, host, methodPoll, &wire.StagePoll{}, &wire.StagePolled{}, timeout)
}

// ended says, of the error of a call, whether the process there is known to have
// ended, and all that it knew with it: its kernel refuses connections.
func connectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// dropThere gives jobs up at another planner; moved says that their results
// stay, as another goes on with them.
func (s *Service) dropRemote(host string, ids []string, moved bool) {
	err := s.call(context.Background(), host, methodDrop, &wire.StageDrop{Jobs: ids, Moved: moved}, &wire.StageDropped{}, dropTimeout)
	if err != nil {
		s.log.Debug("jobs not given up", zap.String("peer", host), zap.Int("jobs", len(ids)), zap.Error(err))
	}
}

// wait registers a job and has its planner polled.
func (s *Service) addWaiter(host, id string) *waiter {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.remotePlanners[host]
	if p == nil {
		p = &remotePlanner{waiters: map[string]*waiter{}}
		s.remotePlanners[host] = p
	}
	w := &waiter{outcome: make(chan *End, 1)}
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

// poll polls a planner while jobs wait there, and tells it which of its answers has
// come: it then gives up what has been read.
func (s *Service) pollRemote(host string) {
	var received uint64
	ackDue := false // the planner waits for that
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

// acknowledge tells a planner at which no job waits any more which of its answers has
// come.
func (s *Service) acknowledge(host string, received uint64) {
	req := &wire.StagePoll{Heard: received}
	if err := s.call(context.Background(), host, methodPoll, req, &wire.StagePolled{}, retryTimeout); err != nil {
		s.log.Debug("answer not acknowledged", zap.String("peer", host), zap.Error(err))
	}
}

// take takes the answer of a planner and says whether that one may wait for the word
// that it has come: it does so where results of a job that has ended were told of before.
func (s *Service) handleAnswer(host string, answer *wire.StagePolled) (ackDue bool) {
	s.recordProgress(host, answer.GetProgress())
	for _, e := range answer.GetEnds() {
		ackDue = s.deliver(host, e.GetJob(), outcomeFromWire(e)) || ackDue
	}
	s.failJobs(host, answer.GetUnknown())
	return ackDue && answer.GetNumber() > 0
}

// note keeps the progress of jobs for a planner that may have to go on with
// them.
func (s *Service) recordProgress(host string, progress []*wire.StageProgress) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range progress {
		if w := s.remotePlanners[host].waiters[p.GetJob()]; w != nil {
			w.completed = append(w.completed, completedFromWire(p.GetMade())...)
		}
	}
}

// waitingAt returns the jobs that wait at a host; without any the poller ends.
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

// deliver hands an end to whoever waits, and says whether that one was told of
// results before; a result that nobody waits for is given up.
func (s *Service) deliver(host, id string, outcome *End) (reported bool) {
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

// lose tells that jobs have no planner any more.
func (s *Service) failJobs(host string, ids []string) {
	for _, id := range ids {
		s.deliver(host, id, nil)
	}
}

// errNotReady says that this daemon cannot plan yet.
var errNotReady = errors.New("stages: no configuration yet")

// handle registers the methods.
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
