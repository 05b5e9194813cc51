package results

import (
	"context"
	"errors"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wheatseam/wheatseam/peer"
	"github.com/wheatseam/wheatseam/wire"
)

// RPC methods between daemons.
const (
	methodKeep  = "results.keep"
	methodFetch = "results.fetch"
)

const (
	// MaxResultBytes is the size limit of one result. Larger ones are not kept.
	MaxResultBytes = 256 << 10
	// maxCopies is the number of peer daemons that keep a result.
	maxCopies = 2
	// maxTTL bounds the time for which a sender may have a result kept.
	maxTTL = 5 * time.Minute
)

// Caller sends a request to a peer daemon.
type Caller interface {
	Call(ctx context.Context, host, method string, req, resp proto.Message) error
}

// HostsFor returns the names of the hosts that keep the results of a key, in
// order of preference and spread over failure domains. It returns the same hosts
// at every daemon that has the same bundle.
type HostsFor func(customer, key string) []string

// Config configures a Service.
type Config struct {
	// Host is this host's name.
	Host     string
	Caller   Caller
	HostsFor HostsFor
	Store    *Store
	Now      func() time.Time
}

// Service keeps results at peer daemons and on their behalf. It is safe for
// concurrent use.
type Service struct{ cfg Config }

// NewService returns a service and registers its RPC methods.
func NewService(cfg Config, mux *peer.Mux) *Service {
	s := &Service{cfg: cfg}
	peer.Handle(mux, methodKeep, s.serveKeep)
	peer.Handle(mux, methodFetch, s.serveFetch)
	return s
}

// ErrTooLarge is returned for a result over MaxResultBytes.
var ErrTooLarge = errors.New("result too large to keep")

// Keep stores a stage's result at other hosts until the given time, for at most 5
// minutes, and returns the number of hosts that have stored it. It returns
// ErrTooLarge for a result over MaxResultBytes, and else the joined errors of the
// hosts that failed. A host that has no memory left for the result is not counted, but
// is not an error either.
func (s *Service) Keep(ctx context.Context, r Request, stage string, result []byte, until time.Time) (int, error) {
	if len(result) > MaxResultBytes {
		return 0, ErrTooLarge
	}
	ttl := until.Sub(s.cfg.Now())
	if ttl <= 0 {
		return 0, nil
	}
	req := &wire.KeepRequest{
		Customer: r.Customer, Key: r.Key, Digest: r.Digest[:], Stage: stage,
		Result: result, TtlMs: uint32(min(ttl, maxTTL).Milliseconds()),
	}
	return s.storeCopies(ctx, s.copyHosts(r), req)
}

// copyHosts returns the hosts that keep a copy. This host is excluded: if it failed, the
// request and the copy would be lost together.
func (s *Service) copyHosts(r Request) []string {
	var hosts []string
	for _, h := range s.cfg.HostsFor(r.Customer, r.Key) {
		if h != s.cfg.Host && len(hosts) < maxCopies {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

func (s *Service) storeCopies(ctx context.Context, hosts []string, req *wire.KeepRequest) (int, error) {
	var (
		wg     sync.WaitGroup
		mu     sync.Mutex
		stored int
		errs   []error
	)
	for _, h := range hosts {
		wg.Add(1)
		go func() {
			defer wg.Done()
			var resp wire.KeepResponse
			err := s.cfg.Caller.Call(ctx, h, methodKeep, req, &resp)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				errs = append(errs, err)
			} else if resp.Kept {
				stored++
			}
		}()
	}
	wg.Wait()
	return stored, errors.Join(errs...)
}

// Fetch asks the hosts that may keep results of r and returns the results by
// stage that have arrived by the end of ctx. It reports no errors, since a host
// that doesn't answer only means that a stage has to run again.
func (s *Service) Fetch(ctx context.Context, r Request) map[string][]byte {
	hosts := s.cfg.HostsFor(r.Customer, r.Key)
	answers := make(chan map[string][]byte, len(hosts))
	for _, h := range hosts {
		go func() { answers <- s.fetchFrom(ctx, h, r) }()
	}
	all := make(map[string][]byte)
	for range hosts {
		select {
		case one := <-answers:
			for stage, result := range one {
				all[stage] = result
			}
		case <-ctx.Done():
			return all
		}
	}
	return all
}

func (s *Service) fetchFrom(ctx context.Context, host string, r Request) map[string][]byte {
	if host == s.cfg.Host {
		return s.cfg.Store.Get(s.cfg.Now(), r)
	}
	req := &wire.FetchRequest{Customer: r.Customer, Key: r.Key, Digest: r.Digest[:]}
	var resp wire.FetchResponse
	if err := s.cfg.Caller.Call(ctx, host, methodFetch, req, &resp); err != nil {
		return nil
	}
	out := make(map[string][]byte, len(resp.Results))
	for _, one := range resp.Results {
		out[one.Stage] = one.Result
	}
	return out
}

// errDigestLength is returned for a request whose digest has a wrong length.
var errDigestLength = errors.New("digest must have 32 bytes")

func (s *Service) serveKeep(_ context.Context, _ peer.Sender, req *wire.KeepRequest) (*wire.KeepResponse, error) {
	if len(req.Digest) != len(Digest{}) {
		return nil, errDigestLength
	}
	if len(req.Result) > MaxResultBytes {
		return nil, ErrTooLarge
	}
	now := s.cfg.Now()
	until := now.Add(min(time.Duration(req.TtlMs)*time.Millisecond, maxTTL))
	r := Request{Customer: req.Customer, Key: req.Key, Digest: Digest(req.Digest)}
	return &wire.KeepResponse{Kept: s.cfg.Store.Put(now, r, req.Stage, req.Result, until)}, nil
}

func (s *Service) serveFetch(_ context.Context, _ peer.Sender, req *wire.FetchRequest) (*wire.FetchResponse, error) {
	if len(req.Digest) != len(Digest{}) {
		return nil, errDigestLength
	}
	r := Request{Customer: req.Customer, Key: req.Key, Digest: Digest(req.Digest)}
	resp := &wire.FetchResponse{}
	for stage, result := range s.cfg.Store.Get(s.cfg.Now(), r) {
		resp.Results = append(resp.Results, &wire.StageResult{Stage: stage, Result: result})
	}
	return resp, nil
}
