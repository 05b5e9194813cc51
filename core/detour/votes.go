package detour

import (
	"slices"
	"time"
)

// vote is the reply of a peer that did not reach an address.
type vote struct {
	peer   string
	at     time.Time
	result Result
}

// period is for how long the vote counts. A replica that refused connections may have started
// again.
func (v vote) period() time.Duration {
	if v.result == ReplicaRefused {
		return refusedPeriod
	}
	return votePeriod
}

// dropOldVotes drops the votes that no longer count.
func (a *address) dropOldVotes(now time.Time) {
	a.votes = slices.DeleteFunc(a.votes, func(v vote) bool { return now.Sub(v.at) >= v.period() })
}

// excludes reports whether the peer is not to be asked for the address, for its vote.
func (v vote) excludes(now time.Time) bool {
	return v.result != ReplicaRefused || now.Sub(v.at) < refusedPause
}

// voted reports whether a peer is not to be asked for its vote.
func (a *address) voted(now time.Time, name string) bool {
	return slices.ContainsFunc(a.votes, func(v vote) bool { return v.peer == name && v.excludes(now) })
}

// denied reports whether a peer has answered that it does not reach the address.
func (a *address) denied(now time.Time, name string) bool {
	return slices.ContainsFunc(a.votes, func(v vote) bool { return v.peer == name && v.result != NoAnswer && v.excludes(now) })
}

// addVote records that a peer did not reach an address.
func (t *Table) addVote(now time.Time, addr string, v vote) {
	if a := t.addresses[addr]; a != nil {
		a.votes = slices.DeleteFunc(a.votes, func(old vote) bool { return old.peer == v.peer })
		a.dropOldVotes(now)
		a.votes = append(a.votes, v)
	}
}

// verdict returns what peers that reach other replicas say about an address; Connected if
// there are not enough.
func (t *Table) verdict(now time.Time, addr string) Result {
	a := t.addresses[addr]
	if a == nil {
		return Connected
	}
	a.dropOldVotes(now)
	refused, unreachable := 0, 0
	for _, v := range a.votes {
		switch v.result {
		case ReplicaRefused:
			refused++
		case ReplicaUnreachable:
			unreachable++
		}
	}
	switch {
	case refused+unreachable == 0 || refused+unreachable < min(decisiveVotes, len(t.order)):
		return Connected
	case unreachable > 0:
		return ReplicaUnreachable
	}
	return ReplicaRefused
}
