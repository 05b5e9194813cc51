package gateway

import (
	"time"

	"github.com/wheatseam/wheatseam/core/intake"
)

// LimitState is a replica's rate limit, or limit on refusals, as the state dump shows it.
type LimitState struct {
	Replica   string  `json:"replica"`
	PerSecond float64 `json:"per_second"`
	// SinceS and AnnouncedS are the numbers of seconds since the limit was first and last
	// announced.
	SinceS     float64 `json:"since_s"`
	AnnouncedS float64 `json:"named_s"`
	// Lent and Borrowed are the calls per 4 s that this host lends to others, or they to it.
	Lent     int `json:"lent,omitempty"`
	Borrowed int `json:"borrowed,omitempty"`
}

// limitStates lists the active limits, for operators.
func (n *notices) limitStates(now time.Time) []LimitState {
	n.mu.Lock()
	defer n.mu.Unlock()
	states := limitStatesOf(now, n.announcedLimits.Limits())
	for i := range states {
		states[i].Lent, states[i].Borrowed = n.loans.Totals(now, states[i].Replica)
	}
	return states
}

func limitStatesOf(now time.Time, limits []intake.ReplicaLimit) []LimitState {
	out := make([]LimitState, 0, len(limits))
	for _, l := range limits {
		out = append(out, LimitState{
			Replica: l.Replica, PerSecond: l.Limit.PerSecond,
			SinceS: now.Sub(l.Since).Seconds(), AnnouncedS: now.Sub(l.LastObserved).Seconds(),
		})
	}
	return out
}

// LeavingState is a replica that announced that it is leaving, as the state dump shows it.
type LeavingState struct {
	Replica string `json:"replica"`
	// SinceS is the number of seconds since the announcement was first observed.
	SinceS float64 `json:"since_s"`
}

// leavingStates lists the replicas that announced that they are leaving, for operators.
func (n *notices) leavingStates(now time.Time) []LeavingState {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := []LeavingState{}
	for _, l := range n.leavingReplicas.All() {
		out = append(out, LeavingState{Replica: l.Replica, SinceS: now.Sub(l.AnnouncedAt).Seconds()})
	}
	return out
}

// BackoffState is a replica that asked this host for a backoff, as the state dump shows it.
type BackoffState struct {
	Replica string `json:"replica"`
	// SinceS is the number of seconds since the replica first asked, and LeftS until the
	// backoff is over.
	SinceS float64 `json:"since_s"`
	LeftS  float64 `json:"left_s"`
}

// backoffStates lists the replicas that asked this host for a backoff, for operators.
func (n *notices) backoffStates(now time.Time) []BackoffState {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := []BackoffState{}
	for _, r := range n.backoffs.All() {
		if now.Before(r.Until) {
			out = append(out, BackoffState{Replica: r.Replica, SinceS: now.Sub(r.Since).Seconds(), LeftS: r.Until.Sub(now).Seconds()})
		}
	}
	return out
}
