package caller

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"
	"sync/atomic"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/problem"
)

// keyHash is the SHA-256 hash of an API key.
type keyHash [sha256.Size]byte

// keyIndex maps the hashes of API keys to the customers of one bundle. It is
// immutable.
type keyIndex struct {
	bundle  *bundle.Bundle
	entries map[keyHash]keyEntry
}

type keyEntry struct {
	hash     keyHash
	customer *bundle.Customer
}

// newKeyIndex skips entries that are not a hexadecimal SHA-256 hash, since no
// API key can match them.
func newKeyIndex(b *bundle.Bundle) *keyIndex {
	index := &keyIndex{bundle: b, entries: make(map[keyHash]keyEntry, len(b.Customers))}
	for i := range b.Customers {
		for _, encoded := range b.Customers[i].KeyHashes {
			raw, err := hex.DecodeString(encoded)
			if err != nil || len(raw) != sha256.Size {
				continue
			}
			hash := keyHash(raw)
			index.entries[hash] = keyEntry{hash, &b.Customers[i]}
		}
	}
	return index
}

// lookup returns the customer that owns the API key, or nil. The time that the
// map lookup takes depends on the presented key only through its hash, which
// reveals nothing about a key that the client does not know already.
func (x *keyIndex) lookup(key string) *bundle.Customer {
	hash := keyHash(sha256.Sum256([]byte(key)))
	entry := x.entries[hash]
	if subtle.ConstantTimeCompare(hash[:], entry.hash[:]) != 1 {
		return nil
	}
	return entry.customer
}

// customerAuthenticator identifies customers by their API keys. It caches the
// key index of the bundle that the last request used. It is safe for concurrent
// use.
type customerAuthenticator struct{ current atomic.Pointer[keyIndex] }

// index returns the key index of b and builds it if b is not the cached bundle.
func (c *customerAuthenticator) index(b *bundle.Bundle) *keyIndex {
	if index := c.current.Load(); index != nil && index.bundle == b {
		return index
	}
	index := newKeyIndex(b)
	c.current.Store(index)
	return index
}

// authenticate returns the customer whose API key the Authorization header
// contains. The error is of kind problem.Unauthorized.
func (c *customerAuthenticator) authenticate(b *bundle.Bundle, header string) (*bundle.Customer, *problem.Error) {
	const scheme = "Bearer "
	if len(header) <= len(scheme) || !strings.EqualFold(header[:len(scheme)], scheme) {
		return nil, problem.New(problem.Unauthorized, "the Authorization header bears no API key")
	}
	customer := c.index(b).lookup(header[len(scheme):])
	if customer == nil {
		return nil, problem.New(problem.Unauthorized, "the API key is unknown")
	}
	return customer, nil
}
