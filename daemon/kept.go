package daemon

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/caller"
	"github.com/wheatseam/wheatseam/core/request"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/internal/periodic"
	"github.com/wheatseam/wheatseam/internal/uuidtime"
	"github.com/wheatseam/wheatseam/results"
)

const (
	// maxKeptBytes bounds the memory of the results kept for peer daemons.
	maxKeptBytes = 32 << 20
	// keepTimeout bounds the storing of a result at peer daemons.
	keepTimeout = time.Second
	// resumeMinKeyAge is the age of an idempotency key from which an earlier
	// request with the key may have left results.
	resumeMinKeyAge = 20 * time.Millisecond
	// resumeTimeout bounds the wait for kept results.
	resumeTimeout = 50 * time.Millisecond
	// expireInterval is the interval at which expired results are removed.
	expireInterval = time.Second
)

// addKeptResults creates the service that keeps stage results at peer daemons.
func (d *Daemon) addKeptResults() {
	d.keptResultStore = results.NewStore(maxKeptBytes)
	d.keptResults = results.NewService(results.Config{
		Host: d.settings.Host, Caller: deferredCaller{d}, HostsFor: d.claims.HolderHosts, Store: d.keptResultStore, Now: d.Now,
	}, d.peerMux)
}

// deferredCaller calls peer daemons through the daemon's transport, which is opened
// only after the components that use it are created.
type deferredCaller struct{ daemon *Daemon }

// Call implements results.Caller.
func (c deferredCaller) Call(ctx context.Context, host, method string, req, resp proto.Message) error {
	return c.daemon.peerTransport.Call(ctx, host, method, req, resp)
}

// expireKeptResults removes expired results until ctx ends.
func (d *Daemon) expireKeptResults(ctx context.Context) {
	periodic.Do(ctx, expireInterval, func() { d.keptResultStore.Expire(d.Now()) })
}

// keptResultsKey returns the key of a request's kept results. Its digest covers the
// request's input and the definitions of its stages and their models.
func keptResultsKey(s *session) results.Request {
	h := sha256.New()
	h.Write(s.digest[:])
	for _, stage := range s.sub.Pipeline.Stages {
		raw, err := json.Marshal(struct {
			Stage          bundle.Stage
			Model, Version string
		}{stage, s.clients.pools[stage.Pool].Model, s.clients.pools[stage.Pool].Version})
		if err != nil {
			continue
		}
		sum := sha256.Sum256(raw)
		h.Write(sum[:])
	}
	return results.Request{
		Customer: s.sub.Customer.Name, Key: s.sub.IdempotencyKey, Digest: results.Digest(h.Sum(nil)),
	}
}

// keepResult stores a stage's result at peer daemons. A failure is only logged:
// without the result, a retry runs the stage again.
func (d *Daemon) keepResult(s *session, a request.StoreResult) {
	ctx, cancel := clock.WithTimeout(context.Background(), keepTimeout)
	defer cancel()
	n, err := d.keptResults.Keep(ctx, keptResultsKey(s), a.Stage, a.Result, s.sub.Deadline.Add(s.sub.Pipeline.Deadline))
	if err != nil {
		d.log.Debug("result stored at fewer peers than intended", zap.String("request", s.id), zap.Int("copies", n), zap.Error(err))
	}
}

// fetchKeptResults fetches the results that earlier requests with the same key have
// left. It skips keys younger than resumeMinKeyAge, which have none.
func (d *Daemon) fetchKeptResults(s *session) map[string]json.RawMessage {
	if !mayHaveKeptResults(s.sub) {
		return nil
	}
	ctx, cancel := clock.WithTimeout(context.Background(), resumeTimeout)
	defer cancel()
	kept := make(map[string]json.RawMessage)
	for stage, result := range d.keptResults.Fetch(ctx, keptResultsKey(s)) {
		kept[stage] = result
	}
	return kept
}

func mayHaveKeptResults(sub caller.Submission) bool {
	if sub.IdempotencyKey == "" {
		return false
	}
	_, createdAt, err := uuidtime.Parse(sub.IdempotencyKey)
	if err != nil || sub.Arrived.Sub(createdAt) < resumeMinKeyAge {
		return false
	}
	for _, s := range sub.Pipeline.Stages {
		if s.KeepResult {
			return true
		}
	}
	return false
}
