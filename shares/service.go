package shares

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/core/admit"
	"github.com/wheatseam/wheatseam/core/share"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/peer"
	"github.com/wheatseam/wheatseam/wire"
)

// Methods between daemons. Each may answer with the message that it gives rise
// to, or with an empty one.
const (
	methodReport = "share.report"
	methodReply  = "share.reply"
)

const (
	tickEvery    = 50 * time.Millisecond
	measureEvery = 250 * time.Millisecond
	callTimeout  = 2 * time.Second
	// maxCalls bounds the calls in flight. A message beyond is not sent: the
	// machine repeats what matters.
	maxCalls = 64
)

// Admitter measures demand and is given the shares in force.
type Admitter interface {
	Demand(now time.Time) admit.Demand
	SetShares(s admit.Shares)
}

// Config configures a Service.
type Config struct {
	Host string
	// Incarnation is the start of this process in Unix milliseconds.
	Incarnation uint64
	Admitter    Admitter
	// Live names the hosts believed to be alive; nil means all.
	Live func() []string
	Mux  *peer.Mux
	// Seed of the random choices.
	Seed uint64
}

// Service is safe for concurrent use.
type Service struct {
	cfg   Config
	calls chan struct{}

	mu        sync.Mutex
	machine   *share.Machine
	resources []share.Resource
	view      *share.View
	// caller is nil until Run.
	caller peer.Caller
}

// New returns a service that has not started and registers its methods.
func New(cfg Config) *Service {
	now := clock.Now()
	machine := share.New(now, share.NewConfig(cfg.Host, cfg.Incarnation, 1), rand.New(rand.NewPCG(cfg.Seed, cfg.Incarnation)))
	s := &Service{cfg: cfg, calls: make(chan struct{}, maxCalls), machine: machine}
	peer.Handle(cfg.Mux, methodReport, s.serveReport)
	peer.Handle(cfg.Mux, methodReply, s.serveReply)
	return s
}

// Apply puts a bundle's hosts, pools and limited customers in force. It must
// be called after the Admitter's Apply.
func (s *Service) Apply(b *bundle.Bundle) {
	e := share.HostsChanged{}
	for _, h := range b.Hosts {
		e.Hosts = append(e.Hosts, h.Name)
	}
	for _, p := range b.Pools {
		e.Resources = append(e.Resources, share.Resource{Kind: share.Pool, Name: p.Name})
	}
	for _, c := range b.Customers {
		if c.RequestsPerSecond > 0 {
			e.Resources = append(e.Resources, share.Resource{Kind: share.Customer, Name: c.Name})
		}
	}
	s.mu.Lock()
	s.resources, s.view = e.Resources, nil
	s.mu.Unlock()
	s.step(e)
}

// Run drives the machine until ctx ends.
func (s *Service) Run(ctx context.Context, caller peer.Caller) {
	s.mu.Lock()
	s.caller = caller
	s.mu.Unlock()
	tick, measure := time.NewTicker(tickEvery), time.NewTicker(measureEvery)
	defer tick.Stop()
	defer measure.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			s.send(ctx, s.step(share.TimerFired{}))
		case <-measure.C:
			if s.cfg.Live != nil {
				s.step(share.LiveHostsChanged{Hosts: s.cfg.Live()})
			}
			s.send(ctx, s.step(s.demand()))
		}
	}
}

func (s *Service) demand() share.DemandMeasured {
	d := s.cfg.Admitter.Demand(clock.Now())
	out := make(map[share.Resource]float64, len(d.Pools)+len(d.Customers))
	for name, x := range d.Pools {
		out[share.Resource{Kind: share.Pool, Name: name}] = x
	}
	for name, x := range d.Customers {
		out[share.Resource{Kind: share.Customer, Name: name}] = x
	}
	return share.DemandMeasured{Demand: out}
}

// step feeds the machine and gives admission the shares when they changed.
func (s *Service) step(e share.Event) []share.Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	actions := s.machine.Step(now, e)
	if v := s.machine.View(now); v != s.view {
		s.view = v
		s.cfg.Admitter.SetShares(v)
	}
	return actions
}

// send carries messages out without waiting for them.
func (s *Service) send(ctx context.Context, actions []share.Action) {
	s.mu.Lock()
	caller := s.caller
	s.mu.Unlock()
	if caller == nil {
		return
	}
	for _, a := range actions {
		select {
		case s.calls <- struct{}{}:
		default:
			continue
		}
		go func() {
			defer func() { <-s.calls }()
			s.sendOne(ctx, caller, a)
		}()
	}
}

// sendOne sends a message and handles the one that comes back. A call that
// fails is a lost message.
func (s *Service) sendOne(ctx context.Context, caller peer.Caller, a share.Action) {
	ctx, cancel := clock.WithTimeout(ctx, callTimeout)
	defer cancel()
	switch a := a.(type) {
	case share.SendReport:
		reply := &wire.ShareReply{}
		if caller.Call(ctx, a.To, methodReport, a.Report, reply) == nil && !empty(reply) {
			s.send(ctx, s.step(share.ReplyReceived{From: a.To, Reply: reply}))
		}
	case share.SendReply:
		report := &wire.ShareReport{}
		if caller.Call(ctx, a.To, methodReply, a.Reply, report) == nil && !empty(report) {
			s.send(ctx, s.step(share.ReportReceived{From: a.To, Report: report}))
		}
	}
}

func empty(m proto.Message) bool { return proto.Size(m) == 0 }

func (s *Service) serveReport(_ context.Context, from peer.Sender, r *wire.ShareReport) (*wire.ShareReply, error) {
	reply, ok := s.answer(share.ReportReceived{From: from.Host, Report: r}, func(a share.Action) bool {
		reply, ok := a.(share.SendReply)
		return ok && reply.To == from.Host
	}).(share.SendReply)
	if !ok {
		return &wire.ShareReply{}, nil
	}
	return reply.Reply, nil
}

func (s *Service) serveReply(_ context.Context, from peer.Sender, r *wire.ShareReply) (*wire.ShareReport, error) {
	report, ok := s.answer(share.ReplyReceived{From: from.Host, Reply: r}, func(a share.Action) bool {
		report, ok := a.(share.SendReport)
		return ok && report.To == from.Host
	}).(share.SendReport)
	if !ok {
		return &wire.ShareReport{}, nil
	}
	return report.Report, nil
}

// answer passes what a host has sent to the machine. It returns the action that
// is the answer to that host, nil without one, and carries out all others.
func (s *Service) answer(e share.Event, isAnswer func(share.Action) bool) share.Action {
	var answer share.Action
	var rest []share.Action
	for _, a := range s.step(e) {
		if isAnswer(a) {
			answer = a
			continue
		}
		rest = append(rest, a)
	}
	s.send(context.Background(), rest)
	return answer
}

// State is what a dump shows of one resource.
type State struct {
	Kind share.Kind `json:"kind"`
	Name string     `json:"name"`
	// Share is this daemon's fraction of the limit.
	Share float64 `json:"share"`
}

// States returns the shares in force.
func (s *Service) States() []State {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	v := s.machine.View(now)
	out := make([]State, 0, len(s.resources))
	for _, r := range s.resources {
		out = append(out, State{r.Kind, r.Name, float64(v.Millionths(now, r)) / share.FullShare})
	}
	return out
}
