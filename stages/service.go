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
	"github.com/wheatseam/wheatseam/core/fairshare"
	"github.com/wheatseam/wheatseam/core/member"
	"github.com/wheatseam/wheatseam/core/stage"
	"github.com/wheatseam/wheatseam/fleet"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/peer"
)

// Members gives access to the hosts of the fleet.
type Members interface {
	// Reachable returns the hosts that may be called, this one included.
	Reachable() []fleet.Host
	// Formed returns a channel that is closed once Reachable is reliable, within one
	// second of the start of this host.
	Formed() <-chan struct{}
	// RecordRestart records a newer incarnation of a host, the start of its process in Unix
	// milliseconds, as reported by the host itself.
	RecordRestart(host string, incarnation uint64)
}

// Config holds the settings and dependencies of a Service.
type Config struct {
	// Self is the name of this host in the fleet.
	Self string
	// Incarnation is the start of this process in Unix milliseconds.
	Incarnation uint64
	Plan        stage.Config
	Replicas    Replicas
	Members     Members
	Caller      peer.Caller
	// Mux is where New registers the methods that peers call.
	Mux    *peer.Mux
	Logger *zap.Logger
}

// Service has the stages of jobs run by the daemon that plans for the fleet. All methods
// are safe for concurrent use.
type Service struct {
	cfg     Config
	log     *zap.Logger
	planner *planner

	hostBackoff fleet.HostBackoff // planners that failed recently
	// probes makes concurrent failed calls to a host share one check of the host.
	probes singleflight.Group

	mu             sync.Mutex
	remotePlanners map[string]*remotePlanner // planners at which jobs of this daemon wait, by host
	plannerOf      map[string]string         // by ready job, the host that planned it
	chosen         string                    // the planner chosen last
}

// New returns a Service that is not running yet and registers its peer methods with
// cfg.Mux.
func New(cfg Config) *Service {
	s := &Service{
		cfg: cfg, log: cfg.Logger,
		remotePlanners: map[string]*remotePlanner{}, plannerOf: map[string]string{},
	}
	s.planner = newPlanner(cfg.Plan, cfg.Replicas, cfg.Logger)
	s.registerHandlers(cfg.Mux)
	return s
}

// Run runs the planner of this daemon until ctx ends.
func (s *Service) Run(ctx context.Context) { s.planner.run(ctx) }

// Configure replaces the services that run stages and their replicas. list returns the
// replicas; it is called only while this daemon plans.
func (s *Service) Configure(services map[string]*catalog.Service, list func() []catalog.Replica) {
	s.planner.configure(services, list)
}

// maxPlanners limits the number of planners to which one job is submitted, not counting
// those that answer that they have restarted; the last one is the daemon's own.
const maxPlanners = 3

// Prepare has the stages of a job run and returns the outcome. After a Ready outcome the
// caller must call Release. If ctx ends first, Prepare drops the job and returns nil. If
// the planner is lost, the next planner continues with the pieces known to be completed.
//
// Prepare first waits for the fleet to form: if all daemons start at the same time and
// each plans for itself, their calls fill the queues of the same replicas.
func (s *Service) Prepare(ctx context.Context, j stage.Job) *JobOutcome {
	select {
	case <-s.cfg.Members.Formed():
	case <-ctx.Done():
		return nil
	}
	for n := 1; ; {
		host := fleet.Host{Host: member.Host{Name: s.cfg.Self}}
		if n < maxPlanners {
			host = s.choosePlanner(clock.Now())
		}
		outcome, err := s.prepareAt(ctx, host, j)
		var restarted *plannerRestartedError
		var lost *plannerLostError
		switch {
		case err == nil:
			return outcome
		case errors.As(err, &restarted):
			// This changes the rank of the host, so that the loop does not repeat the same
			// call.
			s.cfg.Members.RecordRestart(host.Name, restarted.incarnation)
			continue
		case errors.As(err, &lost):
			j.Completed = mergeCompleted(j.Completed, lost.completed)
		}
		n++
		s.hostBackoff.Add(host.Name, avoidDuration)
		if host.Name == s.cfg.Self {
			return &JobOutcome{Refused: &stage.Refused{Job: j.ID, Reason: stage.ReasonNoReplica, RetryAfter: notReadyRetryAfter}}
		}
	}
}

// notReadyRetryAfter is the retry delay reported while this daemon has no configuration.
const notReadyRetryAfter = 500 * time.Millisecond

// plannerLostError reports that a planner did not deliver the outcome of a job.
type plannerLostError struct {
	// completed are the pieces of the job that the planner reported.
	completed []stage.CompletedPiece
}

func (e *plannerLostError) Error() string { return "stages: planner lost" }

// plannerRestartedError reports that a host has restarted since this daemon learned its
// incarnation.
type plannerRestartedError struct{ incarnation uint64 }

func (e *plannerRestartedError) Error() string { return "stages: planner restarted" }

// mergeCompleted adds the pieces completed by a later planner to those completed by
// earlier ones. If a piece was run again because its result was gone, the last result is
// used.
func mergeCompleted(earlier, later []stage.CompletedPiece) []stage.CompletedPiece {
	type key struct{ stage, index int }
	positions := make(map[key]int, len(earlier)+len(later))
	var out []stage.CompletedPiece
	for _, p := range slices.Concat(earlier, later) {
		k := key{p.Stage, p.Index}
		if i, ok := positions[k]; ok {
			out[i] = p
			continue
		}
		positions[k] = len(out)
		out = append(out, p)
	}
	return out
}

// prepareAt submits a job to one planner and waits for the outcome. A nil outcome without
// an error means that ctx ended first.
func (s *Service) prepareAt(ctx context.Context, host fleet.Host, j stage.Job) (outcome *JobOutcome, err error) {
	if host.Name == s.cfg.Self {
		outcome, err = s.prepareLocal(ctx, j)
	} else {
		outcome, err = s.prepareRemote(ctx, host, j)
	}
	if outcome != nil && outcome.Refused == nil {
		s.mu.Lock()
		s.plannerOf[j.ID] = host.Name
		s.mu.Unlock()
	}
	return outcome, err
}

// prepareLocal plans a job in this daemon.
func (s *Service) prepareLocal(ctx context.Context, j stage.Job) (*JobOutcome, error) {
	outcome, ok := s.planner.submit("", j)
	if !ok {
		return nil, &plannerLostError{}
	}
	if outcome != nil {
		return outcome, nil
	}
	if outcome := s.planner.poll(ctx, "", 0, []string{j.ID}).outcomes[j.ID]; outcome != nil {
		return outcome, nil
	}
	s.planner.dropJobs("", []string{j.ID}, false)
	return nil, nil
}

// Release releases the results of a ready job.
func (s *Service) Release(id string) {
	s.mu.Lock()
	host := s.plannerOf[id]
	delete(s.plannerOf, id)
	s.mu.Unlock()
	switch host {
	case "":
	case s.cfg.Self:
		s.planner.dropJobs("", []string{id}, false)
	default:
		go s.dropRemote(host, []string{id}, false)
	}
}

// avoidDuration is how long a planner that failed is avoided. It is longer than
// orphanTimeout, so that a job returns to a planner only after that planner has dropped
// it: else the planner would continue with results that another planner may have released.
const avoidDuration = 2 * time.Second

// choosePlanner returns the host that plans: the first in rank order of the reachable hosts
// that did not fail recently, or this host if there is none.
func (s *Service) choosePlanner(now time.Time) fleet.Host {
	chosen := fleet.Host{Host: member.Host{Name: s.cfg.Self}}
	if best := s.firstRanked(now); best != nil {
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

// IsPlanner returns whether, in this host's view, it is the one that plans.
func (s *Service) IsPlanner() bool {
	first := s.firstRanked(clock.Now())
	return first != nil && first.Name == s.cfg.Self
}

// firstRanked returns the first in rank order of the reachable hosts that did not fail
// recently, or nil if there is none.
func (s *Service) firstRanked(now time.Time) *fleet.Host {
	var best *fleet.Host
	for _, h := range s.cfg.Members.Reachable() {
		if !s.hostBackoff.Excludes(h.Name, now) && (best == nil || h.Compare(*best) < 0) {
			best = &h
		}
	}
	return best
}

// Dump is the state of a Service shown to operators.
type Dump struct {
	Chosen  string   `json:"chosen"`
	Avoided []string `json:"avoided"`
	// Planned is the number of jobs planned here, Placed the number of ready jobs of
	// this daemon that have not been released.
	Planned int `json:"planned"`
	Placed  int `json:"placed"`
	// Shares has, by service, the fair shares as this daemon plans them; empty if they are
	// not enabled or nothing was planned here.
	Shares map[string]fairshare.State `json:"shares"`
	// Continuations has, by service, the work of jobs that continue streams and go ahead of new
	// work; empty if there was none here.
	Continuations map[string]fairshare.State `json:"continuations"`
}

// maxDumpedAccounts bounds the customers of each service in a Dump.
const maxDumpedAccounts = 20

// PieceCount returns the number of pieces of all jobs planned here.
func (s *Service) PieceCount() int { return int(s.planner.pieces.Load()) }

// Dump returns the state shown to operators.
func (s *Service) Dump() Dump {
	s.mu.Lock()
	d := Dump{Chosen: s.chosen, Placed: len(s.plannerOf), Avoided: s.hostBackoff.Names()}
	s.mu.Unlock()
	s.planner.mu.Lock()
	d.Planned = len(s.planner.jobs)
	d.Shares = s.planner.machine.Shares(clock.Now(), maxDumpedAccounts)
	d.Continuations = s.planner.machine.Continuations(clock.Now(), maxDumpedAccounts)
	s.planner.mu.Unlock()
	return d
}
