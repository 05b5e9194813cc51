package stages

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/singleflight"

	"github.com/wheatseam/wheatseam/core/catalog"
	"github.com/wheatseam/wheatseam/core/member"
	"github.com/wheatseam/wheatseam/core/stage"
	"github.com/wheatseam/wheatseam/fleet"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/peer"
)

// Members is what is known of the fleet.
type Members interface {
	// Reachable returns the hosts that may be called, this one included.
	Reachable() []fleet.Host
	// Formed is closed once Reachable can be counted on, within a second of the
	// start of this host.
	Formed() <-chan struct{}
	// Restarted tells the start of a host's process, in Unix milliseconds, that
	// the host itself has said.
	RecordRestart(host string, incarnation uint64)
}

// Config is what a Service needs.
type Config struct {
	// Self is this host's name among its fellows.
	Self string
	// Incarnation is the start of this process in Unix milliseconds.
	Incarnation uint64
	Plan        stage.Config
	Replicas    Replicas
	Members     Members
	Caller      peer.Caller
	// Mux takes the methods that fellows may call.
	Mux    *peer.Mux
	Logger *zap.Logger
}

// Service has stages made, by whichever daemon plans. All methods are safe for
// concurrent use.
type Service struct {
	cfg     Config
	log     *zap.Logger
	planner *planner

	avoided fleet.HostBackoff // planners that failed
	// confirming asks each host that did not answer once for all.
	confirming singleflight.Group

	mu     sync.Mutex
	remote map[string]*planning // planners that jobs of ours wait at
	placed map[string]string    // jobs to the host that plans them
	chosen string               // the planner that was last chosen
}

// New returns a service that has not started and registers its methods.
func New(cfg Config) *Service {
	s := &Service{
		cfg: cfg, log: cfg.Logger,
		remote: map[string]*planning{}, placed: map[string]string{},
	}
	s.planner = newPlanner(cfg.Plan, cfg.Replicas, cfg.Logger)
	s.handle(cfg.Mux)
	return s
}

// Run plans until ctx ends.
func (s *Service) Run(ctx context.Context) { s.planner.run(ctx) }

// Configure passes the services and replicas in force on.
func (s *Service) Configure(services map[string]*catalog.Service, replicas []catalog.Replica) {
	s.planner.configure(services, replicas)
}

// maxPlanners bounds the planners that one job is handed to, the daemon's own
// at last.
const maxPlanners = 3

// Prepare has the stages of a job made. After a Ready end the caller owes a
// Release. When ctx ends first the job is given up and nil is returned. When
// the planner is lost, the next one goes on with what is known to be made.
//
// A daemon that has just started waits for its fleet to form: when all start
// together and each plans for itself, their calls fill the queues of the same
// replicas.
func (s *Service) Prepare(ctx context.Context, j stage.Job) *JobOutcome {
	select {
	case <-s.cfg.Members.Formed():
	case <-ctx.Done():
		return nil
	}
	for n := 1; ; {
		host := fleet.Host{Host: member.Host{Name: s.cfg.Self}}
		if n < maxPlanners {
			host = s.choose(clock.Now())
		}
		end, err := s.prepareAt(ctx, host, j)
		var restarted *restartedError
		var lost *lostError
		switch {
		case err == nil:
			return end
		case errors.As(err, &restarted):
			// Its rank changes with that, so that it is not asked the same again.
			s.cfg.Members.RecordRestart(host.Name, restarted.incarnation)
			continue
		case errors.As(err, &lost):
			j.Completed = merge(j.Completed, lost.made)
		}
		n++
		s.avoided.Add(host.Name, avoidFor)
		if host.Name == s.cfg.Self {
			return &JobOutcome{Refused: &stage.Refused{Job: j.ID, Reason: stage.ReasonNoReplica, RetryAfter: notReadyRetry}}
		}
	}
}

// notReadyRetry is told when this daemon knows no services yet.
const notReadyRetry = 500 * time.Millisecond

// lostError says that a planner brought no end of a job.
type lostError struct {
	// made is what it is known to have made of the job.
	made []stage.CompletedPiece
}

func (e *lostError) Error() string { return "stages: planner lost" }

// restartedError says that a host has started anew since it was last heard of.
type restartedError struct{ incarnation uint64 }

func (e *restartedError) Error() string { return "stages: planner restarted" }

// merge adds what a later planner made to what earlier ones had made. Of a piece
// that was made again, since its result was gone, the last result counts.
func merge(earlier, later []stage.CompletedPiece) []stage.CompletedPiece {
	type key struct{ stage, index int }
	at := make(map[key]int, len(earlier)+len(later))
	var out []stage.CompletedPiece
	for _, p := range slices.Concat(earlier, later) {
		k := key{p.Stage, p.Index}
		if i, ok := at[k]; ok {
			out[i] = p
			continue
		}
		at[k] = len(out)
		out = append(out, p)
	}
	return out
}

// prepareAt hands a job to one planner. A nil end without an error says that
// ctx ended first.
func (s *Service) prepareAt(ctx context.Context, host fleet.Host, j stage.Job) (end *JobOutcome, err error) {
	if host.Name == s.cfg.Self {
		end, err = s.prepareHere(ctx, j)
	} else {
		end, err = s.prepareThere(ctx, host, j)
	}
	if end != nil && end.Refused == nil {
		s.mu.Lock()
		s.placed[j.ID] = host.Name
		s.mu.Unlock()
	}
	return end, err
}

// prepareHere plans a job in this daemon.
func (s *Service) prepareHere(ctx context.Context, j stage.Job) (*JobOutcome, error) {
	end, ok := s.planner.submit("", j)
	if !ok {
		return nil, &lostError{}
	}
	if end != nil {
		return end, nil
	}
	if end := s.planner.poll(ctx, "", 0, []string{j.ID}).ends[j.ID]; end != nil {
		return end, nil
	}
	s.planner.drop("", []string{j.ID}, false)
	return nil, nil
}

// Release gives the results of a ready job up.
func (s *Service) Release(id string) {
	s.mu.Lock()
	host := s.placed[id]
	delete(s.placed, id)
	s.mu.Unlock()
	switch host {
	case "":
	case s.cfg.Self:
		s.planner.drop("", []string{id}, false)
	default:
		go s.dropThere(host, []string{id}, false)
	}
}

// avoidFor is how long a planner that failed is avoided. No job comes back to it before
// it has dropped it (orphanAfter): it would go on with results that another planner may
// have given up.
const avoidFor = 2 * time.Second

// choose returns the host that plans: of those that may be called and did not
// fail a moment ago, the first in rank.
func (s *Service) choose(now time.Time) fleet.Host {
	chosen := fleet.Host{Host: member.Host{Name: s.cfg.Self}}
	if best := s.first(now); best != nil {
		chosen = *best
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if chosen.Name != s.chosen {
		s.log.Info("planner chosen", zap.String("peer", chosen.Name), zap.Uint64("incarnation", chosen.Incarnation), zap.String("before", s.chosen),
			zap.Int("hosts", len(s.cfg.Members.Reachable())))
		s.chosen = chosen.Name
	}
	return chosen
}

// Plans says whether this host is the one that plans, as far as it knows.
func (s *Service) IsPlanner() bool {
	first := s.first(clock.Now())
	return first != nil && first.Name == s.cfg.Self
}

// first returns the first in rank of the hosts that may be called and did not fail a
// moment ago; nil if there is none.
func (s *Service) first(now time.Time) *fleet.Host {
	var best *fleet.Host
	for _, h := range s.cfg.Members.Reachable() {
		if !s.avoided.Excludes(h.Name, now) && (best == nil || h.Compare(*best) < 0) {
			best = &h
		}
	}
	return best
}

// Dump is the state of a Service for operators.
type Dump struct {
	Chosen  string   `json:"chosen"`
	Avoided []string `json:"avoided"`
	// Planned is the number of jobs planned here, Placed that of ready jobs of
	// this daemon.
	Planned int `json:"planned"`
	Placed  int `json:"placed"`
}

// Dump returns the state.
func (s *Service) Dump() Dump {
	s.mu.Lock()
	d := Dump{Chosen: s.chosen, Placed: len(s.placed), Avoided: s.avoided.Names()}
	s.mu.Unlock()
	s.planner.mu.Lock()
	d.Planned = len(s.planner.jobs)
	s.planner.mu.Unlock()
	return d
}
