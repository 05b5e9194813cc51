package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
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

// borrowCalls asks peers for calls to the replicas that announce limits or are cold and of whose
// calls this host has used its share, has loans renewed that it uses, and returns the others.
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

// limitUse is this host's use of a replica's limit whose calls hosts lend each other.
type limitUse struct {
	replica string
	use     intake.Use
}

// wantedLoans returns what to ask of which peer. The calls that are returned no longer count here.
func (g *Gateway) wantedLoans() loanRequests {
	now := clock.Now()
	requests, all := loanRequests{}, func(string) bool { return true }
	if peers := g.lenders(now); peers != nil {
		g.notices.mu.Lock()
		if g.addWanted(now, requests, peers, &g.notices.loans, g.announcedUses(now, all), false) {
			g.updateLimitShares()
		}
		g.notices.mu.Unlock()
		g.coldTracker.mu.Lock()
		returned := g.addWanted(now, requests, peers, &g.coldTracker.loans, g.coldUses(now, all), true)
		g.coldTracker.mu.Unlock()
		if returned {
			g.refreshColdLimits()
		}
	}
	return requests
}

// lenders returns the names of all peers in random order, if this host may ask some for loans again.
func (g *Gateway) lenders(now time.Time) []string {
	g.notices.mu.Lock()
	defer g.notices.mu.Unlock()
	if !g.notices.limitsActive && g.coldCount.Load() == 0 || now.Sub(g.notices.lastBorrowed) < borrowInterval {
		return nil
	}
	g.notices.lastBorrowed = now
	var names []string
	for _, h := range g.peers() {
		names = append(names, h.Name)
	}
	rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names
}

// addWanted adds what this host wants of its peers, and reports whether it returns calls. The lock of
// the loans must be held.
func (g *Gateway) addWanted(now time.Time, requests loanRequests, peers []string, loans *intake.Loans, uses []limitUse, cold bool) (returned bool) {
	loans.RemoveExpired(now)
	self := g.settings.Load().Host
	for _, u := range uses {
		for _, r := range loans.Return(now, u.replica, u.use) {
			returned = true
			g.log.Info("returned calls of a limit", zap.String("replica", u.replica), zap.Bool("cold", cold), zap.String("peer", r.Lender), zap.Int("kept", r.Keep.Calls))
			requests.add(r.Lender, &wire.ReplicaCallsWanted{Replica: u.replica, Cold: cold, Keeps: &wire.Loan{Calls: uint32(r.Keep.Calls), Id: r.Keep.ID}})
		}
		more, renew := loans.Wanted(now, u.replica, u.use)
		asked := map[string]bool{}
		if more {
			for _, peer := range loans.Lenders(self, u.replica, u.use, peers) {
				asked[peer] = true
				requests.add(peer, &wire.ReplicaCallsWanted{Replica: u.replica, Cold: cold, More: true})
			}
		}
		for _, lender := range renew {
			if !asked[lender] {
				requests.add(lender, &wire.ReplicaCallsWanted{Replica: u.replica, Cold: cold})
			}
		}
	}
	return returned
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

// announcedUses returns how much of its shares of the announced limits of the given replicas this host
// uses. Replicas that run stages are left out: one host makes their calls for all. The notices' lock
// must be held.
func (g *Gateway) announcedUses(now time.Time, include func(replica string) bool) (out []limitUse) {
	limits := g.notices.announcedLimits.Limits()
	if len(limits) == 0 {
		return nil
	}
	shares, view, reachable := g.liveShares(), g.discovery.View(), g.isReachable()
	if shares == nil {
		return nil
	}
	loans := &g.notices.loans
	for _, l := range limits {
		if !include(l.Replica) || callRole(view.Config, view.Replicas, l.Replica, false) != intake.Requester {
			continue
		}
		u := intake.Use{Share: shares.LimitQuota(l, intake.Requester), Total: int(l.Limit.PerSecond * loans.Window().Seconds())}
		u.Quota = loans.Adjust(now, l.Replica, u.Share, reachable)
		out = append(out, limitUse{l.Replica, g.withCalls(now, loans, l.Replica, u, intake.AnnouncedLimit)})
	}
	return out
}

// coldUses returns how much of its shares of the calls to the given cold replicas this host uses. The
// lock of the cold replicas must be held.
func (g *Gateway) coldUses(now time.Time, include func(replica string) bool) (out []limitUse) {
	reachable, loans := g.isReachable(), &g.coldTracker.loans
	for replica, share := range g.coldTracker.shares {
		if !include(replica) {
			continue
		}
		u := intake.Use{Share: share.quota, Total: share.total, Quota: loans.Adjust(now, replica, share.quota, reachable)}
		u = g.withCalls(now, loans, replica, u, intake.Cold)
		u.Blocked = u.Blocked && u.Quota.Calls < intake.MaxTrackedCalls
		out = append(out, limitUse{replica, u})
	}
	return out
}

// shortages holds when a request last found no replica of a service. It is safe for concurrent use.
type shortages struct {
	mu   sync.Mutex
	last map[string]time.Time
}

func (s *shortages) record(now time.Time, service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.last == nil {
		s.last = map[string]time.Time{}
	}
	s.last[service] = now
}

func (s *shortages) since(service string, at time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last[service].After(at)
}

// withCalls adds the calls that this host made to a replica to its use. A limit that blocks calls
// while other replicas take the requests is no reason to borrow.
func (g *Gateway) withCalls(now time.Time, loans *intake.Loans, replica string, u intake.Use, s intake.Source) intake.Use {
	limiter := g.limiters.Get(replica)
	u.Begun, u.Lately = limiter.CallsWithin(now, loans.Window()), loans.Lately(now, limiter)
	since := now.Add(-2 * borrowInterval)
	service := g.discovery.View().Replicas.Get(replica).Service
	u.Blocked = limiter.LimitedSince(s, since) && g.shortages.since(service, since)
	return u
}

// isReachable returns a function that reports whether a lender is alive and has not restarted.
func (g *Gateway) isReachable() func(intake.Lender) bool {
	alive := map[string]uint64{}
	for _, h := range g.fleet.Reachable() {
		alive[h.Name] = h.Incarnation
	}
	return func(l intake.Lender) bool {
		incarnation, ok := alive[l.Host]
		return ok && incarnation == l.Incarnation
	}
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
	g.recordBorrowed(askedAt, h, &g.notices.loans, reply, false)
	g.updateLimitShares()
	g.notices.mu.Unlock()
	g.coldTracker.mu.Lock()
	g.recordBorrowed(askedAt, h, &g.coldTracker.loans, reply, true) // used from the next refresh on
	g.coldTracker.mu.Unlock()
}

// recordBorrowed records the calls that a peer lends. The lock of the loans must be held.
func (g *Gateway) recordBorrowed(askedAt time.Time, h fleet.Host, loans *intake.Loans, reply *wire.CallsLent, cold bool) {
	lender := intake.Lender{Host: h.Name, Incarnation: h.Incarnation}
	for _, r := range reply.GetReplicas() {
		lent := intake.Lent{Calls: int(min(r.GetLent().GetCalls(), maxLentCalls)), ID: r.GetLent().GetId()}
		if r.GetCold() == cold && loans.Borrow(askedAt, r.GetReplica(), lender, lent) {
			g.metrics.GetOrCreateCounter("wheatseam_limit_loans_total").Inc()
			g.log.Info("borrowed calls of a limit", zap.String("replica", r.GetReplica()), zap.Bool("cold", cold), zap.String("peer", lender.Host), zap.Int("calls", lent.Calls))
		}
	}
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

// loansWanted is a peer's request about limits of one kind, by replica.
type loansWanted struct {
	// more has the replicas of which the peer wants a loan: more calls if true, else the renewal of
	// its present loan.
	more map[string]bool
	// keeps has the loans that the peer returns in part, with the calls that it goes on using.
	keeps map[string]intake.Lent
}

// splitWanted returns what a peer wants of announced limits and at cold replicas.
func splitWanted(m *wire.CallsWanted) (announced, cold loansWanted) {
	announced, cold = loansWanted{map[string]bool{}, map[string]intake.Lent{}}, loansWanted{map[string]bool{}, map[string]intake.Lent{}}
	for _, r := range m.GetReplicas()[:min(len(m.GetReplicas()), maxReplicasPerLoan)] {
		w := announced
		if r.GetCold() {
			w = cold
		}
		if keeps := r.GetKeeps(); keeps != nil {
			w.keeps[r.GetReplica()] = intake.Lent{Calls: int(min(keeps.GetCalls(), maxLentCalls)), ID: keeps.GetId()}
		} else {
			w.more[r.GetReplica()] = r.GetMore()
		}
	}
	return announced, cold
}

// wants reports whether the peer wants a loan of a replica's calls.
func (w loansWanted) wants(replica string) bool { _, ok := w.more[replica]; return ok }

// lendCalls takes back the calls that a peer returns, lends it those that it asks for, and returns
// what it may begin.
func (g *Gateway) lendCalls(borrower string, m *wire.CallsWanted) *wire.CallsLent {
	now, reply := clock.Now(), &wire.CallsLent{}
	announced, cold := splitWanted(m)
	if len(announced.more)+len(announced.keeps) > 0 {
		g.notices.mu.Lock()
		announced.takeBack(now, borrower, &g.notices.loans)
		announced.lend(now, borrower, &g.notices.loans, g.announcedUses(now, announced.wants), false, reply)
		g.updateLimitShares()
		g.notices.mu.Unlock()
	}
	if len(cold.more)+len(cold.keeps) > 0 {
		g.coldTracker.mu.Lock()
		cold.takeBack(now, borrower, &g.coldTracker.loans)
		cold.lend(now, borrower, &g.coldTracker.loans, g.coldUses(now, cold.wants), true, reply)
		g.coldTracker.mu.Unlock()
		g.refreshColdLimits()
	}
	return reply
}

// takeBack takes back the calls that a peer returns.
func (w loansWanted) takeBack(now time.Time, borrower string, loans *intake.Loans) {
	for replica, keeps := range w.keeps {
		loans.TakeBack(now, replica, borrower, keeps)
	}
}

// lend lends a peer calls of the limits that this host uses as given, and adds them to the reply.
func (w loansWanted) lend(now time.Time, borrower string, loans *intake.Loans, uses []limitUse, cold bool, reply *wire.CallsLent) {
	for _, u := range uses {
		if lent := loans.Lend(now, u.replica, borrower, u.use, w.more[u.replica]); lent.Calls > 0 {
			reply.Replicas = append(reply.Replicas, &wire.ReplicaCallsLent{Replica: u.replica, Cold: cold, Lent: &wire.Loan{Calls: uint32(lent.Calls), Id: lent.ID}})
		}
	}
}
