package crash

import (
	"time"

	"github.com/wheatseam/wheatseam/core/poison"
)

// End says how an attempt ended that got no complete answer.
type End uint8

// The ends of attempts.
const (
	// Broken: the connection was closed or reset.
	Broken End = iota
	// Stalled: this host cancelled the attempt, since the replica was silent.
	Stalled
	// Unanswered: the deadline passed or the caller disconnected while the replica was
	// silent.
	Unanswered
)

// Interruption is an attempt that ended without a complete answer.
type Interruption struct {
	Service, Replica string
	// Address is the replica's ip:port.
	Address string
	// Suspect is the content of the request, and Parts are the parts of its prompt that the run
	// had not survived.
	Suspect poison.Suspect
	Parts   []poison.Fingerprint
	End     End
	At      time.Time
	// LastHeard is when the replica last sent something, or when the attempt began. It is
	// ignored for Broken.
	LastHeard time.Time
}

// began returns when the attempt began.
func (i Interruption) began() time.Time { return i.At.Add(-i.Suspect.RunTime) }

// CheckResult is what a check found out about an address.
type CheckResult struct {
	// Accepted: a host has connected.
	Accepted bool
	// Confirmed: connections are refused, as enough hosts agree for routing.
	Confirmed bool
	// PeerRefusals is the number of other hosts that reach replicas, and were refused.
	PeerRefusals int
	// OwnRefused: this host was refused. ReachedAt is when it last connected to any replica
	// directly; zero if never.
	OwnRefused bool
	ReachedAt  time.Time
}

// String is the value in logs and metrics.
func (r CheckResult) String() string {
	switch {
	case r.Accepted:
		return "accepted"
	case r.Confirmed:
		return "refused"
	case r.PeerRefusals > 0 || r.OwnRefused:
		return "refused_unconfirmed"
	}
	return "unknown"
}

// Crashed reports whether the check shows by itself that the replica has crashed: hosts that have
// reached replicas since a time were refused.
func (r CheckResult) Crashed(since time.Time) bool {
	return r.Confirmed || r.refusals(since) >= decisiveRefusals
}

// refusals is the number of hosts that were refused and have reached replicas since a time.
func (r CheckResult) refusals(since time.Time) int {
	n := r.PeerRefusals
	if r.OwnRefused && r.ReachedAt.After(since) {
		n++
	}
	return n
}

// Listing is what the store lists about a replica.
type Listing uint8

// The listings.
const (
	// Listed: the replica is listed as before.
	Listed Listing = iota
	// Draining: it is listed as draining.
	Draining
	// Removed: it is not listed.
	Removed
	// Replaced: it is not listed, and another start of it is, or another replica at its
	// address.
	Replaced
)

// Proof is the evidence by which a crash was confirmed.
type Proof uint8

// The proofs.
const (
	noProof Proof = iota
	// RefusedByHosts and RefusedByOneHost: hosts that reach other replicas were refused.
	RefusedByHosts
	RefusedByOneHost
	// ReplicaReplaced and EntryRemoved: the store's listing.
	ReplicaReplaced
	EntryRemoved
)

// String is the value in logs and metrics.
func (p Proof) String() string {
	return [...]string{"none", "refused", "refused_by_one_host", "replaced", "entry_removed"}[p]
}
