package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
)

// FingerprintSize is the size of a Fingerprint in bytes.
const FingerprintSize = 16

// Fingerprint identifies a request by what a replica processes: the customer, the method,
// host and target, and the body. A request that is sent again under another request ID has
// the same fingerprint.
//
// It is the first half of a SHA-256 hash, so that no customer can construct a request with
// the fingerprint of another customer's request.
type Fingerprint [FingerprintSize]byte

// String returns the fingerprint in hexadecimal, as shown in logs.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// Hasher computes a fingerprint while the body is read: it is an io.Writer for the body.
type Hasher struct{ h hash.Hash }

// NewHasher returns a Hasher initialized with the fields that are known before the body.
func NewHasher(customer, method, host, target string) *Hasher {
	h := sha256.New()
	for _, field := range []string{customer, method, host, target} {
		// Each field is preceded by its length, so that no two lists of fields have the
		// same encoding.
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = h.Write(length[:]) // hash.Hash.Write never returns an error
		_, _ = h.Write([]byte(field))
	}
	return &Hasher{h}
}

// Write adds bytes of the body; it never returns an error.
func (h *Hasher) Write(body []byte) (int, error) { return h.h.Write(body) }

// Sum returns the fingerprint of the fields and the bytes written so far.
func (h *Hasher) Sum() Fingerprint { return Fingerprint(h.h.Sum(nil)[:FingerprintSize]) }
