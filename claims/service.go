package claims

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/core/claim"
	"github.com/wheatseam/wheatseam/core/request"
	"github.com/wheatseam/wheatseam/peer"
)

// holderShards is the number of shards of the held keys, a power of two.
const holderShards = 16

// Limits of the memory for held keys. maxKeys and maxResultBytes are totals over
// all shards; maxResult is the size limit of one result in bytes.
const (
	maxKeys        = 400_000
	maxResultBytes = 64 << 20
	maxResult      = 64 << 10
)

// Caller sends a request to a peer daemon.
type Caller interface {
	Call(ctx context.Context, host, method string, req, resp proto.Message) error
}

// Config configures a Service.
type Config struct {
	Host        string
	Incarnation uint64
	// Started is the wall-clock time at which the process started.
	Started time.Time
	Caller  Caller
	Now     func() time.Time
	// ClockAndViewsTrusted reports whether this host's clock agrees with its
	// peers' clocks and its membership views have been renewed since the last
	// pause of the process.
	ClockAndViewsTrusted func() bool
	// OwnerUnavailable reports whether a process of a host has ended or does not
	// answer. Requests then no longer wait for the keys that it has claimed.
	OwnerUnavailable func(host string, incarnation uint64) bool
	Log              *zap.Logger
	Seed             uint64
}

// Service holds keys for all daemons and acquires claims for the requests of
// this host.
type Service struct {
	cfg Config

	// viewsMu guards views; grants hold it for reading.
	viewsMu         sync.RWMutex
	views           *claim.Views
	policy          claim.Policy
	lineage         claim.Lineage
	rejectionReason atomic.Pointer[string]

	holders [holderShards]holderShard

	// mu guards ownedClaims and rng.
	mu          sync.Mutex
	ownedClaims map[string]*ownedClaim
	rng         *rand.Rand
}

var _ request.Claimer = (*Service)(nil)

type holderShard struct {
	mu     sync.Mutex
	holder *claim.Holder
}

// New returns a service and registers its methods. The service neither acquires
// nor grants claims until Apply has been called and Run has synchronized with
// the other hosts.
func New(cfg Config, mux *peer.Mux) *Service {
	s := &Service{
		cfg: cfg, ownedClaims: make(map[string]*ownedClaim),
		rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Incarnation)),
	}
	s.register(mux)
	return s
}

// Apply adopts the host lists and the policy of a bundle. If the bundle's lineage
// lacks the host list that is active here, Apply logs an error and keeps the
// active list, which can no longer win a majority against the new one. The error
// is also included in Dump.
func (s *Service) Apply(b *bundle.Bundle) {
	lineage, err := claim.FromBundle(b)
	if err == nil {
		err = s.adoptHostLists(lineage, policyOf(b))
	}
	if err != nil {
		text := fmt.Sprintf("bundle %d: %v", b.Version, err)
		s.rejectionReason.Store(&text)
		s.cfg.Log.Error("rejected the host lists of a bundle; keeping the active ones", zap.Uint64("version", b.Version), zap.Error(err))
		return
	}
	s.rejectionReason.Store(nil)
}

func policyOf(b *bundle.Bundle) claim.Policy {
	return claim.Policy{
		GroupSize: b.Claims.GroupSize, Retention: b.Claims.Retention,
		MaxClockSkew: b.Claims.MaxClockSkew, MaxKeyAhead: b.Claims.MaxKeyAhead,
		MaxResult: maxResult, MaxKeys: maxKeys / holderShards, MaxBytes: maxResultBytes / holderShards,
	}
}

func (s *Service) adoptHostLists(l claim.Lineage, p claim.Policy) error {
	s.viewsMu.Lock()
	defer s.viewsMu.Unlock()
	if s.views != nil {
		if p != s.policy {
			s.cfg.Log.Warn("claim policy changed; the change takes effect after a restart")
		}
		if err := s.views.Adopt(s.cfg.Now(), l); err != nil {
			return err
		}
		s.lineage = l
		return nil
	}
	s.policy, s.lineage = p, l
	s.views = claim.NewViews(s.cfg.Host, s.cfg.Incarnation, s.cfg.Now(), l, p)
	for i := range s.holders {
		s.holders[i].holder = claim.NewHolder(s.cfg.Host, s.cfg.Incarnation, s.cfg.Started, p)
	}
	return nil
}

// Ready reports whether this host may acquire claims.
func (s *Service) Ready() bool {
	s.viewsMu.RLock()
	defer s.viewsMu.RUnlock()
	return s.views != nil && s.views.Ready() && s.cfg.ClockAndViewsTrusted()
}

// FullyReady reports whether this host may acquire claims and also grants every
// fresh key. After a start it abstains from keys created up to MaxClockSkew plus
// MaxKeyAhead after the start, since the previous process of the host may have
// granted them.
func (s *Service) FullyReady() bool {
	if !s.Ready() {
		return false
	}
	s.viewsMu.RLock()
	defer s.viewsMu.RUnlock()
	return s.cfg.Now().After(s.cfg.Started.Add(s.policy.MaxClockSkew + s.policy.MaxKeyAhead))
}

// HolderHosts returns the names of the hosts that hold a key of a customer, in
// order of preference. It returns nil for an invalid key.
func (s *Service) HolderHosts(customer, id string) []string {
	key, err := claim.ParseKey(customer, id)
	if err != nil {
		return nil
	}
	s.viewsMu.RLock()
	defer s.viewsMu.RUnlock()
	return claim.Group(s.lineage.Current.Hosts, key, s.policy.GroupSize)
}

// Dump is the diagnostic state of a Service for operators.
type Dump struct {
	Ready                bool   `json:"ready"`
	Epoch                uint64 `json:"epoch"`
	Synced               bool   `json:"synced"`
	ClockAndViewsTrusted bool   `json:"clock_and_views_trusted"`
	// RejectionReason says why the newest bundle's host lists were rejected.
	RejectionReason string `json:"refused,omitempty"`
	// Earlier holds the epochs of the earlier host lists in the bundle.
	Earlier []uint64    `json:"earlier_epochs"`
	Held    claim.Stats `json:"held"`
	// Owned is the number of claims that requests of this host own.
	Owned int `json:"owned"`
}

// Dump returns the diagnostic state for operators.
func (s *Service) Dump() Dump {
	d := Dump{Ready: s.Ready(), ClockAndViewsTrusted: s.cfg.ClockAndViewsTrusted()}
	if text := s.rejectionReason.Load(); text != nil {
		d.RejectionReason = *text
	}
	s.viewsMu.RLock()
	defer s.viewsMu.RUnlock()
	if s.views == nil {
		return d
	}
	d.Epoch, d.Synced = s.views.Epoch(), s.views.Status().Synced
	for _, v := range s.lineage.Earlier {
		d.Earlier = append(d.Earlier, v.Epoch)
	}
	for i := range s.holders {
		d.Held = addStats(d.Held, s.holders[i].stats())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	d.Owned = len(s.ownedClaims)
	return d
}

func (h *holderShard) stats() claim.Stats {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.holder.Stats()
}

func addStats(a, b claim.Stats) claim.Stats {
	a.Granted += b.Granted
	a.Recorded += b.Recorded
	a.Released += b.Released
	a.Bytes += b.Bytes
	if a.Oldest.IsZero() || !b.Oldest.IsZero() && b.Oldest.Before(a.Oldest) {
		a.Oldest = b.Oldest
	}
	return a
}
