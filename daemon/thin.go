package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/bundle"
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

const maxBundleBytes = 1 << 20

func (d *Daemon) watchBundle(ctx context.Context) {
	for ctx.Err() == nil {
		if err := d.readBundle(ctx); err != nil {
			d.log.Warn("bundle not read", zap.Error(err))
		}
		select {
		case <-ctx.Done():
		case <-time.After(200 * time.Millisecond):
		}
	}
}

func (d *Daemon) readBundle(ctx context.Context) error {
	url := d.settings.Platform.ConfigService + "/v1/values/" + d.settings.Platform.Key
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("build read: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("read bundle: %w", err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxBundleBytes))
	if err != nil {
		return fmt.Errorf("read bundle: %w", err)
	}
	b, err := bundle.Open(raw, d.settings.BundleKeys)
	if err != nil {
		return fmt.Errorf("open bundle: %w", err)
	}
	if old := d.bundle.Load(); old == nil || b.Version > old.Version {
		d.apply(b)
	}
	return nil
}
