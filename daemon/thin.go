package daemon

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/wheatseam/wheatseam/core/request"
	"github.com/wheatseam/wheatseam/problem"
)

// This file holds the naive parts of the thin path. Each is replaced by its
// own package; until then claims hold within one daemon only.

type localClaims struct {
	mu     sync.Mutex
	claims map[request.ClaimKey]*localClaim
}

type localClaim struct {
	request string
	result  []byte
}

func (l *localClaims) Acquire(_ context.Context, key request.ClaimKey, id string, _ time.Time, _ [32]byte) request.ClaimDecided {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, ok := l.claims[key]
	switch {
	case !ok:
		l.claims[key] = &localClaim{request: id}
		return request.ClaimDecided{Won: true}
	case c.result != nil:
		return request.ClaimDecided{Result: c.result}
	default:
		e := problem.New(problem.OutcomeUnknown, "claimed by %s", c.request)
		e.Execution = problem.MayHaveRun
		return request.ClaimDecided{Err: e}
	}
}

func (l *localClaims) Release(_ context.Context, key request.ClaimKey, id string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c, ok := l.claims[key]; ok && c.request == id {
		delete(l.claims, key)
	}
	return nil
}

func (l *localClaims) Void(_ context.Context, key request.ClaimKey, _ time.Time) (bool, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := l.claims[key]
	return !ok, nil
}

func (l *localClaims) Record(_ context.Context, key request.ClaimKey, id string, result []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, ok := l.claims[key]
	if !ok || c.request != id {
		return errors.New("no such claim")
	}
	c.result = result
	return nil
}
