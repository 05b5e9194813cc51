package claim

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// Key identifies a non-repeatable request.
type Key struct {
	Customer string
	// ID is the caller's Idempotency-Key, a UUIDv7 (RFC 9562).
	ID uuid.UUID
}

// ParseKey returns the key for a customer's Idempotency-Key id. The error describes
// what is wrong with id and is written to be shown to the caller.
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

// Time returns the creation time contained in the key, with millisecond precision.
func (k Key) Time() time.Time {
	return time.UnixMilli(int64(binary.BigEndian.Uint64(k.ID[:8]) >> 16))
}

// Hash returns a hash of the key that is equal on every host.
func (k Key) Hash() uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(k.ID[:])
	_, _ = d.WriteString(k.Customer)
	return d.Sum64()
}

// Owner identifies one attempt at a request. Only the owner of a grant may release
// it or send the request. Request is unique to each attempt.
type Owner struct {
	Host        string
	Incarnation uint64
	Request     string
}

// Digest is a hash of the pipeline and the input of a request. A key is valid for
// one digest only.
type Digest [32]byte

// Record is the result of a request, stored with its claim.
type Record struct {
	Digest Digest
	// Result is the response; empty if it exceeded Policy.MaxResult.
	Result []byte
	// Truncated reports that the result was too large to be stored.
	Truncated bool
}

// Policy holds the protocol limits, which must be equal on every host, and the
// memory bounds of one Holder.
type Policy struct {
	// GroupSize is the number of holders of a key.
	GroupSize int
	// Retention is how long a key is stored after its creation time.
	Retention time.Duration
	// MaxClockSkew is the maximum difference between the clocks of two hosts, and
	// the maximum step of one host's clock.
	MaxClockSkew time.Duration
	// MaxKeyAhead is the maximum by which a key's creation time may be in the
	// future.
	MaxKeyAhead time.Duration
	// MaxResult is the maximum size of a stored result in bytes.
	MaxResult int
	// MaxKeys and MaxBytes bound the number of keys and the bytes of results in
	// one Holder. A full holder refuses new grants; it never evicts a key before
	// its retention ends.
	MaxKeys  int
	MaxBytes int
}

// tooOld reports whether holders may have evicted the key.
func (p Policy) tooOld(now time.Time, k Key) bool {
	return k.Time().Before(now.Add(-p.Retention))
}

// tooNew reports whether the key's creation time is too far in the future.
func (p Policy) tooNew(now time.Time, k Key) bool {
	return k.Time().After(now.Add(p.MaxKeyAhead))
}

// latestGrantableKeyTime returns the latest creation time of a key that a process
// whose clock reads now, or any earlier process of its host, can have granted.
func (p Policy) latestGrantableKeyTime(now time.Time) time.Time {
	return now.Add(p.MaxClockSkew + p.MaxKeyAhead)
}
