package claims

import (
	"context"
	"errors"

	"github.com/wheatseam/wheatseam/core/claim"
	"github.com/wheatseam/wheatseam/peer"
	"github.com/wheatseam/wheatseam/wire"
)

// RPC methods between daemons.
const (
	methodAcquire = "claim.ask"
	methodRelease = "claim.release"
	methodVoid    = "claim.void"
	methodStore   = "claim.store"
	methodStatus  = "claim.status"
)

// errNoHostList is returned to peers while this host has no bundle yet.
var errNoHostList = errors.New("no host list is in force yet")

func (s *Service) register(mux *peer.Mux) {
	peer.Handle(mux, methodAcquire, s.serveAcquire)
	peer.Handle(mux, methodRelease, s.serveRelease)
	peer.Handle(mux, methodVoid, s.serveVoid)
	peer.Handle(mux, methodStore, s.serveStore)
	peer.Handle(mux, methodStatus, s.serveStatus)
}

// withKeyHolder runs f on the shard that holds a key. The host lists cannot
// change while f runs.
func (s *Service) withKeyHolder(key claim.Key, f func(*claim.Holder, claim.Env) claim.Reply) (*wire.ClaimReply, error) {
	s.viewsMu.RLock()
	defer s.viewsMu.RUnlock()
	if s.views == nil {
		return nil, errNoHostList
	}
	env := claim.Env{
		Now: s.cfg.Now(), Epoch: s.views.Epoch(), Ready: s.views.CanGrant() && s.cfg.ClockAndViewsTrusted(),
	}
	shard := &s.holders[key.Hash()%holderShards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	return encodeReply(f(shard.holder, env)), nil
}

// sentByOwner reports whether a message comes from the process that owns the
// claim.
func sentByOwner(from peer.Sender, o claim.Owner) bool {
	return o.Host == from.Host && o.Incarnation == from.Incarnation
}

func (s *Service) serveAcquire(_ context.Context, from peer.Sender, m *wire.ClaimAsk) (*wire.ClaimReply, error) {
	acquire, err := decodeAcquire(m)
	if err != nil {
		return nil, err
	}
	if !sentByOwner(from, acquire.Owner) {
		return nil, errMalformed
	}
	return s.withKeyHolder(acquire.Key, func(h *claim.Holder, env claim.Env) claim.Reply {
		return h.Acquire(env, acquire)
	})
}

func (s *Service) serveRelease(_ context.Context, from peer.Sender, m *wire.ClaimRelease) (*wire.ClaimReleased, error) {
	key, err := decodeKey(m.Key)
	if err != nil {
		return nil, err
	}
	release := claim.Release{Key: key, Owner: decodeOwner(m.Owner), Round: m.Round}
	if !sentByOwner(from, release.Owner) {
		return nil, errMalformed
	}
	_, err = s.withKeyHolder(key, func(h *claim.Holder, env claim.Env) claim.Reply {
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
	if !sentByOwner(from, void.Owner) {
		return nil, errMalformed
	}
	return s.withKeyHolder(key, func(h *claim.Holder, env claim.Env) claim.Reply {
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
	if !sentByOwner(from, store.Owner) {
		return nil, errMalformed
	}
	return s.withKeyHolder(key, func(h *claim.Holder, env claim.Env) claim.Reply {
		return h.Store(env, store)
	})
}
