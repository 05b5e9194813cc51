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
	// keptBytes bounds the memory of results kept for fellow daemons.
	keptBytes = 32 << 20
	// keepTimeout bounds the storing of a result at fellow daemons.
	keepTimeout = time.Second
	// resumeAge is the age of an idempotency key from which an earlier try
	// may have left results.
	resumeAge = 20 * time.Millisecond
	// resumeTimeout bounds the wait for kept results.
	resumeTimeout = 50 * time.Millisecond
	// expireEvery is how often results of no more use are forgotten.
	expireEvery = time.Second
)

// addKept makes the service that keeps stage results at fellow daemons.
func (d *Daemon) addKept() {
	d.keptStore = results.NewStore(keptBytes)
	d.kept = results.NewService(results.Config{
		Host: d.settings.Host, Caller: lateCaller{d}, Place: d.claims.Place, Store: d.keptStore, Now: d.Now,
	}, d.peerMux)
}

// lateCaller calls fellow daemons through the transport, which is opened after
// the parts that use it are made.
type lateCaller struct{ d *Daemon }

// Call implements results.Caller.
func (c lateCaller) Call(ctx context.Context, host, method string, req, resp proto.Message) error {
	return c.d.peers.Call(ctx, host, method, req, resp)
}

// expireKept forgets kept results of no more use until ctx ends.
func (d *Daemon) expireKept(ctx context.Context) {
	periodic.Do(ctx, expireEvery, func() { d.keptStore.Expire(d.Now()) })
}

// keptRequest names the results of a request: bound to its input and to the
// definitions of its stages and their models.
func keptRequest(s *session) results.Request {
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

// keep stores a stage's result at fellow daemons. What is lost costs work only.
func (d *Daemon) keep(s *session, a request.StoreResult) {
	ctx, cancel := clock.WithTimeout(context.Background(), keepTimeout)
	defer cancel()
	n, err := d.kept.Keep(ctx, keptRequest(s), a.Stage, a.Result, s.sub.Deadline.Add(s.sub.Pipeline.Deadline))
	if err != nil {
		d.log.Debug("result kept at fewer hosts", zap.String("request", s.id), zap.Int("copies", n), zap.Error(err))
	}
}

// resume fetches what earlier tries at the same key have left. A fresh key has
// none, so only older ones ask.
func (d *Daemon) resume(s *session) map[string]json.RawMessage {
	if !mayResume(s.sub) {
		return nil
	}
	ctx, cancel := clock.WithTimeout(context.Background(), resumeTimeout)
	defer cancel()
	kept := make(map[string]json.RawMessage)
	for stage, result := range d.kept.Fetch(ctx, keptRequest(s)) {
		kept[stage] = result
	}
	return kept
}

func mayResume(sub caller.Submission) bool {
	if sub.IdempotencyKey == "" {
		return false
	}
	_, made, err := uuidtime.Parse(sub.IdempotencyKey)
	if err != nil || sub.Arrived.Sub(made) < resumeAge {
		return false
	}
	for _, s := range sub.Pipeline.Stages {
		if s.KeepResult {
			return true
		}
	}
	return false
}
