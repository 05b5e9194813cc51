package quarantine

import (
	"context"
	"encoding/binary"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/core/member"
	"github.com/wheatseam/wheatseam/core/poison"
	"github.com/wheatseam/wheatseam/fleet"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/peer"
	"github.com/wheatseam/wheatseam/wire"
)

// Members names the hosts of the fleet.
type Members interface {
	// Reachable returns the hosts that may be called, this one included.
	Reachable() []fleet.Host
	// Neighbours returns the hosts that this one tells of verdicts.
	Neighbours() []string
	// SetSlot replaces this host's value on the heartbeats.
	SetSlot(id member.SlotID, value []byte)
}

// Replicas asks whether a replica's process has ended.
type Replicas interface {
	// Refused says whether nobody listens at an address; the error that this is not
	// known.
	RefusesConnections(ctx context.Context, address string) (bool, error)
}

// Config is what a Service needs.
type Config struct {
	// Self is this host's name among its fellows.
	Self     string
	Members  Members
	Replicas Replicas
	Caller   peer.Caller
	// Mux takes the methods that fellows may call.
	Mux    *peer.Mux
	Logger *zap.Logger
	// Ended is told of each replica that ended under attempts; it may be nil and
	// must not block.
	OnReplicaCrash func(poison.Crash)
}

// Service is one daemon's part. All methods are safe for concurrent use.
type Service struct {
	cfg Config
	log *zap.Logger
	// condemned is the number of verdicts that refuse a request: while it is 0, as
	// on most days, no request waits for the lock.
	condemned atomic.Int64
	work      chan struct{}

	mu      sync.Mutex
	machine poison.Detector
	ending  map[string]*ending // by replica
	reports []*report
	// watches are told when their request is condemned.
	watches map[poison.Fingerprint]map[*watch]bool
	// onSlot is the digest that stands on the heartbeats.
	onSlot uint64
	// exchanged is when verdicts were last exchanged with a neighbour.
	exchanged time.Time
}

// watch waits for a verdict.
type watch struct{ condemned func() }

// Extension is the service's place on the heartbeats: the digest of its verdicts.
func Extension() member.SlotConfig {
	return member.SlotConfig{ID: member.SlotQuarantine, MaxBytes: digestBytes}
}

const digestBytes = 8

// New returns a service and registers its methods.
func New(cfg Config) *Service {
	s := &Service{
		cfg: cfg, log: cfg.Logger, work: make(chan struct{}, 1), ending: map[string]*ending{},
		watches: map[poison.Fingerprint]map[*watch]bool{},
	}
	peer.Handle(cfg.Mux, methodEnded, func(_ context.Context, _ peer.Sender, m *wire.ReplicasEnded) (*wire.ReplicasEndedNoted, error) {
		s.judge(endsFromWire(clock.Now(), m))
		return &wire.ReplicasEndedNoted{}, nil
	})
	peer.Handle(cfg.Mux, methodVerdicts, func(_ context.Context, from peer.Sender, m *wire.Verdicts) (*wire.Verdicts, error) {
		s.learn(from.Host, m.GetVerdicts())
		if !m.GetExchange() {
			return &wire.Verdicts{}, nil
		}
		return &wire.Verdicts{Verdicts: s.allVerdicts()}, nil
	})
	peer.Handle(cfg.Mux, methodTrial, func(_ context.Context, _ peer.Sender, m *wire.TrialRequest) (*wire.TrialReply, error) {
		f, ok := fingerprint(m.GetRequest())
		switch {
		case !ok:
		case m.GetUntried():
			s.takeBack(f)
		default:
			return &wire.TrialReply{Granted: s.grant(f)}, nil
		}
		return &wire.TrialReply{}, nil
	})
	return s
}

// Served takes a run that ended well: the replica answered and lives.
func (s *Service) RunSucceeded(f poison.Fingerprint) {
	s.mu.Lock()
	changed := s.machine.RecordSuccess(clock.Now(), f)
	s.mu.Unlock()
	s.changed(s.cfg.Self, changed)
}

// Condemned returns the verdict by which a request must not reach a replica.
func (s *Service) Quarantined(f poison.Fingerprint) (poison.Verdict, bool) {
	if s.condemned.Load() == 0 {
		return poison.Verdict{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.Quarantined(clock.Now(), f)
}

// Watch calls condemned, once, when the request is; stop ends that.
func (s *Service) Watch(f poison.Fingerprint, condemned func()) (stop func()) {
	w := &watch{condemned}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.watches[f] == nil {
		s.watches[f] = map[*watch]bool{}
	}
	s.watches[f][w] = true
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.watches[f], w)
		if len(s.watches[f]) == 0 {
			delete(s.watches, f)
		}
	}
}

// Try says whether a condemned request may be run once more, to see whether the
// verdict was wrong. The first of the deciding hosts grants that; when it does not
// answer, nobody does.
func (s *Service) RequestTrial(ctx context.Context, v poison.Verdict) bool {
	if v.RetryAfter(clock.Now()) > 0 {
		return false
	}
	return s.askFirst(ctx, &wire.TrialRequest{Request: v.Request[:]}, s.grant)
}

// Untried tells that a trial which Try granted came to no run.
func (s *Service) ReturnTrial(f poison.Fingerprint) {
	go s.askFirst(context.Background(), &wire.TrialRequest{Request: f[:], Untried: true}, s.takeBack)
}

// askFirst asks the first of the deciding hosts about a trial; here does it when that
// is this host.
func (s *Service) askFirst(ctx context.Context, req *wire.TrialRequest, here func(poison.Fingerprint) bool) bool {
	deciders := s.deciders()
	if len(deciders) == 0 {
		return false
	}
	f, first := poison.Fingerprint(req.GetRequest()), deciders[0].Name
	if first == s.cfg.Self {
		return here(f)
	}
	ctx, cancel := clock.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply := &wire.TrialReply{}
	if err := s.cfg.Caller.Call(ctx, first, methodTrial, req, reply); err != nil {
		s.log.Info("no answer about a trial", zap.String("peer", first), zap.Stringer("content", f), zap.Bool("untried", req.GetUntried()), zap.Error(err))
		return false
	}
	return reply.GetGranted()
}

// grant decides on a trial.
func (s *Service) grant(f poison.Fingerprint) bool {
	s.mu.Lock()
	v, granted := s.machine.GrantTrial(clock.Now(), f)
	s.mu.Unlock()
	if granted {
		s.changed(s.cfg.Self, []poison.Verdict{v})
	}
	return granted
}

// takeBack notes that a trial came to no run.
func (s *Service) takeBack(f poison.Fingerprint) bool {
	s.mu.Lock()
	v, changed := s.machine.ReturnTrial(f)
	s.mu.Unlock()
	if changed {
		s.changed(s.cfg.Self, []poison.Verdict{v})
	}
	return changed
}

// setSlot puts the digest of the verdicts on the heartbeats; the lock is held.
func (s *Service) setSlot(now time.Time) {
	digest := s.machine.Digest(now)
	if digest == s.onSlot {
		return
	}
	s.onSlot = digest
	s.cfg.Members.SetSlot(member.SlotQuarantine, binary.LittleEndian.AppendUint64(nil, digest))
}

// Dump is the state for operators.
type Dump struct {
	Stats poison.Stats `json:"stats"`
	// Verdicts are those that are kept, also lifted ones.
	Verdicts []DumpedVerdict `json:"verdicts"`
	Deciders []string        `json:"deciders"`
}

// DumpedVerdict is a verdict as operators see it.
type DumpedVerdict struct {
	Content  string  `json:"content"`
	Round    uint32  `json:"round"`
	Lifted   bool    `json:"lifted"`
	Doubtful bool    `json:"doubtful"`
	Trials   uint32  `json:"trials"`
	Age      float64 `json:"age_s"`
	// Ends are the ends of replicas that this host knows of; hosts that decide know
	// all.
	Ends []string `json:"ends,omitempty"`
}

// Dump returns the state.
func (s *Service) Dump() Dump {
	d := Dump{Verdicts: []DumpedVerdict{}}
	for _, h := range s.deciders() {
		d.Deciders = append(d.Deciders, h.Name)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	d.Stats = s.machine.Stats()
	for _, v := range s.machine.Verdicts() {
		d.Verdicts = append(d.Verdicts, DumpedVerdict{
			Content: v.Request.String(), Round: v.Round, Lifted: v.Lifted, Doubtful: v.Doubtful, Trials: v.Trials,
			Age: now.Sub(v.QuarantinedAt).Seconds(), Ends: s.endsUnder(now, v.Request),
		})
	}
	return d
}

// Refused is the number of requests that are condemned.
func (s *Service) QuarantinedCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count(clock.Now()) // some may have been forgotten
	return int(s.condemned.Load())
}
