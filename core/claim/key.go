package claim

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// Key names a request that may not be repeated.
type Key struct {
	Customer string
	// ID is the caller's Idempotency-Key, a UUIDv7 (RFC 9562).
	ID uuid.UUID
}

// ParseKey returns the key of a customer's Idempotency-Key. The error says what
// is wrong with id; it is meant for the caller.
func ParseKey(customer, id string) (Key, error) {
	u, err := uuid.Parse(id)
	if err != nil {
		return Key{}, fmt.Errorf("not a UUID: %w", err)
	}
	if u.Version() != 7 || u.Variant() != uuid.RFC4122 {
		return Key{}, fmt.Errorf("not a UUIDv7 but version %d", u.Version())
	}
	return Key{Customer: customer, ID: u}, nil
}

// Time returns the time that the key carries, to the millisecond.
func (k Key) Time() time.Time {
	return time.UnixMilli(int64(binary.BigEndian.Uint64(k.ID[:8]) >> 16))
}

// Hash returns a hash of the key that is the same on every host.
func (k Key) Hash() uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(k.ID[:])
	_, _ = d.WriteString(k.Customer)
	return d.Sum64()
}

// Owner is one attempt at a request: the only party that may release a grant
// and that may send. Request differs between any two attempts.
type Owner struct {
	Host        string
	Incarnation uint64
	Request     string
}

// Digest is a hash of the pipeline and the input of a request. One key belongs
// to one digest.
type Digest [32]byte

// Record is what became of a request, kept with its claim.
type Record struct {
	Digest Digest
	// Result is the answer; empty if it was larger than Policy.MaxResult.
	Result []byte
	// Truncated says that the result was too large to be kept.
	Truncated bool
}

// Policy holds the limits that every host must agree on, and the memory bounds
// of one Holder.
type Policy struct {
	// GroupSize is the number of holders of a key.
	GroupSize int
	// Retention is how long a key is remembered after its own time.
	Retention time.Duration
	// MaxClockSkew bounds the difference between two hosts' clocks, and how far
	// one host's clock may step.
	MaxClockSkew time.Duration
	// MaxKeyAhead bounds how far a key's time may lie in the future.
	MaxKeyAhead time.Duration
	// MaxResult bounds one kept result in bytes.
	MaxResult int
	// MaxKeys and MaxBytes bound the keys and the result bytes of one Holder.
	// A full holder refuses new grants; it never forgets early.
	MaxKeys  int
	MaxBytes int
}

// tooOld says that holders may have forgotten the key.
func (p Policy) tooOld(now time.Time, k Key) bool {
	return k.Time().Before(now.Add(-p.Retention))
}

// tooNew says that the key's time lies too far ahead.
func (p Policy) tooNew(now time.Time, k Key) bool {
	return k.Time().After(now.Add(p.MaxKeyAhead))
}

// horizon returns the latest time of a key that a process with a clock at now,
// or any process before it, can have granted.
func (p Policy) horizon(now time.Time) time.Time {
	return now.Add(p.MaxClockSkew + p.MaxKeyAhead)
}
