package claims

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/wheatseam/wheatseam/core/claim"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/problem"
	"github.com/wheatseam/wheatseam/wire"
)

// acquisition drives one claim.Claim to its end. Only the goroutine that calls
// runToEnd accesses the claim; calls to holders report back through answers.
type acquisition struct {
	service    *Service
	cfg        claim.Config
	claim      *claim.Claim
	answers    chan holderAnswer
	retryTimer <-chan time.Time
	// blockingOwner is the owner that a holder last named as having the key.
	blockingOwner claim.Owner
}

// holderAnswer is the result of one call to a holder.
type holderAnswer struct {
	holder string
	round  uint32
	reply  claim.Reply
	err    error
}

// maxPendingAnswers bounds the answers that are queued: each holder answers
// once per round.
const maxPendingAnswers = 64

func newAcquisition(s *Service, cfg claim.Config, seed uint64) *acquisition {
	return &acquisition{
		service: s, cfg: cfg, answers: make(chan holderAnswer, maxPendingAnswers),
		claim: claim.New(cfg, rand.New(rand.NewPCG(seed, 0))),
	}
}

// runToEnd runs the claim until it is won, already executed or refused, and
// returns the action with that outcome.
func (r *acquisition) runToEnd(ctx context.Context) claim.Action {
	// Cancelling ctx releases the goroutines that would otherwise block on
	// sending an answer that is no longer read.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	end := r.performActions(ctx, r.claim.Start())
	for end == nil {
		select {
		case a := <-r.answers:
			end = r.performActions(ctx, r.handleAnswer(a))
		case <-r.retryTimer:
			r.retryTimer = nil
			end = r.performActions(ctx, r.startNextRound())
		case <-ctx.Done():
			end = r.performActions(ctx, r.claim.Abort(problem.DeadlineExceeded))
		}
	}
	return end
}

func (r *acquisition) handleAnswer(a holderAnswer) []claim.Action {
	now := r.service.cfg.Now()
	if a.err != nil {
		return r.claim.HandleUnreachable(now, a.holder, a.round)
	}
	if a.reply.Verdict == claim.Taken {
		r.blockingOwner = a.reply.Owner
	}
	return r.claim.HandleReply(now, a.reply)
}

// startNextRound starts the next round, unless the process of the blocking owner is
// unavailable: then nobody is expected to release the key or record a result, and the
// claim ends with an unknown outcome.
func (r *acquisition) startNextRound() []claim.Action {
	if r.blockingOwner.Host != "" && r.service.cfg.OwnerUnavailable(r.blockingOwner.Host, r.blockingOwner.Incarnation) {
		return r.claim.Abort(problem.OutcomeUnknown)
	}
	return r.claim.HandleTimer()
}

// performActions carries out actions and returns the one that ends the claim, if
// any.
func (r *acquisition) performActions(ctx context.Context, actions []claim.Action) claim.Action {
	var end claim.Action
	for _, action := range actions {
		switch a := action.(type) {
		case claim.SendAcquire:
			go r.callHolder(ctx, a)
		case claim.SendRelease:
			go r.service.sendRelease(a)
		case claim.Wait:
			r.retryTimer = clock.After(a.Until.Sub(r.service.cfg.Now()))
		default:
			end = action
		}
	}
	return end
}

// sendReleases sends the releases among actions.
func (r *acquisition) sendReleases(actions []claim.Action) { r.service.sendReleases(actions) }

func (r *acquisition) callHolder(ctx context.Context, a claim.SendAcquire) {
	callCtx, cancel := clock.WithTimeout(ctx, holderCallTimeout)
	defer cancel()
	out := holderAnswer{holder: a.Holder, round: a.Acquire.Round}
	var resp wire.ClaimReply
	out.err = r.service.cfg.Caller.Call(callCtx, a.Holder, methodAcquire, encodeAcquire(a.Acquire), &resp)
	if out.err == nil {
		out.reply, out.err = decodeReply(a.Holder, &resp)
	}
	select {
	case r.answers <- out:
	case <-ctx.Done():
	}
}

func (s *Service) sendReleases(actions []claim.Action) {
	for _, action := range actions {
		if a, ok := action.(claim.SendRelease); ok {
			go s.sendRelease(a)
		}
	}
}

// sendRelease retries a release until the holder confirms it or releaseTimeout
// has passed. A lost release leaves the key claimed: a later request with the
// key then gets no answer, but the stage never runs twice.
func (s *Service) sendRelease(a claim.SendRelease) {
	ctx, cancel := clock.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	m := &wire.ClaimRelease{Key: encodeKey(a.Release.Key), Owner: encodeOwner(a.Release.Owner), Round: a.Release.Round}
	for wait := retryBackoffMin; ctx.Err() == nil; wait = min(2*wait, retryBackoffMax) {
		var resp wire.ClaimReleased
		if s.cfg.Caller.Call(ctx, a.Holder, methodRelease, m, &resp) == nil {
			return
		}
		select {
		case <-ctx.Done():
		case <-clock.After(wait):
		}
	}
}

// errNotVoided means that the request must not be reported as NotRun.
var errNotVoided = errors.New("no majority of the key's holders has voided it")

// voidKey marks the key as void at a majority of its holders. They then refuse
// every attempt that arrived before now plus MaxClockSkew, so that a NotRun answer
// stays true.
func (s *Service) voidKey(ctx context.Context, k claim.Key, owner claim.Owner, epoch uint64, quorums []claim.Quorum) error {
	m := &wire.ClaimVoid{
		Key: encodeKey(k), Owner: encodeOwner(owner), Epoch: epoch,
		UntilUnixUs: encodeTime(s.cfg.Now().Add(s.policy.MaxClockSkew)),
	}
	ctx, cancel := clock.WithTimeout(ctx, holderCallTimeout)
	defer cancel()
	ok := s.callMajority(ctx, quorums, func(holder string) bool {
		var resp wire.ClaimReply
		err := s.cfg.Caller.Call(ctx, holder, methodVoid, m, &resp)
		return err == nil && claim.Verdict(resp.Verdict) == claim.Voided
	})
	if !ok {
		return errNotVoided
	}
	return nil
}

// callMajority runs call concurrently for every holder. It returns true as soon as
// call has returned true for a majority of each quorum, and false once all calls
// have returned without such a majority or ctx ends.
func (s *Service) callMajority(ctx context.Context, quorums []claim.Quorum, call func(holder string) bool) bool {
	tally := claim.NewTally(quorums)
	holders := tally.Holders()
	type vote struct {
		holder string
		yes    bool
	}
	votes := make(chan vote, len(holders))
	for _, h := range holders {
		go func() { votes <- vote{h, call(h)} }()
	}
	for range holders {
		select {
		case v := <-votes:
			tally.Count(v.holder, v.yes)
			if tally.Reached() {
				return true
			}
		case <-ctx.Done():
			return false
		}
	}
	return false
}

// storeResult records a result at a majority of the key's holders.
func (s *Service) storeResult(ctx context.Context, o *ownedClaim, record claim.Record) error {
	replies := make(chan claim.Reply, maxPendingAnswers)
	pending := 0
	for _, action := range o.claim.Store(record) {
		a, ok := action.(claim.SendStore)
		if !ok {
			continue
		}
		pending++
		go func() { replies <- s.sendStore(ctx, a) }()
	}
	for ; pending > 0; pending-- {
		select {
		case r := <-replies:
			for _, action := range o.claim.HandleStoreReply(r) {
				if _, stored := action.(claim.ResultStored); stored {
					return nil
				}
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return errors.New("no majority of the key's holders has the result")
}

// sendStore retries a store until the holder replies or ctx ends. In the latter
// case the reply holds only the holder's name.
func (s *Service) sendStore(ctx context.Context, a claim.SendStore) claim.Reply {
	m := &wire.ClaimStore{
		Key: encodeKey(a.Store.Key), Owner: encodeOwner(a.Store.Owner), Record: encodeRecord(&a.Store.Record),
	}
	for wait := retryBackoffMin; ctx.Err() == nil; wait = min(2*wait, retryBackoffMax) {
		var resp wire.ClaimReply
		if s.cfg.Caller.Call(ctx, a.Holder, methodStore, m, &resp) == nil {
			if r, err := decodeReply(a.Holder, &resp); err == nil {
				return r
			}
		}
		select {
		case <-ctx.Done():
		case <-clock.After(wait):
		}
	}
	return claim.Reply{Holder: a.Holder}
}
