package rollout

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/wire"
)

// The bounds on what travels between daemons.
const (
	// MaxSize bounds a signed document: what the configuration service holds.
	MaxSize = 1 << 20
	// MaxParts bounds the parts of a manifest.
	MaxParts = 4096
	// MaxBatchBytes bounds the parts in one answer: 52 ms of a link of 10 Mbit/s,
	// so that 90 daemons that fetch from the same one are each answered in time.
	MaxBatchBytes = 64 << 10
	// MaxBatchParts bounds the parts asked for at once, of 4 KiB at most each.
	MaxBatchParts = 16
)

// Codec reads signed documents. Its functions are pure.
type Codec struct {
	// Open verifies the signature and parses.
	Open func(signed []byte) (*bundle.Bundle, error)
	// Split cuts a document into parts whose concatenation it is.
	Split func(signed []byte) [][]byte
	// CheckSuccessor says why next must not follow current; nil allows all.
	CheckSuccessor func(current, next *bundle.Bundle) error
}

// hash is a SHA-256.
type hash = [sha256.Size]byte

// InForce is one accepted bundle with the parts that peers ask for.
type ActiveBundle struct {
	Bundle *bundle.Bundle
	// Digest is the SHA-256 of the signed document.
	Digest [sha256.Size]byte

	signed   []byte
	manifest *wire.BundleManifest
	parts    map[hash][]byte
}

// newInForce splits a verified document.
func newInForce(b *bundle.Bundle, signed []byte, split func([]byte) [][]byte) *ActiveBundle {
	f := &ActiveBundle{Bundle: b, Digest: sha256.Sum256(signed), signed: signed, parts: map[hash][]byte{}}
	f.manifest = &wire.BundleManifest{Version: b.Version, Digest: f.Digest[:], Size: uint64(len(signed))}
	for _, part := range split(signed) {
		h := sha256.Sum256(part)
		f.parts[h] = part
		f.manifest.Parts = append(f.manifest.Parts, h[:])
	}
	return f
}

// Manifest returns the list of parts. It must not be changed.
func (f *ActiveBundle) Manifest() *wire.BundleManifest { return f.manifest }

// Parts returns the parts that were asked for, as far as they are known and
// fit one answer.
func (f *ActiveBundle) Parts(req *wire.BundlePartsRequest) *wire.BundleParts {
	out := &wire.BundleParts{}
	size := 0
	for _, raw := range req.GetHashes()[:min(len(req.GetHashes()), MaxBatchParts)] {
		if len(raw) != sha256.Size {
			continue
		}
		part, ok := f.parts[hash(raw)]
		if !ok {
			continue
		}
		if size += len(part); size > MaxBatchBytes && len(out.Parts) > 0 {
			break
		}
		out.Parts = append(out.Parts, part)
	}
	return out
}

// shortDigest is the part of a digest that rides on heartbeats.
func shortDigest(d []byte) uint64 { return binary.BigEndian.Uint64(d) }
