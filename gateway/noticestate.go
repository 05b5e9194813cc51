package gateway

import "time"

// LimitState is a replica's limit as the state dump shows it.
type LimitState struct {
	Replica   string  `json:"replica"`
	PerSecond float64 `json:"per_second"`
	// Seconds since it was first and last named.
	SinceS float64 `json:"since_s"`
	NamedS float64 `json:"named_s"`
}

// limits lists the limits in force, for operators.
func (n *notices) limits(now time.Time) []LimitState {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := []LimitState{}
	for _, l := range n.account.Limits() {
		out = append(out, LimitState{
			Replica: l.Replica, PerSecond: l.Limit.PerSecond,
			SinceS: now.Sub(l.Since).Seconds(), NamedS: now.Sub(l.LastObserved).Seconds(),
		})
	}
	return out
}

// LeaverState is a replica that has said that it leaves, as the state dump shows it.
type LeaverState struct {
	Replica string `json:"replica"`
	// Seconds since it was first heard to.
	SinceS float64 `json:"since_s"`
}

// leaving lists the replicas that have said that they leave, for operators.
func (n *notices) leaving(now time.Time) []LeaverState {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := []LeaverState{}
	for _, l := range n.leavers.All() {
		out = append(out, LeaverState{Replica: l.Replica, SinceS: now.Sub(l.AnnouncedAt).Seconds()})
	}
	return out
}

// RestState is a replica that wants nothing from this host, as the state dump shows it.
type RestState struct {
	Replica string `json:"replica"`
	// Seconds since it first said so, and until that is over.
	SinceS float64 `json:"since_s"`
	LeftS  float64 `json:"left_s"`
}

// resting lists the replicas that want nothing from this host, for operators.
func (n *notices) resting(now time.Time) []RestState {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := []RestState{}
	for _, r := range n.rests.All() {
		if now.Before(r.Until) {
			out = append(out, RestState{Replica: r.Replica, SinceS: now.Sub(r.Since).Seconds(), LeftS: r.Until.Sub(now).Seconds()})
		}
	}
	return out
}
