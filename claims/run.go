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

// run drives one claim.Claim to its end. Only the goroutine that calls ask
// touches the claim; calls to holders report back through answers.
type run struct {
	service *Service
	cfg     claim.Config
	claim   *claim.Claim
	answers chan answer
	wait    <-chan time.Time
	// blocking is the owner that a holder named last.
	blocking claim.Owner
}

// answer is what one call to a holder brought.
type answer struct {
	holder string
	round  uint32
	reply  claim.Reply
	err    error
}

// maxAnswers bounds the answers on their way: each holder answers a round once.
const maxAnswers = 64

func newRun(s *Service, cfg claim.Config, seed uint64) *run {
	return &run{
		service: s, cfg: cfg, answers: make(chan answer, maxAnswers),
		claim: claim.New(cfg, rand.New(rand.NewPCG(seed, 0))),
	}
}

// ask runs the claim until it is won, lost or refused.
func (r *run) ask(ctx context.Context) claim.Action {
	// Answers that nobody reads any more must not block their senders.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	end := r.perform(ctx, r.claim.Start())
	for end == nil {
		select {
		case a := <-r.answers:
			end = r.perform(ctx, r.take(a))
		case <-r.wait:
			r.wait = nil
			end = r.perform(ctx, r.again())
		case <-ctx.Done():
			end = r.perform(ctx, r.claim.Abort(problem.DeadlineExceeded))
		}
	}
	return end
}

func (r *run) take(a answer) []claim.Action {
	now := r.service.cfg.Now()
	if a.err != nil {
		return r.claim.HandleUnreachable(now, a.holder, a.round)
	}
	if a.reply.Verdict == claim.Taken {
		r.blocking = a.reply.Owner
	}
	return r.claim.HandleReply(now, a.reply)
}

// again starts the next round, unless the owner that stands in the way has
// ended: then nobody will release the key or record a result.
func (r *run) again() []claim.Action {
	if r.blocking.Host != "" && r.service.cfg.Gone(r.blocking.Host, r.blocking.Incarnation) {
		return r.claim.Abort(problem.OutcomeUnknown)
	}
	return r.claim.HandleTimer()
}

// perform carries out actions and returns the one that ends the claim, if any.
func (r *run) perform(ctx context.Context, actions []claim.Action) claim.Action {
	var end claim.Action
	for _, action := range actions {
		switch a := action.(type) {
		case claim.SendAcquire:
			go r.sendAsk(ctx, a)
		case claim.SendRelease:
			go r.service.sendRelease(a)
		case claim.Wait:
			r.wait = clock.After(a.Until.Sub(r.service.cfg.Now()))
		default:
			end = action
		}
	}
	return end
}

// sendAll carries out the releases among actions.
func (r *run) sendAll(actions []claim.Action) { r.service.sendReleases(actions) }

func (r *run) sendAsk(ctx context.Context, a claim.SendAcquire) {
	callCtx, cancel := clock.WithTimeout(ctx, askTimeout)
	defer cancel()
	out := answer{holder: a.Holder, round: a.Acquire.Round}
	var resp wire.ClaimReply
	out.err = r.service.cfg.Caller.Call(callCtx, a.Holder, methodAsk, encodeAsk(a.Acquire), &resp)
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

// sendRelease tells a holder until it hears or the time is up. A release that
// is lost leaves the key taken, which costs an answer but never a double run.
func (s *Service) sendRelease(a claim.SendRelease) {
	ctx, cancel := clock.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	m := &wire.ClaimRelease{Key: encodeKey(a.Release.Key), Owner: encodeOwner(a.Release.Owner), Round: a.Release.Round}
	for wait := backoffMin; ctx.Err() == nil; wait = min(2*wait, backoffMax) {
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

// errNotVoided means that NotRun must not be told.
var errNotVoided = errors.New("no majority of the key's holders has voided it")

// void places the mark under which a NotRun answer stays true.
func (s *Service) void(ctx context.Context, k claim.Key, owner claim.Owner, epoch uint64, quorums []claim.Quorum) error {
	m := &wire.ClaimVoid{
		Key: encodeKey(k), Owner: encodeOwner(owner), Epoch: epoch,
		UntilUnixUs: encodeTime(s.cfg.Now().Add(s.policy.MaxClockSkew)),
	}
	ctx, cancel := clock.WithTimeout(ctx, askTimeout)
	defer cancel()
	ok := s.majority(ctx, quorums, func(holder string) bool {
		var resp wire.ClaimReply
		err := s.cfg.Caller.Call(ctx, holder, methodVoid, m, &resp)
		return err == nil && claim.Verdict(resp.Verdict) == claim.Voided
	})
	if !ok {
		return errNotVoided
	}
	return nil
}

// majority calls every holder at once and returns as soon as a majority of each
// quorum has said yes, or false once that is out of reach.
func (s *Service) majority(ctx context.Context, quorums []claim.Quorum, call func(holder string) bool) bool {
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

// store records a result at the holders.
func (s *Service) store(ctx context.Context, o *ownedClaim, record claim.Record) error {
	replies := make(chan claim.Reply, maxAnswers)
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
				if _, kept := action.(claim.ResultStored); kept {
					return nil
				}
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return errors.New("no majority of the key's holders has the result")
}

// sendStore tells a holder until it hears or ctx ends.
func (s *Service) sendStore(ctx context.Context, a claim.SendStore) claim.Reply {
	m := &wire.ClaimStore{
		Key: encodeKey(a.Store.Key), Owner: encodeOwner(a.Store.Owner), Record: encodeRecord(&a.Store.Record),
	}
	for wait := backoffMin; ctx.Err() == nil; wait = min(2*wait, backoffMax) {
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
