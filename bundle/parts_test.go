package bundle_test

import (
	"bytes"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/bundle/bundletest"
)

// partStore maps the hash of each part to its content.
type partStore map[bundle.Hash][]byte

func (s partStore) add(signed []byte) {
	for _, p := range bundle.Split(signed) {
		s[p.Hash] = p.Content
	}
}

func (s partStore) get(h bundle.Hash) ([]byte, bool) {
	content, ok := s[h]
	return content, ok
}

func (s partStore) has(h bundle.Hash) bool {
	_, ok := s[h]
	return ok
}

var _ = Describe("bundle parts", func() {
	It("join to the original bytes for arbitrary input", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			line := rapid.SliceOfN(rapid.Byte(), 0, 40)
			var text []byte
			for _, l := range rapid.SliceOfN(line, 0, 400).Draw(t, "lines") {
				text = append(append(text, l...), '\n')
			}
			text = append(text, bytes.Repeat([]byte("x"), rapid.IntRange(0, 3*bundle.MaxPartBytes).Draw(t, "tail"))...)
			parts := partStore{}
			parts.add(text)
			for _, content := range parts {
				if len(content) == 0 || len(content) > bundle.MaxPartBytes {
					t.Fatalf("part size is %d bytes", len(content))
				}
			}
			joined, err := bundle.Join(bundle.NewManifest(1, text), parts.get)
			if err != nil || !bytes.Equal(joined, text) {
				t.Fatalf("joined %d bytes of %d: %v", len(joined), len(text), err)
			}
		})
	})

	It("change only for the version, the signature and an edited customer", func() {
		before := bundle.Sign(bundletest.YAML(bundletest.TargetSizes, 7), testKey(1))
		edited := bytes.Replace(bundletest.YAML(bundletest.TargetSizes, 8),
			[]byte("name: customer-200\n"), []byte("name: renamed-customer-200\n"), 1)
		after := bundle.Sign(edited, testKey(1))
		knownParts := partStore{}
		knownParts.add(before)
		missing := bundle.NewManifest(8, after).Missing(knownParts.has)
		Expect(missing).To(HaveLen(3), "the parts with the version, the customer and the signature")
	})

	It("fail to join if one is missing or does not match the digest", func() {
		signed := bundle.Sign(bundletest.YAML(bundletest.TargetSizes, 7), testKey(1))
		manifest := bundle.NewManifest(7, signed)
		parts := partStore{}
		parts.add(signed)
		lostHash := manifest.Parts[1]
		content := parts[lostHash]
		delete(parts, lostHash)
		Expect(manifest.Missing(parts.has)).To(Equal([]bundle.Hash{lostHash}))
		_, err := bundle.Join(manifest, parts.get)
		Expect(err).To(MatchError(bundle.ErrMissingPart))

		parts[lostHash] = append([]byte("#"), content[1:]...)
		_, err = bundle.Join(manifest, parts.get)
		Expect(err).To(MatchError(bundle.ErrDigestMismatch))
	})

	It("can be generated from test bundles of the requested sizes", func() {
		for _, sizes := range []bundletest.Sizes{bundletest.TargetSizes, bundletest.CurrentSizes} {
			b := bundletest.Bundle(sizes, 3)
			upstreams := 0
			for _, p := range b.Pools {
				upstreams += len(p.Upstreams)
			}
			Expect([]int{len(b.Hosts), len(b.Customers), len(b.Pipelines), len(b.FailureDomains), upstreams}).To(Equal(
				[]int{sizes.Hosts, sizes.Customers, sizes.Pipelines, sizes.Domains, sizes.Upstreams}))
		}
	})
})
