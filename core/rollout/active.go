package rollout

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/wire"
)

// The limits on transfers between daemons.
const (
	// MaxDocumentBytes limits a signed document, in bytes. It is the limit of the
	// configuration service.
	MaxDocumentBytes = 1 << 20
	// MaxParts limits the number of parts in a manifest.
	MaxParts = 4096
	// MaxBatchBytes limits the total size of the parts in one answer. Sending it
	// takes 52 ms on a 10 Mbit/s link, so that 90 daemons fetching from the same
	// one each get their answer within FetchTimeout.
	MaxBatchBytes = 64 << 10
	// MaxBatchParts limits the number of parts in one request. A part is at most
	// 4 KiB.
	MaxBatchParts = 16
)

// Codec verifies and splits signed documents. Its functions are pure.
type Codec struct {
	// Open verifies the signature and parses the document.
	Open func(signed []byte) (*bundle.Bundle, error)
	// Split splits a document into parts, whose concatenation is the document.
	Split func(signed []byte) [][]byte
	// CheckSuccessor returns an error if next must not replace current. A nil
	// function allows every replacement.
	CheckSuccessor func(current, next *bundle.Bundle) error
}

// hash is a SHA-256 hash.
type hash = [sha256.Size]byte

// ActiveBundle is an adopted bundle with its manifest and parts, which peers request.
type ActiveBundle struct {
	Bundle *bundle.Bundle
	// Digest is the SHA-256 of the signed document.
	Digest [sha256.Size]byte

	signed   []byte
	manifest *wire.BundleManifest
	parts    map[hash][]byte
}

// newActiveBundle splits a verified document into parts.
func newActiveBundle(b *bundle.Bundle, signed []byte, split func([]byte) [][]byte) *ActiveBundle {
	f := &ActiveBundle{Bundle: b, Digest: sha256.Sum256(signed), signed: signed, parts: map[hash][]byte{}}
	f.manifest = &wire.BundleManifest{Version: b.Version, Digest: f.Digest[:], Size: uint64(len(signed))}
	for _, part := range split(signed) {
		h := sha256.Sum256(part)
		f.parts[h] = part
		f.manifest.Parts = append(f.manifest.Parts, h[:])
	}
	return f
}

// Manifest returns the manifest. It must not be modified.
func (f *ActiveBundle) Manifest() *wire.BundleManifest { return f.manifest }

// Parts returns the requested parts that this bundle has, up to the limits of one
// answer.
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

// shortDigest returns the first 8 bytes of a digest, which heartbeats carry.
func shortDigest(d []byte) uint64 { return binary.BigEndian.Uint64(d) }
