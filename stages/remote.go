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
	confirmTimeout = 200 * time.Millisecond
	// dropTimeout bounds giving jobs up.
	dropTimeout = time.Second
)

// planning is what this daemon waits for at one planner.
type planning struct {
	waiting map[string]*waiter
	polling bool
}

// waiter waits for the end of one job.
type waiter struct {
	end chan *JobOutcome // nil says that the job is lost
	// made is the progress of the job as the planner told it.
	made []stage.CompletedPiece
}

// prepareThere has a job planned by another host.
func (s *Service) prepareThere(ctx context.Context, host fleet.Host, j stage.Job) (*JobOutcome, error) {
	req := toWire(j, clock.Now())
	req.Incarnation = host.Incarnation
	accepted := &wire.StageAccepted{}
	if err := s.askSurely(ctx, host.Name, methodSubmit, req, req, accepted, submitTimeout); err != nil {
		s.log.Info("planner does not take jobs", zap.String("peer", host.Name), zap.Error(err))
		// It may have taken the job all the same.
		go s.dropThere(host.Name, []string{j.ID}, true)
		if ctx.Err() != nil {
			return nil, nil
		}
		return nil, &lostError{}
	}
	if n := accepted.GetIncarnation(); n > 0 {
		s.log.Info("planner has restarted", logging.Request(j.ID), zap.String("peer", host.Name),
			zap.Uint64("believed", host.Incarnation), zap.Uint64("incarnation", n))
		return nil, &restartedError{n}
	}
	if accepted.GetEnd() != nil {
		end := endOf(accepted.GetEnd())
		s.refused(host.Name, end, j.Completed)
		return end, nil
	}
	w := s.wait(host.Name, j.ID)
	select {
	case end := <-w.end:
		if end == nil {
			return nil, &lostError{w.made}
		}
		s.refused(host.Name, end, j.Completed, w.made)
		return end, nil
	case <-ctx.Done():
		s.unwait(host.Name, j.ID)
		go s.dropThere(host.Name, []string{j.ID}, false)
		return nil, nil
	}
}

// refused has a planner give up the results of a job that it has refused, if this
// daemon knows of any: it keeps them until then.
func (s *Service) refused(host string, end *JobOutcome, known ...[]stage.CompletedPiece) {
	if end.Refused != nil && len(slices.Concat(known...)) > 0 {
		go s.dropThere(host, []string{end.Refused.Job}, false)
	}
}

func (s *Service) ask(ctx context.Context, host, method string, req, resp wireMessage, timeout time.Duration) error {
	ctx, cancel := clock.WithTimeout(ctx, timeout)
	defer cancel()
	return s.cfg.Caller.Call(ctx, host, method, req, resp)
}

// askSurely is ask, and asks again with a request that is answered at once when
// the host did not answer and turns out to be well.
func (s *Service) askSurely(ctx context.Context, host, method string, req, again, resp wireMessage, timeout time.Duration) error {
	err := s.ask(ctx, host, method, req, resp, timeout)
	if err == nil || ctx.Err() != nil || !s.answers(host) {
		return err
	}
	s.log.Info("planner asked again", zap.String("peer", host), zap.String("method", method), zap.NamedError("before", err))
	return s.ask(ctx, host, method, again, resp, confirmTimeout)
}

const (
	// confirmEvery is the pause between two tries to reach a host: another dial
	// to it may be under way, whose session is then taken.
	confirmEvery = 10 * time.Millisecond
	// confirmTry bounds one try, so that a session that goes silent meanwhile
	// costs one of them.
	confirmTry = 60 * time.Millisecond
)

// answers says whether a host that did not answer a call answers one that asks
// for nothing. All calls that failed together wait for the same question.
func (s *Service) answers(host string) bool {
	_, err, _ := s.confirming.Do(host, func() (any, error) {
		ctx, cancel := clock.WithTimeout(context.Background(), confirmTimeout)
		defer cancel()
		for {
			err := s.greet(ctx, host, confirmTry)
			if err == nil || ended(err) || !periodic.Sleep(ctx, confirmEvery) {
				return nil, err
			}
		}
	})
	return err == nil
}

// greet asks a host for nothing: whether it answers is the question.
func (s *Service) greet(ctx context.Context, host string, timeout time.Duration) error {
	return s.ask(ctx, host, methodPoll, &wire.StagePoll{}, &wire.StagePolled{}, timeout)
}

// ended says, of the error of a call, whether the process there is known to have
// ended, and all that it knew with it: its kernel refuses connections.
func ended(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// dropThere gives jobs up at another planner; moved says that their results
// stay, as another goes on with them.
func (s *Service) dropThere(host string, ids []string, moved bool) {
	err := s.ask(context.Background(), host, methodDrop, &wire.StageDrop{Jobs: ids, Moved: moved}, &wire.StageDropped{}, dropTimeout)
	if err != nil {
		s.log.Debug("jobs not given up", zap.String("peer", host), zap.Int("jobs", len(ids)), zap.Error(err))
	}
}

// wait registers a job and has its planner polled.
func (s *Service) wait(host, id string) *waiter {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.remote[host]
	if p == nil {
		p = &planning{waiting: map[string]*waiter{}}
		s.remote[host] = p
	}
	w := &waiter{end: make(chan *JobOutcome, 1)}
	p.waiting[id] = w
	if !p.polling {
		p.polling = true
		go s.poll(host)
	}
	return w
}

func (s *Service) unwait(host, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.remote[host]; p != nil {
		delete(p.waiting, id)
	}
}

// poll polls a planner while jobs wait there, and tells it which of its answers has
// come: it then gives up what has been read.
func (s *Service) poll(host string) {
	var heard uint64
	owed := false // the planner waits for that
	for {
		ids := s.waitingAt(host)
		if len(ids) == 0 {
			if owed {
				s.acknowledge(host, heard)
			}
			return
		}
		answer := &wire.StagePolled{}
		req := &wire.StagePoll{Jobs: ids, WaitMs: uint32(pollWait.Milliseconds()), Heard: heard}
		now := &wire.StagePoll{Jobs: ids, Heard: heard}
		err := s.askSurely(context.Background(), host, methodPoll, req, now, answer, pollWait+pollGrace)
		if err != nil {
			s.log.Warn("planner lost", zap.String("peer", host), zap.Int("jobs", len(ids)), zap.Error(err))
			s.lose(host, ids)
			go s.dropThere(host, ids, true)
			continue
		}
		if n := answer.GetNumber(); n > 0 {
			heard = n
		}
		owed = s.take(host, answer)
	}
}

// acknowledge tells a planner at which no job waits any more which of its answers has
// come.
func (s *Service) acknowledge(host string, heard uint64) {
	req := &wire.StagePoll{Heard: heard}
	if err := s.ask(context.Background(), host, methodPoll, req, &wire.StagePolled{}, confirmTimeout); err != nil {
		s.log.Debug("answer not acknowledged", zap.String("peer", host), zap.Error(err))
	}
}

// take takes the answer of a planner and says whether that one may wait for the word
// that it has come: it does so where results of a job that has ended were told of before.
func (s *Service) take(host string, answer *wire.StagePolled) (owed bool) {
	s.note(host, answer.GetProgress())
	for _, e := range answer.GetEnds() {
		owed = s.deliver(host, e.GetJob(), endOf(e)) || owed
	}
	s.lose(host, answer.GetUnknown())
	return owed && answer.GetNumber() > 0
}

// note keeps the progress of jobs for a planner that may have to go on with
// them.
func (s *Service) note(host string, progress []*wire.StageProgress) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range progress {
		if w := s.remote[host].waiting[p.GetJob()]; w != nil {
			w.made = append(w.made, madeFromWire(p.GetMade())...)
		}
	}
}

// waitingAt returns the jobs that wait at a host; without any the poller ends.
func (s *Service) waitingAt(host string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.remote[host]
	if len(p.waiting) == 0 {
		delete(s.remote, host)
		return nil
	}
	return slices.Collect(maps.Keys(p.waiting))
}

// deliver hands an end to whoever waits, and says whether that one was told of
// results before; a result that nobody waits for is given up.
func (s *Service) deliver(host, id string, end *JobOutcome) (told bool) {
	s.mu.Lock()
	p := s.remote[host]
	w := p.waiting[id]
	delete(p.waiting, id)
	s.mu.Unlock()
	if w != nil {
		told = len(w.made) > 0
		w.end <- end
		return told
	}
	if end != nil && end.Refused == nil {
		go s.dropThere(host, []string{id}, false)
	}
	return false
}

// lose tells that jobs have no planner any more.
func (s *Service) lose(host string, ids []string) {
	for _, id := range ids {
		s.deliver(host, id, nil)
	}
}

// errNotReady says that this daemon cannot plan yet.
var errNotReady = errors.New("stages: no configuration yet")

// handle registers the methods.
func (s *Service) handle(mux *peer.Mux) {
	peer.Handle(mux, methodSubmit, func(_ context.Context, from peer.Sender, req *wire.StageJob) (*wire.StageAccepted, error) {
		if believed := req.GetIncarnation(); believed > 0 && believed < s.cfg.Incarnation {
			return &wire.StageAccepted{Incarnation: s.cfg.Incarnation}, nil
		}
		end, ok := s.planner.submit(from.Host, fromWire(req, clock.Now()))
		if !ok {
			return nil, errNotReady
		}
		if end == nil {
			return &wire.StageAccepted{}, nil
		}
		return &wire.StageAccepted{End: endToWire(req.GetId(), end)}, nil
	})
	peer.Handle(mux, methodPoll, func(ctx context.Context, from peer.Sender, req *wire.StagePoll) (*wire.StagePolled, error) {
		ctx, cancel := clock.WithTimeout(ctx, time.Duration(req.GetWaitMs())*time.Millisecond)
		defer cancel()
		return polledToWire(s.planner.poll(ctx, from.Host, req.GetHeard(), req.GetJobs())), nil
	})
	peer.Handle(mux, methodDrop, func(_ context.Context, from peer.Sender, req *wire.StageDrop) (*wire.StageDropped, error) {
		s.planner.drop(from.Host, req.GetJobs(), req.GetMoved())
		return &wire.StageDropped{}, nil
	})
}
