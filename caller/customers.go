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

// keyHash is the SHA-256 of an API key.
type keyHash [sha256.Size]byte

// keyIndex finds a bundle's customers by the hashes of their API keys. It does
// not change.
type keyIndex struct {
	bundle    *bundle.Bundle
	customers map[keyHash]keyHolder
}

type keyHolder struct {
	hash     keyHash
	customer *bundle.Customer
}

// newKeyIndex leaves out what is no hash: no key has it.
func newKeyIndex(b *bundle.Bundle) *keyIndex {
	x := &keyIndex{bundle: b, customers: make(map[keyHash]keyHolder, len(b.Customers))}
	for i := range b.Customers {
		for _, text := range b.Customers[i].KeyHashes {
			raw, err := hex.DecodeString(text)
			if err != nil || len(raw) != sha256.Size {
				continue
			}
			hash := keyHash(raw)
			x.customers[hash] = keyHolder{hash, &b.Customers[i]}
		}
	}
	return x
}

// find returns the customer that holds key, or nil. How long it takes depends on
// the hash of key, which says nothing about a key that is not known already.
func (x *keyIndex) find(key string) *bundle.Customer {
	got := keyHash(sha256.Sum256([]byte(key)))
	holder := x.customers[got]
	if subtle.ConstantTimeCompare(got[:], holder.hash[:]) != 1 {
		return nil
	}
	return holder.customer
}

// customers holds the index of the bundle that the last request came under. It
// is safe for concurrent use.
type customers struct{ current atomic.Pointer[keyIndex] }

// of returns the index of b.
func (c *customers) of(b *bundle.Bundle) *keyIndex {
	if x := c.current.Load(); x != nil && x.bundle == b {
		return x
	}
	x := newKeyIndex(b)
	c.current.Store(x)
	return x
}

// customer returns the customer whose API key the Authorization header bears.
func (c *customers) customer(b *bundle.Bundle, header string) (*bundle.Customer, *problem.Error) {
	const scheme = "Bearer "
	if len(header) <= len(scheme) || !strings.EqualFold(header[:len(scheme)], scheme) {
		return nil, problem.New(problem.Unauthorized, "the Authorization header bears no API key")
	}
	found := c.of(b).find(header[len(scheme):])
	if found == nil {
		return nil, problem.New(problem.Unauthorized, "the API key is unknown")
	}
	return found, nil
}
