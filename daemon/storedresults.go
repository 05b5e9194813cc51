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
	// maxStoredResultBytes bounds the memory of the results stored for peer daemons.
	maxStoredResultBytes = 32 << 20
	// storeResultTimeout bounds the storing of a result at peer daemons.
	storeResultTimeout = time.Second
	// resumeMinKeyAge is the age of an idempotency key from which an earlier
	// request with the key may have left results.
	resumeMinKeyAge = 20 * time.Millisecond
	// resumeTimeout bounds the wait for stored results.
	resumeTimeout = 50 * time.Millisecond
	// expireInterval is the interval at which expired results are removed.
	expireInterval = time.Second
)

// addStoredResults creates the service that stores stage results at peer daemons.
func (d *Daemon) addStoredResults() {
	d.resultStore = results.NewStore(maxStoredResultBytes)
	d.resultService = results.NewService(results.Config{
		Host: d.settings.Host, Caller: deferredCaller{d}, HostsFor: d.claims.HolderHosts, Store: d.resultStore, Now: d.Now,
	}, d.peerMux)
}

// deferredCaller calls peer daemons through the daemon's transport, which is opened
// only after the components that use it are created.
type deferredCaller struct{ daemon *Daemon }

// Call implements results.Caller.
func (c deferredCaller) Call(ctx context.Context, host, method string, req, resp proto.Message) error {
	return c.daemon.peerTransport.Call(ctx, host, method, req, resp)
}

// expireStoredResults removes expired results until ctx ends.
func (d *Daemon) expireStoredResults(ctx context.Context) {
	periodic.Every(ctx, expireInterval, func() { d.resultStore.Expire(d.Now()) })
}

// storedResultsKey returns the key of a request's stored results. Its digest covers the
// request's input and the definitions of its stages and their models.
func storedResultsKey(s *session) results.Request {
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

// storeResult stores a stage's result at peer daemons. A failure is only logged, since
// without the result a retry of the request runs the stage again.
func (d *Daemon) storeResult(s *session, a request.StoreResult) {
	ctx, cancel := clock.WithTimeout(context.Background(), storeResultTimeout)
	defer cancel()
	n, err := d.resultService.Keep(ctx, storedResultsKey(s), a.Stage, a.Result, s.sub.Deadline.Add(s.sub.Pipeline.Deadline))
	if err != nil {
		d.log.Debug("result stored at fewer peers than intended", zap.String("request", s.id), zap.Int("copies", n), zap.Error(err))
	}
}

// fetchStoredResults fetches the results of earlier requests with the same key. It skips
// keys younger than resumeMinKeyAge, which have no results yet.
func (d *Daemon) fetchStoredResults(s *session) map[string]json.RawMessage {
	if !mayHaveStoredResults(s.sub) {
		return nil
	}
	ctx, cancel := clock.WithTimeout(context.Background(), resumeTimeout)
	defer cancel()
	stored := make(map[string]json.RawMessage)
	for stage, result := range d.resultService.Fetch(ctx, storedResultsKey(s)) {
		stored[stage] = result
	}
	return stored
}

func mayHaveStoredResults(sub caller.Submission) bool {
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
