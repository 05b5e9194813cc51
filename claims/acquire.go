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
	// retryBackoffMin and retryBackoffMax bound the wait between two rounds of
	// an acquisition, and between two attempts at a release or a store.
	retryBackoffMin = 5 * time.Millisecond
	retryBackoffMax = 200 * time.Millisecond
	// holderCallTimeout bounds the wait for one holder's reply in one round.
	holderCallTimeout = 500 * time.Millisecond
	// releaseTimeout bounds the sending of a release, retries included.
	releaseTimeout = 2 * time.Second
	// retryAfter is the retry delay returned to callers that may retry with the
	// same key.
	retryAfter = time.Second
)

// ownedClaim is a claim that a request of this host has won.
type ownedClaim struct {
	claim   *claim.Claim
	quorums []claim.Quorum
	epoch   uint64
}

func ownedClaimID(key request.ClaimKey, id string) string { return id + scopeSeparator + key.Stage }

// Acquire implements request.Claimer.
func (s *Service) Acquire(ctx context.Context, key request.ClaimKey, id string, arrived time.Time, digest [32]byte) request.ClaimDecided {
	k, err := claim.ParseKey(scopedCustomer(key.Customer, key.Stage), key.Key)
	if err != nil {
		return refusedDecision(problem.New(problem.KeyInvalid, "%v", err))
	}
	cfg, err := s.newClaimConfig(ctx, k, id, arrived, digest)
	if err != nil {
		e := problem.New(problem.NotReady, "%v", err)
		e.Execution, e.RetryAfter = problem.MayHaveRun, retryAfter
		return refusedDecision(e)
	}
	s.mu.Lock()
	seed := s.rng.Uint64()
	s.mu.Unlock()
	r := newAcquisition(s, cfg, seed)
	return s.decisionFor(ctx, ownedClaimID(key, id), r, r.runToEnd(ctx))
}

func refusedDecision(e *problem.Error) request.ClaimDecided { return request.ClaimDecided{Err: e} }

var errNotReadyToClaim = errors.New("this host has not caught up with its fellows, or its clock is off")

func (s *Service) newClaimConfig(ctx context.Context, k claim.Key, id string, arrived time.Time, digest [32]byte) (claim.Config, error) {
	deadline, ok := clock.DeadlineOf(ctx)
	if !ok {
		return claim.Config{}, errors.New("a claim needs a deadline")
	}
	s.viewsMu.RLock()
	defer s.viewsMu.RUnlock()
	if s.views == nil || !s.views.Ready() || !s.cfg.ClockAndViewsTrusted() {
		return claim.Config{}, errNotReadyToClaim
	}
	return claim.Config{
		Key: k, Owner: s.owner(id), Digest: digest, Arrived: arrived,
		Epoch: s.views.Epoch(), Quorums: s.views.Quorums(k),
		Deadline: deadline, BackoffMin: retryBackoffMin, BackoffMax: retryBackoffMax,
	}, nil
}

func (s *Service) owner(id string) claim.Owner {
	return claim.Owner{Host: s.cfg.Host, Incarnation: s.cfg.Incarnation, Request: id}
}

// decisionFor converts the final action of a claim into the decision for the
// request's state machine.
func (s *Service) decisionFor(ctx context.Context, name string, r *acquisition, end claim.Action) request.ClaimDecided {
	switch a := end.(type) {
	case claim.Won:
		// The request counts as sent from here on, unless Release reports that
		// it was not: the state machine checks the deadline right before it
		// sends the call.
		if r.claim.Send(s.cfg.Now()) {
			s.mu.Lock()
			s.ownedClaims[name] = &ownedClaim{claim: r.claim, quorums: r.cfg.Quorums, epoch: r.cfg.Epoch}
			s.mu.Unlock()
			return request.ClaimDecided{Won: true}
		}
		r.sendReleases(r.claim.Abort(problem.DeadlineExceeded))
		return s.refusalDecision(ctx, r, claim.Refuse{Kind: problem.DeadlineExceeded, Execution: problem.NotRun})
	case claim.AlreadyExecuted:
		if a.Record.Truncated {
			e := problem.New(problem.OutcomeUnknown, "it has run; its result was too large to be kept")
			e.Execution = problem.Ran
			return refusedDecision(e)
		}
		return request.ClaimDecided{Result: a.Record.Result}
	case claim.Refuse:
		return s.refusalDecision(ctx, r, a)
	default:
		return refusedDecision(problem.FromError(fmt.Errorf("claim ended with %T", end)))
	}
}

// refusalDecision returns the error for a refused claim. Before it reports NotRun it
// voids the key, so that no earlier attempt can run any more; if that fails it
// reports MayHaveRun. It does not void a key that was refused as KeyReused, since
// that key belongs to a request with another digest.
func (s *Service) refusalDecision(ctx context.Context, r *acquisition, a claim.Refuse) request.ClaimDecided {
	e := problem.New(a.Kind, "%s", refusalDetail(a))
	e.Execution = a.Execution
	if problem.Lookup(a.Kind).Retryable {
		e.RetryAfter = retryAfter
	}
	if a.Execution == problem.NotRun && a.Kind != problem.KeyReused {
		if s.voidKey(ctx, r.cfg.Key, r.cfg.Owner, r.cfg.Epoch, r.cfg.Quorums) != nil {
			e.Execution = problem.MayHaveRun
		}
	}
	return refusedDecision(e)
}

func refusalDetail(a claim.Refuse) string {
	switch {
	case a.Owner != (claim.Owner{}):
		return fmt.Sprintf("the key is claimed by request %s at host %s", a.Owner.Request, a.Owner.Host)
	case a.Verdict != 0:
		return "the holders of the key answered " + a.Verdict.String()
	default:
		return "no majority of the key's holders can be reached"
	}
}

// removeOwned removes an owned claim and returns it, or nil if there is none.
func (s *Service) removeOwned(name string) *ownedClaim {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.ownedClaims[name]
	delete(s.ownedClaims, name)
	return o
}

// Release implements request.Claimer.
func (s *Service) Release(ctx context.Context, key request.ClaimKey, id string) error {
	o := s.removeOwned(ownedClaimID(key, id))
	if o == nil {
		return errors.New("no such claim")
	}
	k, err := claim.ParseKey(scopedCustomer(key.Customer, key.Stage), key.Key)
	if err != nil {
		return err
	}
	o.claim.NotExecuted()
	s.sendReleases(o.claim.Abort(problem.DeadlineExceeded))
	return s.voidKey(ctx, k, s.owner(id), o.epoch, o.quorums)
}

// Void implements request.Claimer.
func (s *Service) Void(ctx context.Context, key request.ClaimKey) (bool, error) {
	k, err := claim.ParseKey(scopedCustomer(key.Customer, key.Stage), key.Key)
	if err != nil {
		return false, err
	}
	s.viewsMu.RLock()
	if s.views == nil || !s.views.Ready() {
		s.viewsMu.RUnlock()
		return false, errNotReadyToClaim
	}
	epoch, quorums := s.views.Epoch(), s.views.Quorums(k)
	s.viewsMu.RUnlock()
	if err := s.voidKey(ctx, k, s.owner(""), epoch, quorums); err != nil {
		return false, err
	}
	return true, nil
}

// Record implements request.Claimer.
func (s *Service) Record(ctx context.Context, key request.ClaimKey, id string, result []byte) error {
	o := s.removeOwned(ownedClaimID(key, id))
	if o == nil {
		return errors.New("no such claim")
	}
	return s.storeResult(ctx, o, claim.Record{Result: result})
}
