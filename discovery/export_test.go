package discovery

import (
	"fmt"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/wheatseam/wheatseam/core/catalog"
	"github.com/wheatseam/wheatseam/platform"
)

// decoded is a configuration that is decoded once for all hosts of a test.
type decodedConfig struct {
	once   sync.Once
	config *catalog.Config
	err    error
}

// ShareDecoding has configurations decoded once for all hosts of this process.
func ShareDecoding() {
	var known sync.Map // hash to *decoded
	decodeConfig = func(raw []byte) (*catalog.Config, error) {
		entry, _ := known.LoadOrStore(xxhash.Sum64(raw), &decodedConfig{})
		d := entry.(*decodedConfig)
		d.once.Do(func() { d.config, d.err = platform.DecodeConfig(raw) })
		return d.config, d.err
	}
}

// StepRoundTrip returns the size of the step between two configurations, and an
// error unless it leads from one to the other and from nothing else.
func DeltaRoundTrip(from, to string) (int, error) {
	s, err := newConfigDelta(1, []byte(from), 2, []byte(to))
	if err != nil {
		return 0, err
	}
	raw, err := s.apply([]byte(from))
	if err != nil {
		return 0, err
	}
	if string(raw) != to {
		return 0, fmt.Errorf("the step leads elsewhere")
	}
	if other, err := s.apply([]byte("another base")); err == nil && string(other) == to && len(from) > len(to) {
		return 0, fmt.Errorf("the step leads there from another base")
	}
	s.data = append([]byte(nil), s.data...)
	s.data[len(s.data)/2] ^= 1
	if _, err := s.apply([]byte(from)); err == nil {
		return 0, fmt.Errorf("a damaged step was applied")
	}
	return len(s.data), nil
}

// Buckets is the digest of the view's replicas, as a fellow sends it.
func (v *View) Buckets() []uint64 { return v.digest[:] }
