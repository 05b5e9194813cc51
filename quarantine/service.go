package quarantine

import (
	"context"
	"encoding/binary"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/core/crash"
	"github.com/wheatseam/wheatseam/core/member"
	"github.com/wheatseam/wheatseam/core/poison"
	"github.com/wheatseam/wheatseam/fleet"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/peer"
	"github.com/wheatseam/wheatseam/wire"
)

// Members gives access to the hosts of the fleet.
type Members interface {
	// Reachable returns the hosts that may be called, this one included.
	Reachable() []fleet.Host
	// Neighbours returns the hosts to which this one sends verdicts.
	Neighbours() []string
	// SetSlot replaces the value that this host's heartbeats carry in a slot.
	SetSlot(id member.SlotID, value []byte)
}

// Replicas checks whether a replica's process has crashed.
type Replicas interface {
	// CheckCrash finds out whether an address refuses connections. The error is the reason
	// for which no connection was established.
	CheckCrash(ctx context.Context, address string) (crash.CheckResult, error)
}

// Config holds the dependencies of a Service.
type Config struct {
	// Self is the name of this host in the fleet.
	Self     string
	Members  Members
	Replicas Replicas
	Caller   peer.Caller
	// Mux is where New registers the methods that peers call.
	Mux    *peer.Mux
	Logger *zap.Logger
	// OnReplicaCrash is called for each replica that crashed while attempts were running on
	// it, and again if more of them become known. It may be nil and must not block or call
	// the Service.
	OnReplicaCrash func(crash.Confirmed)
	// OnCrashCheck is called with the result of each check whether a replica has crashed. It
	// may be nil and must not block.
	OnCrashCheck func(crash.CheckResult)
	// OnOutage is called for each outage that is found to have taken idle replicas of a service.
	// It may be nil and must not block or call the Service.
	OnOutage func(service string)
}

// Service is the quarantine of one daemon. All methods are safe for concurrent use.
type Service struct {
	cfg Config
	log *zap.Logger
	// quarantinedCount is the number of subjects that are refused. While it is 0, which
	// is the normal case, requests are checked without taking the lock.
	quarantinedCount atomic.Int64
	// interruptedReplicas is the number of replicas in interruptions, to be read without
	// the lock.
	interruptedReplicas atomic.Int64
	wakeup              chan struct{}

	answersMu sync.Mutex
	answers   crash.Answers

	mu            sync.Mutex
	detector      poison.Detector
	interruptions crash.Table
	// nextCheck is when the timer for the next check fires.
	nextCheck time.Time
	reports   []*report
	// outageChecks are the last checks of idle replicas, by service.
	outageChecks map[string]*outageCheck
	// watches are notified when their subject is quarantined.
	watches map[poison.Fingerprint]map[*watch]bool
	// publishedDigest is the digest that the heartbeats carry.
	publishedDigest uint64
	// lastExchange is when this daemon last started an exchange with a neighbour.
	lastExchange time.Time
}

// watch is a registration made with Service.Watch.
type watch struct{ notify func() }

// HeartbeatSlot returns the heartbeat slot that carries the digest of the verdicts.
func HeartbeatSlot() member.SlotConfig {
	return member.SlotConfig{ID: member.SlotQuarantine, MaxBytes: digestBytes}
}

const digestBytes = 8

// New returns a Service and registers its peer methods with cfg.Mux.
func New(cfg Config) *Service {
	s := &Service{
		cfg: cfg, log: cfg.Logger, wakeup: make(chan struct{}, 1),
		watches: map[poison.Fingerprint]map[*watch]bool{}, outageChecks: map[string]*outageCheck{},
	}
	peer.Handle(cfg.Mux, methodCrashes, func(_ context.Context, _ peer.Sender, m *wire.ReplicasEnded) (*wire.ReplicasEndedNoted, error) {
		s.evaluate(crashesFromWire(clock.Now(), m))
		return &wire.ReplicasEndedNoted{}, nil
	})
	peer.Handle(cfg.Mux, methodVerdicts, func(_ context.Context, from peer.Sender, m *wire.Verdicts) (*wire.Verdicts, error) {
		s.mergeVerdicts(from.Host, m.GetVerdicts())
		if !m.GetExchange() {
			return &wire.Verdicts{}, nil
		}
		return &wire.Verdicts{Verdicts: s.allVerdicts()}, nil
	})
	peer.Handle(cfg.Mux, methodTrial, func(_ context.Context, _ peer.Sender, m *wire.TrialRequest) (*wire.TrialReply, error) {
		f, ok := parseFingerprint(m.GetRequest())
		switch {
		case !ok:
		case m.GetUntried():
			s.returnTrial(f)
		default:
			return &wire.TrialReply{Granted: s.grantTrial(f)}, nil
		}
		return &wire.TrialReply{}, nil
	})
	return s
}

// SurvivalTime is how long a replica has to go on writing an answer until the run has survived
// the parts of its prompt. Replicas crash as they begin to write.
const SurvivalTime = 500 * time.Millisecond

// maxSurvivedParts is the maximum number of parts of one prompt that are recorded as survived, so
// that prompts of thousands of parts do not displace what others survived. The first parts are the
// ones that most requests share.
const maxSurvivedParts = 64

// PartsSurvived records that a run, which began to write its answer at the given time, survived
// the parts of its prompt: the answer is complete, or was still written SurvivalTime later.
func (s *Service) PartsSurvived(at time.Time, parts []poison.Fingerprint) {
	if len(parts) == 0 {
		return
	}
	parts = parts[:min(len(parts), maxSurvivedParts)]
	s.mu.Lock()
	changed := s.detector.RecordSurvival(clock.Now(), at, parts)
	s.mu.Unlock()
	s.applyVerdicts(s.cfg.Self, changed)
}

// RunSucceeded records a successful run of a request, which lifts any verdict on its content:
// the replica answered and did not crash.
func (s *Service) RunSucceeded(f poison.Fingerprint) {
	s.mu.Lock()
	changed := s.detector.RecordSuccess(clock.Now(), f)
	s.mu.Unlock()
	s.applyVerdicts(s.cfg.Self, changed)
}

// Refusing returns the verdicts because of which a request with the given subjects must not be
// sent to a replica.
func (s *Service) Refusing(subjects []poison.Fingerprint) []poison.Verdict {
	if s.quarantinedCount.Load() == 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	var out []poison.Verdict
	for _, f := range subjects {
		if v, quarantined := s.detector.Quarantined(now, f); quarantined {
			out = append(out, v)
		}
	}
	return out
}

// Quarantined returns the verdict because of which a request must not be sent to a
// replica. It returns false if the request is not quarantined.
func (s *Service) Quarantined(f poison.Fingerprint) (poison.Verdict, bool) {
	if s.quarantinedCount.Load() == 0 {
		return poison.Verdict{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.detector.Quarantined(clock.Now(), f)
}

// Watch calls notify once a request with the given subjects is to be refused. stop cancels the
// watch.
func (s *Service) Watch(subjects []poison.Fingerprint, notify func()) (stop func()) {
	w := &watch{notify}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range subjects {
		if s.watches[f] == nil {
			s.watches[f] = map[*watch]bool{}
		}
		s.watches[f][w] = true
	}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, f := range subjects {
			delete(s.watches[f], w)
			if len(s.watches[f]) == 0 {
				delete(s.watches, f)
			}
		}
	}
}

// RequestTrial asks for a trial run with a quarantined subject, which checks whether the
// verdict was wrong. Only the first coordinator is asked; if it does not answer, the trial
// is denied.
func (s *Service) RequestTrial(ctx context.Context, v poison.Verdict) bool {
	if v.RetryAfter(clock.Now()) > 0 {
		return false
	}
	return s.callFirstCoordinator(ctx, &wire.TrialRequest{Request: v.Subject[:]}, s.grantTrial)
}

// ReturnTrial returns a trial that RequestTrial was granted but that did not lead to a run.
func (s *Service) ReturnTrial(f poison.Fingerprint) {
	go s.callFirstCoordinator(context.Background(), &wire.TrialRequest{Request: f[:], Untried: true}, s.returnTrial)
}

// callFirstCoordinator sends a trial request to the first coordinator, or calls local if
// that is this host. It returns whether the trial was granted.
func (s *Service) callFirstCoordinator(ctx context.Context, req *wire.TrialRequest, local func(poison.Fingerprint) bool) bool {
	coordinators := s.coordinators()
	if len(coordinators) == 0 {
		return false
	}
	f, coordinator := poison.Fingerprint(req.GetRequest()), coordinators[0].Name
	if coordinator == s.cfg.Self {
		return local(f)
	}
	ctx, cancel := clock.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply := &wire.TrialReply{}
	if err := s.cfg.Caller.Call(ctx, coordinator, methodTrial, req, reply); err != nil {
		s.log.Info("trial request failed", zap.String("peer", coordinator), zap.Stringer("content", f), zap.Bool("untried", req.GetUntried()), zap.Error(err))
		return false
	}
	return reply.GetGranted()
}

// grantTrial grants a trial if one is due, and returns whether it did.
func (s *Service) grantTrial(f poison.Fingerprint) bool {
	s.mu.Lock()
	v, granted := s.detector.GrantTrial(clock.Now(), f)
	s.mu.Unlock()
	if granted {
		s.applyVerdicts(s.cfg.Self, []poison.Verdict{v})
	}
	return granted
}

// returnTrial records that a granted trial did not lead to a run.
func (s *Service) returnTrial(f poison.Fingerprint) bool {
	s.mu.Lock()
	v, changed := s.detector.ReturnTrial(f)
	s.mu.Unlock()
	if changed {
		s.applyVerdicts(s.cfg.Self, []poison.Verdict{v})
	}
	return changed
}

// publishDigest puts the digest of the verdicts on the heartbeats if it has changed. The
// caller holds the lock.
func (s *Service) publishDigest(now time.Time) {
	digest := s.detector.Digest(now)
	if digest == s.publishedDigest {
		return
	}
	s.publishedDigest = digest
	s.cfg.Members.SetSlot(member.SlotQuarantine, binary.LittleEndian.AppendUint64(nil, digest))
}

// Dump is the state shown to operators.
type Dump struct {
	Stats poison.Stats `json:"stats"`
	// Verdicts are all retained verdicts, including lifted ones.
	Verdicts []DumpedVerdict `json:"verdicts"`
	Deciders []string        `json:"deciders"`
	// Interrupted are the replicas at which attempts of this host ended without an answer.
	Interrupted []crash.State `json:"interrupted"`
}

// DumpedVerdict is a verdict as shown to operators.
type DumpedVerdict struct {
	// Content is the subject, and Kind what it is: a content or a part of prompts.
	Content  string  `json:"content"`
	Kind     string  `json:"kind"`
	Round    uint32  `json:"round"`
	Lifted   bool    `json:"lifted"`
	Doubtful bool    `json:"doubtful"`
	Trials   uint32  `json:"trials"`
	Age      float64 `json:"age_s"`
	// SurvivedAge is the age of the last run with the subject that is known to have survived;
	// absent if none is.
	SurvivedAge float64 `json:"survived_age_s,omitempty"`
	// Crashes are the replica crashes with runs of the subject that this host knows of, with
	// the contents of the lost runs; coordinators know all of them.
	Crashes []string `json:"ends,omitempty"`
}

// Dump returns the state shown to operators.
func (s *Service) Dump() Dump {
	d := Dump{Verdicts: []DumpedVerdict{}}
	for _, h := range s.coordinators() {
		d.Deciders = append(d.Deciders, h.Name)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	d.Stats, d.Interrupted = s.detector.Stats(), s.interruptions.States(now)
	for _, v := range s.detector.Verdicts() {
		d.Verdicts = append(d.Verdicts, DumpedVerdict{
			Content: v.Subject.String(), Kind: v.Kind.String(), Round: v.Round, Lifted: v.Lifted, Doubtful: v.Doubtful, Trials: v.Trials,
			Age: now.Sub(v.QuarantinedAt).Seconds(), SurvivedAge: survivedAge(now, v).Seconds(), Crashes: s.describeCrashes(now, v.Subject),
		})
	}
	return d
}

// survivedAge is the age of the last run that is known to have survived; 0 if none is.
func survivedAge(now time.Time, v poison.Verdict) time.Duration {
	if v.LastSuccess.IsZero() {
		return 0
	}
	return now.Sub(v.LastSuccess)
}

// QuarantinedCounts returns the number of quarantined contents and parts of prompts.
func (s *Service) QuarantinedCounts() (contents, parts int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.updateQuarantinedCount(clock.Now()) // some verdicts may have expired
}
