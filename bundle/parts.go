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
	// boundaryDistance is the mean distance of two boundaries.
	boundaryDistance = 1 << 10
	minPartSize      = 1 << 10
	// MaxPartSize bounds every part.
	MaxPartSize = 4 << 10
)

// boundaryLines is the number of lines that decide on a boundary: the last one
// and those before it. One line would not do, since many lines are alike.
const boundaryLines = 4

// versionPrefix starts the line that every new version changes.
var versionPrefix = []byte("version:")

// Hash is a SHA-256.
type Hash [sha256.Size]byte

// Part is a piece of a signed bundle, known by the hash of its content.
type Part struct {
	Hash Hash
	// Content is a slice of the bundle that was split; it must not be
	// changed.
	Content []byte
}

// Manifest names a signed bundle and its parts in order. A daemon that has a
// manifest fetches the parts that it lacks.
type Manifest struct {
	Version uint64
	// Digest is the hash of the whole signed bundle.
	Digest Hash
	Parts  []Hash
}

// The errors of Join.
var (
	ErrMissingPart = errors.New("bundle: a part is missing")
	ErrDigest      = errors.New("bundle: the joined parts differ from the digest")
)

// Digest returns the hash of a signed bundle.
func Digest(signed []byte) Hash { return sha256.Sum256(signed) }

// Split cuts a signed bundle into parts at lines chosen by their content, so
// that an edit changes the parts it touches and no other. The same bytes give
// the same parts on every host. The parts of the empty bundle are none.
//
// The version line and the signature line, which every version changes, are
// parts of their own.
func Split(signed []byte) []Part {
	var parts []Part
	start := 0
	cut := func(end int) {
		for start < end {
			content := signed[start:min(end, start+MaxPartSize)]
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
		case standsAlone(line):
			cut(offset)
			cut(end)
		case end-start > MaxPartSize:
			cut(offset)
		}
		if end-start >= minPartSize && isBoundary(signed[window.start():end], len(line)) {
			cut(end)
		}
		offset = end
	}
	cut(len(signed))
	return parts
}

// lineAt returns the line that starts at offset, its newline included.
func lineAt(text []byte, offset int) []byte {
	rest := text[offset:]
	if i := bytes.IndexByte(rest, '\n'); i >= 0 {
		return rest[:i+1]
	}
	return rest
}

func standsAlone(line []byte) bool {
	return bytes.HasPrefix(line, versionPrefix) || bytes.HasPrefix(line, []byte(signaturePrefix))
}

// lineWindow holds the offsets of the last lines, as a ring.
type lineWindow struct {
	offsets [boundaryLines]int
	pushed  int
}

func (w *lineWindow) push(offset int) {
	w.offsets[w.pushed%boundaryLines] = offset
	w.pushed++
}

// start returns the offset of the oldest line held.
func (w *lineWindow) start() int {
	if w.pushed < boundaryLines {
		return w.offsets[0]
	}
	return w.offsets[w.pushed%boundaryLines]
}

// isBoundary picks lines by the hash of the window that ends with them, in
// proportion to their length, so that the distance of boundaries does not
// depend on how long lines are.
func isBoundary(window []byte, lineLength int) bool {
	if lineLength >= boundaryDistance {
		return true
	}
	return xxhash.Sum64(window) < math.MaxUint64/boundaryDistance*uint64(lineLength)
}

// NewManifest returns the manifest of a signed bundle of that version.
func NewManifest(version uint64, signed []byte) Manifest {
	m := Manifest{Version: version, Digest: Digest(signed)}
	for _, p := range Split(signed) {
		m.Parts = append(m.Parts, p.Hash)
	}
	return m
}

// Missing returns the hashes of m that have does not know, each once, in
// order.
func (m Manifest) Missing(have func(Hash) bool) []Hash {
	var missing []Hash
	asked := make(map[Hash]bool, len(m.Parts))
	for _, h := range m.Parts {
		if !asked[h] && !have(h) {
			missing = append(missing, h)
		}
		asked[h] = true
	}
	return missing
}

// Join puts the signed bundle of m together from its parts and checks the
// digest. get returns the content of a part, or false when it is not there.
// Its errors wrap ErrMissingPart or ErrDigest. The signature is not checked;
// Open does.
func Join(m Manifest, get func(Hash) ([]byte, bool)) ([]byte, error) {
	var signed []byte
	for _, h := range m.Parts {
		content, ok := get(h)
		if !ok {
			return nil, fmt.Errorf("%w: %x", ErrMissingPart, h[:keyIDBytes])
		}
		if len(signed)+len(content) > MaxSize {
			return nil, fmt.Errorf("%w: more than %d bytes", ErrDigest, MaxSize)
		}
		signed = append(signed, content...)
	}
	if Digest(signed) != m.Digest {
		return nil, ErrDigest
	}
	return signed, nil
}
