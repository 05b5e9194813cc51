package claims

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/wheatseam/wheatseam/core/claim"
	"github.com/wheatseam/wheatseam/core/request"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/problem"
)

const (
	// backoffMin and backoffMax bound the wait between two rounds of asking.
	backoffMin = 5 * time.Millisecond
	backoffMax = 200 * time.Millisecond
	// askTimeout bounds the wait for one holder in one round.
	askTimeout = 500 * time.Millisecond
	// releaseTimeout bounds the sending of a release.
	releaseTimeout = 2 * time.Second
	// retryAfter is told to callers that may come back with the same key.
	retryAfter = time.Second
)

// ownedClaim is a claim of a request of this host.
type ownedClaim struct {
	claim   *claim.Claim
	quorums []claim.Quorum
	epoch   uint64
}

func ownedName(key request.ClaimKey, id string) string { return id + scopeSeparator + key.Stage }

// Acquire implements request.Claimer.
func (s *Service) Acquire(ctx context.Context, key request.ClaimKey, id string, arrived time.Time, digest [32]byte) request.ClaimDecided {
	k, err := claim.ParseKey(scope(key.Customer, key.Stage), key.Key)
	if err != nil {
		return refuse(problem.New(problem.KeyInvalid, "%v", err))
	}
	cfg, err := s.configOf(ctx, k, id, arrived, digest)
	if err != nil {
		e := problem.New(problem.NotReady, "%v", err)
		e.Execution, e.RetryAfter = problem.MayHaveRun, retryAfter
		return refuse(e)
	}
	s.mu.Lock()
	seed := s.rng.Uint64()
	s.mu.Unlock()
	r := newRun(s, cfg, seed)
	return s.conclude(ctx, ownedName(key, id), r, r.ask(ctx))
}

func refuse(e *problem.Error) request.ClaimDecided { return request.ClaimDecided{Err: e} }

var errNotCaughtUp = errors.New("this host has not caught up with its fellows, or its clock is off")

func (s *Service) configOf(ctx context.Context, k claim.Key, id string, arrived time.Time, digest [32]byte) (claim.Config, error) {
	deadline, ok := clock.DeadlineOf(ctx)
	if !ok {
		return claim.Config{}, errors.New("a claim needs a deadline")
	}
	s.viewsMu.RLock()
	defer s.viewsMu.RUnlock()
	if s.views == nil || !s.views.Ready() || !s.cfg.Trusted() {
		return claim.Config{}, errNotCaughtUp
	}
	return claim.Config{
		Key: k, Owner: s.owner(id), Digest: digest, Arrived: arrived,
		Epoch: s.views.Epoch(), Quorums: s.views.Quorums(k),
		Deadline: deadline, BackoffMin: backoffMin, BackoffMax: backoffMax,
	}, nil
}

func (s *Service) owner(id string) claim.Owner {
	return claim.Owner{Host: s.cfg.Host, Incarnation: s.cfg.Incarnation, Request: id}
}

// conclude turns the end of a claim into the answer to the request machine.
func (s *Service) conclude(ctx context.Context, name string, r *run, end claim.Action) request.ClaimDecided {
	switch a := end.(type) {
	case claim.Won:
		// From here on the request counts as sent, until Release says that it
		// was not: the machine checks the deadline right before it sends.
		if r.claim.Send(s.cfg.Now()) {
			s.mu.Lock()
			s.owned[name] = &ownedClaim{claim: r.claim, quorums: r.cfg.Quorums, epoch: r.cfg.Epoch}
			s.mu.Unlock()
			return request.ClaimDecided{Won: true}
		}
		r.sendAll(r.claim.Abort(problem.DeadlineExceeded))
		return s.refusal(ctx, r, claim.Refuse{Kind: problem.DeadlineExceeded, Execution: problem.NotRun})
	case claim.AlreadyExecuted:
		if a.Record.Truncated {
			e := problem.New(problem.OutcomeUnknown, "it has run; its result was too large to be kept")
			e.Execution = problem.Ran
			return refuse(e)
		}
		return request.ClaimDecided{Result: a.Record.Result}
	case claim.Refuse:
		return s.refusal(ctx, r, a)
	default:
		return refuse(problem.FromError(fmt.Errorf("claim ended with %T", end)))
	}
}

// refusal makes the error of a refused claim. NotRun is told only once no
// earlier attempt can run any more.
func (s *Service) refusal(ctx context.Context, r *run, a claim.Refuse) request.ClaimDecided {
	e := problem.New(a.Kind, "%s", describe(a))
	e.Execution = a.Execution
	if problem.Lookup(a.Kind).Retryable {
		e.RetryAfter = retryAfter
	}
	if a.Execution == problem.NotRun && a.Kind != problem.KeyReused {
		if s.void(ctx, r.cfg.Key, r.cfg.Owner, r.cfg.Epoch, r.cfg.Quorums) != nil {
			e.Execution = problem.MayHaveRun
		}
	}
	return refuse(e)
}

func describe(a claim.Refuse) string {
	switch {
	case a.Owner != (claim.Owner{}):
		return fmt.Sprintf("the key is claimed by request %s at host %s", a.Owner.Request, a.Owner.Host)
	case a.Verdict != 0:
		return "the holders of the key answered " + a.Verdict.String()
	default:
		return "no majority of the key's holders can be reached"
	}
}

// take removes a claim from those owned.
func (s *Service) take(name string) *ownedClaim {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.owned[name]
	delete(s.owned, name)
	return o
}

// Release implements request.Claimer.
func (s *Service) Release(ctx context.Context, key request.ClaimKey, id string) error {
	o := s.take(ownedName(key, id))
	if o == nil {
		return errors.New("no such claim")
	}
	k, err := claim.ParseKey(scope(key.Customer, key.Stage), key.Key)
	if err != nil {
		return err
	}
	o.claim.NotExecuted()
	s.sendReleases(o.claim.Abort(problem.DeadlineExceeded))
	return s.void(ctx, k, s.owner(id), o.epoch, o.quorums)
}

// Void implements request.Claimer.
func (s *Service) Void(ctx context.Context, key request.ClaimKey) (bool, error) {
	k, err := claim.ParseKey(scope(key.Customer, key.Stage), key.Key)
	if err != nil {
		return false, err
	}
	s.viewsMu.RLock()
	if s.views == nil || !s.views.Ready() {
		s.viewsMu.RUnlock()
		return false, errNotCaughtUp
	}
	epoch, quorums := s.views.Epoch(), s.views.Quorums(k)
	s.viewsMu.RUnlock()
	if err := s.void(ctx, k, s.owner(""), epoch, quorums); err != nil {
		return false, err
	}
	return true, nil
}

// Record implements request.Claimer.
func (s *Service) Record(ctx context.Context, key request.ClaimKey, id string, result []byte) error {
	o := s.take(ownedName(key, id))
	if o == nil {
		return errors.New("no such claim")
	}
	return s.store(ctx, o, claim.Record{Result: result})
}
