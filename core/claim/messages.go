package claim

import "time"

// Verdict is a holder's answer.
type Verdict uint8

// The verdicts.
const (
	// Granted gives the key to the asking owner.
	Granted Verdict = iota + 1
	// Taken says that another owner has the key, or a result is recorded.
	Taken
	// Forgotten says that the holder restarted and may have granted the key
	// before; it abstains.
	Forgotten
	// KeyTooOld and KeyTooNew refuse the key's time.
	KeyTooOld
	KeyTooNew
	// OldView says that the asker's host list is older than the holder's, and
	// NewView that it is newer.
	OldView
	NewView
	// NotReady says that the holder has not caught up since its start or that
	// its clock is off.
	NotReady
	// Full says that the holder has no memory for a further key. It knows of no
	// owner of the key.
	Full
	// Superseded answers an ask that arrived after its own release.
	Superseded
	// Recorded acknowledges a record.
	Recorded
	// None says, to a look-up, that no owner of the key is known.
	None
	// Voided says that attempts which arrived when this one did are void: a
	// later one was refused as not run.
	Voided
)

var verdictNames = [...]string{
	"", "granted", "taken", "forgotten", "key_too_old", "key_too_new", "old_view",
	"new_view", "not_ready", "full", "superseded", "recorded", "none", "voided",
}

// String returns the name used in logs and records.
func (v Verdict) String() string {
	if int(v) < len(verdictNames) {
		return verdictNames[v]
	}
	return "unknown"
}

// Ask asks a holder for a key.
type Acquire struct {
	Key    Key
	Owner  Owner
	Digest Digest
	// Round counts the owner's tries, from 1.
	Round uint32
	// Epoch is the number of the owner's current host list.
	Epoch uint64
	// Arrived is when the request arrived, by the wall clock of the owner's
	// host; zero is not checked.
	Arrived time.Time
}

// Release gives back what was granted to the owner up to Round.
type Release struct {
	Key   Key
	Owner Owner
	Round uint32
}

// Store records the result of a request at a holder. Only an owner that won
// its claim and sent may issue one.
type Store struct {
	Key    Key
	Owner  Owner
	Record Record
}

// Reply is a holder's answer to an Ask, a Store or a look-up.
type Reply struct {
	Holder      string
	Incarnation uint64
	Verdict     Verdict
	// Round is the round of the Ask.
	Round uint32
	// Epoch is the number of the holder's current host list.
	Epoch uint64
	// Owner and Digest are of the claim that Taken speaks of.
	Owner  Owner
	Digest Digest
	// Record is set when the holder knows the result.
	Record *Record
}
