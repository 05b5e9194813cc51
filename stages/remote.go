package stages

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/core/stage"
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
	// pollGrace how much later its answer may come: together the time that a
	// planner's silence costs. Daemons run as batch work on a share of a core
	// that may pause for a tenth of a second.
	pollWait  = 250 * time.Millisecond
	pollGrace = 250 * time.Millisecond
	// dropTimeout bounds giving jobs up.
	dropTimeout = time.Second
)

// planning is what this daemon waits for at one planner.
type planning struct {
	waiting map[string]chan *End // nil says that the job is lost
	polling bool
}

// prepareThere has a job planned by another host.
func (s *Service) prepareThere(ctx context.Context, host string, j stage.Job) (end *End, lost bool) {
	accepted := &wire.StageAccepted{}
	if err := s.ask(ctx, host, methodSubmit, toWire(j, time.Now()), accepted, submitTimeout); err != nil {
		s.log.Info("planner does not take jobs", zap.String("peer", host), zap.Error(err))
		// It may have taken the job all the same.
		go s.dropThere(host, []string{j.ID})
		return nil, ctx.Err() == nil
	}
	if accepted.GetEnd() != nil {
		return endOf(accepted.GetEnd()), false
	}
	ch := s.wait(host, j.ID)
	select {
	case end := <-ch:
		return end, end == nil
	case <-ctx.Done():
		s.unwait(host, j.ID)
		go s.dropThere(host, []string{j.ID})
		return nil, false
	}
}

func (s *Service) ask(ctx context.Context, host, method string, req, resp wireMessage, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return s.cfg.Caller.Call(ctx, host, method, req, resp)
}

// dropThere gives jobs up at another planner.
func (s *Service) dropThere(host string, ids []string) {
	err := s.ask(context.Background(), host, methodDrop, &wire.StageDrop{Jobs: ids}, &wire.StageDropped{}, dropTimeout)
	if err != nil {
		s.log.Debug("jobs not given up", zap.String("peer", host), zap.Int("jobs", len(ids)), zap.Error(err))
	}
}

// wait registers a job and has its planner polled.
func (s *Service) wait(host, id string) <-chan *End {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.remote[host]
	if p == nil {
		p = &planning{waiting: map[string]chan *End{}}
		s.remote[host] = p
	}
	ch := make(chan *End, 1)
	p.waiting[id] = ch
	if !p.polling {
		p.polling = true
		go s.poll(host)
	}
	return ch
}

func (s *Service) unwait(host, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.remote[host]; p != nil {
		delete(p.waiting, id)
	}
}

// poll polls a planner while jobs wait there.
func (s *Service) poll(host string) {
	for {
		ids := s.waitingAt(host)
		if len(ids) == 0 {
			return
		}
		answer := &wire.StagePolled{}
		req := &wire.StagePoll{Jobs: ids, WaitMs: uint32(pollWait.Milliseconds())}
		err := s.ask(context.Background(), host, methodPoll, req, answer, pollWait+pollGrace)
		if err != nil {
			s.log.Warn("planner lost", zap.String("peer", host), zap.Int("jobs", len(ids)), zap.Error(err))
			s.lose(host, ids)
			go s.dropThere(host, ids)
			continue
		}
		for _, e := range answer.GetEnds() {
			s.deliver(host, e.GetJob(), endOf(e))
		}
		s.lose(host, answer.GetUnknown())
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

// deliver hands an end to whoever waits; a result that nobody waits for is
// given up.
func (s *Service) deliver(host, id string, end *End) {
	s.mu.Lock()
	p := s.remote[host]
	ch := p.waiting[id]
	delete(p.waiting, id)
	s.mu.Unlock()
	if ch != nil {
		ch <- end
		return
	}
	if end != nil && end.Refused == nil {
		go s.dropThere(host, []string{id})
	}
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
		end, ok := s.planner.submit(from.Host, fromWire(req, time.Now()))
		if !ok {
			return nil, errNotReady
		}
		if end == nil {
			return &wire.StageAccepted{}, nil
		}
		return &wire.StageAccepted{End: endToWire(req.GetId(), end)}, nil
	})
	peer.Handle(mux, methodPoll, func(ctx context.Context, from peer.Sender, req *wire.StagePoll) (*wire.StagePolled, error) {
		ctx, cancel := context.WithTimeout(ctx, time.Duration(req.GetWaitMs())*time.Millisecond)
		defer cancel()
		ends, unknown := s.planner.poll(ctx, from.Host, req.GetJobs())
		answer := &wire.StagePolled{Unknown: unknown}
		for id, e := range ends {
			answer.Ends = append(answer.Ends, endToWire(id, e))
		}
		return answer, nil
	})
	peer.Handle(mux, methodDrop, func(_ context.Context, from peer.Sender, req *wire.StageDrop) (*wire.StageDropped, error) {
		s.planner.drop(from.Host, req.GetJobs())
		return &wire.StageDropped{}, nil
	})
}
