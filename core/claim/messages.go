package claim

import "time"

// Verdict is the outcome in a holder's reply.
type Verdict uint8

// The verdicts.
const (
	// Granted grants the key to the owner that sent the Acquire.
	Granted Verdict = iota + 1
	// Taken reports that another owner has the key, or that its result is
	// recorded.
	Taken
	// HolderRestarted reports that the holder has restarted and may have granted the
	// key before, so it neither grants nor denies it.
	HolderRestarted
	// KeyTooOld and KeyTooNew refuse a key because of its creation time.
	KeyTooOld
	KeyTooNew
	// OldView reports that the owner's host list is older than the holder's,
	// NewView that it is newer.
	OldView
	NewView
	// NotReady reports that the holder has not synced since its start or that its
	// clock is wrong.
	NotReady
	// Full reports that the holder has no memory for another key and knows of no
	// owner of this one.
	Full
	// Superseded refuses an Acquire that arrived after the release of its round.
	Superseded
	// Recorded acknowledges a Store.
	Recorded
	// NoOwner replies to a lookup that the holder knows of no owner of the key.
	NoOwner
	// Voided refuses an attempt that arrived no later than one which was refused
	// as not run. It also acknowledges a Void.
	Voided
)

var verdictNames = [...]string{
	"", "granted", "taken", "forgotten", "key_too_old", "key_too_new", "old_view",
	"new_view", "not_ready", "full", "superseded", "recorded", "none", "voided",
}

// String returns the name of the verdict in logs and records.
func (v Verdict) String() string {
	if int(v) < len(verdictNames) {
		return verdictNames[v]
	}
	return "unknown"
}

// Acquire requests a grant of a key from a holder.
type Acquire struct {
	Key    Key
	Owner  Owner
	Digest Digest
	// Round is the number of the owner's round, starting at 1.
	Round uint32
	// Epoch is the epoch of the owner's current host list.
	Epoch uint64
	// Arrived is the time at which the request arrived, by the wall clock of the
	// owner's host. If it is zero, the holder does not check it.
	Arrived time.Time
}

// Release releases the grants of the owner in all rounds up to Round.
type Release struct {
	Key   Key
	Owner Owner
	Round uint32
}

// Store asks a holder to record the result of a request. Only an owner that won its
// claim and sent the request may issue it.
type Store struct {
	Key    Key
	Owner  Owner
	Record Record
}

// Reply is a holder's reply to an Acquire, a Store, a Void or a lookup.
type Reply struct {
	Holder      string
	Incarnation uint64
	Verdict     Verdict
	// Round is the round of the Acquire.
	Round uint32
	// Epoch is the epoch of the holder's current host list.
	Epoch uint64
	// Owner and Digest describe the claim that the holder has on the key; zero if
	// there is none.
	Owner  Owner
	Digest Digest
	// Record is the result of the request; nil if the holder has none.
	Record *Record
}
