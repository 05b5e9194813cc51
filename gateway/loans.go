package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/core/intake"
	"github.com/wheatseam/wheatseam/fleet"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/peer"
	"github.com/wheatseam/wheatseam/wire"
)

const (
	methodBorrow = "gateway.borrow"
	// borrowInterval is the time between two rounds of requests for loans.
	borrowInterval = 500 * time.Millisecond
	// maxReplicasPerLoan limits the replicas in one call.
	maxReplicasPerLoan = 64
)

// borrowCalls asks peers for calls to the replicas whose announced limits leave this host none,
// has loans renewed that it uses, and returns the others.
func (g *Gateway) borrowCalls() {
	requests := g.wantedLoans()
	for _, h := range g.fleet.Reachable() {
		if m := requests[h.Name]; m != nil {
			go g.borrowFrom(h, m)
		}
	}
}

// loanRequests holds what to ask of peers, by name.
type loanRequests map[string]*wire.CallsWanted

// add adds what is wanted of a replica's calls.
func (r loanRequests) add(peer string, w *wire.ReplicaCallsWanted) {
	m := r[peer]
	if m == nil {
		m = &wire.CallsWanted{}
		r[peer] = m
	}
	if len(m.Replicas) < maxReplicasPerLoan {
		m.Replicas = append(m.Replicas, w)
	}
}

// wantedLoans returns what to ask of which peer. The calls that are returned no longer count here.
func (g *Gateway) wantedLoans() loanRequests {
	g.notices.mu.Lock()
	defer g.notices.mu.Unlock()
	limits, now := g.notices.announcedLimits.Limits(), clock.Now()
	if len(limits) == 0 || now.Sub(g.notices.lastBorrowed) < borrowInterval {
		return nil
	}
	g.notices.lastBorrowed = now
	shares := g.liveShares()
	if shares == nil {
		return nil
	}
	peers, reachable := g.peers(), g.isReachable()
	random := rand.Perm(len(peers))
	requests := loanRequests{}
	gaveUp := false
	for _, l := range limits {
		use, ok := g.callUse(shares, reachable, l)
		if !ok {
			continue
		}
		for _, r := range g.notices.loans.Return(now, l.Replica, use) {
			gaveUp = true
			g.log.Info("returned calls of a rate limit", zap.String("replica", l.Replica), zap.String("peer", r.Lender), zap.Int("kept", r.Keep.Calls))
			requests.add(r.Lender, &wire.ReplicaCallsWanted{Replica: l.Replica, Keeps: &wire.Loan{Calls: uint32(r.Keep.Calls), Id: r.Keep.ID}})
		}
		more, renew := g.notices.loans.Wanted(now, l.Replica, use)
		asked := map[string]bool{}
		if more {
			for _, i := range random[:min(use.LendersAsked(), len(random))] {
				asked[peers[i].Name] = true
				requests.add(peers[i].Name, &wire.ReplicaCallsWanted{Replica: l.Replica, More: true})
			}
		}
		for _, lender := range renew {
			if !asked[lender] {
				requests.add(lender, &wire.ReplicaCallsWanted{Replica: l.Replica})
			}
		}
	}
	if gaveUp {
		g.updateLimitShares()
	}
	return requests
}

// peers returns the other hosts that are alive.
func (g *Gateway) peers() []fleet.Host {
	var out []fleet.Host
	for _, h := range g.fleet.Reachable() {
		if h.Name != g.settings.Load().Host {
			out = append(out, h)
		}
	}
	return out
}

// callUse returns how much of its share of a limit this host uses; false for replicas that run
// stages, whose calls one host makes for all. The notices' lock must be held.
func (g *Gateway) callUse(shares *intake.Shares, reachable func(host string) bool, l intake.ReplicaLimit) (intake.Use, bool) {
	view := g.discovery.View()
	if callRole(view.Config, view.Replicas, l.Replica, false) != intake.Requester {
		return intake.Use{}, false
	}
	now := clock.Now()
	u := intake.Use{Share: shares.LimitQuota(l, intake.Requester)}
	u.Quota = g.notices.loans.Adjust(now, l.Replica, u.Share, reachable)
	limiter := g.limiters.Get(l.Replica)
	u.Begun, u.Blocked = limiter.CallsWithin(now, intake.LoanWindow), limiter.LimitedSince(now.Add(-2*borrowInterval))
	return u, true
}

// isReachable returns a function that reports whether a host is alive.
func (g *Gateway) isReachable() func(host string) bool {
	alive := map[string]bool{}
	for _, h := range g.fleet.Reachable() {
		alive[h.Name] = true
	}
	return func(host string) bool { return alive[host] }
}

// borrowFrom asks one peer for loans.
func (g *Gateway) borrowFrom(h fleet.Host, m *wire.CallsWanted) {
	askedAt := clock.Now()
	ctx, cancel := clock.WithTimeout(context.Background(), noticeSendTimeout)
	defer cancel()
	reply := &wire.CallsLent{}
	if err := g.fleet.Caller().Call(ctx, h.Name, methodBorrow, m, reply); err != nil {
		g.log.Info("borrowing calls from a peer failed", zap.String("peer", h.Name), zap.Error(err))
		return
	}
	g.notices.mu.Lock()
	defer g.notices.mu.Unlock()
	for _, r := range reply.GetReplicas() {
		lent := intake.Lent{Calls: int(min(r.GetLent().GetCalls(), maxLentCalls)), ID: r.GetLent().GetId()}
		if g.notices.loans.Borrow(askedAt, r.GetReplica(), h.Name, lent) {
			g.metrics.GetOrCreateCounter("wheatseam_limit_loans_total").Inc()
			g.log.Info("borrowed calls of a rate limit", zap.String("replica", r.GetReplica()), zap.String("peer", h.Name), zap.Int("calls", lent.Calls))
		}
	}
	g.updateLimitShares()
}

// maxLentCalls limits the calls that are accepted from a peer.
const maxLentCalls = 1 << 20

// registerLoanHandler handles the requests of peers for loans.
func (g *Gateway) registerLoanHandler(mux *peer.Mux) {
	peer.Handle(mux, methodBorrow, func(_ context.Context, from peer.Sender, m *wire.CallsWanted) (*wire.CallsLent, error) {
		select {
		case <-g.initialized:
		default:
			return nil, errNotInitialized
		}
		return g.lendCalls(from.Host, m), nil
	})
}

// lendCalls takes back the calls that a peer returns, lends it those that it asks for, and returns
// what it may begin.
func (g *Gateway) lendCalls(borrower string, m *wire.CallsWanted) *wire.CallsLent {
	g.notices.mu.Lock()
	defer g.notices.mu.Unlock()
	shares := g.liveShares()
	if shares == nil {
		return &wire.CallsLent{}
	}
	wanted, now := map[string]bool{}, clock.Now()
	for i, r := range m.GetReplicas() {
		switch keeps := r.GetKeeps(); {
		case i >= maxReplicasPerLoan:
		case keeps != nil:
			g.notices.loans.TakeBack(now, r.GetReplica(), borrower, intake.Lent{Calls: int(min(keeps.GetCalls(), maxLentCalls)), ID: keeps.GetId()})
		default:
			wanted[r.GetReplica()] = r.GetMore()
		}
	}
	reply, reachable := &wire.CallsLent{}, g.isReachable()
	for _, l := range g.notices.announcedLimits.Limits() {
		more, asked := wanted[l.Replica]
		if !asked {
			continue
		}
		use, ok := g.callUse(shares, reachable, l)
		if !ok {
			continue
		}
		if lent := g.notices.loans.Lend(now, l.Replica, borrower, use, more); lent.Calls > 0 {
			reply.Replicas = append(reply.Replicas, &wire.ReplicaCallsLent{Replica: l.Replica, Lent: &wire.Loan{Calls: uint32(lent.Calls), Id: lent.ID}})
		}
	}
	g.updateLimitShares()
	return reply
}
