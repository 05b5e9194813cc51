package discovery

import (
	"fmt"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/wheatseam/wheatseam/core/catalog"
	"github.com/wheatseam/wheatseam/platform"
)

// decodedConfig is a configuration that is decoded once for all hosts of a test.
type decodedConfig struct {
	once   sync.Once
	config *catalog.Config
	err    error
}

// ShareDecoding makes all hosts of this process share decoded configurations.
func ShareDecoding() {
	var cache sync.Map // hash of the configuration to *decodedConfig
	decodeConfig = func(raw []byte) (*catalog.Config, error) {
		entry, _ := cache.LoadOrStore(xxhash.Sum64(raw), &decodedConfig{})
		d := entry.(*decodedConfig)
		d.once.Do(func() { d.config, d.err = platform.DecodeConfig(raw) })
		return d.config, d.err
	}
}

// DeltaRoundTrip returns the size in bytes of the delta between two configurations. It
// returns an error if the delta does not produce the second one, if a damaged delta can be
// applied, or, when the first configuration is the longer one, if the delta also produces
// the second one from another base.
func DeltaRoundTrip(from, to string) (int, error) {
	delta, err := newConfigDelta(1, []byte(from), 2, []byte(to))
	if err != nil {
		return 0, err
	}
	raw, err := delta.apply([]byte(from))
	if err != nil {
		return 0, err
	}
	if string(raw) != to {
		return 0, fmt.Errorf("the delta produces another configuration")
	}
	if other, err := delta.apply([]byte("another base")); err == nil && string(other) == to && len(from) > len(to) {
		return 0, fmt.Errorf("the delta produces the configuration from another base")
	}
	delta.data = append([]byte(nil), delta.data...)
	delta.data[len(delta.data)/2] ^= 1
	if _, err := delta.apply([]byte(from)); err == nil {
		return 0, fmt.Errorf("a damaged delta was applied")
	}
	return len(delta.data), nil
}

// Buckets returns the digest of the view's replicas in the form that peers send.
func (v *View) Buckets() []uint64 { return v.Replicas.Digest()[:] }

// ExpireListing has the next read of the store list all replicas.
func (d *Discovery) ExpireListing() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.listing != nil {
		d.listing.listedAt = d.listing.listedAt.Add(-relistInterval)
	}
}
