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

// RPC methods between daemons. The response holds the machine's answer to the
// sender, or is empty if there is none.
const (
	methodReport = "share.report"
	methodReply  = "share.reply"
)

const (
	tickInterval    = 50 * time.Millisecond
	measureInterval = 250 * time.Millisecond
	callTimeout     = 2 * time.Second
	// maxCallsInFlight bounds the calls in flight. Further messages are dropped,
	// since the machine resends those that matter.
	maxCallsInFlight = 64
)

// Admitter measures demand and enforces the current shares.
type Admitter interface {
	Demand(now time.Time) admit.Demand
	SetShares(s admit.Shares)
}

// Config configures a Service.
type Config struct {
	Host string
	// Incarnation is the start time of this process in Unix milliseconds.
	Incarnation uint64
	Admitter    Admitter
	// LiveHosts returns the names of the hosts believed to be alive; nil means
	// that all are.
	LiveHosts func() []string
	Mux       *peer.Mux
	// Seed seeds the random choices.
	Seed uint64
}

// Service computes this daemon's shares. It is safe for concurrent use.
type Service struct {
	cfg       Config
	callSlots chan struct{}

	mu        sync.Mutex
	machine   *share.Machine
	resources []share.Resource
	view      *share.View
	// peerCaller is nil until Run is called.
	peerCaller peer.Caller
}

// New returns a service and registers its methods. Run starts it.
func New(cfg Config) *Service {
	now := clock.Now()
	machine := share.New(now, share.NewConfig(cfg.Host, cfg.Incarnation, 1), rand.New(rand.NewPCG(cfg.Seed, cfg.Incarnation)))
	s := &Service{cfg: cfg, callSlots: make(chan struct{}, maxCallsInFlight), machine: machine}
	peer.Handle(cfg.Mux, methodReport, s.serveReport)
	peer.Handle(cfg.Mux, methodReply, s.serveReply)
	return s
}

// Apply sets the hosts, pools and rate-limited customers from a bundle. It must
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
	s.stepMachine(e)
}

// Run drives the machine and sends its messages through caller until ctx ends.
func (s *Service) Run(ctx context.Context, caller peer.Caller) {
	s.mu.Lock()
	s.peerCaller = caller
	s.mu.Unlock()
	tick, measure := time.NewTicker(tickInterval), time.NewTicker(measureInterval)
	defer tick.Stop()
	defer measure.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			s.sendActions(ctx, s.stepMachine(share.TimerFired{}))
		case <-measure.C:
			if s.cfg.LiveHosts != nil {
				s.stepMachine(share.LiveHostsChanged{Hosts: s.cfg.LiveHosts()})
			}
			s.sendActions(ctx, s.stepMachine(s.measuredDemand()))
		}
	}
}

func (s *Service) measuredDemand() share.DemandMeasured {
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

// stepMachine passes an event to the machine and gives the Admitter the shares if
// they have changed.
func (s *Service) stepMachine(e share.Event) []share.Action {
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

// sendActions sends messages without waiting for their responses.
func (s *Service) sendActions(ctx context.Context, actions []share.Action) {
	s.mu.Lock()
	caller := s.peerCaller
	s.mu.Unlock()
	if caller == nil {
		return
	}
	for _, a := range actions {
		select {
		case s.callSlots <- struct{}{}:
		default:
			continue
		}
		go func() {
			defer func() { <-s.callSlots }()
			s.sendAction(ctx, caller, a)
		}()
	}
}

// sendAction sends a message and handles the response. A failed call counts as a
// lost message.
func (s *Service) sendAction(ctx context.Context, caller peer.Caller, a share.Action) {
	ctx, cancel := clock.WithTimeout(ctx, callTimeout)
	defer cancel()
	switch a := a.(type) {
	case share.SendReport:
		reply := &wire.ShareReply{}
		if caller.Call(ctx, a.To, methodReport, a.Report, reply) == nil && !isEmpty(reply) {
			s.sendActions(ctx, s.stepMachine(share.ReplyReceived{From: a.To, Reply: reply}))
		}
	case share.SendReply:
		report := &wire.ShareReport{}
		if caller.Call(ctx, a.To, methodReply, a.Reply, report) == nil && !isEmpty(report) {
			s.sendActions(ctx, s.stepMachine(share.ReportReceived{From: a.To, Report: report}))
		}
	}
}

func isEmpty(m proto.Message) bool { return proto.Size(m) == 0 }

func (s *Service) serveReport(_ context.Context, from peer.Sender, r *wire.ShareReport) (*wire.ShareReply, error) {
	reply, ok := s.stepForAnswer(share.ReportReceived{From: from.Host, Report: r}, func(a share.Action) bool {
		reply, ok := a.(share.SendReply)
		return ok && reply.To == from.Host
	}).(share.SendReply)
	if !ok {
		return &wire.ShareReply{}, nil
	}
	return reply.Reply, nil
}

func (s *Service) serveReply(_ context.Context, from peer.Sender, r *wire.ShareReply) (*wire.ShareReport, error) {
	report, ok := s.stepForAnswer(share.ReplyReceived{From: from.Host, Reply: r}, func(a share.Action) bool {
		report, ok := a.(share.SendReport)
		return ok && report.To == from.Host
	}).(share.SendReport)
	if !ok {
		return &wire.ShareReport{}, nil
	}
	return report.Report, nil
}

// stepForAnswer passes an event from a host to the machine. It returns the action
// that answers that host, or nil if there is none, and carries out all others.
func (s *Service) stepForAnswer(e share.Event, isAnswer func(share.Action) bool) share.Action {
	var answer share.Action
	var rest []share.Action
	for _, a := range s.stepMachine(e) {
		if isAnswer(a) {
			answer = a
			continue
		}
		rest = append(rest, a)
	}
	s.sendActions(context.Background(), rest)
	return answer
}

// ResourceShare is the entry of one resource in the operators' dump.
type ResourceShare struct {
	Kind share.Kind `json:"kind"`
	Name string     `json:"name"`
	// Share is this daemon's fraction of the limit, from 0 to 1.
	Share float64 `json:"share"`
}

// ResourceShares returns the current share of each resource.
func (s *Service) ResourceShares() []ResourceShare {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	v := s.machine.View(now)
	out := make([]ResourceShare, 0, len(s.resources))
	for _, r := range s.resources {
		out = append(out, ResourceShare{r.Kind, r.Name, float64(v.Millionths(now, r)) / share.FullShare})
	}
	return out
}
