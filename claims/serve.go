package claims

import (
	"context"
	"errors"

	"github.com/wheatseam/wheatseam/core/claim"
	"github.com/wheatseam/wheatseam/peer"
	"github.com/wheatseam/wheatseam/wire"
)

// Methods between daemons.
const (
	methodAsk     = "claim.ask"
	methodRelease = "claim.release"
	methodVoid    = "claim.void"
	methodStore   = "claim.store"
	methodStatus  = "claim.status"
)

// errNoBundle answers while this host has no bundle yet.
var errNoBundle = errors.New("no host list is in force yet")

func (s *Service) register(mux *peer.Mux) {
	peer.Handle(mux, methodAsk, s.serveAsk)
	peer.Handle(mux, methodRelease, s.serveRelease)
	peer.Handle(mux, methodVoid, s.serveVoid)
	peer.Handle(mux, methodStore, s.serveStore)
	peer.Handle(mux, methodStatus, s.serveStatus)
}

// withHolder runs f on the holder of a key. The host lists cannot change
// meanwhile.
func (s *Service) withHolder(key claim.Key, f func(*claim.Holder, claim.Env) claim.Reply) (*wire.ClaimReply, error) {
	s.viewsMu.RLock()
	defer s.viewsMu.RUnlock()
	if s.views == nil {
		return nil, errNoBundle
	}
	env := claim.Env{
		Now: s.cfg.Now(), Epoch: s.views.Epoch(), Ready: s.views.CanGrant() && s.cfg.Trusted(),
	}
	shard := &s.holders[key.Hash()%holderShards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	return encodeReply(f(shard.holder, env)), nil
}

// sentBy says whether a message comes from the process that it speaks for.
func sentBy(from peer.Sender, o claim.Owner) bool {
	return o.Host == from.Host && o.Incarnation == from.Incarnation
}

func (s *Service) serveAsk(_ context.Context, from peer.Sender, m *wire.ClaimAsk) (*wire.ClaimReply, error) {
	ask, err := decodeAsk(m)
	if err != nil {
		return nil, err
	}
	if !sentBy(from, ask.Owner) {
		return nil, errMalformed
	}
	return s.withHolder(ask.Key, func(h *claim.Holder, env claim.Env) claim.Reply {
		return h.Acquire(env, ask)
	})
}

func (s *Service) serveRelease(_ context.Context, from peer.Sender, m *wire.ClaimRelease) (*wire.ClaimReleased, error) {
	key, err := decodeKey(m.Key)
	if err != nil {
		return nil, err
	}
	release := claim.Release{Key: key, Owner: decodeOwner(m.Owner), Round: m.Round}
	if !sentBy(from, release.Owner) {
		return nil, errMalformed
	}
	_, err = s.withHolder(key, func(h *claim.Holder, env claim.Env) claim.Reply {
		h.Release(env, release)
		return claim.Reply{}
	})
	return &wire.ClaimReleased{}, err
}

func (s *Service) serveVoid(_ context.Context, from peer.Sender, m *wire.ClaimVoid) (*wire.ClaimReply, error) {
	key, err := decodeKey(m.Key)
	if err != nil {
		return nil, err
	}
	void := claim.Void{Key: key, Owner: decodeOwner(m.Owner), Epoch: m.Epoch, Until: decodeTime(m.UntilUnixUs)}
	if !sentBy(from, void.Owner) {
		return nil, errMalformed
	}
	return s.withHolder(key, func(h *claim.Holder, env claim.Env) claim.Reply {
		return h.Void(env, void)
	})
}

func (s *Service) serveStore(_ context.Context, from peer.Sender, m *wire.ClaimStore) (*wire.ClaimReply, error) {
	key, err := decodeKey(m.Key)
	if err != nil {
		return nil, err
	}
	record, err := decodeRecord(m.Record)
	if err != nil || record == nil {
		return nil, errMalformed
	}
	store := claim.Store{Key: key, Owner: decodeOwner(m.Owner), Record: *record}
	if !sentBy(from, store.Owner) {
		return nil, errMalformed
	}
	return s.withHolder(key, func(h *claim.Holder, env claim.Env) claim.Reply {
		return h.Store(env, store)
	})
}
