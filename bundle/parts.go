package bundle

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"
)

// The sizes of parts, in bytes.
const (
	// meanBoundaryBytes is the mean distance between two boundaries.
	meanBoundaryBytes = 1 << 10
	minPartBytes      = 1 << 10
	// MaxPartBytes is the maximum size of a part.
	MaxPartBytes = 4 << 10
)

// boundaryWindowLines is the number of consecutive lines whose hash decides whether
// the last of them ends a part. A single line is not enough, because many lines of
// a bundle are identical.
const boundaryWindowLines = 4

// versionLinePrefix is the start of the line with the bundle's version.
var versionLinePrefix = []byte("version:")

// Hash is a SHA-256 hash.
type Hash [sha256.Size]byte

// Part is a content-addressed piece of a signed bundle.
type Part struct {
	Hash Hash
	// Content is a subslice of the split bundle and must not be modified.
	Content []byte
}

// Manifest lists the hashes of a signed bundle and of its parts, in order. A daemon
// that receives a manifest fetches the parts that it does not have.
type Manifest struct {
	Version uint64
	// Digest is the hash of the signed bundle.
	Digest Hash
	Parts  []Hash
}

// The errors of Join.
var (
	ErrMissingPart    = errors.New("bundle: part is missing")
	ErrDigestMismatch = errors.New("bundle: joined parts do not match the digest")
)

// Digest returns the hash of a signed bundle.
func Digest(signed []byte) Hash { return sha256.Sum256(signed) }

// Split divides a signed bundle into parts by content-defined chunking: boundaries
// are at line ends selected by the hash of the preceding lines, so that an edit
// leaves the parts before it and, from the next common boundary on, those after it
// unchanged. The same bytes yield the same parts on every host. An empty bundle has
// no parts.
//
// The version line and the signature line, which change with every version, are
// separate parts.
func Split(signed []byte) []Part {
	var parts []Part
	start := 0
	endPart := func(end int) {
		for start < end {
			content := signed[start:min(end, start+MaxPartBytes)]
			parts = append(parts, Part{Hash: sha256.Sum256(content), Content: content})
			start += len(content)
		}
	}
	var window lineWindow
	for offset := 0; offset < len(signed); {
		line := lineAt(signed, offset)
		end := offset + len(line)
		window.push(offset)
		switch {
		case isSeparatePart(line):
			endPart(offset)
			endPart(end)
		case end-start > MaxPartBytes:
			endPart(offset)
		}
		if end-start >= minPartBytes && isBoundary(signed[window.start():end], len(line)) {
			endPart(end)
		}
		offset = end
	}
	endPart(len(signed))
	return parts
}

// lineAt returns the line that starts at offset, including its newline.
func lineAt(text []byte, offset int) []byte {
	rest := text[offset:]
	if i := bytes.IndexByte(rest, '\n'); i >= 0 {
		return rest[:i+1]
	}
	return rest
}

func isSeparatePart(line []byte) bool {
	return bytes.HasPrefix(line, versionLinePrefix) || bytes.HasPrefix(line, []byte(signatureLinePrefix))
}

// lineWindow is a ring buffer of the offsets of the most recent lines.
type lineWindow struct {
	offsets   [boundaryWindowLines]int
	pushCount int
}

func (w *lineWindow) push(offset int) {
	w.offsets[w.pushCount%boundaryWindowLines] = offset
	w.pushCount++
}

// start returns the offset of the oldest line in the window.
func (w *lineWindow) start() int {
	if w.pushCount < boundaryWindowLines {
		return w.offsets[0]
	}
	return w.offsets[w.pushCount%boundaryWindowLines]
}

// isBoundary reports whether a part ends after the last line of the window. The
// probability is proportional to the line's length, so that the mean distance
// between boundaries does not depend on the length of lines.
func isBoundary(window []byte, lineLength int) bool {
	if lineLength >= meanBoundaryBytes {
		return true
	}
	return xxhash.Sum64(window) < math.MaxUint64/meanBoundaryBytes*uint64(lineLength)
}

// NewManifest returns the manifest of a signed bundle with the given version.
func NewManifest(version uint64, signed []byte) Manifest {
	m := Manifest{Version: version, Digest: Digest(signed)}
	for _, p := range Split(signed) {
		m.Parts = append(m.Parts, p.Hash)
	}
	return m
}

// Missing returns the distinct part hashes of m for which hasPart returns false, in
// order.
func (m Manifest) Missing(hasPart func(Hash) bool) []Hash {
	var missing []Hash
	checked := make(map[Hash]bool, len(m.Parts))
	for _, h := range m.Parts {
		if !checked[h] && !hasPart(h) {
			missing = append(missing, h)
		}
		checked[h] = true
	}
	return missing
}

// Join reassembles the signed bundle of m from its parts and verifies the digest.
// getPart returns the content of a part, or false if the part is missing. Errors
// wrap ErrMissingPart or ErrDigestMismatch. Join does not verify the signature;
// VerifyAndParse does.
func Join(m Manifest, getPart func(Hash) ([]byte, bool)) ([]byte, error) {
	var signed []byte
	for _, h := range m.Parts {
		content, ok := getPart(h)
		if !ok {
			return nil, fmt.Errorf("%w: %x", ErrMissingPart, h[:keyIDBytes])
		}
		if len(signed)+len(content) > MaxSignedBytes {
			return nil, fmt.Errorf("%w: more than %d bytes", ErrDigestMismatch, MaxSignedBytes)
		}
		signed = append(signed, content...)
	}
	if Digest(signed) != m.Digest {
		return nil, ErrDigestMismatch
	}
	return signed, nil
}
